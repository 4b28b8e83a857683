// The keeper of one relay against a model of a process, on a virtual clock.
#include "supervise/supervisor.hpp"

#include <signal.h>

#include <catch2/catch.hpp>
#include <random>

namespace oxbowspread::supervise {
namespace {

using namespace std::chrono_literals;
using change::Belief;
using change::DesiredPhase;
using Phase = Belief::Phase;

// The process, its folder's lock, and the answers of its control socket.
class Host {
 public:
  explicit Host(Desired desired = {DesiredPhase::kServing, "v1@first", false}) : keeper(std::move(desired)) {}

  void Run(Time span) {
    for (const Time until = now + span; now < until;) {
      now += 10ms;
      std::vector<Event> events = std::exchange(pending, {});
      if (pid != 0 && phase == Phase::kStarting && now >= ready_at) phase = Phase::kServing;
      if (pid != 0 && phase == Phase::kEnding && now >= end_at) End(0);
      Step(events);
    }
  }
  void Step(const std::vector<Event>& events) {
    for (const Action& action : keeper.Step(now, events)) Do(action);
  }
  void Do(const Action& action) {
    if (std::holds_alternative<FindProcess>(action)) {
      if (pid != 0) pending.push_back(ProcessFound{pid});
      if (pid == 0 && !unclear) pending.push_back(NoProcessFound{});
    } else if (const auto* spawn = std::get_if<Spawn>(&action)) {
      ++spawns;
      spawned_at.push_back(now);
      if (spawn_fails) {
        pending.push_back(SpawnFailed{"no such file"});
        return;
      }
      CHECK(pid == 0);  // never a second copy
      pid = ++pids;
      stamp = spawn->stamp;
      phase = Phase::kStarting;
      ready_at = now + 200ms;
      pending.push_back(Spawned{pid});
      if (ends_at_once) End(*ends_at_once);
    } else if (std::holds_alternative<QueryStatus>(action)) {
      if (pid == 0 || silent) {
        pending.push_back(StatusUnavailable{});
      } else {
        pending.push_back(Status{phase, false, stamp, pid, 0, {}});
      }
    } else if (const auto* ask = std::get_if<SendCommand>(&action)) {
      asked.push_back(ask->op);
      if (ask->op == "drain") phase = Phase::kPaused;
      if (ask->op == "resume") phase = Phase::kServing;
      if (ask->op == "reload") {
        if (reload_fault.empty()) stamp = ask->stamp;
        pending.push_back(ReloadAnswered{ask->stamp, reload_fault});
      }
    } else if (const auto* signal = std::get_if<SendSignal>(&action)) {
      signals.push_back(signal->signal_number);
      if (signal->signal_number == SIGTERM && !deaf) {
        phase = Phase::kEnding;
        end_at = now + 300ms;
      }
      if (signal->signal_number == SIGKILL) End(-SIGKILL);
    }
  }
  void End(int code) {
    pid = 0;
    pending.push_back(ProcessExited{code});
  }
  Phase told() const {
    const auto b = keeper.CurrentBelief("n1", now);
    return b ? b->phase : Phase::kDown;
  }

  Supervisor keeper;
  Time now{1'000'000'000};
  std::vector<Event> pending;
  std::int64_t pid = 0, pids = 100;
  std::string stamp, reload_fault;
  Phase phase = Phase::kDown;
  Time ready_at{0}, end_at{0};
  int spawns = 0;
  std::vector<Time> spawned_at;
  std::vector<std::string> asked;
  std::vector<int> signals;
  bool spawn_fails = false, silent = false, deaf = false, unclear = false;
  std::optional<int> ends_at_once;
};

TEST_CASE("nobody runs: it is started once and told as serving") {
  Host h;
  h.Run(2s);
  CHECK(h.spawns == 1);
  CHECK(h.told() == Phase::kServing);
  CHECK(h.keeper.CurrentBelief("n1", h.now)->stamp == "v1@first");
}

TEST_CASE("one that runs already is adopted, not started and not restarted") {
  Host h;
  h.pid = 77;
  h.phase = Phase::kServing;
  h.stamp = "v1@first";
  h.Run(2s);
  CHECK(h.spawns == 0);
  CHECK(h.signals.empty());
  CHECK(h.keeper.pid() == 77);
  CHECK(h.told() == Phase::kServing);
}

TEST_CASE("while it can't be told who runs, nothing is started and nothing is claimed") {
  Host h;
  h.unclear = true;
  h.Run(20s);
  CHECK(h.spawns == 0);
  CHECK_FALSE(h.keeper.CurrentBelief("n1", h.now).has_value());
  h.unclear = false;
  h.Run(2s);
  CHECK(h.spawns == 1);
}

TEST_CASE("one that dies is started at once, and again and again only with growing rests") {
  Host h;
  h.Run(1s);
  h.End(-SIGKILL);
  h.Run(500ms);
  CHECK(h.spawns == 2);
  CHECK(h.told() == Phase::kServing);
  CHECK(h.keeper.unexpected_exits() == 1);
  for (int i = 0; i < 5; ++i) {
    h.End(-SIGKILL);
    h.Run(5s);
  }
  const int before = h.spawns;
  CHECK(h.keeper.CurrentBelief("n1", h.now)->fault.find("died 6 times in a minute") == 0);
  h.Run(20s);
  CHECK(h.spawns == before);  // a crash loop rests for 30 s
  h.Run(15s);
  CHECK(h.spawns == before + 1);
}

TEST_CASE("one that never comes up is a fault that names the order and how it ended") {
  Host h;
  h.ends_at_once = 1;
  h.Run(2s);
  const auto b = h.keeper.CurrentBelief("n1", h.now);
  REQUIRE(b);
  CHECK(b->fault == "does not come up: it ended with code 1");
  CHECK(b->fault_stamp == "v1@first");
  CHECK(h.spawns >= 3);
  CHECK(h.spawns <= 6);
  // Another order makes a fresh start of it at once.
  h.ends_at_once.reset();
  h.Step({DesiredChanged{{DesiredPhase::kServing, "v0@c1.1u", false}}});
  h.Run(1s);
  CHECK(h.told() == Phase::kServing);
  CHECK(h.keeper.CurrentBelief("n1", h.now)->fault.empty());
}

TEST_CASE("a copy that finds the folder locked leads to a look, not to a count of deaths") {
  Host h;
  h.ends_at_once = kFolderLocked;
  h.Run(150ms);
  CHECK(h.keeper.unexpected_exits() == 0);
  h.ends_at_once.reset();
  h.pid = 55;
  h.phase = Phase::kServing;
  h.stamp = "v1@first";
  h.Run(1s);
  CHECK(h.keeper.pid() == 55);
}

TEST_CASE("another stamp restarts it by SIGTERM, and by SIGKILL only where that is not heeded") {
  Host h;
  h.Run(1s);
  h.Step({DesiredChanged{{DesiredPhase::kServing, "v2@c1.1", false}}});
  h.Run(2s);
  CHECK(h.signals == std::vector<int>{SIGTERM});
  CHECK(h.stamp == "v2@c1.1");
  CHECK(h.keeper.unexpected_exits() == 0);
  h.deaf = true;
  h.Step({DesiredChanged{{DesiredPhase::kServing, "v3@c2.1", false}}});
  h.Run(4s);
  CHECK(h.signals.size() == 2);
  h.Run(3s);
  CHECK(h.signals.back() == SIGKILL);
  CHECK(h.stamp == "v3@c2.1");
}

TEST_CASE("a reload keeps the process: one that is refused is a fault and restarts nothing") {
  Host h;
  h.Run(1s);
  const auto pid = h.pid;
  h.Step({DesiredChanged{{DesiredPhase::kServing, "v2@c1.1", true}}});
  h.Run(1s);
  CHECK(h.pid == pid);
  CHECK(h.stamp == "v2@c1.1");
  h.reload_fault = "limits.sockets: must be at least 48";
  h.Step({DesiredChanged{{DesiredPhase::kServing, "v3@c2.1", true}}});
  h.Run(3s);
  CHECK(h.pid == pid);
  CHECK(h.keeper.CurrentBelief("n1", h.now)->fault ==
        "refused the configuration: limits.sockets: must be at least 48");
  CHECK(std::count(h.asked.begin(), h.asked.end(), "reload") == 2);
}

TEST_CASE("paused stays paused over a death, and resume serves") {
  Host h({DesiredPhase::kPaused, "v1@first", false});
  h.Run(1s);
  CHECK(h.told() == Phase::kPaused);
  h.End(-SIGKILL);
  h.Run(2s);
  CHECK(h.told() == Phase::kPaused);
  h.Step({DesiredChanged{{DesiredPhase::kServing, "v1@first", false}}});
  h.Run(1s);
  CHECK(h.told() == Phase::kServing);
}

TEST_CASE("one that falls silent while it serves is unknown, and neither restarted nor ended") {
  Host h;
  h.Run(1s);
  h.silent = true;
  h.Run(30s);
  CHECK_FALSE(h.keeper.CurrentBelief("n1", h.now).has_value());
  CHECK(h.spawns == 1);
  CHECK(h.signals.empty());
}

TEST_CASE("one that says nothing after its start is ended and started anew") {
  Host h;
  h.silent = true;
  h.Run(11s);
  CHECK(h.signals == std::vector<int>{SIGKILL});
  h.silent = false;
  h.Run(2s);
  CHECK(h.told() == Phase::kServing);
}

TEST_CASE("a program that can't be started is a fault, tried again at rest") {
  Host h;
  h.spawn_fails = true;
  h.Run(25s);
  CHECK(h.keeper.CurrentBelief("n1", h.now)->fault == "can't be started: no such file");
  CHECK(h.spawns == 3);
}

TEST_CASE("whatever is ordered and whoever dies, it ends where the last order wants it, over many seeds") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    std::mt19937 dice(seed);
    Host h;
    Desired last = h.keeper.desired();
    for (int i = 0; i < 40; ++i) {
      h.Run(Time(static_cast<Time::rep>(dice() % 900'000)));
      switch (dice() % 5) {
        case 0:
          if (h.pid != 0) h.End(-SIGKILL);
          break;
        case 1:
          last = {dice() % 2 == 0 ? DesiredPhase::kPaused : DesiredPhase::kServing, last.stamp, last.reload};
          h.Step({DesiredChanged{last}});
          break;
        case 2:
          last = {DesiredPhase::kServing, "v" + std::to_string(i) + "@c" + std::to_string(i) + ".1",
                  dice() % 2 == 0};
          h.Step({DesiredChanged{last}});
          break;
        case 3: {  // the agent dies: the next keeper knows what was ordered, and nothing else
          h.pending.clear();
          h.keeper = Supervisor(last);
          break;
        }
        default:
          break;
      }
    }
    h.Run(60s);
    REQUIRE(h.keeper.CurrentBelief("n1", h.now).has_value());
    CHECK(h.told() == (last.want == DesiredPhase::kPaused ? Phase::kPaused : Phase::kServing));
    CHECK(h.stamp == last.stamp);
  }
}

}  // namespace
}  // namespace oxbowspread::supervise
