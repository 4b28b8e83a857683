// Validation of the structure of a configuration file: keys, value types and ranges. The functions have no
// side effects. Times in the files are in seconds.
#pragma once

#include <nlohmann/json.hpp>

namespace oxbowspread::config {

// Compares a reloaded file with the running one. Values may differ, but every key of the running file except
// a few optional ones must be present with the same type. Throws Error with the path of the first wrong key,
// such as "settings.limits.send-cap".
void CheckSameStructure(const nlohmann::json& running, const nlohmann::json& next);

// Checks the settings of one file. Throws Error with the path of the first key that is missing, has the wrong
// type or is out of range. Keys that the relay doesn't read may have any value.
void CheckSettings(const nlohmann::json& settings);

}  // namespace oxbowspread::config
