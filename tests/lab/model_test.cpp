// Tests of the parts of the model, and simulations of whole days with the real relay code on a virtual clock.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "lab/settings.hpp"
#include "lab/simulation.hpp"
#include "model/simulated_host.hpp"
#include "model/soak.hpp"

namespace {

using namespace oxbowspread;
using namespace std::chrono_literals;
using model::Host;
using model::RandomStream;
using model::SimulatedHost;
using model::Time;

// A host with a limit of 4 calls per second, two servers and a short queue.
Host SmallHost() {
  Host host;
  host.id = "h";
  host.limit = 4;
  host.servers = 2;
  host.service_time_s = 0.4;
  host.max_queued_calls = 3;
  host.retry_after_chance = 1;
  host.min_retry_after_s = 0.5;
  host.warm_up_start_share = 0.25;
  host.warm_up_s = 10;
  return host;
}

// A folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_(std::filesystem::temp_directory_path() / ("oxbowlab-test-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string Write(const std::string& name, const std::string& text) const {
    const std::string path = (path_ / name).string();
    std::ofstream(path) << text;
    return path;
  }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// A simulated day and its trace.
struct SimulatedDay {
  lab::Outcome outcome;
  std::vector<trace::Event> events;

  std::string Trace() const {  // as text, on request only: writing it takes longer than simulating the day
    std::string lines;
    for (const trace::Event& event : events) lines += trace::ToJsonLine(event) + "\n";
    return lines;
  }
};

SimulatedDay SimulateDay(const std::string& yaml, std::uint64_t seed) {
  TemporaryFolder folder;
  const model::Scenario scenario = model::ReadScenario(folder.Write("day.yaml", yaml));
  const model::Day day = model::DrawDay(scenario, seed);
  SimulatedDay simulated_day;
  lab::SimulationOptions options;
  options.folder = folder.path() + "/relays";
  options.trace = [&](const trace::Event& event) { simulated_day.events.push_back(event); };
  simulated_day.outcome = lab::Simulate(scenario, day, options);
  return simulated_day;
}

// Describes a crash and all breaches of the rules.
std::string Describe(const lab::Outcome& outcome) {
  std::string description = outcome.crash;
  for (const check::Breach& breach : outcome.breaches)
    description += breach.rule + " " + breach.message + ": " + breach.events + "\n";
  return description;
}

std::size_t CountEvents(const SimulatedDay& simulated_day, trace::Event::Kind kind) {
  std::size_t count = 0;
  for (const trace::Event& event : simulated_day.events) count += event.kind == kind;
  return count;
}

}  // namespace

TEST_CASE("random stream: the numbers depend on the seed and the name alone", "[model]") {
  RandomStream a(7, "x"), b(7, "x"), other_name(7, "y"), other_seed(8, "x");
  const double first = a.Uniform();
  CHECK(first == b.Uniform());
  CHECK(first != other_name.Uniform());
  CHECK(first != other_seed.Uniform());
  double sum = 0, sum_of_squares = 0, exponential_sum = 0;
  constexpr int kDraws = 20'000;
  for (int i = 0; i < kDraws; ++i) {
    const double value = a.LogNormal(2, 0.5);
    sum += value;
    sum_of_squares += value * value;
    exponential_sum += a.Exponential(3);
  }
  const double mean = sum / kDraws;
  CHECK(mean == Approx(2).epsilon(0.03));
  CHECK(std::sqrt(sum_of_squares / kDraws - mean * mean) / mean == Approx(0.5).epsilon(0.1));
  CHECK(exponential_sum / kDraws == Approx(3).epsilon(0.05));
}

TEST_CASE("simulated host: serves its limit and no more, and serves again when the retry-after ends",
          "[model]") {
  SimulatedHost simulated_host(SmallHost(), 2, 3);
  RandomStream random(1, "t");
  int served_calls = 0;
  SimulatedHost::CallResult rejected;
  for (int i = 0; i < 10; ++i) {
    const SimulatedHost::CallResult result = simulated_host.HandleCall(1s, random);
    served_calls += result.status == 200;
    if (result.status != 200) rejected = result;
  }
  CHECK(served_calls == 2);  // half a second of the limit may be used at once
  CHECK(rejected.status == 429);
  CHECK(rejected.over_limit);
  CHECK(rejected.retry_after == 500ms);
  CHECK(simulated_host.HandleCall(1s + rejected.retry_after, random).status == 200);
}

TEST_CASE(
    "simulated host: almost no calls are served during an overload if refused calls count against the limit",
    "[model]") {
  const auto served = [](bool refused_calls_count) {
    Host host = SmallHost();
    host.limit = 40;
    host.servers = 100;
    host.refused_calls_use_limit = refused_calls_count;
    SimulatedHost simulated_host(host, 2, 3);
    RandomStream random(1, "t");
    int served_calls = 0;
    for (Time at = 1s; at < 11s; at += 10ms)
      served_calls += simulated_host.HandleCall(at, random).status == 200;
    return served_calls;
  };
  CHECK(served(false) == Approx(40 * 10.5).epsilon(0.02));
  CHECK(served(true) < 40);  // the burst that is served at first
}

TEST_CASE(
    "simulated host: a limit per fixed window gives the start of the next window as retry-after, and refused "
    "calls "
    "use up at most half of it",
    "[model]") {
  Host host = SmallHost();
  host.limit = 40;
  host.servers = 1000;
  host.limit_window_s = 2;
  host.limit_window_offset_s = 0.5;
  const auto served = [&](bool refused_calls_count, int calls) {
    host.refused_calls_use_limit = refused_calls_count;
    SimulatedHost simulated_host(host, 2, 3);
    RandomStream random(1, "t");
    std::vector<int> served_by_window;
    for (const Time window_start : {4500ms, 6500ms}) {
      served_by_window.push_back(0);
      for (int i = 0; i < calls; ++i)
        served_by_window.back() += simulated_host.HandleCall(window_start + 1ms * i, random).status == 200;
      CHECK(simulated_host.HandleCall(window_start + 1900ms, random).retry_after == 100ms);
    }
    return served_by_window;
  };
  CHECK(served(false, 200) == std::vector<int>{80, 80});
  CHECK(served(true, 100) == std::vector<int>{80, 80 - 21});
  CHECK(served(true, 400) == std::vector<int>{80, 40});
}

TEST_CASE(
    "simulated host: an unavailable host gives a retry-after, a failing one fails most calls, and both warm "
    "up afterwards",
    "[model]") {
  SimulatedHost simulated_host(SmallHost(), 2, 3);
  RandomStream random(1, "t");
  simulated_host.StartOutage(10s, 1, 15s);
  const SimulatedHost::CallResult refused = simulated_host.HandleCall(12s, random);
  CHECK(refused.status == 429);
  CHECK(refused.retry_after == 3s);
  CHECK_FALSE(refused.over_limit);
  simulated_host.EndOutage(15s);
  CHECK(simulated_host.CapacityShare(15s) == Approx(0.25));
  CHECK(simulated_host.CapacityShare(20s) == Approx(0.625));
  CHECK(simulated_host.CapacityShare(26s) == Approx(1));
  SimulatedHost failing(SmallHost(), 2, 3);
  failing.StartOutage(10s, 0.9, 60s);
  int failed = 0;
  for (int i = 0; i < 40; ++i) failed += failing.HandleCall(10s + 1s * i, random).status == 500;
  CHECK(failed > 30);
  CHECK(failed < 40);
}

TEST_CASE("simulated host: an overload makes it collapse during the warm-up, but not afterwards", "[model]") {
  RandomStream random(1, "t");
  const auto collapses_under = [&](Time from, Time interval) {
    SimulatedHost simulated_host(SmallHost(), 2, 3);
    simulated_host.StartOutage(1s, 1, 5s);
    simulated_host.EndOutage(5s);
    for (Time at = from; at < from + 4s; at += interval) {
      if (simulated_host.HandleCall(at, random).collapsed) {
        CHECK(simulated_host.collapsed());
        CHECK(simulated_host.HandleCall(at + 60s, random).status == 503);  // it stays down
        return true;
      }
    }
    return false;
  };
  // It collapses at twice a quarter of 5 calls per second for 3 s, which is 7.5 calls, plus a margin for
  // random variation.
  CHECK(collapses_under(5s, 100ms));
  CHECK_FALSE(collapses_under(5s, 400ms));
  CHECK_FALSE(collapses_under(20s, 100ms));
}

TEST_CASE("scenario: an error names file, line and key", "[model]") {
  TemporaryFolder folder;
  const auto error_of = [&](const std::string& text) {
    try {
      model::ReadScenario(folder.Write("s.yaml", text));
    } catch (const model::Error& error) {
      return std::string(error.what()).substr(folder.path().size() + 1);
    }
    return std::string("none");
  };
  CHECK(error_of("length: 20s\nrelays: 2\n") == "none");
  CHECK(error_of("lenght: 20s\n") == "s.yaml:1: lenght: is not a known key");
  CHECK(error_of("length: 20\n").find("s.yaml:1: length: must be a duration") == 0);
  CHECK(error_of("length: [20s, 10s]\n") == "s.yaml:1: length: must not begin above its end");
  CHECK(error_of("length: 20s\ntraffic:\n  load: much\n").find("s.yaml:3: traffic.load: must be a number") ==
        0);
  CHECK(error_of("relays: 0\n").find("s.yaml:1: relays: ") == 0);
  CHECK(error_of("traffic: {shape: round}\n") ==
        "s.yaml:1: traffic.shape: must be steady, wave, bursty or ramp");
  CHECK(error_of("troubles:\n  - earthquake: {at: 1s, for: 1s}\n")
            .find("s.yaml:2: troubles.earthquake: must be one of ") == 0);
  CHECK(error_of("troubles:\n  - list_behind: {for: 1s}\n") ==
        "s.yaml:2: troubles.list_behind.at: is missing");
  CHECK(error_of("troubles:\n  - list_behind: {at: 1s, for: 1s, share: 1}\n") ==
        "s.yaml:2: troubles.list_behind.share: is not a known key");
  CHECK(error_of("relay: {aim: 5s, deadline: 2s}\n").find("s.yaml:1: relay.deadline: ") == 0);
  CHECK(error_of("a: [\n").find("s.yaml:2: YAML: ") == 0);
}

TEST_CASE("day: adding a fault does not change the other random draws", "[model]") {
  TemporaryFolder folder;
  const auto draw = [&](const std::string& text) {
    return model::DrawDay(model::ReadScenario(folder.Write("d.yaml", text)), 5);
  };
  const model::Day plain = draw("length: 20s\n");
  const model::Day killed =
      draw("length: 20s\ntroubles:\n  - relays_killed: {at: 5s, for: 3s, share: 0.4}\n");
  REQUIRE(plain.arrivals.size() == killed.arrivals.size());
  CHECK(plain.arrivals.size() > 100);
  for (std::size_t i = 0; i < plain.arrivals.size(); ++i)
    CHECK(plain.arrivals[i].due == killed.arrivals[i].due);
  REQUIRE(killed.scheduled_events.size() == 2);
  CHECK(killed.scheduled_events[0].kind == model::ScheduledEvent::Kind::kKillRelay);
  CHECK(killed.scheduled_events[1].kind == model::ScheduledEvent::Kind::kStartRelay);
  // The number of arrivals fits the load.
  const double expected = plain.load * plain.full_load_rate * 20;
  CHECK(static_cast<double>(plain.arrivals.size()) == Approx(expected).epsilon(0.25));
}

TEST_CASE("day: relays with their own clients get several times the messages of the others", "[model]") {
  TemporaryFolder folder;
  const auto draw = [&](const std::string& more) {
    return model::DrawDay(model::ReadScenario(folder.Write("b.yaml", "length: 40s\nrelays: 20\n" + more)), 3);
  };
  const model::Day even = draw("traffic: {load: 1}\n");
  const model::Day uneven = draw("traffic: {load: 1, beside: 0.5, times: 5}\n");
  REQUIRE(even.arrivals.size() == uneven.arrivals.size());
  std::map<int, double> message_counts;
  for (std::size_t i = 0; i < even.arrivals.size(); ++i) {
    CHECK(even.arrivals[i].local_relay == -1);
    CHECK(even.arrivals[i].due == uneven.arrivals[i].due);
    message_counts[uneven.arrivals[i].local_relay] += 1;
  }
  const double balanced_share =
      message_counts[-1] / 20;  // share of each relay in the messages that the load balancer distributes
  message_counts.erase(-1);
  CHECK(message_counts.size() >= 5);
  CHECK(message_counts.size() <= 15);
  for (const auto& [relay, messages] : message_counts)
    CHECK(messages / balanced_share == Approx(4).epsilon(0.4));
}

// In the soak test a host drained that had not been added yet, and the end of its drain removed the host at
// whose address it was to be added.
TEST_CASE("day: only hosts that exist from the start drain on days with random faults", "[model]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const model::Day day = model::DrawDay(model::DrawSoak(seed), seed);
    for (const model::ScheduledEvent& event : day.scheduled_events) {
      if (event.kind != model::ScheduledEvent::Kind::kDrainHost) continue;
      INFO("seed " << seed << ", host " << event.index);
      CHECK(day.hosts[static_cast<std::size_t>(event.index)].present_at_start);
    }
  }
}

TEST_CASE("day: a ramp begins low and ends high", "[model]") {
  TemporaryFolder folder;
  const model::Day day = model::DrawDay(
      model::ReadScenario(folder.Write(
          "r.yaml",
          "length: 40s\ntraffic: {load: 1, shape: ramp, swing: 0.8, clumps: 0}\npartners: {count: 30}\n")),
      1);
  std::size_t early = 0, late = 0;
  for (const model::Arrival& arrival : day.arrivals) {
    if (arrival.due < 10s) ++early;
    if (arrival.due >= 30s) ++late;
  }
  // The average rate is 0.4 of the mean in the first quarter, and 1.6 of it in the last.
  CHECK(early > 100);
  CHECK(static_cast<double>(late) / static_cast<double>(early) == Approx(4).epsilon(0.2));
}

TEST_CASE("simulation: the same seed gives the same trace, another seed gives another day", "[model]") {
  const std::string yaml =
      "length: 12s\ntroubles:\n  - relays_killed: {at: 4s, for: 3s, share: 0.4}\n"
      "  - partners_fail: {at: 3s, for: 5s, share: 0.3}\n";
  const SimulatedDay once = SimulateDay(yaml, 3), twice = SimulateDay(yaml, 3),
                     other_seed = SimulateDay(yaml, 4);
  CHECK(once.Trace().size() > 10'000);
  CHECK(once.Trace() == twice.Trace());
  CHECK(once.Trace() != other_seed.Trace());
}

TEST_CASE("simulation: the relays break no rule under any kind of fault", "[model]") {
  struct Case {
    const char* yaml;
    trace::Event::Kind expected_event;
    std::size_t min_count;
  };
  using Kind = trace::Event::Kind;
  const std::vector<Case> cases = {
      {"length: 15s\n", Kind::kAnswered, 100},
      {"length: 15s\ntraffic: {load: 1.3, shape: bursty}\n", Kind::kAnswered, 300},
      {"length: 15s\ntroubles:\n  - relays_killed: {at: 4s, for: 3s, share: 0.67}\n", Kind::kExited, 2},
      {"length: 25s\ntroubles:\n  - relays_rolled: {at: 3s, for: 15s, share: 1, down: 0.5s}\n",
       Kind::kTerminating, 3},
      {"length: 20s\ntroubles:\n  - list_behind: {at: 2s, for: 10s, by: 5s}\n"
       "  - hosts_replaced: {at: 3s, for: 4s, count: 4}\n"
       "  - hosts_replaced: {at: 3s, for: 4s, count: 4, same_address: true}\n",
       Kind::kHostAnnounced, 12},
      {"length: 25s\ntraffic: {load: 0.9}\ntroubles:\n  - partners_shut: {at: 3s, for: 8s, share: 0.3}\n",
       Kind::kHostRecovered, 2},
      {"length: 25s\ntraffic: {load: 0.9}\ntroubles:\n  - partners_down: {at: 3s, for: 8s, share: 0.4}\n",
       Kind::kHostRecovered, 5},
      {"length: 30s\nrelays: 30\npartners: {count: 20}\ntroubles:\n  - discovery_down: {at: 3s, for: 5s}\n"
       "  - hosts_replaced: {at: 4s, for: 1s, count: 6, drain: 20s}\n"
       "  - discovery_silent: {at: 15s, for: 3s}\n"
       "  - hosts_replaced: {at: 16s, for: 1s, count: 6, drain: 10s}\n",
       Kind::kDiscoveryReachable, 4},
      {"length: 25s\nrelays: 30\npartners: {count: 20}\ntroubles:\n  - discovery_down: {at: 3s, for: 1s}\n"
       "  - discovery_slow: {at: 4s, for: 15s, each: 100ms}\n"
       "  - hosts_replaced: {at: 3.5s, for: 1s, count: 6, drain: 20s}\n",
       Kind::kHostChanged, 12},
      {"length: 20s\nrelays: 30\npartners: {count: 20}\nrelay: {senders_told: 10}\ntroubles:\n"
       "  - lists_broken: {at: 3s, for: 0.1s}\n"
       "  - discovery_crowded: {at: 3s, for: 9s}\n"
       "  - hosts_replaced: {at: 3.2s, for: 1s, count: 6, drain: 15s}\n"
       "  - discovery_moved: {at: 5s, for: 2s, share: 0.5}\n",
       Kind::kHostChanged, 12},
      {"length: 15s\ntroubles:\n  - partners_draw: {at: 3s, for: 8s, share: 0.24, count: 2}\n",
       Kind::kAnswered, 100},
  };
  for (const Case& test_case : cases) {
    for (const std::uint64_t seed : {1, 2}) {
      const SimulatedDay simulated_day = SimulateDay(test_case.yaml, seed);
      INFO(test_case.yaml << "seed " << seed << "\n" << Describe(simulated_day.outcome));
      CHECK(simulated_day.outcome.breaches.empty());
      CHECK(simulated_day.outcome.crash.empty());
      CHECK_FALSE(simulated_day.outcome.cut_short);
      CHECK(CountEvents(simulated_day, test_case.expected_event) >= test_case.min_count);
      CHECK(simulated_day.outcome.figures.worth_share > 0.5);
    }
  }
}

TEST_CASE("simulation: messages accepted by a relay that is killed still end", "[model]") {
  const SimulatedDay simulated_day = SimulateDay(
      "length: 12s\ntraffic: {load: 1}\ntroubles:\n  - relays_killed: {at: 6s, for: 3s, share: 1}\n", 1);
  INFO(Describe(simulated_day.outcome));
  CHECK(simulated_day.outcome.breaches.empty());
  std::set<std::string> accepted, ended, open_at_exit;
  for (const trace::Event& event : simulated_day.events) {
    if (event.kind == trace::Event::Kind::kAccepted) accepted.insert(event.id);
    if (event.kind == trace::Event::Kind::kNoticeReceived) ended.insert(event.id);
    if (event.kind == trace::Event::Kind::kAnswered && event.status == 200) ended.insert(event.id);
    if (event.kind == trace::Event::Kind::kExited && open_at_exit.empty()) {
      for (const std::string& id : accepted) {
        if (ended.count(id) == 0) open_at_exit.insert(id);
      }
    }
  }
  CHECK(open_at_exit.size() > 5);
  for (const std::string& id : open_at_exit) CHECK(ended.count(id) == 1);
}

TEST_CASE("platform model: a queued call for the list is not answered once its relay's process has exited",
          "[model]") {
  TemporaryFolder folder;
  const model::Scenario scenario =
      model::ReadScenario(folder.Write("day.yaml",
                                       "length: 10s\nrelays: 2\npartners: {count: 1}\n"
                                       "troubles:\n  - discovery_slow: {at: 1s, for: 5s, each: 500ms}\n"));
  const model::Day day = model::DrawDay(scenario, 1);
  int announcements_to_first = 0, announcements_to_second = 0;
  model::PlatformModel platform(scenario, day, [&](const trace::Event& event) {
    if (event.kind == trace::Event::Kind::kHostAnnounced)
      ++(event.relay == 0 ? announcements_to_first : announcements_to_second);
  });
  platform.Step(Time(0), {model::RelayUp{0}, model::RelayUp{1}});
  platform.Step(1s, {});  // discovery becomes slow
  // Both calls wait in the queue of slow discovery when the process that made the first one exits.
  platform.Step(1100ms, {model::ListRequested{0, 1, 0}, model::ListRequested{1, 2, 0}});
  platform.Step(1200ms, {model::RelayDown{0}});
  platform.Step(1300ms, {model::RelayUp{0}});
  std::vector<std::uint64_t> answered_calls;
  for (Time now = 1400ms; now <= 2800ms; now += 100ms) {
    for (const model::Effect& effect : platform.Step(now, {})) {
      if (const auto* list = std::get_if<model::SendList>(&effect)) answered_calls.push_back(list->call);
    }
  }
  CHECK(answered_calls == std::vector<std::uint64_t>{2});
  CHECK(announcements_to_first == 0);
  CHECK(announcements_to_second > 0);
}
