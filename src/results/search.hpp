// The highest value of one setting at which played days stay within bounds. No I/O.
#pragma once

#include <functional>
#include <vector>

#include "results/results.hpp"

namespace oxbowspread::results {

struct Bounds {
  double deliver_p99_ms = 3000;  // from when a message was due
  double refused =
      0.01;  // messages turned away or given back, and what nobody answered, over those asked for
  double delivered = 0.99;  // share of the messages, at least
};

// A clean day within all of them.
bool Within(const Row& row, const Bounds& bounds);

struct Tried {
  double value = 0;
  bool good = false;
};

// Halves the span between `low` and `high` until it is below `tolerance` of its upper end. `good` is asked
// for `low` and `high` first and is taken to hold below some value and not above it. Returns what was tried,
// in that order; the highest good one is the answer, and where none is good there is none.
std::vector<Tried> Search(double low, double high, double tolerance, const std::function<bool(double)>& good);

}  // namespace oxbowspread::results
