// Tests of experiments: plans of sweeps, stored results, comparisons, tables and charts.
#include "results/results.hpp"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>

#include "results/child.hpp"
#include "results/compare.hpp"
#include "results/report.hpp"
#include "results/search.hpp"
#include "results/sweep.hpp"

namespace {

using namespace oxbowspread;
using results::Json;
using results::Key;
using results::Row;

// Returns the stored result of one day.
Row MakeRow(const std::string& label, const std::string& scenario, std::uint64_t seed, double service,
            const std::string& variant = {}, const std::string& driver = "sim") {
  Json report = {{"figures", {{"service", service}, {"asked", 100}, {"delivered", 90}, {"calls", 120}}},
                 {"breaches", Json::array()},
                 {"crash", ""},
                 {"spoilt", ""}};
  report["figures"]["worth_by_second"] = {1.0, 0.5, -1.0};
  report["figures"]["deliver_ms"] = {{"50", 300.0}, {"99", 2000.0}};
  report["figures"]["partners"] = {{{"partner", 0}, {"asked", 100}, {"calls", 120}, {"refused", 6}}};
  report["turns"] = {{{"at_s", 1.5}, {"what", "relay \"killed\" <1>"}}};
  return {{label, scenario, "t1", variant, seed, driver}, report};
}

// A path for a file that is removed at the end of the test.
class TemporaryFile {
 public:
  TemporaryFile()
      : path_((std::filesystem::temp_directory_path() / ("oxbow-results-" + std::to_string(getpid())))
                  .string()) {
    std::filesystem::remove(path_);
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace

TEST_CASE("sweep: parses seeds and variants", "[results]") {
  CHECK(results::ParseSeeds("1-3,9") == std::vector<std::uint64_t>{1, 2, 3, 9});
  for (const char* bad : {"", "3-1", "a", "1-", "1,,2", "1-99999999999"}) {
    CHECK_THROWS_AS(results::ParseSeeds(bad), std::runtime_error);
  }
  CHECK(results::ExpandVariants({}) == std::vector<std::string>{""});
  CHECK(results::ExpandVariants({"a=1,2", "b.c=[3,4],5"}) ==
        std::vector<std::string>{"a=1 b.c=[3,4]", "a=1 b.c=5", "a=2 b.c=[3,4]", "a=2 b.c=5"});
  CHECK(results::SplitVariant("a=1 b.c=[3,4]") == std::vector<std::string>{"a=1", "b.c=[3,4]"});
  for (const char* bad : {"a", "=1", "a=", "a=1 2"}) {
    CHECK_THROWS_AS(results::ExpandVariants({bad}), std::runtime_error);
  }
}

TEST_CASE("results: are found after the file was reopened, and only under their key", "[results]") {
  TemporaryFile file;
  const Row row = MakeRow("now", "calm", 18'000'000'000'000'000'000ull, 0.9);
  {
    results::ResultStore stored(file.path());
    CHECK_FALSE(stored.Contains(row.key));
    stored.Put(row);
    stored.Put(MakeRow("now", "calm", 2, 0.8));
  }
  results::ResultStore stored(file.path());
  CHECK(stored.Contains(row.key));
  Key other = row.key;
  other.scenario_version = "t2";
  CHECK_FALSE(stored.Contains(other));
  const auto rows = stored.ReadAll();
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].key.seed == 2);
  CHECK(rows[1].key == row.key);
  CHECK(rows[1].Number("figures/service") == 0.9);
  CHECK(std::isnan(rows[1].Number("figures/none")));
  CHECK(results::ToCsv({MakeRow("a,b", "calm", 1, 0.5)}) ==
        "label,scenario,variant,seed,driver,clean,service,asked,delivered,calls\n"
        "\"a,b\",calm,,1,sim,1,0.5,100,90,120\n");
}

TEST_CASE("compare: pairs results by day, omits days that are not clean, and gives a confidence interval",
          "[results]") {
  std::vector<Row> rows;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const double day_effect = 0.01 * static_cast<double>(seed);
    rows.push_back(MakeRow("old", "calm", seed, 0.5 + day_effect));
    rows.push_back(MakeRow("new", "calm", seed, 0.52 + day_effect + (seed % 2 == 0 ? 0.001 : -0.001)));
  }
  rows.push_back(MakeRow("old", "calm", 99, 0));  // the other label has no result for this seed
  Row crashed = MakeRow("old", "busy", 1, 0);
  crashed.report["crash"] = "n1 ended by signal 6";
  rows.push_back(crashed);
  rows.push_back(MakeRow("new", "busy", 1, 1));
  const auto table =
      results::Compare(rows, results::ParseSelector("old"), results::ParseSelector("new"), "figures/service");
  REQUIRE(table.size() == 2);
  CHECK(table[0].scenario == "calm");
  CHECK(table[0].pairs == 20);
  CHECK(table[0].mean == Approx(0.02));
  // The days differ by far more than the two labels, but the interval is narrow: it is that of the
  // differences.
  CHECK(table[0].low > 0.0190);
  CHECK(table[0].high < 0.0210);
  CHECK(table[0].low < 0.02);
  CHECK(table[1].scenario == "all");
  CHECK(table[1].pairs == 20);
}

TEST_CASE("compare: compares variants and drivers", "[results]") {
  std::vector<Row> rows;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    rows.push_back(MakeRow("now", "calm", seed, 0.5, "relay.slots=1"));
    rows.push_back(MakeRow("now", "calm", seed, 0.7));
    rows.push_back(MakeRow("now", "calm", seed, 0.6, "", "run"));
  }
  const auto difference = [&](const char* a, const char* b) {
    const auto table =
        results::Compare(rows, results::ParseSelector(a), results::ParseSelector(b), "figures/service");
    return std::pair(table.back().pairs, table.back().mean);
  };
  CHECK(difference("now:@sim", "now:relay.slots=1@sim").first == 3);
  CHECK(difference("now:@sim", "now:relay.slots=1@sim").second == Approx(-0.2));
  CHECK(difference("now:@sim", "now:@run").first == 3);
  CHECK(difference("now:@sim", "now:@run").second == Approx(-0.1));
  CHECK(difference("now", "then").first == 0);
}

TEST_CASE("bootstrap: the interval of several values contains their mean, that of one is the value",
          "[results]") {
  const auto one = results::Bootstrap({0.3}, 1);
  CHECK(one.first == 0.3);
  CHECK(one.second == 0.3);
  std::vector<double> values;
  for (int i = 0; i < 100; ++i) values.push_back(i % 2);
  const auto [low, high] = results::Bootstrap(values, 1);
  // 1.96 standard errors of 0.05 to each side.
  CHECK(low == Approx(0.402).margin(0.02));
  CHECK(high == Approx(0.598).margin(0.02));
  CHECK(results::Bootstrap(values, 1) == std::pair(low, high));
}

TEST_CASE("report: is one page with all charts, and its texts are escaped", "[results]") {
  const std::vector<Row> rows = {MakeRow("now", "calm", 1, 0.9),
                                 MakeRow("now", "calm", 1, 0.8, "relay.slots=1"),
                                 MakeRow("now", "calm", 1, 0.85, "relay.slots=2")};
  const auto charts = results::MakeCharts(rows);
  std::vector<std::string> names;
  for (const auto& chart : charts) names.push_back(chart.name);
  CHECK(names == std::vector<std::string>{"service", "curve-relay.slots-1", "time-calm", "latency-calm",
                                          "partners-calm"});
  std::vector<std::string> svg;
  for (const auto& chart : charts) svg.push_back(results::RenderSvg(chart));
  CHECK(svg[2].find("&lt;1") != std::string::npos);
  CHECK(svg[2].find("<1>") == std::string::npos);
  const std::string page = results::FormatPage(rows, charts, svg);
  std::size_t svg_count = 0;
  for (std::size_t at = page.find("<svg"); at != page.npos; at = page.find("<svg", at + 1)) ++svg_count;
  CHECK(svg_count == charts.size());
  CHECK(page.find("0.850") != std::string::npos);
  CHECK(page.find("http://") == page.find("http://www.w3.org"));  // the page loads nothing else
  CHECK_THROWS_AS(results::RenderSvg({"t", "n", "plot nonsense(\n"}), std::runtime_error);
}

TEST_CASE("child: returns output, errors and exit code, even if the output exceeds a pipe buffer",
          "[results]") {
  const auto result = results::RunProcess({"/bin/sh", "-c", "yes x | head -c 300000; echo bad >&2; exit 3"});
  CHECK(result.exit_code == 3);
  CHECK(result.out.size() == 300000);
  CHECK(result.err == "bad\n");
  CHECK(results::RunProcess({"/bin/sh", "-c", "kill -9 $$"}).exit_code == -1);
  CHECK_THROWS_AS(results::RunProcess({"/no/such/program"}), std::runtime_error);
}

TEST_CASE("search: finds the highest passing value within the tolerance, or none if none passes",
          "[results]") {
  const auto highest = [](double highest_passing) {
    double best = -1;
    const auto trials =
        results::SearchHighest(1, 5, 0.01, [&](double value) { return value <= highest_passing; });
    for (const results::Trial& trial : trials) {
      CHECK(trial.passed == (trial.value <= highest_passing));
      if (trial.passed) best = std::max(best, trial.value);
    }
    CHECK(trials.size() < 12);
    return best;
  };
  CHECK(highest(3.3) <= 3.3);
  CHECK(highest(3.3) > 3.3 * 0.985);
  CHECK(highest(9) == 5);
  CHECK(highest(0.5) == -1);
}

TEST_CASE("search: a day fails by each bound alone, and by a broken rule", "[results]") {
  Row row = MakeRow("now", "calm", 1, 0.9);
  row.report["figures"] = {{"asked", 1000},    {"delivered", 990}, {"deliver_p99_ms", 3000.0},
                           {"turned_away", 5}, {"unanswered", 3},  {"deferred", 2}};
  CHECK(results::IsWithin(row, {}));
  const auto within_bounds = [&](const char* figure, double value) {
    Row other = row;
    other.report["figures"][figure] = value;
    return results::IsWithin(other, {});
  };
  CHECK_FALSE(within_bounds("delivered", 989));
  CHECK_FALSE(within_bounds("deliver_p99_ms", 3001));
  CHECK_FALSE(within_bounds("turned_away", 6));
  CHECK_FALSE(within_bounds("unanswered", 4));
  CHECK_FALSE(within_bounds("deferred", 3));
  CHECK_FALSE(within_bounds("asked", 0));
  row.report["breaches"].push_back({{"rule", "lost"}});
  CHECK_FALSE(results::IsWithin(row, {}));
}
