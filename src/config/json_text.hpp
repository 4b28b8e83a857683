// Parser of the configuration file's JSON text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace oxbowspread::config {

// Parses the text of a file that contains one object. Throws Error if it contains anything else, and with the
// path of the key, such as "settings.services.key-scope", if an object has a key twice: the two values may
// contradict each other.
nlohmann::json ParseObject(const std::string& text);

}  // namespace oxbowspread::config
