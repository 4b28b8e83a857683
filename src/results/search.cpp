#include "results/search.hpp"

#include <algorithm>

namespace oxbowspread::results {

bool IsWithin(const Row& row, const Bounds& bounds) {
  const double asked = row.Number("figures/asked");
  if (!row.clean() || !(asked > 0)) return false;
  const double refused =
      row.Number("figures/turned_away") + row.Number("figures/unanswered") + row.Number("figures/deferred");
  return row.Number("figures/deliver_p99_ms") <= bounds.max_deliver_p99_ms &&
         refused <= bounds.max_refused_share * asked &&
         row.Number("figures/delivered") >= bounds.min_delivered_share * asked;
}

std::vector<Trial> SearchHighest(double low, double high, double tolerance,
                                 const std::function<bool(double)>& passes) {
  std::vector<Trial> trials;
  const auto try_value = [&](double value) {
    trials.push_back({value, passes(value)});
    return trials.back().passed;
  };
  if (!try_value(low) || try_value(high)) return trials;
  while (high - low > tolerance * high) {
    const double middle = low + (high - low) / 2;
    (try_value(middle) ? low : high) = middle;
  }
  return trials;
}

}  // namespace oxbowspread::results
