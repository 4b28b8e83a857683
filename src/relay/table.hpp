// The routing table as discovery lists it, and the hosts that operators have taken out: what the module and
// the endpoint side are told is one laid over the other. No I/O; it owns copies, and an id nobody knows is no
// error.
#pragma once

#include <map>
#include <set>
#include <string>

#include "relay/ports.hpp"

namespace oxbowspread::relay {

class Table {
 public:
  // Takes up what discovery told; returns it as it counts here: a host that is out drains.
  RoutingChange Adopt(RoutingChange change);
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
  Host Laid(Host host) const;
  RoutingChange Change(const std::string& id) const;

  std::map<std::string, Host> hosts_;  // as listed; those gone from the list are not kept
  std::set<std::string> out_;
  std::int64_t revision_ = 0;
};

}  // namespace oxbowspread::relay
