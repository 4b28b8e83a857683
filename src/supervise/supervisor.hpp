// Decides how one relay process reaches its desired state. The supervisor starts the process or adopts one
// that already runs; it pauses, reloads, restarts and stops the process, and restarts it after an unexpected
// exit. It is a state machine without I/O or a clock of its own: the caller passes in events and carries out
// the returned actions.
//
// At most one relay runs for an instance: a process is spawned only after a search found none or after the
// known process exited. A process that finds the state folder locked exits by itself (kFolderLockedExitCode),
// and the search starts again.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/record.hpp"

namespace oxbowspread::supervise {

using Time = std::chrono::microseconds;  // monotonic clock

// The state that the relay has to reach.
struct Desired {
  change::DesiredPhase phase = change::DesiredPhase::kServing;
  std::string stamp;    // identifies the order and the configuration version that the relay has to run with
  bool reload = false;  // whether a running relay gets the new stamp by a reload instead of a restart

  bool operator==(const Desired&) const = default;
};

// ---- events ----
// The search found a live process that certainly holds the lock of the state folder.
struct ProcessFound {
  std::int64_t pid = 0;
};
// The search found that certainly no relay process runs for the instance.
struct NoProcessFound {};
// Status that the relay reported on its control socket.
struct Status {
  change::InstanceStatus::Phase phase = change::InstanceStatus::Phase::kStarting;
  bool settled = false;
  std::string stamp;
  std::int64_t pid = 0, held = 0;
  change::Counts counts;
};
// The relay did not answer a status request on its control socket.
struct StatusUnavailable {};
struct ProcessExited {
  int exit_code = 0;  // or minus the number of the signal that terminated the process; 0 if unknown
};
struct Spawned {
  std::int64_t pid = 0;
};
struct SpawnFailed {
  std::string reason;
};
struct DesiredChanged {
  Desired desired;
};
// The relay's answer to a reload; `reason` is why the relay refused it, and empty after a success.
struct ReloadAnswered {
  std::string stamp, reason;
};
using Event = std::variant<ProcessFound, NoProcessFound, Status, StatusUnavailable, ProcessExited, Spawned,
                           SpawnFailed, DesiredChanged, ReloadAnswered>;

// ---- actions ----
// Searches for the instance's process. Leads to ProcessFound or NoProcessFound, or to no event as long as
// neither is certain.
struct FindProcess {};
// Leads to Spawned or SpawnFailed.
struct Spawn {
  std::string stamp;
};
// Leads to Status or StatusUnavailable.
struct QueryStatus {};
// Sends "drain", "resume" or "reload"; only a reload leads to an event, ReloadAnswered.
struct SendCommand {
  std::string op, stamp;
};
struct SendSignal {
  std::int64_t pid = 0;
  int signal_number = 0;
};
// Writes the text to the log and to the history.
struct RecordEvent {
  std::string text;
};
using Action = std::variant<FindProcess, Spawn, QueryStatus, SendCommand, SendSignal, RecordEvent>;

// Exit code of a relay that found its state folder locked by another process.
constexpr int kFolderLockedExitCode = 3;

// State machine for one relay process. Not thread-safe.
class Supervisor {
 public:
  enum class State { kSearching, kDown, kStarting, kRunning, kStopping };

  explicit Supervisor(Desired desired) : desired_(std::move(desired)) {}

  // Processes the events, in the order in which they happened, and the timers that are due. Returns actions
  // that are to be carried out in order. Never fails: a failed action is reported by an event. To be called
  // again at wake_at() at the latest; Time::max() means that no call is needed without an event.
  std::vector<Action> Step(Time now, const std::vector<Event>& events);
  Time wake_at() const { return wake_at_; }

  State state() const { return state_; }
  std::int64_t pid() const { return pid_; }
  const Desired& desired() const { return desired_; }
  std::int64_t unexpected_exits() const { return unexpected_exits_; }
  // The last known state of the instance, as of its `requested_at`; nullopt while the state is unknown.
  std::optional<change::InstanceStatus> CurrentStatus(const std::string& instance, Time now) const;

 private:
  void HandleEvent(Time now, const Event& event, std::vector<Action>* actions);
  void HandleStatus(Time now, const Status& status, std::vector<Action>* actions);
  void HandleExit(Time now, const ProcessExited& exited, std::vector<Action>* actions);
  void Reconcile(Time now, std::vector<Action>* actions);
  void ReconcileRunning(Time now, std::vector<Action>* actions);
  void StopProcess(Time now, std::vector<Action>* actions, const std::string& reason);
  void SetFault(const std::string& reason, std::vector<Action>* actions);

  Desired desired_;
  State state_ = State::kSearching;
  std::int64_t pid_ = 0;
  std::optional<Status> status_;
  Time status_received_at_{0};
  Time state_since_{0};  // when state_ was entered; later if a started process had to be killed
  Time next_query_at_{0}, next_command_at_{0}, next_spawn_at_{0}, kill_at_{0}, searched_at_{Time::min() / 2};
  Time restart_backoff_{0};
  std::deque<Time> recent_unexpected_exits_;
  int failed_starts_ = 0;  // consecutive processes that exited before they served
  bool adopted_ = false;
  std::int64_t unexpected_exits_ = 0;  // exits that no order caused, since construction
  std::string fault_, fault_stamp_;
  std::string refused_reload_stamp_;  // stamp of the last refused reload, which is not repeated
  Time wake_at_{0};
};

}  // namespace oxbowspread::supervise
