// The state that a sender has learned about endpoints, as values that one process can pass on to the next.
//
// The types are plain values that own all their data; only copying a string can throw. The initial values
// used for an endpoint and every rule that reads or updates these fields are in src/decide.cpp. Points in
// time are on the clock that is passed to Decider::Step(), which both processes must share. Time counts
// microseconds; fields whose name ends in _s are in seconds.
#pragma once

#include <chrono>
#include <string>

namespace wheathub {

// kCold: back after an outage, with reduced capacity.
enum class HealthState { kUp, kDown, kCold };

// What is known of a route: a destination, or a single endpoint if DestinationKind::separate_routes is set.
struct RouteState {
  using Time = std::chrono::microseconds;
  double tokens = 0;           // retry budget; a repeat costs one token
  Time gap{0},                 // mean span between calls; refusals widen it, served calls shrink it
      next_send_at{0},         // no call is sent earlier, because of the gap
      wait_until{0};           // end of the wait that an endpoint requested
  Time announced_interval{0},  // between calls, by this sender's share of the announced limit; 0: no limit
      call_interval{0},        // the same span, as learned from served and refused calls
      last_call_at{0};
  Time gap_widened_at = Time::min();
  double announced_limit_per_s = 0;  // calls a second for all senders together; 0: not announced
  Time down_since{0},                // start of the latest outage
      backoff{0};                    // shortest mean span between trials of a down endpoint
  Time cold_until{0};                // end of the warm-up time after the last outage that this sender noticed
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
  // The endpoint may have processed the message of the last failed call, so messages that must not be
  // repeated are not sent to it.
  bool failure_may_have_run = false;
  bool single_connect_failure = false;  // the only failure so far is one failed connect
  Time cold_since{0},                   // when the capacity is assumed to have started to grow
      failed_at = kNever;               // when the last call failed, or the end of a long requested wait
  Time warm_at{0};  // the full capacity is back by then, however late the return was noticed
};

// What is known of one endpoint and its route.
struct LearnedState {
  std::string endpoint;
  RouteState route;
  EndpointHealth health;
};

}  // namespace wheathub
