// A day of the model on loopback sockets around real relay processes, in real time. The stand-ins share this
// process and its one thread: how late they were is measured, and a run that they spoilt says so.
#pragma once

#include <string>

#include "lab/outcome.hpp"
#include "model/world.hpp"

namespace oxbowspread::lab {

struct StageOptions {
  std::string relay;  // the program
  std::string
      folder;     // for states, configurations and logs; emptied if it is there, and removed at a clean end
  OnTrace trace;  // told all events, after the checker; may be empty
  model::Time most_late{25'000};  // in microseconds: a load that came later than this spoils the run
};

// Blocks until the day is over; all processes that it started have ended then. Throws std::runtime_error
// where the folder, a port or the program can't be used.
Outcome Play(const model::Scenario& scenario, const model::Day& day, const StageOptions& options);

}  // namespace oxbowspread::lab
