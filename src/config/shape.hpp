// Whether a configuration read anew is whole: it may say other things than the running one, but nothing that
// the running one says may be missing or of another kind. Pure functions; times in the files are seconds.
#pragma once

#include <nlohmann/json.hpp>

namespace oxbowspread::config {

// Throws Error that names the first key at fault, as a path such as "settings.limits.send-cap".
void CheckShape(const nlohmann::json& running, const nlohmann::json& next);

// What no relay could work with, whatever it runs with: a key that is missing, of another kind or out of
// range. Keys that the relay doesn't read may hold anything. Throws Error that names the key, as above.
void CheckSettings(const nlohmann::json& settings);

}  // namespace oxbowspread::config
