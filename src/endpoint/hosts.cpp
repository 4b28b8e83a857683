#include "endpoint/hosts.hpp"

#include <algorithm>
#include <utility>

namespace oxbowspread::endpoint {
namespace {

using namespace std::chrono_literals;

constexpr net::Time kForgetAfter = 5s;  // a host that left the list

}  // namespace

std::vector<std::string> Hosts::Adopt(const relay::RoutingChange& change, net::Time now) {
  std::vector<std::string> close;
  if (change.scope == wheathub::ListScope::kFailed) return close;
  if (change.scope != wheathub::ListScope::kChanges) {
    std::set<std::string_view> named;
    for (const relay::Host& host : change.hosts) named.insert(host.info.id);
    for (auto& [id, host] : hosts_) {
      if (named.count(id) > 0) continue;
      if (std::exchange(host.ready, false)) host.unready_since = now;
      Gone(id, host, true);
    }
  }
  for (const relay::Host& host : change.hosts) Adopt(host, now, &close);
  return close;
}

void Hosts::Adopt(const relay::Host& news, net::Time now, std::vector<std::string>* close) {
  const std::string& id = news.info.id;
  Host& host = hosts_[id];
  const bool ready = news.info.lifecycle == wheathub::Lifecycle::kUp;
  if (host.ready && !ready) host.unready_since = now;
  host.ready = ready;
  Gone(id, host, news.info.lifecycle == wheathub::Lifecycle::kRemoved);
  host.zone = news.info.zone;
  host.destination = news.info.destination;
  host.kind = news.info.kind;
  if (!news.address.empty() && news.address != host.address) {
    if (!host.address.empty()) close->push_back(id);
    Move(id, host, news.address);
  }
  host.known = net::ParseAddress(host.address).has_value();
  TakeAddress(id, host, close);
  InheritWait(id, host, now);
  if (!ready) close->push_back(id);
}

void Hosts::Move(const std::string& id, Host& host, const std::string& address) {
  if (const auto it = at_address_.find(host.address); it != at_address_.end()) {
    it->second.erase(id);
    if (it->second.empty()) at_address_.erase(it);
  }
  host.address = address;
  at_address_[address].insert(id);
  if (const auto to = net::ParseAddress(address)) host.to = *to;
}

void Hosts::Gone(const std::string& id, Host& host, bool gone) {
  host.gone = gone;
  if (gone) {
    gone_.insert(id);
  } else {
    gone_.erase(id);
  }
}

// A host that has gone may still be listed when another stands at its address: what is sent there for the old
// one would reach the new one.
void Hosts::TakeAddress(const std::string& id, Host& host, std::vector<std::string>* close) {
  const auto there = at_address_.find(host.address);
  if (there == at_address_.end()) return;
  for (const std::string& other_id : there->second) {
    if (other_id == id) continue;
    Host& other = hosts_.at(other_id);
    if (!host.ready && !other.ready) continue;
    (host.ready ? other : host).known = false;
    close->push_back(host.ready ? other_id : id);
  }
}

const Host* Hosts::Find(const std::string& id) const {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : &it->second;
}

Hosts::Route Hosts::RouteOf(const std::string& id, const Host& host) const {
  const auto kind = static_cast<std::size_t>(host.kind);
  return {host.destination, kind < apart_.size() && apart_[kind] ? id : std::string()};
}

void Hosts::Bind(const std::string& id, const Host& host, net::Time until) {
  net::Time& bound = waits_[RouteOf(id, host)];
  bound = std::max(bound, until);
}

std::vector<std::string> Hosts::BindAddress(const net::Address& address, net::Time until) {
  net::Time& bound = address_waits_[KeyOf(address)];
  bound = std::max(bound, until);
  std::vector<std::string> ids;
  const auto there = at_address_.find(net::AddressText(address));
  if (there == at_address_.end()) return ids;
  for (const std::string& id : there->second) {
    const Host& host = hosts_.at(id);
    if (!host.known) continue;
    Bind(id, host, until);
    ids.push_back(id);
  }
  return ids;
}

// The list may name a host long after it has taken over an address: a wait that it told meanwhile was told to
// a call for the host before it, under whose id alone it would bind nobody who stands there.
void Hosts::InheritWait(const std::string& id, const Host& host, net::Time now) {
  if (!host.known) return;
  const auto wait = address_waits_.find(KeyOf(host.to));
  if (wait != address_waits_.end() && wait->second > now) Bind(id, host, wait->second);
}

std::vector<std::string> Hosts::ToldWait(const std::string& id, const net::Address& at, net::Time wait,
                                         net::Time now) {
  std::erase_if(waits_, [now](const auto& w) { return w.second <= now; });
  std::erase_if(address_waits_, [now](const auto& w) { return w.second <= now; });
  if (const Host* const host = Find(id)) Bind(id, *host, now + wait);
  std::vector<std::string> ids = BindAddress(at, now + wait);
  std::erase(ids, id);
  return ids;
}

std::vector<std::string> Hosts::ToldWait(const std::string& id, net::Time wait, net::Time now) {
  const Host* const host = Find(id);
  return host == nullptr ? std::vector<std::string>() : ToldWait(id, host->to, wait, now);
}

net::Time Hosts::WaitUntil(const std::string& id) const {
  const Host* const host = Find(id);
  const auto wait = host == nullptr ? waits_.end() : waits_.find(RouteOf(id, *host));
  return wait == waits_.end() ? net::Time(0) : wait->second;
}

void Hosts::TakeWait(const relay::HostWait& wait) {
  if (const Host* const host = Find(wait.host)) Bind(wait.host, *host, wait.until);
}

void Hosts::TakeWait(const relay::AddressWait& wait) {
  if (const auto address = net::ParseAddress(wait.address)) BindAddress(*address, wait.until);
}

std::vector<relay::HostWait> Hosts::Waits(net::Time now) const {
  std::vector<relay::HostWait> all;
  for (const auto& [id, host] : hosts_) {
    const net::Time until = WaitUntil(id);
    if (until > now) all.push_back({id, now, until});
  }
  return all;
}

std::vector<relay::AddressWait> Hosts::AddressWaits(net::Time now) const {
  std::vector<relay::AddressWait> all;
  for (const auto& [key, until] : address_waits_) {
    if (until <= now) continue;
    net::Address address{};
    address.sin_addr.s_addr = key.first;
    address.sin_port = key.second;
    all.push_back({net::AddressText(address), until});
  }
  return all;
}

// Drains and waits leave those that were on their way some slack, by when the list or the answer was written.
// How long ago that was is not known here, and such a call would most likely be refused: none is used.
bool Hosts::MayWrite(const std::string& id, net::Time write_before, net::Time now) const {
  const Host* const host = Find(id);
  if (host == nullptr || !host->known || !host->ready) return false;
  if (now < WaitUntil(id)) return false;
  return now < write_before && now < list_valid_until_;
}

std::vector<std::string> Hosts::LongGone(net::Time now) const {
  std::vector<std::string> all;
  for (const std::string& id : gone_) {
    if (now - hosts_.at(id).unready_since > kForgetAfter) all.push_back(id);
  }
  return all;
}

void Hosts::Forget(const std::string& id) {
  const auto it = hosts_.find(id);
  if (it == hosts_.end()) return;
  if (const auto there = at_address_.find(it->second.address); there != at_address_.end()) {
    there->second.erase(id);
    if (there->second.empty()) at_address_.erase(there);
  }
  gone_.erase(id);
  hosts_.erase(it);
}

}  // namespace oxbowspread::endpoint
