// What the platform tells a relay of a day of the model: the settings in the platform's JSON.
#pragma once

#include <string>

#include "check/checker.hpp"
#include "check/tally.hpp"
#include "model/day.hpp"

namespace oxbowspread::lab {

std::string SettingsOf(const model::Scenario& scenario, const model::Day& day, int rank);
check::Rules RulesOf(const model::Scenario& scenario);
check::Terms TermsOf(const model::Scenario& scenario);

}  // namespace oxbowspread::lab
