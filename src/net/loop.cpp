#include "net/loop.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

namespace oxbowspread::net {
namespace {
Time ReadClock(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::duration_cast<Time>(std::chrono::nanoseconds(now.tv_nsec));
}
void ChangeSignalMask(int how, int signal_number) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, signal_number);
  sigprocmask(how, &signals, nullptr);
}
}  // namespace

Loop::Loop() : loop_(ev::AUTO), prepare_(loop_), check_(loop_), poll_timer_(loop_) {
  prepare_.set<Loop, &Loop::OnPrepare>(this);
  prepare_.start();
  check_.set<Loop, &Loop::OnCheck>(this);
  check_.priority = EV_MAXPRI;  // runs before any read callback
  check_.start();
  poll_timer_.set<Loop, &Loop::OnPollTimer>(this);
}

void Loop::StartPeriodicPolling() {
  const double interval_s = std::chrono::duration<double>(ArrivalBound::kPollInterval).count();
  poll_timer_.start(interval_s, interval_s);
}

Time Loop::Now() { return ReadClock(CLOCK_MONOTONIC); }
Time Loop::UnixNow() { return ReadClock(CLOCK_REALTIME); }

Timer::Timer(Loop& loop, std::function<void()> callback)
    : timer_(loop.ref()), loop_(loop.ref()), callback_(std::move(callback)) {
  timer_.set<Timer, &Timer::OnTimeout>(this);
}

void Timer::After(Time delay) {
  due_at_ = Loop::Now() + std::max(Time(0), delay);
  polled_since_due_ = false;
  Start(delay);
}

void Timer::OnTimeout(ev::timer&, int) {
  if (!polled_since_due_ && Loop::Now() - due_at_ > kLateThreshold) {
    polled_since_due_ = true;
    return Start(Time(0));
  }
  callback_();
}

void Timer::Start(Time delay) {
  timer_.stop();
  ev_now_update(loop_);  // libev counts from its last poll, which is in the past after a long callback
  timer_.start(std::max(0.0, static_cast<double>(delay.count()) * 1e-6), 0);
}

Signal::Signal(Loop& loop, int signal_number, std::function<void()> handler)
    : signal_number_(signal_number), signal_(loop.ref()), handler_(std::move(handler)) {
  signal_.set<Signal, &Signal::OnSignal>(this);
  signal_.start(signal_number);
  ChangeSignalMask(SIG_UNBLOCK, signal_number);
}

void Signal::Block(int signal_number) { ChangeSignalMask(SIG_BLOCK, signal_number); }

}  // namespace oxbowspread::net
