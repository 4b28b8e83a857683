// Event loop over libev, with its clocks, timers, signal watchers and deferred destruction of objects that
// must not be destroyed inside their own callbacks.
#pragma once

#include <ev++.h>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "net/arrival_bound.hpp"

namespace oxbowspread::net {

using Time = std::chrono::microseconds;

// The event loop. A thread has at most one. Must outlive all timers, signal watchers and sockets that use it.
class Loop {
 public:
  Loop();
  ev::loop_ref ref() { return loop_; }
  void Run() { loop_.run(0); }
  void Stop() { loop_.break_loop(ev::ALL); }
  // Makes the loop poll the sockets at least every ArrivalBound::kPollInterval, even when it is idle.
  void StartPeriodicPolling();
  // Returns a lower bound for the arrival time of all bytes read in this round of the loop. Only meaningful
  // after StartPeriodicPolling.
  Time earliest_arrival() const { return arrivals_.earliest(); }

  static Time Now();      // monotonic clock
  static Time UnixNow();  // wall clock, for times that are used across restarts of the process

  // Takes ownership and destroys the object once no callback is running.
  template <typename T>
  void DestroyLater(std::unique_ptr<T> object) {
    if (object != nullptr) awaiting_destruction_.push_back(std::shared_ptr<T>(std::move(object)));
  }

 private:
  void OnPrepare(ev::prepare&, int) { std::vector<std::shared_ptr<void>>().swap(awaiting_destruction_); }
  void OnCheck(ev::check&, int) { arrivals_.RecordPoll(Now()); }
  void OnPollTimer(ev::timer&, int) {}

  ev::dynamic_loop loop_;
  ev::prepare prepare_;
  ev::check check_;
  ev::timer poll_timer_;
  ArrivalBound arrivals_;
  std::vector<std::shared_ptr<void>> awaiting_destruction_;
};

// One-shot timer. Setting it again replaces the earlier time. A timer that fires more than kLateThreshold
// late, for example after a stall, waits for one more poll of the sockets before it calls back. The reason is
// that a signal can end the loop's wait without reporting readable sockets, and received bytes must be
// handled before timeouts.
class Timer {
 public:
  static constexpr Time kLateThreshold{20'000};

  Timer(Loop& loop, std::function<void()> callback);
  // Fires once after the delay; a negative delay counts as 0.
  void After(Time delay);
  void At(Time moment) { After(moment - Loop::Now()); }
  void Stop() { timer_.stop(); }
  bool active() const { return timer_.is_active(); }

 private:
  void OnTimeout(ev::timer&, int);
  void Start(Time delay);

  Time due_at_{0};
  bool polled_since_due_ = false;  // this timer has fired late and waits for one more poll of the sockets
  ev::timer timer_;
  ev::loop_ref loop_;
  std::function<void()> callback_;
};

// Calls the handler from the loop when the signal arrives.
class Signal {
 public:
  Signal(Loop& loop, int signal_number, std::function<void()> handler);
  // Blocks the signal again, so that one that arrives while the program shuts down does not kill it.
  ~Signal() { Block(signal_number_); }
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;
  // Blocks the signal until a watcher for it is created. Until then a signal stays pending and does not kill
  // the program.
  static void Block(int signal_number);

 private:
  void OnSignal(ev::sig&, int) { handler_(); }

  int signal_number_;
  ev::sig signal_;
  std::function<void()> handler_;
};

}  // namespace oxbowspread::net
