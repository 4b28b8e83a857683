// Measures how late relays learn that a host is draining or removed: the time from when discovery's list
// contains it, discovery can be reached and the relay's process is up, until discovery writes it to the
// relay. No I/O.
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
  // The longest delay so far. A change that is never announced to a relay counts with the delay until kEnd.
  trace::Time worst() const { return worst_; }

 private:
  struct Relay {
    bool up = false;
    trace::Time up_since{0};
    // Hosts whose change has not been announced to the relay yet, and since when discovery's list contains
    // it.
    std::map<std::string, trace::Time> unannounced;
  };

  void OnHostChanged(const trace::Event& event);
  void OnHostAnnounced(const trace::Event& event);
  void RecordDelay(const Relay& relay, trace::Time changed_at, trace::Time now);

  std::map<int, Relay> relays_;
  DiscoveryState discovery_;
  trace::Time worst_{0};
};

}  // namespace oxbowspread::check
