// Random but legal events against the module; every action is audited against the rules as far as a sender
// can see them. No model of servers: outcomes are drawn blindly.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "rig.hpp"

namespace wheathub::testing {
namespace {

struct Known {
  Message m;
  Time ends_at{0};
  int sends = 0;
  bool out = false;
  bool ended = false;
  bool may_have_run = false;
  Time first_risk_at{0};
  int risk_zone = 0;
  Time sent_at{0};
  EndpointId endpoint;
  std::uint64_t seq = 0;
};

class Auditor {
 public:
  Auditor(const Settings& s) : s_(s) {}

  std::vector<std::string> breaks;
  std::map<MessageId, Known> messages;
  std::map<EndpointId, EndpointInfo> list;
  std::set<EndpointId> probing;

  void Take(const Message& m, Time now) {
    Known k;
    k.m = m;
    k.ends_at = now + m.expires_in;
    k.seq = ++seq_;
    messages[m.id] = k;
  }
  void Wait(const EndpointId& id, Time until) {
    Time& w = waits_[RouteOf(id)];
    w = std::max(w, until);
  }
  void Ended(const AttemptEnded& e, Time now) {
    Known& k = messages.at(e.id);
    k.out = false;
    if (e.closed) k.ended = true;
    const bool proof = e.outcome == Outcome::kRefused || e.outcome == Outcome::kNoConnection ||
                       e.outcome == Outcome::kNotSent;
    if (!proof && !k.may_have_run) {
      k.may_have_run = true;
      k.first_risk_at = k.sent_at;
      k.risk_zone = list.at(k.endpoint).zone;
    }
    if (e.outcome == Outcome::kTimedOut || e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled) {
      if (Ordered(k)) rest_[k.m.key] = {k.seq, now + s_.order_settle};
    }
  }
  void Check(const std::vector<Action>& actions, Time now) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) CheckSend(*send, now);
      if (const auto* refuse = std::get_if<Refuse>(&a)) CheckEnd(refuse->id, true);
      if (const auto* fail = std::get_if<Fail>(&a)) CheckEnd(fail->id, false);
      if (const auto* probe = std::get_if<Probe>(&a)) {
        CheckEndpoint(probe->endpoint, now);
        probing.insert(probe->endpoint);
        if (!s_.may_probe) Break("probe not allowed");
      }
    }
    int slots = 0;
    for (auto& [id, k] : messages) {
      slots += k.out;
      if (!k.ended && now > k.ends_at + s_.answer_grace) Break("lost: " + id);
    }
    if (slots > s_.slots) Break("more calls than slots");
  }

 private:
  void Break(const std::string& what) { breaks.push_back(what); }
  std::string RouteOf(const EndpointId& id) const {
    const EndpointInfo& e = list.at(id);
    return std::to_string(e.destination) +
           (s_.kinds[static_cast<std::size_t>(e.kind)].separate_routes ? id : "");
  }
  bool Ordered(const Known& k) const {
    return !k.m.key.empty() && s_.classes[static_cast<std::size_t>(k.m.message_class)].ordered;
  }
  void CheckEndpoint(const EndpointId& id, Time now) {
    if (list.at(id).lifecycle != Lifecycle::kUp) Break("drain: send to " + id);
    if (waits_[RouteOf(id)] > now) Break("wait: send to " + id);
  }
  void CheckSend(const Send& send, Time now) {
    Known& k = messages.at(send.id);
    const MessageClass& c = s_.classes[static_cast<std::size_t>(k.m.message_class)];
    CheckEndpoint(send.endpoint, now);
    if (list.at(send.endpoint).destination != k.m.destination) Break("foreign destination");
    if (k.ended) Break("sent after its end");
    if (k.out) Break("two at once");
    if (k.sends >= s_.max_attempts) Break("too many attempts");
    if (k.may_have_run && c.semantics == Semantics::kAtMostOnce) Break("effect twice");
    if (k.may_have_run && c.semantics == Semantics::kDeduplicated) {
      if (now > k.first_risk_at + c.repeat_window) Break("effect twice: window");
      if (c.repeats_bound_to_zone && list.at(send.endpoint).zone != k.risk_zone) Break("effect twice: zone");
    }
    if (Ordered(k)) {
      for (const auto& [id, other] : messages) {
        if (Ordered(other) && other.m.key == k.m.key && other.seq < k.seq && (!other.ended || other.out)) {
          Break("order: " + id + " first");
        }
      }
      const auto rest = rest_.find(k.m.key);
      if (rest != rest_.end() && rest->second.first < k.seq && rest->second.second > now)
        Break("order: rest");
    }
    k.out = true;
    k.sends += 1;
    k.sent_at = now;
    k.endpoint = send.endpoint;
  }
  void CheckEnd(const MessageId& id, bool refusal) {
    Known& k = messages.at(id);
    if (k.ended) Break("ended twice: " + id);
    k.ended = true;
    if (refusal && k.may_have_run) Break("refused though it may have run: " + id);
    if (refusal && k.out) Break("refused while out: " + id);
  }

  Settings s_;
  std::uint64_t seq_ = 0;
  std::map<std::string, Time> waits_;
  std::map<std::string, std::pair<std::uint64_t, Time>> rest_;
};

// A day of blind chance. Returns the auditor for its findings.
Auditor PlayDay(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  Settings s = BasicSettings();
  s.may_probe = draw(2) == 0;
  s.slots = 3 + draw(10);
  s.kinds[2].bundle_max = 1;
  s.classes[1].repeats_bound_to_zone = draw(2) == 0;
  s.classes[1].repeat_window = 2s;
  Auditor audit(s);
  Decider decider(s, seed);
  std::vector<EndpointInfo> all;
  for (int i = 0; i < 8; ++i) all.push_back(At("e" + std::to_string(i), i / 2, (i / 2) % 2, i % 2));
  for (const EndpointInfo& e : all) audit.list[e.id] = e;
  Time now = 10s;
  std::multimap<Time, AttemptEnded> due;
  std::map<MessageId, int> attempts;
  const auto step = [&](std::vector<Event> events) {
    for (const Event& event : events) {
      if (const auto* m = std::get_if<Message>(&event)) audit.Take(*m, now);
      if (const auto* e = std::get_if<AttemptEnded>(&event)) {
        audit.Ended(*e, now);
        if (e->retry_after > 0s) audit.Wait(e->endpoint, now + e->retry_after);
      }
      if (const auto* p = std::get_if<ProbeEnded>(&event)) {
        audit.probing.erase(p->endpoint);
        if (p->retry_after > 0s) audit.Wait(p->endpoint, now + p->retry_after);
      }
    }
    const auto actions = decider.Step(now, events);
    audit.Check(actions, now);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        AttemptEnded e;
        e.id = send->id;
        e.attempt = attempts[send->id]++;
        e.endpoint = send->endpoint;
        const Time left = audit.messages.at(send->id).ends_at - now;
        const Time limit = send->timeout > 0s ? std::min(send->timeout, left) : left;
        const bool silent = draw(12) == 0;
        e.latency = silent ? limit : std::min(limit, Time(1000 * (20 + draw(600))));
        const int kind = draw(10);
        e.outcome = kind < 5   ? Outcome::kServed
                    : kind < 6 ? Outcome::kError
                    : kind < 8 ? Outcome::kRefused
                    : kind < 9 ? Outcome::kNoConnection
                               : Outcome::kReset;
        if (e.latency == limit) e.outcome = Outcome::kTimedOut;
        e.closed = e.outcome == Outcome::kServed;
        if (e.outcome == Outcome::kRefused && draw(2) == 0) e.retry_after = Time(1000 * (1 + draw(1500)));
        due.emplace(now + e.latency, e);
      }
      if (const auto* cancel = std::get_if<Cancel>(&a)) {
        for (auto it = due.begin(); it != due.end(); ++it) {
          if (it->second.id != cancel->id) continue;
          AttemptEnded e = it->second;
          e.outcome = Outcome::kCancelled;
          e.closed = audit.messages.at(e.id).ended;
          e.retry_after = 0s;
          due.erase(it);
          due.emplace(now + 20ms, e);
          break;
        }
      }
    }
  };
  step({ListUpdate{ListScope::kRemembered, 1, all}});
  for (int i = 0; i < 6500; ++i) {
    now += 5ms;
    std::vector<Event> events;
    while (!due.empty() && due.begin()->first <= now) {
      AttemptEnded e = due.begin()->second;
      e.closed = e.closed || audit.messages.at(e.id).ended;
      events.push_back(e);
      due.erase(due.begin());
    }
    if (i < 5000 && draw(8) == 0) {
      Message m;
      m.id = "m" + std::to_string(i);
      m.message_class = draw(4);
      m.destination = draw(5);  // the last one has no endpoint
      m.expires_in = Time(1000 * (100 + draw(6000)));
      if (m.message_class == 3) m.key = "k" + std::to_string(draw(4));
      events.push_back(m);
    }
    if (draw(200) == 0) {
      EndpointInfo e = all[static_cast<std::size_t>(draw(8))];
      e.lifecycle = static_cast<Lifecycle>(draw(3));
      audit.list[e.id] = e;
      events.push_back(ListUpdate{ListScope::kChanges, i, {e}});
    }
    if (draw(10) == 0) {
      const std::set<EndpointId> probing = audit.probing;
      for (const EndpointId& id : probing) {
        ProbeEnded p;
        p.endpoint = id;
        p.outcome = draw(2) == 0 ? Outcome::kServed : Outcome::kRefused;
        if (p.outcome == Outcome::kRefused) p.retry_after = Time(1000 * (1 + draw(800)));
        events.push_back(p);
      }
    }
    events.push_back(TimerDue{"sweep"});
    step(events);
  }
  for (const auto& [id, k] : audit.messages) {
    if (!k.ended) audit.breaks.push_back("never answered: " + id);
  }
  EXPECT_GT(audit.messages.size(), 400u);
  EXPECT_EQ(decider.held().messages, 0u);
  EXPECT_EQ(decider.held().keys, 0u);
  return audit;
}

class Audit : public ::testing::TestWithParam<int> {};
TEST_P(Audit, NoRuleIsBroken) {
  const Auditor audit = PlayDay(static_cast<std::uint64_t>(GetParam()));
  for (const std::string& what : audit.breaks) ADD_FAILURE() << what;
}
INSTANTIATE_TEST_SUITE_P(Seeds, Audit, ::testing::Range(1, 21));

// Held state does not grow with the messages, destinations and keys that have gone.
TEST(Bound, IdleStateIsDropped) {
  Rig rig;
  for (int round = 0; round < 200; ++round) {
    const std::string n = std::to_string(round);
    rig.List({At("e" + n, round)}, ListScope::kAll);
    Message m = rig.New("m" + n, 3, round);
    m.key = "k" + n;
    rig.Do({m});
    rig.now += 50ms;
    rig.Do({rig.End("m" + n, Outcome::kServed)});
  }
  const auto held = rig.decider.held();
  EXPECT_EQ(held.messages + held.calls + held.keys, 0u);
  EXPECT_EQ(held.endpoints, 1u);
  EXPECT_LE(held.routes, 1u);
}

}  // namespace
}  // namespace wheathub::testing
