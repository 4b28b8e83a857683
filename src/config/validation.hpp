// Validation of the settings of one configuration file: keys, value types and ranges. Has no side effects.
// Times in the files are in seconds.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace oxbowspread::config {

// Checks the settings of one file. Throws Error with the path of the first key that is missing, has the wrong
// type or is out of range. Keys that the relay doesn't read may have any value.
void CheckSettings(const nlohmann::json& settings);

// Returns a line of text for each key of the settings that rules rest on and that is missing, with the
// default that takes its place. A file may lack them, but the operator has to know.
std::vector<std::string> DefaultedRuleKeys(const nlohmann::json& settings);

}  // namespace oxbowspread::config
