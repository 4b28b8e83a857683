// Runs a day of the model against real relays on a virtual clock: many relays in one process, as fast as the
// machine allows. The same scenario, seed and program give the same events.
#pragma once

#include <string>

#include "lab/outcome.hpp"
#include "lab/simulated_relay.hpp"
#include "model/platform_model.hpp"

namespace oxbowspread::lab {

struct SimulationOptions {
  std::string folder;  // for the relays' journals; emptied if it exists, and removed at the end
  TraceSink trace;     // gets all events, after the checker; may be empty
};

// Throws std::filesystem::filesystem_error if the folder can't be used, and std::invalid_argument of wheathub
// if the settings of the scenario are invalid. An exception of a relay during the run is reported as its
// crash.
Outcome Simulate(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options);

}  // namespace oxbowspread::lab
