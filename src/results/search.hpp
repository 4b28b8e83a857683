// Searches the highest value of a setting at which simulated days stay within bounds. No I/O.
#pragma once

#include <functional>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

// The limits that a day must keep.
struct Bounds {
  double max_deliver_p99_ms = 3000;  // from when a message was due
  // Messages that were rejected, deferred or not answered, as a share of all.
  double max_refused_share = 0.01;
  double min_delivered_share = 0.99;
};

// Whether the day is clean and within all bounds.
bool IsWithin(const Row& row, const Bounds& bounds);

// A value that was tried, and whether it passed.
struct Trial {
  double value = 0;
  bool passed = false;
};

// Bisects between `low` and `high` until the interval is shorter than `tolerance` times its upper end.
// `passes` is called for `low` and `high` first, and is assumed to be true up to some value and false above
// it. Returns all trials in order. The highest one that passed is the answer; if none passed, there is no
// answer.
std::vector<Trial> SearchHighest(double low, double high, double tolerance,
                                 const std::function<bool(double)>& passes);

}  // namespace oxbowspread::results
