// Measures how long relays did not know that a host is draining or removed: from when discovery's list had
// it, discovery could be reached and the relay's process was up, until discovery wrote it to the relay. No
// I/O.
#pragma once

#include <map>
#include <string>

#include "check/discovery_state.hpp"
#include "trace/event.hpp"

namespace oxbowspread::check {

// The longest delay between a change of discovery's list and its arrival at a relay.
class ListDelay {
 public:
  // Events come in order of time.
  void Observe(const trace::Event& event);
  // The longest delay so far. For relays that were never told, the delay lasts until kEnd.
  trace::Time worst() const { return worst_; }

 private:
  struct Relay {
    bool up = false;
    trace::Time up_since{0};
    std::map<std::string, trace::Time>
        unannounced;  // hosts that it was not told of yet; since when discovery has the change
  };

  void OnHostChanged(const trace::Event& event);
  void OnHostAnnounced(const trace::Event& event);
  void RecordDelay(const Relay& relay, trace::Time changed_at, trace::Time now);

  std::map<int, Relay> relays_;
  DiscoveryState discovery_;
  trace::Time worst_{0};
};

}  // namespace oxbowspread::check
