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

struct Pairs {
  std::vector<double> a, b, difference;
};

Difference Sum(const std::string& scenario, const Pairs& pairs) {
  Difference d;
  d.scenario = scenario;
  d.pairs = pairs.difference.size();
  d.a = Mean(pairs.a);
  d.b = Mean(pairs.b);
  d.mean = Mean(pairs.difference);
  std::tie(d.low, d.high) = Bootstrap(pairs.difference, 1);
  return d;
}

}  // namespace

bool Selector::Takes(const Key& key) const {
  return key.label == label && (any_variant || key.variant == variant) &&
         (driver.empty() || key.driver == driver);
}

Selector ReadSelector(const std::string& text) {
  Selector s;
  std::string rest = text;
  if (const std::size_t at = rest.rfind('@'); at != rest.npos) {
    s.driver = rest.substr(at + 1);
    rest.resize(at);
  }
  const std::size_t colon = rest.find(':');
  s.label = rest.substr(0, colon);
  if (colon != rest.npos) {
    s.any_variant = false;
    s.variant = rest.substr(colon + 1);
  }
  return s;
}

std::pair<double, double> Bootstrap(const std::vector<double>& values, std::uint64_t seed, int draws) {
  if (values.size() < 2) return {Mean(values), Mean(values)};
  model::RandomStream random(seed, "bootstrap");
  std::vector<double> means;
  means.reserve(static_cast<std::size_t>(draws));
  for (int d = 0; d < draws; ++d) {
    double sum = 0;
    for (std::size_t i = 0; i < values.size(); ++i) sum += values[random.UniformBelow(values.size())];
    means.push_back(sum / static_cast<double>(values.size()));
  }
  std::sort(means.begin(), means.end());
  const auto at = [&](double share) {
    return means[static_cast<std::size_t>(std::lround(share * static_cast<double>(means.size() - 1)))];
  };
  return {at(0.025), at(0.975)};
}

std::vector<Difference> Compare(const std::vector<Row>& rows, const Selector& a, const Selector& b,
                                const std::string& figure) {
  // A side that leaves its variant open is paired variant by variant, if the other leaves it open too.
  const bool by_variant = a.any_variant && b.any_variant;
  const bool by_driver = a.driver.empty() && b.driver.empty();
  using Day = std::tuple<std::string, std::string, std::uint64_t, std::string, std::string>;
  std::map<Day, const Row*> left;
  const auto day = [&](const Key& key) {
    return Day(key.scenario, key.text, key.seed, by_variant ? key.variant : "", by_driver ? key.driver : "");
  };
  for (const Row& row : rows) {
    if (a.Takes(row.key)) left[day(row.key)] = &row;
  }
  std::map<std::string, Pairs> scenarios;
  Pairs all;
  for (const Row& row : rows) {
    if (!b.Takes(row.key)) continue;
    const auto it = left.find(day(row.key));
    if (it == left.end() || !it->second->clean() || !row.clean()) continue;
    const double va = it->second->Number(figure), vb = row.Number(figure);
    if (std::isnan(va) || std::isnan(vb)) continue;
    for (Pairs* pairs : {&scenarios[row.key.scenario], &all}) {
      pairs->a.push_back(va);
      pairs->b.push_back(vb);
      pairs->difference.push_back(vb - va);
    }
  }
  std::vector<Difference> table;
  for (const auto& [scenario, pairs] : scenarios) table.push_back(Sum(scenario, pairs));
  table.push_back(Sum("all", all));
  return table;
}

}  // namespace oxbowspread::results
