// Since when bytes that a process reads now can have lain there, by its looks at its sockets.
#include "net/arrival_bound.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using oxbowspread::net::ArrivalBound;

ArrivalBound LookedAt(std::initializer_list<ArrivalBound::Time> looks) {
  ArrivalBound bound;
  for (const ArrivalBound::Time look : looks) bound.RecordPoll(look);
  return bound;
}

}  // namespace

TEST_CASE("arrival bound: looks that are close tell of bytes that have just come", "[net]") {
  CHECK(LookedAt({1s, 1050ms, 1100ms, 1150ms}).earliest() == 1150ms);
  CHECK(LookedAt({1s, 1100ms, 1200ms, 1300ms}).earliest() == 1300ms);
}

TEST_CASE("arrival bound: after a pause they may have come since the look before it", "[net]") {
  CHECK(LookedAt({1s, 1050ms, 1100ms, 3s}).earliest() == 1100ms);
  // The look may have been cut short by a signal, and a connection was accepted in the next round.
  CHECK(LookedAt({1050ms, 1100ms, 3s, 3001ms}).earliest() == 1100ms);
  CHECK(LookedAt({1100ms, 3s, 3001ms, 3002ms}).earliest() == 1100ms);
  CHECK(LookedAt({3s, 3001ms, 3002ms, 3003ms}).earliest() == 3003ms);
}

TEST_CASE("arrival bound: of two pauses the earlier one counts", "[net]") {
  CHECK(LookedAt({1s, 2s, 2001ms, 3s}).earliest() == 1s);
}

TEST_CASE("arrival bound: before there were looks enough it tells nothing", "[net]") {
  CHECK(ArrivalBound().earliest() == 0s);
  CHECK(LookedAt({1s, 1001ms}).earliest() == 0s);
  CHECK(LookedAt({1s, 1001ms, 1002ms, 1003ms}).earliest() == 1003ms);
}
