// Helpers of the module's tests: a Decider with a clock and short words for events and actions.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wheathub/decide.hpp"

namespace wheathub::testing {

using namespace std::chrono_literals;

inline MessageClass Class(Semantics semantics, bool ordered = false) {
  MessageClass c;
  c.name = "c";
  c.semantics = semantics;
  c.ordered = ordered;
  c.aim = 2s;
  c.deadline = 20s;
  c.repeat_window = 15s;
  c.worth = 1;
  c.late_value = 0.4;
  return c;
}

// Classes: 0 idempotent, 1 deduplicated, 2 at-most-once, 3 at-most-once in order.
inline Settings BasicSettings() {
  Settings s;
  s.senders = 2;
  s.classes = {Class(Semantics::kIdempotent), Class(Semantics::kDeduplicated), Class(Semantics::kAtMostOnce),
               Class(Semantics::kAtMostOnce, true)};
  s.kinds = {DestinationKind{"plain", false, 1}, DestinationKind{"apart", true, 1},
             DestinationKind{"bundled", false, 3}};
  s.slots = 20;
  s.max_open = 100;
  s.max_attempts = 8;
  s.may_cancel = true;
  s.may_give_retry_after = true;
  s.max_retry_after = 3s;
  s.warm_up_start_share = 0.25;
  s.warm_up = 10s;
  s.order_settle = 300ms;
  s.drain_grace = 1s;
  s.answer_grace = 20ms;
  return s;
}

inline EndpointInfo At(const std::string& id, DestinationId destination, int kind = 0, int zone = 0) {
  EndpointInfo e;
  e.id = id;
  e.destination = destination;
  e.kind = kind;
  e.zone = zone;
  return e;
}

class Rig {
 public:
  explicit Rig(Settings settings = BasicSettings(), std::uint64_t seed = 1)
      : decider(std::move(settings), seed) {}

  // One step, then the clock stands at `now` until the next one.
  std::vector<Action> Do(std::vector<Event> events) {
    last = decider.Step(now, events);
    for (const Action& a : last) {
      if (const auto* send = std::get_if<Send>(&a)) {
        sent.push_back(*send);
        sent_at[send->id] = now;
      }
      if (const auto* r = std::get_if<Refuse>(&a)) refused[r->id] = r->retry_after;
      if (const auto* f = std::get_if<Fail>(&a)) failed.push_back(f->id);
    }
    return last;
  }
  // Lets time pass in the steps of the module's own timers.
  void Pass(Time span) {
    const Time until = now + span;
    while (now < until) {
      now = std::min(until, now + 20ms);
      Do({TimerDue{"sweep"}});
    }
  }
  void List(std::vector<EndpointInfo> endpoints, ListScope scope = ListScope::kRemembered) {
    Do({ListUpdate{scope, ++revision, std::move(endpoints)}});
  }
  Message New(const std::string& id, int message_class, DestinationId destination = 7) const {
    Message m;
    m.id = id;
    m.message_class = message_class;
    m.destination = destination;
    m.expires_in = 20s;
    return m;
  }
  AttemptEnded End(const std::string& id, Outcome outcome, int attempt = 0, Time told_wait = 0s) const {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.outcome = outcome;
    e.latency = 100ms;
    e.closed = outcome == Outcome::kServed;
    e.retry_after = told_wait;
    for (const Send& s : sent) {
      if (s.id == id) e.endpoint = s.endpoint;
    }
    return e;
  }
  int Sends(const std::string& id) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [&](const Send& s) { return s.id == id; }));
  }
  template <typename A>
  int Count() const {
    return static_cast<int>(std::count_if(last.begin(), last.end(),
                                          [](const Action& a) { return std::holds_alternative<A>(a); }));
  }
  bool Failed(const std::string& id) const {
    return std::find(failed.begin(), failed.end(), id) != failed.end();
  }
  bool Refused(const std::string& id) const { return refused.count(id) > 0; }

  Decider decider;
  Time now = 100s;
  std::int64_t revision = 0;
  std::vector<Action> last;
  std::vector<Send> sent;
  std::map<std::string, Time> sent_at;
  std::map<std::string, Time> refused;
  std::vector<std::string> failed;
};

}  // namespace wheathub::testing
