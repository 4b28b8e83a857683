#include "net/loop.hpp"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

namespace oxbowspread::net {
namespace {
Time Read(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return std::chrono::seconds(t.tv_sec) +
         std::chrono::duration_cast<Time>(std::chrono::nanoseconds(t.tv_nsec));
}
void Mask(int how, int number) {
  sigset_t one;
  sigemptyset(&one);
  sigaddset(&one, number);
  sigprocmask(how, &one, nullptr);
}
}  // namespace

Loop::Loop() : loop_(ev::AUTO), prepare_(loop_), check_(loop_), look_(loop_) {
  prepare_.set<Loop, &Loop::OnPrepare>(this);
  prepare_.start();
  check_.set<Loop, &Loop::OnCheck>(this);
  check_.priority = EV_MAXPRI;  // before anything is read
  check_.start();
  look_.set<Loop, &Loop::OnLookDue>(this);
}

void Loop::KeepLooking() {
  const double each_s = std::chrono::duration<double>(ArrivalBound::kLookEach).count();
  look_.start(each_s, each_s);
}

Time Loop::Now() { return Read(CLOCK_MONOTONIC); }
Time Loop::UnixNow() { return Read(CLOCK_REALTIME); }

Timer::Timer(Loop& loop, std::function<void()> due)
    : timer_(loop.ref()), loop_(loop.ref()), due_(std::move(due)) {
  timer_.set<Timer, &Timer::OnDue>(this);
}

void Timer::After(Time span) {
  due_at_ = Loop::Now() + std::max(Time(0), span);
  looked_ = false;
  Start(span);
}

void Timer::OnDue(ev::timer&, int) {
  if (!looked_ && Loop::Now() - due_at_ > kLate) {
    looked_ = true;
    return Start(Time(0));
  }
  due_();
}

void Timer::Start(Time span) {
  timer_.stop();
  ev_now_update(loop_);  // libev counts from when it last polled, which a long callback leaves behind
  timer_.start(std::max(0.0, static_cast<double>(span.count()) * 1e-6), 0);
}

Signal::Signal(Loop& loop, int number, std::function<void()> came)
    : number_(number), signal_(loop.ref()), came_(std::move(came)) {
  signal_.set<Signal, &Signal::OnSignal>(this);
  signal_.start(number);
  Mask(SIG_UNBLOCK, number);
}

void Signal::HoldBack(int number) { Mask(SIG_BLOCK, number); }

}  // namespace oxbowspread::net
