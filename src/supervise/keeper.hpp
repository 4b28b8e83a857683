// Keeps one relay in the state that was ordered: starts it, adopts one that runs already, pauses, reloads,
// restarts and stops it, and starts one that died. No process, socket or clock: fed what happened.
//
// It never starts a second copy: it spawns only after a look that found nobody, or after the process it knew
// has ended; and a copy that finds the state folder locked ends by itself, which leads to a new look.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/record.hpp"

namespace oxbowspread::supervise {

using Time = std::chrono::microseconds;  // monotonic

struct Desired {
  change::DesiredPhase want = change::DesiredPhase::kServing;
  std::string stamp;    // by which it is to run
  bool reload = false;  // a running one gets there by a reload

  bool operator==(const Desired&) const = default;
};

// ---- events ----
struct Found {
  std::int64_t pid = 0;
};                 // alive, and surely the one that holds the state folder
struct Nobody {};  // surely
struct Status {    // from its control socket
  change::Belief::Phase phase = change::Belief::Phase::kStarting;
  bool settled = false;
  std::string stamp;
  std::int64_t pid = 0, held = 0;
  change::Counts counts;
};
struct Silent {};  // its control socket gave no answer
struct Gone {
  int code = 0;
};  // its exit code, or minus the signal; 0 where nobody can tell
struct Spawned {
  std::int64_t pid = 0;
};
struct CantSpawn {
  std::string why;
};
struct Desire {
  Desired desired;
};
struct Reloaded {
  std::string stamp, why;
};  // `why` empty: done
using Event = std::variant<Found, Nobody, Status, Silent, Gone, Spawned, CantSpawn, Desire, Reloaded>;

// ---- actions ----
struct Look {};  // leads to Found or Nobody, or to nothing while it can't be told
struct Spawn {
  std::string stamp;
};               // leads to Spawned or CantSpawn
struct Poll {};  // leads to Status or Silent
struct Ask {
  std::string op, stamp;
};  // drain, resume, reload; only the last leads to an event
struct Signal {
  std::int64_t pid = 0;
  int number = 0;
};
struct Note {
  std::string text;
};
using Action = std::variant<Look, Spawn, Poll, Ask, Signal, Note>;

// Exit code of a relay that found its state folder locked.
constexpr int kFolderLocked = 3;

class Keeper {
 public:
  enum class Life { kLooking, kDown, kStarting, kUp, kStopping };

  explicit Keeper(Desired desired) : desired_(std::move(desired)) {}

  // Events in the order in which they happened; actions to be carried out in order. Never fails: what goes
  // wrong comes as an event. To be called again at wake_at() at the latest, Time::max() meaning never.
  std::vector<Action> Step(Time now, const std::vector<Event>& events);
  Time wake_at() const { return wake_at_; }

  Life life() const { return life_; }
  std::int64_t pid() const { return pid_; }
  const Desired& desired() const { return desired_; }
  std::int64_t deaths() const { return deaths_; }
  // What can honestly be said of it, as of `at`; nothing while that is nothing.
  std::optional<change::Belief> Tell(const std::string& instance, Time now) const;

 private:
  void Take(Time now, const Event& event, std::vector<Action>* actions);
  void TakeStatus(Time now, const Status& status, std::vector<Action>* actions);
  void TakeGone(Time now, const Gone& gone, std::vector<Action>* actions);
  void Pursue(Time now, std::vector<Action>* actions);
  void PursueUp(Time now, std::vector<Action>* actions);
  void StopIt(Time now, std::vector<Action>* actions, const std::string& why);
  void SetFault(const std::string& why, std::vector<Action>* actions);

  Desired desired_;
  Life life_ = Life::kLooking;
  std::int64_t pid_ = 0;
  std::optional<Status> status_;
  Time status_at_{0};
  Time since_{0};  // of the life it has now
  Time poll_at_{0}, ask_at_{0}, next_try_{0}, kill_at_{0}, looked_at_{Time::min() / 2};
  Time backoff_{0};
  std::deque<Time> recent_deaths_;
  int early_ends_ = 0;  // in a row, before it served
  bool adopted_ = false;
  std::int64_t deaths_ = 0;  // that nobody ordered
  std::string fault_, fault_stamp_;
  std::string reload_refused_;  // the stamp of which
  Time wake_at_{0};
};

}  // namespace oxbowspread::supervise
