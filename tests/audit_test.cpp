// Sends random but valid events to the decision module and checks every action against the rules that can be
// checked from the events and actions of one sender. Endpoints are not modelled: outcomes are independent
// random draws.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "decider_harness.hpp"

namespace wheathub::testing {
namespace {

// What the rule checker knows of a message.
struct MessageState {
  Message message;
  Time deadline{0};
  int sends = 0;
  bool in_flight = false;
  bool ended = false;
  bool may_have_run = false;
  Time first_uncertain_at{0};  // send of the first attempt that may have run
  int first_uncertain_zone = 0;
  Time sent_at{0};
  EndpointId endpoint;
  std::uint64_t sequence = 0;  // order of arrival
};

// Follows all events and actions of one sender and records each violation of a rule.
class RuleChecker {
 public:
  RuleChecker(const Settings& settings) : settings_(settings) {}

  std::vector<std::string> violations;
  std::map<MessageId, MessageState> messages;
  std::map<EndpointId, EndpointInfo> endpoints;
  std::set<EndpointId> probing;

  void OnMessage(const Message& message, Time now) {
    MessageState state;
    state.message = message;
    state.deadline = now + message.expires_in;
    state.sequence = ++sequence_;
    messages[message.id] = state;
  }
  void OnRetryAfter(const EndpointId& id, Time until) {
    Time& blocked_until = blocked_until_[RouteOf(id)];
    blocked_until = std::max(blocked_until, until);
  }
  void OnAttemptEnd(const AttemptEnded& attempt, Time now) {
    MessageState& state = messages.at(attempt.id);
    state.in_flight = false;
    if (attempt.message_ended) state.ended = true;
    const bool never_ran = attempt.outcome == Outcome::kRefused ||
                           attempt.outcome == Outcome::kNoConnection || attempt.outcome == Outcome::kNotSent;
    if (!never_ran && !state.may_have_run) {
      state.may_have_run = true;
      state.first_uncertain_at = state.sent_at;
      state.first_uncertain_zone = endpoints.at(state.endpoint).zone;
    }
    if (attempt.outcome == Outcome::kTimedOut || attempt.outcome == Outcome::kReset ||
        attempt.outcome == Outcome::kCancelled) {
      if (IsOrdered(state)) settle_until_[state.message.key] = {state.sequence, now + settings_.order_settle};
    }
  }
  void CheckActions(const std::vector<Action>& actions, Time now) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) CheckSend(*send, now);
      if (const auto* refuse = std::get_if<Refuse>(&action)) CheckMessageEnd(refuse->id, true);
      if (const auto* fail = std::get_if<Fail>(&action)) CheckMessageEnd(fail->id, false);
      if (const auto* probe = std::get_if<Probe>(&action)) {
        CheckEndpoint(probe->endpoint, now);
        probing.insert(probe->endpoint);
        if (!settings_.may_probe) AddViolation("probe is not allowed");
      }
    }
    int calls_in_flight = 0;
    for (auto& [id, state] : messages) {
      calls_in_flight += state.in_flight;
      if (!state.ended && now > state.deadline + settings_.answer_grace)
        AddViolation("not answered by its deadline: " + id);
    }
    if (calls_in_flight > settings_.slots) AddViolation("more calls in flight than slots");
  }

 private:
  void AddViolation(const std::string& text) { violations.push_back(text); }
  std::string RouteOf(const EndpointId& id) const {
    const EndpointInfo& endpoint = endpoints.at(id);
    return std::to_string(endpoint.destination) +
           (settings_.kinds[static_cast<std::size_t>(endpoint.kind)].separate_routes ? id : "");
  }
  bool IsOrdered(const MessageState& state) const {
    return !state.message.key.empty() &&
           settings_.classes[static_cast<std::size_t>(state.message.message_class)].ordered;
  }
  void CheckEndpoint(const EndpointId& id, Time now) {
    if (endpoints.at(id).lifecycle != Lifecycle::kUp)
      AddViolation("call to an endpoint that is not up: " + id);
    if (blocked_until_[RouteOf(id)] > now) AddViolation("call before the end of its retry-after: " + id);
  }
  void CheckSend(const Send& send, Time now) {
    MessageState& state = messages.at(send.id);
    const MessageClass& message_class =
        settings_.classes[static_cast<std::size_t>(state.message.message_class)];
    CheckEndpoint(send.endpoint, now);
    if (endpoints.at(send.endpoint).destination != state.message.destination)
      AddViolation("sent to another destination");
    if (state.ended) AddViolation("sent after the message ended");
    if (state.in_flight) AddViolation("two attempts of a message in flight");
    if (state.sends >= settings_.max_attempts) AddViolation("too many attempts");
    if (state.may_have_run && message_class.semantics == Semantics::kAtMostOnce)
      AddViolation("possible second effect: at most once");
    if (state.may_have_run && message_class.semantics == Semantics::kDeduplicated) {
      if (now > state.first_uncertain_at + message_class.repeat_window)
        AddViolation("possible second effect: after the repeat window");
      if (message_class.repeats_bound_to_zone &&
          endpoints.at(send.endpoint).zone != state.first_uncertain_zone)
        AddViolation("possible second effect: other zone");
    }
    if (IsOrdered(state)) {
      for (const auto& [id, other] : messages) {
        if (IsOrdered(other) && other.message.key == state.message.key && other.sequence < state.sequence &&
            (!other.ended || other.in_flight)) {
          AddViolation("sent before message " + id + " of the same key");
        }
      }
      const auto settle = settle_until_.find(state.message.key);
      if (settle != settle_until_.end() && settle->second.first < state.sequence &&
          settle->second.second > now)
        AddViolation("sent within the settle time of its key");
    }
    state.in_flight = true;
    state.sends += 1;
    state.sent_at = now;
    state.endpoint = send.endpoint;
  }
  void CheckMessageEnd(const MessageId& id, bool refusal) {
    MessageState& state = messages.at(id);
    if (state.ended) AddViolation("ended twice: " + id);
    state.ended = true;
    if (refusal && state.may_have_run) AddViolation("refused though it may have run: " + id);
    if (refusal && state.in_flight) AddViolation("refused while in flight: " + id);
  }

  Settings settings_;
  std::uint64_t sequence_ = 0;
  std::map<std::string, Time> blocked_until_;  // by route
  // By key: the arrival number of the last message whose attempt may still run, and the end of its settle
  // time.
  std::map<std::string, std::pair<std::uint64_t, Time>> settle_until_;
};

// Runs a Decider on random events for 32.5 s of virtual time and returns the rule checker with its findings.
RuleChecker RunRandomEvents(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int bound) { return static_cast<int>(random() % static_cast<std::uint64_t>(bound)); };
  Settings settings = BasicSettings();
  settings.may_probe = draw(2) == 0;
  settings.slots = 3 + draw(10);
  settings.kinds[2].bundle_max = 1;
  settings.classes[1].repeats_bound_to_zone = draw(2) == 0;
  settings.classes[1].repeat_window = 2s;
  RuleChecker checker(settings);
  Decider decider(settings, seed);
  std::vector<EndpointInfo> endpoints;
  for (int i = 0; i < 8; ++i)
    endpoints.push_back(MakeEndpoint("e" + std::to_string(i), i / 2, (i / 2) % 2, i % 2));
  for (const EndpointInfo& endpoint : endpoints) checker.endpoints[endpoint.id] = endpoint;
  Time now = 10s;
  std::multimap<Time, AttemptEnded> due_ends;
  std::map<MessageId, int> attempts;
  const auto step = [&](std::vector<Event> events) {
    for (const Event& event : events) {
      if (const auto* message = std::get_if<Message>(&event)) checker.OnMessage(*message, now);
      if (const auto* attempt = std::get_if<AttemptEnded>(&event)) {
        checker.OnAttemptEnd(*attempt, now);
        if (attempt->retry_after > 0s) checker.OnRetryAfter(attempt->endpoint, now + attempt->retry_after);
      }
      if (const auto* probe = std::get_if<ProbeEnded>(&event)) {
        checker.probing.erase(probe->endpoint);
        if (probe->retry_after > 0s) checker.OnRetryAfter(probe->endpoint, now + probe->retry_after);
      }
    }
    const auto actions = decider.Step(now, events);
    checker.CheckActions(actions, now);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        AttemptEnded ended;
        ended.id = send->id;
        ended.attempt = attempts[send->id]++;
        ended.endpoint = send->endpoint;
        const Time remaining = checker.messages.at(send->id).deadline - now;
        const Time timeout = send->timeout > 0s ? std::min(send->timeout, remaining) : remaining;
        const bool unanswered = draw(12) == 0;
        ended.latency = unanswered ? timeout : std::min(timeout, Time(1000 * (20 + draw(600))));
        const int outcome_draw = draw(10);
        ended.outcome = outcome_draw < 5   ? Outcome::kServed
                        : outcome_draw < 6 ? Outcome::kError
                        : outcome_draw < 8 ? Outcome::kRefused
                        : outcome_draw < 9 ? Outcome::kNoConnection
                                           : Outcome::kReset;
        if (ended.latency == timeout) ended.outcome = Outcome::kTimedOut;
        ended.message_ended = ended.outcome == Outcome::kServed;
        if (ended.outcome == Outcome::kRefused && draw(2) == 0)
          ended.retry_after = Time(1000 * (1 + draw(1500)));
        due_ends.emplace(now + ended.latency, ended);
      }
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        for (auto it = due_ends.begin(); it != due_ends.end(); ++it) {
          if (it->second.id != cancel->id) continue;
          AttemptEnded ended = it->second;
          ended.outcome = Outcome::kCancelled;
          ended.message_ended = checker.messages.at(ended.id).ended;
          ended.retry_after = 0s;
          due_ends.erase(it);
          due_ends.emplace(now + 20ms, ended);
          break;
        }
      }
    }
  };
  step({ListUpdate{ListScope::kRemembered, 1, endpoints}});
  for (int i = 0; i < 6500; ++i) {
    now += 5ms;
    std::vector<Event> events;
    while (!due_ends.empty() && due_ends.begin()->first <= now) {
      AttemptEnded ended = due_ends.begin()->second;
      ended.message_ended = ended.message_ended || checker.messages.at(ended.id).ended;
      events.push_back(ended);
      due_ends.erase(due_ends.begin());
    }
    if (i < 5000 && draw(8) == 0) {
      Message message;
      message.id = "m" + std::to_string(i);
      message.message_class = draw(4);
      message.destination = draw(5);  // destination 4 has no endpoint
      message.expires_in = Time(1000 * (100 + draw(6000)));
      if (message.message_class == 3) message.key = "k" + std::to_string(draw(4));
      events.push_back(message);
    }
    if (draw(200) == 0) {
      EndpointInfo endpoint = endpoints[static_cast<std::size_t>(draw(8))];
      endpoint.lifecycle = static_cast<Lifecycle>(draw(3));
      checker.endpoints[endpoint.id] = endpoint;
      events.push_back(ListUpdate{ListScope::kChanges, i, {endpoint}});
    }
    if (draw(10) == 0) {
      const std::set<EndpointId> probing = checker.probing;
      for (const EndpointId& id : probing) {
        ProbeEnded probe;
        probe.endpoint = id;
        probe.outcome = draw(2) == 0 ? Outcome::kServed : Outcome::kRefused;
        if (probe.outcome == Outcome::kRefused) probe.retry_after = Time(1000 * (1 + draw(800)));
        events.push_back(probe);
      }
    }
    events.push_back(TimerDue{"sweep"});
    step(events);
  }
  for (const auto& [id, state] : checker.messages) {
    if (!state.ended) checker.violations.push_back("never answered: " + id);
  }
  EXPECT_GT(checker.messages.size(), 400u);
  EXPECT_EQ(decider.held().messages, 0u);
  EXPECT_EQ(decider.held().keys, 0u);
  return checker;
}

class RuleAudit : public ::testing::TestWithParam<int> {};
TEST_P(RuleAudit, NoRuleIsViolated) {
  const RuleChecker checker = RunRandomEvents(static_cast<std::uint64_t>(GetParam()));
  for (const std::string& violation : checker.violations) ADD_FAILURE() << violation;
}
INSTANTIATE_TEST_SUITE_P(Seeds, RuleAudit, ::testing::Range(1, 21));

// The amount of held state must not grow with messages, destinations and keys that are no longer in use.
TEST(HeldState, UnusedStateIsDropped) {
  DeciderHarness harness;
  for (int round = 0; round < 200; ++round) {
    const std::string number = std::to_string(round);
    harness.UpdateList({MakeEndpoint("e" + number, round)}, ListScope::kAll);
    Message message = harness.NewMessage("m" + number, 3, round);
    message.key = "k" + number;
    harness.Step({message});
    harness.now += 50ms;
    harness.Step({harness.AttemptEnd("m" + number, Outcome::kServed)});
  }
  const auto held = harness.decider.held();
  EXPECT_EQ(held.messages + held.calls + held.keys, 0u);
  EXPECT_EQ(held.endpoints, 1u);
  EXPECT_LE(held.routes, 1u);
}

}  // namespace
}  // namespace wheathub::testing
