#include "supervise/supervisor.hpp"

#include <algorithm>
#include <csignal>

namespace oxbowspread::supervise {
namespace {

using namespace std::chrono_literals;
using change::DesiredPhase;
using change::InstanceStatus;

constexpr Time kSearchInterval = 200ms;
constexpr Time kStartingQueryInterval = 50ms, kRunningQueryInterval = 250ms;
constexpr Time kCommandRetryInterval = 1s;  // repeats a command without visible effect
constexpr Time kStartTimeout = 10s;         // a new process without a status by then is killed and restarted
constexpr Time kTerminationTimeout = 5s;    // from SIGTERM to SIGKILL; a relay takes up to 3.55 s to exit
constexpr Time kMinBackoff = 100ms, kMaxBackoff = 10s;
constexpr Time kStableRunTime = 10s;    // after running this long, earlier exits no longer count
constexpr Time kCrashLoopWindow = 60s;  // period in which unexpected exits are counted
constexpr int kCrashLoopThreshold = 5;  // more exits than this in the window are a crash loop
constexpr Time kCrashLoopDelay = 30s;   // between two starts in a crash loop
constexpr int kFailedStartsLimit = 3;   // this many consecutive exits before serving are a fault
constexpr Time kMaxStatusAge = 1500ms;  // an older status is reported as unknown

std::string DescribeExit(int exit_code) {
  if (exit_code == 0) return "has exited";
  if (exit_code < 0) return "was terminated by signal " + std::to_string(-exit_code);
  return "exited with code " + std::to_string(exit_code);
}

}  // namespace

std::vector<Action> Supervisor::Step(Time now, const std::vector<Event>& events) {
  std::vector<Action> actions;
  wake_at_ = Time::max();
  for (const Event& event : events) HandleEvent(now, event, &actions);
  Reconcile(now, &actions);
  return actions;
}

void Supervisor::HandleEvent(Time now, const Event& event, std::vector<Action>* actions) {
  if (const auto* found = std::get_if<ProcessFound>(&event)) {
    if (state_ != State::kSearching) return;
    state_ = State::kStarting;
    adopted_ = true;
    pid_ = found->pid;
    state_since_ = now;
    next_query_at_ = now;
    status_.reset();
    actions->push_back(RecordEvent{"adopted process " + std::to_string(pid_)});
  } else if (std::holds_alternative<NoProcessFound>(event)) {
    if (state_ != State::kSearching) return;
    state_ = State::kDown;
    state_since_ = now;
    next_spawn_at_ = std::max(next_spawn_at_, now);
  } else if (const auto* status = std::get_if<Status>(&event)) {
    HandleStatus(now, *status, actions);
  } else if (const auto* exited = std::get_if<ProcessExited>(&event)) {
    HandleExit(now, *exited, actions);
  } else if (const auto* spawned = std::get_if<Spawned>(&event)) {
    pid_ = spawned->pid;
    next_query_at_ = now + kStartingQueryInterval;
  } else if (const auto* failed = std::get_if<SpawnFailed>(&event)) {
    SetFault("can't be started: " + failed->reason, actions);
    state_ = State::kDown;
    next_spawn_at_ = now + kMaxBackoff;
  } else if (const auto* desire = std::get_if<DesiredChanged>(&event)) {
    if (desire->desired == desired_) return;
    const bool new_stamp = desire->desired.stamp != desired_.stamp;
    desired_ = desire->desired;
    next_command_at_ = now;
    if (!new_stamp) return;
    // Earlier failures don't apply to the newly ordered stamp.
    fault_.clear();
    fault_stamp_.clear();
    refused_reload_stamp_.clear();
    recent_unexpected_exits_.clear();
    failed_starts_ = 0;
    restart_backoff_ = Time(0);
    next_spawn_at_ = now;
  } else if (const auto* reloaded = std::get_if<ReloadAnswered>(&event)) {
    if (reloaded->reason.empty() || reloaded->stamp != desired_.stamp) return;
    refused_reload_stamp_ = reloaded->stamp;
    SetFault("refused the configuration: " + reloaded->reason, actions);
  }
}

void Supervisor::HandleStatus(Time now, const Status& status, std::vector<Action>* actions) {
  if (state_ != State::kStarting && state_ != State::kRunning) return;
  if (status.pid != pid_) {
    // A different process answers than the known one. The supervisor searches for the holder of the state
    // folder before it starts anything.
    actions->push_back(
        RecordEvent{"process " + std::to_string(status.pid) + " answers instead of " + std::to_string(pid_)});
    state_ = State::kSearching;
    return;
  }
  const bool ready =
      status.phase == InstanceStatus::Phase::kServing || status.phase == InstanceStatus::Phase::kPaused;
  if (state_ == State::kStarting && ready) {
    state_ = State::kRunning;
    state_since_ = now;
    failed_starts_ = 0;
    actions->push_back(
        RecordEvent{std::string("is ") + change::NameOf(status.phase) + ", process " + std::to_string(pid_)});
  }
  if (ready && status.stamp == desired_.stamp && fault_stamp_ == status.stamp) {
    fault_.clear();
    fault_stamp_.clear();
  }
  if (status_ && status_->phase != status.phase && state_ == State::kRunning) {
    actions->push_back(RecordEvent{std::string("is ") + change::NameOf(status.phase)});
  }
  status_ = status;
  status_received_at_ = now;
}

void Supervisor::HandleExit(Time now, const ProcessExited& exited, std::vector<Action>* actions) {
  if (state_ == State::kSearching || state_ == State::kDown) return;
  const bool was_stopping = state_ == State::kStopping;
  const bool was_running = state_ == State::kRunning;
  pid_ = 0;
  status_.reset();
  if (exited.exit_code == kFolderLockedExitCode && !was_running && !was_stopping) {
    actions->push_back(RecordEvent{"found its state folder locked by another process"});
    state_ = State::kSearching;
    searched_at_ = now;  // delays the search: the holder may be about to exit
    return;
  }
  state_ = State::kDown;
  if (was_stopping) {
    next_spawn_at_ = now;
    state_since_ = now;
    return;
  }
  ++unexpected_exits_;
  actions->push_back(RecordEvent{DescribeExit(exited.exit_code)});
  if (was_running && now - state_since_ >= kStableRunTime) {
    restart_backoff_ = Time(0);
    recent_unexpected_exits_.clear();
  }
  state_since_ = now;
  failed_starts_ = was_running ? 0 : failed_starts_ + 1;
  recent_unexpected_exits_.push_back(now);
  while (now - recent_unexpected_exits_.front() > kCrashLoopWindow) recent_unexpected_exits_.pop_front();
  next_spawn_at_ = now + restart_backoff_;
  restart_backoff_ = std::clamp(restart_backoff_ * 2, kMinBackoff, kMaxBackoff);
  const bool crash_loop = static_cast<int>(recent_unexpected_exits_.size()) > kCrashLoopThreshold;
  if (crash_loop) next_spawn_at_ = now + kCrashLoopDelay;
  if (failed_starts_ >= kFailedStartsLimit) {
    SetFault("does not start up: it " + DescribeExit(exited.exit_code), actions);
  } else if (crash_loop) {
    SetFault("exited unexpectedly " + std::to_string(recent_unexpected_exits_.size()) +
                 " times in a minute; the last time it " + DescribeExit(exited.exit_code),
             actions);
  }
}

void Supervisor::SetFault(const std::string& reason, std::vector<Action>* actions) {
  if (fault_ != reason) actions->push_back(RecordEvent{"fault: " + reason});
  fault_ = reason;
  fault_stamp_ = desired_.stamp;
}

void Supervisor::Reconcile(Time now, std::vector<Action>* actions) {
  const auto wake = [this](Time at) { wake_at_ = std::min(wake_at_, at); };
  switch (state_) {
    case State::kSearching:
      if (now - searched_at_ >= kSearchInterval) {
        searched_at_ = now;
        actions->push_back(FindProcess{});
      }
      return wake(searched_at_ + kSearchInterval);
    case State::kDown:
      if (now < next_spawn_at_) return wake(next_spawn_at_);
      state_ = State::kStarting;
      adopted_ = false;
      state_since_ = now;
      next_query_at_ = now + kStartingQueryInterval;
      actions->push_back(Spawn{desired_.stamp});
      return wake(next_query_at_);
    case State::kStarting:
      if (now >= next_query_at_) {
        next_query_at_ = now + kStartingQueryInterval;
        actions->push_back(QueryStatus{});
      }
      // An adopted process isn't killed: it may be serving messages while only its control socket fails.
      if (!adopted_ && pid_ != 0 && now - state_since_ >= kStartTimeout) {
        SetFault("reports no status " + std::to_string(kStartTimeout / 1s) + " s after its start", actions);
        actions->push_back(SendSignal{pid_, SIGKILL});
        state_since_ = now;
      }
      return wake(next_query_at_);
    case State::kRunning:
      if (now >= next_query_at_) {
        next_query_at_ = now + kRunningQueryInterval;
        actions->push_back(QueryStatus{});
      }
      ReconcileRunning(now, actions);
      return wake(state_ == State::kStopping ? kill_at_ : next_query_at_);
    case State::kStopping:
      if (now >= kill_at_) {
        kill_at_ = now + kTerminationTimeout;
        actions->push_back(SendSignal{pid_, SIGKILL});
      }
      return wake(kill_at_);
  }
}

void Supervisor::ReconcileRunning(Time now, std::vector<Action>* actions) {
  if (!status_) return;
  if (!desired_.stamp.empty() && status_->stamp != desired_.stamp) {
    if (!desired_.reload) return StopProcess(now, actions, "is restarted for order " + desired_.stamp);
    if (refused_reload_stamp_ != desired_.stamp && now >= next_command_at_) {
      next_command_at_ = now + kCommandRetryInterval;
      actions->push_back(SendCommand{"reload", desired_.stamp});
    }
    return;
  }
  const bool pause =
      desired_.phase == DesiredPhase::kPaused && status_->phase == InstanceStatus::Phase::kServing;
  const bool resume =
      desired_.phase == DesiredPhase::kServing && status_->phase == InstanceStatus::Phase::kPaused;
  if ((!pause && !resume) || now < next_command_at_) return;
  next_command_at_ = now + kCommandRetryInterval;
  actions->push_back(SendCommand{pause ? "drain" : "resume", {}});
}

void Supervisor::StopProcess(Time now, std::vector<Action>* actions, const std::string& reason) {
  state_ = State::kStopping;
  state_since_ = now;
  kill_at_ = now + kTerminationTimeout;
  actions->push_back(RecordEvent{reason});
  actions->push_back(SendSignal{pid_, SIGTERM});
}

std::optional<change::InstanceStatus> Supervisor::CurrentStatus(const std::string& instance, Time now) const {
  InstanceStatus instance_status;
  instance_status.instance = instance;
  instance_status.requested_at = now;
  instance_status.pid = pid_;
  instance_status.fault = fault_;
  instance_status.fault_stamp = fault_stamp_;
  switch (state_) {
    case State::kSearching:
      return std::nullopt;
    case State::kDown:
      instance_status.phase = InstanceStatus::Phase::kDown;
      return instance_status;
    case State::kStopping:
      instance_status.phase = InstanceStatus::Phase::kEnding;
      return instance_status;
    case State::kStarting:
      // The state of an adopted process is unknown until it reports its status.
      if (adopted_) return std::nullopt;
      instance_status.phase = InstanceStatus::Phase::kStarting;
      return instance_status;
    case State::kRunning:
      if (!status_ || now - status_received_at_ > kMaxStatusAge) return std::nullopt;
      instance_status.requested_at = status_received_at_;
      instance_status.phase = status_->phase;
      instance_status.settled = status_->settled;
      instance_status.stamp = status_->stamp;
      instance_status.held_messages = status_->held;
      instance_status.counts = status_->counts;
      return instance_status;
  }
  return std::nullopt;
}

}  // namespace oxbowspread::supervise
