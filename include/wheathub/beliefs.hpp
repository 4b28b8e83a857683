// What a sender has come to believe of endpoints, so that one process can give it over to the next. Plain
// values: the figures they start from, and all that is done with them, are in src/decide.cpp. Moments are on
// the clock of Step(), which both processes must share; Time counts microseconds, names in _s are seconds.
// Nothing here throws but what strings do, or points anywhere.
#pragma once

#include <chrono>
#include <string>

namespace wheathub {

enum class State { kUp, kDown, kCold };

// What the design keeps per destination, or per endpoint where routes are apart.
struct RouteBelief {
  using Time = std::chrono::microseconds;
  double tokens = 0;                         // repeats that may go
  Time gap{0}, next_send{0}, wait_until{0};  // a span, and two moments
  Time told_turn{0}, turn{0}, next_turn{0};  // span of the part (0: not told), learned span, last call
  Time widened_at = Time::min();
  double told_limit = 0;           // calls a second for all senders; 0: not told
  Time down_since{0}, backoff{0};  // a moment, and a span
  Time cold_until{0};              // an outage was seen here less than the warm-up ago
  Time next_in_trouble{0};         // the next trial, or call to a cold endpoint
};

struct EndpointBelief {
  using Time = std::chrono::microseconds;
  static constexpr Time kNever = Time::min() / 2;
  double latency_s = 0;
  Time last_served = kNever, unconnected_at = kNever;  // last served call, last failed connect
  Time served_sent = kNever;                           // latest send of a call that was served
  State state = State::kUp;
  int strikes = 0;           // failures in a row
  double failing = 0;        // share of calls that failed while not down, moving mean
  bool eats = false;         // the trouble may have run what it took: no place for an unsafe message
  bool second_look = false;  // down by a lone failed connect
  Time cold_since{0}, failed_at = kNever;
  Time warm_by{0};  // it is warm then, however late it was found
};

struct Belief {
  std::string endpoint;
  RouteBelief route;
  EndpointBelief health;
};

}  // namespace wheathub
