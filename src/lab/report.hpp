// Formats the outcome of a run as JSON and as text. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "lab/outcome.hpp"
#include "model/day.hpp"

namespace oxbowspread::lab {

// Returns the whole outcome with the scheduled events of the day. `scenario` is the scenario's name.
nlohmann::ordered_json ToJson(const Outcome& outcome, const model::Day& day, const std::string& scenario);
// Returns a summary in a few lines, and one line for each breach.
std::string ToText(const Outcome& outcome, const model::Day& day, const std::string& scenario);

}  // namespace oxbowspread::lab
