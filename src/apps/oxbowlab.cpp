// oxbowlab: runs days of the platform model against relays, checks every rule and computes the service score.
// Stores, compares and charts the results.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "apps/arguments.hpp"
#include "lab/report.hpp"
#include "lab/settings.hpp"
#include "lab/simulation.hpp"
#include "lab/socket_run.hpp"
#include "model/soak.hpp"
#include "results/child.hpp"
#include "results/compare.hpp"
#include "results/report.hpp"
#include "results/results.hpp"
#include "results/search.hpp"
#include "results/sweep.hpp"

namespace {

using namespace oxbowspread;
using results::Json;

constexpr int kExitNotClean = 1;  // a rule was broken, a relay crashed, or the run is invalid

struct RunOptions {
  std::string file, trace, relay;
  std::vector<std::string> sets;
  std::uint64_t seed = 1;
  bool json = false;
};

int RunDay(const RunOptions& options, bool on_sockets) {
  const model::Scenario scenario = model::ReadScenario(options.file, options.sets);
  const model::Day day = model::DrawDay(scenario, options.seed);
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("oxbowlab-" + std::to_string(getpid()))).string();
  std::ofstream trace;
  lab::TraceSink trace_sink;
  if (!options.trace.empty()) {
    trace.open(options.trace);
    if (!trace) throw yaml::Error(options.trace + ": can't be written");
    trace_sink = [&](const trace::Event& event) { trace << trace::ToJsonLine(event) << "\n"; };
  }
  const lab::Outcome outcome = on_sockets
                                   ? lab::RunOnSockets(scenario, day, {options.relay, folder, trace_sink})
                                   : lab::Simulate(scenario, day, {folder, trace_sink});
  if (options.json) {
    std::cout << lab::ToJson(outcome, day, scenario.name).dump() << "\n";
  } else {
    std::cout << lab::ToText(outcome, day, scenario.name);
  }
  return outcome.clean() ? 0 : kExitNotClean;
}

// ---- soak ----

struct SoakOptions {
  std::string seeds = "1-10", relay, program, keep;
  int jobs = 2;
  bool crowds = false;  // days of DrawCrowdedSoak, on which memory is watched
};

// Runs one day in this process and prints its report as JSON.
int RunSoakDay(std::uint64_t seed, const SoakOptions& options) {
  const std::string& folder = options.keep;
  const model::Scenario scenario = options.crowds ? model::DrawCrowdedSoak(seed) : model::DrawSoak(seed);
  const model::Day day = model::DrawDay(scenario, seed);
  const std::string run_folder =
      folder.empty()
          ? (std::filesystem::temp_directory_path() / ("oxbowlab-" + std::to_string(getpid()))).string()
          : folder + "/" + scenario.name;
  std::ofstream trace;
  lab::TraceSink trace_sink;
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
    trace.open(run_folder + ".trace");
    trace_sink = [&](const trace::Event& event) { trace << trace::ToJsonLine(event) << "\n"; };
  }
  const lab::Outcome outcome =
      lab::RunOnSockets(scenario, day, {options.relay, run_folder, trace_sink, options.crowds});
  Json report = lab::ToJson(outcome, day, scenario.name);
  report["memory_mb"] = scenario.relay.memory_mb;
  std::cout << report.dump() << "\n";
  return outcome.clean() ? 0 : kExitNotClean;
}

// Returns the peak memory of a relay and its limit, in MB; empty if it was not watched.
std::string PeakMemoryText(const Json& report) {
  const double peak_mb = report.at("peak_memory_kb").get<double>() * 1024 / 1e6;
  if (peak_mb == 0) return {};
  char text[40];
  std::snprintf(text, sizeof text, "%.1f of %d", peak_mb, report.at("memory_mb").get<int>());
  return text;
}

void PrintSoakRow(std::uint64_t seed, const Json& report) {
  const Json& breaches = report.at("breaches");
  std::string broken_rules;
  for (const Json& breach : breaches) {
    const std::string rule = breach.at("rule");
    if (broken_rules.find(rule) == std::string::npos)
      broken_rules += (broken_rules.empty() ? "" : " ") + rule;
  }
  const Json& figures = report.at("figures");
  std::printf("| %llu | %ld | %ld, %ld | %zu %s | %s | %s | %s |\n", static_cast<unsigned long long>(seed),
              figures.at("calls").get<long>(), figures.at("asked").get<long>(),
              figures.at("delivered").get<long>(), breaches.size(), broken_rules.c_str(),
              PeakMemoryText(report).c_str(), report.at("crash").get<std::string>().c_str(),
              report.at("spoilt").get<std::string>().c_str());
  std::fflush(stdout);
}

// Runs each day in a separate process. Returns kExitNotClean if a rule was broken or a relay crashed. A day
// is invalid if its load was late. Such a day is printed with the rules that were broken, but the lateness
// may have caused the breaches, so that only a crash counts.
int RunSoak(const SoakOptions& options) {
  const auto seeds = results::ParseSeeds(options.seeds);
  std::printf("| seed | calls | asked, delivered | breaches | peak memory, MB | crash | invalid |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  std::size_t not_clean = 0, invalid_days = 0;
  std::string error;
  const auto run_days = [&] {
    for (std::size_t i = next++; i < seeds.size(); i = next++) {
      std::vector<std::string> arguments = {options.program,          "soak",    "--one",
                                            std::to_string(seeds[i]), "--relay", options.relay};
      if (options.crowds) arguments.push_back("--crowds");
      if (!options.keep.empty()) arguments.insert(arguments.end(), {"--keep", options.keep});
      const results::ProcessResult child = results::RunProcess(arguments);
      const std::lock_guard<std::mutex> guard(mutex);
      if (child.exit_code != 0 && child.exit_code != kExitNotClean) {
        if (error.empty()) error = "seed " + std::to_string(seeds[i]) + ": " + child.err;
        continue;
      }
      const Json report = Json::parse(child.out);
      PrintSoakRow(seeds[i], report);
      const bool invalid = !report.at("spoilt").get<std::string>().empty();
      const bool crashed = !report.at("crash").get<std::string>().empty();
      const bool broken = crashed || (!invalid && !report.at("breaches").empty());
      not_clean += broken;
      invalid_days += !broken && child.exit_code != 0;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < options.jobs; ++i) threads.emplace_back(run_days);
  for (std::thread& thread : threads) thread.join();
  std::printf("%zu days: %zu with a broken rule or a crash, %zu invalid because of a late load\n",
              seeds.size(), not_clean, invalid_days);
  if (!error.empty()) throw std::runtime_error(error);
  return not_clean == 0 ? 0 : kExitNotClean;
}

// Checks a stored trace against the rules, with their limits from the scenario if one is given.
int Check(const std::string& file, const std::string& scenario_file) {
  std::ifstream in(file);
  if (!in) throw yaml::Error(file + ": can't be read");
  check::Rules rules;
  if (!scenario_file.empty()) rules = lab::RulesOf(model::ReadScenario(scenario_file));
  check::Checker checker(rules);
  std::string line;
  std::uint64_t line_number = 0;
  while (std::getline(in, line)) {
    ++line_number;
    try {
      checker.Observe(trace::ParseJsonLine(line));
    } catch (const std::exception& e) {
      // A last line without a line end is incomplete: the trace is cut short, which the checker reports.
      if (in.eof()) break;
      throw yaml::Error(file + ":" + std::to_string(line_number) + ": " + e.what());
    }
  }
  checker.Finish();
  for (const check::Breach& breach : checker.breaches()) {
    std::printf("%.6f s: %s, %s: %s\n", static_cast<double>(breach.at.count()) / 1e6, breach.rule.c_str(),
                breach.message.c_str(), breach.events.c_str());
  }
  std::printf("%llu events, %llu calls, %zu breaches", static_cast<unsigned long long>(line_number),
              static_cast<unsigned long long>(checker.calls()), checker.breaches().size());
  if (checker.cut_short()) std::printf(", cut short with %zu messages undecided", checker.undecided());
  std::printf("\n");
  return checker.breaches().empty() && !checker.cut_short() ? 0 : kExitNotClean;
}

// ---- experiments ----

struct SweepOptions {
  std::vector<std::string> scenarios, sets;
  std::string out, seeds = "1-5", label = "now", driver = "sim", relay, program;
  int jobs = 0;
};

// A day to run, and the file of its scenario.
struct PlannedRun {
  results::Key key;
  std::string file;
};

// One run for each scenario, variant and seed.
std::vector<PlannedRun> PlanRuns(const SweepOptions& options) {
  const auto seeds = results::ParseSeeds(options.seeds);
  const auto variants = results::ExpandVariants(options.sets);
  std::vector<PlannedRun> planned_runs;
  for (const std::string& file : options.scenarios) {
    for (const std::string& variant : variants) {
      // All scenarios are read before the first run, so that an error in the last one is not reported only
      // after an hour of runs.
      const model::Scenario scenario = model::ReadScenario(file, results::SplitVariant(variant));
      for (const std::uint64_t seed : seeds) {
        planned_runs.push_back(
            {{options.label, scenario.name, scenario.version, variant, seed, options.driver}, file});
      }
    }
  }
  return planned_runs;
}

void PrintProgress(std::size_t done, std::size_t total, std::size_t not_clean) {
  if (isatty(STDERR_FILENO) == 0) return;
  constexpr std::size_t kWidth = 40;
  const std::size_t filled = total == 0 ? kWidth : kWidth * done / total;
  std::fprintf(stderr, "\r[%s%s] %zu of %zu days%s", std::string(filled, '#').c_str(),
               std::string(kWidth - filled, '.').c_str(), done, total,
               not_clean > 0 ? (", " + std::to_string(not_clean) + " not clean").c_str() : "");
  if (done == total) std::fprintf(stderr, "\n");
}

// Runs a day in a separate process, so that a crash does not end the sweep.
results::Row RunInChild(const SweepOptions& options, const PlannedRun& planned_run) {
  std::vector<std::string> arguments = {options.program,  options.driver,
                                        planned_run.file, "--json",
                                        "--seed",         std::to_string(planned_run.key.seed)};
  for (const std::string& set : results::SplitVariant(planned_run.key.variant)) {
    arguments.insert(arguments.end(), {"--set", set});
  }
  if (options.driver == "run") arguments.insert(arguments.end(), {"--relay", options.relay});
  const results::ProcessResult child = results::RunProcess(arguments);
  if (child.exit_code != 0 && child.exit_code != kExitNotClean) {
    throw std::runtime_error(
        planned_run.key.scenario + " seed " + std::to_string(planned_run.key.seed) + ": " +
        (child.exit_code < 0 ? "ended by a signal" : child.err.substr(0, child.err.find('\n'))));
  }
  return {planned_run.key, Json::parse(child.out)};
}

// Runs the planned days that have no stored result yet, several at once.
int RunSweep(const SweepOptions& options) {
  const std::vector<PlannedRun> planned_runs = PlanRuns(options);
  results::ResultStore stored_results(options.out);
  std::vector<const PlannedRun*> missing_runs;
  for (const PlannedRun& planned_run : planned_runs) {
    if (!stored_results.Contains(planned_run.key)) missing_runs.push_back(&planned_run);
  }
  const std::size_t already_done = planned_runs.size() - missing_runs.size();
  std::mutex mutex;
  std::size_t done = already_done, not_clean = 0;
  std::string error;
  std::atomic<std::size_t> next{0};
  PrintProgress(done, planned_runs.size(), not_clean);
  const auto run_days = [&] {
    for (std::size_t i = next++; i < missing_runs.size(); i = next++) {
      const PlannedRun& planned_run = *missing_runs[i];
      try {
        const results::Row row = RunInChild(options, planned_run);
        const std::lock_guard<std::mutex> guard(mutex);
        stored_results.Put(row);
        ++done;
        if (!row.clean()) ++not_clean;
        PrintProgress(done, planned_runs.size(), not_clean);
      } catch (const std::exception& e) {
        const std::lock_guard<std::mutex> guard(mutex);
        if (error.empty()) error = e.what();
        // Stops all threads. The stored results stay, and the next sweep runs the remaining days.
        next = missing_runs.size();
      }
    }
  };
  const int default_jobs =
      options.driver == "run" ? 2 : static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  std::vector<std::thread> threads;
  for (int i = 0; i < (options.jobs > 0 ? options.jobs : default_jobs); ++i) threads.emplace_back(run_days);
  for (std::thread& thread : threads) thread.join();
  std::printf("%zu days: %zu run, %zu already stored, %zu not clean\n", planned_runs.size(),
              done - already_done, already_done, not_clean);
  if (!error.empty()) {
    std::cerr << "oxbowlab: " << error << "\n";
    return kExitNotClean;
  }
  return not_clean == 0 ? 0 : kExitNotClean;
}

// Searches for the highest value of the setting `key` at which the days of all seeds stay within the bounds.
int RunSearch(const SweepOptions& options, const std::string& key, double low, double high, double tolerance,
              const results::Bounds& bounds) {
  if (!(low < high)) throw std::runtime_error("search: --from must be below --to");
  const auto seeds = results::ParseSeeds(options.seeds);
  const auto setting = [&](double value) {
    char text[40];
    std::snprintf(text, sizeof text, "%g", value);
    return key + "=" + text;
  };
  const std::string& file = options.scenarios.front();
  // Errors in the settings are reported before the first run.
  const std::string fixed = results::ExpandVariants(options.sets).front();
  const auto variant = [&](double value) { return fixed + (fixed.empty() ? "" : " ") + setting(value); };
  const model::Scenario scenario = model::ReadScenario(file, results::SplitVariant(variant(low)));
  model::ReadScenario(file, results::SplitVariant(variant(high)));
  std::printf("%-28s %6s %10s %10s %10s   within\n", "setting", "days", "p99 ms", "refused", "delivered");
  const auto within_bounds = [&](double value) {
    double p99 = 0, refused = 0, delivered = 1;
    bool all_within = true;
    for (const std::uint64_t seed : seeds) {
      const results::Row row = RunInChild(
          options, {{"search", scenario.name, scenario.version, variant(value), seed, options.driver}, file});
      const double asked = std::max(1.0, row.Number("figures/asked"));
      p99 = std::max(p99, row.Number("figures/deliver_p99_ms"));
      refused = std::max(refused, (row.Number("figures/turned_away") + row.Number("figures/unanswered") +
                                   row.Number("figures/deferred")) /
                                      asked);
      delivered = std::min(delivered, row.Number("figures/delivered") / asked);
      all_within = results::IsWithin(row, bounds) && all_within;
    }
    std::printf("%-28s %6zu %10.0f %10.4f %10.4f   %s\n", setting(value).c_str(), seeds.size(), p99, refused,
                delivered, all_within ? "yes" : "no");
    std::fflush(stdout);
    return all_within;
  };
  const auto trials = results::SearchHighest(low, high, tolerance, within_bounds);
  double best = low;
  bool any_passed = false;
  for (const results::Trial& trial : trials) {
    if (trial.passed) best = std::max(best, trial.value), any_passed = true;
  }
  std::printf(any_passed ? "highest within: %s%s\n" : "none within, not even %s%s\n", setting(best).c_str(),
              any_passed && best >= high ? ", the upper end of the range" : "");
  return any_passed ? 0 : kExitNotClean;
}

// Prints the difference of a figure between two selections of results, paired by day.
int Compare(const std::string& file, const std::string& a, const std::string& b, const std::string& figure,
            bool json) {
  const auto rows = results::ResultStore(file).ReadAll();
  const auto table =
      results::Compare(rows, results::ParseSelector(a), results::ParseSelector(b), "figures/" + figure);
  if (table.back().pairs == 0) {
    throw std::runtime_error("no day has clean results of both '" + a + "' and '" + b + "' with a figure " +
                             figure);
  }
  Json differences = Json::array();
  if (!json)
    std::printf("%-24s %6s %10s %10s %10s   95%% interval\n", "scenario", "pairs", "a", "b", "b - a");
  for (const results::Difference& difference : table) {
    differences.push_back({{"scenario", difference.scenario},
                           {"pairs", difference.pairs},
                           {"a", difference.a},
                           {"b", difference.b},
                           {"difference", difference.mean},
                           {"low", difference.low},
                           {"high", difference.high}});
    if (json) continue;
    std::printf("%-24s %6zu %10.4f %10.4f %+10.4f   %+.4f to %+.4f%s\n", difference.scenario.c_str(),
                difference.pairs, difference.a, difference.b, difference.mean, difference.low,
                difference.high, difference.low > 0 || difference.high < 0 ? "" : "  (not significant)");
  }
  if (json) std::cout << differences.dump() << "\n";
  return 0;
}

// Writes the stored results as an HTML page with charts.
int Report(const std::string& file, const std::string& out, const std::string& svg_folder) {
  const auto rows = results::ResultStore(file).ReadAll();
  if (rows.empty()) throw std::runtime_error(file + ": contains no results");
  const auto charts = results::MakeCharts(rows);
  std::vector<std::string> svg;
  for (const results::Chart& chart : charts) {
    svg.push_back(results::RenderSvg(chart));
    if (svg_folder.empty()) continue;
    std::filesystem::create_directories(svg_folder);
    std::ofstream(svg_folder + "/" + chart.name + ".svg") << svg.back();
  }
  std::ofstream page(out);
  page << results::FormatPage(rows, charts, svg);
  page.close();
  if (!page) throw std::runtime_error(out + ": can't be written");
  std::printf("%s: %zu days, %zu charts\n", out.c_str(), rows.size(), charts.size());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Runs days of the platform model against relays, checks every rule and computes the service score.");
  app.set_version_flag("--version", OXBOWSPREAD_VERSION);
  app.require_subcommand(1);
  const std::string default_relay = (std::filesystem::path(argv[0]).parent_path() / "oxbowspread").string();

  RunOptions run_options;
  run_options.relay = default_relay;
  CLI::App* const sim = app.add_subcommand("sim", "one day on a virtual clock");
  CLI::App* const run = app.add_subcommand("run", "one day on loopback sockets, in real time");
  for (CLI::App* const subcommand : {sim, run}) {
    subcommand->add_option("SCENARIO", run_options.file, "YAML file")->required();
    subcommand->add_option("--seed", run_options.seed, "selects the day (1)");
    subcommand->add_option("--set", run_options.sets,
                           "KEY=VALUE that replaces a value of the scenario, such as traffic.load=0.9");
    subcommand->add_flag("--json", run_options.json, "print one JSON object");
    subcommand->add_option("--trace", run_options.trace,
                           "file for the trace events, one JSON object per line");
  }
  run->add_option("--relay", run_options.relay,
                  "the relay's program (oxbowspread in the folder of this program)");

  SoakOptions soak_options;
  soak_options.relay = default_relay;
  soak_options.program = argv[0];
  std::uint64_t one_seed = 0;
  CLI::App* const soak = app.add_subcommand("soak", "days on sockets with random faults");
  soak->add_option("--seeds", soak_options.seeds, "for example 1-50 (1-10)");
  soak->add_option("--jobs", soak_options.jobs, "days that run at the same time (2)")
      ->check(CLI::Range(1, 64));
  soak->add_option("--relay", soak_options.relay,
                   "the relay's program (oxbowspread in the folder of this program)");
  soak->add_option("--keep", soak_options.keep,
                   "a folder for traces, and for the relays' files of days that are not clean");
  soak->add_flag(
      "--crowds", soak_options.crowds,
      "days with crowds, kills in series and less memory; a relay over its memory limit counts as crashed");
  soak->add_option("--one", one_seed,
                   "run the day of this seed only, in this process, and print one JSON object");

  std::string file, scenario_file;
  CLI::App* const check = app.add_subcommand("check", "check a stored trace against the rules");
  check->add_option("TRACE", file, "file with one JSON object per line")->required();
  check->add_option("--scenario", scenario_file, "YAML file from which the rules take their limits");

  SweepOptions sweep_options;
  sweep_options.relay = default_relay;
  sweep_options.program = argv[0];
  CLI::App* const sweep_command =
      app.add_subcommand("sweep", "many days in parallel; continues an interrupted sweep");
  sweep_command->add_option("SCENARIO", sweep_options.scenarios, "YAML files")->required();
  sweep_command->add_option("--out", sweep_options.out, "file of results (SQLite)")->required();
  sweep_command->add_option("--seeds", sweep_options.seeds, "for example 1-20 (1-5)");
  sweep_command->add_option("--set", sweep_options.sets,
                            "KEY=VALUE,VALUE: one variant per value; if repeated, all combinations");
  sweep_command->add_option("--label", sweep_options.label,
                            "name of what is tested, such as a program's version (now)");
  sweep_command->add_option("--driver", sweep_options.driver, "sim or run (sim)")
      ->check(CLI::IsMember({"sim", "run"}));
  sweep_command
      ->add_option("--jobs", sweep_options.jobs, "days that run at the same time (one per core; 2 with run)")
      ->check(CLI::Range(1, 256));
  sweep_command->add_option("--relay", sweep_options.relay, "with run: the relay's program");

  std::string key = "traffic.load";
  double low = 0.1, high = 3, tolerance = 0.02;
  results::Bounds bounds;
  CLI::App* const search = app.add_subcommand("search", "the highest value of a setting within bounds");
  std::string one_file;
  search->add_option("SCENARIO", one_file, "YAML file")->required();
  search->add_option("--key", key, "the setting (traffic.load)");
  search->add_option("--from", low, "lower end of the range, expected to be within bounds (0.1)");
  search->add_option("--to", high, "upper end of the range, expected not to be within bounds (3)");
  search->add_option("--tolerance", tolerance, "relative tolerance of the result (0.02)")
      ->check(CLI::Range(0.0001, 1.0));
  search->add_option("--p99-ms", bounds.max_deliver_p99_ms,
                     "highest 99th percentile of the time from due to delivered (3000)");
  search->add_option("--refused", bounds.max_refused_share,
                     "highest share of messages that are rejected, deferred or unanswered (0.01)");
  search->add_option("--delivered", bounds.min_delivered_share,
                     "lowest share of messages that are delivered (0.99)");
  search->add_option("--seeds", sweep_options.seeds, "seeds, all of which must be within bounds (1-5)");
  search->add_option("--set", sweep_options.sets, "KEY=VALUE that replaces a value of the scenario");
  search->add_option("--driver", sweep_options.driver, "sim or run (sim)")
      ->check(CLI::IsMember({"sim", "run"}));
  search->add_option("--relay", sweep_options.relay, "with run: the relay's program");

  std::string a, b, figure = "service", out, svg_folder;
  bool json = false;
  CLI::App* const compare = app.add_subcommand("compare", "two labels or variants, paired by day");
  compare->add_option("RESULTS", file, "file of results")->required();
  compare->add_option("A", a, "LABEL or LABEL:VARIANT, optionally followed by @sim or @run")->required();
  compare->add_option("B", b, "as A")->required();
  compare->add_option("--figure", figure, "name of a figure in the reports (service)");
  compare->add_flag("--json", json, "print one JSON list");
  CLI::App* const csv = app.add_subcommand("export", "results as CSV");
  csv->add_option("RESULTS", file, "file of results")->required();
  CLI::App* const report = app.add_subcommand("report", "results as one HTML page with charts");
  report->add_option("RESULTS", file, "file of results")->required();
  report->add_option("--out", out, "file for the page")->required();
  report->add_option("--svg", svg_folder, "a folder for the charts as separate SVG files");

  if (const auto code = apps::Parse(app, "oxbowlab", argc, argv)) return *code;
  try {
    if (sim->parsed() || run->parsed()) return RunDay(run_options, run->parsed());
    if (soak->parsed() && one_seed > 0) return RunSoakDay(one_seed, soak_options);
    if (soak->parsed()) return RunSoak(soak_options);
    if (check->parsed()) return Check(file, scenario_file);
    if (sweep_command->parsed()) return RunSweep(sweep_options);
    if (search->parsed()) {
      sweep_options.scenarios = {one_file};
      return RunSearch(sweep_options, key, low, high, tolerance, bounds);
    }
    for (CLI::App* const subcommand : {compare, csv, report}) {
      if (subcommand->parsed() && !std::filesystem::exists(file))
        throw std::runtime_error(file + ": does not exist");
    }
    if (compare->parsed()) return Compare(file, a, b, figure, json);
    if (report->parsed()) return Report(file, out, svg_folder);
    std::cout << results::ToCsv(results::ResultStore(file).ReadAll());
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "oxbowlab: " << e.what() << "\n";
    return apps::kExitBadInput;
  }
}
