// Five instances, three agents, a change under load, and kills at random: each seed ends in a known state
// with every message that was taken on ended once.
//
// OXBOW_SEEDS=FROM-TO plays those seeds, a line each, and is how the long table in docs/ is made.
#include <signal.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

#include "rig.hpp"

namespace oxbowspread::testing {
namespace {

struct Played {
  int relays_killed = 0, agents_killed = 0, stopped = 0;
  double known_after_ms = 0;  // from the last kill until everything agrees
  std::string state;
  standin::Totals totals;
};

Played Play(unsigned seed) {
  RigOptions options;
  options.seed = seed;
  GroupRig rig(options);
  std::mt19937 dice(seed);
  Played played;
  rig.StartAll();
  rig.load->Start();
  Json begun;
  if (seed % 2 == 0) {
    std::map<std::string, Json> configs;
    for (const std::string& name : rig.site.instances) {
      configs[name] = rig.ConfigOf(name);
      // One key that a reload can change, or one that needs a restart.
      if (seed % 4 == 0) {
        configs[name]["limits"]["sockets"] = 400;
      } else {
        configs[name]["limits"]["disk_mb"] = 4;
      }
    }
    begun = rig.Apply(configs);
  } else {
    begun = rig.Begin("restart");
  }
  INFO(begun.dump());
  REQUIRE(begun.value("ok", false));
  for (int i = 0; i < 8; ++i) {
    rig.Run(std::chrono::milliseconds(200 + dice() % 900));
    const std::string agent = rig.site.agents[dice() % rig.site.agents.size()];
    switch (dice() % 5) {
      case 0:
      case 1:
      case 2:
        if (const pid_t pid = rig.RelayPid(rig.site.instances[dice() % 5]); pid > 0) {
          kill(pid, SIGKILL);
          ++played.relays_killed;
        }
        break;
      case 3:
        if (rig.AgentRuns(agent)) {
          rig.Signal(agent, SIGKILL);
          ++played.agents_killed;
        }
        break;
      default:
        if (rig.AgentRuns(agent)) {
          rig.Signal(agent, SIGSTOP);
          ++played.stopped;
          rig.Run(std::chrono::milliseconds(dice() % 3000));
          rig.Signal(agent, SIGCONT);
        }
        break;
    }
    // Whoever starts agents on a host starts one that ended, a little later.
    for (const std::string& name : rig.site.agents) {
      if (!rig.AgentRuns(name) && dice() % 2 == 0) rig.StartAgent(name);
    }
  }
  const net::Time last = net::Loop::Now();
  for (const std::string& name : rig.site.agents) {
    if (!rig.AgentRuns(name)) rig.StartAgent(name);
  }
  REQUIRE(rig.UntilOver(90s));
  std::string why;
  const bool known = rig.Until([&] { return (why = rig.Disagreement()).empty(); }, 40s);
  INFO(why);
  REQUIRE(known);
  played.known_after_ms = static_cast<double>((net::Loop::Now() - last).count()) * 1e-3;
  played.state = rig.ChangeState();
  played.totals = rig.Settle();
  // The change has come to its end at every instance: the stamps say by which order each runs.
  const auto beliefs = rig.Beliefs();
  for (const auto& [name, belief] : beliefs) {
    INFO(name << " " << belief.dump());
    if (played.state == "done") CHECK(belief.at("stamp").get<std::string>().find("@c") != std::string::npos);
  }
  CHECK(rig.Disagreement().empty());
  return played;
}

void CheckPlayed(const Played& p) {
  CHECK((p.state == "done" || p.state == "rolled-back"));
  CHECK(p.totals.lost == 0);
  CHECK(p.totals.ended_twice == 0);
  CHECK(p.totals.accepted > 100);
  CHECK(p.totals.accepted == p.totals.delivered + p.totals.failed);
}

#define OXBOW_SEED(n)                                                                      \
  TEST_CASE("kills at random during a change end in a known state, seed " #n, "[chaos]") { \
    CheckPlayed(Play(n));                                                                  \
  }
// clang-format off
OXBOW_SEED(1) OXBOW_SEED(2) OXBOW_SEED(3) OXBOW_SEED(4) OXBOW_SEED(5) OXBOW_SEED(6) OXBOW_SEED(7) OXBOW_SEED(8)
OXBOW_SEED(9) OXBOW_SEED(10) OXBOW_SEED(11) OXBOW_SEED(12) OXBOW_SEED(13) OXBOW_SEED(14) OXBOW_SEED(15)
OXBOW_SEED(16) OXBOW_SEED(17) OXBOW_SEED(18) OXBOW_SEED(19) OXBOW_SEED(20)
    // clang-format on

    TEST_CASE("many seeds of kills, by hand", "[.][long]") {
  const char* const seeds = std::getenv("OXBOW_SEEDS");
  REQUIRE(seeds != nullptr);
  unsigned from = 0, to = 0;
  REQUIRE(std::sscanf(seeds, "%u-%u", &from, &to) == 2);
  for (unsigned seed = from; seed <= to; ++seed) {
    INFO("seed " << seed);
    const Played p = Play(seed);
    CheckPlayed(p);
    std::cout << seed << "\t" << p.state << "\t" << p.relays_killed << "\t" << p.agents_killed << "\t"
              << p.stopped << "\t" << p.known_after_ms << "\t" << p.totals.due << "\t" << p.totals.accepted
              << "\t" << p.totals.delivered << "\t" << p.totals.rejected << "\t" << p.totals.failed << "\t"
              << p.totals.lost << "\t" << p.totals.ended_twice << std::endl;
  }
}

TEST_CASE("forty kills, by hand: time until agents, processes, locks and sockets agree", "[.][kills]") {
  GroupRig rig;
  rig.StartAll();
  rig.load->Start();
  std::vector<double> relay_ms, agent_ms;
  for (int i = 0; i < 40; ++i) {
    const bool agent = i % 4 == 3;
    const std::string name = rig.site.agents[static_cast<std::size_t>(i / 4) % 3];
    const net::Time at = net::Loop::Now();
    if (agent) {
      rig.Signal(name, SIGKILL);
      rig.StartAgent(name);
    } else {
      kill(rig.RelayPid(rig.site.instances[static_cast<std::size_t>(i) % 5]), SIGKILL);
    }
    rig.Run(10ms);
    REQUIRE(rig.Until([&] { return rig.Disagreement().empty(); }));
    (agent ? agent_ms : relay_ms).push_back(static_cast<double>((net::Loop::Now() - at).count()) * 1e-3);
    rig.Run(3s);  // so that each relay lives for over 10 s between two kills: no death is one of a row
  }
  for (const auto& [what, all] : {std::pair("relay", relay_ms), std::pair("agent", agent_ms)}) {
    std::cout << what << "\t" << all.size() << " kills\tmedian " << standin::Percentile(all, 0.5)
              << " ms\tmost " << standin::Percentile(all, 1) << " ms" << std::endl;
  }
  CheckPlayed({0, 0, 0, 0, "done", rig.Settle()});
}

}  // namespace
}  // namespace oxbowspread::testing
