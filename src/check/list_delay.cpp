#include "check/list_delay.hpp"

#include <algorithm>

namespace oxbowspread::check {

using Kind = trace::Event::Kind;

void ListDelay::See(const trace::Event& event) {
  if (event.kind == Kind::kChanged) Changed(event);
  discovery_.See(event);
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
    case Kind::kTold:
      Told(event);
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

void ListDelay::Changed(const trace::Event& event) {
  const bool known = discovery_.UnlistedSince(event.host).has_value();
  for (auto& [number, relay] : relays_) {
    if (event.up) relay.untold.erase(event.host);
    if (!event.up && !known) relay.untold.emplace(event.host, event.at);
  }
}

void ListDelay::Told(const trace::Event& event) {
  Relay& relay = relays_[event.relay];
  const auto it = relay.untold.find(event.host);
  if (event.up || it == relay.untold.end()) return;
  Note(relay, it->second, event.at);
  relay.untold.erase(it);
}

void ListDelay::Note(const Relay& relay, trace::Time changed_at, trace::Time now) {
  if (!relay.up || !discovery_.reachable()) return;
  worst_ = std::max(worst_, now - discovery_.TellableSince(changed_at, relay.up_since));
}

}  // namespace oxbowspread::check
