// What a sender has learned about endpoints, so that one process can pass it on to the next one.
//
// Plain values that own all they hold; nothing throws but the copying of strings. The initial values used for
// an endpoint and every rule that reads or updates these fields are in src/decide.cpp. Points in time are on
// the clock that is passed to Decider::Step(), which both processes must share. Time counts microseconds;
// fields whose name ends in _s are in seconds.
#pragma once

#include <chrono>
#include <string>

namespace wheathub {

enum class HealthState { kUp, kDown, kCold };  // kCold: back after an outage, with reduced capacity

// What is known of a route: a destination, or one endpoint where DestinationKind::separate_routes is set.
struct RouteState {
  using Time = std::chrono::microseconds;
  double tokens = 0;           // retry budget: repeats that may be sent
  Time gap{0},                 // mean span between calls; refusals widen it, served calls shrink it
      next_send_at{0},         // no call is sent earlier, because of the gap
      wait_until{0};           // end of the wait that an endpoint asked for
  Time announced_interval{0},  // between calls, by this sender's share of the announced limit; 0: no limit
      call_interval{0},        // the same span, as learned from served and refused calls
      last_call_at{0};
  Time gap_widened_at = Time::min();
  double announced_limit_per_s = 0;  // calls a second for all senders together; 0: not announced
  Time down_since{0},                // a point in time
      backoff{0};                    // a span
  Time cold_until{0};     // until then, the last outage seen here is less than the warm-up time ago
  Time next_trial_at{0};  // no earlier trial call to a down endpoint, and no earlier call to a cold one
};

// What is known of the health of one endpoint.
struct EndpointHealth {
  using Time = std::chrono::microseconds;
  static constexpr Time kNever = Time::min() / 2;
  double latency_s = 0;               // moving mean over served calls
  Time last_served_at = kNever,       // when the last served call ended
      connect_failed_at = kNever;     // when the last attempt to connect failed
  Time last_served_sent_at = kNever;  // latest send time of a call that was served
  HealthState state = HealthState::kUp;
  int consecutive_failures = 0;
  double failure_rate = 0;  // share of calls that failed while not down, moving mean
  // The last failure may have processed the message, so messages that must not be repeated are kept away.
  bool failure_may_have_run = false;
  bool single_connect_failure = false;  // the only failure so far is one attempt to connect
  Time cold_since{0},                   // since when the capacity is taken to grow
      failed_at = kNever;  // when the last call failed, or the end of a long wait that was asked for
  Time warm_at{0};         // the full capacity is back by then, however late the return was noticed
};

struct LearnedState {
  std::string endpoint;
  RouteState route;
  EndpointHealth health;
};

}  // namespace wheathub
