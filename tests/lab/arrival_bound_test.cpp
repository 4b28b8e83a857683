// Tests of ArrivalBound: the earliest possible arrival time of bytes, derived from the times of socket polls.
#include "net/arrival_bound.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using oxbowspread::net::ArrivalBound;

ArrivalBound PolledAt(std::initializer_list<ArrivalBound::Time> polls) {
  ArrivalBound bound;
  for (const ArrivalBound::Time poll : polls) bound.RecordPoll(poll);
  return bound;
}

}  // namespace

TEST_CASE("arrival bound: polls at short intervals give the time of the last poll", "[net]") {
  CHECK(PolledAt({1s, 1050ms, 1100ms, 1150ms}).earliest() == 1150ms);
  CHECK(PolledAt({1s, 1100ms, 1200ms, 1300ms}).earliest() == 1300ms);
}

TEST_CASE("arrival bound: after a stall bytes may have arrived since the poll before it", "[net]") {
  CHECK(PolledAt({1s, 1050ms, 1100ms, 3s}).earliest() == 1100ms);
  // The poll may have been interrupted by a signal, and a connection was accepted in the next round.
  CHECK(PolledAt({1050ms, 1100ms, 3s, 3001ms}).earliest() == 1100ms);
  CHECK(PolledAt({1100ms, 3s, 3001ms, 3002ms}).earliest() == 1100ms);
  CHECK(PolledAt({3s, 3001ms, 3002ms, 3003ms}).earliest() == 3003ms);
}

TEST_CASE("arrival bound: the earlier of two stalls counts", "[net]") {
  CHECK(PolledAt({1s, 2s, 2001ms, 3s}).earliest() == 1s);
}

TEST_CASE("arrival bound: it is 0 until enough polls were recorded", "[net]") {
  CHECK(ArrivalBound().earliest() == 0s);
  CHECK(PolledAt({1s, 1001ms}).earliest() == 0s);
  CHECK(PolledAt({1s, 1001ms, 1002ms, 1003ms}).earliest() == 1003ms);
}
