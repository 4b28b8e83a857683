// The routing table as discovery lists it, the hosts that operators have taken out, and those that a
// discovery which lags says are not to be used: what the module and the endpoint side are told is these laid
// over the first. No I/O; it owns copies, and an id nobody knows is no error.
#pragma once

#include <map>
#include <set>
#include <string>

#include "relay/ports.hpp"

namespace oxbowspread::relay {

class Table {
 public:
  // Takes up what discovery told; returns it as it counts here: a host that is out drains. Hosts withheld so
  // far are among it, as they are listed.
  RoutingChange Adopt(RoutingChange change);
  // Takes from a list older than what is known which hosts it says drain or are gone; they count as draining
  // until the next Adopt, or until such a list names them Ready again. Returns what changes by that.
  RoutingChange Withhold(const RoutingChange& older);
  // Whether discovery's list holds it now.
  bool Lists(const std::string& id) const { return hosts_.count(id) > 0; }
  bool IsOut(const std::string& id) const { return out_.count(id) > 0; }
  // From now on until PutBack it counts as draining, listed or not. Returns what changes by that, which may
  // be no host at all; so does PutBack.
  RoutingChange TakeOut(const std::string& id);
  RoutingChange PutBack(const std::string& id);

  // All of it as discovery listed it, with the last revision.
  RoutingChange Listed() const;

 private:
  static void Merge(const Host& known, Host* news);
  Host Laid(Host host) const;
  RoutingChange Change(const std::string& id) const;

  std::map<std::string, Host> hosts_;  // as listed; those gone from the list are not kept
  std::set<std::string> out_;
  std::set<std::string> withheld_;  // by a discovery that lags
  std::int64_t revision_ = 0;
};

}  // namespace oxbowspread::relay
