// A simulated day: all random decisions that are made before the run, drawn from a scenario and a seed. Each
// part of the day has its own random stream, so that drawing more numbers for one part doesn't change
// another. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/scenario.hpp"

namespace oxbowspread::model {

// An endpoint that serves one partner. Rates are per second.
struct Host {
  std::string id, address;              // address:port; no socket listens there on a virtual clock
  int partner = 0, zone = 0, kind = 0;  // kind 0: large, 1: small
  double limit = 0;                     // calls per second, from all relays together
  double weight = 0;  // limit as the routing list announces it: up to 50% too high or too low
  int servers = 1;    // calls served concurrently
  double service_time_s = 0, service_time_cv = 0;  // mean, and coefficient of variation
  double max_queued_calls = 0;                     // calls that may wait for a server
  double error_rate = 0;                           // share of the calls that fail
  double retry_after_chance = 0;                   // chance that a refusal carries a Retry-After
  double min_retry_after_s = 0;  // lower bound of a Retry-After for a rate limit or a full queue
  double warm_up_start_share = 1, warm_up_s = 0;  // share of the capacity after an outage; time until full
  bool refused_calls_use_limit = false;           // a refused call counts against the limit, as a served one
  // Above 0: the limit is a number of calls in each fixed window of this length; the windows begin at the
  // offset. 0: the limit is a rate.
  double limit_window_s = 0, limit_window_offset_s = 0;
  bool present_at_start = true;  // false: a kAddHost event adds it

  double capacity() const { return servers / service_time_s; }  // calls per second
};

// A message that a client submits.
struct Arrival {
  Time due{0};
  int partner = 0;
  int local_relay = -1;  // the relay that the client is fixed to; -1: the load balancer chooses one
};

// An event at a fixed time, which doesn't depend on what the relays do.
struct ScheduledEvent {
  enum class Kind {
    kKillRelay,
    kTerminateRelay,
    kStartRelay,
    kStopRelay,
    kContinueRelay,
    kStartOutage,
    kEndOutage,
    kDrainHost,
    kRemoveHost,
    kAddHost,
    kSetListLag,
    kDiscoveryDown,
    kDiscoverySilent,
    kDiscoverySlow,
    kDiscoveryOverloaded,
    kDiscoveryRecovered,
    kTruncateList,
    kMoveDiscovery,
    kSignals,
    kIdleClients,
    kStoppedClients
  };
  Time at{0};
  Kind kind = Kind::kSetListLag;
  int index = -1;  // of the relay or the host
  // The meaning depends on the kind. kTerminateRelay: seconds between the exit and the restart. kStartOutage:
  // chance that a call fails; at 1 and above the host refuses every call. kSetListLag: seconds that are added
  // to the list's lag from now on. kDiscoverySlow: seconds per call. kDiscoveryDown: seconds until a call is
  // refused. kDiscoveryOverloaded: chance that a call is refused. kSignals, kIdleClients and kStoppedClients:
  // their number.
  double value = 0;
  Time until{0};  // kStartOutage: when it ends
};

// All that happens on one day, apart from what the relays cause.
struct Day {
  std::uint64_t seed = 0;
  Time length{0};
  int relays = 0;
  double load = 0;                     // share of full load
  double full_load_rate = 0;           // messages per second at full load
  std::vector<double> traffic_shares;  // by partner
  std::vector<Host> hosts;
  std::vector<Arrival> arrivals;                 // by time
  std::vector<ScheduledEvent> scheduled_events;  // by time
  int slots = 0, max_open = 0;                   // of each relay: calls in flight, open messages
  Time list_lag{0};                              // from a change of a host until the list contains it
  double retry_after_compliance = 0;             // chance that a client follows a Retry-After
};

// The same scenario and seed give the same day. Does not fail on a scenario that ReadScenario returned.
Day DrawDay(const Scenario& scenario, std::uint64_t seed);

}  // namespace oxbowspread::model
