// Formats the outcome of a run as JSON and as text. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "lab/outcome.hpp"
#include "model/day.hpp"

namespace oxbowspread::lab {

nlohmann::ordered_json ToJson(const Outcome& outcome, const model::Day& day, const std::string& scenario);
std::string ToText(const Outcome& outcome, const model::Day& day, const std::string& scenario);

}  // namespace oxbowspread::lab
