// oxbowstandin: stand-ins for the clients, endpoints, discovery and platform of a group of relays, on
// loopback. Used by the demo and for measurements.
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

nlohmann::json ToJson(const standin::Totals& totals) {
  const auto round = [](double value) {
    return static_cast<double>(static_cast<long>(value * 10 + 0.5)) / 10;
  };
  return {{"asked", totals.due},
          {"taken", totals.accepted},
          {"delivered", totals.delivered},
          {"refused", totals.rejected},
          {"unanswered", totals.unanswered},
          {"failed", totals.failed},
          {"lost", totals.lost},
          {"answered_twice", totals.ended_twice},
          {"handed_in_again", totals.resubmitted},
          {"repeats", totals.duplicate_calls},
          {"noticed_after", totals.noticed_after_delivery},
          {"accept_p50_ms", round(standin::Percentile(totals.accept_ms, 0.5))},
          {"accept_p99_ms", round(standin::Percentile(totals.accept_ms, 0.99))},
          {"deliver_p50_ms", round(standin::Percentile(totals.deliver_ms, 0.5))},
          {"deliver_p99_ms", round(standin::Percentile(totals.deliver_ms, 0.99))}};
}

struct RunOptions {
  standin::PlatformOptions platform;
  standin::LoadOptions load;
  double seconds = 0, warm_up_s = 0;
  std::string out;
};

// Runs until the configured time has passed or SIGTERM arrives. Then waits until every accepted message has
// ended, for at most the deadline plus 4 s.
int Run(const RunOptions& options) {
  net::Loop loop;
  standin::MessageTracker tracker;
  standin::StubPlatform platform(loop, tracker, options.platform);
  standin::LoadGenerator load(loop, tracker, options.load);
  net::Time stop_by{0};
  const auto stop = [&] {
    load.Stop();
    stop_by = net::Loop::Now() + options.load.deadline + 4s;
  };
  net::Timer poll_timer(loop, [&] {
    if ((load.idle() && tracker.PendingIds().empty()) || net::Loop::Now() >= stop_by) return loop.Stop();
    poll_timer.After(50ms);
  });
  net::Timer end_timer(loop, [&] {
    stop();
    poll_timer.After(50ms);
  });
  net::Signal term(loop, SIGTERM, [&] { end_timer.After(0ms); });
  if (options.seconds > 0) end_timer.After(net::Time(static_cast<net::Time::rep>(options.seconds * 1e6)));
  const net::Time started_at = net::Loop::Now();
  load.Start();
  loop.Run();
  nlohmann::json result = ToJson(
      tracker.ComputeTotals(started_at + net::Time(static_cast<net::Time::rep>(options.warm_up_s * 1e6))));
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
  CLI::App* const site_command =
      app.add_subcommand("site", "write a group file, configurations and keys into a folder");
  site_command->add_option("folder", site.folder, "a new folder")->required();
  site_command->add_option("--instances", site.instances)->check(CLI::Range(1, 200))->capture_default_str();
  site_command->add_option("--agents", site.agents)->check(CLI::Range(1, 20))->capture_default_str();
  site_command->add_option("--capacity", site.capacity, "of an instance, messages per second")
      ->capture_default_str();
  site_command->add_option("--limit", limits, "a line of the group file's limits, such as 'watch_for: 1s'");
  RunOptions run;
  double deadline_s = 8;
  CLI::App* const run_command = app.add_subcommand("run", "run the stand-ins, then print the message totals");
  run_command->add_option("--discovery-port", run.platform.discovery_port)->required();
  run_command->add_option("--relays", run.load.relays, "address:port of each")->required()->delimiter(',');
  run_command->add_option("--rate", run.load.rate, "messages per second")
      ->check(CLI::Range(1, 5000))
      ->capture_default_str();
  run_command->add_option("--for", run.seconds, "seconds to run; without it, until SIGTERM")
      ->check(CLI::Range(0, 3600));
  run_command->add_option("--warm", run.warm_up_s, "initial seconds that the totals leave out");
  run_command->add_option("--hosts", run.platform.hosts)->check(CLI::Range(1, 64))->capture_default_str();
  run_command->add_option("--deadline", deadline_s, "seconds in which a message may be delivered")
      ->capture_default_str();
  run_command->add_option("--out", run.out, "file for the result");
  if (const auto code = apps::Parse(app, "oxbowstandin", argc, argv)) return *code;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (site_command->parsed()) {
      for (const std::string& line : limits) site.limits += "  " + line + "\n";
      site.discovery_port = standin::FreePort();
      const standin::Site created = standin::MakeSite(site);
      std::cout << "discovery_port=" << site.discovery_port << "\nrelays=";
      for (std::size_t i = 0; i < created.relays.size(); ++i)
        std::cout << (i > 0 ? "," : "") << created.relays[i];
      std::cout << "\nagents=\"";
      for (std::size_t i = 0; i < created.agents.size(); ++i)
        std::cout << (i > 0 ? " " : "") << created.agents[i];
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
