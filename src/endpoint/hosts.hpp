// What is known of the endpoints, and what may be written to each of them when: drains, told waits, and
// addresses that pass from one host to another. Knows no socket and no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection.hpp"
#include "relay/estate.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::endpoint {

struct Host {
  std::string address;
  net::Address to{};
  bool known = false;  // the address can be read, and no other host has taken it over
  int zone = 0;
  bool ready = false, gone = false;
  net::Time unready_since{0};
  wheathub::DestinationId destination = 0;
  int kind = 0;
};

class Hosts {
 public:
  // For each kind, by the list's number of it, whether its hosts are routes apart: a wait that such a host
  // tells binds it alone, any other binds all hosts of its destination.
  void SetKinds(std::vector<bool> apart) { apart_ = std::move(apart); }
  // Takes up what discovery told at `now`, which never goes back. Returns the ids of the hosts to which no
  // idle line may be kept, a host's possibly more than once; a failed fetch changes nothing.
  std::vector<std::string> Adopt(const relay::RoutingChange& change, net::Time now);

  // Null where no list so far named it, or it was forgotten. Good until the next Adopt or Forget.
  const Host* Find(const std::string& id) const;
  // A call to that host was answered at `now`, at that address, with a wait. It binds the host's route and
  // every other host that stands at the address, now or until the wait is over: which of them answered can't
  // be told, as lists lag behind. The longest wait counts. Returns the ids of those other hosts.
  std::vector<std::string> ToldWait(const std::string& id, const net::Address& at, net::Time wait,
                                    net::Time now);
  // The same where the host stands by now. Passed over for a host that isn't known.
  std::vector<std::string> ToldWait(const std::string& id, net::Time wait, net::Time now);
  // Until when nothing may be sent to it by what was told so far; 0 if no wait was told.
  net::Time WaitUntil(const std::string& id) const;
  // As another process had it.
  void TakeWait(const relay::HostWait& wait);
  void TakeWait(const relay::AddressWait& wait);
  std::vector<relay::HostWait> Waits(net::Time now) const;
  std::vector<relay::AddressWait> AddressWaits(net::Time now) const;
  // The list may be used until that moment.
  void ListValidUntil(net::Time moment) { list_valid_until_ = moment; }
  // Whether a call may be written to it: never to one that has lost its address or drains, nor to one whose
  // route was told to wait, nothing once the list is too old, and nothing at `write_before` or later.
  bool MayWrite(const std::string& id, net::Time write_before, net::Time now) const;

  // Those that left the list so long ago that nothing comes of them any more, by id.
  std::vector<std::string> LongGone(net::Time now) const;
  void Forget(const std::string& id);

  std::size_t size() const { return hosts_.size(); }

 private:
  using Route = std::pair<wheathub::DestinationId, std::string>;  // a host's id where it is a route apart
  using AddressKey = std::pair<in_addr_t, in_port_t>;

  static AddressKey KeyOf(const net::Address& address) { return {address.sin_addr.s_addr, address.sin_port}; }
  Route RouteOf(const std::string& id, const Host& host) const;
  void Bind(const std::string& id, const Host& host, net::Time until);
  std::vector<std::string> BindAddress(const net::Address& address, net::Time until);
  void InheritWait(const std::string& id, const Host& host, net::Time now);
  void Adopt(const relay::Host& news, net::Time now, std::vector<std::string>* close);
  void TakeAddress(const std::string& id, Host& host, std::vector<std::string>* close);
  void Gone(const std::string& id, Host& host, bool gone);
  void Move(const std::string& id, Host& host, const std::string& address);

  std::map<std::string, Host> hosts_;
  std::map<std::string, std::set<std::string>> at_address_;  // ids: one, but while an address changes hands
  std::set<std::string> gone_;
  std::vector<bool> apart_;  // by kind
  net::Time list_valid_until_ = net::Time::max();
  // Until when; those over are dropped as new ones come.
  std::map<Route, net::Time> waits_;
  std::map<AddressKey, net::Time> address_waits_;
};

}  // namespace oxbowspread::endpoint
