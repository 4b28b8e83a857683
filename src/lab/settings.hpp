// What the platform tells a relay of a day of the model: the settings in the platform's JSON. Nothing fails.
#pragma once

#include <cstdint>
#include <string>

#include "check/checker.hpp"
#include "check/tally.hpp"
#include "model/day.hpp"

namespace oxbowspread::lab {

// `rank` counts relays from 0. Spans in seconds, as the keys' names say. `day` is of `scenario`.
std::string SettingsOf(const model::Scenario& scenario, const model::Day& day, int rank);
// For random numbers; new with each life, counted from 0.
std::uint64_t SeedOf(const model::Day& day, int relay, int life);
// What the rules and the counting of service are on such a day.
check::Rules RulesOf(const model::Scenario& scenario);
check::Scoring ScoringOf(const model::Scenario& scenario, const model::Day& day);

}  // namespace oxbowspread::lab
