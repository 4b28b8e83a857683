// Runs a day of the model on loopback sockets against real relay processes, in real time. The stand-ins share
// this process and its only thread. Their lateness is measured, and a run that was late because of them is
// marked invalid.
#pragma once

#include <string>

#include "lab/outcome.hpp"
#include "model/platform_model.hpp"

namespace oxbowspread::lab {

struct SocketRunOptions {
  std::string relay;   // path of the relay program
  std::string folder;  // for state, configuration and logs; emptied if it exists, removed after a clean run
  TraceSink trace;     // gets all events, after the checker; may be empty
  bool check_memory = false;         // whether a relay over its memory limit counts as crashed
  model::Time max_lateness{25'000};  // in microseconds; if the load is later than this, the run is invalid
};

// Blocks until the run is over; by then all processes that it started have ended. Throws std::runtime_error
// if the folder, a port or the relay program can't be used.
Outcome RunOnSockets(const model::Scenario& scenario, const model::Day& day, const SocketRunOptions& options);

}  // namespace oxbowspread::lab
