// A day of the model around real relays on a virtual clock, many in one process, as fast as it goes. The same
// scenario, seed and program give the same events.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/node.hpp"
#include "lab/outcome.hpp"
#include "model/world.hpp"

namespace oxbowspread::lab {

struct SimulationOptions {
  std::string folder;   // for the relays' journals; made, and removed at the end
  OnTrace trace;        // told all events, after the checker; may be empty
  OnProgress progress;  // may be empty
};

// Throws std::runtime_error where the folder can't be used.
Outcome Simulate(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options);

}  // namespace oxbowspread::lab
