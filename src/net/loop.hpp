// The event loop (libev), its clocks, timers and the disposal of what can't be destroyed in its own callback.
#pragma once

#include <ev++.h>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "net/arrival_bound.hpp"

namespace oxbowspread::net {

using Time = std::chrono::microseconds;

class Loop {
 public:
  Loop();
  ev::loop_ref ref() { return loop_; }
  void Run() { loop_.run(0); }
  void Stop() { loop_.break_loop(ev::ALL); }
  // Looks at the sockets every ArrivalBound::kLookEach from now on, though nothing comes and nothing is due.
  void KeepLooking();
  // No byte that is read in this round of the loop came earlier. Useful after KeepLooking.
  Time earliest_arrival() const { return arrivals_.earliest(); }

  static Time Now();      // monotonic
  static Time UnixNow();  // for what outlasts the process

  // Destroys it once no callback is running.
  template <typename T>
  void Dispose(std::unique_ptr<T> what) {
    if (what != nullptr) disposed_.push_back(std::shared_ptr<T>(std::move(what)));
  }

 private:
  void OnPrepare(ev::prepare&, int) { std::vector<std::shared_ptr<void>>().swap(disposed_); }
  void OnCheck(ev::check&, int) { arrivals_.Looked(Now()); }
  void OnLookDue(ev::timer&, int) {}

  ev::dynamic_loop loop_;
  ev::prepare prepare_;
  ev::check check_;
  ev::timer look_;
  ArrivalBound arrivals_;
  std::vector<std::shared_ptr<void>> disposed_;
};

// One that is called late, as after the process stood still, first lets the loop look once at its sockets: a
// signal ends the loop's wait with nothing told of what has come, and what has come goes before timers.
class Timer {
 public:
  static constexpr Time kLate{20'000};

  Timer(Loop& loop, std::function<void()> due);
  void After(Time span);
  void At(Time moment) { After(moment - Loop::Now()); }
  void Stop() { timer_.stop(); }
  bool active() const { return timer_.is_active(); }

 private:
  void OnDue(ev::timer&, int);
  void Start(Time span);

  Time due_at_{0};
  bool looked_ = false;  // the loop has looked at its sockets since this one was found late
  ev::timer timer_;
  ev::loop_ref loop_;
  std::function<void()> due_;
};

class Signal {
 public:
  Signal(Loop& loop, int number, std::function<void()> came);
  // Held back again from then on: what comes while the program ends must not end it by the signal.
  ~Signal() { HoldBack(number_); }
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;
  // Until a watcher for it starts it neither ends the program nor is lost.
  static void HoldBack(int number);

 private:
  void OnSignal(ev::sig&, int) { came_(); }

  int number_;
  ev::sig signal_;
  std::function<void()> came_;
};

}  // namespace oxbowspread::net
