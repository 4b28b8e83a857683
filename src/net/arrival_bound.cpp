#include "net/arrival_bound.hpp"

namespace oxbowspread::net {

void ArrivalBound::Looked(Time now) {
  if (now - look_ > kStood) {
    before_pause_ = earliest();
    caught_up_at_ = now + kCaughtUp;
  }
  look_ = now;
}

}  // namespace oxbowspread::net
