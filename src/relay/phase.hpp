// The phases of the program, from start to exit, as states of one object.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

namespace oxbowspread::relay {

// From SIGTERM; SIGKILL comes 3.7 s after it at the earliest.
inline constexpr std::chrono::milliseconds kDoorOpen{500};   // new connections keep coming for up to 400 ms
inline constexpr std::chrono::milliseconds kSettleAt{3100};  // nothing new is sent from then on
inline constexpr std::chrono::milliseconds kStopAt{3550};    // what is still out is left to the next life
inline constexpr std::chrono::milliseconds kLookEach{20};    // whether all is done

enum class Phase {
  kStarting,    // configuration read, nothing served
  kRecovering,  // what the journal still owes goes to the module
  kServing,
  kPaused,    // takes nothing new and finishes what it holds, but stays up: an operator's drain
  kDraining,  // asked to end: clients that still come are served, what is held is finished
  kSettling,  // nothing new is sent; answers to what is out are still taken
  kGiven,     // another process has taken all over; attempts that are out here end, and are told to it
  kStopped
};

inline const char* NameOf(Phase phase) {
  constexpr const char* kNames[] = {"starting", "recovering", "serving",    "paused",
                                    "draining", "settling",   "given over", "stopped"};
  return kNames[static_cast<int>(phase)];
}

class Phases {
 public:
  using Entered = std::function<void(Phase)>;
  explicit Phases(Entered entered) : entered_(std::move(entered)) {}

  Phase now() const { return now_; }
  // Back from kPaused, the one phase that is left that way.
  void Resume() {
    if (now_ != Phase::kPaused) return;
    now_ = Phase::kServing;
    entered_(now_);
  }
  // Else only ever forward; a phase passed by is not entered.
  void Enter(Phase next) {
    if (next <= now_) return;
    now_ = next;
    entered_(next);
  }

 private:
  Phase now_ = Phase::kStarting;
  Entered entered_;
};

}  // namespace oxbowspread::relay
