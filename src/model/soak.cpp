#include "model/soak.hpp"

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "model/random_stream.hpp"

namespace oxbowspread::model {
namespace {

using Kind = Fault::Kind;

constexpr double kDayLengthS = 13;
constexpr int kMinFaults = 4, kMaxFaults = 8;  // in addition to the faults of each day
constexpr double kIdleClientsChance = 0.3;     // that idle clients are connected
constexpr double kMissedDrainChance = 0.4;     // that relays receive no drains for a long time
constexpr double kSameAddressChance = 0.7;     // that replacements use the old hosts' addresses
constexpr double kStaleAddressChance = 0.6;    // that hosts send a Retry-After before the list contains them

// Each fault ends before the day does, so that its after-effects are seen.
constexpr std::array kRandomKinds = {
    Kind::kRelaysKilled,        Kind::kRelaysStopped,   Kind::kRollingRestart, Kind::kListDelayed,
    Kind::kZoneFailing,         Kind::kZoneDown,        Kind::kPartnersDown,   Kind::kHostsReplaced,
    Kind::kDiscoveryDown,       Kind::kDiscoverySilent, Kind::kDiscoverySlow,  Kind::kDiscoveryOverloaded,
    Kind::kDiscoveryOverloaded, Kind::kListsTruncated,  Kind::kDiscoveryMoved, Kind::kSignals,
};

Range Exactly(double value) { return {value, value}; }

Fault DrawFault(Kind kind, RandomStream& random) {
  Fault fault;
  fault.kind = kind;
  fault.at = Exactly(random.UniformBetween(0.5, 8));
  fault.duration = Exactly(random.UniformBetween(0.5, 5));
  fault.share = Exactly(random.UniformBetween(0.2, 1));
  fault.failure_chance = Exactly(random.UniformBetween(0.4, 1));
  fault.extra_lag = Exactly(random.UniformBetween(0.5, 4));
  fault.time_per_call = Exactly(random.UniformBetween(0.05, 0.8));
  fault.downtime = Exactly(random.UniformBetween(0.3, 1));
  fault.refusal_delay = Exactly(random.Bernoulli(0.5) ? 0 : 2);
  fault.drain_time = {2, 8};
  fault.count = 1 + static_cast<int>(random.UniformBelow(6));
  fault.batch_size = 1 + static_cast<int>(random.UniformBelow(3));
  fault.same_address = random.Bernoulli(kSameAddressChance);
  return fault;
}

// Crowds of DrawCrowdedSoak.
constexpr double kStoppedCrowdChance = 0.6, kIdleCrowdChance = 0.3;
// The least memory of a deployment, half of what it has on scored days, and all of that.
constexpr std::array kMemoryMb = {32, 96, 192};

Fault DrawIdleClients(RandomStream& random) {
  Fault idle_clients = DrawFault(Kind::kIdleClients, random);
  idle_clients.count = 50 + static_cast<int>(random.UniformBelow(200));
  return idle_clients;
}

Fault WithTimes(double at, double length, Fault fault) {
  fault.at = Exactly(at);
  fault.duration = Exactly(length);
  return fault;
}

// Messages with list changes are cut off, and discovery refuses most calls for longer than a relay may take
// to learn of a change. Meanwhile some relays get another address of discovery.
std::vector<Fault> DrawMissedDrains(RandomStream& random) {
  const double at = random.UniformBetween(1, 4);
  Fault overloaded = DrawFault(Kind::kDiscoveryOverloaded, random);
  overloaded.share = Exactly(random.UniformBetween(0.9, 1));
  std::vector<Fault> faults;
  faults.push_back(WithTimes(at, 0.01, DrawFault(Kind::kListsTruncated, random)));
  faults.push_back(WithTimes(at, random.UniformBetween(7, 9), overloaded));
  faults.push_back(WithTimes(at + 0.1, 1.5, DrawFault(Kind::kHostsReplaced, random)));
  faults.push_back(WithTimes(at + 1, 4, DrawFault(Kind::kDiscoveryMoved, random)));
  faults.push_back(WithTimes(at + 3, 3, DrawFault(Kind::kRollingRestart, random)));
  return faults;
}

// Hosts are replaced at the same addresses while lists are late, and the new hosts refuse calls before
// discovery has announced them to the relays: their Retry-After answers calls that were meant for the
// previous hosts.
std::vector<Fault> DrawStaleAddresses(RandomStream& random) {
  const double at = random.UniformBetween(0.5, 4);
  Fault replaced = DrawFault(Kind::kHostsReplaced, random);
  replaced.same_address = true;
  replaced.drain_time = {0.05, 0.3};
  replaced.count = 4 + static_cast<int>(random.UniformBelow(7));
  Fault list_delayed = DrawFault(Kind::kListDelayed, random);
  list_delayed.extra_lag = Exactly(random.UniformBetween(0.5, 2));
  std::vector<Fault> faults;
  faults.push_back(WithTimes(at, 1.5, replaced));
  faults.push_back(WithTimes(at, 3, list_delayed));
  faults.push_back(WithTimes(at + random.UniformBetween(1, 2), random.UniformBetween(1, 3),
                             DrawFault(Kind::kPartnersDown, random)));
  return faults;
}

// Processes are killed, and those that run again are killed once more before they have served for long.
std::vector<Fault> DrawKillSeries(RandomStream& random) {
  const double at = random.UniformBetween(1, 7), downtime = 1;
  const double share = random.UniformBetween(0.4, 1);
  std::vector<Fault> faults;
  for (const double when : {at, at + downtime + random.UniformBetween(0.6, 1.1)}) {
    Fault killed = WithTimes(when, downtime, DrawFault(Kind::kRelaysKilled, random));
    killed.share = Exactly(share);
    faults.push_back(killed);
  }
  return faults;
}

Fault DrawSignalSeries(RandomStream& random) {
  Fault signals = DrawFault(Kind::kSignals, random);
  signals.count = 4 + static_cast<int>(random.UniformBelow(9));
  return signals;
}

Fault DrawCrowd(Kind kind, int min_count, int max_count, RandomStream& random) {
  Fault crowd = DrawFault(kind, random);
  crowd.at = Exactly(random.UniformBetween(0.5, 3));
  crowd.duration = Exactly(random.UniformBetween(4, 9));
  crowd.share = Exactly(random.UniformBetween(0.3, 0.7));
  crowd.count = min_count + static_cast<int>(random.UniformBelow(max_count - min_count + 1));
  return crowd;
}

}  // namespace

Scenario DrawSoak(std::uint64_t seed) {
  RandomStream random(seed, "soak");
  Scenario scenario;
  scenario.name = "soak-" + std::to_string(seed);
  scenario.version = scenario.name;
  scenario.length = Exactly(kDayLengthS);
  scenario.relays = 3 + static_cast<int>(random.UniformBelow(4));
  scenario.traffic.load = Exactly(random.UniformBetween(0.3, 0.9));
  scenario.partners.count = 6 + static_cast<int>(random.UniformBelow(7));
  scenario.partners.hosts_per_partner = {2, 3};
  scenario.network.list_lag = {0.2, 1};
  scenario.relay.deadline = random.UniformBetween(4, 8);
  scenario.relay.repeat_window = random.UniformBetween(2, 8);
  scenario.relay.announced_sender_factor = random.Bernoulli(0.5) ? 1 : 50;  // as in a large fleet
  scenario.faults.push_back(DrawFault(Kind::kHostsReplaced, random));
  scenario.faults.push_back(DrawFault(Kind::kRollingRestart, random));
  const int extra_faults = kMinFaults + static_cast<int>(random.UniformBelow(kMaxFaults - kMinFaults + 1));
  for (int i = 0; i < extra_faults; ++i) {
    scenario.faults.push_back(DrawFault(kRandomKinds[random.UniformBelow(kRandomKinds.size())], random));
  }
  if (random.Bernoulli(kMissedDrainChance)) {
    for (Fault& fault : DrawMissedDrains(random)) scenario.faults.push_back(std::move(fault));
  }
  if (random.Bernoulli(kStaleAddressChance)) {
    for (Fault& fault : DrawStaleAddresses(random)) scenario.faults.push_back(std::move(fault));
  }
  if (random.Bernoulli(kIdleClientsChance)) scenario.faults.push_back(DrawIdleClients(random));
  return scenario;
}

Scenario DrawCrowdedSoak(std::uint64_t seed) {
  RandomStream random(seed, "crowded-soak");
  Scenario scenario = DrawSoak(seed);
  scenario.name = "crowded-" + scenario.name;
  scenario.version = scenario.name;
  scenario.relay.memory_mb = kMemoryMb[random.UniformBelow(kMemoryMb.size())];
  for (Fault& fault : DrawKillSeries(random)) scenario.faults.push_back(std::move(fault));
  scenario.faults.push_back(DrawSignalSeries(random));
  if (random.Bernoulli(kStoppedCrowdChance))
    scenario.faults.push_back(DrawCrowd(Kind::kStoppedClients, 250, 420, random));
  if (random.Bernoulli(kIdleCrowdChance))
    scenario.faults.push_back(DrawCrowd(Kind::kIdleClients, 300, 900, random));
  return scenario;
}

}  // namespace oxbowspread::model
