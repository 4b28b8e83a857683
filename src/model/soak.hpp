// A short day with faults drawn at random from a seed, for soak tests on real processes: relays that are
// killed, restarted, stopped and signalled, hosts that drain and fail, and a discovery that is ill in every
// way that the model has. The same seed gives the same day. No I/O.
#pragma once

#include <cstdint>

#include "model/scenario.hpp"

namespace oxbowspread::model {

// Named after the seed; about 20 s with its end. Hosts drain on each such day, and relays are restarted.
Scenario DrawSoak(std::uint64_t seed);

}  // namespace oxbowspread::model
