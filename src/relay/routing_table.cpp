#include "relay/routing_table.hpp"

#include <utility>

namespace oxbowspread::relay {

using wheathub::Lifecycle;

RoutingChange RoutingTable::Apply(RoutingChange change) {
  if (change.scope == wheathub::ListScope::kFailed) return change;
  const std::map<std::string, Host> previous_hosts = change.scope == wheathub::ListScope::kChanges
                                                         ? std::map<std::string, Host>()
                                                         : std::exchange(hosts_, {});
  revision_ = change.revision;
  std::set<std::string> previously_withheld = std::exchange(withheld_, {});
  // An entry that carries only a state can't be used if the host is unknown.
  std::erase_if(change.hosts, [&](const Host& host) {
    return host.state_only && previous_hosts.count(host.info.id) == 0 && hosts_.count(host.info.id) == 0;
  });
  for (Host& host : change.hosts) {
    const auto previous = previous_hosts.find(host.info.id);
    Host& stored =
        hosts_.try_emplace(host.info.id, previous == previous_hosts.end() ? Host() : previous->second)
            .first->second;
    Merge(stored, &host);
    stored = host;
    previously_withheld.erase(host.info.id);
    if (host.info.lifecycle == Lifecycle::kRemoved) hosts_.erase(host.info.id);
    host = EffectiveHost(std::move(host));
  }
  for (const std::string& id : previously_withheld) {
    const auto it = hosts_.find(id);
    if (it != hosts_.end()) change.hosts.push_back(EffectiveHost(it->second));
  }
  return change;
}

// A change may omit the address, and an unreadable entry carries only the state: the missing fields are taken
// from the previous entry.
void RoutingTable::Merge(const Host& previous, Host* update) {
  if (update->address.empty()) update->address = previous.address;
  if (!std::exchange(update->state_only, false)) return;
  const Lifecycle lifecycle = update->info.lifecycle;
  update->info = previous.info;
  update->info.lifecycle = lifecycle;
}

RoutingChange RoutingTable::ApplyStale(const RoutingChange& older) {
  std::set<std::string> ready_ids, unready_ids;
  for (const Host& host : older.hosts) {
    (host.info.lifecycle == Lifecycle::kUp ? ready_ids : unready_ids).insert(host.info.id);
  }
  RoutingChange change{wheathub::ListScope::kChanges, revision_, {}};
  for (const auto& [id, host] : hosts_) {
    const bool is_missing = older.scope == wheathub::ListScope::kAll && ready_ids.count(id) == 0;
    const bool was_withheld = withheld_.count(id) > 0;
    const bool is_withheld =
        is_missing || unready_ids.count(id) > 0 || (was_withheld && ready_ids.count(id) == 0);
    if (was_withheld == is_withheld) continue;
    if (is_withheld) {
      withheld_.insert(id);
    } else {
      withheld_.erase(id);
    }
    change.hosts.push_back(EffectiveHost(host));
  }
  return change;
}

RoutingChange RoutingTable::ExcludeHost(const std::string& id) {
  excluded_.insert(id);
  return ChangeFor(id);
}

RoutingChange RoutingTable::IncludeHost(const std::string& id) {
  excluded_.erase(id);
  return ChangeFor(id);
}

RoutingChange RoutingTable::Listed() const {
  RoutingChange all{wheathub::ListScope::kRemembered, revision_, {}};
  for (const auto& [id, host] : hosts_) all.hosts.push_back(host);
  return all;
}

Host RoutingTable::EffectiveHost(Host host) const {
  if (host.info.lifecycle == Lifecycle::kUp &&
      (IsExcluded(host.info.id) || withheld_.count(host.info.id) > 0)) {
    host.info.lifecycle = Lifecycle::kDraining;
  }
  return host;
}

RoutingChange RoutingTable::ChangeFor(const std::string& id) const {
  RoutingChange change{wheathub::ListScope::kChanges, revision_, {}};
  if (const auto it = hosts_.find(id); it != hosts_.end()) change.hosts.push_back(EffectiveHost(it->second));
  return change;
}

}  // namespace oxbowspread::relay
