// The routing table: the hosts listed by discovery, combined with the hosts that operators have excluded and
// the hosts that a stale discovery answer reported as unusable. The decision module and the endpoint
// transport use the combined state. Performs no I/O and stores copies; unknown host ids are not an error.
#pragma once

#include <map>
#include <set>
#include <string>

#include "relay/ports.hpp"

namespace oxbowspread::relay {

// Holds the listed hosts and derives the state in which they are used.
class RoutingTable {
 public:
  // Applies a change from discovery. Returns the change with effective host states: an excluded host counts
  // as draining. All hosts that were withheld are released; the result also contains those of them that the
  // change does not, with their effective state.
  RoutingChange Apply(RoutingChange change);
  // Applies a list that is older than the current one. It only withholds hosts: those that it reports as
  // draining or removed, and those that are missing in it if it is a full list. A withheld host counts as
  // draining until the next Apply or until another stale list reports it as ready. Returns the hosts whose
  // effective state changed.
  RoutingChange ApplyStale(const RoutingChange& older);
  // Returns whether the host is in discovery's current list.
  bool IsListed(const std::string& id) const { return hosts_.count(id) > 0; }
  bool IsExcluded(const std::string& id) const { return excluded_.count(id) > 0; }
  // Exclude a host and include it again. An excluded host counts as draining whether it is listed or not.
  // Both functions return the hosts whose effective state may have changed; the result may be empty.
  RoutingChange ExcludeHost(const std::string& id);
  RoutingChange IncludeHost(const std::string& id);

  // Returns all hosts as listed by discovery, with the last revision.
  RoutingChange Listed() const;

 private:
  // Fills in the fields that `update` omits.
  static void Merge(const Host& previous, Host* update);
  // Returns the host as draining if it is ready but excluded or withheld, otherwise unchanged.
  Host EffectiveHost(Host host) const;
  // Returns a change with only that host; empty if the host is not listed.
  RoutingChange ChangeFor(const std::string& id) const;

  std::map<std::string, Host> hosts_;  // as listed; hosts removed from the list are erased
  std::set<std::string> excluded_;
  std::set<std::string> withheld_;  // reported as unusable by a stale list
  std::int64_t revision_ = 0;
};

}  // namespace oxbowspread::relay
