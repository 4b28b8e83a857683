#include "net/arrival_bound.hpp"

#include <algorithm>

namespace oxbowspread::net {

void ArrivalBound::RecordPoll(Time now) {
  std::rotate(poll_times_.rbegin(), poll_times_.rbegin() + 1, poll_times_.rend());
  poll_times_.front() = now;
}

ArrivalBound::Time ArrivalBound::earliest() const {
  for (std::size_t i = kMaxReadDelayRounds; i > 0; --i) {
    if (poll_times_[i - 1] - poll_times_[i] > kStallThreshold) return poll_times_[i];
  }
  return poll_times_.front();
}

}  // namespace oxbowspread::net
