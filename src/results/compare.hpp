// Compares two sets of simulated days, paired by day: the mean difference and its confidence interval. No
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

// Selects rows: "LABEL", or "LABEL:VARIANT" (":" alone: no variant), either followed by "@sim" or "@run" to
// select one driver.
struct Selector {
  std::string label, variant, driver;
  bool any_variant = true;

  bool Matches(const Key& key) const;
};
// Accepts every text. Without a variant or a driver all of them are selected.
Selector ParseSelector(const std::string& text);

// The difference of one figure between selection a and selection b.
struct Difference {
  std::string scenario;  // "all" for the last
  std::size_t pairs = 0;
  double a = 0, b = 0;       // means
  double mean = 0;           // of b - a
  double low = 0, high = 0;  // bounds of the 95% bootstrap interval of `mean`
};

// Returns one difference per scenario, then one for all. A pair is left out if either row isn't clean; rows
// without a counterpart are left out. `driver` is part of the day only if neither selector names one.
// Deterministic: the bootstrap's resamples depend on the rows alone.
std::vector<Difference> Compare(const std::vector<Row>& rows, const Selector& a, const Selector& b,
                                const std::string& figure);

// Returns the bounds of the interval that contains 95% of the means of `resamples` resamples. With fewer than
// two values both bounds are their mean.
std::pair<double, double> Bootstrap(const std::vector<double>& values, std::uint64_t seed,
                                    int resamples = 2000);

}  // namespace oxbowspread::results
