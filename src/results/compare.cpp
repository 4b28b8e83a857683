#include "results/compare.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <tuple>

#include "model/random_stream.hpp"

namespace oxbowspread::results {
namespace {

double Mean(const std::vector<double>& values) {
  return values.empty()
             ? 0
             : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

// The values of a figure on the days that both selections have, and their differences b - a.
struct Pairs {
  std::vector<double> a, b, difference;
};

Difference Summarize(const std::string& scenario, const Pairs& pairs) {
  Difference result;
  result.scenario = scenario;
  result.pairs = pairs.difference.size();
  result.a = Mean(pairs.a);
  result.b = Mean(pairs.b);
  result.mean = Mean(pairs.difference);
  std::tie(result.low, result.high) = Bootstrap(pairs.difference, 1);
  return result;
}

}  // namespace

bool Selector::Matches(const Key& key) const {
  return key.label == label && (any_variant || key.variant == variant) &&
         (driver.empty() || key.driver == driver);
}

Selector ParseSelector(const std::string& text) {
  Selector selector;
  std::string rest = text;
  if (const std::size_t at = rest.rfind('@'); at != rest.npos) {
    selector.driver = rest.substr(at + 1);
    rest.resize(at);
  }
  const std::size_t colon = rest.find(':');
  selector.label = rest.substr(0, colon);
  if (colon != rest.npos) {
    selector.any_variant = false;
    selector.variant = rest.substr(colon + 1);
  }
  return selector;
}

std::pair<double, double> Bootstrap(const std::vector<double>& values, std::uint64_t seed, int resamples) {
  if (values.size() < 2) return {Mean(values), Mean(values)};
  model::RandomStream random(seed, "bootstrap");
  std::vector<double> means;
  means.reserve(static_cast<std::size_t>(resamples));
  for (int resample = 0; resample < resamples; ++resample) {
    double sum = 0;
    for (std::size_t i = 0; i < values.size(); ++i) sum += values[random.UniformBelow(values.size())];
    means.push_back(sum / static_cast<double>(values.size()));
  }
  std::sort(means.begin(), means.end());
  const auto value_at = [&](double share) {
    return means[static_cast<std::size_t>(std::lround(share * static_cast<double>(means.size() - 1)))];
  };
  return {value_at(0.025), value_at(0.975)};
}

std::vector<Difference> Compare(const std::vector<Row>& rows, const Selector& a, const Selector& b,
                                const std::string& figure) {
  // If neither selector names a variant, the rows are paired variant by variant.
  const bool by_variant = a.any_variant && b.any_variant;
  const bool by_driver = a.driver.empty() && b.driver.empty();
  using Day = std::tuple<std::string, std::string, std::uint64_t, std::string, std::string>;
  std::map<Day, const Row*> rows_of_a;
  const auto day = [&](const Key& key) {
    return Day(key.scenario, key.scenario_version, key.seed, by_variant ? key.variant : "",
               by_driver ? key.driver : "");
  };
  for (const Row& row : rows) {
    if (a.Matches(row.key)) rows_of_a[day(row.key)] = &row;
  }
  std::map<std::string, Pairs> scenarios;
  Pairs all;
  for (const Row& row : rows) {
    if (!b.Matches(row.key)) continue;
    const auto it = rows_of_a.find(day(row.key));
    if (it == rows_of_a.end() || !it->second->clean() || !row.clean()) continue;
    const double value_a = it->second->Number(figure), value_b = row.Number(figure);
    if (std::isnan(value_a) || std::isnan(value_b)) continue;
    for (Pairs* pairs : {&scenarios[row.key.scenario], &all}) {
      pairs->a.push_back(value_a);
      pairs->b.push_back(value_b);
      pairs->difference.push_back(value_b - value_a);
    }
  }
  std::vector<Difference> differences;
  for (const auto& [scenario, pairs] : scenarios) differences.push_back(Summarize(scenario, pairs));
  differences.push_back(Summarize("all", all));
  return differences;
}

}  // namespace oxbowspread::results
