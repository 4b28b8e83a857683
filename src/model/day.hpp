// One day: all that chance decides ahead, drawn from a scenario and a seed. What is drawn for one part never
// moves what is drawn for another. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/scenario.hpp"

namespace oxbowspread::model {

// An endpoint: a route of its own to one partner. Rates a second, spans in seconds.
struct Host {
  std::string id, address;              // address:port, never listened on in simulation
  int partner = 0, zone = 0, kind = 0;  // kind 0: large, 1: small
  double limit = 0;                     // calls from all relays together
  double weight = 0;                    // what the list says of it: the limit, up to half too high or too low
  int servers = 1;                      // calls served at once
  double work = 0, work_spread = 0;
  double queue = 0;  // calls that may wait
  double errors = 0;
  double tells = 0;  // chance that a refusal tells how long to wait
  double wait = 0;   // told at least
  double cold_from = 1, cold = 0;
  bool counts_refused = false;  // a refused call uses up the limit as a served one does
  double window = 0,
         phase = 0;        // its limit is a count in fixed spans of so long, which begin at phase; 0: a rate
  bool from_start = true;  // else added by a turn

  double capacity() const { return servers / work; }
};

struct Arrival {
  Time due{0};
  int partner = 0;
  int relay = -1;  // its client stands beside that one; -1: the front deals it out
};

// Something that happens whatever the relays do.
struct Turn {
  enum class Kind {
    kKill,
    kTerminate,
    kStart,
    kStop,
    kContinue,
    kOutage,
    kBack,
    kDrain,
    kGone,
    kAdd,
    kLag,
    kDiscoveryDown,
    kDiscoverySilent,
    kDiscoverySlow,
    kDiscoveryCrowded,
    kDiscoveryBack,
    kBreakList,
    kMoveDiscovery,
    kSignals,
    kIdleClients
  };
  Time at{0};
  Kind kind = Kind::kLag;
  int index = -1;  // of the relay or the host
  // kTerminate: seconds down after its end. kOutage: chance that a call fails, 1 and above: shut. kLag:
  // seconds by which the list is later from now on. kDiscoverySlow: seconds that a call takes.
  // kDiscoveryDown: seconds until a call is refused. kDiscoveryCrowded: chance that one is. kSignals and
  // kIdleClients: how many.
  double value = 0;
  Time until{0};  // kOutage: when it ends
};

struct Day {
  std::uint64_t seed = 0;
  Time length{0};
  int relays = 0;
  double load = 0;
  double full_rate = 0;       // messages a second at full load
  std::vector<double> share;  // of the traffic, by partner
  std::vector<Host> hosts;
  std::vector<Arrival> arrivals;  // by time
  std::vector<Turn> turns;        // by time
  int slots = 0, max_open = 0;    // of each relay
  Time list_lag{0};
  double honour = 0;
};

// The same scenario and seed give the same day. Never fails on a scenario that ReadScenario gave.
Day Draw(const Scenario& scenario, std::uint64_t seed);

}  // namespace oxbowspread::model
