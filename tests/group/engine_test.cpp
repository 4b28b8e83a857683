// The change engine against a model of a group: instances that take their time, die, and are not heard of.
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
using Phase = Belief::Phase;

// Instances as their agents keep them, in virtual time. What an order asks for happens after a while; one
// that dies comes back by what was ordered last.
class Model {
 public:
  struct One {
    Phase phase = Phase::kServing;
    std::string stamp = "v1@first", goal_stamp = "v1@first";
    DesiredPhase want = DesiredPhase::kServing;
    Time ready_at{0}, settled_at{0};
    std::int64_t pid = 0, deaths = 0;
    Counts counts;
    std::string fault, fault_stamp;
    bool reachable = true;
    bool paused = false;
  };

  Model(int count, const Limits& within) : limits(within) {
    for (int i = 0; i < count; ++i) {
      One& one = all["n" + std::to_string(i + 1)];
      one.pid = ++pids;
      members.push_back({"n" + std::to_string(i + 1), 100});
    }
    engine.emplace(members, limits);
  }

  Spec SpecOf(Kind kind, const std::string& to = "v1", bool reload = false) const {
    Spec s{"c1", kind, "test", {}};
    for (const auto& m : members) s.targets.push_back({m.instance, "v1", to, reload});
    return s;
  }

  // One turn of 100 ms: the instances move, are heard of, and the engine's orders reach them.
  void Turn(std::vector<Event> events = {}) {
    REQUIRE(++turned < 20'000);  // a test that waits for what never comes
    now += 100ms;
    for (auto& [name, one] : all) {
      Move(one);
      if (!one.reachable) continue;
      Belief b;
      b.instance = name;
      b.requested_at = now;
      b.phase = one.phase;
      b.settled = one.phase == Phase::kPaused && now >= one.settled_at;
      b.stamp = one.phase == Phase::kDown ? "" : one.stamp;
      b.pid = one.phase == Phase::kDown ? 0 : one.pid;
      b.fault = one.fault;
      b.fault_stamp = one.fault_stamp;
      b.counts = one.counts;
      events.push_back(BeliefReceived{b});
    }
    Carry(engine->Step({now, weekday, minute}, events));
  }

  void Carry(const std::vector<Action>& actions) {
    bool kept = true;
    for (const Action& action : actions) {
      if (const auto* keep = std::get_if<PersistRecord>(&action)) {
        record = keep->record;
        kept = true;
      } else if (const auto* order = std::get_if<Order>(&action)) {
        CHECK(kept);
        Take(*order);
      } else if (const auto* tell = std::get_if<AddHistory>(&action)) {
        told.push_back(tell->instance + " " + tell->text);
      }
    }
  }

  void Take(const Order& order) {
    One& one = all.at(order.instance);
    if (!one.reachable) return;
    orders.push_back(order);
    one.want = order.desired_phase;
    if (order.stamp.empty() || order.stamp == one.goal_stamp) return;
    one.goal_stamp = order.stamp;
    one.fault.clear();
    if (bad_versions.count(VersionOf(order.stamp)) > 0) {
      one.fault = "does not come up";
      one.fault_stamp = order.stamp;
      if (!order.reload) one.phase = Phase::kDown;
      return;
    }
    if (order.reload && one.phase == Phase::kServing) {
      one.stamp = order.stamp;
    } else {
      one.phase = Phase::kEnding;
      one.ready_at = now + 700ms;
    }
  }

  void Move(One& one) {
    const bool bad = bad_versions.count(VersionOf(one.goal_stamp)) > 0;
    if (one.phase == Phase::kServing) {
      one.counts.received += rate_each;
      one.counts.ended += rate_each;
      if (refusing_versions.count(VersionOf(one.stamp)) > 0) one.counts.rejected += rate_each / 2;
    }
    if (one.phase == Phase::kServing && one.want == DesiredPhase::kPaused) {
      one.phase = Phase::kPaused;
      one.settled_at = now + 500ms;
    } else if (one.phase == Phase::kPaused && one.want == DesiredPhase::kServing) {
      one.phase = Phase::kServing;
    } else if ((one.phase == Phase::kEnding || one.phase == Phase::kDown) && now >= one.ready_at && !bad) {
      one.phase = one.want == DesiredPhase::kPaused ? Phase::kPaused : Phase::kServing;
      one.stamp = one.goal_stamp;
      one.pid = ++pids;
      one.counts = {};
    }
  }

  void Kill(const std::string& name) {
    One& one = all.at(name);
    one.phase = Phase::kDown;
    one.ready_at = now + 600ms;
    ++one.deaths;
  }

  int serving() const {
    return static_cast<int>(std::count_if(all.begin(), all.end(),
                                          [](const auto& a) { return a.second.phase == Phase::kServing; }));
  }
  bool over() const { return engine->record() && IsFinished(engine->record()->state); }
  State state() const { return engine->record()->state; }
  void UntilOver(int turns = 2000) {
    while (!over() && turns-- > 0) Turn();
    REQUIRE(over());
  }
  int stage_count(Stage stage) const {
    const auto& p = engine->record()->progress;
    return static_cast<int>(
        std::count_if(p.begin(), p.end(), [&](const Progress& q) { return q.stage == stage; }));
  }

  Limits limits;
  std::vector<InstanceCapacity> members;
  std::map<std::string, One> all;
  std::optional<Engine> engine;
  std::optional<Record> record;
  std::vector<Order> orders;
  std::vector<std::string> told;
  std::set<std::string> bad_versions, refusing_versions;
  Time now{1'000'000'000};
  int weekday = 3, minute = 600;
  int rate_each = 5;  // a turn: 50 a second
  std::int64_t pids = 100;
  int turned = 0;
};

Limits Quick() {
  Limits l;
  l.observation_time = 1s;
  l.watch_time = 1s;
  l.settle_timeout = 3s;
  l.ready_timeout = 5s;
  return l;
}

TEST_CASE("a rolling restart turns each instance once, one out at a time") {
  Model m(5, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  int least = 5;
  while (!m.over()) {
    m.Turn();
    least = std::min(least, m.serving());
  }
  CHECK(m.state() == State::kDone);
  CHECK(least == 4);
  for (const auto& [name, one] : m.all) {
    CHECK(one.phase == Phase::kServing);
    CHECK(one.stamp.find("@c1.") != std::string::npos);
  }
}

TEST_CASE("nothing is taken out before the group was observed") {
  Model m(3, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  for (int i = 0; i < 8; ++i) m.Turn();
  CHECK(m.orders.empty());
  CHECK(m.engine->blocked_reason().find("observing") == 0);
}

TEST_CASE("two may be out at once where the limits say so, and never three") {
  Limits l = Quick();
  l.max_unavailable = l.max_in_progress = 2;
  Model m(6, l);
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  int least = 6;
  while (!m.over()) {
    m.Turn();
    least = std::min(least, m.serving());
  }
  CHECK(least == 4);
}

TEST_CASE("the guard holds back while the rest can't carry the rate, and goes on when it falls") {
  Model m(3, Quick());
  m.rate_each = 9;  // 270 a second in all; the other two carry 0.8 * 200
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  for (int i = 0; i < 100; ++i) m.Turn();
  CHECK(m.orders.empty());
  CHECK(m.engine->blocked_reason().find("the rest can carry 160 messages a second") != std::string::npos);
  m.rate_each = 2;
  m.UntilOver();
  CHECK(m.state() == State::kDone);
}

TEST_CASE("one that is down already counts against the most that may be out") {
  Model m(3, Quick());
  m.Turn();
  m.Kill("n3");
  m.all["n3"].ready_at = m.now + 20s;
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  for (int i = 0; i < 50; ++i) m.Turn();
  CHECK(m.orders.empty());
  CHECK(m.engine->blocked_reason().find("n3 down") != std::string::npos);
  m.UntilOver();
  CHECK(m.state() == State::kDone);
}

TEST_CASE("an instance killed at each stage ends serving by the new order") {
  for (const Stage stage :
       {Stage::kWaiting, Stage::kPausing, Stage::kApplying, Stage::kWatching, Stage::kDone}) {
    Model m(3, Quick());
    m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
    while (m.engine->record()->progress[1].stage != stage) m.Turn();
    m.Kill("n2");
    m.UntilOver();
    INFO("killed while " << NameOf(stage));
    CHECK(m.state() == State::kDone);
    CHECK(m.serving() == 3);
    CHECK(m.all["n2"].stamp == "v1@c1.2");
  }
}

TEST_CASE("one that dies again and again while watched fails its gate, and the rest is left alone") {
  Model m(3, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  while (!m.over()) {
    m.Turn();
    if (m.engine->record()->progress[0].stage == Stage::kWatching && m.all["n1"].phase == Phase::kServing)
      m.Kill("n1");
  }
  CHECK(m.state() == State::kFailed);
  CHECK(m.record->reason.find("n1: died 3 times") == 0);
  CHECK(m.all["n2"].stamp == "v1@first");
}

TEST_CASE("no step is taken on what is unknown, and a time limit doesn't run against it") {
  Model m(3, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  while (m.engine->record()->progress[0].stage != Stage::kApplying) m.Turn();
  m.all["n1"].reachable = false;
  const auto before = m.orders.size();
  for (int i = 0; i < 200; ++i) m.Turn();  // 20 s, four times ready_within
  CHECK(m.engine->record()->progress[0].stage == Stage::kApplying);
  CHECK(m.orders.size() == before);
  CHECK(m.engine->blocked_reason().find("n1 is unknown since") == 0);
  m.all["n1"].reachable = true;
  m.UntilOver();
  CHECK(m.state() == State::kDone);
}

TEST_CASE("another instance that is unknown counts as out, with the load it had last") {
  Model m(3, Quick());
  for (int i = 0; i < 20; ++i) m.Turn();
  m.all["n3"].reachable = false;
  for (int i = 0; i < 30; ++i) m.Turn();
  CHECK(m.engine->MessageRate() == Approx(150).margin(10));
  CHECK(m.engine->BlockedBy({m.now, 3, 600}, "n1") == "at most 1 may be out: n3 unknown");
  CHECK(m.engine->FreshBelief(m.now, "n3") == nullptr);
}

TEST_CASE("an older belief never replaces a younger one") {
  Model m(2, Quick());
  m.Turn();
  Belief old;
  old.instance = "n1";
  old.requested_at = m.now - 50ms;
  old.phase = Phase::kDown;
  m.engine->Step({m.now, 3, 600}, {BeliefReceived{old}});
  CHECK(m.engine->FreshBelief(m.now, "n1")->phase == Phase::kServing);
}

TEST_CASE("a configuration that doesn't come up is rolled back and the rest untouched") {
  Model m(4, Quick());
  m.bad_versions = {"v2"};
  m.Turn({StartChange{m.SpecOf(Kind::kReconfigure, "v2")}});
  m.UntilOver();
  CHECK(m.state() == State::kRolledBack);
  CHECK(m.record->reason == "n1: does not come up");
  CHECK(m.all["n1"].stamp == "v1@c1.1u");
  CHECK(m.all["n1"].phase == Phase::kServing);
  for (const char* name : {"n2", "n3", "n4"}) CHECK(m.all[name].stamp == "v1@first");
}

TEST_CASE("a configuration that refuses more fails its gate: all that were turned go back, last first") {
  Model m(4, Quick());
  m.limits.min_sample = 20;
  m.engine.emplace(m.members, m.limits);
  Spec spec = m.SpecOf(Kind::kReconfigure, "v2");
  spec.targets[2].to = "v3";
  m.refusing_versions = {"v3"};
  m.Turn({StartChange{spec}});
  m.UntilOver();
  CHECK(m.state() == State::kRolledBack);
  CHECK(m.record->reason.find("n3: refused 40.0%") == 0);
  CHECK(m.stage_count(Stage::kReverted) == 3);
  for (const auto& [name, one] : m.all) CHECK(VersionOf(one.stamp) == "v1");
  CHECK(m.all["n4"].stamp == "v1@first");
  CHECK(m.serving() == 4);
}

TEST_CASE("a reload takes nobody out") {
  Model m(3, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kReconfigure, "v2", true)}});
  while (!m.over()) {
    m.Turn();
    CHECK(m.serving() == 3);
  }
  CHECK(m.state() == State::kDone);
  for (const auto& [name, one] : m.all) CHECK(VersionOf(one.stamp) == "v2");
}

TEST_CASE("an order that an agent refuses for good rolls back at once") {
  Model m(2, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kReconfigure, "v2", true)}});
  while (m.orders.empty()) m.Turn();
  m.Turn({OrderRejected{"n1", "v2@c1.1", "limits.sockets: must be at least 48"}});
  CHECK(m.record->state == State::kRollingBack);
  m.UntilOver();
  CHECK(m.state() == State::kRolledBack);
  CHECK(m.record->reason.find("limits.sockets") != std::string::npos);
}

TEST_CASE("pause begins nothing new, resume goes on, abort ends with what has begun") {
  Model m(4, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  while (m.engine->record()->progress[0].stage != Stage::kPausing) m.Turn();
  m.Turn({OperatorRequest{OperatorCommand::kPause}});
  for (int i = 0; i < 100; ++i) m.Turn();
  CHECK(m.stage_count(Stage::kDone) == 1);
  CHECK(m.stage_count(Stage::kWaiting) == 3);
  m.Turn({OperatorRequest{OperatorCommand::kResume}});
  while (m.engine->record()->progress[1].stage != Stage::kApplying) m.Turn();
  m.Turn({OperatorRequest{OperatorCommand::kAbort}});
  m.UntilOver();
  CHECK(m.state() == State::kAborted);
  CHECK(m.stage_count(Stage::kDone) == 2);
  CHECK(m.serving() == 4);
}

TEST_CASE("a second change is refused with the first one's name") {
  Model m(3, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  Spec second = m.SpecOf(Kind::kDrain);
  second.id = "c2";
  CHECK(m.engine->RejectionReason(second) == "change c1 (restart by test) is not over yet");
  m.Turn({StartChange{second}});
  CHECK(m.engine->record()->spec.id == "c1");
}

TEST_CASE("a drain leaves an instance paused, resume brings it back, and more than the limit is refused") {
  Model m(3, Quick());
  CHECK(m.engine->RejectionReason(m.SpecOf(Kind::kDrain)) ==
        "would leave 3 instances out, and the limits allow 1");
  Spec drain{"c1", Kind::kDrain, "test", {{"n2", "v1", "v1", false}}};
  m.Turn({StartChange{drain}});
  m.UntilOver();
  CHECK(m.all["n2"].phase == Phase::kPaused);
  Spec resume{"c2", Kind::kResume, "test", {{"n2", "v1", "v1", false}}};
  m.Turn({StartChange{resume}});
  m.UntilOver();
  CHECK(m.all["n2"].phase == Phase::kServing);
  CHECK(m.all["n2"].stamp == "v1@first");
}

TEST_CASE("frozen hours take nobody out, over midnight too, and a clock that jumps changes nothing else") {
  Limits l = Quick();
  l.freezes = {{1u << 6, 22 * 60, 6 * 60, "sat 22:00 to 06:00"}};
  Model m(2, l);
  m.rate_each = 2;  // one alone could carry it
  m.weekday = 6;
  m.minute = 23 * 60;
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  for (int i = 0; i < 50; ++i) m.Turn();
  CHECK(m.orders.empty());
  CHECK(m.engine->blocked_reason() == "frozen: sat 22:00 to 06:00");
  m.weekday = 0;  // Sunday morning belongs to the night before
  m.minute = 5 * 60 + 59;
  m.Turn();
  CHECK(m.orders.empty());
  m.minute = 6 * 60;
  while (m.engine->record()->progress[0].stage != Stage::kPausing) m.Turn();
  m.weekday = 6;  // a jump back into the frozen hours: what has begun ends, nothing new begins
  m.minute = 23 * 60;
  for (int i = 0; i < 100; ++i) m.Turn();
  CHECK(m.stage_count(Stage::kDone) == 1);
  CHECK(m.stage_count(Stage::kWaiting) == 1);
  m.minute = 12 * 60;
  m.UntilOver();
  CHECK(m.state() == State::kDone);
}

TEST_CASE("the record goes through its form on disk unchanged, and a damaged one names its field") {
  Model m(3, Quick());
  m.Turn({StartChange{m.SpecOf(Kind::kReconfigure, "v2")}});
  while (m.engine->record()->progress[1].stage != Stage::kApplying) m.Turn();
  const Json json = ToJson(*m.record);
  CHECK(ToJson(RecordFromJson(json)) == json);
  Json bad = json;
  bad["targets"][0]["stage"] = "dancing";
  CHECK_THROWS_WITH(RecordFromJson(bad), "stage: unknown: 'dancing'");
  bad = json;
  bad.erase("by");
  CHECK_THROWS_WITH(RecordFromJson(bad), Catch::Matchers::Contains("by"));
}

// Whoever runs the change is replaced at any moment by one who has nothing but the record.
TEST_CASE("a change outlives its runners, kills and lost contact, over many seeds") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 dice(seed);
    const auto chance = [&](double p) { return std::uniform_real_distribution<>()(dice) < p; };
    Limits l = Quick();
    l.max_unexpected_exits = 100;
    Model m(5, l);
    const bool bad = seed % 3 == 0;
    if (bad) m.bad_versions = {"v2"};
    m.Turn({StartChange{
        m.SpecOf(seed % 2 == 0 ? Kind::kReconfigure : Kind::kRestart, seed % 2 == 0 ? "v2" : "v1")}});
    for (int turn = 0; turn < 4000 && !m.over(); ++turn) {
      const bool calm = turn > 400;
      std::vector<Event> events;
      auto it = std::next(m.all.begin(), static_cast<long>(dice() % 5));
      if (!calm && chance(0.02)) m.Kill(it->first);
      if (!calm && chance(0.03)) it->second.reachable = false;
      if (calm || chance(0.1)) {
        for (auto& [name, one] : m.all) one.reachable = true;
      }
      if (!calm && chance(0.03)) {
        m.engine.emplace(m.members, l);
        events.push_back(TakeOverChange{*m.record});
      }
      const auto orders = m.orders.size();
      m.Turn(events);
      // An order goes only to whom it can reach: nothing is decided for one that is unknown.
      for (std::size_t i = orders; i < m.orders.size(); ++i) {
        const Model::One& one = m.all.at(m.orders[i].instance);
        CHECK(one.reachable);
      }
    }
    REQUIRE(m.over());
    for (int i = 0; i < 50; ++i) m.Turn();
    CHECK(m.serving() == 5);
    std::set<std::string> versions;
    for (const auto& [name, one] : m.all) versions.insert(VersionOf(one.stamp));
    CHECK(versions.size() == 1);
    CHECK(*versions.begin() == (seed % 2 == 0 && !bad ? "v2" : "v1"));
  }
}

TEST_CASE("the engine's step for 200 instances, by hand", "[.][scale]") {
  Limits l = Quick();
  l.max_unavailable = l.max_in_progress = 5;
  Model m(200, l);
  const auto resident = [] {
    std::ifstream file("/proc/self/statm");
    long size = 0, pages = 0;
    file >> size >> pages;
    return pages * 4;  // kB
  };
  const long before = resident();
  m.Turn({StartChange{m.SpecOf(Kind::kRestart)}});
  std::vector<double> us;
  while (!m.over()) {
    std::vector<Event> events;
    const auto begun = std::chrono::steady_clock::now();
    m.Turn(events);
    us.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun).count());
  }
  std::sort(us.begin(), us.end());
  std::cout << "200 instances, " << us.size() << " steps with 200 beliefs each: median " << us[us.size() / 2]
            << " us, most " << us.back() << " us (the model's turn included), memory grown by "
            << resident() - before << " kB" << std::endl;
  CHECK(m.state() == State::kDone);
}

}  // namespace
}  // namespace oxbowspread::change
