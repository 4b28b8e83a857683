// Table of the known hosts. Decides when a call may be written to a host, from its state in the routing
// table, the waits that hosts asked for (Retry-After), and the current owner of its address. Has no clock and
// does no I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection.hpp"
#include "relay/handover_state.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::endpoint {

// A host as discovery lists it, with the state that is derived from it.
struct Host {
  std::string address;
  net::Address socket_address{};
  bool owns_address = false;  // the address can be parsed, and no other host has taken it over
  int zone = 0;
  bool ready = false, removed = false;  // removed: missing from the last full list, or listed as removed
  net::Time unready_since{0};
  wheathub::DestinationId destination = 0;
  int kind = 0;
};

// The table of known hosts. Times are microseconds of the clock of net::Loop::Now.
class Hosts {
 public:
  // For each destination kind, by its index in the routing table, whether each of its hosts is a separate
  // route. A wait requested by such a host blocks only that host; otherwise it blocks all hosts of the
  // destination.
  void SetSeparateRoutes(std::vector<bool> separate_routes_by_kind) {
    separate_routes_by_kind_ = std::move(separate_routes_by_kind);
  }
  // Applies a change of the routing table received at `now`, which must not decrease. Returns the ids of the
  // hosts whose idle connections must be closed, possibly with duplicates. A failed fetch changes nothing.
  std::vector<std::string> Apply(const relay::RoutingChange& change, net::Time now);

  // Null if no list has named the host, or it was forgotten. Valid until the next Apply or Forget.
  const Host* Find(const std::string& id) const;
  // Records that a call to that host at that address was answered at `now` with a request to wait. The wait
  // blocks the host's route and every other host that has the address now or gets it before the wait ends:
  // the routing table lags, so any of them may have answered. The longest wait counts. Returns the ids of
  // those other hosts.
  std::vector<std::string> RecordRetryAfter(const std::string& id, const net::Address& address,
                                            net::Time wait, net::Time now);
  // The same for the host's current address. Ignored if the host is unknown.
  std::vector<std::string> RecordRetryAfter(const std::string& id, net::Time wait, net::Time now);
  // The end of the wait that blocks the host; 0 without one.
  net::Time BlockedUntil(const std::string& id) const;
  // Restores a wait that another process recorded.
  void RestoreWait(const relay::HostWait& wait);
  void RestoreWait(const relay::AddressWait& wait);
  // The waits that have not ended at `now`, for the handover to another process.
  std::vector<relay::HostWait> HostWaits(net::Time now) const;
  std::vector<relay::AddressWait> AddressWaits(net::Time now) const;
  // No call may be written at `moment` or later, because the routing table is too old then.
  void SetListValidUntil(net::Time moment) { list_valid_until_ = moment; }
  // Whether a call may be written to the host. It may not if the host has lost its address or is not ready,
  // its route is blocked by a wait, the routing table is too old, or `write_deadline` has been reached.
  bool MayWrite(const std::string& id, net::Time write_deadline, net::Time now) const;

  // Ids of the hosts that left the routing table so long ago that they can be forgotten.
  std::vector<std::string> ExpiredHosts(net::Time now) const;
  // Removes the host from the table; the waits of its route and address remain.
  void Forget(const std::string& id);

  std::size_t size() const { return hosts_.size(); }

 private:
  // The host id is empty unless the host is a separate route.
  using Route = std::pair<wheathub::DestinationId, std::string>;
  using AddressKey = std::pair<in_addr_t, in_port_t>;

  static AddressKey KeyOf(const net::Address& address) { return {address.sin_addr.s_addr, address.sin_port}; }
  Route RouteOf(const std::string& id, const Host& host) const;
  void ExtendWait(const std::string& id, const Host& host, net::Time until);
  std::vector<std::string> ExtendAddressWait(const net::Address& address, net::Time until);
  void ApplyAddressWait(const std::string& id, const Host& host, net::Time now);
  void Apply(const relay::Host& listed, net::Time now, std::vector<std::string>* close_idle);
  void ResolveAddressOwner(const std::string& id, Host& host, std::vector<std::string>* close_idle);
  void SetRemoved(const std::string& id, Host& host, bool removed);
  void SetAddress(const std::string& id, Host& host, const std::string& address);

  std::map<std::string, Host> hosts_;
  // Several ids only while an address passes to another host.
  std::map<std::string, std::set<std::string>> ids_by_address_;
  std::set<std::string> removed_;
  std::vector<bool> separate_routes_by_kind_;
  net::Time list_valid_until_ = net::Time::max();
  // End times; expired entries are removed when a new wait is recorded.
  std::map<Route, net::Time> route_waits_;
  std::map<AddressKey, net::Time> address_waits_;
};

}  // namespace oxbowspread::endpoint
