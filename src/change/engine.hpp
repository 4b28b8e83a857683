// The engine of a rolling change: decides which instance of a group is taken out of service, changed, watched
// and returned to service, and when none may be. It has no clock, socket or thread: it is given events and
// returns actions.
//
// An order states the wanted state of an instance ("serve with this stamp") and is idempotent: it may be
// given again, also by another process that takes the change over. All that such a process needs is the
// Record.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "change/record.hpp"

namespace oxbowspread::change {

struct ClockReading {
  // Monotonic time. All timeouts and waits go by it.
  Time now{0};
  // Day of the week and minute of the day in local time, for freezes only; day 0 is Sunday.
  int weekday = 0;
  int minute = 0;
};

// ---- events ----

// Ignored if a newer status is known.
struct StatusReceived {
  InstanceStatus status;
};
// Ignored if RejectionReason() gives a reason against it, such as another running change.
struct StartChange {
  Spec spec;
};
// Continues a change that another process ran, or that is on disk.
struct TakeOverChange {
  Record record;
};
enum class OperatorCommand { kPause, kResume, kAbort, kRollBack };
struct OperatorRequest {
  OperatorCommand command;
};
// An agent will never carry out the order with this stamp.
struct OrderRejected {
  std::string instance, stamp, reason;
};
using Event = std::variant<StatusReceived, StartChange, TakeOverChange, OperatorRequest, OrderRejected>;

// ---- actions, to be carried out in order ----

// The record must be stored durably before any later action is carried out.
struct PersistRecord {
  Record record;
};
struct Order {
  std::string instance;
  DesiredPhase desired_phase = DesiredPhase::kServing;
  // Empty: the instance keeps the order that it runs by.
  std::string stamp;
  // Reload the process if it runs, rather than restart it.
  bool reload = false;
};
// An entry for the log and the history. `instance` is empty if it concerns the change as a whole.
struct AddHistory {
  std::string instance, step, text;
};
using Action = std::variant<PersistRecord, Order, AddHistory>;

class Engine {
 public:
  Engine(std::vector<InstanceCapacity> instances, Limits limits);

  // Processes the events, in the order in which they happened, and the timeouts that are due. `clock.now`
  // never goes back. To be called several times a second while a change is running, with or without events,
  // since timeouts are checked nowhere else.
  std::vector<Action> Step(const ClockReading& clock, const std::vector<Event>& events);

  // Why this change can't be started; empty if it can.
  std::string RejectionReason(const Spec& spec) const;
  // Why this instance would not be taken out of service now; empty if it would.
  std::string BlockedBy(const ClockReading& clock, const std::string& instance) const;

  const std::optional<Record>& record() const { return record_; }
  // Why the change makes no progress; empty if it does.
  const std::string& blocked_reason() const { return blocked_reason_; }
  // Null if the instance's state is unknown or older than the limit.
  const InstanceStatus* FreshStatus(Time now, const std::string& instance) const;
  // Messages a second that the whole group receives, by the last known counts of each instance.
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
    // Of one process only: emptied when the process identifier changes.
    std::deque<Sample> samples;
  };
  // Shares of messages refused and not delivered, and the numbers of messages that they are taken of.
  struct OutcomeShares {
    double rejected = 0, failed = 0;
    std::int64_t received = 0, ended = 0;
  };
  // State of a target beside its Progress. Lost when another process takes the change over.
  struct TargetWork {
    // When the current stage began.
    Time stage_since{0};
    // When the last order was given.
    Time last_order_at{0};
    OutcomeShares shares_before;
    // Counts and process when the watch began; the process identifier is 0 while the watch has yet to begin.
    Counts watch_start_counts;
    std::int64_t watched_pid = 0;
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
  // Gives the order of the target's stage, and gives it again while nothing shows that it was carried out.
  void GiveOrder(const ClockReading& clock, std::size_t index);
  std::string StampOf(std::size_t index) const;
  // Why the other instances can't do without this one; empty if they can.
  std::string AvailabilityGuard(const ClockReading& clock, const std::string& instance) const;
  OutcomeShares OutcomeSharesBetween(const Counts& from, const Counts& to) const;
  // Whether a freeze is in effect; `description` gets its text.
  bool InFreeze(const ClockReading& clock, std::string* description) const;
  bool IsActive(std::size_t index) const;
  // Whether the target has to serve only, by whichever order, so that it needs no restart.
  bool AcceptsAnyStamp(std::size_t index) const;
  bool IsBeingTakenOut(const std::string& instance) const;
  void AddNote(const std::string& instance, const std::string& text, const std::string& step = {});

  Limits limits_;
  std::map<std::string, InstanceState> instances_;
  std::optional<Record> record_;
  // One entry for each target of the record.
  std::vector<TargetWork> work_;
  std::optional<Time> observing_since_;
  std::string blocked_reason_;
  // Results of the current step.
  std::vector<Action> orders_, history_;
  bool record_changed_ = false;
};

}  // namespace oxbowspread::change
