// wheathub: all decisions; interface: include/wheathub/decide.hpp. In order: constants; what is remembered;
// the design; health and slow start; what goes where; events. A step touches what its events and alarms
// concern.
#include "wheathub/decide.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

#include "wheathub/list_subscription.hpp"

namespace wheathub {
namespace {

using namespace std::chrono_literals;

// ---- constants ----
// Retry budget (tokens): repeats stay under a third of first sends but for the cap, spent once.
constexpr double kTokenPerFirstSend = 0.3;
constexpr double kTokenCap = 5;
// Pacing gap after refusals, of one held message: few soon learn a limit, a clump of many drains slowly.
constexpr double kFewest = 4;  // senders at least, before any counts as one of many
constexpr Time kGapStep = 60ms, kGapStepMany = 2s, kGapMax = 2s, kGapMaxMany = 20s;
constexpr double kGapShrink = 0.12;  // share of the gap that a served call takes off
constexpr Time kPause = 1500ms;      // of the destination's other endpoints, for one of many
// Turns: between calls of this sender to an endpoint, by its part of the told limit and as learned.
// Times bolder over the number of senders; told at most so long, learned: longer would serve too late.
constexpr double kTurnFew = 10, kTurnToldS = 8, kTurnMostS = 12;
constexpr double kTurnKeptS = 0.4, kTurnWaitS = 2;  // unused it lapses, but nobody waits longer for one
constexpr double kTurnShrink = 0.08, kTurnWiden = 3, kTurnLeast = 0.3, kTurnMost = 3;  // see ScaleTurn
// Pace: times all turns, from all calls. It holds the refused share at what the price allows.
constexpr double kPaceShrink = 0.025, kPaceLeast = 0.2, kPaceMost = 1.4;
constexpr double kRefusedAt = 0.05, kRefusedPrice = 0.1, kRefusedMost = 0.3;  // that share, at that price
// Health.
constexpr double kChance = 0.02;         // failures in a row less likely than this by chance are an outage
constexpr int kStrikesMost = 5;          // failures in a row are an outage however many calls fail anyway
constexpr double kFailingWeight = 0.05;  // of a new outcome in the share that fails
constexpr int kStrikes = 2;              // failures in a row: one may be chance
constexpr Time kFreshService = 1s;       // a call served so lately speaks against an outage
constexpr Time kShun = 15s;              // a class keeps off an endpoint that failed it
constexpr Time kBackoffFirst = 500ms, kBackoffMax = 2500ms;  // between tries of what is down, doubling
constexpr double kOverdueTimes = 5;  // a call is overdue after so many times the usual latency
constexpr Time kOverdueLeast = 1500ms;
constexpr int kTimeoutOverdue = 2;       // times that, for repeatable messages: a repeat costs a token
constexpr double kColdPatience = 2.5;    // times longer for a cold endpoint, at most
constexpr double kLatencyWeight = 0.15;  // of a new latency in the moving mean
constexpr Time kLatencyGuess = 400ms;    // before any call was served
// Slow start.
constexpr double kLeastRate = 2;     // calls a second that any destination takes from all senders together
constexpr double kTrialShare = 0.3;  // of this sender's part, for trials of a destination that is down
constexpr double kFoundLate = 0.5;   // share of the time since the last failure for which it is back
constexpr double kHorizonS = 30, kShortPastS = 5;  // arrivals are counted over so long; a clump is no rate
constexpr double kOutageGuessS = 5;  // an outage is older than this sender's first failure there
// What goes where, in seconds of a call's time.
constexpr double kColdCost = 1, kTrialCost = 10;  // a trial: first for what may be repeated, else last
constexpr double kFeeCost = 5;                    // a point of fee
constexpr double kDrawCost = 1;      // each sender prefers endpoints of its own, by weight: see Draw
constexpr double kHeadStartS = 4;    // e times the worth lost a second goes before what came so much earlier
constexpr double kLateMargin = 1.5;  // usual latencies before its aim a message is late: calls vary
// A call served so soon after at most so many failed connects: crowded, not down; so often over a kind.
constexpr Time kCrowdedWithin = 3s;
constexpr int kCrowdedStrikes = 2;
constexpr double kCrowdedAfter = 0.9;
constexpr Time kSecondLook = 1s;      // after a lone failed connect
constexpr double kSlotShare = 0.4;    // of all slots for one destination at most
constexpr double kFullAt = 0.92;      // share of max_open from which the least worth is given up
constexpr Time kAnswerMargin = 60ms;  // an unsent message is answered this long before its time ends
constexpr Time kRetryAfter = 1s;      // advice to a refused client where nothing better is known
// A tenant's share is counted over so long, and over so many messages at least: one of many sees few.
constexpr double kQuotaBurstS = 2, kQuotaBurst = 2;

constexpr Time kNever = EndpointBelief::kNever;
double Seconds(Time t) { return static_cast<double>(t.count()) * 1e-6; }
Time Micros(double s) { return Time(static_cast<std::int64_t>(std::llround(s * 1e6))); }

// ---- what is remembered ----

struct Destination;
struct Pending;
struct Call;
// What is due: the list, a look at a destination, a message's answer, a call's judgement, the end of a rest.
using Due = std::variant<std::monostate, Destination*, Pending*, Call*, std::string>;
using Agenda = std::multimap<Time, Due>;
using Alarm = std::optional<Agenda::iterator>;
using CallKey = std::pair<MessageId, int>;
using Order = std::pair<double, std::int64_t>;  // of messages, by a figure and then by arrival

struct Route : RouteBelief {
  int endpoints = 0, calls = 0;  // listed, out
  Time spread{0}, kept{0};       // the gap drawn after the last call; how long a turn is kept
  double drawn = 1;              // of the turn after it

  Route() { tokens = kTokenCap; }

  bool DrawToken() {
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  void ShrinkGap(bool waiting) {
    if (waiting) ScaleTurn(1 - kTurnShrink);
    gap = Micros(Seconds(gap) * (1 - kGapShrink));
    if (gap < kGapStep / 4) gap = 0us;
  }
  void ScaleTurn(double by) {
    const double part = Seconds(told_turn), least = std::min(part, kTurnToldS / 2) * kTurnLeast;
    turn = Micros(std::clamp(Seconds(turn) * by, least, part * kTurnMost));
  }
  // By the messages held: the more, the shorter is the turn and the closer go calls after a refusal.
  Time FreeAt(Time now, double pace, double held) const {
    const Time each = Micros(std::min(kTurnMostS, pace * Seconds(turn) / std::sqrt(held)));
    Time at = next_turn + Micros(drawn * Seconds(each));
    const Time late = now - kept - at;
    if (late > 0us && each > 0us) at += each * (late / each + 1);
    return std::max({wait_until, next_send - spread + Micros(Seconds(spread) / held), at});
  }
  Time KeptUntil() const { return endpoints > 0 ? Time::max() : std::max(wait_until, cold_until); }
};

struct Endpoint : EndpointBelief {
  EndpointInfo info;
  Destination* home = nullptr;
  Route* route = nullptr;
  bool listed = false, trying = false;  // trying: a probe or a trial message is out
  int calls = 0;                        // out
  std::vector<Call*> out;               // messages in them
  double draw = 0;                      // of this sender for this endpoint
  std::map<int, Time> shunned;          // by classes that failed here, until then

  Endpoint() { latency_s = Seconds(kLatencyGuess); }
  bool Usable() const { return listed && info.lifecycle == Lifecycle::kUp; }
};

struct Pending {
  Message m;
  std::int64_t seq = 0;
  Destination* home = nullptr;
  Order order;  // place in its lane: smaller goes first
  Time aim_at{0}, ends_at{0};
  double worth = 1;
  int sends = 0, risk_zone = 0;
  bool queued = false, out = false, may_have_run = false, streaming = false;
  bool late = false;      // can't be served within its aim any more
  Time first_risk_at{0};  // send of the first attempt that may have run; risk_zone: its zone
  Alarm alarm;

  Order ShedOrder() const { return {worth, -seq}; }  // of two alike the later one goes
  std::size_t Lane() const { return static_cast<std::size_t>(m.message_class) * 2 + may_have_run; }
};

struct Count {  // of what came lately
  double n = 0;
  Time at{0};

  double At(Time now) const { return n * std::exp(-Seconds(now - at) / kHorizonS); }
  void Add(Time now) { *this = {At(now) + 1, now}; }
};

// Messages of one class that may go to the same endpoints stand in one lane: if its first can't go, none can.
struct Destination {
  DestinationId id = 0;
  std::vector<Endpoint*> endpoints;  // by id
  std::map<EndpointId, Route> routes;
  std::vector<std::map<Order, Pending*>> lanes;
  int held = 0, waiting = 0;                             // messages not over, of them in lanes
  double weight = 0;                                     // of its endpoints, summed
  Time refused_at = EndpointBelief::kNever, pause{0};    // the last refusal as full, and what follows it
  std::optional<std::pair<Order, DestinationId>> ready;  // its place among those that may send
  bool touched = false;
  Count arrivals;
  Alarm alarm;
};

struct Call {
  CallKey key;
  int message_class = 0;
  Endpoint* endpoint = nullptr;
  std::string order_key;
  std::uint64_t bundle = 0;
  Time sent_at{0}, allowed{0};        // overdue after so long
  int overdue = 0;                    // 1: overdue, 2: for twice the time
  bool trial = false, stuck = false;  // stuck: may be called off
  Alarm alarm;
};

struct Share {  // of a tenant, at this sender
  double per_s = 0;
  double tokens = 0;
  Time at{0};

  bool Take(Time now) {
    if (at != Time::min())
      tokens = std::min(kQuotaBurst + per_s * kQuotaBurstS, tokens + per_s * Seconds(now - at));
    at = now;
    const bool within = tokens >= 1;
    tokens -= within;
    return within;
  }
};

struct KeyLine {
  std::deque<MessageId> line;
  Time rest_until{0};
  Alarm alarm;
};

}  // namespace

class Decider::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : s_(std::move(settings)),
        random_(seed),
        list_({false, s_.senders, true}, s_.list_must_be_asked_for ? random_() : 0) {
    if (s_.classes.empty()) throw std::invalid_argument("no message class is given: nothing can be sent");
    if (s_.senders < 1) throw std::invalid_argument("the number of senders must be 1 or more");
    for (const MessageClass& c : s_.classes) {
      const bool timed = c.deadline > 0us && c.aim >= 0us && c.aim <= c.deadline;
      const bool windowed = c.semantics != Semantics::kDeduplicated || c.repeat_window > 0us;
      if (!timed) throw std::invalid_argument(c.name + ": the aim must lie between 0 and the deadline");
      if (!windowed) throw std::invalid_argument(c.name + ": deduplicated needs a repeat window above 0");
    }
    for (const Tenant& t : s_.tenants) {
      const double per_s = t.quota_per_s / s_.senders;
      shares_.push_back({per_s, kQuotaBurst + per_s * kQuotaBurstS, Time::min()});
    }
  }

  std::vector<Action> Step(Time now, std::span<const Event> events) {
    now_ = started_at_ ? std::max(now_, now) : now;
    actions_.clear();
    if (!started_at_) StepList(ListSubscription::Started{});
    if (!started_at_) started_at_ = now;
    for (const Event& event : events) std::visit([this](const auto& e) { On(e); }, event);
    while (!agenda_.empty() && agenda_.begin()->first <= now_) {
      const Due due = agenda_.begin()->second;
      std::visit([this](const auto& what) { OnDue(what); }, due);
    }
    Dispatch();
    if (Shed()) Dispatch();
    DropIdle();
    SetTimerForNext();
    return std::move(actions_);
  }

  std::vector<Belief> beliefs() const {
    std::vector<Belief> all;
    for (const auto& [id, e] : endpoints_) all.push_back({id, *e.route, e});
    return all;
  }
  Decider::Held held() const {
    std::size_t routes = 0;
    for (const auto& [id, d] : destinations_) routes += d.routes.size();
    return {messages_.size(), calls_.size(), endpoints_.size(), routes, keys_.size()};
  }

 private:
  const MessageClass& ClassOf(const Message& m) const {
    return s_.classes[static_cast<std::size_t>(m.message_class)];
  }
  DestinationKind KindOf(const EndpointInfo& info) const {
    const auto kind = static_cast<std::size_t>(info.kind);
    return kind < s_.kinds.size() ? s_.kinds[kind] : DestinationKind();
  }
  Destination& Home(DestinationId id) {
    Destination& d = destinations_[id];
    d.id = id;
    d.lanes.resize(s_.classes.size() * 2);
    return d;
  }
  double Uniform(double from, double to) {  // spelled out: the library's distributions differ between systems
    return from + (to - from) * (static_cast<double>(random_() >> 11) * 0x1p-53);
  }

  void SetAlarm(Alarm& alarm, Time at, Due what) {
    ClearAlarm(alarm);
    alarm = agenda_.emplace(at, std::move(what));
  }
  void ClearAlarm(Alarm& alarm) {
    if (alarm) agenda_.erase(*alarm);
    alarm.reset();
  }
  void OnDue(std::monostate) { StepList(ListSubscription::Elapsed{}); }
  void OnDue(Destination* d) { ClearAlarm(d->alarm), Touch(*d); }
  void OnDue(Pending* p) { now_ < UnsentUntil(*p) ? FallBehind(*p) : GiveUp(*p); }
  void OnDue(Call* call) { FindOverdue(*call); }
  void OnDue(const std::string& key) { AdvanceLine(key); }
  // One timer for what is due next; those set before can't be withdrawn.
  void SetTimerForNext() {
    if (timer_at_ <= now_) timer_at_ = Time::max();
    if (agenda_.empty() || agenda_.begin()->first >= timer_at_) return;
    timer_at_ = std::max(agenda_.begin()->first, now_ + 1us);
    actions_.push_back(SetTimer{"due", timer_at_});
  }

  // ---- the design: what a failure means, budget, final answers ----
  // An unsent message is answered then: its time ends, or a keyed one that may have run is past its window.
  Time UnsentUntil(const Pending& p) const {
    const MessageClass& c = ClassOf(p.m);
    const Time end = p.ends_at - kAnswerMargin;
    if (!p.may_have_run || c.semantics != Semantics::kDeduplicated) return end;
    return std::min(end, p.first_risk_at + c.repeat_window);
  }
  // A failed message that its class lets go again draws its token for the repeat at once, or ends at once.
  void RepeatOrEnd(Pending& p, Route& r) {
    const bool spent = (s_.max_attempts > 0 && p.sends >= s_.max_attempts) || now_ >= UnsentUntil(p);
    if (spent || (p.may_have_run && !Repeatable(p)) || !r.DrawToken()) return GiveUp(p);
    Hold(p);
  }
  void GiveUp(const Pending& p) {
    const MessageId id = p.m.id;
    actions_.push_back(p.may_have_run ? Action(Fail{id}) : Action(Refuse{id, RetryAfter(p)}));
    Forget(id);
  }
  Time RetryAfter(const Pending& p) {
    if (!s_.may_give_retry_after) return 0us;
    const Time soonest = SoonestOpen(*p.home);
    const Time wait = soonest == Time::max() ? kRetryAfter : std::max(soonest - now_, kRetryAfter);
    const Time most = s_.max_retry_after > 0us ? s_.max_retry_after : Time::max();
    return std::min(most, Micros(Seconds(wait) * Uniform(1.0, 1.3)));
  }

  void Hold(Pending& p) {
    p.late = now_ >= LateAt(p);
    p.order = {Standing(p), p.seq};
    SetAlarm(p.alarm, p.late ? UnsentUntil(p) : std::min(LateAt(p), UnsentUntil(p)), &p);
    if (!p.may_have_run && !p.m.history.kept) sheddable_.emplace(p.ShedOrder(), &p);
    Enqueue(p);
  }
  // Too late for its aim: what can still be in time goes first. Helps when more comes than can go: a queue by
  // arrival would serve all of it late. Harm: what fell behind may wait until its time ends.
  void FallBehind(Pending& p) {
    Dequeue(p);
    Hold(p);
  }
  Time LateAt(const Pending& p) const {
    double least_s = Seconds(kLatencyGuess);
    for (const Endpoint* e : p.home->endpoints) least_s = std::min(least_s, e->latency_s);
    return p.aim_at - Micros(kLateMargin * least_s);
  }
  void Enqueue(Pending& p) {
    if (p.queued || !HasTurn(p)) return;
    p.queued = p.home->lanes[p.Lane()].emplace(p.order, &p).second;
    p.home->waiting += 1;
    Touch(*p.home);
  }
  void Dequeue(Pending& p) {
    ClearAlarm(p.alarm);
    sheddable_.erase(p.ShedOrder());
    if (!std::exchange(p.queued, false)) return;
    p.home->lanes[p.Lane()].erase(p.order);
    p.home->waiting -= 1;
  }
  void Forget(const MessageId& id) {
    const auto it = messages_.find(id);
    if (it == messages_.end()) return;
    Pending& p = it->second;
    Dequeue(p);
    p.home->held -= 1;
    Touch(*p.home);
    const std::string key = !p.out && Ordered(p.m) ? p.m.key : std::string();
    messages_.erase(it);
    if (!key.empty()) LeaveLine(key, id);
  }

  // ---- order by key ----
  bool Ordered(const Message& m) const { return !m.key.empty() && ClassOf(m).ordered; }
  void LeaveLine(const std::string& key, const MessageId& id) {
    std::erase(keys_.at(key).line, id);
    AdvanceLine(key);
  }
  void AdvanceLine(const std::string& key) {
    KeyLine& k = keys_.at(key);
    ClearAlarm(k.alarm);
    if (k.rest_until > now_) return SetAlarm(k.alarm, k.rest_until, key);
    const auto first = k.line.empty() ? messages_.end() : messages_.find(k.line.front());
    if (first != messages_.end() && !first->second.out) Enqueue(first->second);
    if (k.line.empty()) keys_.erase(std::string(key));
  }
  bool HasTurn(const Pending& p) const {
    if (!Ordered(p.m)) return true;
    const KeyLine& k = keys_.at(p.m.key);
    return k.line.front() == p.m.id && (p.sends > 0 || k.rest_until <= now_);
  }

  // ---- health and slow start ----
  void NoteServed(Endpoint& e, Time latency, bool probe) {
    // A cold one's calls came by its warmth, not by turns: that they were served tells nothing of turns.
    const bool hindered = e.state == State::kUp && e.home->waiting > 0;
    e.route->ShrinkGap(hindered);
    if (!probe && hindered) pace_ = std::max(kPaceLeast, pace_ * (1 - kPaceShrink));
    e.last_served = now_;
    e.served_sent = std::max(e.served_sent, now_ - latency);
    if (!probe) {
      e.failing -= kFailingWeight * e.failing;
      e.latency_s += kLatencyWeight * (Seconds(latency) - e.latency_s);
    }
    if (e.state == State::kDown && e.second_look) e.state = State::kUp;
    // What is served before the end of a long told wait was sent before that was told: no return.
    if (e.state == State::kDown && now_ >= e.failed_at) {
      e.state = State::kCold;
      // Found late by one of many: it came back at any time since the last failure here. It is paced by what
      // it bears if it came back half way between, but until the latest moment at which it can be cold: paced
      // no more at the earlier one, all that is held would go at once to one that is not warm yet.
      e.cold_since = now_ - Micros(kFoundLate * Seconds(now_ - std::max(e.failed_at, now_ - s_.cold)));
      e.warm_by = now_ + s_.cold;
      e.route->cold_until = e.cold_since + s_.cold;
      e.route->next_in_trouble = now_ + ColdInterval(e, ColdShare(e)) / 2;  // the trial was a call
      actions_.push_back(Log{"returning " + e.info.id});
    }
    e.strikes = 0;
    e.unconnected_at = kNever;
  }
  // Lone failed connects where calls sent soon after are served: idle connections of all senders fill what
  // this kind takes. None is kept, and such failures count less. Harm: a handshake a call; a flap unseen.
  bool Crowded(const Endpoint& e) const {
    return crowded_.count(e.info.kind) > 0 && crowded_.at(e.info.kind).At(now_) >= kCrowdedAfter;
  }
  // Failures in a row that make an endpoint down: one where nothing was served lately, more where some calls
  // fail all the time. Harm: a lossy one's outage is seen later; a lone failure holds rare messages.
  int StrikesToGoDown(const Endpoint& e) const {
    if (Crowded(e)) return kStrikesMost;
    if (e.failing <= kFailingWeight) return now_ - e.last_served > kFreshService ? 1 : kStrikes;
    const double strikes = std::log(kChance) / std::log(std::min(e.failing, 0.99));
    return static_cast<int>(std::ceil(std::clamp<double>(strikes, kStrikes, kStrikesMost)));
  }
  void NoteFailed(Endpoint& e, Outcome o) {
    e.strikes += 1;
    e.failed_at = now_;
    e.eats = MayHaveRun(o);
    if (e.state == State::kDown) return;
    e.failing += kFailingWeight * (1 - e.failing);
    e.second_look = o == Outcome::kNoConnection && e.strikes == 1 && now_ >= e.route->cold_until;
    if (e.strikes >= StrikesToGoDown(e)) GoDown(e, "failures");
    if (e.second_look) e.route->next_in_trouble = now_ + Drawn(kSecondLook);
  }
  // Doubles on a refusal as full. Departures: drawn, of one held message, past a told wait as well: of a
  // clump all senders send again what was refused over some seconds. The refusal of a call sent before the
  // gap last grew tells nothing new, else a burst shuts the sender out. Harm: a second fall is learned late.
  void WidenGap(const Endpoint& e, Time sent_at) {
    Route& r = *e.route;
    const double dear = s_.refused_price > 0 ? kRefusedPrice / s_.refused_price : 1;
    const double share = std::clamp(kRefusedAt * dear * dear, kRefusedAt, kRefusedMost);
    pace_ = std::min(kPaceMost, pace_ * std::exp(kPaceShrink * (1 - share) / share));
    if (sent_at >= r.widened_at) {
      r.widened_at = now_;
      r.ScaleTurn(kTurnWiden);
      r.gap = std::clamp(r.gap * 2, Between(kGapStep, kGapStepMany), Between(kGapMax, kGapMaxMany));
    }
    r.spread = Drawn(r.gap) - (r.wait_until > now_ ? r.gap / 2 : 0us);
    r.next_send = std::max(r.next_send, std::max(now_, r.wait_until) + r.spread);
    // What filled this endpoint is filling its siblings. Harm: one that had room is used later.
    e.home->refused_at = now_;
    e.home->pause =
        Drawn(std::min(Between(0us, kPause), Micros(kHorizonS / (0.01 + e.home->arrivals.At(now_)))));
  }
  double Many() const { return std::max(0.0, 1 - kFewest / s_.senders); }
  Time Between(Time few, Time many) const { return few + Micros(Many() * Seconds(many - few)); }
  Time Drawn(Time mean) { return Micros(Seconds(mean) * Uniform(0.5, 1.5)); }
  void NoteRefused(Endpoint& e, Time told_wait, Time sent_at) {
    Route& r = *e.route;
    r.wait_until = std::max(r.wait_until, now_ + told_wait);
    WidenGap(e, sent_at);
    if (e.state == State::kDown) BackOff(e);
    if (told_wait > kGapMax) ShutUntilWaitEnds(r, *e.home);
  }
  // A long told wait: the route is shut, and cold when it opens.
  void ShutUntilWaitEnds(const Route& r, const Destination& d) {
    for (Endpoint* other : d.endpoints) {
      if (other->route != &r || other->state == State::kDown) continue;
      other->eats = false;
      other->failed_at = r.wait_until;  // out until then
      GoDown(*other, "a long told wait");
    }
  }
  void GoDown(Endpoint& e, const char* why) {
    e.state = State::kDown;
    if (e.route->cold_until < now_) e.route->down_since = now_;
    e.route->cold_until = now_ + s_.cold;
    e.route->backoff = kBackoffFirst / 2;
    BackOff(e);
    for (Call* call : e.out) MarkStuck(*call);
    actions_.push_back(Log{"down " + e.info.id + " after " + why});
  }
  // To the next trial: all senders that saw the outage try at their own moments, together no more often than
  // the destination can bear as it returns. Harm: the return of one with little traffic is found late.
  void BackOff(Endpoint& e) {
    Route& r = *e.route;
    r.backoff = std::min(kBackoffMax, r.backoff * 2);
    const Time apart = std::max(r.backoff, Micros(1 / (kTrialShare * OutagePart(e))));
    // Told to wait, all come at that moment, to a cold one: the first calls are spaced as those that follow.
    const Time told = r.wait_until + Micros(Many() * Uniform(0, 1) * Seconds(ColdInterval(e, s_.cold_from)));
    r.next_in_trouble = std::max(r.next_in_trouble, r.wait_until > now_ ? told : now_ + Drawn(apart));
  }
  // This sender's part: of the limit where told, else of what came in, drawn to the mean. Calls a second.
  double PartOf(const Endpoint& e) const {
    if (e.route->told_limit > 0) return e.route->told_limit / s_.senders;
    const double seen_s = kShortPastS + kHorizonS * (1 - std::exp(-Seconds(now_ - *started_at_) / kHorizonS));
    const double mean = (arrivals_.At(now_) + 1) / seen_s / static_cast<double>(destinations_.size());
    const double part = (e.home->arrivals.At(now_) + 1) / (seen_s + 1 / mean);
    return std::max(part / static_cast<double>(e.home->routes.size()), kLeastRate / s_.senders);
  }
  void SetTurns(const Endpoint& e) {
    Route& r = *e.route;
    if (r.told_limit <= 0) return;
    const double each_s = 1 / ((1 + kTurnFew / s_.senders) * PartOf(e));
    // A long part is waited for by those that were refused only: if all did, the endpoint would stand idle;
    // if none did, it would serve nothing.
    const Time first = Micros(std::min(each_s, std::max(kTurnToldS / 2, kTurnToldS * kTurnToldS / each_s)));
    r.kept = Many() > 0 ? Micros(std::max(kTurnKeptS, each_s - kTurnWaitS)) : Time::max() / 2;
    if (r.told_turn == 0us) r.next_turn = now_, r.drawn = Uniform(0, 1);
    if (std::exchange(r.told_turn, Micros(each_s)) != Micros(each_s)) r.turn = first;
  }
  // Only senders that saw an outage hold messages; where calls are rare they are few, and each may send more.
  double OutagePart(const Endpoint& e) const {
    const double part = PartOf(e), rate = std::max(part, e.home->arrivals.At(now_) / kHorizonS);
    const Time lasts = std::max(now_, e.route->wait_until) - e.route->down_since;
    return part / (1 - std::exp(-rate * (Seconds(lasts) + kOutageGuessS)));
  }
  // Between calls of this sender to a cold endpoint; what that gains until the next is due counts.
  Time ColdInterval(const Endpoint& e, double share) {
    const double calls = Uniform(0.5, 1.5) / OutagePart(e);
    const double gain = s_.cold > 0us && share < 1 ? (1 - s_.cold_from) / Seconds(s_.cold) : 0;
    return Micros(gain <= 0 ? calls / share : (std::sqrt(share * share + 2 * gain * calls) - share) / gain);
  }
  double ColdShare(const Endpoint& e) const {
    const double grown = s_.cold > 0us ? Seconds(now_ - e.cold_since) / Seconds(s_.cold) : 1;
    return std::clamp(s_.cold_from + (1 - s_.cold_from) * grown, 0.05, 1.0);
  }
  // A class that failed at an endpoint goes to a sound sibling for a while. Harm: so does one chance.
  bool Failed(const Endpoint& e, const Pending& p) const {
    const auto it = e.shunned.find(p.m.message_class);
    return it != e.shunned.end() && it->second > now_;
  }
  bool Shunned(const Endpoint& e, const Pending& p) const {
    const auto& all = e.home->endpoints;
    return Failed(e, p) && std::any_of(all.begin(), all.end(), [&](const Endpoint* o) {
             return o->Usable() && o->state == State::kUp && InGroup(*o, p) && !Failed(*o, p);
           });
  }
  // Silence: long overdue calls with nothing served meanwhile count as failures before any time-out.
  void FindOverdue(Call& call) {
    Endpoint& e = *call.endpoint;
    ClearAlarm(call.alarm);
    if (++call.overdue == 1) SetAlarm(call.alarm, now_ + call.allowed, &call);
    if (call.overdue > 1 || e.state == State::kDown) MarkStuck(call);
    if (e.state == State::kDown || now_ - e.last_served < OverdueAfter(e)) return;
    int count = e.strikes;
    for (const Call* c : e.out) count += c->sent_at > e.served_sent ? std::min(c->overdue, kStrikes) : 0;
    if (count < std::max(kStrikes, StrikesToGoDown(e))) return;
    e.eats = true;
    GoDown(e, "silence");
    Touch(*e.home);
  }
  // A cold endpoint is slow: more time, so that slowness is not taken for another outage.
  Time OverdueAfter(const Endpoint& e) const {
    double patience = e.state == State::kDown ? kColdPatience : 1;
    if (e.state == State::kCold) patience = std::clamp(1 / ColdShare(e), 1.0, kColdPatience);
    return Micros(patience * std::max(Seconds(kOverdueLeast), kOverdueTimes * e.latency_s));
  }
  // A list that is too old tells of nobody who may be called: see ListLease.
  bool ListValid() const { return now_ < list_valid_until_; }
  void SendProbe(Endpoint& e) {
    if (!ListValid() || !s_.may_probe || e.state != State::kDown || e.trying || !e.Usable() ||
        now_ < OpensAt(e))
      return;
    e.trying = true;
    BackOff(e);
    actions_.push_back(Probe{e.info.id});
  }

  // ---- what goes where ----
  bool Repeatable(const Pending& p) const { return ClassOf(p.m).semantics != Semantics::kAtMostOnce; }
  bool SlotsFull() const { return s_.slots > 0 && static_cast<int>(bundles_.size()) >= s_.slots; }
  // The repeat of a keyed message that may have run stays where its repeats are dropped.
  bool InGroup(const Endpoint& e, const Pending& p) const {
    return !p.may_have_run || !ClassOf(p.m).repeats_bound_to_zone || e.info.zone == p.risk_zone;
  }
  bool Open(const Endpoint& e, const Pending& p) const {
    if (!ListValid() || !e.Usable() || !InGroup(e, p) || Shunned(e, p) || OpensAt(e) > now_) return false;
    if (s_.slots > 0 && e.route->calls >= std::max(2, static_cast<int>(kSlotShare * s_.slots))) return false;
    const bool suits = Repeatable(p) || !e.eats || e.route->backoff >= kBackoffMax;
    return e.state != State::kDown || (!s_.may_probe && suits);
  }
  double Cost(const Endpoint& e, const Pending& p) const {
    double cost = e.latency_s * (e.calls + 1);
    // Else one that was down is never tried beside healthy ones. Harm: a token where it still is down.
    if (e.state == State::kDown) cost += Repeatable(p) ? -kTrialCost : kTrialCost;
    if (e.state == State::kCold) cost += kColdCost;
    const double mean = e.home->weight / static_cast<double>(e.home->endpoints.size());
    cost += Many() * kDrawCost * e.draw * mean / std::max({e.info.weight, 0.01 * mean, 1e-9});
    const auto zone = static_cast<std::size_t>(e.info.zone);
    if (KindOf(e.info).routes_apart && zone < s_.zone_fee.size()) cost += s_.zone_fee[zone] * kFeeCost;
    return cost;
  }
  Endpoint* Pick(const Pending& p) const {
    Endpoint* best = nullptr;
    for (Endpoint* e : p.home->endpoints) {
      if (Open(*e, p) && (best == nullptr || Cost(*e, p) < Cost(*best, p))) best = e;
    }
    return best;
  }
  Time TimeoutFor(const Pending& p, const Endpoint& e, bool trial) const {
    const Time t = OverdueAfter(e) * (trial ? 1 : kTimeoutOverdue);
    return !Repeatable(p) || now_ + t >= p.ends_at ? 0us : t;
  }
  void OpenCall(Pending& p, Endpoint& e) {
    const bool trial = e.state == State::kDown;
    if (trial) BackOff(e);
    if (e.state == State::kCold) e.route->next_in_trouble = now_ + ColdInterval(e, ColdShare(e));
    Route& r = *e.route;
    r.spread = Drawn(r.gap);
    r.next_send = now_ + r.spread;
    r.next_turn = now_;
    r.drawn = Uniform(0.5, 1.5);
    TakeUp(e);
    SendTo(p, e, trial);
    if (trial) return;
    for (int room = KindOf(e.info).bundle_max - 1; room > 0; --room) {
      const auto heads = Heads(*e.home);
      const auto next =
          std::find_if(heads.begin(), heads.end(), [&](auto* head) { return InGroup(e, *head); });
      if (next == heads.end()) return;
      SendTo(**next, e, false);
    }
  }
  void TakeUp(Endpoint& e) {  // one more call
    e.route->calls += 1;
    e.calls += 1;
    ++last_bundle_;
  }
  void SendTo(Pending& p, Endpoint& e, bool trial) {
    if (p.sends == 0) e.route->tokens = std::min(kTokenCap, e.route->tokens + kTokenPerFirstSend);
    Dequeue(p);
    Touch(*p.home);
    bundles_[last_bundle_] += 1;
    const CallKey key{p.m.id, p.sends};
    const std::string order_key = Ordered(p.m) ? p.m.key : std::string();
    Call& call = calls_[key];
    call = {key, p.m.message_class, &e, order_key, last_bundle_, now_, OverdueAfter(e), 0, trial, false, {}};
    e.out.push_back(&call);
    SetAlarm(call.alarm, now_ + call.allowed, &call);
    actions_.push_back(Send{p.m.id, e.info.id, TimeoutFor(p, e, trial)});
    p.sends += 1;
    p.out = true;
  }

  // Worth lost by a second of waiting, as a head start against time: an order that never changes.
  double Standing(const Pending& p) const {
    const MessageClass& c = ClassOf(p.m);
    const bool even = s_.decay == Decay::kEven;
    const double lost = even ? 1 - c.late_value : std::log(2.0);
    const double slope = p.worth * lost / std::max(0.001, Seconds(even ? c.deadline - c.aim : c.aim));
    const double behind = p.late ? Seconds(c.deadline) : 0;
    return Seconds(p.aim_at) + behind - kHeadStartS * std::log(std::max(slope, 1e-6));
  }
  static std::vector<Pending*> Heads(const Destination& d) {
    std::vector<Pending*> heads;
    for (const auto& lane : d.lanes) {
      if (!lane.empty()) heads.push_back(lane.begin()->second);
    }
    std::sort(heads.begin(), heads.end(), [](const auto* a, const auto* b) { return a->order < b->order; });
    return heads;
  }
  // Marks a destination about which something has changed: it is looked at in this step.
  void Touch(Destination& d) {
    if (!d.touched) touched_.push_back(&d);
    d.touched = true;
    if (d.ready) ready_.erase(*d.ready);
    d.ready.reset();
    if (d.waiting == 0) return;
    d.ready = *ready_.insert({Heads(d).front()->order, d.id}).first;
  }
  void Dispatch() {
    while (!ready_.empty() && !SlotsFull()) ServeOne(destinations_.at(ready_.begin()->second));
    if (!ready_.empty() && s_.may_cancel) FreeSlots();
  }
  // Sends the first message of a destination that can go, or sets the alarm for when one can.
  void ServeOne(Destination& d) {
    for (Endpoint* e : d.endpoints) {
      if (e->state == State::kCold && now_ >= e->warm_by) e->state = State::kUp;
      SendProbe(*e);
    }
    for (Pending* p : Heads(d)) {
      Endpoint* e = Pick(*p);
      if (e != nullptr) return OpenCall(*p, *e);
    }
    ready_.erase(*d.ready);
    d.ready.reset();
    ClearAlarm(d.alarm);
    const Time soonest = SoonestOpen(d);
    if (soonest < Time::max()) SetAlarm(d.alarm, soonest, &d);
  }
  Time SoonestOpen(const Destination& d) const {  // of the endpoints that don't take a message now
    Time soonest = Time::max();
    if (!ListValid()) return soonest;
    for (const Endpoint* e : d.endpoints) {
      if (e->Usable() && OpensAt(*e) > now_) soonest = std::min(soonest, OpensAt(*e));
    }
    return soonest;
  }
  Time OpensAt(const Endpoint& e) const {
    const Route& r = *e.route;
    if (e.state == State::kDown) return std::max(r.wait_until, r.next_in_trouble);
    const double held = std::pow(std::max(1, e.home->waiting), Many());
    const Time paused = e.home->refused_at + Micros(Seconds(e.home->pause) / held);
    const Time free = std::max(r.FreeAt(now_, pace_, held), paused);
    if (e.state == State::kUp) return free;
    return std::max(free, std::min(r.next_in_trouble, e.warm_by));
  }
  void MarkStuck(Call& call) {
    const auto it = messages_.find(call.key.first);
    if (call.overdue == 0 || (it != messages_.end() && it->second.streaming)) return;
    if (!std::exchange(call.stuck, true)) stuck_.insert({call.sent_at, call.key});
  }
  // Overdue calls are called off, oldest first, when others could use their slots: guards against silence
  // that holds them all. Harm: an answer that would still have come; so only where slots are short.
  void FreeSlots() {
    int wanted = -called_off_;
    for (const auto& [order, id] : ready_) {
      if (wanted >= static_cast<int>(stuck_.size())) break;
      const auto heads = Heads(destinations_.at(id));
      wanted += std::any_of(heads.begin(), heads.end(), [&](Pending* p) { return Pick(*p) != nullptr; });
    }
    for (; wanted > 0 && !stuck_.empty(); --wanted) {
      const CallKey key = stuck_.begin()->second;
      stuck_.erase(stuck_.begin());
      called_off_ += 1;
      actions_.push_back(Cancel{key.first, key.second});
    }
  }
  // Near max_open, what is worth least and can't go now is refused while the client can still come again.
  bool Shed() {
    const auto full = static_cast<std::size_t>(std::max(1.0, kFullAt * s_.max_open));
    const bool over = s_.max_open > 0 && messages_.size() > full;
    while (over && messages_.size() > full && !sheddable_.empty()) GiveUp(*sheddable_.begin()->second);
    return over;
  }
  double WorthOf(const Message& m) {
    const double worth = ClassOf(m).worth;
    const auto t = static_cast<std::size_t>(m.tenant);
    if (m.tenant < 0 || t >= shares_.size() || shares_[t].per_s <= 0) return worth;
    return shares_[t].Take(now_) ? worth : worth * s_.over_share_worth;
  }

  // ---- events ----
  // The simulator answers each call by one event and tells the end of a subscription by kFailed; the relay on
  // sockets asks by itself and is not told by this.
  void StepList(const ListSubscription::Event& event) {
    if (!s_.list_must_be_asked_for) return;
    for (const ListSubscription::Call& call : list_.Step(now_, event)) {
      list_call_ = call.number;
      actions_.push_back(WatchList{});
    }
    ClearAlarm(list_alarm_);
    if (list_.alarm() != Time::max()) SetAlarm(list_alarm_, list_.alarm(), std::monostate());
  }
  void On(const ListUpdate& update) {
    if (update.scope == ListScope::kFailed) return StepList(ListSubscription::Failed{list_call_});
    if (update.scope != ListScope::kRemembered) StepList(ListSubscription::Heard{list_call_});
    for (auto& [id, e] : endpoints_) {
      if (update.scope == ListScope::kChanges) break;
      e.listed = false;
      Touch(*e.home);
    }
    for (const EndpointInfo& info : update.endpoints) Adopt(info);
  }
  void Adopt(const EndpointInfo& info) {
    const auto [it, is_new] = endpoints_.try_emplace(info.id);
    Endpoint& e = it->second;
    if (!is_new) Detach(e);
    const bool back = !is_new && info.lifecycle == Lifecycle::kUp && e.info.lifecycle == Lifecycle::kDraining;
    e.info = info;
    e.listed = info.lifecycle != Lifecycle::kRemoved;
    Destination& d = Home(info.destination);
    const auto later = [](const Endpoint* a, const Endpoint* b) { return a->info.id < b->info.id; };
    d.endpoints.insert(std::upper_bound(d.endpoints.begin(), d.endpoints.end(), &e, later), &e);
    e.home = &d;
    d.weight += info.weight;
    e.draw = Draw(info.id);
    e.route = &d.routes[KindOf(info).routes_apart ? info.id : EndpointId()];
    e.route->endpoints += 1;
    e.route->calls += e.calls;
    if (s_.weights != WeightMeaning::kNone) e.route->told_limit = info.weight;
    SetTurns(e);
    // New to a destination that is out or cold, or where messages wait: cold, else it gets the backlog at
    // once. So is one that drained and takes calls again. Harm: a sound one is fed slowly.
    if (back || (is_new && (d.waiting > 0 || now_ < e.route->cold_until))) e.state = State::kCold;
    if (is_new || back) e.cold_since = now_;
    if (is_new || back) e.warm_by = now_ + s_.cold;
    Touch(d);
  }
  // Weighted rendezvous: each endpoint is first for its part of the senders; one more moves its part only.
  double Draw(const EndpointId& id) const {
    std::uint64_t h = 0x9e3779b97f4a7c15 * static_cast<std::uint64_t>(s_.rank + 1);
    for (const char c : id) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    for (const int by : {30, 27}) h = (h ^ (h >> by)) * 0xbf58476d1ce4e5b9;
    return -std::log((static_cast<double>((h ^ (h >> 31)) >> 11) + 0.5) * 0x1p-53);
  }
  void Detach(Endpoint& e) {
    std::erase(e.home->endpoints, &e);
    e.home->weight -= e.info.weight;
    e.route->endpoints -= 1;
    e.route->calls -= e.calls;
    Touch(*e.home);
  }
  void On(const Message& m) {
    if (messages_.count(m.id) > 0) return;
    const auto c = static_cast<std::size_t>(m.message_class);
    const bool known = m.message_class >= 0 && c < s_.classes.size();
    if (!known || m.expires_in <= 0us) {
      return actions_.push_back(m.history.may_have_run ? Action(Fail{m.id}) : Action(Refuse{m.id, 0us}));
    }
    Pending& p = messages_[m.id];
    p.m = m;
    p.seq = ++last_seq_;
    p.home = &Home(m.destination);
    p.home->held += 1;
    if (!m.again) arrivals_.Add(now_);
    if (!m.again) p.home->arrivals.Add(now_);
    p.ends_at = now_ + m.expires_in;
    p.aim_at = p.ends_at - (s_.classes[c].deadline - s_.classes[c].aim);
    p.worth = WorthOf(m);
    if (Ordered(m)) keys_[m.key].line.push_back(m.id);
    m.history.sends > 0 ? Restore(p) : Hold(p);
  }
  // Sent by an earlier life: the same rules. Its repeat costs a token, but for one that has drawn it already.
  void Restore(Pending& p) {
    const History& h = p.m.history;
    p.sends = h.sends;
    p.may_have_run = h.may_have_run;
    p.first_risk_at = now_ - h.since_risk;
    p.risk_zone = h.risk_zone;
    Route unlisted;
    const auto last = endpoints_.find(h.last_endpoint);
    if (h.out && last != endpoints_.end()) {  // sent already: all but the action
      p.sends -= 1;
      TakeUp(last->second);
      SendTo(p, last->second, false);
      Call& call = calls_.at({p.m.id, h.sends - 1});
      call.sent_at = now_ - h.since_sent;
      SetAlarm(call.alarm, std::max(now_, call.sent_at + call.allowed), &call);
      return actions_.pop_back();
    }
    RepeatOrEnd(p, last == endpoints_.end() || !h.may_have_run ? unlisted : *last->second.route);
  }
  void On(const Withdrawn& w) {
    const auto it = messages_.find(w.id);
    if (it == messages_.end()) return;
    const Pending& p = it->second;
    if (p.out && s_.may_cancel && !p.streaming) actions_.push_back(Cancel{w.id, p.sends - 1});
    Forget(w.id);
  }
  void On(const StreamStarted& started) {
    if (messages_.count(started.id) > 0) messages_.at(started.id).streaming = true;
  }
  void On(const AttemptEnded& ended) {
    const auto found = calls_.find({ended.id, ended.attempt});
    if (found == calls_.end()) return;
    const Call call = TakeOff(found->second);
    Endpoint& e = *call.endpoint;
    Learn(e, ended, call.sent_at, call.trial, false);
    const auto it = messages_.find(ended.id);
    const Outcome o = ended.outcome;
    if (o == Outcome::kServed) e.shunned.erase(call.message_class);
    const bool failed = MayHaveRun(o) && o != Outcome::kServed && o != Outcome::kCancelled;
    if (failed) e.shunned[call.message_class] = now_ + Drawn(kShun);
    const bool may_still_run = o == Outcome::kTimedOut || o == Outcome::kReset || o == Outcome::kCancelled;
    if (!call.order_key.empty() && may_still_run) {
      keys_.at(call.order_key).rest_until = now_ + s_.order_settle;
    }
    if (!call.order_key.empty() && it == messages_.end()) LeaveLine(call.order_key, ended.id);
    if (it == messages_.end()) return;
    Pending& p = it->second;
    p.out = false;
    if (ended.closed || p.streaming) return Forget(ended.id);
    if (MayHaveRun(o) && !p.may_have_run) {
      p.may_have_run = true;
      p.first_risk_at = call.sent_at;
      p.risk_zone = e.info.zone;
    }
    RepeatOrEnd(p, *e.route);
  }
  Call TakeOff(Call& call) {
    Endpoint& e = *call.endpoint;
    ClearAlarm(call.alarm);
    if (call.stuck && stuck_.erase({call.sent_at, call.key}) == 0) called_off_ -= 1;
    std::erase(e.out, &call);
    if (--bundles_[call.bundle] == 0) {
      bundles_.erase(call.bundle);
      e.route->calls -= 1;
      e.calls -= 1;
    }
    const Call copy = call;
    calls_.erase(copy.key);
    return copy;
  }
  static bool MayHaveRun(Outcome o) {
    return o != Outcome::kRefused && o != Outcome::kNoConnection && o != Outcome::kNotSent;
  }
  template <typename Ended>
  void Learn(Endpoint& e, const Ended& ended, Time sent_at, bool trial, bool probe) {
    if (ended.allowance && ended.allowance->limit_per_s > 0) {
      e.route->told_limit = ended.allowance->limit_per_s;
    }
    const Outcome o = ended.outcome;
    if (trial) e.trying = false;
    if (o == Outcome::kNoConnection) e.unconnected_at = now_;
    const bool soon = o == Outcome::kServed && now_ - e.unconnected_at <= kCrowdedWithin;
    if (soon && e.strikes <= kCrowdedStrikes && sent_at >= e.unconnected_at) crowded_[e.info.kind].Add(now_);
    e.second_look = e.second_look && soon;
    if (probe && o != Outcome::kServed) e.strikes += 1;
    if (o == Outcome::kServed) {
      NoteServed(e, ended.latency, probe);
    } else if (o == Outcome::kRefused) {
      NoteRefused(e, ended.told_wait, sent_at);
    } else if (!probe && o != Outcome::kCancelled && o != Outcome::kNotSent) {
      if (e.state != State::kDown || trial) NoteFailed(e, o);
    }
    if (e.calls == 0 && Crowded(e)) actions_.push_back(CloseIdle{e.info.id});
    Touch(*e.home);
  }
  void On(const ProbeEnded& ended) {
    const auto it = endpoints_.find(ended.endpoint);
    if (it != endpoints_.end()) Learn(it->second, ended, now_ - ended.latency, true, true);
  }
  void On(const NewSettings& n) {
    s_ = n.settings;
    for (auto& [id, d] : destinations_) d.lanes.resize(s_.classes.size() * 2), Touch(d);
  }
  // What waited for the list may go once it is valid again.
  void On(const ListValidity& validity) {
    const bool was_valid = ListValid();
    list_valid_until_ = validity.until;
    if (was_valid || !ListValid()) return;
    for (auto& [id, d] : destinations_) Touch(d);
  }
  void On(const ToldWait& told) {
    const auto it = endpoints_.find(told.endpoint);
    if (it == endpoints_.end() || told.until <= it->second.route->wait_until) return;
    Endpoint& e = it->second;
    e.route->wait_until = told.until;
    if (told.until - now_ > kGapMax) ShutUntilWaitEnds(*e.route, *e.home);
    Touch(*e.home);
  }
  void On(const Belief& b) {
    const auto it = endpoints_.find(b.endpoint);
    if (it == endpoints_.end()) return;
    static_cast<EndpointBelief&>(it->second) = b.health;
    if (b.health.warm_by == 0us) it->second.warm_by = b.health.cold_since + s_.cold;  // not told
    static_cast<RouteBelief&>(*it->second.route) = b.route;
    Touch(*it->second.home);
  }
  void On(const auto&) {}  // notes of peers and timers tell nothing else

  // Drops what left the list and carries nothing; a told wait and the memory of an outage last their time.
  void DropIdle() {
    for (Destination* d : std::exchange(touched_, {})) {
      for (Endpoint* e : std::vector(d->endpoints)) {
        if (e->listed || e->calls > 0 || e->trying) continue;
        Detach(*e);
        endpoints_.erase(EndpointId(e->info.id));
      }
      d->touched = false;
      Time kept = Time::min();
      for (const auto& [id, r] : d->routes) kept = std::max(kept, r.KeptUntil());
      std::erase_if(d->routes, [this](const auto& r) { return r.second.KeptUntil() <= now_; });
      if (d->held > 0 || !d->endpoints.empty()) continue;
      ClearAlarm(d->alarm);
      if (kept > now_) SetAlarm(d->alarm, kept, d);
      if (kept <= now_) destinations_.erase(DestinationId(d->id));
    }
  }

  Settings s_;
  std::mt19937_64 random_;
  std::optional<Time> started_at_;
  double pace_ = 1;               // times all turns
  Count arrivals_;                // of all destinations
  std::map<int, Count> crowded_;  // by kind
  Time now_{0};
  std::vector<Action> actions_;
  Agenda agenda_;
  Time timer_at_ = Time::max();  // the earliest that is set
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<MessageId, Pending> messages_;
  std::map<CallKey, Call> calls_;
  std::map<std::uint64_t, int> bundles_;  // outcomes still to come of each call out
  std::map<std::string, KeyLine> keys_;
  std::vector<Destination*> touched_;                // in this step
  std::set<std::pair<Order, DestinationId>> ready_;  // may be able to send; first in order first
  std::map<Order, Pending*> sheddable_;              // held, and never can have run
  std::set<std::pair<Time, CallKey>> stuck_;         // calls that may be called off
  int called_off_ = 0;                               // calls out
  std::vector<Share> shares_;
  ListSubscription list_;
  Time list_valid_until_ = Time::max();
  ListSubscription::CallNumber list_call_ = 0;  // the last one
  Alarm list_alarm_;
  std::int64_t last_seq_ = 0;
  std::uint64_t last_bundle_ = 0;
};

Decider::Decider(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Decider::~Decider() = default;
Decider::Decider(Decider&&) noexcept = default;
Decider& Decider::operator=(Decider&&) noexcept = default;
std::vector<Action> Decider::Step(Time now, std::span<const Event> events) {
  return impl_->Step(now, events);
}
Decider::Held Decider::held() const { return impl_->held(); }
std::vector<Belief> Decider::beliefs() const { return impl_->beliefs(); }

}  // namespace wheathub
