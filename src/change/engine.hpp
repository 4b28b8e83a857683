// The engine of a rolling change. It decides which instance of a group is taken out of service, changed,
// watched and returned to service, and when no instance may be taken out. It is a state machine without I/O,
// threads or a clock of its own: the caller passes in events and carries out the returned actions.
//
// An order states the desired state of an instance ("serve with this stamp") and is idempotent, so it may be
// repeated, also by another process that takes over the change. Such a process needs only the Record.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/record.hpp"

namespace oxbowspread::change {

// The time of a call of the engine.
struct ClockReading {
  // Monotonic time, used for all timeouts and delays.
  Time now{0};
  // Day of the week (0 is Sunday) and minute of the day in local time, used only for freezes.
  int weekday = 0;
  int minute = 0;
};

// ---- events ----

// The status of an instance. Ignored if a newer status is known.
struct StatusReceived {
  InstanceStatus status;
};
// Starts a change. Ignored if RejectionReason() returns a reason, such as another running change.
struct StartChange {
  Spec spec;
};
// Continues a change that another process ran, or that was read from disk.
struct TakeOverChange {
  Record record;
};
enum class OperatorCommand { kPause, kResume, kAbort, kRollBack };
struct OperatorRequest {
  OperatorCommand command;
};
// An agent has permanently rejected the order with this stamp.
struct OrderRejected {
  std::string instance, stamp, reason;
};
using Event = std::variant<StatusReceived, StartChange, TakeOverChange, OperatorRequest, OrderRejected>;

// ---- actions, to be carried out in order ----

// The record must be stored durably before any later action is carried out.
struct PersistRecord {
  Record record;
};
// To be sent to the agent of the instance.
struct Order {
  std::string instance;
  DesiredPhase desired_phase = DesiredPhase::kServing;
  // If empty, the instance keeps its present configuration and stamp.
  std::string stamp;
  // A running process is reloaded instead of restarted.
  bool reload = false;
};
// An entry for the log and the history. `instance` is empty if the entry concerns the change as a whole.
struct AddHistory {
  std::string instance, step, text;
};
using Action = std::variant<PersistRecord, Order, AddHistory>;

// Runs one change at a time. Not thread-safe.
class Engine {
 public:
  Engine(std::vector<InstanceCapacity> instances, Limits limits);

  // Processes the events, in the order in which they happened, and the timeouts that are due. `clock.now`
  // must not decrease. To be called several times a second while a change is running, with or without
  // events, because timeouts are checked only here.
  std::vector<Action> Step(const ClockReading& clock, const std::vector<Event>& events);

  // The reason why this change can't be started; empty if it can.
  std::string RejectionReason(const Spec& spec) const;
  // The reason why this instance can't be taken out of service now; empty if it can.
  std::string BlockedBy(const ClockReading& clock, const std::string& instance) const;

  const std::optional<Record>& record() const { return record_; }
  // The reason why the change makes no progress; empty if it does.
  const std::string& blocked_reason() const { return blocked_reason_; }
  // The last status of the instance; null if there is none or it is older than Limits::max_status_age.
  const InstanceStatus* FreshStatus(Time now, const std::string& instance) const;
  // Messages a second that the whole group receives, computed from the last known counts of each instance.
  double MessageRate() const;

 private:
  struct Sample {
    Time at{0};
    std::int64_t pid = 0;
    Counts counts;
  };
  struct InstanceState {
    double capacity = 0;
    std::optional<InstanceStatus> status;
    // Samples of one process only; cleared when the process identifier changes.
    std::deque<Sample> samples;
  };
  // Share of the received messages that were refused and share of the ended messages that were not delivered,
  // with the number of received and ended messages.
  struct OutcomeShares {
    double rejected = 0, failed = 0;
    std::int64_t received = 0, ended = 0;
  };
  // State of a target that is not part of its Progress. It is lost when another process takes over the
  // change.
  struct TargetRuntime {
    // When the current stage began.
    Time stage_since{0};
    // When the last order was sent.
    Time last_order_at{0};
    OutcomeShares shares_before;
    // Counts and process identifier at the start of the watch; the identifier is 0 until the watch has
    // started.
    Counts watch_start_counts;
    std::int64_t watched_pid = 0;
    // Since when the instance has had no fresh status; empty if it has one.
    std::optional<Time> unknown_since;
  };

  void HandleEvent(const ClockReading& clock, const Event& event);
  void UpdateStatus(const InstanceStatus& status);
  void Advance(const ClockReading& clock, std::size_t index);
  void AdvancePausing(const ClockReading& clock, std::size_t index, const InstanceStatus& status);
  void AdvanceApplying(const ClockReading& clock, std::size_t index, const InstanceStatus& status);
  void AdvanceWatching(const ClockReading& clock, std::size_t index, const InstanceStatus& status);
  void StartNext(const ClockReading& clock);
  void EnterStage(const ClockReading& clock, std::size_t index, Stage stage, const std::string& note = {});
  void Fail(const ClockReading& clock, std::size_t index, const std::string& reason);
  void RollBack(const ClockReading& clock, const std::string& reason);
  void SetState(State state, const std::string& reason);
  void FinishIfComplete(const ClockReading& clock);
  // Sends the order of the target's stage, at most once per kOrderRetryInterval.
  void GiveOrder(const ClockReading& clock, std::size_t index);
  std::string StampOf(std::size_t index) const;
  // The reason why the other instances can't replace this one, because too many are out of service or they
  // lack capacity; empty if they can.
  std::string AvailabilityGuard(const ClockReading& clock, const std::string& instance) const;
  OutcomeShares OutcomeSharesBetween(const Counts& from, const Counts& to) const;
  // Whether a freeze is in effect; if so, `description` is set to its text.
  bool InFreeze(const ClockReading& clock, std::string* description) const;
  bool IsActive(std::size_t index) const;
  // Whether the target only has to serve, whatever stamp it runs with, so that it needs no restart.
  bool AcceptsAnyStamp(std::size_t index) const;
  bool IsBeingTakenOut(const std::string& instance) const;
  void AddHistoryEntry(const std::string& instance, const std::string& text, const std::string& step = {});

  Limits limits_;
  std::map<std::string, InstanceState> instances_;
  std::optional<Record> record_;
  // One entry for each target of the record, in the same order.
  std::vector<TargetRuntime> target_runtimes_;
  // When Step() was first called; empty before.
  std::optional<Time> observing_since_;
  std::string blocked_reason_;
  // Results of the current step.
  std::vector<Action> orders_, history_;
  bool record_changed_ = false;
};

}  // namespace oxbowspread::change
