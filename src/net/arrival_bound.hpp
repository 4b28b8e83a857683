// How long bytes can have lain unread. A process that stood still (stopped, or starved of the processor)
// finds bytes whose sender has counted the time since; this says from when on they may have been there. No
// I/O: it is told when the loop has looked at its sockets.
//
// Times are microseconds of one clock that never goes back. Throws nothing and owns nothing.
//
// What is read in one round of the loop came after the look before, unless that look was cut short by a
// signal, or the bytes came with a connection that had to be accepted first: up to kRounds rounds. Looks are
// kLookEach apart at most while the process runs, so a longer pause than kStood is one in which it stood.
// Between looks that are closer no time is counted: bytes lie for kStood at most uncounted.
#pragma once

#include <array>
#include <chrono>

namespace oxbowspread::net {

class ArrivalBound {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kLookEach{50'000};
  static constexpr Time kStood{100'000};
  static constexpr std::size_t kRounds = 3;

  // All sockets have been looked at, and what came is about to be read.
  void Looked(Time now);
  // What is read until the next look came no earlier; 0 until there were enough looks to say.
  Time earliest() const;

 private:
  std::array<Time, kRounds + 1> looks_{};  // the last one first
};

}  // namespace oxbowspread::net
