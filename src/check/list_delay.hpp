// How long relays went without knowing that a host drains or is gone: from when discovery had it, could be
// reached and the relay's process was up, until discovery wrote it to the relay. No I/O.
#pragma once

#include <map>
#include <string>

#include "check/discovery_state.hpp"
#include "trace/event.hpp"

namespace oxbowspread::check {

class ListDelay {
 public:
  // In the order of time.
  void See(const trace::Event& event);
  // The longest one so far; relays that were never told count up to kEnd.
  trace::Time worst() const { return worst_; }

 private:
  struct Relay {
    bool up = false;
    trace::Time up_since{0};
    std::map<std::string, trace::Time> untold;  // hosts, since when discovery has it
  };

  void Changed(const trace::Event& event);
  void Told(const trace::Event& event);
  void Note(const Relay& relay, trace::Time changed_at, trace::Time now);

  std::map<int, Relay> relays_;
  DiscoveryState discovery_;
  trace::Time worst_{0};
};

}  // namespace oxbowspread::check
