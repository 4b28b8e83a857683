// What discovery has, and whether it can be reached, by the stream of what crossed: from when on a relay
// could know of a host that drains or is gone. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "trace/event.hpp"

namespace oxbowspread::check {

class DiscoveryState {
 public:
  // In the order of time; other kinds than kChanged and kDiscovery are passed over.
  void See(const trace::Event& event);
  bool reachable() const { return reachable_; }
  // Since when discovery has it that the host drains or is gone; nothing if it is up.
  std::optional<trace::Time> UnlistedSince(const std::string& host) const;
  // The first moment at which a relay that is up since `up_since` could be told what discovery has since
  // `changed_at`. Of no meaning while discovery can't be reached.
  trace::Time TellableSince(trace::Time changed_at, trace::Time up_since) const;

 private:
  std::map<std::string, trace::Time> unlisted_;
  bool reachable_ = true;
  trace::Time reachable_since_{0};
};

}  // namespace oxbowspread::check
