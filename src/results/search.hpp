// Searches the highest value of a setting at which simulated days stay within bounds. No I/O.
#pragma once

#include <functional>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

struct Bounds {
  double max_deliver_p99_ms = 3000;  // from when a message was due
  // Messages that were rejected, deferred or not answered, as a share of all.
  double max_refused_share = 0.01;
  double min_delivered_share = 0.99;
};

// Whether the day is clean and within all bounds.
bool IsWithin(const Row& row, const Bounds& bounds);

struct Trial {
  double value = 0;
  bool good = false;
};

// Bisects between `low` and `high` until the interval is below `tolerance` times its upper end. `good` is
// called for `low` and `high` first and is assumed to hold up to some value and not above it. Returns all
// trials in order; the highest good one is the answer, and if none is good there is no answer.
std::vector<Trial> SearchHighest(double low, double high, double tolerance,
                                 const std::function<bool(double)>& good);

}  // namespace oxbowspread::results
