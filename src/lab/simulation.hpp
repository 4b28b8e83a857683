// A day of the model around real relays on a virtual clock, many in one process, as fast as it goes. The same
// scenario, seed and program give the same events.
#pragma once

#include <string>

#include "lab/node.hpp"
#include "lab/outcome.hpp"
#include "model/world.hpp"

namespace oxbowspread::lab {

struct SimulationOptions {
  std::string folder;  // for the relays' journals; emptied if it is there, and removed at the end
  OnTrace trace;       // told all events, after the checker; may be empty
};

// Throws std::filesystem::filesystem_error where the folder can't be used, and wheathub's
// std::invalid_argument where the scenario's settings can't work. Whatever a relay throws later is its crash.
Outcome Simulate(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options);

}  // namespace oxbowspread::lab
