#include "check/list_delay.hpp"

#include <algorithm>

namespace oxbowspread::check {

using Kind = trace::Event::Kind;

void ListDelay::See(const trace::Event& event) {
  switch (event.kind) {
    case Kind::kReady:
      relays_[event.relay].up = true;
      relays_[event.relay].up_since = event.at;
      break;
    case Kind::kDead:
    case Kind::kTerminated:
    case Kind::kStopped:
      relays_[event.relay].up = false;
      break;
    case Kind::kChanged:
      if (event.up) {
        unlisted_.erase(event.host);
        for (auto& [number, relay] : relays_) relay.untold.erase(event.host);
      } else if (unlisted_.emplace(event.host, event.at).second) {
        for (auto& [number, relay] : relays_) relay.untold.emplace(event.host, event.at);
      }
      break;
    case Kind::kTold: {
      Relay& relay = relays_[event.relay];
      const auto it = relay.untold.find(event.host);
      if (event.up || it == relay.untold.end()) break;
      Note(relay, it->second, event.at);
      relay.untold.erase(it);
      break;
    }
    case Kind::kDiscovery:
      if (event.up && !reachable_) reachable_since_ = event.at;
      reachable_ = event.up;
      break;
    case Kind::kEnd:
      for (const auto& [number, relay] : relays_) {
        for (const auto& [host, changed_at] : relay.untold) Note(relay, changed_at, event.at);
      }
      break;
    default:
      break;
  }
}

void ListDelay::Note(const Relay& relay, trace::Time changed_at, trace::Time now) {
  if (!relay.up || !reachable_) return;
  worst_ = std::max(worst_, now - std::max({changed_at, reachable_since_, relay.up_since}));
}

}  // namespace oxbowspread::check
