// A scenario: in which ranges a day of the platform lies, and what goes wrong on it, as an operator writes it
// in YAML. Read and checked in one place; every fault names file, line and key.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "model/dice.hpp"
#include "yaml/reader.hpp"

namespace oxbowspread::model {

using Time = std::chrono::microseconds;
using yaml::Error;

struct Trouble {
  enum class Kind {
    kRelaysKilled,     // SIGKILL to `share` of the relays at `at`; back after `length`
    kRelaysStopped,    // SIGSTOP to `share` of the relays at `at`; SIGCONT after `length`
    kRelaysRolled,     // SIGTERM to `share` of them in turn over `length`, `at_once` at a time, `down` each
    kListBehind,       // discovery lags by `by` more
    kPartnersFail,     // hosts of one room, with `share` of the traffic, quickly fail `chance` of the calls
    kPartnersShut,     // the same refuse all calls
    kPartnersDraw,     // `count` large partners draw `share` of all messages more
    kHostsReplaced,    // `count` hosts drain and go, each replaced by a new one, at its old address if `same`
    kPartnersDown,     // `share` of all partners are shut, whatever their room
    kDiscoveryDown,    // discovery refuses all calls and ends all watches
    kDiscoverySilent,  // discovery answers no call, and its watches say nothing any more, for good
    kDiscoverySlow,  // discovery works through calls in turn, `each` a call, and refuses those that wait for
                     // 2 s
    kDiscoveryCrowded,  // discovery refuses `share` of the calls at once, and goes on with its watches
    kListsBroken,  // at `share` of the relays the next message of the watch breaks off in its middle, with it
    kDiscoveryMoved,  // `share` of the relays are told by SIGHUP, in turn over `length`, of another address
    kSignals,         // `share` of the relays get `count` signals that end nothing, one after another
    kIdleClients,     // `count` clients connect to `share` of the relays, say nothing, and leave at the end
  };
  Kind kind = Kind::kListBehind;
  Range at, length;  // s
  Range share{1, 1};
  Range chance{0.7, 0.7};
  Range by{0, 0};             // s
  Range each{0.02, 0.02};     // s
  Range down{1, 1};           // s
  Range refuses_after{0, 0};  // s; discovery that is down
  Range drain{6, 6};          // s; from the drain of a host that is replaced until it is gone
  int count = 1, at_once = 1;
  bool same = false;
};

// Spans in seconds, rates a second. A range is drawn from anew for each day.
struct Scenario {
  std::string name;     // of the file, without its end
  std::string version;  // of the file's text: another text is another scenario
  std::string about;
  Range length{45, 45};
  int relays = 3;

  struct Traffic {
    Range load{0.5, 0.5};  // of full load
    enum class Shape { kSteady, kWave, kBursty, kRamp } shape = Shape::kWave;
    Range swing{0.1, 0.3};
    Range clumps{0.052, 0.18};  // share of the messages that come in clumps for one partner
    Range clump{1.6, 3};        // a clump's size in seconds of its partner's limit
    int body = 200;             // bytes
    Range retries{2, 4};        // hand-ins after a refusal
    Range backoff{0.38, 1.4};
    Range honour{0.37, 0.99};  // chance that a told wait is kept to
    Range again{0.33, 1.3};    // what a dead relay held comes again after
    double beside = 0;    // share of the relays that have clients of their own beside what the front deals
    Range times{2.5, 6};  // what these get, in times of what the others get
  } traffic;

  struct Partners {
    int count = 12;
    Range rate{5.2, 6.7};  // messages a second for each at full load, on average
    Range skew{0.68, 0.88};
    Range hosts{2, 2.4};
    double large = 0.33;  // share of them, the busiest
    // Of large and of small ones.
    Range headroom[2] = {{1.4, 2.3}, {1.2, 2.6}};  // limit over calls at full load
    Range least[2] = {{2.3, 4.9}, {2.3, 4.7}};     // limit at least
    Range tells[2] = {{0.55, 0.98}, {0.54, 0.84}};
    Range wait[2] = {{0.67, 1.6}, {0.55, 1.5}};
    Range speed[2] = {{0.85, 1.1}, {0.59, 0.8}};
    Range spread[2] = {{0.37, 0.86}, {0.33, 0.89}};  // of pace from one partner to another
    Range queue[2] = {{0.44, 0.93}, {0.33, 0.81}};   // seconds of its capacity
    Range spare{1.3, 1.6};                           // capacity over limit
    Range work{0.32, 0.56};
    Range work_spread{0.7, 1.3};
    Range errors{0, 0.01};
    Range cold_from{0.23, 0.33};
    Range cold{10, 13};
    double fall_multiple = 2;
    double fall = 3;
    int connections = 0;               // a host takes; 0: any number
    double refused_count[2] = {0, 0};  // share of hosts whose refused calls use up their limit as well
    double window[2] = {0, 0};         // the limit is a count in fixed spans of so long; 0: a plain rate
  } partners;

  struct Network {
    Range one_way{0.005, 0.015};
    Range handshake{2, 3};  // round trips that the first call on a connection waits
    Range front_notices{1.2, 3.2};
    Range list_lag{0.92, 4.2};
  } network;

  struct RelayPart {
    Range slots{1.9, 2.4};  // over what its part of full load keeps busy
    int least_slots = 3;
    Range hold{6.2, 12};  // seconds of its part of full load
    int least_hold = 8;
    double tick = 0.005;
    double deadline = 16, aim = 3, window = 10;
    double disk_mb = 3;
    int memory_mb = 192, sockets = 1024;
    std::vector<double> zone_fee{0.06, 0, 0.03};
    double senders_told = 1;      // the number of relays that each is told, in times of how many there are
    double refused_price = 0.03;  // of service, told and taken off, if each message's call were refused once
  } relay;

  std::vector<std::string> rooms{"north-room", "east-room", "back-room"};
  std::vector<Trouble> troubles;
};

// Throws Error. Keys that it doesn't know are faults. Each of `sets` is "KEY=VALUE" and is laid over the
// file: the key with dots ("traffic.load", "troubles.0.relays_killed.at"), the value in YAML.
Scenario ReadScenario(const std::string& path, const std::vector<std::string>& sets = {});

}  // namespace oxbowspread::model
