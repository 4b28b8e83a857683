// Tests of the lower bound on the arrival time of the bytes that a process reads. The bound follows from the
// times at which the process polled its sockets.
#include "net/arrival_bound.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using oxbowspread::net::ArrivalBound;

ArrivalBound AfterPolls(std::initializer_list<ArrivalBound::Time> polls) {
  ArrivalBound bound;
  for (const ArrivalBound::Time poll_time : polls) bound.RecordPoll(poll_time);
  return bound;
}

}  // namespace

TEST_CASE("arrival bound: after polls at short intervals the bytes have just arrived", "[net]") {
  CHECK(AfterPolls({1s, 1050ms, 1100ms, 1150ms}).earliest() == 1150ms);
  CHECK(AfterPolls({1s, 1100ms, 1200ms, 1300ms}).earliest() == 1300ms);
}

TEST_CASE("arrival bound: after a stall the bytes may have arrived since the poll before it", "[net]") {
  CHECK(AfterPolls({1s, 1050ms, 1100ms, 3s}).earliest() == 1100ms);
  // A signal may have interrupted the poll, so that the connection was accepted only in the next iteration.
  CHECK(AfterPolls({1050ms, 1100ms, 3s, 3001ms}).earliest() == 1100ms);
  CHECK(AfterPolls({1100ms, 3s, 3001ms, 3002ms}).earliest() == 1100ms);
  CHECK(AfterPolls({3s, 3001ms, 3002ms, 3003ms}).earliest() == 3003ms);
}

TEST_CASE("arrival bound: the earlier of two stalls counts", "[net]") {
  CHECK(AfterPolls({1s, 2s, 2001ms, 3s}).earliest() == 1s);
}

TEST_CASE("arrival bound: is zero until enough polls were recorded", "[net]") {
  CHECK(ArrivalBound().earliest() == 0s);
  CHECK(AfterPolls({1s, 1001ms}).earliest() == 0s);
  CHECK(AfterPolls({1s, 1001ms, 1002ms, 1003ms}).earliest() == 1003ms);
}
