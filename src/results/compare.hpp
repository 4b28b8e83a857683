// Two sets of played days side by side, paired by the day: what the difference is, and how sure. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

// Which rows: "LABEL", "LABEL:VARIANT" (":" alone: no variant), each with "@sim" or "@run" behind it if one
// driver is meant.
struct Selector {
  std::string label, variant, driver;
  bool any_variant = true;

  bool Takes(const Key& key) const;
};
Selector ReadSelector(const std::string& text);

struct Difference {
  std::string scenario;  // "all" for the last
  std::size_t pairs = 0;
  double a = 0, b = 0;       // means
  double mean = 0;           // of b - a
  double low = 0, high = 0;  // 95% of the bootstrap's means lie between
};

// One line a scenario, then one for all. A row that isn't clean is left out with its partner; rows without a
// partner are left out. `driver` counts as part of the day only where both selectors leave it open.
// Deterministic: the bootstrap's draws depend on the rows alone.
std::vector<Difference> Compare(const std::vector<Row>& rows, const Selector& a, const Selector& b,
                                const std::string& figure);

// The interval in which 95% of the means of `draws` resamples lie. Of one value or none: that value twice.
std::pair<double, double> Bootstrap(const std::vector<double>& values, std::uint64_t seed, int draws = 2000);

}  // namespace oxbowspread::results
