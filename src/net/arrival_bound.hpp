// How long bytes can have lain unread. A process that stood still (stopped, or starved of the processor)
// finds bytes whose sender has counted the time since; this says from when on they may have been there. No
// I/O: it is told when the loop has looked at its sockets.
//
// Times are microseconds of one clock that never goes back. Throws nothing and owns nothing.
//
// Looks are kLookEach apart at most while the process runs, so a longer pause than kStood is one in which it
// stood. What it finds then may have come since the look before the pause. It takes several rounds of the
// loop to read all of it: a look may be cut short by a signal, a connection is accepted in one round and read
// in a later one, and a crowd at the door is accepted in parts. So all that is read until kCaughtUp after the
// pause counts as come in it; where the process stands again by then, as come since the first pause.
// Between looks that are closer no time is counted: bytes lie for kStood at most uncounted.
#pragma once

#include <chrono>

namespace oxbowspread::net {

class ArrivalBound {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kLookEach{50'000};
  static constexpr Time kStood{100'000};
  static constexpr Time kCaughtUp{200'000};

  // All sockets have been looked at, and what came is about to be read.
  void Looked(Time now);
  // What is read until the next look came no earlier; 0 for kCaughtUp from the first look on.
  Time earliest() const { return look_ < caught_up_at_ ? before_pause_ : look_; }

 private:
  Time look_{0};  // the last one
  Time before_pause_{0}, caught_up_at_{0};
};

}  // namespace oxbowspread::net
