#include "endpoint/host_table.hpp"

#include <algorithm>
#include <utility>

namespace oxbowspread::endpoint {
namespace {

using namespace std::chrono_literals;

constexpr net::Time kForgetRemovedAfter = 5s;  // time after which an unready, removed host is forgotten

}  // namespace

std::vector<std::string> HostTable::Apply(const relay::RoutingChange& change, net::Time now) {
  std::vector<std::string> close_idle;
  if (change.scope == wheathub::ListScope::kFailed) return close_idle;
  if (change.scope != wheathub::ListScope::kChanges) {
    std::set<std::string_view> listed_ids;
    for (const relay::Host& host : change.hosts) listed_ids.insert(host.info.id);
    for (auto& [id, host] : hosts_) {
      if (listed_ids.count(id) > 0) continue;
      if (std::exchange(host.ready, false)) host.unready_since = now;
      SetRemoved(id, host, true);
    }
  }
  for (const relay::Host& host : change.hosts) Apply(host, now, &close_idle);
  return close_idle;
}

void HostTable::Apply(const relay::Host& listed, net::Time now, std::vector<std::string>* close_idle) {
  const std::string& id = listed.info.id;
  Host& host = hosts_[id];
  const bool ready = listed.info.lifecycle == wheathub::Lifecycle::kUp;
  if (host.ready && !ready) host.unready_since = now;
  host.ready = ready;
  SetRemoved(id, host, listed.info.lifecycle == wheathub::Lifecycle::kRemoved);
  host.zone = listed.info.zone;
  host.destination = listed.info.destination;
  host.kind = listed.info.kind;
  if (!listed.address.empty() && listed.address != host.address) {
    if (!host.address.empty()) close_idle->push_back(id);
    SetAddress(id, host, listed.address);
  }
  host.owns_address = net::ParseAddress(host.address).has_value();
  ResolveAddressOwner(id, host, close_idle);
  ApplyAddressWait(id, host, now);
  if (!ready) close_idle->push_back(id);
}

void HostTable::SetAddress(const std::string& id, Host& host, const std::string& address) {
  if (const auto it = ids_by_address_.find(host.address); it != ids_by_address_.end()) {
    it->second.erase(id);
    if (it->second.empty()) ids_by_address_.erase(it);
  }
  host.address = address;
  ids_by_address_[address].insert(id);
  if (const auto parsed = net::ParseAddress(address)) host.socket_address = *parsed;
}

void HostTable::SetRemoved(const std::string& id, Host& host, bool removed) {
  host.removed = removed;
  if (removed) {
    removed_.insert(id);
  } else {
    removed_.erase(id);
  }
}

// A host that no longer exists may still be listed when another one already uses its address. A call to the
// old host would then reach the new one, so the host that is ready owns the address.
void HostTable::ResolveAddressOwner(const std::string& id, Host& host, std::vector<std::string>* close_idle) {
  const auto at_same_address = ids_by_address_.find(host.address);
  if (at_same_address == ids_by_address_.end()) return;
  for (const std::string& other_id : at_same_address->second) {
    if (other_id == id) continue;
    Host& other = hosts_.at(other_id);
    if (!host.ready && !other.ready) continue;
    (host.ready ? other : host).owns_address = false;
    close_idle->push_back(host.ready ? other_id : id);
  }
}

const Host* HostTable::Find(const std::string& id) const {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : &it->second;
}

HostTable::Route HostTable::RouteOf(const std::string& id, const Host& host) const {
  const auto kind = static_cast<std::size_t>(host.kind);
  return {host.destination,
          kind < separate_routes_by_kind_.size() && separate_routes_by_kind_[kind] ? id : std::string()};
}

void HostTable::ExtendWait(const std::string& id, const Host& host, net::Time until) {
  net::Time& wait_end = route_waits_[RouteOf(id, host)];
  wait_end = std::max(wait_end, until);
}

std::vector<std::string> HostTable::ExtendAddressWait(const net::Address& address, net::Time until) {
  net::Time& wait_end = address_waits_[KeyOf(address)];
  wait_end = std::max(wait_end, until);
  std::vector<std::string> ids;
  const auto at_same_address = ids_by_address_.find(net::FormatAddress(address));
  if (at_same_address == ids_by_address_.end()) return ids;
  for (const std::string& id : at_same_address->second) {
    const Host& host = hosts_.at(id);
    if (!host.owns_address) continue;
    ExtendWait(id, host, until);
    ids.push_back(id);
  }
  return ids;
}

// The routing table may list a host long after the host has taken over an address. A wait that the host
// requested in the meantime was recorded for the previous host at that address, so it must be applied to the
// new host too.
void HostTable::ApplyAddressWait(const std::string& id, const Host& host, net::Time now) {
  if (!host.owns_address) return;
  const auto wait = address_waits_.find(KeyOf(host.socket_address));
  if (wait != address_waits_.end() && wait->second > now) ExtendWait(id, host, wait->second);
}

std::vector<std::string> HostTable::RecordRetryAfter(const std::string& id, const net::Address& address,
                                                     net::Time wait, net::Time now) {
  std::erase_if(route_waits_, [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(address_waits_, [now](const auto& entry) { return entry.second <= now; });
  if (const Host* const host = Find(id)) ExtendWait(id, *host, now + wait);
  std::vector<std::string> ids = ExtendAddressWait(address, now + wait);
  std::erase(ids, id);
  return ids;
}

std::vector<std::string> HostTable::RecordRetryAfter(const std::string& id, net::Time wait, net::Time now) {
  const Host* const host = Find(id);
  return host == nullptr ? std::vector<std::string>() : RecordRetryAfter(id, host->socket_address, wait, now);
}

net::Time HostTable::BlockedUntil(const std::string& id) const {
  const Host* const host = Find(id);
  const auto wait = host == nullptr ? route_waits_.end() : route_waits_.find(RouteOf(id, *host));
  return wait == route_waits_.end() ? net::Time(0) : wait->second;
}

void HostTable::RestoreWait(const relay::HostWait& wait) {
  if (const Host* const host = Find(wait.host)) ExtendWait(wait.host, *host, wait.until);
}

void HostTable::RestoreWait(const relay::AddressWait& wait) {
  if (const auto address = net::ParseAddress(wait.address)) ExtendAddressWait(*address, wait.until);
}

std::vector<relay::HostWait> HostTable::HostWaits(net::Time now) const {
  std::vector<relay::HostWait> result;
  for (const auto& [id, host] : hosts_) {
    const net::Time until = BlockedUntil(id);
    if (until > now) result.push_back({id, now, until});
  }
  return result;
}

std::vector<relay::AddressWait> HostTable::AddressWaits(net::Time now) const {
  std::vector<relay::AddressWait> result;
  for (const auto& [key, until] : address_waits_) {
    if (until <= now) continue;
    net::Address address{};
    address.sin_addr.s_addr = key.first;
    address.sin_port = key.second;
    result.push_back({net::FormatAddress(address), until});
  }
  return result;
}

// Hosts still accept calls for a short time after they begin to drain or request a wait. This tolerance is
// not used, because the time at which it began is not known here and the call would most likely be refused.
bool HostTable::MayWrite(const std::string& id, net::Time write_deadline, net::Time now) const {
  const Host* const host = Find(id);
  if (host == nullptr || !host->owns_address || !host->ready) return false;
  if (now < BlockedUntil(id)) return false;
  return now < write_deadline && now < list_valid_until_;
}

std::vector<std::string> HostTable::ExpiredHosts(net::Time now) const {
  std::vector<std::string> result;
  for (const std::string& id : removed_) {
    if (now - hosts_.at(id).unready_since > kForgetRemovedAfter) result.push_back(id);
  }
  return result;
}

void HostTable::Forget(const std::string& id) {
  const auto it = hosts_.find(id);
  if (it == hosts_.end()) return;
  if (const auto at_same_address = ids_by_address_.find(it->second.address);
      at_same_address != ids_by_address_.end()) {
    at_same_address->second.erase(id);
    if (at_same_address->second.empty()) ids_by_address_.erase(at_same_address);
  }
  removed_.erase(id);
  hosts_.erase(it);
}

}  // namespace oxbowspread::endpoint
