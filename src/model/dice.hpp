// Random numbers in named streams: the same seed and name give the same numbers whatever else is drawn, so
// that two variants of a relay meet the same day. By PCG (pcg-cpp), named by xxHash; the distributions are
// written out, since the standard library's differ from one to another.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace oxbowspread::model {

struct Range {
  double low = 0, high = 0;
};

class Dice {
 public:
  Dice(std::uint64_t seed, std::string_view name);

  double Share();  // from 0 to below 1
  double Between(double low, double high);
  double In(const Range& range) { return Between(range.low, range.high); }
  std::uint64_t Below(std::uint64_t bound);  // 0 to bound - 1; bound above 0
  bool Happens(double chance) { return Share() < chance; }
  double Exponential(double mean);
  double LogNormal(double mean, double cv);  // cv: standard deviation over mean

 private:
  pcg64 engine_;
};

}  // namespace oxbowspread::model
