// A scenario: the ranges from which a day of the platform is drawn, and the faults of the day, as an operator
// writes them in YAML. Every error of reading or validation names the file, the line and the key.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "model/random_stream.hpp"
#include "yaml/reader.hpp"

namespace oxbowspread::model {

using Time = std::chrono::microseconds;
using yaml::Error;

// A fault that is injected during the day ("troubles" in the file).
struct Fault {
  enum class Kind {
    kRelaysKilled,    // SIGKILL to `share` of the relays at `at`; restart after `duration`
    kRelaysStopped,   // SIGSTOP to `share` of the relays at `at`; SIGCONT after `duration`
    kRollingRestart,  // SIGTERM to `share` of the relays over `duration`, `batch_size` at a time, each down
                      // for `downtime`
    kListDelayed,     // discovery's list lags by `extra_lag` more
    kZoneFailing,   // hosts of one zone that have `share` of the traffic quickly fail `failure_chance` of the
                    // calls
    kZoneDown,      // the same hosts refuse all calls
    kExtraTraffic,  // `count` large partners get `share` of all messages in addition
    kHostsReplaced,  // `count` hosts drain and are removed; each is replaced by a new one, at the old address
                     // if `same_address`
    kPartnersDown,   // all hosts of `share` of the partners refuse all calls, in every zone
    kDiscoveryDown,  // discovery refuses all calls and ends all watches
    kDiscoverySilent,  // discovery answers no call; its open watches never send anything again
    kDiscoverySlow,    // discovery serves one call at a time, `time_per_call` each, and refuses those that
                       // have waited for 2 s
    kDiscoveryOverloaded,  // discovery refuses `share` of the calls at once; its watches stay open
    kListsTruncated,  // at `share` of the relays the next message of the watch is cut off in the middle, and
                      // the watch ends with it
    kDiscoveryMoved,  // `share` of the relays get, by SIGHUP and spread over `duration`, another discovery
                      // address
    kSignals,         // `share` of the relays get `count` signals that don't end them, one after another
    kIdleClients,     // `count` clients connect to `share` of the relays, send nothing, and disconnect at the
                      // end
    kStoppedClients,  // the same with clients that send a large request except its end, and come again when
                      // they are closed
  };
  Kind kind = Kind::kListDelayed;
  Range at, duration;  // s
  Range share{1, 1};
  Range failure_chance{0.7, 0.7};
  Range extra_lag{0, 0};            // s
  Range time_per_call{0.02, 0.02};  // s
  Range downtime{1, 1};             // s
  Range refusal_delay{0, 0};        // s; time until discovery that is down refuses a call
  Range drain_time{6, 6};           // s; from the drain of a host that is replaced until it is gone
  int count = 1, batch_size = 1;
  bool same_address = false;
};

// Times are in seconds, rates per second. A new value is drawn from each range for each day.
struct Scenario {
  std::string name;     // file name without extension
  std::string version;  // hash of the file's text: different texts are different scenarios
  std::string description;
  Range length{45, 45};
  int relays = 3;

  struct Traffic {
    Range load{0.5, 0.5};  // share of full load
    enum class Shape { kSteady, kWave, kBursty, kRamp } shape = Shape::kWave;
    Range amplitude{0.1, 0.3};       // of the shape, as a share of the mean rate
    Range burst_share{0.052, 0.18};  // share of the messages that come in bursts for one partner
    Range burst_size{1.6, 3};        // seconds of the partner's limit
    int body_bytes = 200;
    Range retries{2, 4};  // resubmissions after a refusal
    Range backoff{0.38, 1.4};
    Range retry_after_compliance{0.37, 0.99};  // chance that a client follows a Retry-After
    Range resubmit_delay{0.33, 1.3};    // until a client resubmits a message whose submission got no answer
    double local_client_chance = 0;     // share of the relays that have local clients in addition to those of
                                        // the load balancer
    Range local_client_factor{2.5, 6};  // traffic of such a relay, in multiples of the others' traffic
  } traffic;

  struct Partners {
    int count = 12;
    Range rate_per_partner{5.2, 6.7};  // messages per second at full load, on average
    Range skew{0.68, 0.88};            // Zipf exponent of the traffic by partner
    Range hosts_per_partner{2, 2.4};
    double large_share = 0.33;  // share of the partners that are large, the busiest ones
    // Pairs: of large and of small partners.
    Range headroom[2] = {{1.4, 2.3}, {1.2, 2.6}};  // limit over the rate at full load
    Range min_limit[2] = {{2.3, 4.9}, {2.3, 4.7}};
    Range retry_after_chance[2] = {{0.55, 0.98}, {0.54, 0.84}};
    Range min_retry_after[2] = {{0.67, 1.6}, {0.55, 1.5}};
    // The mean service time is divided by the speed.
    Range speed[2] = {{0.85, 1.1}, {0.59, 0.8}};
    Range speed_spread[2] = {{0.37, 0.86}, {0.33, 0.89}};  // coefficient of variation between partners
    Range queue_time[2] = {{0.44, 0.93}, {0.33, 0.81}};    // queue length in seconds of the host's capacity
    Range capacity_factor{1.3, 1.6};                       // capacity over limit
    Range service_time{0.32, 0.56};
    Range service_time_cv{0.7, 1.3};
    Range error_rate{0, 0.01};
    Range warm_up_start_share{0.23, 0.33};
    Range warm_up{10, 13};
    double collapse_load_factor = 2;
    double collapse_after = 3;
    int max_connections = 0;                            // per host; 0: no limit
    double refused_calls_use_limit_chance[2] = {0, 0};  // share of the hosts whose limit refused calls use up
    double limit_window[2] = {0, 0};  // length of the limit's fixed windows; 0: a plain rate
  } partners;

  struct Network {
    Range one_way{0.005, 0.015};
    Range handshake_round_trips{2, 3};        // before the first call on a connection
    Range failure_detection_delay{1.2, 3.2};  // until the load balancer skips a relay that is down
    Range list_lag{0.92, 4.2};
  } network;

  struct RelaySettings {
    Range slots_factor{1.9, 2.4};  // slots over the calls that the relay's share of full load keeps busy
    int min_slots = 3;
    Range open_messages_time{6.2, 12};  // open messages, in seconds of the relay's share of full load
    int min_open_messages = 8;
    double tick = 0.005;
    double deadline = 16, delivery_goal = 3, repeat_window = 10;
    double disk_mb = 3;
    int memory_mb = 192, sockets = 1024;
    std::vector<double> zone_penalties{0.06, 0, 0.03};
    double announced_sender_factor =
        1;  // number of relays that is announced to each relay, over the true number
    double refused_call_cost = 0.03;  // announced to the relays, and subtracted from the service figure if
                                      // each message's call were refused once
  } relay;

  std::vector<std::string> zone_names{"north-room", "east-room", "back-room"};
  std::vector<Fault> faults;
};

// Throws Error. Unknown keys are errors. Each of `overrides` is "KEY=VALUE" and replaces a value of the file:
// the key is written with dots ("traffic.load", "troubles.0.relays_killed.at"), the value in YAML.
Scenario ReadScenario(const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace oxbowspread::model
