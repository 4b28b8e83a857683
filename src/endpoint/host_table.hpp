// Table of the known hosts. Decides when a call may be written to a host, based on its state in the routing
// table, the waits that hosts requested (Retry-After), and the current owner of its address. Has no clock and
// performs no I/O.
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

// A host as discovery lists it, with the state that is derived from the listing.
struct Host {
  std::string address;            // IPv4:port, as listed
  net::Address socket_address{};  // the last address that could be parsed
  bool owns_address = false;      // the address can be parsed, and no other host has taken it over
  int zone = 0;
  // `removed`: missing from the last full list, or listed as removed.
  bool ready = false, removed = false;
  net::Time unready_since{0};  // when it last stopped being ready
  wheathub::DestinationId destination = 0;
  int kind = 0;
};

// The table of known hosts. Times are microseconds of the clock of net::Loop::Now.
class HostTable {
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

  // Returns null if no list has contained the host, or it was forgotten. The pointer is valid until the next
  // Apply or Forget.
  const Host* Find(const std::string& id) const;
  // Records that a call to that host at that address was answered at `now` with a request to wait. The wait
  // blocks the host's route, and every other host that has the address now or is assigned it before the wait
  // ends: the routing table is delayed, so any of these hosts may have answered. If several waits apply, the
  // longest counts. Returns the ids of the other hosts that have the address now.
  std::vector<std::string> RecordRetryAfter(const std::string& id, const net::Address& address,
                                            net::Time wait, net::Time now);
  // Does the same for the host's current address. Does nothing if the host is unknown.
  std::vector<std::string> RecordRetryAfter(const std::string& id, net::Time wait, net::Time now);
  // Returns the end of the wait of the host's route; 0 if there is none. The time may be in the past.
  net::Time BlockedUntil(const std::string& id) const;
  // Restores a wait that another process recorded.
  void RestoreWait(const relay::HostWait& wait);
  void RestoreWait(const relay::AddressWait& wait);
  // Return the waits that have not ended at `now`, for the handover to another process.
  std::vector<relay::HostWait> HostWaits(net::Time now) const;
  std::vector<relay::AddressWait> AddressWaits(net::Time now) const;
  // Sets the time at which the routing table expires. No call may be written at `moment` or later.
  void SetListValidUntil(net::Time moment) { list_valid_until_ = moment; }
  // Returns whether a call may be written to the host. It may not if another host has taken over the address,
  // the host is not ready, its route is blocked by a wait, the routing table has expired, or `write_deadline`
  // has been reached.
  bool MayWrite(const std::string& id, net::Time write_deadline, net::Time now) const;

  // Returns the ids of the removed hosts that have been unready for so long that they can be forgotten.
  std::vector<std::string> ExpiredHosts(net::Time now) const;
  // Removes the host from the table; the waits of its route and address remain.
  void Forget(const std::string& id);

  std::size_t size() const { return hosts_.size(); }

 private:
  // Destination and host id. The host id is empty unless the host is a separate route.
  using Route = std::pair<wheathub::DestinationId, std::string>;
  using AddressKey = std::pair<in_addr_t, in_port_t>;

  static AddressKey KeyOf(const net::Address& address) { return {address.sin_addr.s_addr, address.sin_port}; }
  Route RouteOf(const std::string& id, const Host& host) const;
  // The wait functions never shorten a wait.
  void ExtendWait(const std::string& id, const Host& host, net::Time until);
  std::vector<std::string> ExtendAddressWait(const net::Address& address, net::Time until);
  void ApplyAddressWait(const std::string& id, const Host& host, net::Time now);
  void Apply(const relay::Host& listed, net::Time now, std::vector<std::string>* close_idle);
  void ResolveAddressOwner(const std::string& id, Host& host, std::vector<std::string>* close_idle);
  void SetRemoved(const std::string& id, Host& host, bool removed);
  void SetAddress(const std::string& id, Host& host, const std::string& address);

  std::map<std::string, Host> hosts_;
  // An address has several ids only while it is being reassigned to another host.
  std::map<std::string, std::set<std::string>> ids_by_address_;
  std::set<std::string> removed_;
  std::vector<bool> separate_routes_by_kind_;
  net::Time list_valid_until_ = net::Time::max();
  // End times; expired entries are removed when a new wait is recorded.
  std::map<Route, net::Time> route_waits_;
  std::map<AddressKey, net::Time> address_waits_;
};

}  // namespace oxbowspread::endpoint
