#include "net/arrival_bound.hpp"

#include <algorithm>

namespace oxbowspread::net {

void ArrivalBound::Looked(Time now) {
  std::rotate(looks_.rbegin(), looks_.rbegin() + 1, looks_.rend());
  looks_.front() = now;
}

ArrivalBound::Time ArrivalBound::earliest() const {
  for (std::size_t i = kRounds; i > 0; --i) {
    if (looks_[i - 1] - looks_[i] > kStood) return looks_[i];
  }
  return looks_.front();
}

}  // namespace oxbowspread::net
