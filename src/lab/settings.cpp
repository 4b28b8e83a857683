#include "lab/settings.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace oxbowspread::lab {
namespace {

constexpr double kHandshakePrice = 0.06, kLateFailPrice = 0.02;

model::Time Seconds(double s) { return model::Time(static_cast<model::Time::rep>(std::llround(s * 1e6))); }

}  // namespace

std::string SettingsOf(const model::Scenario& s, const model::Day& day, int rank) {
  using Json = nlohmann::json;
  const Json service = {{"name", "outbound"},
                        {"semantics", "deduplicated"},
                        {"key-scope", "zone"},
                        {"goal-time-s", s.relay.aim},
                        {"deadline-s", s.relay.deadline},
                        {"repeat-window-s", s.relay.window},
                        {"worth", 1.0},
                        {"late-value", 0.5}};
  const auto told = std::max(1L, std::lround(s.relay.senders_told * day.relays));
  const Json settings = {{"balancers", told},
                         {"rank", rank},
                         {"discovery", "ask"},
                         {"tick-s", s.relay.tick},
                         {"weights", "rough"},
                         {"zones", s.rooms},
                         {"models", {"large", "small"}},
                         {"services", Json::array({service})},
                         {"family-info",
                          {{"calls-out", day.slots},
                           {"kind-apart", {true, true}},
                           {"bundle-max", {1, 1}},
                           {"decay", "by_half"},
                           {"refused-price", s.relay.refused_price},
                           {"carriage", s.relay.zone_fee}}},
                         {"limits",
                          {{"cancel", true},
                           {"send-cap", 12},
                           {"max-open", day.max_open},
                           {"retry-after", true},
                           {"max-retry-after-s", 2.0},
                           {"connect-timeout-s", 1.5},
                           {"keepalive-s", 15.0}}},
                         {"invariants",
                          {{"ask-within-s", 10.0},
                           {"cold-from", s.partners.cold_from.low},
                           {"cold-s", s.partners.cold.high},
                           {"drain-grace-s", 0.25},
                           {"fall-multiple", s.partners.fall_multiple},
                           {"grace-to-answer-s", 0.02},
                           {"tip-after-s", s.partners.fall}}}};
  return settings.dump();
}

std::uint64_t SeedOf(const model::Day& day, int relay, int life) {
  model::Dice dice(day.seed, "relay-" + std::to_string(relay) + "-" + std::to_string(life));
  return dice.Below(~0ull);
}

check::Rules RulesOf(const model::Scenario& s) {
  check::Rules rules;
  rules.repeat_window = Seconds(s.relay.window);
  rules.collapse_after = Seconds(s.partners.fall);
  return rules;
}

check::Scoring ScoringOf(const model::Scenario& s, const model::Day& day) {
  check::Scoring scoring;
  for (const model::Host& host : day.hosts) scoring.host_limits[host.id] = host.limit;
  scoring.aim = Seconds(s.relay.aim);
  scoring.deadline = Seconds(s.relay.deadline);
  scoring.over_limit_price = s.relay.refused_price;
  scoring.new_connection_price = kHandshakePrice;
  scoring.late_failure_price = kLateFailPrice;
  scoring.zone_fees = s.relay.zone_fee;
  return scoring;
}

}  // namespace oxbowspread::lab
