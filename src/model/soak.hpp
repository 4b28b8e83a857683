// A short day with random faults for soak tests on real processes: relays are killed, restarted, stopped and
// signalled, hosts drain and fail, and discovery fails in every way that the model implements. The same seed
// gives the same day. No I/O.
#pragma once

#include <cstdint>

#include "model/scenario.hpp"

namespace oxbowspread::model {

// The scenario is named after the seed. A run takes about 20 s, including the time after the end of the day.
// On each such day hosts drain and relays are restarted.
Scenario DrawSoak(std::uint64_t seed);

// The day of the same seed with less memory, processes that are killed again soon after their start, signals
// in series and, on most days, crowds of clients that send nothing or stop within a large request.
Scenario DrawCrowdedSoak(std::uint64_t seed);

}  // namespace oxbowspread::model
