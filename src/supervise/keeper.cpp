#include "supervise/keeper.hpp"

#include <algorithm>
#include <csignal>

namespace oxbowspread::supervise {
namespace {

using namespace std::chrono_literals;
using change::Belief;
using change::DesiredPhase;

constexpr Time kLookEach = 200ms;
constexpr Time kPollStarting = 50ms, kPollUp = 250ms;
constexpr Time kAskEach = 1s;       // what was asked for and isn't seen yet
constexpr Time kStartWithin = 10s;  // no word from a process of ours: it is ended and started anew
constexpr Time kEndWithin = 5s;     // after SIGTERM; a relay ends by itself in 3.55 s
constexpr Time kFirstBackoff = 100ms, kMostBackoff = 10s;
constexpr Time kStable = 10s;      // a life that long makes the next death a first one
constexpr Time kLoopWithin = 60s;  // more deaths than kLoopDeaths in that span are a crash loop,
constexpr int kLoopDeaths = 5;     // which is tried again
constexpr Time kLoopRest = 30s;    // only so often
constexpr int kEarlyEnds = 3;      // in a row before it served: a fault
constexpr Time kSilence = 1500ms;  // what was heard longer ago is not told any more

std::string Ended(int code) {
  if (code == 0) return "has ended";
  if (code < 0) return "was ended by signal " + std::to_string(-code);
  return "ended with code " + std::to_string(code);
}

}  // namespace

std::vector<Action> Keeper::Step(Time now, const std::vector<Event>& events) {
  std::vector<Action> actions;
  wake_at_ = Time::max();
  for (const Event& event : events) Take(now, event, &actions);
  Pursue(now, &actions);
  return actions;
}

void Keeper::Take(Time now, const Event& event, std::vector<Action>* actions) {
  if (const auto* found = std::get_if<Found>(&event)) {
    if (life_ != Life::kLooking) return;
    life_ = Life::kStarting;
    adopted_ = true;
    pid_ = found->pid;
    since_ = now;
    poll_at_ = now;
    status_.reset();
    actions->push_back(Note{"adopted process " + std::to_string(pid_)});
  } else if (std::holds_alternative<Nobody>(event)) {
    if (life_ != Life::kLooking) return;
    life_ = Life::kDown;
    since_ = now;
    next_try_ = std::max(next_try_, now);
  } else if (const auto* status = std::get_if<Status>(&event)) {
    TakeStatus(now, *status, actions);
  } else if (const auto* gone = std::get_if<Gone>(&event)) {
    TakeGone(now, *gone, actions);
  } else if (const auto* spawned = std::get_if<Spawned>(&event)) {
    pid_ = spawned->pid;
    poll_at_ = now + kPollStarting;
  } else if (const auto* cant = std::get_if<CantSpawn>(&event)) {
    SetFault("can't be started: " + cant->why, actions);
    life_ = Life::kDown;
    next_try_ = now + kMostBackoff;
  } else if (const auto* desire = std::get_if<Desire>(&event)) {
    if (desire->desired == desired_) return;
    const bool anew = desire->desired.stamp != desired_.stamp;
    desired_ = desire->desired;
    ask_at_ = now;
    if (!anew) return;
    // What failed before says nothing of what is ordered now.
    fault_.clear();
    fault_stamp_.clear();
    reload_refused_.clear();
    recent_deaths_.clear();
    early_ends_ = 0;
    backoff_ = Time(0);
    next_try_ = now;
  } else if (const auto* reloaded = std::get_if<Reloaded>(&event)) {
    if (reloaded->why.empty() || reloaded->stamp != desired_.stamp) return;
    reload_refused_ = reloaded->stamp;
    SetFault("refused the configuration: " + reloaded->why, actions);
  }
}

void Keeper::TakeStatus(Time now, const Status& status, std::vector<Action>* actions) {
  if (life_ != Life::kStarting && life_ != Life::kUp) return;
  if (status.pid != pid_) {
    // The folder's holder is another one than we think: who holds it now is looked up, nothing is started.
    actions->push_back(
        Note{"process " + std::to_string(status.pid) + " answers instead of " + std::to_string(pid_)});
    life_ = Life::kLooking;
    return;
  }
  const bool ready = status.phase == Belief::Phase::kServing || status.phase == Belief::Phase::kPaused;
  if (life_ == Life::kStarting && ready) {
    life_ = Life::kUp;
    since_ = now;
    early_ends_ = 0;
    actions->push_back(
        Note{std::string("is ") + change::NameOf(status.phase) + ", process " + std::to_string(pid_)});
  }
  if (ready && status.stamp == desired_.stamp && fault_stamp_ == status.stamp) {
    fault_.clear();
    fault_stamp_.clear();
  }
  if (status_ && status_->phase != status.phase && life_ == Life::kUp) {
    actions->push_back(Note{std::string("is ") + change::NameOf(status.phase)});
  }
  status_ = status;
  status_at_ = now;
}

void Keeper::TakeGone(Time now, const Gone& gone, std::vector<Action>* actions) {
  if (life_ == Life::kLooking || life_ == Life::kDown) return;
  const bool ordered = life_ == Life::kStopping;
  const bool served = life_ == Life::kUp;
  pid_ = 0;
  status_.reset();
  if (gone.code == kFolderLocked && !served && !ordered) {
    actions->push_back(Note{"found its state folder held by another process"});
    life_ = Life::kLooking;
    looked_at_ = now;  // not at once: the holder may be about to end
    return;
  }
  life_ = Life::kDown;
  if (ordered) {
    next_try_ = now;
    since_ = now;
    return;
  }
  ++deaths_;
  actions->push_back(Note{Ended(gone.code)});
  if (served && now - since_ >= kStable) {
    backoff_ = Time(0);
    recent_deaths_.clear();
  }
  since_ = now;
  early_ends_ = served ? 0 : early_ends_ + 1;
  recent_deaths_.push_back(now);
  while (now - recent_deaths_.front() > kLoopWithin) recent_deaths_.pop_front();
  next_try_ = now + backoff_;
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMostBackoff);
  const bool loop = static_cast<int>(recent_deaths_.size()) > kLoopDeaths;
  if (loop) next_try_ = now + kLoopRest;
  if (early_ends_ >= kEarlyEnds) {
    SetFault("does not come up: it " + Ended(gone.code), actions);
  } else if (loop) {
    SetFault(
        "died " + std::to_string(recent_deaths_.size()) + " times in a minute, last it " + Ended(gone.code),
        actions);
  }
}

void Keeper::SetFault(const std::string& why, std::vector<Action>* actions) {
  if (fault_ != why) actions->push_back(Note{"fault: " + why});
  fault_ = why;
  fault_stamp_ = desired_.stamp;
}

void Keeper::Pursue(Time now, std::vector<Action>* actions) {
  const auto wake = [this](Time at) { wake_at_ = std::min(wake_at_, at); };
  switch (life_) {
    case Life::kLooking:
      if (now - looked_at_ >= kLookEach) {
        looked_at_ = now;
        actions->push_back(Look{});
      }
      return wake(looked_at_ + kLookEach);
    case Life::kDown:
      if (now < next_try_) return wake(next_try_);
      life_ = Life::kStarting;
      adopted_ = false;
      since_ = now;
      poll_at_ = now + kPollStarting;
      actions->push_back(Spawn{desired_.stamp});
      return wake(poll_at_);
    case Life::kStarting:
      if (now >= poll_at_) {
        poll_at_ = now + kPollStarting;
        actions->push_back(Poll{});
      }
      // One that we did not start is left alone: it may be serving, and only its control socket is not.
      if (!adopted_ && pid_ != 0 && now - since_ >= kStartWithin) {
        SetFault("says nothing " + std::to_string(kStartWithin / 1s) + " s after its start", actions);
        actions->push_back(Signal{pid_, SIGKILL});
        since_ = now;
      }
      return wake(poll_at_);
    case Life::kUp:
      if (now >= poll_at_) {
        poll_at_ = now + kPollUp;
        actions->push_back(Poll{});
      }
      PursueUp(now, actions);
      return wake(life_ == Life::kStopping ? kill_at_ : poll_at_);
    case Life::kStopping:
      if (now >= kill_at_) {
        kill_at_ = now + kEndWithin;
        actions->push_back(Signal{pid_, SIGKILL});
      }
      return wake(kill_at_);
  }
}

void Keeper::PursueUp(Time now, std::vector<Action>* actions) {
  if (!status_) return;
  if (!desired_.stamp.empty() && status_->stamp != desired_.stamp) {
    if (!desired_.reload) return StopIt(now, actions, "restarted by order " + desired_.stamp);
    if (reload_refused_ != desired_.stamp && now >= ask_at_) {
      ask_at_ = now + kAskEach;
      actions->push_back(Ask{"reload", desired_.stamp});
    }
    return;
  }
  const bool pause = desired_.want == DesiredPhase::kPaused && status_->phase == Belief::Phase::kServing;
  const bool resume = desired_.want == DesiredPhase::kServing && status_->phase == Belief::Phase::kPaused;
  if ((!pause && !resume) || now < ask_at_) return;
  ask_at_ = now + kAskEach;
  actions->push_back(Ask{pause ? "drain" : "resume", {}});
}

void Keeper::StopIt(Time now, std::vector<Action>* actions, const std::string& why) {
  life_ = Life::kStopping;
  since_ = now;
  kill_at_ = now + kEndWithin;
  actions->push_back(Note{why});
  actions->push_back(Signal{pid_, SIGTERM});
}

std::optional<change::Belief> Keeper::Tell(const std::string& instance, Time now) const {
  Belief b;
  b.instance = instance;
  b.requested_at = now;
  b.pid = pid_;
  b.fault = fault_;
  b.fault_stamp = fault_stamp_;
  switch (life_) {
    case Life::kLooking:
      return std::nullopt;
    case Life::kDown:
      b.phase = Belief::Phase::kDown;
      return b;
    case Life::kStopping:
      b.phase = Belief::Phase::kEnding;
      return b;
    case Life::kStarting:
      // Of one that was adopted nothing is known until it speaks.
      if (adopted_) return std::nullopt;
      b.phase = Belief::Phase::kStarting;
      return b;
    case Life::kUp:
      if (!status_ || now - status_at_ > kSilence) return std::nullopt;
      b.requested_at = status_at_;
      b.phase = status_->phase;
      b.settled = status_->settled;
      b.stamp = status_->stamp;
      b.held_messages = status_->held;
      b.counts = status_->counts;
      return b;
  }
  return std::nullopt;
}

}  // namespace oxbowspread::supervise
