// Structural validation of a configuration file: keys, value types and ranges. Pure functions. Times in the
// files are seconds.
#pragma once

#include <nlohmann/json.hpp>

namespace oxbowspread::config {

// Checks a reloaded file against the running one: values may differ, but every key of the running file except
// a few optional ones must be present with the same type. Throws Error with the path of the first key at
// fault, such as "settings.limits.send-cap".
void CheckSameStructure(const nlohmann::json& running, const nlohmann::json& next);

// Checks the settings on their own: throws Error with the path of the first key that is missing, has the
// wrong type or is out of range. Keys that the relay doesn't read may hold anything.
void CheckSettings(const nlohmann::json& settings);

}  // namespace oxbowspread::config
