#include "relay/table.hpp"

#include <utility>

namespace oxbowspread::relay {

using wheathub::Lifecycle;

RoutingChange Table::Adopt(RoutingChange change) {
  if (change.scope == wheathub::ListScope::kFailed) return change;
  const std::map<std::string, Host> before = change.scope == wheathub::ListScope::kChanges
                                                 ? std::map<std::string, Host>()
                                                 : std::exchange(hosts_, {});
  revision_ = change.revision;
  std::set<std::string> returning = std::exchange(withheld_, {});
  // Of a host that nobody knows a state alone tells nothing.
  std::erase_if(change.hosts, [&](const Host& host) {
    return host.only_state && before.count(host.info.id) == 0 && hosts_.count(host.info.id) == 0;
  });
  for (Host& host : change.hosts) {
    const auto known = before.find(host.info.id);
    Host& kept =
        hosts_.try_emplace(host.info.id, known == before.end() ? Host() : known->second).first->second;
    Merge(kept, &host);
    kept = host;
    returning.erase(host.info.id);
    if (host.info.lifecycle == Lifecycle::kRemoved) hosts_.erase(host.info.id);
    host = Laid(std::move(host));
  }
  for (const std::string& id : returning) {
    const auto it = hosts_.find(id);
    if (it != hosts_.end()) change.hosts.push_back(Laid(it->second));
  }
  return change;
}

// A change may leave out the address; of an entry that can't be read only the state is told.
void Table::Merge(const Host& known, Host* news) {
  if (news->address.empty()) news->address = known.address;
  if (!std::exchange(news->only_state, false)) return;
  const Lifecycle told = news->info.lifecycle;
  news->info = known.info;
  news->info.lifecycle = told;
}

RoutingChange Table::Withhold(const RoutingChange& older) {
  std::set<std::string> ready, unready;
  for (const Host& host : older.hosts) {
    (host.info.lifecycle == Lifecycle::kUp ? ready : unready).insert(host.info.id);
  }
  RoutingChange change{wheathub::ListScope::kChanges, revision_, {}};
  for (const auto& [id, host] : hosts_) {
    const bool missing = older.scope == wheathub::ListScope::kAll && ready.count(id) == 0;
    const bool was = withheld_.count(id) > 0;
    const bool now = missing || unready.count(id) > 0 || (was && ready.count(id) == 0);
    if (was == now) continue;
    if (now) {
      withheld_.insert(id);
    } else {
      withheld_.erase(id);
    }
    change.hosts.push_back(Laid(host));
  }
  return change;
}

RoutingChange Table::TakeOut(const std::string& id) {
  out_.insert(id);
  return Change(id);
}

RoutingChange Table::PutBack(const std::string& id) {
  out_.erase(id);
  return Change(id);
}

RoutingChange Table::Listed() const {
  RoutingChange all{wheathub::ListScope::kRemembered, revision_, {}};
  for (const auto& [id, host] : hosts_) all.hosts.push_back(host);
  return all;
}

Host Table::Laid(Host host) const {
  if (host.info.lifecycle == Lifecycle::kUp && (IsOut(host.info.id) || withheld_.count(host.info.id) > 0)) {
    host.info.lifecycle = Lifecycle::kDraining;
  }
  return host;
}

RoutingChange Table::Change(const std::string& id) const {
  RoutingChange change{wheathub::ListScope::kChanges, revision_, {}};
  if (const auto it = hosts_.find(id); it != hosts_.end()) change.hosts.push_back(Laid(it->second));
  return change;
}

}  // namespace oxbowspread::relay
