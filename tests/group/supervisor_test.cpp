// Tests of the supervisor of one relay against a model of the relay's process, on a virtual clock.
#include "supervise/supervisor.hpp"

#include <signal.h>

#include <catch2/catch.hpp>
#include <random>

namespace oxbowspread::supervise {
namespace {

using namespace std::chrono_literals;
using change::DesiredPhase;
using change::InstanceStatus;
using Phase = InstanceStatus::Phase;

// Model of the relay process, the lock of its state folder and the answers of its control socket. Executes
// the supervisor's actions and reports the results as events.
class RelayModel {
 public:
  explicit RelayModel(Desired desired = {DesiredPhase::kServing, "v1@first", false})
      : supervisor(std::move(desired)) {}

  void Run(Time duration) {
    for (const Time end = now + duration; now < end;) {
      now += 10ms;
      std::vector<Event> events = std::exchange(pending, {});
      if (pid != 0 && phase == Phase::kStarting && now >= ready_at) phase = Phase::kServing;
      if (pid != 0 && phase == Phase::kEnding && now >= exits_at) Exit(0);
      Step(events);
    }
  }
  void Step(const std::vector<Event>& events) {
    for (const Action& action : supervisor.Step(now, events)) Execute(action);
  }
  void Execute(const Action& action) {
    if (std::holds_alternative<FindProcess>(action)) {
      if (pid != 0) pending.push_back(ProcessFound{pid});
      if (pid == 0 && !search_inconclusive) pending.push_back(NoProcessFound{});
    } else if (const auto* spawn = std::get_if<Spawn>(&action)) {
      ++spawn_count;
      spawn_times.push_back(now);
      if (spawn_fails) {
        pending.push_back(SpawnFailed{"no such file"});
        return;
      }
      CHECK(pid == 0);  // a second process must never be started
      pid = ++last_pid;
      stamp = spawn->stamp;
      phase = Phase::kStarting;
      ready_at = now + 200ms;
      pending.push_back(Spawned{pid});
      if (immediate_exit_code) Exit(*immediate_exit_code);
    } else if (std::holds_alternative<QueryStatus>(action)) {
      if (pid == 0 || unresponsive) {
        pending.push_back(StatusUnavailable{});
      } else {
        pending.push_back(Status{phase, false, stamp, pid, 0, {}});
      }
    } else if (const auto* command = std::get_if<SendCommand>(&action)) {
      commands.push_back(command->op);
      if (command->op == "drain") phase = Phase::kPaused;
      if (command->op == "resume") phase = Phase::kServing;
      if (command->op == "reload") {
        if (reload_fault.empty()) stamp = command->stamp;
        pending.push_back(ReloadAnswered{command->stamp, reload_fault});
      }
    } else if (const auto* signal = std::get_if<SendSignal>(&action)) {
      signals.push_back(signal->signal_number);
      if (signal->signal_number == SIGTERM && !ignores_sigterm) {
        phase = Phase::kEnding;
        exits_at = now + 300ms;
      }
      if (signal->signal_number == SIGKILL) Exit(-SIGKILL);
    }
  }
  void Exit(int exit_code) {
    pid = 0;
    pending.push_back(ProcessExited{exit_code});
  }
  Phase reported_phase() const {
    const auto instance_status = supervisor.CurrentStatus("n1", now);
    return instance_status ? instance_status->phase : Phase::kDown;
  }

  Supervisor supervisor;
  Time now{1'000'000'000};
  std::vector<Event> pending;
  std::int64_t pid = 0, last_pid = 100;
  std::string stamp, reload_fault;
  Phase phase = Phase::kDown;
  Time ready_at{0}, exits_at{0};
  int spawn_count = 0;
  std::vector<Time> spawn_times;
  std::vector<std::string> commands;
  std::vector<int> signals;
  bool spawn_fails = false, unresponsive = false, ignores_sigterm = false, search_inconclusive = false;
  std::optional<int> immediate_exit_code;
};

TEST_CASE("a relay that does not run is started once and reported as serving") {
  RelayModel model;
  model.Run(2s);
  CHECK(model.spawn_count == 1);
  CHECK(model.reported_phase() == Phase::kServing);
  CHECK(model.supervisor.CurrentStatus("n1", model.now)->stamp == "v1@first");
}

TEST_CASE("a relay that already runs is adopted and neither started nor restarted") {
  RelayModel model;
  model.pid = 77;
  model.phase = Phase::kServing;
  model.stamp = "v1@first";
  model.Run(2s);
  CHECK(model.spawn_count == 0);
  CHECK(model.signals.empty());
  CHECK(model.supervisor.pid() == 77);
  CHECK(model.reported_phase() == Phase::kServing);
}

TEST_CASE("nothing is started and no status is reported while the search has no clear result") {
  RelayModel model;
  model.search_inconclusive = true;
  model.Run(20s);
  CHECK(model.spawn_count == 0);
  CHECK_FALSE(model.supervisor.CurrentStatus("n1", model.now).has_value());
  model.search_inconclusive = false;
  model.Run(2s);
  CHECK(model.spawn_count == 1);
}

TEST_CASE("a relay that exits is restarted at once and repeated exits increase the delay of the restart") {
  RelayModel model;
  model.Run(1s);
  model.Exit(-SIGKILL);
  model.Run(500ms);
  CHECK(model.spawn_count == 2);
  CHECK(model.reported_phase() == Phase::kServing);
  CHECK(model.supervisor.unexpected_exits() == 1);
  for (int i = 0; i < 5; ++i) {
    model.Exit(-SIGKILL);
    model.Run(5s);
  }
  const int spawns_before = model.spawn_count;
  CHECK(model.supervisor.CurrentStatus("n1", model.now)
            ->fault.find("exited unexpectedly 6 times in a minute") == 0);
  model.Run(20s);
  CHECK(model.spawn_count == spawns_before);  // in a crash loop the delay is 30 s
  model.Run(15s);
  CHECK(model.spawn_count == spawns_before + 1);
}

TEST_CASE("a relay that never starts up is reported as a fault with the order and the exit code") {
  RelayModel model;
  model.immediate_exit_code = 1;
  model.Run(2s);
  const auto instance_status = model.supervisor.CurrentStatus("n1", model.now);
  REQUIRE(instance_status);
  CHECK(instance_status->fault == "does not start up: it exited with code 1");
  CHECK(instance_status->fault_stamp == "v1@first");
  CHECK(model.spawn_count >= 3);
  CHECK(model.spawn_count <= 6);
  // A new order clears the fault and starts the relay at once.
  model.immediate_exit_code.reset();
  model.Step({DesiredChanged{{DesiredPhase::kServing, "v0@c1.1u", false}}});
  model.Run(1s);
  CHECK(model.reported_phase() == Phase::kServing);
  CHECK(model.supervisor.CurrentStatus("n1", model.now)->fault.empty());
}

TEST_CASE("a process that finds the folder locked leads to a new search and is not counted as a crash") {
  RelayModel model;
  model.immediate_exit_code = kFolderLockedExitCode;
  model.Run(150ms);
  CHECK(model.supervisor.unexpected_exits() == 0);
  model.immediate_exit_code.reset();
  model.pid = 55;
  model.phase = Phase::kServing;
  model.stamp = "v1@first";
  model.Run(1s);
  CHECK(model.supervisor.pid() == 55);
}

TEST_CASE("a new stamp restarts the relay by SIGTERM and by SIGKILL only if SIGTERM is ignored") {
  RelayModel model;
  model.Run(1s);
  model.Step({DesiredChanged{{DesiredPhase::kServing, "v2@c1.1", false}}});
  model.Run(2s);
  CHECK(model.signals == std::vector<int>{SIGTERM});
  CHECK(model.stamp == "v2@c1.1");
  CHECK(model.supervisor.unexpected_exits() == 0);
  model.ignores_sigterm = true;
  model.Step({DesiredChanged{{DesiredPhase::kServing, "v3@c2.1", false}}});
  model.Run(4s);
  CHECK(model.signals.size() == 2);
  model.Run(3s);
  CHECK(model.signals.back() == SIGKILL);
  CHECK(model.stamp == "v3@c2.1");
}

TEST_CASE("a reload keeps the process and a rejected reload is a fault without a restart") {
  RelayModel model;
  model.Run(1s);
  const auto pid = model.pid;
  model.Step({DesiredChanged{{DesiredPhase::kServing, "v2@c1.1", true}}});
  model.Run(1s);
  CHECK(model.pid == pid);
  CHECK(model.stamp == "v2@c1.1");
  model.reload_fault = "limits.sockets: must be at least 48";
  model.Step({DesiredChanged{{DesiredPhase::kServing, "v3@c2.1", true}}});
  model.Run(3s);
  CHECK(model.pid == pid);
  CHECK(model.supervisor.CurrentStatus("n1", model.now)->fault ==
        "refused the configuration: limits.sockets: must be at least 48");
  CHECK(std::count(model.commands.begin(), model.commands.end(), "reload") == 2);
}

TEST_CASE("a paused relay is paused again after a crash and serves after resume") {
  RelayModel model({DesiredPhase::kPaused, "v1@first", false});
  model.Run(1s);
  CHECK(model.reported_phase() == Phase::kPaused);
  model.Exit(-SIGKILL);
  model.Run(2s);
  CHECK(model.reported_phase() == Phase::kPaused);
  model.Step({DesiredChanged{{DesiredPhase::kServing, "v1@first", false}}});
  model.Run(1s);
  CHECK(model.reported_phase() == Phase::kServing);
}

TEST_CASE("a serving relay that stops answering is unknown and neither restarted nor killed") {
  RelayModel model;
  model.Run(1s);
  model.unresponsive = true;
  model.Run(30s);
  CHECK_FALSE(model.supervisor.CurrentStatus("n1", model.now).has_value());
  CHECK(model.spawn_count == 1);
  CHECK(model.signals.empty());
}

TEST_CASE("a relay that does not answer after its start is killed and started again") {
  RelayModel model;
  model.unresponsive = true;
  model.Run(11s);
  CHECK(model.signals == std::vector<int>{SIGKILL});
  model.unresponsive = false;
  model.Run(2s);
  CHECK(model.reported_phase() == Phase::kServing);
}

TEST_CASE("a program that can't be started is a fault and is retried after a delay") {
  RelayModel model;
  model.spawn_fails = true;
  model.Run(25s);
  CHECK(model.supervisor.CurrentStatus("n1", model.now)->fault == "can't be started: no such file");
  CHECK(model.spawn_count == 3);
}

TEST_CASE("the relay reaches the state of the last order despite crashes and new orders over many seeds") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    RelayModel model;
    Desired last_order = model.supervisor.desired();
    for (int i = 0; i < 40; ++i) {
      model.Run(Time(static_cast<Time::rep>(random() % 900'000)));
      switch (random() % 5) {
        case 0:
          if (model.pid != 0) model.Exit(-SIGKILL);
          break;
        case 1:
          last_order = {random() % 2 == 0 ? DesiredPhase::kPaused : DesiredPhase::kServing, last_order.stamp,
                        last_order.reload};
          model.Step({DesiredChanged{last_order}});
          break;
        case 2:
          last_order = {DesiredPhase::kServing, "v" + std::to_string(i) + "@c" + std::to_string(i) + ".1",
                        random() % 2 == 0};
          model.Step({DesiredChanged{last_order}});
          break;
        case 3: {  // the agent restarts: the new supervisor knows only the last order
          model.pending.clear();
          model.supervisor = Supervisor(last_order);
          break;
        }
        default:
          break;
      }
    }
    model.Run(60s);
    REQUIRE(model.supervisor.CurrentStatus("n1", model.now).has_value());
    CHECK(model.reported_phase() ==
          (last_order.phase == DesiredPhase::kPaused ? Phase::kPaused : Phase::kServing));
    CHECK(model.stamp == last_order.stamp);
  }
}

}  // namespace
}  // namespace oxbowspread::supervise
