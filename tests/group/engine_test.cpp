// Tests of the change engine against a model of a group whose instances need time, crash and become
// unreachable.
#include "change/engine.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

namespace oxbowspread::change {
namespace {

using namespace std::chrono_literals;
using Phase = InstanceStatus::Phase;

// Model of the instances and their agents, on a virtual clock. An order takes effect after a delay, and a
// killed instance restarts with the stamp of its latest order.
class GroupModel {
 public:
  struct Instance {
    Phase phase = Phase::kServing;
    std::string stamp = "v1@first", ordered_stamp = "v1@first";
    DesiredPhase desired_phase = DesiredPhase::kServing;
    Time ready_at{0}, settled_at{0};
    std::int64_t pid = 0, crashes = 0;
    Counts counts;
    std::string fault, fault_stamp;
    bool reachable = true;
    bool paused = false;
  };

  GroupModel(int count, const Limits& group_limits) : limits(group_limits) {
    for (int i = 0; i < count; ++i) {
      Instance& instance = instances["n" + std::to_string(i + 1)];
      instance.pid = ++last_pid;
      capacities.push_back({"n" + std::to_string(i + 1), 100});
    }
    engine.emplace(capacities, limits);
  }

  Spec MakeSpec(Kind kind, const std::string& to = "v1", bool reload = false) const {
    Spec spec{"c1", kind, "test", {}};
    for (const auto& capacity : capacities) spec.targets.push_back({capacity.instance, "v1", to, reload});
    return spec;
  }

  // Advances the clock by 100 ms: updates the instances, reports the statuses of those that are reachable to
  // the engine, and executes the engine's actions.
  void Tick(std::vector<Event> events = {}) {
    REQUIRE(++tick_count < 20'000);  // fails a test that would wait forever
    now += 100ms;
    for (auto& [name, instance] : instances) {
      UpdateInstance(instance);
      if (!instance.reachable) continue;
      InstanceStatus status;
      status.instance = name;
      status.requested_at = now;
      status.phase = instance.phase;
      status.settled = instance.phase == Phase::kPaused && now >= instance.settled_at;
      status.stamp = instance.phase == Phase::kDown ? "" : instance.stamp;
      status.pid = instance.phase == Phase::kDown ? 0 : instance.pid;
      status.fault = instance.fault;
      status.fault_stamp = instance.fault_stamp;
      status.counts = instance.counts;
      events.push_back(StatusReceived{status});
    }
    ExecuteActions(engine->Step({now, weekday, minute}, events));
  }

  void ExecuteActions(const std::vector<Action>& actions) {
    bool persisted = true;
    for (const Action& action : actions) {
      if (const auto* persist = std::get_if<PersistRecord>(&action)) {
        record = persist->record;
        persisted = true;
      } else if (const auto* order = std::get_if<Order>(&action)) {
        CHECK(persisted);
        ApplyOrder(*order);
      } else if (const auto* entry = std::get_if<AddHistory>(&action)) {
        history.push_back(entry->instance + " " + entry->text);
      }
    }
  }

  void ApplyOrder(const Order& order) {
    Instance& instance = instances.at(order.instance);
    if (!instance.reachable) return;
    orders.push_back(order);
    instance.desired_phase = order.desired_phase;
    if (order.stamp.empty() || order.stamp == instance.ordered_stamp) return;
    instance.ordered_stamp = order.stamp;
    instance.fault.clear();
    if (bad_versions.count(VersionOf(order.stamp)) > 0) {
      instance.fault = "does not come up";
      instance.fault_stamp = order.stamp;
      if (!order.reload) instance.phase = Phase::kDown;
      return;
    }
    if (order.reload && instance.phase == Phase::kServing) {
      instance.stamp = order.stamp;
    } else {
      instance.phase = Phase::kEnding;
      instance.ready_at = now + 700ms;
    }
  }

  void UpdateInstance(Instance& instance) {
    const bool bad = bad_versions.count(VersionOf(instance.ordered_stamp)) > 0;
    if (instance.phase == Phase::kServing) {
      instance.counts.received += messages_per_tick;
      instance.counts.ended += messages_per_tick;
      if (rejecting_versions.count(VersionOf(instance.stamp)) > 0)
        instance.counts.rejected += messages_per_tick / 2;
    }
    if (instance.phase == Phase::kServing && instance.desired_phase == DesiredPhase::kPaused) {
      instance.phase = Phase::kPaused;
      instance.settled_at = now + 500ms;
    } else if (instance.phase == Phase::kPaused && instance.desired_phase == DesiredPhase::kServing) {
      instance.phase = Phase::kServing;
    } else if ((instance.phase == Phase::kEnding || instance.phase == Phase::kDown) &&
               now >= instance.ready_at && !bad) {
      instance.phase = instance.desired_phase == DesiredPhase::kPaused ? Phase::kPaused : Phase::kServing;
      instance.stamp = instance.ordered_stamp;
      instance.pid = ++last_pid;
      instance.counts = {};
    }
  }

  void Kill(const std::string& name) {
    Instance& instance = instances.at(name);
    instance.phase = Phase::kDown;
    instance.ready_at = now + 600ms;
    ++instance.crashes;
  }

  int serving() const {
    return static_cast<int>(std::count_if(instances.begin(), instances.end(), [](const auto& entry) {
      return entry.second.phase == Phase::kServing;
    }));
  }
  bool finished() const { return engine->record() && IsFinished(engine->record()->state); }
  State state() const { return engine->record()->state; }
  void RunUntilFinished(int max_ticks = 2000) {
    while (!finished() && max_ticks-- > 0) Tick();
    REQUIRE(finished());
  }
  int stage_count(Stage stage) const {
    const auto& progress = engine->record()->progress;
    return static_cast<int>(std::count_if(progress.begin(), progress.end(),
                                          [&](const Progress& entry) { return entry.stage == stage; }));
  }

  Limits limits;
  std::vector<InstanceCapacity> capacities;
  std::map<std::string, Instance> instances;
  std::optional<Engine> engine;
  std::optional<Record> record;
  std::vector<Order> orders;
  std::vector<std::string> history;
  std::set<std::string> bad_versions, rejecting_versions;
  Time now{1'000'000'000};
  int weekday = 3, minute = 600;
  int messages_per_tick = 5;  // of each instance; 50 messages a second
  std::int64_t last_pid = 100;
  int tick_count = 0;
};

Limits ShortLimits() {
  Limits limits;
  limits.observation_time = 1s;
  limits.watch_time = 1s;
  limits.settle_timeout = 3s;
  limits.ready_timeout = 5s;
  return limits;
}

TEST_CASE("a rolling restart restarts every instance with one unavailable at a time") {
  GroupModel model(5, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  int min_serving = 5;
  while (!model.finished()) {
    model.Tick();
    min_serving = std::min(min_serving, model.serving());
  }
  CHECK(model.state() == State::kDone);
  CHECK(min_serving == 4);
  for (const auto& [name, instance] : model.instances) {
    CHECK(instance.phase == Phase::kServing);
    CHECK(instance.stamp.find("@c1.") != std::string::npos);
  }
}

TEST_CASE("no instance is taken out of service before the observation time has passed") {
  GroupModel model(3, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  for (int i = 0; i < 8; ++i) model.Tick();
  CHECK(model.orders.empty());
  CHECK(model.engine->blocked_reason().find("observing") == 0);
}

TEST_CASE("a limit of two unavailable instances allows two and never three") {
  Limits limits = ShortLimits();
  limits.max_unavailable = limits.max_in_progress = 2;
  GroupModel model(6, limits);
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  int min_serving = 6;
  while (!model.finished()) {
    model.Tick();
    min_serving = std::min(min_serving, model.serving());
  }
  CHECK(min_serving == 4);
}

TEST_CASE("a change waits while the other instances lack capacity and continues when the rate falls") {
  GroupModel model(3, ShortLimits());
  model.messages_per_tick = 9;  // 270 messages a second in total; the limit of two instances is 0.8 * 200
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  for (int i = 0; i < 100; ++i) model.Tick();
  CHECK(model.orders.empty());
  CHECK(model.engine->blocked_reason().find("the other instances can process 160 messages a second") !=
        std::string::npos);
  model.messages_per_tick = 2;
  model.RunUntilFinished();
  CHECK(model.state() == State::kDone);
}

TEST_CASE("an instance that is already down counts as unavailable") {
  GroupModel model(3, ShortLimits());
  model.Tick();
  model.Kill("n3");
  model.instances["n3"].ready_at = model.now + 20s;
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  for (int i = 0; i < 50; ++i) model.Tick();
  CHECK(model.orders.empty());
  CHECK(model.engine->blocked_reason().find("n3 down") != std::string::npos);
  model.RunUntilFinished();
  CHECK(model.state() == State::kDone);
}

TEST_CASE("an instance killed at any stage ends up serving with the stamp of the new order") {
  for (const Stage stage :
       {Stage::kWaiting, Stage::kPausing, Stage::kApplying, Stage::kWatching, Stage::kDone}) {
    GroupModel model(3, ShortLimits());
    model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
    while (model.engine->record()->progress[1].stage != stage) model.Tick();
    model.Kill("n2");
    model.RunUntilFinished();
    INFO("killed at stage " << NameOf(stage));
    CHECK(model.state() == State::kDone);
    CHECK(model.serving() == 3);
    CHECK(model.instances["n2"].stamp == "v1@c1.2");
  }
}

TEST_CASE("an instance that keeps crashing while watched fails the change and the others stay unchanged") {
  GroupModel model(3, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  while (!model.finished()) {
    model.Tick();
    if (model.engine->record()->progress[0].stage == Stage::kWatching &&
        model.instances["n1"].phase == Phase::kServing)
      model.Kill("n1");
  }
  CHECK(model.state() == State::kFailed);
  CHECK(model.record->reason.find("n1: exited unexpectedly 3 times") == 0);
  CHECK(model.instances["n2"].stamp == "v1@first");
}

TEST_CASE("an unknown instance blocks the change and its timeouts do not run meanwhile") {
  GroupModel model(3, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  while (model.engine->record()->progress[0].stage != Stage::kApplying) model.Tick();
  model.instances["n1"].reachable = false;
  const auto before = model.orders.size();
  for (int i = 0; i < 200; ++i) model.Tick();  // 20 s, four times the ready timeout
  CHECK(model.engine->record()->progress[0].stage == Stage::kApplying);
  CHECK(model.orders.size() == before);
  CHECK(model.engine->blocked_reason().find("n1 has been unknown for") == 0);
  model.instances["n1"].reachable = true;
  model.RunUntilFinished();
  CHECK(model.state() == State::kDone);
}

TEST_CASE("another instance that is unknown counts as unavailable with its last known message rate") {
  GroupModel model(3, ShortLimits());
  for (int i = 0; i < 20; ++i) model.Tick();
  model.instances["n3"].reachable = false;
  for (int i = 0; i < 30; ++i) model.Tick();
  CHECK(model.engine->MessageRate() == Approx(150).margin(10));
  CHECK(model.engine->BlockedBy({model.now, 3, 600}, "n1") == "at most 1 may be out of service: n3 unknown");
  CHECK(model.engine->FreshStatus(model.now, "n3") == nullptr);
}

TEST_CASE("an older status never replaces a newer one") {
  GroupModel model(2, ShortLimits());
  model.Tick();
  InstanceStatus old_status;
  old_status.instance = "n1";
  old_status.requested_at = model.now - 50ms;
  old_status.phase = Phase::kDown;
  model.engine->Step({model.now, 3, 600}, {StatusReceived{old_status}});
  CHECK(model.engine->FreshStatus(model.now, "n1")->phase == Phase::kServing);
}

TEST_CASE("a configuration that an instance can't start with is rolled back and the others stay unchanged") {
  GroupModel model(4, ShortLimits());
  model.bad_versions = {"v2"};
  model.Tick({StartChange{model.MakeSpec(Kind::kReconfigure, "v2")}});
  model.RunUntilFinished();
  CHECK(model.state() == State::kRolledBack);
  CHECK(model.record->reason == "n1: does not come up");
  CHECK(model.instances["n1"].stamp == "v1@c1.1u");
  CHECK(model.instances["n1"].phase == Phase::kServing);
  for (const char* name : {"n2", "n3", "n4"}) CHECK(model.instances[name].stamp == "v1@first");
}

TEST_CASE(
    "a configuration that rejects more messages is reverted on all changed instances in reverse order") {
  GroupModel model(4, ShortLimits());
  model.limits.min_sample = 20;
  model.engine.emplace(model.capacities, model.limits);
  Spec spec = model.MakeSpec(Kind::kReconfigure, "v2");
  spec.targets[2].to = "v3";
  model.rejecting_versions = {"v3"};
  model.Tick({StartChange{spec}});
  model.RunUntilFinished();
  CHECK(model.state() == State::kRolledBack);
  CHECK(model.record->reason.find("n3: refused 40.0%") == 0);
  CHECK(model.stage_count(Stage::kReverted) == 3);
  for (const auto& [name, instance] : model.instances) CHECK(VersionOf(instance.stamp) == "v1");
  CHECK(model.instances["n4"].stamp == "v1@first");
  CHECK(model.serving() == 4);
}

TEST_CASE("a reload takes no instance out of service") {
  GroupModel model(3, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kReconfigure, "v2", true)}});
  while (!model.finished()) {
    model.Tick();
    CHECK(model.serving() == 3);
  }
  CHECK(model.state() == State::kDone);
  for (const auto& [name, instance] : model.instances) CHECK(VersionOf(instance.stamp) == "v2");
}

TEST_CASE("an order that an agent rejects rolls the change back at once") {
  GroupModel model(2, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kReconfigure, "v2", true)}});
  while (model.orders.empty()) model.Tick();
  model.Tick({OrderRejected{"n1", "v2@c1.1", "limits.sockets: must be at least 48"}});
  CHECK(model.record->state == State::kRollingBack);
  model.RunUntilFinished();
  CHECK(model.state() == State::kRolledBack);
  CHECK(model.record->reason.find("limits.sockets") != std::string::npos);
}

TEST_CASE("pause changes no further instance and resume continues and abort finishes the started instances") {
  GroupModel model(4, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  while (model.engine->record()->progress[0].stage != Stage::kPausing) model.Tick();
  model.Tick({OperatorRequest{OperatorCommand::kPause}});
  for (int i = 0; i < 100; ++i) model.Tick();
  CHECK(model.stage_count(Stage::kDone) == 1);
  CHECK(model.stage_count(Stage::kWaiting) == 3);
  model.Tick({OperatorRequest{OperatorCommand::kResume}});
  while (model.engine->record()->progress[1].stage != Stage::kApplying) model.Tick();
  model.Tick({OperatorRequest{OperatorCommand::kAbort}});
  model.RunUntilFinished();
  CHECK(model.state() == State::kAborted);
  CHECK(model.stage_count(Stage::kDone) == 2);
  CHECK(model.serving() == 4);
}

TEST_CASE("a second change is rejected with the id of the first") {
  GroupModel model(3, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  Spec second = model.MakeSpec(Kind::kDrain);
  second.id = "c2";
  CHECK(model.engine->RejectionReason(second) == "change c1 (restart by test) has not finished yet");
  model.Tick({StartChange{second}});
  CHECK(model.engine->record()->spec.id == "c1");
}

TEST_CASE("a drain pauses an instance and resume returns it and a drain beyond the limit is rejected") {
  GroupModel model(3, ShortLimits());
  CHECK(model.engine->RejectionReason(model.MakeSpec(Kind::kDrain)) ==
        "would leave 3 instances out of service, and the limits allow 1");
  Spec drain{"c1", Kind::kDrain, "test", {{"n2", "v1", "v1", false}}};
  model.Tick({StartChange{drain}});
  model.RunUntilFinished();
  CHECK(model.instances["n2"].phase == Phase::kPaused);
  Spec resume{"c2", Kind::kResume, "test", {{"n2", "v1", "v1", false}}};
  model.Tick({StartChange{resume}});
  model.RunUntilFinished();
  CHECK(model.instances["n2"].phase == Phase::kServing);
  CHECK(model.instances["n2"].stamp == "v1@first");
}

TEST_CASE(
    "a freeze takes no instance out also past midnight and a clock jump leaves started instances alone") {
  Limits limits = ShortLimits();
  limits.freezes = {{1u << 6, 22 * 60, 6 * 60, "sat 22:00 to 06:00"}};
  GroupModel model(2, limits);
  model.messages_per_tick = 2;  // one instance alone has enough capacity for the load
  model.weekday = 6;
  model.minute = 23 * 60;
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  for (int i = 0; i < 50; ++i) model.Tick();
  CHECK(model.orders.empty());
  CHECK(model.engine->blocked_reason() == "frozen: sat 22:00 to 06:00");
  model.weekday = 0;  // the freeze of Saturday night lasts into Sunday morning
  model.minute = 5 * 60 + 59;
  model.Tick();
  CHECK(model.orders.empty());
  model.minute = 6 * 60;
  while (model.engine->record()->progress[0].stage != Stage::kPausing) model.Tick();
  // The clock jumps back into the freeze: the started instance finishes and no other instance is taken out.
  model.weekday = 6;
  model.minute = 23 * 60;
  for (int i = 0; i < 100; ++i) model.Tick();
  CHECK(model.stage_count(Stage::kDone) == 1);
  CHECK(model.stage_count(Stage::kWaiting) == 1);
  model.minute = 12 * 60;
  model.RunUntilFinished();
  CHECK(model.state() == State::kDone);
}

TEST_CASE("a record is unchanged by conversion to JSON and back and a damaged one reports its field") {
  GroupModel model(3, ShortLimits());
  model.Tick({StartChange{model.MakeSpec(Kind::kReconfigure, "v2")}});
  while (model.engine->record()->progress[1].stage != Stage::kApplying) model.Tick();
  const Json json = ToJson(*model.record);
  CHECK(ToJson(RecordFromJson(json)) == json);
  Json bad = json;
  bad["targets"][0]["stage"] = "dancing";
  CHECK_THROWS_WITH(RecordFromJson(bad), "stage: unknown: 'dancing'");
  bad = json;
  bad.erase("by");
  CHECK_THROWS_WITH(RecordFromJson(bad), Catch::Matchers::Contains("by"));
}

// The engine is replaced at random moments by a new one that has only the persisted record, as after a change
// of the leader.
TEST_CASE("a change completes despite new leaders and kills and unreachable instances over many seeds") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto chance = [&](double p) { return std::uniform_real_distribution<>()(random) < p; };
    Limits limits = ShortLimits();
    limits.max_unexpected_exits = 100;
    GroupModel model(5, limits);
    const bool bad = seed % 3 == 0;
    if (bad) model.bad_versions = {"v2"};
    model.Tick({StartChange{
        model.MakeSpec(seed % 2 == 0 ? Kind::kReconfigure : Kind::kRestart, seed % 2 == 0 ? "v2" : "v1")}});
    for (int tick = 0; tick < 4000 && !model.finished(); ++tick) {
      const bool faults_ended = tick > 400;
      std::vector<Event> events;
      auto it = std::next(model.instances.begin(), static_cast<long>(random() % 5));
      if (!faults_ended && chance(0.02)) model.Kill(it->first);
      if (!faults_ended && chance(0.03)) it->second.reachable = false;
      if (faults_ended || chance(0.1)) {
        for (auto& [name, instance] : model.instances) instance.reachable = true;
      }
      if (!faults_ended && chance(0.03)) {
        model.engine.emplace(model.capacities, limits);
        events.push_back(TakeOverChange{*model.record});
      }
      const auto orders = model.orders.size();
      model.Tick(events);
      // Orders go only to reachable instances: the engine decides nothing for an unknown one.
      for (std::size_t i = orders; i < model.orders.size(); ++i) {
        const GroupModel::Instance& instance = model.instances.at(model.orders[i].instance);
        CHECK(instance.reachable);
      }
    }
    REQUIRE(model.finished());
    for (int i = 0; i < 50; ++i) model.Tick();
    CHECK(model.serving() == 5);
    std::set<std::string> versions;
    for (const auto& [name, instance] : model.instances) versions.insert(VersionOf(instance.stamp));
    CHECK(versions.size() == 1);
    CHECK(*versions.begin() == (seed % 2 == 0 && !bad ? "v2" : "v1"));
  }
}

TEST_CASE("step time of the engine with 200 instances run by hand", "[.][scale]") {
  Limits limits = ShortLimits();
  limits.max_unavailable = limits.max_in_progress = 5;
  GroupModel model(200, limits);
  const auto resident_kb = [] {
    std::ifstream file("/proc/self/statm");
    long size = 0, pages = 0;
    file >> size >> pages;
    return pages * 4;  // kB at 4 kB a page
  };
  const long kb_before = resident_kb();
  model.Tick({StartChange{model.MakeSpec(Kind::kRestart)}});
  std::vector<double> step_times_us;
  while (!model.finished()) {
    std::vector<Event> events;
    const auto started_at = std::chrono::steady_clock::now();
    model.Tick(events);
    step_times_us.push_back(
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started_at).count());
  }
  std::sort(step_times_us.begin(), step_times_us.end());
  std::cout << "200 instances, " << step_times_us.size() << " steps with 200 statuses each: median "
            << step_times_us[step_times_us.size() / 2] << " us, maximum " << step_times_us.back()
            << " us (including the model's own time), memory growth " << resident_kb() - kb_before << " kB"
            << std::endl;
  CHECK(model.state() == State::kDone);
}

}  // namespace
}  // namespace oxbowspread::change
