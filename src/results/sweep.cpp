#include "results/sweep.hpp"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace oxbowspread::results {
namespace {

constexpr std::uint64_t kMostSeeds = 1'000'000;

// At commas that stand in no bracket.
std::vector<std::string> Values(const std::string& text) {
  std::vector<std::string> all(1);
  int depth = 0;
  for (const char c : text) {
    if (c == '[') ++depth;
    if (c == ']') --depth;
    if (c == ',' && depth == 0) {
      all.emplace_back();
    } else {
      all.back() += c;
    }
  }
  return all;
}

}  // namespace

std::vector<std::uint64_t> ReadSeeds(const std::string& text) {
  const auto fail = [&] {
    throw std::runtime_error("seeds: must be such as 1-20 or 1,5,9, not '" + text + "'");
  };
  std::vector<std::uint64_t> seeds;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    std::uint64_t from = 0, to = 0;
    const char* const end = part.data() + part.size();
    auto [next, error] = std::from_chars(part.data(), end, from);
    to = from;
    if (error == std::errc() && next != end && *next == '-') {
      const auto second = std::from_chars(next + 1, end, to);
      next = second.ptr;
      error = second.ec;
    }
    if (error != std::errc() || next != end || to < from || to - from >= kMostSeeds) fail();
    for (std::uint64_t seed = from; seed <= to; ++seed) seeds.push_back(seed);
  }
  if (seeds.empty()) fail();
  return seeds;
}

std::vector<std::string> ReadVariants(const std::vector<std::string>& sets) {
  std::vector<std::string> variants = {""};
  for (const std::string& set : sets) {
    const std::size_t equals = set.find('=');
    if (equals == 0 || equals == set.npos || equals + 1 == set.size() || set.find(' ') != set.npos) {
      throw std::runtime_error("set: must be KEY=VALUE,VALUE without blanks, not '" + set + "'");
    }
    std::vector<std::string> next;
    for (const std::string& variant : variants) {
      for (const std::string& value : Values(set.substr(equals + 1))) {
        next.push_back(variant + (variant.empty() ? "" : " ") + set.substr(0, equals + 1) + value);
      }
    }
    variants = std::move(next);
  }
  return variants;
}

std::vector<std::string> SettingsIn(const std::string& variant) {
  std::vector<std::string> all;
  std::istringstream words(variant);
  for (std::string word; words >> word;) all.push_back(word);
  return all;
}

}  // namespace oxbowspread::results
