#include "check/discovery_state.hpp"

#include <algorithm>

namespace oxbowspread::check {

using Kind = trace::Event::Kind;

void DiscoveryState::See(const trace::Event& event) {
  if (event.kind == Kind::kChanged && event.up) unlisted_.erase(event.host);
  if (event.kind == Kind::kChanged && !event.up) unlisted_.emplace(event.host, event.at);
  if (event.kind != Kind::kDiscovery) return;
  if (event.up && !reachable_) reachable_since_ = event.at;
  reachable_ = event.up;
}

std::optional<trace::Time> DiscoveryState::UnlistedSince(const std::string& host) const {
  const auto it = unlisted_.find(host);
  if (it == unlisted_.end()) return std::nullopt;
  return it->second;
}

trace::Time DiscoveryState::TellableSince(trace::Time changed_at, trace::Time up_since) const {
  return std::max({changed_at, reachable_since_, up_since});
}

}  // namespace oxbowspread::check
