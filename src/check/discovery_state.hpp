// Derives from the events of a run what discovery's list contains and whether discovery can be reached, and
// from this when a relay could first learn that a host is draining or removed. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "trace/event.hpp"

namespace oxbowspread::check {

// The state of discovery as the trace events show it.
class DiscoveryState {
 public:
  // Events come in order of time; kinds other than kHostChanged and kDiscoveryReachable are ignored.
  void Observe(const trace::Event& event);
  bool reachable() const { return reachable_; }
  // Since when discovery's list shows the host as draining or removed; std::nullopt if it is up.
  std::optional<trace::Time> NotUpSince(const std::string& host) const;
  // The first moment at which discovery could announce a change, which its list contains since `changed_at`,
  // to a relay whose process is up since `up_since`. Meaningless while discovery can't be reached.
  trace::Time EarliestAnnouncement(trace::Time changed_at, trace::Time up_since) const;

 private:
  std::map<std::string, trace::Time> not_up_since_;
  bool reachable_ = true;
  trace::Time reachable_since_{0};
};

}  // namespace oxbowspread::check
