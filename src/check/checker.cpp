#include "check/checker.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oxbowspread::check {
namespace {

using Kind = Event::Kind;
using namespace std::chrono_literals;

constexpr Time kForgetAfter = 60s;  // what comes for an id later is unknown anyway

std::string Seconds(Time t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f s", static_cast<double>(t.count()) / 1e6);
  return text;
}

std::string RelayName(int relay) { return "relay " + std::to_string(relay); }

}  // namespace

void Checker::Break(const Event& event, const char* rule, const std::string& id, const std::string& events) {
  breaches_.push_back({event.at, rule, id, events});
}

void Checker::See(const Event& event) {
  if (event.at < now_) {
    Break(event, "trace", event.id,
          std::string(trace::NameOf(event.kind)) + " at " + Seconds(event.at) + " follows an event at " +
              Seconds(now_));
    return;
  }
  now_ = event.at;
  Overdue(now_);
  switch (event.kind) {
    case Kind::kHanded: {
      Id& id = ids_[event.id];
      id.relay = event.relay;
      id.destination = event.destination;
      id.until = event.until;
      // Also one that is not taken on is forgotten some day.
      over_.emplace_back(event.until, event.id);
      break;
    }
    case Kind::kTaken: {
      const auto it = ids_.find(event.id);
      if (it == ids_.end()) return Break(event, "unknown-message", event.id, "taken on, never handed in");
      it->second.taken_at = event.at;
      if (!it->second.delivered && !it->second.noticed) {
        Owe(event.id, it->second, it->second.until + rules_.end_within + rules_.slack);
      }
      break;
    }
    case Kind::kLeft:
      if (const auto it = ids_.find(event.id); it != ids_.end()) it->second.left = true;
      break;
    case Kind::kCalled:
      return Called(event);
    case Kind::kAnswered:
    case Kind::kDropped:
      return Ended(event);
    case Kind::kNoticed:
      return Noticed(event);
    case Kind::kTold: {
      auto& not_up = Of(event.relay).not_up;
      if (event.up) {
        not_up.erase(event.host);
      } else {
        not_up.emplace(event.host, event.at);
      }
      break;
    }
    case Kind::kReady:
      return Ready(event);
    case Kind::kTerminated:
      Of(event.relay).terminated = true;
      [[fallthrough]];
    case Kind::kStopped:
      Of(event.relay).ready = false;
      Of(event.relay).restarting = true;
      break;
    case Kind::kDead:
      return Dead(event);
    case Kind::kOutage:
      hosts_[event.host].outage = true;
      break;
    case Kind::kBack:
      hosts_[event.host].outage = false;
      hosts_[event.host].cold = true;
      break;
    case Kind::kFell:
      return Fell(event);
    case Kind::kChanged:
    case Kind::kDiscovery:
      return discovery_.See(event);
    case Kind::kEnd:
      ended_ = true;
      break;
    case Kind::kAsked:
    case Kind::kTurnedAway:
    case Kind::kGivenUp:
      break;
  }
}

void Checker::Owe(const std::string& name, Id& id, Time due) {
  id.due = due;
  due_.emplace(due, name);
}

void Checker::Settle(const std::string& name, Id& id) {
  if (id.due < 0us) return;
  due_.erase({id.due, name});
  id.due = Time(-1);
}

void Checker::Called(const Event& event) {
  ++calls_;
  Relay& relay = Of(event.relay);
  Host& host = hosts_[event.host];
  if (host.outage || host.cold) {
    host.pushes.push_back({event.at, relay.knows.count(event.host) > 0});
    while (host.pushes.front().at < event.at - rules_.tip_after) host.pushes.pop_front();
  }
  CheckDrain(event, relay);
  if (const auto it = relay.waits.find(event.host);
      it != relay.waits.end() && event.at < it->second.until &&
      event.at > it->second.told + rules_.wait_let_through + rules_.slack) {
    Break(event, "wait", event.id,
          RelayName(event.relay) + " was told at " + Seconds(it->second.told) + " to wait with " +
              event.host + " until " + Seconds(it->second.until) + ", and called it at " + Seconds(event.at));
  }
  const auto it = ids_.find(event.id);
  if (it == ids_.end()) {
    return Break(event, "unknown-message", event.id,
                 event.host + " was called with what no client handed in");
  }
  Id& id = it->second;
  ++id.attempts;
  if (event.destination != id.destination) {
    Break(event, "wrong-destination", event.id,
          "for destination " + std::to_string(id.destination) + ", and went to " + event.host + " of " +
              std::to_string(event.destination));
  }
  if (id.attempts > rules_.most_attempts) {
    Break(event, "attempts", event.id, "called " + std::to_string(id.attempts) + " times");
  }
  if (!id.out.empty()) {
    Break(event, "two-legs", event.id,
          "called at " + event.host + " while a call is out at " + id.out.front().host + " since " +
              Seconds(id.out.front().at));
  }
  if (id.noticed) {
    Break(event, "after-end", event.id,
          "called at " + event.host + " after its end was told at " + Seconds(id.ended_at));
  }
  if (id.risk) {
    const bool late = event.at > id.risk_at + rules_.repeat_window + rules_.slack;
    const bool elsewhere = rules_.repeats_bound_to_zone && event.zone != id.risk_zone;
    if (rules_.semantics == Rules::Semantics::kAtMostOnce ||
        (rules_.semantics == Rules::Semantics::kDeduplicated && (late || elsewhere))) {
      Break(event, "repeat", event.id,
            "may have run in zone " + std::to_string(id.risk_zone) + " since " + Seconds(id.risk_at) +
                ", and was repeated in zone " + std::to_string(event.zone) + " at " + Seconds(event.at));
    }
  }
  id.out.push_back({event.host, event.at, event.zone});
}

void Checker::CheckDrain(const Event& event, const Relay& relay) {
  const Time grace = rules_.drain_grace + rules_.slack;
  if (const auto it = relay.not_up.find(event.host);
      it != relay.not_up.end() && event.at > it->second + grace) {
    return Break(event, "drain", event.id,
                 RelayName(event.relay) + " was told at " + Seconds(it->second) + " that " + event.host +
                     " is not up, and called it at " + Seconds(event.at));
  }
  const auto changed_at = discovery_.UnlistedSince(event.host);
  if (!changed_at || !discovery_.reachable()) return;
  const Time known = discovery_.TellableSince(*changed_at, relay.up_since) + rules_.known_within;
  if (event.at <= known + grace) return;
  Break(event, "drain", event.id,
        RelayName(event.relay) + " counts as told at " + Seconds(known) + " that " + event.host +
            " is not up, which discovery had at " + Seconds(*changed_at) + ", and called it at " +
            Seconds(event.at));
}

void Checker::MayHaveRun(Id& id, const Open& call) {
  if (id.risk && id.risk_at <= call.at) return;
  id.risk = true;
  id.risk_at = call.at;
  id.risk_zone = call.zone;
}

void Checker::Ended(const Event& event) {
  const bool answered = event.kind == Kind::kAnswered;
  // Turned away, never sent, or over: in none of these it has run.
  const bool never_ran =
      answered && (event.status == 429 || event.status == 503 || event.status == 504 || event.status == 410);
  Relay& relay = Of(event.relay);
  if (answered && event.wait > 0us) {
    Wait& wait = relay.waits[event.host];
    if (event.at + event.wait > wait.until) wait = {event.at, event.at + event.wait};
  }
  if (hosts_[event.host].outage && (!answered || event.status != 200)) relay.knows.insert(event.host);
  const auto it = ids_.find(event.id);
  if (it == ids_.end()) return;
  Id& id = it->second;
  const auto call =
      std::find_if(id.out.begin(), id.out.end(), [&](const Open& o) { return o.host == event.host; });
  if (call == id.out.end()) return;
  const Open was = *call;
  id.out.erase(call);
  if (!never_ran) MayHaveRun(id, was);
  if (answered && event.status == 200) {
    id.delivered = true;
    if (id.ended_at < 0us) id.ended_at = event.at;
    Settle(event.id, id);
  }
}

void Checker::Noticed(const Event& event) {
  const auto it = ids_.find(event.id);
  if (it == ids_.end()) {
    return Break(event, "unknown-message", event.id, "an end was told of what no client handed in");
  }
  Id& id = it->second;
  if (id.noticed && id.deferred != event.deferred) {
    Break(event, "two-ends", event.id,
          std::string("ended as ") + (id.deferred ? "deferred" : "undeliverable") + " at " +
              Seconds(id.ended_at) + " and as " + (event.deferred ? "deferred" : "undeliverable") + " at " +
              Seconds(event.at));
  }
  const bool bound = rules_.semantics == Rules::Semantics::kAtMostOnce ||
                     (rules_.semantics == Rules::Semantics::kDeduplicated && rules_.repeats_bound_to_zone);
  if (event.deferred && bound && !id.delivered && (id.risk || !id.out.empty())) {
    Break(event, "refused-after-risk", event.id,
          "given back to its client at " + Seconds(event.at) + " though it may have run since " +
              Seconds(id.risk ? id.risk_at : id.out.front().at));
  }
  if (!id.noticed) {
    id.noticed = true;
    id.deferred = event.deferred;
    if (id.ended_at < 0us) id.ended_at = event.at;
  }
  Settle(event.id, id);
}

// A process that was stopped and goes on is ready as well, but it is no new one: what it counts as told of is
// not counted anew, and if it was told to end, its restart is still to come. No notice of it is overdue from
// SIGTERM until 1.5 s after that restart.
void Checker::Ready(const Event& event) {
  Relay& relay = Of(event.relay);
  if (!std::exchange(relay.running, true)) relay.up_since = event.at;
  if (relay.terminated) return;
  relay.ready = true;
  relay.ready_at = event.at;
}

// Its calls break, which their hosts tell. What it was told is forgotten with it.
void Checker::Dead(const Event& event) {
  Relay& relay = Of(event.relay);
  relay.ready = relay.running = relay.terminated = false;
  relay.restarting = true;
  relay.waits.clear();
  relay.not_up.clear();
  relay.knows.clear();
}

void Checker::Fell(const Event& event) {
  Host& host = hosts_[event.host];
  std::size_t knew = 0, all = 0;
  for (const Push& push : host.pushes) {
    if (push.at < event.at - rules_.tip_after) continue;
    ++all;
    if (push.knew) ++knew;
  }
  if (all == 0 || static_cast<double>(knew) < rules_.pushers * static_cast<double>(all)) return;
  Break(event, "push-over", event.host,
        std::to_string(knew) + " of " + std::to_string(all) +
            " calls that pushed it over came from relays that had seen it fail");
}

void Checker::Overdue(Time now) {
  while (!due_.empty() && due_.begin()->first < now) {
    const auto [when, name] = *due_.begin();
    Id& id = ids_.at(name);
    Settle(name, id);
    const Relay& relay = Of(id.relay);
    const Time excused = (relay.ready ? relay.ready_at : now) + rules_.end_after_ready + rules_.slack;
    if (relay.restarting && excused >= now) {
      Owe(name, id, excused);  // looked at again when the relay has been back for long enough
      continue;
    }
    Event event;
    event.at = now;
    Break(event, "lost", name,
          "taken on by " + RelayName(id.relay) + " at " + Seconds(id.taken_at) + ", its time was up at " +
              Seconds(id.until) + ", and no end was told by " + Seconds(when));
  }
  while (!over_.empty() && over_.front().first + kForgetAfter < now) {
    const std::string name = std::move(over_.front().second);
    over_.pop_front();
    const auto it = ids_.find(name);
    if (it == ids_.end()) continue;
    if (it->second.due >= 0us) {
      over_.emplace_back(now, name);
    } else {
      ids_.erase(it);
    }
  }
}

void Checker::Finish() {
  if (!ended_) {
    undecided_ = due_.size();
    return;
  }
  // The run's regular end comes after the last message's time: what is still owed then is lost.
  for (const auto& [when, name] : due_) {
    Event event;
    event.at = now_;
    Break(event, "lost", name, "taken on, and no end was told before the run's end at " + Seconds(now_));
  }
  due_.clear();
}

}  // namespace oxbowspread::check
