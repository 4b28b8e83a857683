// Implements the decision module; include/wheathub/decide.hpp defines its interface and contract. The
// sections are, in order: constants; state; retries and final answers; ordering by key; health and slow
// start; choice of endpoints; events. A step visits only objects that its events and expired alarms concern.
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

// Retry budget of a route. A repeat costs one token, and a first attempt earns kTokensPerFirstSend, so
// repeats stay below a third of the first attempts. The kMaxTokens with which a route starts allow additional
// repeats once.
constexpr double kTokensPerFirstSend = 0.3;
constexpr double kMaxTokens = 5;
// A fleet of up to this many senders uses the values for a small fleet; see FleetFactor().
constexpr double kSmallFleet = 4;
// Mean gap between calls after refusals, while one message waits. The first refusal sets it to kFirstGap, and
// further refusals double it up to kMaxGap. A sender in a small fleet learns the limit quickly. In a large
// fleet, where each sender has a part of a burst, the burst drains slowly, so the gap is longer.
constexpr Time kFirstGap = 60ms, kFirstGapLargeFleet = 2s, kMaxGap = 2s, kMaxGapLargeFleet = 20s;
constexpr double kGapShrink = 0.12;  // share by which a served call reduces the gap
// Longest mean pause of the other endpoints of a destination after a refusal, in a large fleet.
constexpr Time kSiblingPause = 1500ms;
// Interval between calls of this sender to a route. It is first set from the sender's share of the announced
// limit, times 1 + kSmallFleetBonus / senders, and then adjusted by served and refused calls. An announced
// interval above kMaxAnnouncedIntervalS is shortened at first, and no interval in use is longer than
// kMaxIntervalS: with longer intervals messages would be served too late.
constexpr double kSmallFleetBonus = 10, kMaxAnnouncedIntervalS = 8, kMaxIntervalS = 12;
// A call that is not made at the end of its interval remains available for at least kMinUnusedCallLifetimeS.
// After that the sender has to wait for the end of the next interval, which takes at most kMaxIntervalWaitS.
constexpr double kMinUnusedCallLifetimeS = 0.4, kMaxIntervalWaitS = 2;
// A served call shortens the interval by the share kIntervalShrink, and a refusal multiplies it by
// kIntervalWiden, between kMinIntervalFactor and kMaxIntervalFactor times the announced interval.
constexpr double kIntervalShrink = 0.08, kIntervalWiden = 3, kMinIntervalFactor = 0.3, kMaxIntervalFactor = 3;
// Pace: a factor on the intervals of all routes. Served calls lower it and refused calls raise it, so that
// the share of refused calls stays near a target that depends on the price of a refusal.
constexpr double kPaceShrink = 0.025, kMinPace = 0.2, kMaxPace = 1.4;
// The target: kMinRefusedShare at kReferenceRefusedPrice and above, up to kMaxRefusedShare at lower prices.
constexpr double kMinRefusedShare = 0.05, kReferenceRefusedPrice = 0.1, kMaxRefusedShare = 0.3;

// Health.

// Consecutive failures count as an outage if their probability without an outage is below this.
constexpr double kMaxChanceOfFalseOutage = 0.02;
constexpr int kMaxFailuresToMarkDown = 5;    // always count as an outage, even at a high failure rate
constexpr double kFailureRateWeight = 0.05;  // of a new outcome in the moving mean
constexpr int kMinFailuresToMarkDown = 2;    // a single failure may be chance
constexpr Time kRecentlyServed = 1s;         // one failure is no outage if a call was served within this time
constexpr Time kClassAvoidTime = 15s;        // mean time for which a class avoids an endpoint that failed it
constexpr Time kFirstBackoff = 500ms, kMaxBackoff = 2500ms;  // between trials of a down endpoint, doubling
constexpr double kOverdueLatencies = 5;  // a call is overdue after this multiple of the usual latency
constexpr Time kMinOverdue = 1500ms;
// Repeatable messages time out after this multiple of the overdue time; it is above 1 because a repeat costs
// a token.
constexpr int kTimeoutFactor = 2;
constexpr double kMaxColdFactor = 2.5;   // largest factor on the overdue time of a down or cold endpoint
constexpr double kLatencyWeight = 0.15;  // of a new latency in the moving mean
constexpr Time kInitialLatency = 400ms;  // assumed before any call was served

// Slow start.

constexpr double kMinDestinationRate = 2;  // calls a second that any destination accepts from all senders
constexpr double kTrialShare = 0.3;  // of this sender's share of the rate, for trials of a down endpoint
// When a down endpoint serves a call again, it is assumed to have been up for this share of the time since
// its last failure.
constexpr double kAssumedUpShare = 0.5;
// Time constant of the decaying counts of arrivals, in seconds. kMinArrivalWindowS is added to the observed
// time so that a short burst after the start is not taken for a lasting rate.
constexpr double kArrivalWindowS = 30, kMinArrivalWindowS = 5;
// Assumed time between the start of an outage and the first failure that this sender observes.
constexpr double kUnseenOutageS = 5;

// Choice of endpoints: costs, in seconds, that are added to the expected duration of a call.

// kColdCostS is added for a call to a cold endpoint. For the trial of a down endpoint kTrialCostS is
// subtracted if the message may be repeated, and added otherwise.
constexpr double kColdCostS = 1, kTrialCostS = 10;
constexpr double kFeeCostS = 5;  // for each unit of fee
// Weight of a sender's preference for certain endpoints; see RendezvousCost().
constexpr double kRendezvousCostS = 1;
// Head start for each factor of e (2.718) in the worth that a message loses per second: its aim counts as
// this much earlier.
constexpr double kWorthHeadStartS = 4;
// A waiting message counts as late when less than this multiple of the usual latency is left until its aim;
// it is above 1 because latencies vary.
constexpr double kLateLatencies = 1.5;
// If a call is served within kServedSoonAfterConnectFailure after at most kMaxConnectFailures failed
// connects, the endpoint is assumed to have had too few free connections instead of being down. When the
// decaying count of such calls reaches kConnectionsExhaustedCount, the connections of that kind of
// destination are assumed to be exhausted.
constexpr Time kServedSoonAfterConnectFailure = 3s;
constexpr int kMaxConnectFailures = 2;
constexpr double kConnectionsExhaustedCount = 0.9;
constexpr Time kConnectRecheck = 1s;   // mean time until the next trial after a single failed connect
constexpr double kMaxSlotShare = 0.4;  // of all slots, for one route
// Above this share of max_open the waiting messages with the lowest worth are refused.
constexpr double kSheddingThreshold = 0.92;
constexpr Time kAnswerMargin = 60ms;     // a waiting message is answered this long before its deadline
constexpr Time kDefaultRetryAfter = 1s;  // shortest retry-after for a client; used if no call time is known
// Burst size of a tenant's quota: the messages of kQuotaBurstS seconds plus kQuotaBurstMessages. The latter
// is for large fleets, where one sender receives few messages of a tenant.
constexpr double kQuotaBurstS = 2, kQuotaBurstMessages = 2;

constexpr Time kNever = EndpointHealth::kNever;
double Seconds(Time time) { return static_cast<double>(time.count()) * 1e-6; }
Time Micros(double seconds) { return Time(static_cast<std::int64_t>(std::llround(seconds * 1e6))); }

// ---- state ----

struct Destination;
struct PendingMessage;
struct Attempt;
// The object that an alarm concerns: the list subscription (monostate), a destination that may be called, a
// message that becomes late or has to be answered, an attempt that becomes overdue, or an order key that is
// no longer blocked.
using AlarmTarget = std::variant<std::monostate, Destination*, PendingMessage*, Attempt*, std::string>;
using Schedule = std::multimap<Time, AlarmTarget>;
using Alarm = std::optional<Schedule::iterator>;
using AttemptKey = std::pair<MessageId, int>;
using SortKey = std::pair<double, std::int64_t>;  // sorts messages by a number, then by order of arrival

// Limit, pacing and retry budget of a destination, or of a single endpoint if its kind has separate routes.
struct Route : RouteState {
  int endpoints = 0, calls_in_flight = 0;
  Time current_gap{0},          // random gap after the last call
      unused_call_lifetime{0};  // a call that is not made when due remains available for this time
  double interval_jitter = 1;   // random factor on the interval after the last call

  Route() { tokens = kMaxTokens; }

  // Returns false if no token is left.
  bool TrySpendToken() {
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
  void OnServed(bool has_backlog) {
    if (has_backlog) ScaleInterval(1 - kIntervalShrink);
    gap = Micros(Seconds(gap) * (1 - kGapShrink));
    if (gap < kFirstGap / 4) gap = 0us;
  }
  void ScaleInterval(double factor) {
    const double announced_s = Seconds(announced_interval),
                 min_interval_s = std::min(announced_s, kMaxAnnouncedIntervalS / 2) * kMinIntervalFactor;
    call_interval =
        Micros(std::clamp(Seconds(call_interval) * factor, min_interval_s, announced_s * kMaxIntervalFactor));
  }
  // Returns the earliest time of the next call. The larger the backlog of waiting messages (1 or more), the
  // shorter are the interval and the gap after a refusal. A call that is no longer available is lost: the
  // next one is due at the end of the current interval.
  Time NextCallAt(Time now, double pace, double backlog) const {
    const Time interval = Micros(std::min(kMaxIntervalS, pace * Seconds(call_interval) / std::sqrt(backlog)));
    Time due_at = last_call_at + Micros(interval_jitter * Seconds(interval));
    const Time expired_for = now - unused_call_lifetime - due_at;
    if (expired_for > 0us && interval > 0us) due_at += interval * (expired_for / interval + 1);
    return std::max(
        {wait_until, next_send_at - current_gap + Micros(Seconds(current_gap) / backlog), due_at});
  }
  // Returns until when the route is kept: while it has endpoints, and until a requested wait and the warm-up
  // after an outage have ended.
  Time RememberedUntil() const { return endpoints > 0 ? Time::max() : std::max(wait_until, cold_until); }
};

struct Endpoint : EndpointHealth {
  EndpointInfo info;
  Destination* destination = nullptr;
  Route* route = nullptr;
  bool listed = false, trial_in_flight = false;  // a probe or a trial message is in flight
  int calls_in_flight = 0;
  std::vector<Attempt*> attempts;     // in flight; one for each message of a call
  double rendezvous_cost = 0;         // for this sender; see RendezvousCost()
  std::map<int, Time> avoided_until;  // by class of messages that failed here

  Endpoint() { latency_s = Seconds(kInitialLatency); }
  bool Usable() const { return listed && info.lifecycle == Lifecycle::kUp; }
};

// A message that has not ended: it waits or is in flight.
struct PendingMessage {
  Message message;
  std::int64_t sequence = 0;
  Destination* destination = nullptr;
  SortKey sort_key;  // within its queue: the smallest is sent first
  Time aim_at{0}, deadline_at{0};
  double worth = 1;
  int sends = 0, first_uncertain_zone = 0;
  bool queued = false, in_flight = false, may_have_run = false, streaming = false;
  bool late = false;  // expected to miss its aim
  // When the first attempt that may have run was sent; first_uncertain_zone is its zone.
  Time first_uncertain_at{0};
  Alarm alarm;

  // The smallest is refused first; of two messages with equal worth it is the later one.
  SortKey SheddingKey() const { return {worth, -sequence}; }
  // Each class has two queues: for messages that certainly have not run, and for messages that may have run.
  std::size_t QueueIndex() const {
    return static_cast<std::size_t>(message.message_class) * 2 + may_have_run;
  }
};

// A count in which each event loses weight exponentially over time.
struct DecayingCount {
  double value = 0;
  Time at{0};  // time of the last event

  double At(Time now) const { return value * std::exp(-Seconds(now - at) / kArrivalWindowS); }
  void Add(Time now) { *this = {At(now) + 1, now}; }
};

// Each queue holds the messages of one class that may be sent to the same endpoints: if the first message of
// a queue can't be sent, none of them can.
struct Destination {
  DestinationId id = 0;
  std::vector<Endpoint*> endpoints;  // by id
  std::map<EndpointId, Route> routes;
  std::vector<std::map<SortKey, PendingMessage*>> queues;
  int held = 0, waiting = 0;  // number of messages that have not ended, and of those in queues
  double weight = 0;          // sum over its endpoints
  Time refused_at = EndpointHealth::kNever, pause{0};      // the last refusal, and the pause after it
  std::optional<std::pair<SortKey, DestinationId>> ready;  // its entry in ready_
  bool touched = false;
  DecayingCount arrivals;
  Alarm alarm;
};

// An attempt in flight.
struct Attempt {
  AttemptKey key;
  int message_class = 0;
  Endpoint* endpoint = nullptr;
  std::string order_key;
  std::uint64_t call_id = 0;
  Time sent_at{0}, overdue_after{0};           // overdue_after is a duration, from sent_at
  int overdue_count = 0;                       // 1: overdue; 2: twice the overdue time has passed
  bool is_trial = false, cancellable = false;  // cancellable: to free its slot
  Alarm alarm;
};

// This sender's share of a tenant's quota, as a token bucket.
struct TenantQuota {
  double per_s = 0;
  double tokens = 0;
  Time at{0};  // time of the last message; Time::min() before the first one

  // Spends a token for one message. Returns false if none is left: the message is beyond the quota.
  bool TrySpendToken(Time now) {
    if (at != Time::min())
      tokens = std::min(kQuotaBurstMessages + per_s * kQuotaBurstS, tokens + per_s * Seconds(now - at));
    at = now;
    const bool is_within_quota = tokens >= 1;
    tokens -= is_within_quota;
    return is_within_quota;
  }
};

// The messages of one order key, in order. Only the first one may be sent.
struct KeyQueue {
  std::deque<MessageId> messages;
  Time blocked_until{0};  // end of the settle time after an attempt that may still run
  Alarm alarm;
};

}  // namespace

class Decider::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        random_(seed),
        list_subscription_({false, settings_.senders, true}, settings_.must_request_list ? random_() : 0) {
    if (settings_.classes.empty())
      throw std::invalid_argument("no message class is given: nothing can be sent");
    if (settings_.senders < 1) throw std::invalid_argument("the number of senders must be 1 or more");
    for (const MessageClass& message_class : settings_.classes) {
      const bool valid_times = message_class.deadline > 0us && message_class.aim >= 0us &&
                               message_class.aim <= message_class.deadline;
      const bool valid_window =
          message_class.semantics != Semantics::kDeduplicated || message_class.repeat_window > 0us;
      if (!valid_times)
        throw std::invalid_argument(message_class.name + ": the aim must be between 0 and the deadline");
      if (!valid_window)
        throw std::invalid_argument(message_class.name +
                                    ": deduplicated messages need a repeat window above 0");
    }
    for (const Tenant& tenant : settings_.tenants) {
      const double per_s = tenant.quota_per_s / settings_.senders;
      tenant_quotas_.push_back({per_s, kQuotaBurstMessages + per_s * kQuotaBurstS, Time::min()});
    }
  }

  std::vector<Action> Step(Time now, std::span<const Event> events) {
    now_ = started_at_ ? std::max(now_, now) : now;
    actions_.clear();
    if (!started_at_) StepListSubscription(ListSubscription::Started{});
    if (!started_at_) started_at_ = now;
    for (const Event& event : events) std::visit([this](const auto& typed_event) { On(typed_event); }, event);
    while (!schedule_.empty() && schedule_.begin()->first <= now_) {
      const AlarmTarget due = schedule_.begin()->second;
      std::visit([this](const auto& target) { OnAlarm(target); }, due);
    }
    Dispatch();
    if (Shed()) Dispatch();
    RemoveUnused();
    SetTimerForNext();
    return std::move(actions_);
  }

  std::vector<LearnedState> learned_states() const {
    std::vector<LearnedState> states;
    for (const auto& [id, endpoint] : endpoints_) states.push_back({id, *endpoint.route, endpoint});
    return states;
  }
  Decider::Held held() const {
    std::size_t routes = 0;
    for (const auto& [id, destination] : destinations_) routes += destination.routes.size();
    return {messages_.size(), attempts_.size(), endpoints_.size(), routes, key_queues_.size()};
  }

 private:
  const MessageClass& ClassOf(const Message& message) const {
    return settings_.classes[static_cast<std::size_t>(message.message_class)];
  }
  DestinationKind KindOf(const EndpointInfo& info) const {
    const auto kind = static_cast<std::size_t>(info.kind);
    return kind < settings_.kinds.size() ? settings_.kinds[kind] : DestinationKind();
  }
  Destination& DestinationFor(DestinationId id) {
    Destination& destination = destinations_[id];
    destination.id = id;
    destination.queues.resize(settings_.classes.size() * 2);
    return destination;
  }
  // Doesn't use a distribution of the standard library, because their results differ between implementations.
  double Uniform(double from, double to) {
    return from + (to - from) * (static_cast<double>(random_() >> 11) * 0x1p-53);
  }

  void SetAlarm(Alarm& alarm, Time at, AlarmTarget target) {
    ClearAlarm(alarm);
    alarm = schedule_.emplace(at, std::move(target));
  }
  void ClearAlarm(Alarm& alarm) {
    if (alarm) schedule_.erase(*alarm);
    alarm.reset();
  }
  void OnAlarm(std::monostate) { StepListSubscription(ListSubscription::Elapsed{}); }
  void OnAlarm(Destination* destination) { ClearAlarm(destination->alarm), Touch(*destination); }
  void OnAlarm(PendingMessage* pending) { now_ < AnswerBy(*pending) ? MarkLate(*pending) : GiveUp(*pending); }
  void OnAlarm(Attempt* attempt) { CheckOverdue(*attempt); }
  void OnAlarm(const std::string& key) { AdvanceKeyQueue(key); }
  // Requests one timer, for the next alarm. Timers that were requested earlier can't be cancelled.
  void SetTimerForNext() {
    if (timer_at_ <= now_) timer_at_ = Time::max();
    if (schedule_.empty() || schedule_.begin()->first >= timer_at_) return;
    timer_at_ = std::max(schedule_.begin()->first, now_ + 1us);
    actions_.push_back(SetTimer{"due", timer_at_});
  }

  // ---- retries and final answers ----
  // Returns when a waiting message has to be answered: shortly before its deadline, or at the end of the
  // repeat window if that is earlier and the message is deduplicated and may have run.
  Time AnswerBy(const PendingMessage& pending) const {
    const MessageClass& message_class = ClassOf(pending.message);
    const Time end = pending.deadline_at - kAnswerMargin;
    if (!pending.may_have_run || message_class.semantics != Semantics::kDeduplicated) return end;
    return std::min(end, pending.first_uncertain_at + message_class.repeat_window);
  }
  // Handles a failed attempt: spends a retry token and lets the message wait for its repeat, or ends the
  // message if no repeat is allowed or no token is left.
  void RetryOrEnd(PendingMessage& pending, Route& route) {
    const bool no_retry_left =
        (settings_.max_attempts > 0 && pending.sends >= settings_.max_attempts) || now_ >= AnswerBy(pending);
    if (no_retry_left || (pending.may_have_run && !Repeatable(pending)) || !route.TrySpendToken())
      return GiveUp(pending);
    StartWaiting(pending);
  }
  void GiveUp(const PendingMessage& pending) {
    const MessageId id = pending.message.id;
    actions_.push_back(pending.may_have_run ? Action(Fail{id}) : Action(Refuse{id, RetryAfter(pending)}));
    RemoveMessage(id);
  }
  Time RetryAfter(const PendingMessage& pending) {
    if (!settings_.may_give_retry_after) return 0us;
    const Time soonest = NextAvailableAt(*pending.destination);
    const Time wait =
        soonest == Time::max() ? kDefaultRetryAfter : std::max(soonest - now_, kDefaultRetryAfter);
    const Time max_wait = settings_.max_retry_after > 0us ? settings_.max_retry_after : Time::max();
    return std::min(max_wait, Micros(Seconds(wait) * Uniform(1.0, 1.3)));
  }

  // Puts the message into its queue and sets its alarm.
  void StartWaiting(PendingMessage& pending) {
    pending.late = now_ >= LateAt(pending);
    pending.sort_key = {DispatchKey(pending), pending.sequence};
    SetAlarm(pending.alarm, pending.late ? AnswerBy(pending) : std::min(LateAt(pending), AnswerBy(pending)),
             &pending);
    if (!pending.may_have_run && !pending.message.history.recovered)
      sheddable_.emplace(pending.SheddingKey(), &pending);
    Enqueue(pending);
  }
  // Moves a message that can no longer meet its aim behind the messages that still can. Under overload, a
  // queue in order of arrival would serve all messages late. Drawback: a late message may wait until its
  // deadline.
  void MarkLate(PendingMessage& pending) {
    Dequeue(pending);
    StartWaiting(pending);
  }
  // Returns the time from which the message is expected to miss its aim.
  Time LateAt(const PendingMessage& pending) const {
    double min_latency_s = Seconds(kInitialLatency);
    for (const Endpoint* endpoint : pending.destination->endpoints)
      min_latency_s = std::min(min_latency_s, endpoint->latency_s);
    return pending.aim_at - Micros(kLateLatencies * min_latency_s);
  }
  void Enqueue(PendingMessage& pending) {
    if (pending.queued || !IsNextOfItsKey(pending)) return;
    pending.queued =
        pending.destination->queues[pending.QueueIndex()].emplace(pending.sort_key, &pending).second;
    pending.destination->waiting += 1;
    Touch(*pending.destination);
  }
  void Dequeue(PendingMessage& pending) {
    ClearAlarm(pending.alarm);
    sheddable_.erase(pending.SheddingKey());
    if (!std::exchange(pending.queued, false)) return;
    pending.destination->queues[pending.QueueIndex()].erase(pending.sort_key);
    pending.destination->waiting -= 1;
  }
  void RemoveMessage(const MessageId& id) {
    const auto it = messages_.find(id);
    if (it == messages_.end()) return;
    PendingMessage& pending = it->second;
    Dequeue(pending);
    pending.destination->held -= 1;
    Touch(*pending.destination);
    const std::string key =
        !pending.in_flight && IsOrdered(pending.message) ? pending.message.key : std::string();
    messages_.erase(it);
    if (!key.empty()) RemoveFromKeyQueue(key, id);
  }

  // ---- order by key ----
  bool IsOrdered(const Message& message) const { return !message.key.empty() && ClassOf(message).ordered; }
  void RemoveFromKeyQueue(const std::string& key, const MessageId& id) {
    std::erase(key_queues_.at(key).messages, id);
    AdvanceKeyQueue(key);
  }
  void AdvanceKeyQueue(const std::string& key) {
    KeyQueue& key_queue = key_queues_.at(key);
    ClearAlarm(key_queue.alarm);
    if (key_queue.blocked_until > now_) return SetAlarm(key_queue.alarm, key_queue.blocked_until, key);
    const auto first =
        key_queue.messages.empty() ? messages_.end() : messages_.find(key_queue.messages.front());
    if (first != messages_.end() && !first->second.in_flight) Enqueue(first->second);
    if (key_queue.messages.empty()) key_queues_.erase(std::string(key));
  }
  bool IsNextOfItsKey(const PendingMessage& pending) const {
    if (!IsOrdered(pending.message)) return true;
    const KeyQueue& key_queue = key_queues_.at(pending.message.key);
    return key_queue.messages.front() == pending.message.id &&
           (pending.sends > 0 || key_queue.blocked_until <= now_);
  }

  // ---- health and slow start ----
  void RecordServed(Endpoint& endpoint, Time latency, bool is_probe) {
    // Calls to a cold endpoint are paced by its capacity, not by the interval, so they don't change the
    // interval.
    const bool has_backlog = endpoint.state == HealthState::kUp && endpoint.destination->waiting > 0;
    endpoint.route->OnServed(has_backlog);
    if (!is_probe && has_backlog) pace_ = std::max(kMinPace, pace_ * (1 - kPaceShrink));
    endpoint.last_served_at = now_;
    endpoint.last_served_sent_at = std::max(endpoint.last_served_sent_at, now_ - latency);
    if (!is_probe) {
      endpoint.failure_rate -= kFailureRateWeight * endpoint.failure_rate;
      endpoint.latency_s += kLatencyWeight * (Seconds(latency) - endpoint.latency_s);
    }
    if (endpoint.state == HealthState::kDown && endpoint.single_connect_failure)
      endpoint.state = HealthState::kUp;
    // A call that is served before a long requested wait ends was sent before the wait was requested. It does
    // not show that the endpoint has returned.
    if (endpoint.state == HealthState::kDown && now_ >= endpoint.failed_at) {
      endpoint.state = HealthState::kCold;
      // In a large fleet a sender notices the return late: the endpoint returned at some time since the last
      // failure seen here. Calls are paced by the capacity that the endpoint has if it returned halfway
      // through that time. Pacing continues until the latest time at which the endpoint can be cold: if it
      // ended earlier, all waiting messages would be sent at once to an endpoint that may not be warm yet.
      endpoint.cold_since =
          now_ -
          Micros(kAssumedUpShare * Seconds(now_ - std::max(endpoint.failed_at, now_ - settings_.warm_up)));
      endpoint.warm_at = now_ + settings_.warm_up;
      endpoint.route->cold_until = endpoint.cold_since + settings_.warm_up;
      // The trial itself counts as a call.
      endpoint.route->next_trial_at = now_ + ColdInterval(endpoint, ColdCapacity(endpoint)) / 2;
      actions_.push_back(Log{"returning " + endpoint.info.id});
    }
    endpoint.consecutive_failures = 0;
    endpoint.connect_failed_at = kNever;
  }
  // If single connects fail and calls sent soon after are served, the idle connections of all senders use up
  // the connections that this kind of destination accepts. Idle connections are then closed, and more
  // failures are needed to mark an endpoint down. Drawback: each call needs a handshake, and a short outage
  // may go unnoticed.
  bool ConnectionsExhausted(const Endpoint& endpoint) const {
    return exhausted_counts_.count(endpoint.info.kind) > 0 &&
           exhausted_counts_.at(endpoint.info.kind).At(now_) >= kConnectionsExhaustedCount;
  }
  // Returns the number of consecutive failures after which an endpoint is marked down: one if no call was
  // served recently, more if a share of its calls always fails. Drawback: the outage of an endpoint with many
  // failures is noticed later, and where calls are rare a single failure delays messages.
  int FailuresToMarkDown(const Endpoint& endpoint) const {
    if (ConnectionsExhausted(endpoint)) return kMaxFailuresToMarkDown;
    if (endpoint.failure_rate <= kFailureRateWeight)
      return now_ - endpoint.last_served_at > kRecentlyServed ? 1 : kMinFailuresToMarkDown;
    const double failures =
        std::log(kMaxChanceOfFalseOutage) / std::log(std::min(endpoint.failure_rate, 0.99));
    return static_cast<int>(
        std::ceil(std::clamp<double>(failures, kMinFailuresToMarkDown, kMaxFailuresToMarkDown)));
  }
  void RecordFailure(Endpoint& endpoint, Outcome outcome) {
    endpoint.consecutive_failures += 1;
    endpoint.failed_at = now_;
    endpoint.failure_may_have_run = MayHaveRun(outcome);
    if (endpoint.state == HealthState::kDown) return;
    endpoint.failure_rate += kFailureRateWeight * (1 - endpoint.failure_rate);
    endpoint.single_connect_failure = outcome == Outcome::kNoConnection &&
                                      endpoint.consecutive_failures == 1 &&
                                      now_ >= endpoint.route->cold_until;
    if (endpoint.consecutive_failures >= FailuresToMarkDown(endpoint)) MarkDown(endpoint, "failures");
    if (endpoint.single_connect_failure) endpoint.route->next_trial_at = now_ + Jittered(kConnectRecheck);
  }
  // Handles a refusal: slows the pace, doubles the gap and widens the interval. The next call is made at a
  // random time within the gap, also after a requested wait, so that the senders that were refused in one
  // burst spread their repeats over some seconds. The refusal of a call that was sent before the gap was last
  // widened changes neither gap nor interval: it gives no new information, and a burst of refusals would stop
  // this sender. Drawback: a further decrease of the limit is noticed late.
  void SlowDown(const Endpoint& endpoint, Time sent_at) {
    Route& route = *endpoint.route;
    const double price_ratio =
        settings_.refused_price > 0 ? kReferenceRefusedPrice / settings_.refused_price : 1;
    const double refused_share =
        std::clamp(kMinRefusedShare * price_ratio * price_ratio, kMinRefusedShare, kMaxRefusedShare);
    pace_ = std::min(kMaxPace, pace_ * std::exp(kPaceShrink * (1 - refused_share) / refused_share));
    if (sent_at >= route.gap_widened_at) {
      route.gap_widened_at = now_;
      route.ScaleInterval(kIntervalWiden);
      route.gap = std::clamp(route.gap * 2, ByFleetSize(kFirstGap, kFirstGapLargeFleet),
                             ByFleetSize(kMaxGap, kMaxGapLargeFleet));
    }
    route.current_gap = Jittered(route.gap) - (route.wait_until > now_ ? route.gap / 2 : 0us);
    route.next_send_at = std::max(route.next_send_at, std::max(now_, route.wait_until) + route.current_gap);
    // The load that exceeded the limit of this endpoint also reaches the other endpoints, so calls to them
    // pause. Drawback: an endpoint with free capacity is used later.
    endpoint.destination->refused_at = now_;
    endpoint.destination->pause =
        Jittered(std::min(ByFleetSize(0us, kSiblingPause),
                          Micros(kArrivalWindowS / (0.01 + endpoint.destination->arrivals.At(now_)))));
  }
  // 0 for a small fleet; approaches 1 as the fleet grows.
  double FleetFactor() const { return std::max(0.0, 1 - kSmallFleet / settings_.senders); }
  Time ByFleetSize(Time small, Time large) const {
    return small + Micros(FleetFactor() * Seconds(large - small));
  }
  Time Jittered(Time mean) { return Micros(Seconds(mean) * Uniform(0.5, 1.5)); }
  void RecordRefusal(Endpoint& endpoint, Time retry_after, Time sent_at) {
    Route& route = *endpoint.route;
    route.wait_until = std::max(route.wait_until, now_ + retry_after);
    SlowDown(endpoint, sent_at);
    if (endpoint.state == HealthState::kDown) ScheduleTrial(endpoint);
    if (retry_after > kMaxGap) MarkDownUntilWaitEnds(route, *endpoint.destination);
  }
  // Handles a long requested wait: the endpoints of the route are down until it ends, and then cold.
  void MarkDownUntilWaitEnds(const Route& route, const Destination& destination) {
    for (Endpoint* other : destination.endpoints) {
      if (other->route != &route || other->state == HealthState::kDown) continue;
      other->failure_may_have_run = false;
      other->failed_at = route.wait_until;  // no call that is served earlier ends the outage
      MarkDown(*other, "a long requested wait");
    }
  }
  void MarkDown(Endpoint& endpoint, const char* reason) {
    endpoint.state = HealthState::kDown;
    if (endpoint.route->cold_until < now_) endpoint.route->down_since = now_;
    endpoint.route->cold_until = now_ + settings_.warm_up;
    endpoint.route->backoff = kFirstBackoff / 2;
    ScheduleTrial(endpoint);
    for (Attempt* attempt : endpoint.attempts) MarkCancellable(*attempt);
    actions_.push_back(Log{"down " + endpoint.info.id + " after " + reason});
  }
  // Sets the time of the next trial. The senders that noticed the outage make their trials at different
  // times, and all of them together make no more trials than the destination can serve on its return.
  // Drawback: the return of a destination with little traffic is noticed late.
  void ScheduleTrial(Endpoint& endpoint) {
    Route& route = *endpoint.route;
    route.backoff = std::min(kMaxBackoff, route.backoff * 2);
    const Time interval = std::max(route.backoff, Micros(1 / (kTrialShare * OutageRateShare(endpoint))));
    // When a requested wait ends, all senders would call the cold endpoint at the same time, so their first
    // calls are spread like the following ones.
    const Time after_wait =
        route.wait_until + Micros(FleetFactor() * Uniform(0, 1) *
                                  Seconds(ColdInterval(endpoint, settings_.warm_up_start_share)));
    route.next_trial_at =
        std::max(route.next_trial_at, route.wait_until > now_ ? after_wait : now_ + Jittered(interval));
  }
  // Returns this sender's share of the call rate of an endpoint, in calls a second. It is a share of the
  // announced limit or, if there is none, the rate of arrivals for the destination at this sender, estimated
  // with a bias towards the mean of all destinations.
  double RateShare(const Endpoint& endpoint) const {
    if (endpoint.route->announced_limit_per_s > 0)
      return endpoint.route->announced_limit_per_s / settings_.senders;
    const double observed_s =
        kMinArrivalWindowS +
        kArrivalWindowS * (1 - std::exp(-Seconds(now_ - *started_at_) / kArrivalWindowS));
    const double mean_rate =
        (arrivals_.At(now_) + 1) / observed_s / static_cast<double>(destinations_.size());
    const double rate = (endpoint.destination->arrivals.At(now_) + 1) / (observed_s + 1 / mean_rate);
    return std::max(rate / static_cast<double>(endpoint.destination->routes.size()),
                    kMinDestinationRate / settings_.senders);
  }
  void UpdateIntervals(const Endpoint& endpoint) {
    Route& route = *endpoint.route;
    if (route.announced_limit_per_s <= 0) return;
    const double interval_s = 1 / ((1 + kSmallFleetBonus / settings_.senders) * RateShare(endpoint));
    // A long interval is shortened until calls are refused. If all senders always kept to the long interval,
    // the endpoint would be idle; if none did, it would be overloaded and serve nothing.
    const Time initial_interval =
        Micros(std::min(interval_s, std::max(kMaxAnnouncedIntervalS / 2,
                                             kMaxAnnouncedIntervalS * kMaxAnnouncedIntervalS / interval_s)));
    route.unused_call_lifetime =
        FleetFactor() > 0 ? Micros(std::max(kMinUnusedCallLifetimeS, interval_s - kMaxIntervalWaitS))
                          : Time::max() / 2;
    if (route.announced_interval == 0us) route.last_call_at = now_, route.interval_jitter = Uniform(0, 1);
    if (std::exchange(route.announced_interval, Micros(interval_s)) != Micros(interval_s))
      route.call_interval = initial_interval;
  }
  // Returns this sender's share of the call rate after an outage, in calls a second. Only the senders that
  // noticed the outage hold messages back. Where calls are rare these are few, so each may send more.
  double OutageRateShare(const Endpoint& endpoint) const {
    const double share = RateShare(endpoint),
                 rate = std::max(share, endpoint.destination->arrivals.At(now_) / kArrivalWindowS);
    const Time outage = std::max(now_, endpoint.route->wait_until) - endpoint.route->down_since;
    return share / (1 - std::exp(-rate * (Seconds(outage) + kUnseenOutageS)));
  }
  // Returns a random time until this sender's next call to a cold endpoint that now has `capacity`, a share
  // of its full capacity. The capacity grows linearly until then: the call is due when the integral of the
  // capacity over time reaches the interval between calls at full
  // capacity.
  Time ColdInterval(const Endpoint& endpoint, double capacity) {
    const double interval_s = Uniform(0.5, 1.5) / OutageRateShare(endpoint);
    const double growth_per_s = settings_.warm_up > 0us && capacity < 1
                                    ? (1 - settings_.warm_up_start_share) / Seconds(settings_.warm_up)
                                    : 0;
    return Micros(growth_per_s <= 0
                      ? interval_s / capacity
                      : (std::sqrt(capacity * capacity + 2 * growth_per_s * interval_s) - capacity) /
                            growth_per_s);
  }
  // The share of its full capacity that a cold endpoint has now.
  double ColdCapacity(const Endpoint& endpoint) const {
    const double growth =
        settings_.warm_up > 0us ? Seconds(now_ - endpoint.cold_since) / Seconds(settings_.warm_up) : 1;
    return std::clamp(settings_.warm_up_start_share + (1 - settings_.warm_up_start_share) * growth, 0.05,
                      1.0);
  }
  // After a failure at an endpoint, messages of the same class are sent to another healthy endpoint for a
  // while. Drawback: a failure by chance has the same effect.
  bool FailedRecently(const Endpoint& endpoint, const PendingMessage& pending) const {
    const auto it = endpoint.avoided_until.find(pending.message.message_class);
    return it != endpoint.avoided_until.end() && it->second > now_;
  }
  bool Avoided(const Endpoint& endpoint, const PendingMessage& pending) const {
    const auto& all = endpoint.destination->endpoints;
    return FailedRecently(endpoint, pending) &&
           std::any_of(all.begin(), all.end(), [&](const Endpoint* other) {
             return other->Usable() && other->state == HealthState::kUp && InAllowedZone(*other, pending) &&
                    !FailedRecently(*other, pending);
           });
  }
  // Counts overdue attempts as failures before they time out, if no call was served in the meantime.
  void CheckOverdue(Attempt& attempt) {
    Endpoint& endpoint = *attempt.endpoint;
    ClearAlarm(attempt.alarm);
    if (++attempt.overdue_count == 1) SetAlarm(attempt.alarm, now_ + attempt.overdue_after, &attempt);
    if (attempt.overdue_count > 1 || endpoint.state == HealthState::kDown) MarkCancellable(attempt);
    if (endpoint.state == HealthState::kDown || now_ - endpoint.last_served_at < OverdueAfter(endpoint))
      return;
    int failure_count = endpoint.consecutive_failures;
    for (const Attempt* other : endpoint.attempts)
      failure_count += other->sent_at > endpoint.last_served_sent_at
                           ? std::min(other->overdue_count, kMinFailuresToMarkDown)
                           : 0;
    if (failure_count < std::max(kMinFailuresToMarkDown, FailuresToMarkDown(endpoint))) return;
    endpoint.failure_may_have_run = true;
    MarkDown(endpoint, "silence");
    Touch(*endpoint.destination);
  }
  // Returns how long after its start a call is overdue. A cold endpoint is slow, so its calls may take
  // longer; otherwise it would be marked down again.
  Time OverdueAfter(const Endpoint& endpoint) const {
    double factor = endpoint.state == HealthState::kDown ? kMaxColdFactor : 1;
    if (endpoint.state == HealthState::kCold)
      factor = std::clamp(1 / ColdCapacity(endpoint), 1.0, kMaxColdFactor);
    return Micros(factor * std::max(Seconds(kMinOverdue), kOverdueLatencies * endpoint.latency_s));
  }
  // No endpoint may be called after the list has expired; see ListLease.
  bool ListValid() const { return now_ < list_valid_until_; }
  void SendProbe(Endpoint& endpoint) {
    if (!ListValid() || !settings_.may_probe || endpoint.state != HealthState::kDown ||
        endpoint.trial_in_flight || !endpoint.Usable() || now_ < AvailableAt(endpoint))
      return;
    endpoint.trial_in_flight = true;
    ScheduleTrial(endpoint);
    actions_.push_back(Probe{endpoint.info.id});
  }

  // ---- choice of endpoints ----
  bool Repeatable(const PendingMessage& pending) const {
    return ClassOf(pending.message).semantics != Semantics::kAtMostOnce;
  }
  bool SlotsFull() const {
    return settings_.slots > 0 && static_cast<int>(outstanding_outcomes_.size()) >= settings_.slots;
  }
  // A message that may have run is repeated only in the zone in which its repeats are recognised.
  bool InAllowedZone(const Endpoint& endpoint, const PendingMessage& pending) const {
    return !pending.may_have_run || !ClassOf(pending.message).repeats_bound_to_zone ||
           endpoint.info.zone == pending.first_uncertain_zone;
  }
  // Returns whether the message may be sent to the endpoint now.
  bool MayCall(const Endpoint& endpoint, const PendingMessage& pending) const {
    if (!ListValid() || !endpoint.Usable() || !InAllowedZone(endpoint, pending) ||
        Avoided(endpoint, pending) || AvailableAt(endpoint) > now_)
      return false;
    if (settings_.slots > 0 &&
        endpoint.route->calls_in_flight >= std::max(2, static_cast<int>(kMaxSlotShare * settings_.slots)))
      return false;
    const bool trial_allowed =
        Repeatable(pending) || !endpoint.failure_may_have_run || endpoint.route->backoff >= kMaxBackoff;
    return endpoint.state != HealthState::kDown || (!settings_.may_probe && trial_allowed);
  }
  // Returns the cost of sending the message to the endpoint, in seconds; PickEndpoint() minimizes it.
  double Cost(const Endpoint& endpoint, const PendingMessage& pending) const {
    double cost = endpoint.latency_s * (endpoint.calls_in_flight + 1);
    // Without the negative cost, a down endpoint would never be tried while others are healthy. Drawback: a
    // retry token is lost if it is still down.
    if (endpoint.state == HealthState::kDown) cost += Repeatable(pending) ? -kTrialCostS : kTrialCostS;
    if (endpoint.state == HealthState::kCold) cost += kColdCostS;
    const double mean_weight =
        endpoint.destination->weight / static_cast<double>(endpoint.destination->endpoints.size());
    cost += FleetFactor() * kRendezvousCostS * endpoint.rendezvous_cost * mean_weight /
            std::max({endpoint.info.weight, 0.01 * mean_weight, 1e-9});
    const auto zone = static_cast<std::size_t>(endpoint.info.zone);
    if (KindOf(endpoint.info).separate_routes && zone < settings_.zone_fee.size())
      cost += settings_.zone_fee[zone] * kFeeCostS;
    return cost;
  }
  Endpoint* PickEndpoint(const PendingMessage& pending) const {
    Endpoint* best = nullptr;
    for (Endpoint* endpoint : pending.destination->endpoints) {
      if (MayCall(*endpoint, pending) && (best == nullptr || Cost(*endpoint, pending) < Cost(*best, pending)))
        best = endpoint;
    }
    return best;
  }
  // Returns the time-out of an attempt; 0 if it lasts until the client stops waiting.
  Time TimeoutFor(const PendingMessage& pending, const Endpoint& endpoint, bool is_trial) const {
    const Time timeout = OverdueAfter(endpoint) * (is_trial ? 1 : kTimeoutFactor);
    return !Repeatable(pending) || now_ + timeout >= pending.deadline_at ? 0us : timeout;
  }
  // Starts a call with the message, and with further messages of its destination if the kind allows bundles.
  void StartCall(PendingMessage& pending, Endpoint& endpoint) {
    const bool is_trial = endpoint.state == HealthState::kDown;
    if (is_trial) ScheduleTrial(endpoint);
    if (endpoint.state == HealthState::kCold)
      endpoint.route->next_trial_at = now_ + ColdInterval(endpoint, ColdCapacity(endpoint));
    Route& route = *endpoint.route;
    route.current_gap = Jittered(route.gap);
    route.next_send_at = now_ + route.current_gap;
    route.last_call_at = now_;
    route.interval_jitter = Uniform(0.5, 1.5);
    RegisterCall(endpoint);
    SendMessage(pending, endpoint, is_trial);
    if (is_trial) return;
    for (int room = KindOf(endpoint.info).bundle_max - 1; room > 0; --room) {
      const auto heads = QueueHeads(*endpoint.destination);
      const auto next = std::find_if(heads.begin(), heads.end(),
                                     [&](auto* head) { return InAllowedZone(endpoint, *head); });
      if (next == heads.end()) return;
      SendMessage(**next, endpoint, false);
    }
  }
  void RegisterCall(Endpoint& endpoint) {
    endpoint.route->calls_in_flight += 1;
    endpoint.calls_in_flight += 1;
    ++last_call_id_;
  }
  // Starts an attempt as part of the latest call.
  void SendMessage(PendingMessage& pending, Endpoint& endpoint, bool is_trial) {
    if (pending.sends == 0)
      endpoint.route->tokens = std::min(kMaxTokens, endpoint.route->tokens + kTokensPerFirstSend);
    Dequeue(pending);
    Touch(*pending.destination);
    outstanding_outcomes_[last_call_id_] += 1;
    const AttemptKey key{pending.message.id, pending.sends};
    const std::string order_key = IsOrdered(pending.message) ? pending.message.key : std::string();
    Attempt& attempt = attempts_[key];
    attempt = {key,  pending.message.message_class, &endpoint, order_key, last_call_id_,
               now_, OverdueAfter(endpoint),        0,         is_trial,  false,
               {}};
    endpoint.attempts.push_back(&attempt);
    SetAlarm(attempt.alarm, now_ + attempt.overdue_after, &attempt);
    actions_.push_back(Send{pending.message.id, endpoint.info.id, TimeoutFor(pending, endpoint, is_trial)});
    pending.sends += 1;
    pending.in_flight = true;
  }

  // Returns the key by which waiting messages are sorted: the aim, less a head start that grows with the
  // worth that the message loses per second of waiting. It does not depend on the current time, so the order
  // of two messages changes only when one of them becomes late.
  double DispatchKey(const PendingMessage& pending) const {
    const MessageClass& message_class = ClassOf(pending.message);
    const bool is_linear = settings_.decay == Decay::kLinear;
    const double loss = is_linear ? 1 - message_class.late_value : std::log(2.0);
    const double loss_per_s =
        pending.worth * loss /
        std::max(0.001, Seconds(is_linear ? message_class.deadline - message_class.aim : message_class.aim));
    const double late_penalty_s = pending.late ? Seconds(message_class.deadline) : 0;
    return Seconds(pending.aim_at) + late_penalty_s - kWorthHeadStartS * std::log(std::max(loss_per_s, 1e-6));
  }
  static std::vector<PendingMessage*> QueueHeads(const Destination& destination) {
    std::vector<PendingMessage*> heads;
    for (const auto& queue : destination.queues) {
      if (!queue.empty()) heads.push_back(queue.begin()->second);
    }
    std::sort(heads.begin(), heads.end(),
              [](const auto* left, const auto* right) { return left->sort_key < right->sort_key; });
    return heads;
  }
  // Marks a destination as changed, so that this step visits it, and updates its entry in ready_.
  void Touch(Destination& destination) {
    if (!destination.touched) touched_.push_back(&destination);
    destination.touched = true;
    if (destination.ready) ready_.erase(*destination.ready);
    destination.ready.reset();
    if (destination.waiting == 0) return;
    destination.ready = *ready_.insert({QueueHeads(destination).front()->sort_key, destination.id}).first;
  }
  void Dispatch() {
    while (!ready_.empty() && !SlotsFull()) ServeDestination(destinations_.at(ready_.begin()->second));
    if (!ready_.empty() && settings_.may_cancel) CancelOverdue();
  }
  // Sends the first message of a destination that can be sent now. If there is none, sets the alarm for the
  // time at which an endpoint may be called.
  void ServeDestination(Destination& destination) {
    for (Endpoint* endpoint : destination.endpoints) {
      if (endpoint->state == HealthState::kCold && now_ >= endpoint->warm_at)
        endpoint->state = HealthState::kUp;
      SendProbe(*endpoint);
    }
    for (PendingMessage* pending : QueueHeads(destination)) {
      Endpoint* endpoint = PickEndpoint(*pending);
      if (endpoint != nullptr) return StartCall(*pending, *endpoint);
    }
    ready_.erase(*destination.ready);
    destination.ready.reset();
    ClearAlarm(destination.alarm);
    const Time soonest = NextAvailableAt(destination);
    if (soonest < Time::max()) SetAlarm(destination.alarm, soonest, &destination);
  }
  // Returns the earliest time at which an endpoint that must not be called yet may be called; Time::max() if
  // there is no such endpoint.
  Time NextAvailableAt(const Destination& destination) const {
    Time soonest = Time::max();
    if (!ListValid()) return soonest;
    for (const Endpoint* endpoint : destination.endpoints) {
      if (endpoint->Usable() && AvailableAt(*endpoint) > now_)
        soonest = std::min(soonest, AvailableAt(*endpoint));
    }
    return soonest;
  }
  // Returns the earliest time at which the health and the pacing of an endpoint allow the next call.
  Time AvailableAt(const Endpoint& endpoint) const {
    const Route& route = *endpoint.route;
    if (endpoint.state == HealthState::kDown) return std::max(route.wait_until, route.next_trial_at);
    const double backlog = std::pow(std::max(1, endpoint.destination->waiting), FleetFactor());
    const Time paused_until =
        endpoint.destination->refused_at + Micros(Seconds(endpoint.destination->pause) / backlog);
    const Time paced_until = std::max(route.NextCallAt(now_, pace_, backlog), paused_until);
    if (endpoint.state == HealthState::kUp) return paced_until;
    return std::max(paced_until, std::min(route.next_trial_at, endpoint.warm_at));
  }
  void MarkCancellable(Attempt& attempt) {
    const auto it = messages_.find(attempt.key.first);
    if (attempt.overdue_count == 0 || (it != messages_.end() && it->second.streaming)) return;
    if (!std::exchange(attempt.cancellable, true)) cancellable_.insert({attempt.sent_at, attempt.key});
  }
  // Cancels overdue attempts, the oldest first, if other messages could use their slots. Otherwise endpoints
  // that don't respond could occupy all slots. Drawback: a late response may be lost, so this is done only if
  // no slot is free.
  void CancelOverdue() {
    int needed_slots = -cancels_in_flight_;
    for (const auto& [sort_key, id] : ready_) {
      if (needed_slots >= static_cast<int>(cancellable_.size())) break;
      const auto heads = QueueHeads(destinations_.at(id));
      needed_slots += std::any_of(heads.begin(), heads.end(),
                                  [&](PendingMessage* pending) { return PickEndpoint(*pending) != nullptr; });
    }
    for (; needed_slots > 0 && !cancellable_.empty(); --needed_slots) {
      const AttemptKey key = cancellable_.begin()->second;
      cancellable_.erase(cancellable_.begin());
      cancels_in_flight_ += 1;
      actions_.push_back(Cancel{key.first, key.second});
    }
  }
  // Near max_open, refuses the waiting messages with the lowest worth, while their clients still have time to
  // retry. Returns whether there were too many messages.
  bool Shed() {
    const auto limit = static_cast<std::size_t>(std::max(1.0, kSheddingThreshold * settings_.max_open));
    const bool is_over_limit = settings_.max_open > 0 && messages_.size() > limit;
    while (is_over_limit && messages_.size() > limit && !sheddable_.empty())
      GiveUp(*sheddable_.begin()->second);
    return is_over_limit;
  }
  double WorthOf(const Message& message) {
    const double worth = ClassOf(message).worth;
    const auto tenant = static_cast<std::size_t>(message.tenant);
    if (message.tenant < 0 || tenant >= tenant_quotas_.size() || tenant_quotas_[tenant].per_s <= 0)
      return worth;
    return tenant_quotas_[tenant].TrySpendToken(now_) ? worth : worth * settings_.over_quota_worth_factor;
  }

  // ---- events ----
  // Used only with the simulator, which answers each call with one event and reports the end of a
  // subscription with kFailed. The relay process calls discovery itself and does not set must_request_list.
  void StepListSubscription(const ListSubscription::Event& event) {
    if (!settings_.must_request_list) return;
    for (const ListSubscription::Call& list_call : list_subscription_.Step(now_, event)) {
      last_list_call_ = list_call.number;
      actions_.push_back(SubscribeToList{});
    }
    ClearAlarm(list_alarm_);
    if (list_subscription_.alarm() != Time::max())
      SetAlarm(list_alarm_, list_subscription_.alarm(), std::monostate());
  }
  void On(const ListUpdate& update) {
    if (update.scope == ListScope::kFailed)
      return StepListSubscription(ListSubscription::Failed{last_list_call_});
    if (update.scope != ListScope::kRemembered)
      StepListSubscription(ListSubscription::Received{last_list_call_});
    for (auto& [id, endpoint] : endpoints_) {
      if (update.scope == ListScope::kChanges) break;
      endpoint.listed = false;
      Touch(*endpoint.destination);
    }
    for (const EndpointInfo& info : update.endpoints) AddOrUpdate(info);
  }
  void AddOrUpdate(const EndpointInfo& info) {
    const auto [it, is_new] = endpoints_.try_emplace(info.id);
    Endpoint& endpoint = it->second;
    if (!is_new) Detach(endpoint);
    const bool is_back_after_drain =
        !is_new && info.lifecycle == Lifecycle::kUp && endpoint.info.lifecycle == Lifecycle::kDraining;
    endpoint.info = info;
    endpoint.listed = info.lifecycle != Lifecycle::kRemoved;
    Destination& destination = DestinationFor(info.destination);
    const auto by_id = [](const Endpoint* left, const Endpoint* right) {
      return left->info.id < right->info.id;
    };
    destination.endpoints.insert(
        std::upper_bound(destination.endpoints.begin(), destination.endpoints.end(), &endpoint, by_id),
        &endpoint);
    endpoint.destination = &destination;
    destination.weight += info.weight;
    endpoint.rendezvous_cost = RendezvousCost(info.id);
    endpoint.route = &destination.routes[KindOf(info).separate_routes ? info.id : EndpointId()];
    endpoint.route->endpoints += 1;
    endpoint.route->calls_in_flight += endpoint.calls_in_flight;
    if (settings_.weights != WeightMeaning::kNone) endpoint.route->announced_limit_per_s = info.weight;
    UpdateIntervals(endpoint);
    // A new endpoint starts cold if its destination has waiting messages or is down or cold; otherwise it
    // would receive the whole backlog at once. The same applies to an endpoint that is up again after a
    // drain. Drawback: a healthy endpoint receives its first calls slowly.
    if (is_back_after_drain || (is_new && (destination.waiting > 0 || now_ < endpoint.route->cold_until)))
      endpoint.state = HealthState::kCold;
    if (is_new || is_back_after_drain) endpoint.cold_since = now_;
    if (is_new || is_back_after_drain) endpoint.warm_at = now_ + settings_.warm_up;
    Touch(destination);
  }
  // Weighted rendezvous hashing: each endpoint is the first choice of a share of the senders, and a new
  // endpoint changes the first choice only of the senders in its own share.
  double RendezvousCost(const EndpointId& id) const {
    std::uint64_t hash = 0x9e3779b97f4a7c15 * static_cast<std::uint64_t>(settings_.rank + 1);
    for (const char character : id) hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3;
    for (const int shift : {30, 27}) hash = (hash ^ (hash >> shift)) * 0xbf58476d1ce4e5b9;
    return -std::log((static_cast<double>((hash ^ (hash >> 31)) >> 11) + 0.5) * 0x1p-53);
  }
  void Detach(Endpoint& endpoint) {
    std::erase(endpoint.destination->endpoints, &endpoint);
    endpoint.destination->weight -= endpoint.info.weight;
    endpoint.route->endpoints -= 1;
    endpoint.route->calls_in_flight -= endpoint.calls_in_flight;
    Touch(*endpoint.destination);
  }
  void On(const Message& message) {
    if (messages_.count(message.id) > 0) return;
    const auto class_index = static_cast<std::size_t>(message.message_class);
    const bool valid_class = message.message_class >= 0 && class_index < settings_.classes.size();
    if (!valid_class || message.expires_in <= 0us) {
      return actions_.push_back(message.history.may_have_run ? Action(Fail{message.id})
                                                             : Action(Refuse{message.id, 0us}));
    }
    PendingMessage& pending = messages_[message.id];
    pending.message = message;
    pending.sequence = ++last_sequence_;
    pending.destination = &DestinationFor(message.destination);
    pending.destination->held += 1;
    if (!message.resubmitted) arrivals_.Add(now_);
    if (!message.resubmitted) pending.destination->arrivals.Add(now_);
    pending.deadline_at = now_ + message.expires_in;
    pending.aim_at =
        pending.deadline_at - (settings_.classes[class_index].deadline - settings_.classes[class_index].aim);
    pending.worth = WorthOf(message);
    if (IsOrdered(message)) key_queues_[message.key].messages.push_back(message.id);
    message.history.sends > 0 ? Restore(pending) : StartWaiting(pending);
  }
  // Continues a message that an earlier process has sent, under the same rules. The repeat costs a retry
  // token, unless the earlier process has already spent it.
  void Restore(PendingMessage& pending) {
    const History& history = pending.message.history;
    pending.sends = history.sends;
    pending.may_have_run = history.may_have_run;
    pending.first_uncertain_at = now_ - history.since_first_uncertain;
    pending.first_uncertain_zone = history.first_uncertain_zone;
    // Charged for the repeat if no other route is to pay for it; starts with all tokens and is discarded.
    Route substitute_route;
    const auto last = endpoints_.find(history.last_endpoint);
    // The attempt of the earlier process is recorded like a new one, but its Send action is removed again.
    if (history.in_flight && last != endpoints_.end()) {
      pending.sends -= 1;
      RegisterCall(last->second);
      SendMessage(pending, last->second, false);
      Attempt& attempt = attempts_.at({pending.message.id, history.sends - 1});
      attempt.sent_at = now_ - history.since_sent;
      SetAlarm(attempt.alarm, std::max(now_, attempt.sent_at + attempt.overdue_after), &attempt);
      return actions_.pop_back();
    }
    RetryOrEnd(pending,
               last == endpoints_.end() || !history.may_have_run ? substitute_route : *last->second.route);
  }
  void On(const Withdrawn& withdrawn) {
    const auto it = messages_.find(withdrawn.id);
    if (it == messages_.end()) return;
    const PendingMessage& pending = it->second;
    if (pending.in_flight && settings_.may_cancel && !pending.streaming)
      actions_.push_back(Cancel{withdrawn.id, pending.sends - 1});
    RemoveMessage(withdrawn.id);
  }
  void On(const StreamStarted& started) {
    if (messages_.count(started.id) > 0) messages_.at(started.id).streaming = true;
  }
  void On(const AttemptEnded& ended) {
    const auto found = attempts_.find({ended.id, ended.attempt});
    if (found == attempts_.end()) return;
    const Attempt attempt = RemoveAttempt(found->second);
    Endpoint& endpoint = *attempt.endpoint;
    RecordOutcome(endpoint, ended, attempt.sent_at, attempt.is_trial, false);
    const auto it = messages_.find(ended.id);
    const Outcome outcome = ended.outcome;
    if (outcome == Outcome::kServed) endpoint.avoided_until.erase(attempt.message_class);
    const bool failed = MayHaveRun(outcome) && outcome != Outcome::kServed && outcome != Outcome::kCancelled;
    if (failed) endpoint.avoided_until[attempt.message_class] = now_ + Jittered(kClassAvoidTime);
    const bool may_still_run =
        outcome == Outcome::kTimedOut || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
    if (!attempt.order_key.empty() && may_still_run) {
      key_queues_.at(attempt.order_key).blocked_until = now_ + settings_.order_settle;
    }
    if (!attempt.order_key.empty() && it == messages_.end()) RemoveFromKeyQueue(attempt.order_key, ended.id);
    if (it == messages_.end()) return;
    PendingMessage& pending = it->second;
    pending.in_flight = false;
    if (ended.message_ended || pending.streaming) return RemoveMessage(ended.id);
    if (MayHaveRun(outcome) && !pending.may_have_run) {
      pending.may_have_run = true;
      pending.first_uncertain_at = attempt.sent_at;
      pending.first_uncertain_zone = endpoint.info.zone;
    }
    RetryOrEnd(pending, *endpoint.route);
  }
  Attempt RemoveAttempt(Attempt& attempt) {
    Endpoint& endpoint = *attempt.endpoint;
    ClearAlarm(attempt.alarm);
    if (attempt.cancellable && cancellable_.erase({attempt.sent_at, attempt.key}) == 0)
      cancels_in_flight_ -= 1;
    std::erase(endpoint.attempts, &attempt);
    if (--outstanding_outcomes_[attempt.call_id] == 0) {
      outstanding_outcomes_.erase(attempt.call_id);
      endpoint.route->calls_in_flight -= 1;
      endpoint.calls_in_flight -= 1;
    }
    const Attempt copy = attempt;
    attempts_.erase(copy.key);
    return copy;
  }
  static bool MayHaveRun(Outcome outcome) {
    return outcome != Outcome::kRefused && outcome != Outcome::kNoConnection && outcome != Outcome::kNotSent;
  }
  template <typename Ended>
  void RecordOutcome(Endpoint& endpoint, const Ended& ended, Time sent_at, bool is_trial, bool is_probe) {
    if (ended.reported_limit && ended.reported_limit->limit_per_s > 0) {
      endpoint.route->announced_limit_per_s = ended.reported_limit->limit_per_s;
    }
    const Outcome outcome = ended.outcome;
    if (is_trial) endpoint.trial_in_flight = false;
    if (outcome == Outcome::kNoConnection) endpoint.connect_failed_at = now_;
    const bool served_soon =
        outcome == Outcome::kServed && now_ - endpoint.connect_failed_at <= kServedSoonAfterConnectFailure;
    if (served_soon && endpoint.consecutive_failures <= kMaxConnectFailures &&
        sent_at >= endpoint.connect_failed_at)
      exhausted_counts_[endpoint.info.kind].Add(now_);
    endpoint.single_connect_failure = endpoint.single_connect_failure && served_soon;
    if (is_probe && outcome != Outcome::kServed) endpoint.consecutive_failures += 1;
    if (outcome == Outcome::kServed) {
      RecordServed(endpoint, ended.latency, is_probe);
    } else if (outcome == Outcome::kRefused) {
      RecordRefusal(endpoint, ended.retry_after, sent_at);
    } else if (!is_probe && outcome != Outcome::kCancelled && outcome != Outcome::kNotSent) {
      if (endpoint.state != HealthState::kDown || is_trial) RecordFailure(endpoint, outcome);
    }
    if (endpoint.calls_in_flight == 0 && ConnectionsExhausted(endpoint))
      actions_.push_back(CloseIdle{endpoint.info.id});
    Touch(*endpoint.destination);
  }
  void On(const ProbeEnded& ended) {
    const auto it = endpoints_.find(ended.endpoint);
    if (it != endpoints_.end()) RecordOutcome(it->second, ended, now_ - ended.latency, true, true);
  }
  void On(const NewSettings& update) {
    settings_ = update.settings;
    for (auto& [id, destination] : destinations_)
      destination.queues.resize(settings_.classes.size() * 2), Touch(destination);
  }
  // Messages that waited for a valid list may be sent when it is valid again.
  void On(const ListValidity& validity) {
    const bool was_valid = ListValid();
    list_valid_until_ = validity.until;
    if (was_valid || !ListValid()) return;
    for (auto& [id, destination] : destinations_) Touch(destination);
  }
  void On(const RetryAfterReceived& received) {
    const auto it = endpoints_.find(received.endpoint);
    if (it == endpoints_.end() || received.until <= it->second.route->wait_until) return;
    Endpoint& endpoint = it->second;
    endpoint.route->wait_until = received.until;
    if (received.until - now_ > kMaxGap) MarkDownUntilWaitEnds(*endpoint.route, *endpoint.destination);
    Touch(*endpoint.destination);
  }
  void On(const LearnedState& learned) {
    const auto it = endpoints_.find(learned.endpoint);
    if (it == endpoints_.end()) return;
    static_cast<EndpointHealth&>(it->second) = learned.health;
    // A process of an older version does not set warm_at.
    if (learned.health.warm_at == 0us) it->second.warm_at = learned.health.cold_since + settings_.warm_up;
    static_cast<RouteState&>(*it->second.route) = learned.route;
    Touch(*it->second.destination);
  }
  void On(const auto&) {}  // PeerData and TimerDue need no handling

  // Removes endpoints that are no longer listed and have no call in flight, and destinations that have
  // neither endpoints nor messages. Requested waits and the state after an outage are kept until they end.
  void RemoveUnused() {
    for (Destination* destination : std::exchange(touched_, {})) {
      for (Endpoint* endpoint : std::vector(destination->endpoints)) {
        if (endpoint->listed || endpoint->calls_in_flight > 0 || endpoint->trial_in_flight) continue;
        Detach(*endpoint);
        endpoints_.erase(EndpointId(endpoint->info.id));
      }
      destination->touched = false;
      Time remembered_until = Time::min();
      for (const auto& [id, route] : destination->routes)
        remembered_until = std::max(remembered_until, route.RememberedUntil());
      std::erase_if(destination->routes,
                    [this](const auto& route) { return route.second.RememberedUntil() <= now_; });
      if (destination->held > 0 || !destination->endpoints.empty()) continue;
      ClearAlarm(destination->alarm);
      if (remembered_until > now_) SetAlarm(destination->alarm, remembered_until, destination);
      if (remembered_until <= now_) destinations_.erase(DestinationId(destination->id));
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
  std::optional<Time> started_at_;
  double pace_ = 1;                                // a factor on all intervals
  DecayingCount arrivals_;                         // for all destinations
  std::map<int, DecayingCount> exhausted_counts_;  // by kind; see ConnectionsExhausted()
  Time now_{0};
  std::vector<Action> actions_;
  Schedule schedule_;
  Time timer_at_ = Time::max();  // the earliest timer that was requested
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<MessageId, PendingMessage> messages_;
  std::map<AttemptKey, Attempt> attempts_;
  // By call in flight: the number of its attempts whose outcome is outstanding.
  std::map<std::uint64_t, int> outstanding_outcomes_;
  std::map<std::string, KeyQueue> key_queues_;
  std::vector<Destination*> touched_;                  // in this step
  std::set<std::pair<SortKey, DestinationId>> ready_;  // may be able to send; ordered by their first message
  std::map<SortKey, PendingMessage*> sheddable_;       // waiting messages that certainly have not run
  std::set<std::pair<Time, AttemptKey>> cancellable_;  // attempts that may be cancelled
  int cancels_in_flight_ = 0;                          // attempts that were cancelled and have not ended
  std::vector<TenantQuota> tenant_quotas_;
  ListSubscription list_subscription_;
  Time list_valid_until_ = Time::max();
  ListSubscription::CallNumber last_list_call_ = 0;
  Alarm list_alarm_;
  std::int64_t last_sequence_ = 0;
  std::uint64_t last_call_id_ = 0;
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
std::vector<LearnedState> Decider::learned_states() const { return impl_->learned_states(); }

}  // namespace wheathub
