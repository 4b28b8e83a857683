#include "agent/relay_controller.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

#include "journal/folder_lock.hpp"
#include "supervise/process.hpp"

namespace oxbowspread::agent {
namespace {

using namespace std::chrono_literals;
using change::InstanceStatus;

constexpr net::Time kAnswerTimeout = 1s;
constexpr net::Time kLivenessInterval = 100ms;

InstanceStatus::Phase PhaseOf(const std::string& name) {
  if (name == "serving") return InstanceStatus::Phase::kServing;
  if (name == "paused") return InstanceStatus::Phase::kPaused;
  if (name == "starting" || name == "recovering") return InstanceStatus::Phase::kStarting;
  return InstanceStatus::Phase::kEnding;
}

supervise::Status StatusFrom(const control::Json& json) {
  using control::NumberOf;
  using control::TextOf;
  supervise::Status status;
  status.phase = PhaseOf(TextOf(json, "phase"));
  status.settled = json.value("settled", false);
  status.stamp = TextOf(json, "stamp");
  status.pid = NumberOf(json, "pid");
  status.held = NumberOf(json, "held");
  const control::Json counters = json.value("counters", control::Json::object());
  const std::int64_t failed = NumberOf(counters, "undeliverable") + NumberOf(counters, "deferred");
  status.counts = {NumberOf(counters, "authorisations"), NumberOf(counters, "busy"),
                   NumberOf(counters, "delivered") + failed, failed};
  return status;
}

}  // namespace

RelayController::RelayController(net::Loop& loop, std::string instance, const Paths& paths,
                                 store::Store& store, const supervise::Desired& desired,
                                 EventRecorder record_event)
    : loop_(loop),
      instance_(std::move(instance)),
      paths_(paths),
      store_(store),
      record_event_(std::move(record_event)),
      supervisor_(desired),
      relay_caller_(loop,
                    [this](control::Peer::Callbacks callbacks) {
                      return control::Peer::ConnectUnix(loop_, RunPath(".sock"), std::move(callbacks));
                    }),
      step_timer_(loop, [this] { Step({}); }),
      liveness_timer_(loop, [this] { CheckAlive(); }) {
  if (const auto running = store_.GetRunning(instance_)) running_ = *running;
  step_timer_.After(net::Time(0));
}

void RelayController::SetDesired(supervise::Desired desired) {
  if (desired.stamp.empty()) {
    desired.stamp = supervisor_.desired().stamp;
    desired.reload = supervisor_.desired().reload;
  }
  if (desired == supervisor_.desired()) return;
  store_.PutDesired(instance_, {NameOf(desired.phase), desired.stamp, desired.reload});
  Step({supervise::DesiredChanged{std::move(desired)}});
}

void RelayController::Step(std::vector<supervise::Event> events) {
  // An action may cause an event at once, which is processed by a nested call of Step.
  for (const supervise::Action& action : supervisor_.Step(net::Loop::Now(), events)) {
    std::visit([this](const auto& action_value) { Execute(action_value); }, action);
  }
  if (supervisor_.wake_at() != net::Time::max()) step_timer_.At(supervisor_.wake_at());
}

// Compares the process recorded in the store with the holder of the folder's lock. Reports a process only if
// both are the same, and no process only if there is neither. Otherwise it queries the relay itself.
void RelayController::Execute(const supervise::FindProcess&) {
  const auto holder = journal::FolderLock::HolderOf(StateFolder());
  const bool recorded =
      running_.pid > 0 && running_.start_ticks != 0 &&
      supervise::ProcessStartTicks(static_cast<pid_t>(running_.pid)) == running_.start_ticks;
  if (recorded && holder && *holder == running_.pid) return Adopt(running_.pid);
  if (!recorded && !holder) {
    step_timer_.After(net::Time(0));
    return Step({supervise::NoProcessFound{}});
  }
  QueryLockHolder(holder ? *holder : running_.pid);
}

// Called if the lock's holder is not recorded in the store, or if the recorded process does not hold the lock
// yet. Adopts the process only if the relay that answers on the control socket has this pid.
void RelayController::QueryLockHolder(std::int64_t holder) {
  relay_caller_.Call(
      {{"op", "status"}}, kAnswerTimeout, [this, holder](const control::Json* answer, const std::string&) {
        if (supervisor_.state() != supervise::Supervisor::State::kSearching) return;
        if (answer != nullptr && control::NumberOf(*answer, "pid") == holder) return Adopt(holder);
        const std::string text = "waits: process " + std::to_string(holder) + " holds its state folder and " +
                                 (answer == nullptr ? "does not answer" : "another process answers instead");
        if (std::exchange(reported_obstacle_, text) != text) record_event_(instance_, text);
      });
}

void RelayController::Adopt(std::int64_t pid) {
  if (supervise::ProcessStartTicks(static_cast<pid_t>(pid)) == 0)
    return;  // the process has just exited; the supervisor repeats the search
  reported_obstacle_.clear();
  RecordProcess(pid, false);
  Step({supervise::ProcessFound{pid}});
}

void RelayController::RecordProcess(std::int64_t pid, bool is_child) {
  running_ = {pid, supervise::ProcessStartTicks(static_cast<pid_t>(pid))};
  is_child_ = is_child;
  try {
    store_.PutRunning(instance_, running_);
  } catch (const store::Error& e) {
    record_event_(instance_, e.what());
  }
  liveness_timer_.After(kLivenessInterval);
}

std::string RelayController::StateFolder() const {
  std::string folder;
  if (const auto text = store_.GetConfig(instance_, change::VersionOf(supervisor_.desired().stamp))) {
    const control::Json json = control::Json::parse(*text, nullptr, false);
    if (json.is_object()) folder = control::TextOf(json, "state");
  }
  return folder.empty() ? paths_.agent_folder + "/state/" + instance_ : folder;
}

void RelayController::WriteConfig(const std::string& stamp) {
  const auto text = store_.GetConfig(instance_, change::VersionOf(stamp));
  if (!text) throw std::runtime_error("the store has no configuration " + change::VersionOf(stamp));
  const std::string config_path = RunPath(".json"), temporary_path = config_path + ".next";
  std::ofstream output(temporary_path, std::ios::trunc);
  output << *text;
  output.close();
  if (!output || std::rename(temporary_path.c_str(), config_path.c_str()) != 0)
    throw std::runtime_error(config_path + ": can't be written");
}

void RelayController::Execute(const supervise::Spawn& spawn) {
  std::string reason;
  pid_t pid = 0;
  try {
    WriteConfig(spawn.stamp);
    const std::string state_folder = StateFolder();
    std::filesystem::create_directories(state_folder);
    supervise::Program program{
        paths_.relay_program,
        {"--control", RunPath(".sock"), "--stamp", spawn.stamp},
        {{"ROUTER_CONFIG", RunPath(".json")}, {"ROUTER_NAME", instance_}, {"ROUTER_STATE", state_folder}},
        RunPath(".log")};
    pid = supervise::SpawnProcess(program, &reason);
  } catch (const std::exception& e) {
    reason = e.what();
  }
  if (pid == 0) return Step({supervise::SpawnFailed{reason}});
  relay_caller_.Disconnect("the relay was started again");
  RecordProcess(pid, true);
  Step({supervise::Spawned{pid}});
}

void RelayController::Execute(const supervise::QueryStatus&) {
  if (std::exchange(status_pending_, true)) return;
  relay_caller_.Call({{"op", "status"}}, kAnswerTimeout,
                     [this](const control::Json* answer, const std::string&) {
                       status_pending_ = false;
                       if (answer == nullptr || !answer->value("ok", false))
                         return Step({supervise::StatusUnavailable{}});
                       Step({StatusFrom(*answer)});
                     });
}

void RelayController::Execute(const supervise::SendCommand& command) {
  control::Json request = {{"op", command.op}};
  const bool reload = command.op == "reload";
  try {
    if (reload) WriteConfig(command.stamp);
  } catch (const std::exception& e) {
    return Step({supervise::ReloadAnswered{command.stamp, e.what()}});
  }
  if (reload) request["stamp"] = command.stamp;
  relay_caller_.Call(std::move(request), kAnswerTimeout,
                     [this, command, reload](const control::Json* answer, const std::string&) {
                       if (answer == nullptr)
                         return;  // the supervisor repeats the command until it takes effect
                       const std::string reason = control::TextOf(*answer, "error");
                       if (reload) return Step({supervise::ReloadAnswered{command.stamp, reason}});
                       if (!reason.empty()) record_event_(instance_, command.op + ": " + reason);
                     });
}

void RelayController::Execute(const supervise::SendSignal& signal) {
  // The start time is compared because the pid may have been reused. Pid 0 would signal the agent's own
  // process group.
  const auto pid = static_cast<pid_t>(signal.pid);
  if (pid <= 0 || running_.start_ticks == 0) return;
  if (signal.pid == running_.pid && supervise::ProcessStartTicks(pid) == running_.start_ticks)
    kill(pid, signal.signal_number);
}

void RelayController::CheckAlive() {
  if (running_.pid == 0) return;
  const auto pid = static_cast<pid_t>(running_.pid);
  int exit_code = 0, wait_status = 0;
  if (is_child_ && waitpid(pid, &wait_status, WNOHANG) == pid) {
    exit_code = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -WTERMSIG(wait_status);
  } else if (running_.start_ticks != 0 && supervise::ProcessStartTicks(pid) == running_.start_ticks) {
    liveness_timer_.After(kLivenessInterval);
    return;
  }
  running_ = {};
  liveness_timer_.Stop();
  relay_caller_.Disconnect("the relay has exited");
  Step({supervise::ProcessExited{exit_code}});
}

}  // namespace oxbowspread::agent
