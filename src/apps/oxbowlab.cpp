// oxbowlab: plays days of the platform's model around relays, checks every rule, counts the service, and
// keeps, compares and draws what came of them.
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
#include "lab/stage.hpp"
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

constexpr int kBroken = 1;  // a rule was broken, a relay crashed, or the run was spoilt

struct Day {
  std::string file, trace, relay;
  std::vector<std::string> sets;
  std::uint64_t seed = 1;
  bool json = false;
};

int Play(const Day& wanted, bool on_sockets) {
  const model::Scenario scenario = model::ReadScenario(wanted.file, wanted.sets);
  const model::Day day = model::DrawDay(scenario, wanted.seed);
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("oxbowlab-" + std::to_string(getpid()))).string();
  std::ofstream trace;
  lab::OnTrace keep;
  if (!wanted.trace.empty()) {
    trace.open(wanted.trace);
    if (!trace) throw yaml::Error(wanted.trace + ": can't be written");
    keep = [&](const trace::Event& event) { trace << trace::ToLine(event) << "\n"; };
  }
  const lab::Outcome outcome = on_sockets ? lab::Play(scenario, day, {wanted.relay, folder, keep})
                                          : lab::Simulate(scenario, day, {folder, keep});
  if (wanted.json) {
    std::cout << lab::ReportOf(outcome, day, scenario.name).dump() << "\n";
  } else {
    std::cout << lab::TextOf(outcome, day, scenario.name);
  }
  return outcome.clean() ? 0 : kBroken;
}

// ---- soak ----

struct Soak {
  std::string seeds = "1-10", relay, program, keep;
  int jobs = 2;
};

// One day in this process; its report as JSON.
int PlaySoak(std::uint64_t seed, const std::string& relay, const std::string& folder) {
  const model::Scenario scenario = model::DrawSoak(seed);
  const model::Day day = model::DrawDay(scenario, seed);
  const std::string at =
      folder.empty()
          ? (std::filesystem::temp_directory_path() / ("oxbowlab-" + std::to_string(getpid()))).string()
          : folder + "/" + scenario.name;
  std::ofstream trace;
  lab::OnTrace keep;
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
    trace.open(at + ".trace");
    keep = [&](const trace::Event& event) { trace << trace::ToLine(event) << "\n"; };
  }
  const lab::Outcome outcome = lab::Play(scenario, day, {relay, at, keep});
  std::cout << lab::ReportOf(outcome, day, scenario.name).dump() << "\n";
  return outcome.clean() ? 0 : kBroken;
}

void PrintSoak(std::uint64_t seed, const Json& report) {
  const Json& breaches = report.at("breaches");
  std::string broken;
  for (const Json& breach : breaches) {
    const std::string rule = breach.at("rule");
    if (broken.find(rule) == std::string::npos) broken += (broken.empty() ? "" : " ") + rule;
  }
  const Json& figures = report.at("figures");
  std::printf("| %llu | %ld | %ld, %ld | %zu %s | %s | %s |\n", static_cast<unsigned long long>(seed),
              figures.at("calls").get<long>(), figures.at("asked").get<long>(),
              figures.at("delivered").get<long>(), breaches.size(), broken.c_str(),
              report.at("crash").get<std::string>().c_str(), report.at("spoilt").get<std::string>().c_str());
  std::fflush(stdout);
}

// Each day is a process of its own. Ends with kBroken if a rule was broken or a relay crashed; a day that the
// load spoilt is shown with what it broke, which may be the load's doing, and only a crash counts on it.
int RunSoak(const Soak& soak) {
  const auto seeds = results::ParseSeeds(soak.seeds);
  std::printf("| seed | calls | asked, delivered | breaches | crash | spoilt |\n");
  std::printf("| --- | --- | --- | --- | --- | --- |\n");
  std::mutex lock;
  std::atomic<std::size_t> next{0};
  std::size_t bad = 0, spoilt = 0;
  std::string fault;
  const auto play = [&] {
    for (std::size_t i = next++; i < seeds.size(); i = next++) {
      std::vector<std::string> words = {soak.program, "soak",    "--one", std::to_string(seeds[i]),
                                        "--relay",    soak.relay};
      if (!soak.keep.empty()) words.insert(words.end(), {"--keep", soak.keep});
      const results::ProcessResult ran = results::RunProcess(words);
      const std::lock_guard<std::mutex> hold(lock);
      if (ran.exit_code != 0 && ran.exit_code != kBroken) {
        if (fault.empty()) fault = "seed " + std::to_string(seeds[i]) + ": " + ran.err;
        continue;
      }
      const Json report = Json::parse(ran.out);
      PrintSoak(seeds[i], report);
      const bool late = !report.at("spoilt").get<std::string>().empty();
      const bool crashed = !report.at("crash").get<std::string>().empty();
      const bool broken = crashed || (!late && !report.at("breaches").empty());
      bad += broken;
      spoilt += !broken && ran.exit_code != 0;
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < soak.jobs; ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  std::printf("%zu days: %zu with a broken rule or a crash, %zu spoilt by the load\n", seeds.size(), bad,
              spoilt);
  if (!fault.empty()) throw std::runtime_error(fault);
  return bad == 0 ? 0 : kBroken;
}

int Check(const std::string& file, const std::string& scenario_file) {
  std::ifstream in(file);
  if (!in) throw yaml::Error(file + ": can't be read");
  check::Rules rules;
  if (!scenario_file.empty()) rules = lab::RulesOf(model::ReadScenario(scenario_file));
  check::Checker checker(rules);
  std::string line;
  std::uint64_t number = 0;
  while (std::getline(in, line)) {
    ++number;
    try {
      checker.See(trace::FromLine(line));
    } catch (const std::exception& e) {
      // A last line without its end is one that was cut short: the checker says so.
      if (in.eof()) break;
      throw yaml::Error(file + ":" + std::to_string(number) + ": " + e.what());
    }
  }
  checker.Finish();
  for (const check::Breach& b : checker.breaches()) {
    std::printf("%.6f s: %s, %s: %s\n", static_cast<double>(b.at.count()) / 1e6, b.rule.c_str(),
                b.message.c_str(), b.events.c_str());
  }
  std::printf("%llu events, %llu calls, %zu breaches", static_cast<unsigned long long>(number),
              static_cast<unsigned long long>(checker.calls()), checker.breaches().size());
  if (checker.cut_short()) std::printf(", cut short with %zu messages undecided", checker.undecided());
  std::printf("\n");
  return checker.breaches().empty() && !checker.cut_short() ? 0 : kBroken;
}

// ---- experiments ----

struct Sweep {
  std::vector<std::string> scenarios, sets;
  std::string out, seeds = "1-5", label = "now", driver = "sim", relay, program;
  int jobs = 0;
};

struct Work {
  results::Key key;
  std::string file;
};

std::vector<Work> PlanOf(const Sweep& sweep) {
  const auto seeds = results::ParseSeeds(sweep.seeds);
  const auto variants = results::ExpandVariants(sweep.sets);
  std::vector<Work> all;
  for (const std::string& file : sweep.scenarios) {
    for (const std::string& variant : variants) {
      // All is read before anything is played: a fault in the last one must not come after an hour.
      const model::Scenario scenario = model::ReadScenario(file, results::SplitVariant(variant));
      for (const std::uint64_t seed : seeds) {
        all.push_back({{sweep.label, scenario.name, scenario.version, variant, seed, sweep.driver}, file});
      }
    }
  }
  return all;
}

void Progress(std::size_t done, std::size_t all, std::size_t bad) {
  if (isatty(STDERR_FILENO) == 0) return;
  constexpr std::size_t kWidth = 40;
  const std::size_t filled = all == 0 ? kWidth : kWidth * done / all;
  std::fprintf(stderr, "\r[%s%s] %zu of %zu days%s", std::string(filled, '#').c_str(),
               std::string(kWidth - filled, '.').c_str(), done, all,
               bad > 0 ? (", " + std::to_string(bad) + " not clean").c_str() : "");
  if (done == all) std::fprintf(stderr, "\n");
}

// Each day is a process of its own: one that crashes takes nothing with it.
results::Row PlayApart(const Sweep& sweep, const Work& work) {
  std::vector<std::string> words = {sweep.program, sweep.driver, work.file,
                                    "--json",      "--seed",     std::to_string(work.key.seed)};
  for (const std::string& set : results::SplitVariant(work.key.variant)) {
    words.insert(words.end(), {"--set", set});
  }
  if (sweep.driver == "run") words.insert(words.end(), {"--relay", sweep.relay});
  const results::ProcessResult ran = results::RunProcess(words);
  if (ran.exit_code != 0 && ran.exit_code != kBroken) {
    throw std::runtime_error(
        work.key.scenario + " seed " + std::to_string(work.key.seed) + ": " +
        (ran.exit_code < 0 ? "ended by a signal" : ran.err.substr(0, ran.err.find('\n'))));
  }
  return {work.key, Json::parse(ran.out)};
}

int RunSweep(const Sweep& sweep) {
  const std::vector<Work> all = PlanOf(sweep);
  results::ResultStore kept(sweep.out);
  std::vector<const Work*> open;
  for (const Work& work : all) {
    if (!kept.Contains(work.key)) open.push_back(&work);
  }
  const std::size_t known = all.size() - open.size();
  std::mutex lock;
  std::size_t done = known, bad = 0;
  std::string fault;
  std::atomic<std::size_t> next{0};
  Progress(done, all.size(), bad);
  const auto play = [&] {
    for (std::size_t i = next++; i < open.size(); i = next++) {
      const Work& work = *open[i];
      try {
        const results::Row row = PlayApart(sweep, work);
        const std::lock_guard<std::mutex> hold(lock);
        kept.Put(row);
        ++done;
        if (!row.clean()) ++bad;
        Progress(done, all.size(), bad);
      } catch (const std::exception& e) {
        const std::lock_guard<std::mutex> hold(lock);
        if (fault.empty()) fault = e.what();
        next = open.size();  // what is kept is kept; the rest is for another time
      }
    }
  };
  const int most =
      sweep.driver == "run" ? 2 : static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  std::vector<std::thread> threads;
  for (int i = 0; i < (sweep.jobs > 0 ? sweep.jobs : most); ++i) threads.emplace_back(play);
  for (std::thread& thread : threads) thread.join();
  std::printf("%zu days: %zu played, %zu known already, %zu not clean\n", all.size(), done - known, known,
              bad);
  if (!fault.empty()) {
    std::cerr << "oxbowlab: " << fault << "\n";
    return kBroken;
  }
  return bad == 0 ? 0 : kBroken;
}

// The highest value at which every seed's day stays within the bounds.
int RunSearch(const Sweep& sweep, const std::string& key, double low, double high, double tolerance,
              const results::Bounds& bounds) {
  if (!(low < high)) throw std::runtime_error("search: --from must be below --to");
  const auto seeds = results::ParseSeeds(sweep.seeds);
  const auto setting = [&](double value) {
    char text[40];
    std::snprintf(text, sizeof text, "%g", value);
    return key + "=" + text;
  };
  const std::string& file = sweep.scenarios.front();
  // All faults come before anything is played.
  const std::string fixed = results::ExpandVariants(sweep.sets).front();
  const auto variant = [&](double value) { return fixed + (fixed.empty() ? "" : " ") + setting(value); };
  const model::Scenario scenario = model::ReadScenario(file, results::SplitVariant(variant(low)));
  model::ReadScenario(file, results::SplitVariant(variant(high)));
  std::printf("%-28s %6s %10s %10s %10s   within\n", "setting", "days", "p99 ms", "refused", "delivered");
  const auto good = [&](double value) {
    double p99 = 0, refused = 0, delivered = 1;
    bool all = true;
    for (const std::uint64_t seed : seeds) {
      const results::Row row = PlayApart(
          sweep, {{"search", scenario.name, scenario.version, variant(value), seed, sweep.driver}, file});
      const double asked = std::max(1.0, row.Number("figures/asked"));
      p99 = std::max(p99, row.Number("figures/deliver_p99_ms"));
      refused = std::max(refused, (row.Number("figures/turned_away") + row.Number("figures/unanswered") +
                                   row.Number("figures/deferred")) /
                                      asked);
      delivered = std::min(delivered, row.Number("figures/delivered") / asked);
      all = results::IsWithin(row, bounds) && all;
    }
    std::printf("%-28s %6zu %10.0f %10.4f %10.4f   %s\n", setting(value).c_str(), seeds.size(), p99, refused,
                delivered, all ? "yes" : "no");
    std::fflush(stdout);
    return all;
  };
  const auto tried = results::SearchHighest(low, high, tolerance, good);
  double best = low;
  bool any = false;
  for (const results::Trial& t : tried) {
    if (t.good) best = std::max(best, t.value), any = true;
  }
  std::printf(any ? "highest within: %s%s\n" : "none within: not even %s%s\n", setting(best).c_str(),
              any && best >= high ? ", the end of the span" : "");
  return any ? 0 : kBroken;
}

int Compare(const std::string& file, const std::string& a, const std::string& b, const std::string& figure,
            bool json) {
  const auto rows = results::ResultStore(file).ReadAll();
  const auto table =
      results::Compare(rows, results::ParseSelector(a), results::ParseSelector(b), "figures/" + figure);
  if (table.back().pairs == 0) {
    throw std::runtime_error("no day was played cleanly by both '" + a + "' and '" + b + "' with a " +
                             figure);
  }
  Json all = Json::array();
  if (!json) std::printf("%-24s %6s %10s %10s %10s   95%% of it\n", "scenario", "pairs", "a", "b", "b - a");
  for (const results::Difference& d : table) {
    all.push_back({{"scenario", d.scenario},
                   {"pairs", d.pairs},
                   {"a", d.a},
                   {"b", d.b},
                   {"difference", d.mean},
                   {"low", d.low},
                   {"high", d.high}});
    if (json) continue;
    std::printf("%-24s %6zu %10.4f %10.4f %+10.4f   %+.4f to %+.4f%s\n", d.scenario.c_str(), d.pairs, d.a,
                d.b, d.mean, d.low, d.high, d.low > 0 || d.high < 0 ? "" : "  (may be none)");
  }
  if (json) std::cout << all.dump() << "\n";
  return 0;
}

int Report(const std::string& file, const std::string& out, const std::string& svg_folder) {
  const auto rows = results::ResultStore(file).ReadAll();
  if (rows.empty()) throw std::runtime_error(file + ": holds no results");
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
      "Plays days of the platform's model around relays, checks every rule, and counts the service.");
  app.set_version_flag("--version", OXBOWSPREAD_VERSION);
  app.require_subcommand(1);
  const std::string beside = (std::filesystem::path(argv[0]).parent_path() / "oxbowspread").string();

  Day day;
  day.relay = beside;
  CLI::App* const sim = app.add_subcommand("sim", "one day on a virtual clock");
  CLI::App* const run = app.add_subcommand("run", "one day on loopback sockets, in real time");
  for (CLI::App* const one : {sim, run}) {
    one->add_option("SCENARIO", day.file, "YAML file")->required();
    one->add_option("--seed", day.seed, "which day (1)");
    one->add_option("--set", day.sets, "KEY=VALUE laid over the scenario, such as traffic.load=0.9");
    one->add_flag("--json", day.json, "one JSON object");
    one->add_option("--trace", day.trace, "all that crossed, one JSON object a line");
  }
  run->add_option("--relay", day.relay, "the relay's program (beside this one)");

  Soak soaked;
  soaked.relay = beside;
  soaked.program = argv[0];
  std::uint64_t one_seed = 0;
  CLI::App* const soak = app.add_subcommand("soak", "days on sockets with faults drawn from seeds");
  soak->add_option("--seeds", soaked.seeds, "such as 1-50 (1-10)");
  soak->add_option("--jobs", soaked.jobs, "days at once (2)")->check(CLI::Range(1, 64));
  soak->add_option("--relay", soaked.relay, "the relay's program (beside this one)");
  soak->add_option("--keep", soaked.keep,
                   "a folder for traces, and for what relays leave on days that are not clean");
  soak->add_option("--one", one_seed, "this day alone, in this process; one JSON object");

  std::string file, scenario_file;
  CLI::App* const check = app.add_subcommand("check", "the rules, on a trace that was kept");
  check->add_option("TRACE", file, "one JSON object a line")->required();
  check->add_option("--scenario", scenario_file, "whose figures the rules have");

  Sweep sweep;
  sweep.relay = beside;
  sweep.program = argv[0];
  CLI::App* const many =
      app.add_subcommand("sweep", "many days, side by side; goes on where it was broken off");
  many->add_option("SCENARIO", sweep.scenarios, "YAML files")->required();
  many->add_option("--out", sweep.out, "file of results (SQLite)")->required();
  many->add_option("--seeds", sweep.seeds, "such as 1-20 (1-5)");
  many->add_option("--set", sweep.sets, "KEY=VALUE,VALUE: each value a variant; several: their product");
  many->add_option("--label", sweep.label, "what is tried, such as a program's version (now)");
  many->add_option("--driver", sweep.driver, "sim or run (sim)")->check(CLI::IsMember({"sim", "run"}));
  many->add_option("--jobs", sweep.jobs, "days at once (one a core; 2 with run)")->check(CLI::Range(1, 256));
  many->add_option("--relay", sweep.relay, "with run: the relay's program");

  std::string key = "traffic.load";
  double low = 0.1, high = 3, tolerance = 0.02;
  results::Bounds bounds;
  CLI::App* const search = app.add_subcommand("search", "the highest value of a setting within bounds");
  std::string one_file;
  search->add_option("SCENARIO", one_file, "YAML file")->required();
  search->add_option("--key", key, "the setting (traffic.load)");
  search->add_option("--from", low, "good, one hopes (0.1)");
  search->add_option("--to", high, "not good, one hopes (3)");
  search->add_option("--tolerance", tolerance, "of the answer (0.02)")->check(CLI::Range(0.0001, 1.0));
  search->add_option("--p99-ms", bounds.max_deliver_p99_ms, "of delivery, from when due, at most (3000)");
  search->add_option("--refused", bounds.max_refused_share,
                     "turned away, given back or unanswered, a message (0.01)");
  search->add_option("--delivered", bounds.min_delivered_share, "share of the messages, at least (0.99)");
  search->add_option("--seeds", sweep.seeds, "all of which must be within (1-5)");
  search->add_option("--set", sweep.sets, "KEY=VALUE laid over the scenario");
  search->add_option("--driver", sweep.driver, "sim or run (sim)")->check(CLI::IsMember({"sim", "run"}));
  search->add_option("--relay", sweep.relay, "with run: the relay's program");

  std::string a, b, figure = "service", out, svg_folder;
  bool json = false;
  CLI::App* const compare = app.add_subcommand("compare", "two labels or variants, paired by day");
  compare->add_option("RESULTS", file, "file of results")->required();
  compare->add_option("A", a, "LABEL, LABEL:VARIANT, with @sim or @run behind it")->required();
  compare->add_option("B", b, "the same")->required();
  compare->add_option("--figure", figure, "of a report's figures (service)");
  compare->add_flag("--json", json, "one JSON list");
  CLI::App* const csv = app.add_subcommand("export", "results as CSV");
  csv->add_option("RESULTS", file, "file of results")->required();
  CLI::App* const report = app.add_subcommand("report", "results as one HTML page with charts");
  report->add_option("RESULTS", file, "file of results")->required();
  report->add_option("--out", out, "the page")->required();
  report->add_option("--svg", svg_folder, "a folder for the charts by themselves");

  if (const auto code = apps::Parse(app, "oxbowlab", argc, argv)) return *code;
  try {
    if (sim->parsed() || run->parsed()) return Play(day, run->parsed());
    if (soak->parsed() && one_seed > 0) return PlaySoak(one_seed, soaked.relay, soaked.keep);
    if (soak->parsed()) return RunSoak(soaked);
    if (check->parsed()) return Check(file, scenario_file);
    if (many->parsed()) return RunSweep(sweep);
    if (search->parsed()) {
      sweep.scenarios = {one_file};
      return RunSearch(sweep, key, low, high, tolerance, bounds);
    }
    for (CLI::App* const one : {compare, csv, report}) {
      if (one->parsed() && !std::filesystem::exists(file)) throw std::runtime_error(file + ": is not there");
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
