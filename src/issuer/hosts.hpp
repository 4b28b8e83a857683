// What is known of the issuer hosts, and what may be written to each of them when: drains, told waits, and
// addresses that pass from one host to another. Knows no socket and no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection.hpp"
#include "relay/estate.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::issuer {

struct Host {
  std::string address;
  net::Address to{};
  bool known = false;  // the address can be read, and no other host has taken it over
  int zone = 0;
  bool ready = false, gone = false;
  net::Time unready_since{0};
  net::Time told_at{0}, wait_until{0};
};

class Hosts {
 public:
  // Takes up what discovery told at `now`, which never goes back. Returns the ids of the hosts to which no
  // idle line may be kept, a host's possibly more than once; a failed fetch changes nothing.
  std::vector<std::string> Adopt(const relay::RoutingChange& change, net::Time now);

  // Null where no list so far named it, or it was forgotten. Good until the next Adopt or Forget.
  const Host* Find(const std::string& id) const;
  // It told a wait at `now`; the longest one counts. Passed over for a host that isn't known.
  void ToldWait(const std::string& id, net::Time wait, net::Time now);
  // As another process had it.
  void TakeWait(const relay::HostWait& wait);
  std::vector<relay::HostWait> Waits(net::Time now) const;
  // Whether a call may be written to it: never to one that has lost its address, none to one that drains or
  // told a wait but what was on its way then, and nothing at `write_before` or later.
  static bool MayWrite(const Host& host, net::Time write_before, net::Time now);

  // Those that left the list so long ago that nothing comes of them any more, by id.
  std::vector<std::string> LongGone(net::Time now) const;
  void Forget(const std::string& id);

  std::size_t size() const { return hosts_.size(); }

 private:
  void Adopt(const relay::Host& news, net::Time now, std::vector<std::string>* close);
  void TakeAddress(const std::string& id, Host& host, std::vector<std::string>* close);
  void Gone(const std::string& id, Host& host, bool gone);
  void Move(const std::string& id, Host& host, const std::string& address);

  std::map<std::string, Host> hosts_;
  std::map<std::string, std::set<std::string>> at_address_;  // ids: one, but while an address changes hands
  std::set<std::string> gone_;
};

}  // namespace oxbowspread::issuer
