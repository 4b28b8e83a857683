#include "check/list_delay.hpp"

#include <algorithm>

namespace oxbowspread::check {

using Kind = trace::Event::Kind;

void ListDelay::Observe(const trace::Event& event) {
  if (event.kind == Kind::kHostChanged) OnHostChanged(event);
  discovery_.Observe(event);
  switch (event.kind) {
    case Kind::kReady:
      relays_[event.relay].up = true;
      relays_[event.relay].up_since = event.at;
      break;
    case Kind::kExited:
    case Kind::kTerminating:
    case Kind::kSuspended:
      relays_[event.relay].up = false;
      break;
    case Kind::kHostAnnounced:
      OnHostAnnounced(event);
      break;
    case Kind::kEnd:
      for (const auto& [number, relay] : relays_) {
        for (const auto& [host, changed_at] : relay.unannounced) RecordDelay(relay, changed_at, event.at);
      }
      break;
    default:
      break;
  }
}

void ListDelay::OnHostChanged(const trace::Event& event) {
  const bool already_not_up = discovery_.NotUpSince(event.host).has_value();
  for (auto& [number, relay] : relays_) {
    if (event.up) relay.unannounced.erase(event.host);
    if (!event.up && !already_not_up) relay.unannounced.emplace(event.host, event.at);
  }
}

void ListDelay::OnHostAnnounced(const trace::Event& event) {
  Relay& relay = relays_[event.relay];
  const auto it = relay.unannounced.find(event.host);
  if (event.up || it == relay.unannounced.end()) return;
  RecordDelay(relay, it->second, event.at);
  relay.unannounced.erase(it);
}

void ListDelay::RecordDelay(const Relay& relay, trace::Time changed_at, trace::Time now) {
  if (!relay.up || !discovery_.reachable()) return;
  worst_ = std::max(worst_, now - discovery_.EarliestAnnouncement(changed_at, relay.up_since));
}

}  // namespace oxbowspread::check
