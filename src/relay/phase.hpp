// Phases of the relay process from start to exit, and the state machine that holds the current one.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

namespace oxbowspread::relay {

// Durations from SIGTERM to the steps of a shutdown. SIGKILL follows 3.7 s after SIGTERM at the earliest.

// Listening continues for this long, because clients open new connections for up to 400 ms after SIGTERM.
inline constexpr std::chrono::milliseconds kKeepAccepting{500};
// No new attempt is sent after this time.
inline constexpr std::chrono::milliseconds kStopSendingAfter{3100};
// The process exits at this time. Attempts that are still in flight are recovered at the next start.
inline constexpr std::chrono::milliseconds kExitAfter{3550};
// Interval between checks whether all work is done.
inline constexpr std::chrono::milliseconds kPollInterval{20};

enum class Phase {
  kStarting,    // configuration has been read; nothing is served
  kRecovering,  // open messages from the journal are being passed to the decision module
  kServing,
  kPaused,      // drained by an operator: accepts no new messages, finishes held ones and keeps running
  kDraining,    // asked to exit: still serves clients that connect, and finishes held messages
  kSettling,    // sends no new attempts; still reads the responses to attempts in flight
  kHandedOver,  // another process has taken over and is sent the results of attempts still in flight here
  kStopped
};

// Returns the name of the phase as it appears in logs, status replies and counters. Operators and tests rely
// on these names.
inline const char* NameOf(Phase phase) {
  constexpr const char* kNames[] = {"starting", "recovering", "serving",    "paused",
                                    "draining", "settling",   "given over", "stopped"};
  return kNames[static_cast<int>(phase)];
}

// Holds the current phase and calls a handler on each transition.
class PhaseMachine {
 public:
  using EnterHandler = std::function<void(Phase)>;
  explicit PhaseMachine(EnterHandler on_enter) : on_enter_(std::move(on_enter)) {}

  Phase current() const { return current_; }
  // Returns from kPaused to kServing, which is the only transition to an earlier phase. Does nothing in any
  // other phase.
  void Resume() {
    if (current_ != Phase::kPaused) return;
    current_ = Phase::kServing;
    on_enter_(current_);
  }
  // Moves forward to `next`. Does nothing if `next` is not later than the current phase; skipped phases are
  // not entered.
  void Enter(Phase next) {
    if (next <= current_) return;
    current_ = next;
    on_enter_(next);
  }

 private:
  Phase current_ = Phase::kStarting;
  EnterHandler on_enter_;
};

}  // namespace oxbowspread::relay
