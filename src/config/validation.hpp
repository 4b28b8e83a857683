// Validation of the settings of one configuration file: keys, value types and ranges. Has no side effects.
// Times in the files are in seconds.
#pragma once

#include <nlohmann/json.hpp>

namespace oxbowspread::config {

// Checks the settings of one file. Throws Error with the path of the first key that is missing, has the wrong
// type or is out of range. Keys that the relay doesn't read may have any value.
void CheckSettings(const nlohmann::json& settings);

}  // namespace oxbowspread::config
