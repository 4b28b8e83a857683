// Random numbers in named streams: the same seed and name give the same numbers whatever else is drawn, so
// that two variants of a relay are compared on the same day. The generator is PCG (pcg-cpp), seeded with an
// xxHash of the name. The distributions are implemented here, since those of the standard library differ
// between implementations.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace oxbowspread::model {

// The interval from which a value is drawn uniformly.
struct Range {
  double low = 0, high = 0;
};

// A pseudo-random sequence. Not safe for use by several threads.
class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view name);

  double Uniform();  // in [0, 1)
  double UniformBetween(double low, double high);
  double UniformIn(const Range& range) { return UniformBetween(range.low, range.high); }
  std::uint64_t UniformBelow(std::uint64_t bound);  // in [0, bound); `bound` must be above 0
  bool Bernoulli(double chance) { return Uniform() < chance; }
  double Exponential(double mean);
  double LogNormal(double mean, double cv);  // cv: coefficient of variation, standard deviation over mean

 private:
  pcg64 engine_;
};

}  // namespace oxbowspread::model
