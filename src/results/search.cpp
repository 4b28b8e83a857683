#include "results/search.hpp"

#include <algorithm>

namespace oxbowspread::results {

bool Within(const Row& row, const Bounds& bounds) {
  const double asked = row.Number("figures/asked");
  if (!row.clean() || !(asked > 0)) return false;
  const double refused =
      row.Number("figures/turned_away") + row.Number("figures/unanswered") + row.Number("figures/deferred");
  return row.Number("figures/deliver_p99_ms") <= bounds.deliver_p99_ms && refused <= bounds.refused * asked &&
         row.Number("figures/delivered") >= bounds.delivered * asked;
}

std::vector<Tried> Search(double low, double high, double tolerance,
                          const std::function<bool(double)>& good) {
  std::vector<Tried> tried;
  const auto ask = [&](double value) {
    tried.push_back({value, good(value)});
    return tried.back().good;
  };
  if (!ask(low) || ask(high)) return tried;
  while (high - low > tolerance * high) {
    const double middle = low + (high - low) / 2;
    (ask(middle) ? low : high) = middle;
  }
  return tried;
}

}  // namespace oxbowspread::results
