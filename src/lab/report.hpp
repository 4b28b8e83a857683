// A played day as a report: for programs (JSON) and for people. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "lab/outcome.hpp"
#include "model/day.hpp"

namespace oxbowspread::lab {

nlohmann::ordered_json ReportOf(const Outcome& outcome, const model::Day& day, const std::string& scenario);
std::string TextOf(const Outcome& outcome, const model::Day& day, const std::string& scenario);

}  // namespace oxbowspread::lab
