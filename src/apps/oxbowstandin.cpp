// oxbowstandin: the surroundings of a group of relays on loopback, for the demo and for measurements.
#include <csignal>
#include <fstream>
#include <iostream>

#include "apps/arguments.hpp"
#include "standin/load.hpp"
#include "standin/platform.hpp"
#include "standin/site.hpp"

namespace {

using namespace std::chrono_literals;
using namespace oxbowspread;

nlohmann::json JsonOf(const standin::Totals& t) {
  const auto round = [](double v) { return static_cast<double>(static_cast<long>(v * 10 + 0.5)) / 10; };
  return {{"asked", t.asked},
          {"taken", t.taken},
          {"delivered", t.delivered},
          {"refused", t.refused},
          {"unanswered", t.unanswered},
          {"failed", t.failed},
          {"lost", t.lost},
          {"answered_twice", t.answered_twice},
          {"handed_in_again", t.handed_in_again},
          {"repeats", t.repeats},
          {"noticed_after", t.noticed_after},
          {"accept_p50_ms", round(standin::Percentile(t.accept_ms, 0.5))},
          {"accept_p99_ms", round(standin::Percentile(t.accept_ms, 0.99))},
          {"deliver_p50_ms", round(standin::Percentile(t.deliver_ms, 0.5))},
          {"deliver_p99_ms", round(standin::Percentile(t.deliver_ms, 0.99))}};
}

struct RunOptions {
  standin::PlatformOptions platform;
  standin::LoadOptions load;
  double seconds = 0, warm_s = 0;
  std::string out;
};

// Plays until the time is over or SIGTERM, then waits for every end that is owed, at most the deadline and 4
// s.
int Run(const RunOptions& options) {
  net::Loop loop;
  standin::Ledger ledger;
  standin::Platform platform(loop, ledger, options.platform);
  standin::Load load(loop, ledger, options.load);
  net::Time end_by{0};
  const auto stop = [&] {
    load.End();
    end_by = net::Loop::Now() + options.load.deadline + 4s;
  };
  net::Timer settle(loop, [&] {
    if ((load.idle() && ledger.Owed().empty()) || net::Loop::Now() >= end_by) return loop.Stop();
    settle.After(50ms);
  });
  net::Timer over(loop, [&] {
    stop();
    settle.After(50ms);
  });
  net::Signal term(loop, SIGTERM, [&] { over.After(0ms); });
  if (options.seconds > 0) over.After(net::Time(static_cast<net::Time::rep>(options.seconds * 1e6)));
  const net::Time begun = net::Loop::Now();
  load.Begin();
  loop.Run();
  nlohmann::json result =
      JsonOf(ledger.Sum(begun + net::Time(static_cast<net::Time::rep>(options.warm_s * 1e6))));
  result["load_late_ms"] = static_cast<double>(load.lateness().count()) * 1e-3;
  if (options.out.empty()) {
    std::cout << result.dump() << "\n";
  } else {
    std::ofstream(options.out) << result.dump() << "\n";
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"oxbowstandin: stand-ins for clients, endpoints, discovery and the platform, on loopback"};
  app.require_subcommand(1);
  standin::SiteOptions site;
  std::vector<std::string> limits;
  CLI::App* const make =
      app.add_subcommand("site", "write a group file, configurations and keys into a folder");
  make->add_option("folder", site.folder, "a new one")->required();
  make->add_option("--instances", site.instances)->check(CLI::Range(1, 200))->capture_default_str();
  make->add_option("--agents", site.agents)->check(CLI::Range(1, 20))->capture_default_str();
  make->add_option("--capacity", site.capacity, "of an instance, messages a second")->capture_default_str();
  make->add_option("--limit", limits, "a line of the group file's limits, such as 'watch_for: 1s'");
  RunOptions run;
  double deadline_s = 8;
  CLI::App* const play =
      app.add_subcommand("run", "be the surroundings, and print what became of the messages");
  play->add_option("--discovery-port", run.platform.discovery_port)->required();
  play->add_option("--relays", run.load.relays, "address:port of each")->required()->delimiter(',');
  play->add_option("--rate", run.load.rate, "messages a second")
      ->check(CLI::Range(1, 5000))
      ->capture_default_str();
  play->add_option("--for", run.seconds, "seconds; until SIGTERM if absent")->check(CLI::Range(0, 3600));
  play->add_option("--warm", run.warm_s, "seconds at the beginning that the sums leave out");
  play->add_option("--hosts", run.platform.hosts)->check(CLI::Range(1, 64))->capture_default_str();
  play->add_option("--deadline", deadline_s, "seconds in which a message may be delivered")
      ->capture_default_str();
  play->add_option("--out", run.out, "write the result there");
  if (const auto code = apps::Parse(app, "oxbowstandin", argc, argv)) return *code;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (make->parsed()) {
      for (const std::string& line : limits) site.limits += "  " + line + "\n";
      site.discovery_port = standin::FreePort();
      const standin::Site made = standin::MakeSite(site);
      std::cout << "discovery_port=" << site.discovery_port << "\nrelays=";
      for (std::size_t i = 0; i < made.relays.size(); ++i) std::cout << (i > 0 ? "," : "") << made.relays[i];
      std::cout << "\nagents=\"";
      for (std::size_t i = 0; i < made.agents.size(); ++i) std::cout << (i > 0 ? " " : "") << made.agents[i];
      std::cout << "\"\n";
      return 0;
    }
    run.load.deadline = net::Time(static_cast<net::Time::rep>(deadline_s * 1e6));
    return Run(run);
  } catch (const std::exception& e) {
    std::cerr << "oxbowstandin: " << e.what() << "\n";
    return apps::kExitBadInput;
  }
}
