#include "check/discovery_state.hpp"

#include <algorithm>

namespace oxbowspread::check {

using Kind = trace::Event::Kind;

void DiscoveryState::Observe(const trace::Event& event) {
  if (event.kind == Kind::kHostChanged && event.up) not_up_since_.erase(event.host);
  if (event.kind == Kind::kHostChanged && !event.up) not_up_since_.emplace(event.host, event.at);
  if (event.kind != Kind::kDiscoveryReachable) return;
  if (event.up && !reachable_) reachable_since_ = event.at;
  reachable_ = event.up;
}

std::optional<trace::Time> DiscoveryState::NotUpSince(const std::string& host) const {
  const auto it = not_up_since_.find(host);
  if (it == not_up_since_.end()) return std::nullopt;
  return it->second;
}

trace::Time DiscoveryState::EarliestAnnouncement(trace::Time changed_at, trace::Time up_since) const {
  return std::max({changed_at, reachable_since_, up_since});
}

}  // namespace oxbowspread::check
