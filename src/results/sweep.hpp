// Which days a sweep plays: every scenario with every variant and every seed. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace oxbowspread::results {

// "1-20", "3", "1-5,9". Throws std::runtime_error in one line.
std::vector<std::uint64_t> ReadSeeds(const std::string& text);

// Each of `sets` is "KEY=VALUE,VALUE,..."; a value in brackets is one. The product of all, each as
// "KEY=VALUE KEY=VALUE" in the order of `sets`; one empty variant where there are none. Throws
// std::runtime_error in one line.
std::vector<std::string> ReadVariants(const std::vector<std::string>& sets);

// A variant's settings, apart.
std::vector<std::string> SettingsIn(const std::string& variant);

}  // namespace oxbowspread::results
