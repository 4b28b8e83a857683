// Helpers for the tests of the decision module: default settings, and a Decider on a virtual clock whose
// actions are recorded.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wheathub/decide.hpp"

namespace wheathub::testing {

using namespace std::chrono_literals;

inline MessageClass MakeClass(Semantics semantics, bool ordered = false) {
  MessageClass message_class;
  message_class.name = "c";
  message_class.semantics = semantics;
  message_class.ordered = ordered;
  message_class.aim = 2s;
  message_class.deadline = 20s;
  message_class.repeat_window = 15s;
  message_class.worth = 1;
  message_class.late_value = 0.4;
  return message_class;
}

// Message classes by index: 0 idempotent, 1 deduplicated, 2 at most once, 3 at most once and ordered.
// Destination kinds by index: 0 plain, 1 with separate routes, 2 with up to three messages in a call.
inline Settings BasicSettings() {
  Settings settings;
  settings.senders = 2;
  settings.classes = {MakeClass(Semantics::kIdempotent), MakeClass(Semantics::kDeduplicated),
                      MakeClass(Semantics::kAtMostOnce), MakeClass(Semantics::kAtMostOnce, true)};
  settings.kinds = {DestinationKind{"plain", false, 1}, DestinationKind{"separate", true, 1},
                    DestinationKind{"bundled", false, 3}};
  settings.slots = 20;
  settings.max_open = 100;
  settings.max_attempts = 8;
  settings.may_cancel = true;
  settings.may_give_retry_after = true;
  settings.max_retry_after = 3s;
  settings.warm_up_start_share = 0.25;
  settings.warm_up = 10s;
  settings.order_settle = 300ms;
  settings.drain_grace = 1s;
  settings.answer_grace = 20ms;
  return settings;
}

inline EndpointInfo MakeEndpoint(const std::string& id, DestinationId destination, int kind = 0,
                                 int zone = 0) {
  EndpointInfo endpoint;
  endpoint.id = id;
  endpoint.destination = destination;
  endpoint.kind = kind;
  endpoint.zone = zone;
  return endpoint;
}

// One sender: a Decider, its virtual clock `now`, and a record of its actions.
class DeciderHarness {
 public:
  explicit DeciderHarness(Settings settings = BasicSettings(), std::uint64_t seed = 1)
      : decider(std::move(settings), seed) {}

  // Passes the events to the Decider at the present time and records its actions. The clock does not advance.
  std::vector<Action> Step(std::vector<Event> events) {
    last_actions = decider.Step(now, events);
    for (const Action& action : last_actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        sent.push_back(*send);
        last_sent_at[send->id] = now;
      }
      if (const auto* refuse = std::get_if<Refuse>(&action)) refused[refuse->id] = refuse->retry_after;
      if (const auto* fail = std::get_if<Fail>(&action)) failed.push_back(fail->id);
    }
    return last_actions;
  }
  // Advances the clock by `span` in steps of 20 ms and reports a due timer after each step.
  void Advance(Time span) {
    const Time until = now + span;
    while (now < until) {
      now = std::min(until, now + 20ms);
      Step({TimerDue{"sweep"}});
    }
  }
  void UpdateList(std::vector<EndpointInfo> endpoints, ListScope scope = ListScope::kRemembered) {
    Step({ListUpdate{scope, ++revision, std::move(endpoints)}});
  }
  // Returns a message with a deadline in 20 s, as an event for Step().
  Message NewMessage(const std::string& id, int message_class, DestinationId destination = 7) const {
    Message message;
    message.id = id;
    message.message_class = message_class;
    message.destination = destination;
    message.expires_in = 20s;
    return message;
  }
  // Returns the end of an attempt, as an event for Step(). The endpoint is that of the message's latest send.
  AttemptEnded AttemptEnd(const std::string& id, Outcome outcome, int attempt = 0,
                          Time retry_after = 0s) const {
    AttemptEnded ended;
    ended.id = id;
    ended.attempt = attempt;
    ended.outcome = outcome;
    ended.latency = 100ms;
    ended.message_ended = outcome == Outcome::kServed;
    ended.retry_after = retry_after;
    for (const Send& send : sent) {
      if (send.id == id) ended.endpoint = send.endpoint;
    }
    return ended;
  }
  int SendCount(const std::string& id) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [&](const Send& send) { return send.id == id; }));
  }
  // Number of actions of this type in the latest step.
  template <typename ActionType>
  int CountActions() const {
    return static_cast<int>(std::count_if(last_actions.begin(), last_actions.end(), [](const Action& action) {
      return std::holds_alternative<ActionType>(action);
    }));
  }
  bool Failed(const std::string& id) const {
    return std::find(failed.begin(), failed.end(), id) != failed.end();
  }
  bool Refused(const std::string& id) const { return refused.count(id) > 0; }

  Decider decider;
  Time now = 100s;
  std::int64_t revision = 0;
  std::vector<Action> last_actions;  // of the latest step
  std::vector<Send> sent;
  std::map<std::string, Time> last_sent_at;
  std::map<std::string, Time> refused;  // the advised wait by message
  std::vector<std::string> failed;
};

}  // namespace wheathub::testing
