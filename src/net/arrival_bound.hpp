// Lower bound for the arrival time of the bytes that the event loop is about to read.
//
// After a stall (process stopped, or not scheduled) the loop finds bytes that may have arrived long ago,
// while their sender measures time from the moment at which it sent them. This class derives the earliest
// possible arrival time from the times at which the loop polled its sockets. It performs no I/O: the loop
// reports each poll.
//
// Times are microseconds of one monotonic clock. No function throws.
//
// Bytes read in one round of the loop usually arrived after the previous poll. They may be up to
// kMaxReadDelayRounds rounds older if a signal interrupted that poll, or if their connection had to be
// accepted first. While the process runs, polls are at most kPollInterval apart, so a gap longer than
// kStallThreshold is a stall. Shorter gaps are ignored, so bytes may be up to kStallThreshold older than the
// bound.
#pragma once

#include <array>
#include <chrono>

namespace oxbowspread::net {

// Records poll times and computes the bound.
class ArrivalBound {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kPollInterval{50'000};
  static constexpr Time kStallThreshold{100'000};
  static constexpr std::size_t kMaxReadDelayRounds = 3;

  // Must be called after each poll of all sockets, before anything is read. `now` is the time of the poll.
  void RecordPoll(Time now);
  // Returns the bound for bytes that are read before the next poll; 0 until enough polls were recorded.
  Time earliest() const;

 private:
  std::array<Time, kMaxReadDelayRounds + 1> poll_times_{};  // newest first
};

}  // namespace oxbowspread::net
