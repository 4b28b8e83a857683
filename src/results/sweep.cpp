#include "results/sweep.hpp"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace oxbowspread::results {
namespace {

constexpr std::uint64_t kMaxSeedsPerRange = 1'000'000;

// Splits the text at commas outside brackets.
std::vector<std::string> SplitValues(const std::string& text) {
  std::vector<std::string> values(1);
  int depth = 0;
  for (const char c : text) {
    if (c == '[') ++depth;
    if (c == ']') --depth;
    if (c == ',' && depth == 0) {
      values.emplace_back();
    } else {
      values.back() += c;
    }
  }
  return values;
}

}  // namespace

std::vector<std::uint64_t> ParseSeeds(const std::string& text) {
  const auto fail = [&] {
    throw std::runtime_error("seeds: must be such as 1-20 or 1,5,9, not '" + text + "'");
  };
  std::vector<std::uint64_t> seeds;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    std::uint64_t first = 0, last = 0;
    const char* const end = part.data() + part.size();
    auto [next, error] = std::from_chars(part.data(), end, first);
    last = first;
    if (error == std::errc() && next != end && *next == '-') {
      const auto second = std::from_chars(next + 1, end, last);
      next = second.ptr;
      error = second.ec;
    }
    if (error != std::errc() || next != end || last < first || last - first >= kMaxSeedsPerRange) fail();
    for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
  }
  if (seeds.empty()) fail();
  return seeds;
}

std::vector<std::string> ExpandVariants(const std::vector<std::string>& settings) {
  std::vector<std::string> variants = {""};
  for (const std::string& setting : settings) {
    const std::size_t equals = setting.find('=');
    if (equals == 0 || equals == setting.npos || equals + 1 == setting.size() ||
        setting.find(' ') != setting.npos) {
      throw std::runtime_error("set: must be KEY=VALUE,VALUE without blanks, not '" + setting + "'");
    }
    std::vector<std::string> expanded;
    for (const std::string& variant : variants) {
      for (const std::string& value : SplitValues(setting.substr(equals + 1))) {
        expanded.push_back(variant + (variant.empty() ? "" : " ") + setting.substr(0, equals + 1) + value);
      }
    }
    variants = std::move(expanded);
  }
  return variants;
}

std::vector<std::string> SplitVariant(const std::string& variant) {
  std::vector<std::string> settings;
  std::istringstream words(variant);
  for (std::string word; words >> word;) settings.push_back(word);
  return settings;
}

}  // namespace oxbowspread::results
