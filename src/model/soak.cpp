#include "model/soak.hpp"

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "model/dice.hpp"

namespace oxbowspread::model {
namespace {

using Kind = Trouble::Kind;

constexpr double kLengthS = 13;
constexpr int kLeastTroubles = 4, kMostTroubles = 8;  // beside those of each day
constexpr double kCrowdChance = 0.3;                  // of clients that say nothing
constexpr double kUnheardChance = 0.4;                // of relays that can't hear of drains for long
constexpr double kSameAddressChance = 0.7;            // that hosts are replaced at their addresses
constexpr double kTakenOverChance = 0.6;              // of waits told by hosts that are not listed yet

// Each ends before the day does, so that what it leaves behind is seen.
constexpr std::array kDrawn = {
    Kind::kRelaysKilled,     Kind::kRelaysStopped,   Kind::kRelaysRolled,   Kind::kListBehind,
    Kind::kPartnersFail,     Kind::kPartnersShut,    Kind::kPartnersDown,   Kind::kHostsReplaced,
    Kind::kDiscoveryDown,    Kind::kDiscoverySilent, Kind::kDiscoverySlow,  Kind::kDiscoveryCrowded,
    Kind::kDiscoveryCrowded, Kind::kListsBroken,     Kind::kDiscoveryMoved, Kind::kSignals,
};

Range Just(double value) { return {value, value}; }

Trouble DrawTrouble(Kind kind, Dice& dice) {
  Trouble trouble;
  trouble.kind = kind;
  trouble.at = Just(dice.Between(0.5, 8));
  trouble.length = Just(dice.Between(0.5, 5));
  trouble.share = Just(dice.Between(0.2, 1));
  trouble.chance = Just(dice.Between(0.4, 1));
  trouble.by = Just(dice.Between(0.5, 4));
  trouble.each = Just(dice.Between(0.05, 0.8));
  trouble.down = Just(dice.Between(0.3, 1));
  trouble.refuses_after = Just(dice.Happens(0.5) ? 0 : 2);
  trouble.drain = {2, 8};
  trouble.count = 1 + static_cast<int>(dice.Below(6));
  trouble.at_once = 1 + static_cast<int>(dice.Below(3));
  trouble.same = dice.Happens(kSameAddressChance);
  return trouble;
}

Trouble DrawCrowd(Dice& dice) {
  Trouble crowd = DrawTrouble(Kind::kIdleClients, dice);
  crowd.count = 50 + static_cast<int>(dice.Below(200));
  return crowd;
}

Trouble At(double at, double length, Trouble trouble) {
  trouble.at = Just(at);
  trouble.length = Just(length);
  return trouble;
}

// Changes break off, and discovery refuses most calls for longer than a change may stay unknown; some relays
// are told meanwhile that it has moved.
std::vector<Trouble> DrawUnheard(Dice& dice) {
  const double at = dice.Between(1, 4);
  Trouble crowded = DrawTrouble(Kind::kDiscoveryCrowded, dice);
  crowded.share = Just(dice.Between(0.9, 1));
  std::vector<Trouble> all;
  all.push_back(At(at, 0.01, DrawTrouble(Kind::kListsBroken, dice)));
  all.push_back(At(at, dice.Between(7, 9), crowded));
  all.push_back(At(at + 0.1, 1.5, DrawTrouble(Kind::kHostsReplaced, dice)));
  all.push_back(At(at + 1, 4, DrawTrouble(Kind::kDiscoveryMoved, dice)));
  all.push_back(At(at + 3, 3, DrawTrouble(Kind::kRelaysRolled, dice)));
  return all;
}

// Hosts are replaced at their addresses while lists are late, and the new ones shut before the relays can
// know of them: they tell waits to calls that were meant for the ones before.
std::vector<Trouble> DrawTakenOver(Dice& dice) {
  const double at = dice.Between(0.5, 4);
  Trouble replaced = DrawTrouble(Kind::kHostsReplaced, dice);
  replaced.same = true;
  replaced.drain = {0.05, 0.3};
  replaced.count = 4 + static_cast<int>(dice.Below(7));
  Trouble late = DrawTrouble(Kind::kListBehind, dice);
  late.by = Just(dice.Between(0.5, 2));
  std::vector<Trouble> all;
  all.push_back(At(at, 1.5, replaced));
  all.push_back(At(at, 3, late));
  all.push_back(At(at + dice.Between(1, 2), dice.Between(1, 3), DrawTrouble(Kind::kPartnersDown, dice)));
  return all;
}

}  // namespace

Scenario DrawSoak(std::uint64_t seed) {
  Dice dice(seed, "soak");
  Scenario scenario;
  scenario.name = "soak-" + std::to_string(seed);
  scenario.version = scenario.name;
  scenario.length = Just(kLengthS);
  scenario.relays = 3 + static_cast<int>(dice.Below(4));
  scenario.traffic.load = Just(dice.Between(0.3, 0.9));
  scenario.partners.count = 6 + static_cast<int>(dice.Below(7));
  scenario.partners.hosts = {2, 3};
  scenario.network.list_lag = {0.2, 1};
  scenario.relay.deadline = dice.Between(4, 8);
  scenario.relay.window = dice.Between(2, 8);
  scenario.relay.senders_told = dice.Happens(0.5) ? 1 : 50;  // as in a large fleet
  scenario.troubles.push_back(DrawTrouble(Kind::kHostsReplaced, dice));
  scenario.troubles.push_back(DrawTrouble(Kind::kRelaysRolled, dice));
  const int more = kLeastTroubles + static_cast<int>(dice.Below(kMostTroubles - kLeastTroubles + 1));
  for (int i = 0; i < more; ++i) {
    scenario.troubles.push_back(DrawTrouble(kDrawn[dice.Below(kDrawn.size())], dice));
  }
  if (dice.Happens(kUnheardChance)) {
    for (Trouble& trouble : DrawUnheard(dice)) scenario.troubles.push_back(std::move(trouble));
  }
  if (dice.Happens(kTakenOverChance)) {
    for (Trouble& trouble : DrawTakenOver(dice)) scenario.troubles.push_back(std::move(trouble));
  }
  if (dice.Happens(kCrowdChance)) scenario.troubles.push_back(DrawCrowd(dice));
  return scenario;
}

}  // namespace oxbowspread::model
