// The settings that the platform gives to a relay on a day of the model, in the JSON format of the platform.
// No function here fails.
#pragma once

#include <cstdint>
#include <string>

#include "check/checker.hpp"
#include "check/tally.hpp"
#include "model/day.hpp"

namespace oxbowspread::lab {

// `rank` is the index of the relay from 0. Times are in seconds, as the names of the keys say. `day` must
// belong to `scenario`.
std::string SettingsOf(const model::Scenario& scenario, const model::Day& day, int rank);
// The random seed of a relay process: a new one for each process of the relay, counted from 0.
std::uint64_t RelaySeed(const model::Day& day, int relay, int process_number);
// The limits of the rules and the scoring of the service for a day of the scenario.
check::Rules RulesOf(const model::Scenario& scenario);
check::Scoring ScoringOf(const model::Scenario& scenario, const model::Day& day);

}  // namespace oxbowspread::lab
