// Since when bytes that a process reads now can have lain there, by its looks at its sockets.
#include "net/arrival_bound.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using oxbowspread::net::ArrivalBound;

ArrivalBound LookedAt(std::initializer_list<ArrivalBound::Time> looks) {
  ArrivalBound bound;
  for (const ArrivalBound::Time look : looks) bound.Looked(look);
  return bound;
}

}  // namespace

TEST_CASE("arrival bound: looks that are close tell of bytes that have just come", "[net]") {
  CHECK(LookedAt({1s, 1100ms, 1200ms, 1300ms}).earliest() == 1300ms);
  CHECK(LookedAt({1s, 1050ms, 1100ms, 1150ms, 1201ms}).earliest() == 1201ms);
}

TEST_CASE("arrival bound: after a pause they may have come since the look before it", "[net]") {
  const auto paused = [](std::initializer_list<ArrivalBound::Time> after) {
    ArrivalBound bound = LookedAt({1s, 1100ms, 1200ms});
    for (const ArrivalBound::Time look : after) bound.Looked(look);
    return bound.earliest();
  };
  CHECK(paused({3s}) == 1200ms);
  // The look may have been cut short by a signal, and connections at the door are accepted in many rounds.
  CHECK(paused({3s, 3001ms}) == 1200ms);
  CHECK(paused({3s, 3001ms, 3002ms, 3003ms, 3004ms, 3005ms, 3100ms, 3199ms}) == 1200ms);
  CHECK(paused({3s, 3100ms, 3200ms}) == 3200ms);
}

TEST_CASE("arrival bound: of two pauses the earlier one counts", "[net]") {
  CHECK(LookedAt({1s, 1100ms, 1200ms, 2s, 2001ms, 3s}).earliest() == 1200ms);
}

TEST_CASE("arrival bound: before it has looked for a while it tells nothing", "[net]") {
  CHECK(ArrivalBound().earliest() == 0s);
  CHECK(LookedAt({1s, 1001ms, 1002ms, 1003ms}).earliest() == 0s);
  CHECK(LookedAt({1s, 1100ms, 1200ms}).earliest() == 1200ms);
}
