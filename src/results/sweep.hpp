// Plans the days of a sweep: every scenario with every variant and every seed. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oxbowspread::results {

// Parses a list of seeds, for example "1-20", "3" or "1-5,9". Throws std::runtime_error with a one-line
// message.
std::vector<std::uint64_t> ParseSeeds(const std::string& text);

// Each of `settings` is "KEY=VALUE,VALUE,..."; a value in brackets counts as one. Returns the Cartesian
// product, each variant as "KEY=VALUE KEY=VALUE" in the order of `settings`; one empty variant if there are
// none. Throws std::runtime_error with a one-line message.
std::vector<std::string> ExpandVariants(const std::vector<std::string>& settings);

// Splits a variant into its settings "KEY=VALUE".
std::vector<std::string> SplitVariant(const std::string& variant);

}  // namespace oxbowspread::results
