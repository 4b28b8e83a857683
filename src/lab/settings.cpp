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
                        {"goal-time-s", s.relay.delivery_goal},
                        {"deadline-s", s.relay.deadline},
                        {"repeat-window-s", s.relay.repeat_window},
                        {"worth", 1.0},
                        {"late-value", 0.5}};
  const auto told = std::max(1L, std::lround(s.relay.announced_sender_factor * day.relays));
  const Json settings = {{"balancers", told},
                         {"rank", rank},
                         {"discovery", "ask"},
                         {"tick-s", s.relay.tick},
                         {"weights", "rough"},
                         {"zones", s.zone_names},
                         {"models", {"large", "small"}},
                         {"services", Json::array({service})},
                         {"family-info",
                          {{"calls-out", day.slots},
                           {"kind-apart", {true, true}},
                           {"bundle-max", {1, 1}},
                           {"decay", "by_half"},
                           {"refused-price", s.relay.refused_call_cost},
                           {"carriage", s.relay.zone_penalties}}},
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
                           {"cold-from", s.partners.warm_up_start_share.low},
                           {"cold-s", s.partners.warm_up.high},
                           {"drain-grace-s", 0.25},
                           {"fall-multiple", s.partners.collapse_load_factor},
                           {"grace-to-answer-s", 0.02},
                           {"tip-after-s", s.partners.collapse_after}}}};
  return settings.dump();
}

std::uint64_t SeedOf(const model::Day& day, int relay, int life) {
  model::RandomStream dice(day.seed, "relay-" + std::to_string(relay) + "-" + std::to_string(life));
  return dice.UniformBelow(~0ull);
}

check::Rules RulesOf(const model::Scenario& s) {
  check::Rules rules;
  rules.repeat_window = Seconds(s.relay.repeat_window);
  rules.tip_after = Seconds(s.partners.collapse_after);
  return rules;
}

check::Terms TermsOf(const model::Scenario& s, const model::Day& day) {
  check::Terms terms;
  for (const model::Host& host : day.hosts) terms.limits[host.id] = host.limit;
  terms.aim = Seconds(s.relay.delivery_goal);
  terms.deadline = Seconds(s.relay.deadline);
  terms.refused_price = s.relay.refused_call_cost;
  terms.handshake_price = kHandshakePrice;
  terms.late_fail_price = kLateFailPrice;
  terms.zone_fee = s.relay.zone_penalties;
  return terms;
}

}  // namespace oxbowspread::lab
