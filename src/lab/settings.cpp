#include "lab/settings.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace oxbowspread::lab {
namespace {

// In units of the service score, per event and message of the run.
constexpr double kNewConnectionPrice = 0.06, kLateFailurePrice = 0.02;

model::Time ToTime(double seconds) {
  return model::Time(static_cast<model::Time::rep>(std::llround(seconds * 1e6)));
}

}  // namespace

std::string SettingsOf(const model::Scenario& scenario, const model::Day& day, int rank) {
  using Json = nlohmann::json;
  const Json service = {{"name", "outbound"},
                        {"semantics", "deduplicated"},
                        {"key-scope", "zone"},
                        {"goal-time-s", scenario.relay.delivery_goal},
                        {"deadline-s", scenario.relay.deadline},
                        {"repeat-window-s", scenario.relay.repeat_window},
                        {"worth", 1.0},
                        {"late-value", 0.5}};
  const auto balancers = std::max(1L, std::lround(scenario.relay.announced_sender_factor * day.relays));
  const Json settings = {{"balancers", balancers},
                         {"rank", rank},
                         {"discovery", "ask"},
                         {"tick-s", scenario.relay.tick},
                         {"weights", "rough"},
                         {"zones", scenario.zone_names},
                         {"models", {"large", "small"}},
                         {"services", Json::array({service})},
                         {"family-info",
                          {{"calls-out", day.slots},
                           {"kind-apart", {true, true}},
                           {"bundle-max", {1, 1}},
                           {"decay", "by_half"},
                           {"refused-price", scenario.relay.refused_call_cost},
                           {"carriage", scenario.relay.zone_penalties}}},
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
                           {"cold-from", scenario.partners.warm_up_start_share.low},
                           {"cold-s", scenario.partners.warm_up.high},
                           {"drain-grace-s", 0.25},
                           {"fall-multiple", scenario.partners.collapse_load_factor},
                           {"grace-to-answer-s", 0.02},
                           {"tip-after-s", scenario.partners.collapse_after}}}};
  return settings.dump();
}

std::uint64_t RelaySeed(const model::Day& day, int relay, int process_number) {
  model::RandomStream random(day.seed,
                             "relay-" + std::to_string(relay) + "-" + std::to_string(process_number));
  return random.UniformBelow(~0ull);
}

check::Rules RulesOf(const model::Scenario& scenario) {
  check::Rules rules;
  rules.repeat_window = ToTime(scenario.relay.repeat_window);
  rules.collapse_after = ToTime(scenario.partners.collapse_after);
  return rules;
}

check::Scoring ScoringOf(const model::Scenario& scenario, const model::Day& day) {
  check::Scoring scoring;
  for (const model::Host& host : day.hosts) scoring.host_limits[host.id] = host.limit;
  scoring.aim = ToTime(scenario.relay.delivery_goal);
  scoring.deadline = ToTime(scenario.relay.deadline);
  scoring.over_limit_price = scenario.relay.refused_call_cost;
  scoring.new_connection_price = kNewConnectionPrice;
  scoring.late_failure_price = kLateFailurePrice;
  scoring.zone_fees = scenario.relay.zone_penalties;
  return scoring;
}

}  // namespace oxbowspread::lab
