#include "relay/table.hpp"

#include <utility>

namespace oxbowspread::relay {

using wheathub::Lifecycle;

RoutingChange Table::Adopt(RoutingChange change) {
  if (change.scope == wheathub::ListScope::kFailed) return change;
  if (change.scope != wheathub::ListScope::kChanges) hosts_.clear();
  revision_ = change.revision;
  for (Host& host : change.hosts) {
    Host& kept = hosts_[host.info.id];
    // A change may leave out the address.
    if (host.address.empty()) host.address = kept.address;
    kept = host;
    if (host.info.lifecycle == Lifecycle::kRemoved) hosts_.erase(host.info.id);
    host = Laid(std::move(host));
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
  if (host.info.lifecycle == Lifecycle::kUp && IsOut(host.info.id)) {
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
