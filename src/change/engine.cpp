#include "change/engine.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oxbowspread::change {
namespace {

// Time after which an order is repeated if no status shows that it was carried out.
constexpr Time kOrderRetryInterval = std::chrono::seconds(2);
// Length of the window of samples from which rates and shares are computed.
constexpr Time kSampleWindow = std::chrono::seconds(10);

std::string FormatPercent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f%%", share * 100);
  return text;
}
std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f", value);
  return text;
}
std::string FormatSeconds(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(span.count()) * 1e-6);
  return text;
}

}  // namespace

Engine::Engine(std::vector<InstanceCapacity> instances, Limits limits) : limits_(std::move(limits)) {
  for (InstanceCapacity& entry : instances) instances_[entry.instance].capacity = entry.capacity;
}

std::vector<Action> Engine::Step(const ClockReading& clock, const std::vector<Event>& events) {
  if (!observing_since_) observing_since_ = clock.now;
  record_changed_ = false;
  orders_.clear();
  history_.clear();
  for (const Event& event : events) HandleEvent(clock, event);
  if (record_ && !IsFinished(record_->state)) {
    blocked_reason_.clear();
    for (std::size_t index = 0; index < target_runtimes_.size(); ++index) Advance(clock, index);
    StartNext(clock);
    FinishIfComplete(clock);
  }
  std::vector<Action> actions;
  if (record_changed_) actions.push_back(PersistRecord{*record_});
  std::move(orders_.begin(), orders_.end(), std::back_inserter(actions));
  std::move(history_.begin(), history_.end(), std::back_inserter(actions));
  return actions;
}

void Engine::HandleEvent(const ClockReading& clock, const Event& event) {
  if (const auto* received = std::get_if<StatusReceived>(&event)) {
    UpdateStatus(received->status);
  } else if (const auto* start = std::get_if<StartChange>(&event)) {
    if (!RejectionReason(start->spec).empty()) return;
    record_ = Record{start->spec, State::kRunning, {}, std::vector<Progress>(start->spec.targets.size())};
    target_runtimes_.assign(start->spec.targets.size(), TargetRuntime{});
    record_changed_ = true;
    AddHistoryEntry({}, std::string(NameOf(start->spec.kind)) + " of " +
                            std::to_string(target_runtimes_.size()) + " instances started by " +
                            start->spec.requested_by);
  } else if (const auto* take_over = std::get_if<TakeOverChange>(&event)) {
    record_ = take_over->record;
    target_runtimes_.assign(record_->spec.targets.size(), TargetRuntime{});
    for (TargetRuntime& runtime : target_runtimes_) runtime.stage_since = clock.now;
    record_changed_ = true;
    if (!IsFinished(record_->state)) AddHistoryEntry({}, "taken over");
  } else if (const auto* request = std::get_if<OperatorRequest>(&event)) {
    if (!record_ || IsFinished(record_->state)) return;
    switch (request->command) {
      case OperatorCommand::kPause:
        if (record_->state == State::kRunning) SetState(State::kPaused, "by an operator");
        break;
      case OperatorCommand::kResume:
        if (record_->state == State::kPaused) SetState(State::kRunning, {});
        break;
      case OperatorCommand::kAbort:
        if (record_->state != State::kRollingBack) SetState(State::kAborting, "by an operator");
        break;
      case OperatorCommand::kRollBack:
        RollBack(clock, "by an operator");
        break;
    }
  } else if (const auto* rejected = std::get_if<OrderRejected>(&event)) {
    for (std::size_t index = 0; index < target_runtimes_.size(); ++index) {
      const bool is_target =
          record_->spec.targets[index].instance == rejected->instance && StampOf(index) == rejected->stamp;
      if (is_target && IsActive(index) && !IsFinished(record_->state))
        Fail(clock, index, "refused: " + rejected->reason);
    }
  }
}

void Engine::UpdateStatus(const InstanceStatus& status) {
  const auto it = instances_.find(status.instance);
  if (it == instances_.end()) return;
  InstanceState& state = it->second;
  if (state.status && state.status->requested_at >= status.requested_at) return;
  state.status = status;
  auto& samples = state.samples;
  if (!samples.empty() && samples.back().pid != status.pid) samples.clear();
  samples.push_back({status.requested_at, status.pid, status.counts});
  while (samples.size() > 2 && samples.back().at - samples[1].at >= kSampleWindow) samples.pop_front();
}

const InstanceStatus* Engine::FreshStatus(Time now, const std::string& instance) const {
  const auto it = instances_.find(instance);
  if (it == instances_.end() || !it->second.status) return nullptr;
  return now - it->second.status->requested_at <= limits_.max_status_age ? &*it->second.status : nullptr;
}

// An instance that no longer reports counts with its last known rate, since its clients still send messages.
double Engine::MessageRate() const {
  double rate = 0;
  for (const auto& [name, state] : instances_) {
    if (state.samples.size() < 2) continue;
    const Sample &first = state.samples.front(), &last = state.samples.back();
    const double seconds = static_cast<double>((last.at - first.at).count()) * 1e-6;
    if (seconds > 0) rate += static_cast<double>(last.counts.received - first.counts.received) / seconds;
  }
  return rate;
}

Engine::OutcomeShares Engine::OutcomeSharesBetween(const Counts& from, const Counts& to) const {
  OutcomeShares shares;
  shares.received = to.received - from.received;
  shares.ended = to.ended - from.ended;
  const auto share_of = [](std::int64_t part, std::int64_t total) {
    return total > 0 ? static_cast<double>(part) / static_cast<double>(total) : 0.0;
  };
  shares.rejected = share_of(to.rejected - from.rejected, shares.received);
  shares.failed = share_of(to.failed - from.failed, shares.ended);
  return shares;
}

bool Engine::InFreeze(const ClockReading& clock, std::string* description) const {
  for (const Freeze& freeze : limits_.freezes) {
    const bool over_midnight = freeze.end_minute <= freeze.start_minute;
    const auto begins_on = [&](int day) {
      return (freeze.days >> (static_cast<unsigned>(day + 7) % 7) & 1u) != 0;
    };
    const bool in_effect = over_midnight
                               ? (begins_on(clock.weekday) && clock.minute >= freeze.start_minute) ||
                                     (begins_on(clock.weekday - 1) && clock.minute < freeze.end_minute)
                               : begins_on(clock.weekday) && clock.minute >= freeze.start_minute &&
                                     clock.minute < freeze.end_minute;
    if (!in_effect) continue;
    *description = freeze.text;
    return true;
  }
  return false;
}

std::string Engine::RejectionReason(const Spec& spec) const {
  if (record_ && !IsFinished(record_->state)) {
    return "change " + record_->spec.id + " (" + NameOf(record_->spec.kind) + " by " +
           record_->spec.requested_by + ") has not finished yet";
  }
  if (spec.targets.empty()) return "names no instance";
  for (const Target& target : spec.targets) {
    if (instances_.count(target.instance) == 0) return "the group has no instance '" + target.instance + "'";
    const auto same_instance = [&](const Target& other) { return other.instance == target.instance; };
    if (std::count_if(spec.targets.begin(), spec.targets.end(), same_instance) > 1)
      return target.instance + " is named twice";
  }
  if (spec.kind == Kind::kDrain && static_cast<int>(spec.targets.size()) > limits_.max_unavailable) {
    return "would leave " + std::to_string(spec.targets.size()) +
           " instances out of service, and the limits allow " + std::to_string(limits_.max_unavailable);
  }
  return {};
}

std::string Engine::BlockedBy(const ClockReading& clock, const std::string& instance) const {
  std::string freeze;
  if (InFreeze(clock, &freeze)) return "frozen: " + freeze;
  return AvailabilityGuard(clock, instance);
}

// An instance that doesn't serve may always be taken out of service, since that loses no capacity.
std::string Engine::AvailabilityGuard(const ClockReading& clock, const std::string& instance) const {
  const InstanceStatus* own = FreshStatus(clock.now, instance);
  if (own == nullptr) return instance + " is unknown";
  if (own->phase != InstanceStatus::Phase::kServing) return {};
  int unavailable = 0;
  double capacity = 0;
  bool all_capacities_known = true;
  std::string unavailable_list;
  for (const auto& [name, state] : instances_) {
    if (name == instance) continue;
    const InstanceStatus* status = FreshStatus(clock.now, name);
    // Such an instance counts as unavailable even if its last status still shows it serving.
    const bool is_taken_out = IsBeingTakenOut(name);
    if (status == nullptr || status->phase != InstanceStatus::Phase::kServing || is_taken_out) {
      ++unavailable;
      const char* availability = status == nullptr ? "unknown"
                                 : is_taken_out    ? "being taken out of service"
                                                   : NameOf(status->phase);
      unavailable_list += (unavailable_list.empty() ? "" : ", ") + name + " " + availability;
      continue;
    }
    capacity += state.capacity;
    all_capacities_known = all_capacities_known && state.capacity > 0;
  }
  if (unavailable + 1 > limits_.max_unavailable) {
    return "at most " + std::to_string(limits_.max_unavailable) + " may be out of service" +
           (unavailable_list.empty() ? "" : ": " + unavailable_list);
  }
  const double rate = MessageRate();
  if (all_capacities_known && rate > limits_.max_load_share * capacity) {
    return "the other instances can process " + FormatNumber(limits_.max_load_share * capacity) +
           " messages a second and the group receives " + FormatNumber(rate);
  }
  return {};
}

bool Engine::IsActive(std::size_t index) const {
  const Stage stage = record_->progress[index].stage;
  return stage == Stage::kPausing || stage == Stage::kApplying || stage == Stage::kWatching;
}

bool Engine::AcceptsAnyStamp(std::size_t index) const {
  const Kind kind = record_->spec.kind;
  const Progress& progress = record_->progress[index];
  return kind == Kind::kResume || (progress.undo && (kind == Kind::kDrain || !progress.applied));
}

bool Engine::IsBeingTakenOut(const std::string& instance) const {
  if (!record_ || IsFinished(record_->state)) return false;
  for (std::size_t index = 0; index < target_runtimes_.size(); ++index) {
    const Stage stage = record_->progress[index].stage;
    if (record_->spec.targets[index].instance != instance) continue;
    return stage == Stage::kPausing || (stage == Stage::kApplying && !record_->spec.targets[index].reload);
  }
  return false;
}

std::string Engine::StampOf(std::size_t index) const {
  const Target& target = record_->spec.targets[index];
  const bool undo = record_->progress[index].undo;
  return change::StampOf(undo ? target.from : target.to,
                         record_->spec.id + "." + std::to_string(index + 1) + (undo ? "u" : ""));
}

void Engine::AddHistoryEntry(const std::string& instance, const std::string& text, const std::string& step) {
  history_.push_back(AddHistory{instance, step, text});
}

void Engine::SetState(State state, const std::string& reason) {
  record_->state = state;
  record_->reason = reason;
  record_changed_ = true;
  AddHistoryEntry({}, std::string(NameOf(state)) + (reason.empty() ? "" : ": " + reason));
}

void Engine::EnterStage(const ClockReading& clock, std::size_t index, Stage stage, const std::string& note) {
  Progress& progress = record_->progress[index];
  progress.stage = stage;
  progress.note = note;
  progress.applied = progress.applied || (stage == Stage::kApplying && !progress.undo);
  TargetRuntime& runtime = target_runtimes_[index];
  runtime.stage_since = clock.now;
  runtime.last_order_at = Time::min() / 2;
  runtime.watched_pid = 0;
  record_changed_ = true;
  const std::string step = std::string(progress.undo ? "back: " : "") + NameOf(stage);
  AddHistoryEntry(record_->spec.targets[index].instance, step + (note.empty() ? "" : ": " + note), step);
  if (stage == Stage::kPausing || stage == Stage::kApplying) GiveOrder(clock, index);
}

void Engine::GiveOrder(const ClockReading& clock, std::size_t index) {
  TargetRuntime& runtime = target_runtimes_[index];
  if (clock.now - runtime.last_order_at < kOrderRetryInterval) return;
  runtime.last_order_at = clock.now;
  const Target& target = record_->spec.targets[index];
  const Kind kind = record_->spec.kind;
  Order order{target.instance, DesiredPhase::kServing, StampOf(index),
              target.reload && kind == Kind::kReconfigure};
  if (record_->progress[index].stage == Stage::kPausing) {
    order.desired_phase = DesiredPhase::kPaused;
    // With an empty stamp the instance keeps its present configuration and stamp.
    order.stamp.clear();
    order.reload = false;
  } else if (AcceptsAnyStamp(index)) {
    order.stamp.clear();
  }
  orders_.push_back(order);
}

void Engine::Advance(const ClockReading& clock, std::size_t index) {
  if (!IsActive(index)) return;
  const std::string& instance = record_->spec.targets[index].instance;
  const InstanceStatus* status = FreshStatus(clock.now, instance);
  TargetRuntime& runtime = target_runtimes_[index];
  if (status == nullptr) {
    // An unknown instance may be up or down. Nothing is decided about it, and its timeouts are suspended.
    if (!runtime.unknown_since) runtime.unknown_since = clock.now;
    blocked_reason_ = instance + " has been unknown for " + FormatSeconds(clock.now - *runtime.unknown_since);
    GiveOrder(clock, index);
    return;
  }
  if (runtime.unknown_since)
    runtime.stage_since += clock.now - *std::exchange(runtime.unknown_since, std::nullopt);
  switch (record_->progress[index].stage) {
    case Stage::kPausing:
      return AdvancePausing(clock, index, *status);
    case Stage::kApplying:
      return AdvanceApplying(clock, index, *status);
    case Stage::kWatching:
      return AdvanceWatching(clock, index, *status);
    default:
      return;
  }
}

void Engine::AdvancePausing(const ClockReading& clock, std::size_t index, const InstanceStatus& status) {
  const bool is_drain = record_->spec.kind == Kind::kDrain;
  const bool timed_out = clock.now - target_runtimes_[index].stage_since >= limits_.settle_timeout;
  const bool has_settled = status.phase == InstanceStatus::Phase::kPaused && status.settled;
  if (is_drain) {
    if (has_settled) return EnterStage(clock, index, Stage::kDone);
    if (timed_out && status.phase == InstanceStatus::Phase::kPaused) {
      return EnterStage(clock, index, Stage::kDone,
                        std::to_string(status.held_messages) + " messages still held");
    }
    return GiveOrder(clock, index);
  }
  // An instance whose process has exited meanwhile is already out of service, and a restart brings it back.
  if (status.phase == InstanceStatus::Phase::kDown)
    return EnterStage(clock, index, Stage::kApplying, "was down");
  if (has_settled) return EnterStage(clock, index, Stage::kApplying);
  if (timed_out)
    return EnterStage(clock, index, Stage::kApplying,
                      std::to_string(status.held_messages) + " messages left in its journal");
  GiveOrder(clock, index);
}

void Engine::AdvanceApplying(const ClockReading& clock, std::size_t index, const InstanceStatus& status) {
  const bool undo = record_->progress[index].undo;
  const bool any_stamp = AcceptsAnyStamp(index);
  const std::string stamp = StampOf(index);
  if (status.phase == InstanceStatus::Phase::kServing && (any_stamp || status.stamp == stamp)) {
    if (undo) return EnterStage(clock, index, Stage::kReverted);
    if (any_stamp) return EnterStage(clock, index, Stage::kDone);
    EnterStage(clock, index, Stage::kWatching);
    target_runtimes_[index].watch_start_counts = status.counts;
    target_runtimes_[index].watched_pid = status.pid;
    return;
  }
  if (!status.fault.empty() && status.fault_stamp == stamp) return Fail(clock, index, status.fault);
  if (clock.now - target_runtimes_[index].stage_since >= limits_.ready_timeout) {
    return Fail(clock, index, "not ready within " + FormatSeconds(limits_.ready_timeout));
  }
  GiveOrder(clock, index);
}

void Engine::AdvanceWatching(const ClockReading& clock, std::size_t index, const InstanceStatus& status) {
  TargetRuntime& runtime = target_runtimes_[index];
  Progress& progress = record_->progress[index];
  if (status.stamp != StampOf(index)) {
    if (status.phase != InstanceStatus::Phase::kServing) return;  // being restarted
    return Fail(clock, index, "runs with the stamp of another order: " + status.stamp);
  }
  if (!status.fault.empty() && status.fault_stamp == status.stamp) return Fail(clock, index, status.fault);
  if (runtime.watched_pid != 0 && status.pid != runtime.watched_pid && status.pid != 0) {
    ++progress.unexpected_exits;
    record_changed_ = true;
    if (progress.unexpected_exits > limits_.max_unexpected_exits) {
      return Fail(
          clock, index,
          "exited unexpectedly " + std::to_string(progress.unexpected_exits) + " times while it was watched");
    }
    runtime.watched_pid = 0;
  }
  if (status.phase != InstanceStatus::Phase::kServing) {
    if (clock.now - runtime.stage_since >= limits_.ready_timeout + limits_.watch_time) {
      return Fail(clock, index, "not ready again within " + FormatSeconds(limits_.ready_timeout));
    }
    return;
  }
  if (runtime.watched_pid == 0) {  // a new process: the watch time starts again
    runtime.watched_pid = status.pid;
    runtime.watch_start_counts = status.counts;
    runtime.stage_since = clock.now;
    return;
  }
  if (clock.now - runtime.stage_since < limits_.watch_time) return;
  const OutcomeShares after = OutcomeSharesBetween(runtime.watch_start_counts, status.counts);
  if (after.received >= limits_.min_sample &&
      after.rejected > runtime.shares_before.rejected + limits_.max_rejected_increase) {
    return Fail(clock, index,
                "refused " + FormatPercent(after.rejected) + " of " + std::to_string(after.received) +
                    " messages, before the change " + FormatPercent(runtime.shares_before.rejected));
  }
  if (after.ended >= limits_.min_sample &&
      after.failed > runtime.shares_before.failed + limits_.max_failed_increase) {
    return Fail(clock, index,
                "did not deliver " + FormatPercent(after.failed) + " of " + std::to_string(after.ended) +
                    " messages, before the change " + FormatPercent(runtime.shares_before.failed));
  }
  EnterStage(clock, index, Stage::kDone);
}

void Engine::Fail(const ClockReading& clock, std::size_t index, const std::string& reason) {
  const Target& target = record_->spec.targets[index];
  if (record_->progress[index].undo) {
    EnterStage(clock, index, Stage::kFailed, reason);
    return;
  }
  if (record_->spec.kind == Kind::kReconfigure) {
    record_->progress[index].note = reason;
    return RollBack(clock, target.instance + ": " + reason);
  }
  EnterStage(clock, index, Stage::kFailed, reason);
  // There is no earlier configuration to return to, and the next instance may fail for the same reason.
  if (record_->state == State::kRunning || record_->state == State::kPaused) {
    SetState(State::kAborting, target.instance + ": " + reason);
  }
}

void Engine::RollBack(const ClockReading& clock, const std::string& reason) {
  if (record_->state == State::kRollingBack) return;
  SetState(State::kRollingBack, reason);
  for (std::size_t index = 0; index < target_runtimes_.size(); ++index) {
    Progress& progress = record_->progress[index];
    if (progress.stage == Stage::kWaiting || record_->spec.kind == Kind::kResume) continue;
    const bool was_active = IsActive(index);
    progress.undo = true;
    progress.unexpected_exits = 0;
    // Instances that are out of service return to service at once. The others are reverted one by one.
    if (was_active && progress.stage != Stage::kWatching) {
      EnterStage(clock, index, Stage::kApplying, progress.note);
    } else {
      progress.stage = Stage::kWaiting;
    }
    record_changed_ = true;
  }
}

void Engine::StartNext(const ClockReading& clock) {
  const bool rolling_back = record_->state == State::kRollingBack;
  if (!rolling_back && record_->state != State::kRunning) return;
  int active_count = 0;
  for (std::size_t index = 0; index < target_runtimes_.size(); ++index) active_count += IsActive(index);
  for (std::size_t position = 0; position < target_runtimes_.size() && active_count < limits_.max_in_progress;
       ++position) {
    const std::size_t index = rolling_back ? target_runtimes_.size() - 1 - position : position;
    Progress& progress = record_->progress[index];
    if (progress.stage != Stage::kWaiting || progress.undo != rolling_back) continue;
    const Target& target = record_->spec.targets[index];
    const Kind kind = record_->spec.kind;
    // Neither a reload nor a return to service makes the instance unavailable, so the availability check is
    // skipped.
    const bool reload = kind == Kind::kReconfigure && target.reload;
    const bool returns_to_service = AcceptsAnyStamp(index);
    std::string reason;
    if (!returns_to_service) {
      std::string freeze;
      if (!rolling_back && InFreeze(clock, &freeze)) {
        reason = "frozen: " + freeze;
      } else if (!rolling_back && clock.now - *observing_since_ < limits_.observation_time) {
        reason = "observing the group for " + FormatSeconds(limits_.observation_time);
      } else if (FreshStatus(clock.now, target.instance) == nullptr) {
        reason = target.instance + " is unknown";
      } else if (!reload) {
        reason = AvailabilityGuard(clock, target.instance);
        if (!reason.empty()) reason = target.instance + " waits: " + reason;
      }
    }
    if (!reason.empty()) {
      blocked_reason_ = reason;
      // Targets are started strictly in order, so a blocked target also blocks the later ones.
      return;
    }
    const auto& samples = instances_.at(target.instance).samples;
    if (samples.size() >= 2)
      target_runtimes_[index].shares_before =
          OutcomeSharesBetween(samples.front().counts, samples.back().counts);
    EnterStage(clock, index, reload || returns_to_service ? Stage::kApplying : Stage::kPausing);
    ++active_count;
  }
}

void Engine::FinishIfComplete(const ClockReading&) {
  bool has_unfinished = false, has_failed = false;
  for (std::size_t index = 0; index < target_runtimes_.size(); ++index) {
    const Progress& progress = record_->progress[index];
    has_unfinished =
        has_unfinished || IsActive(index) ||
        (progress.stage == Stage::kWaiting && progress.undo == (record_->state == State::kRollingBack));
    has_failed = has_failed || progress.stage == Stage::kFailed;
  }
  switch (record_->state) {
    case State::kRunning:
    case State::kPaused:
      if (!has_unfinished) SetState(has_failed ? State::kFailed : State::kDone, record_->reason);
      break;
    case State::kAborting: {
      bool any_active = false;
      for (std::size_t index = 0; index < target_runtimes_.size(); ++index)
        any_active = any_active || IsActive(index);
      if (!any_active) SetState(has_failed ? State::kFailed : State::kAborted, record_->reason);
      break;
    }
    case State::kRollingBack:
      if (!has_unfinished) SetState(has_failed ? State::kFailed : State::kRolledBack, record_->reason);
      break;
    default:
      break;
  }
}

}  // namespace oxbowspread::change
