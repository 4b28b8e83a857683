#include "model/random_stream.hpp"

#include <xxhash.h>

#include <cmath>
#include <numbers>

namespace oxbowspread::model {

RandomStream::RandomStream(std::uint64_t seed, std::string_view name)
    : engine_(XXH3_64bits_withSeed(name.data(), name.size(), seed), XXH64(name.data(), name.size(), 1)) {}

double RandomStream::Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
double RandomStream::UniformBetween(double low, double high) { return low + (high - low) * Uniform(); }
std::uint64_t RandomStream::UniformBelow(std::uint64_t bound) { return engine_(bound); }
double RandomStream::Exponential(double mean) { return -mean * std::log1p(-Uniform()); }

double RandomStream::LogNormal(double mean, double cv) {
  if (cv <= 0) return mean;
  const double variance = std::log1p(cv * cv);
  const double normal = std::sqrt(-2 * std::log1p(-Uniform())) * std::cos(2 * std::numbers::pi * Uniform());
  return mean * std::exp(std::sqrt(variance) * normal - variance / 2);
}

}  // namespace oxbowspread::model
