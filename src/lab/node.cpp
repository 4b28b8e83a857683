#include "lab/node.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <sstream>

#include "endpoint/line.hpp"
#include "relay/phase.hpp"

namespace oxbowspread::lab {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

// The relay's own clocks: never near 0, which some spans use for "not yet".
constexpr Time kMonotonic = 1000s;
constexpr Time kUnix = 1'700'000'000s;
// The figures of the endpoint side and of the program's end.
using endpoint::kKeepaliveShare;
using endpoint::kReuseDelay;
using endpoint::kSweepInterval;
using relay::kExitAfter;
using relay::kKeepAccepting;
using relay::kPollInterval;
using relay::kStopSendingAfter;

std::ostream& Nowhere() {
  static std::ostream none(nullptr);
  return none;
}

}  // namespace

struct Node::Hand final : relay::Client {
  Hand(Node& n, std::uint64_t h) : node(n), number(h) {}
  bool OnAccepted() override {
    node.around_.Tell(
        model::SubmissionAnswered{number, model::SubmissionAnswered::Result::kAccepted, Time(0)});
    Over();
    return true;
  }
  void OnRejected(relay::Time come_again) override {
    node.around_.Tell(
        model::SubmissionAnswered{number, model::SubmissionAnswered::Result::kRejected, come_again});
    Over();
  }
  // The core is done with it, but may still be in the call.
  void Over() {
    node.Later(Time(0), [&n = node, h = number] { n.hands_.erase(h); });
    answered = true;
  }
  Node& node;
  std::uint64_t number;
  bool answered = false;
};

Node::Node(const Options& options, const wheathub::Settings& settings, Around& around,
           const model::SendList& known)
    : options_(options),
      around_(around),
      list_({.pushed_by_agent = !settings.must_request_list,
             .senders = settings.senders,
             .failures_are_reported = false},
            ~options.seed),
      list_calls_before_(options.list_calls_before) {
  std::vector<bool> apart;
  for (const auto& kind : settings.kinds) apart.push_back(kind.separate_routes);
  hosts_.SetSeparateRoutes(std::move(apart));
  std::filesystem::create_directories(options_.folder);
  journal_ = std::make_unique<journal::Journal>(options_.folder, options_.disk_bytes);
  relay_ = std::make_unique<relay::Relay>(settings, options_.seed, *journal_,
                                          relay::Relay::Ports{*this, *this, *this, &Nowhere()}, counters_);
  version_ = known.version;
  relay_->Recover(ChangeOf(known, true));
  TellLease(wheathub::ListLease::Started{});
  StepList(wheathub::ListSubscription::Started{});
  Later(kSweepInterval, [this] { Sweep(); });
}

Node::~Node() {
  *alive_ = false;
  for (const auto& [number, call] : calls_) {
    around_.Tell(model::CallDropped{number});
    around_.Disconnect(call.address);
  }
  for (const auto& [host, pool] : pools_) {
    for (std::size_t i = 0; i < pool.free_since.size(); ++i) around_.Disconnect(pool.address);
  }
  for (const auto& [number, hand] : hands_) {
    if (!hand->answered)
      around_.Tell(
          model::SubmissionAnswered{number, model::SubmissionAnswered::Result::kConnectionLost, Time(0)});
  }
}

Time Node::Now() const { return around_.Now() + kMonotonic; }
Time Node::UnixNow() const { return around_.Now() + kUnix; }

void Node::Later(Time after, std::function<void()> what) {
  around_.At(around_.Now() + after, [this, alive = alive_, what = std::move(what)] {
    if (*alive) Meet(what);
  });
}

void Node::Meet(std::function<void()> what) {
  if (stopped_) return missed_.push_back(std::move(what));
  what();
}

void Node::Stop() {
  stopped_ = true;
  unread_since_ = Now();
}

void Node::Continue() {
  stopped_ = false;
  // One of them may end this life.
  for (const auto& what : std::exchange(missed_, {})) Later(Time(0), what);
  Later(Time(0), [this] { unread_since_ = Time(-1); });
}

// As the client side reckons it with net::Loop::earliest_arrival.
Time Node::LainUnread() const {
  return unread_since_ < 0us ? Time(0) : std::min<Time>(Now() - unread_since_, relay::kClientTimeout);
}

void Node::WakeAt(Time moment) {
  const std::uint64_t wake = ++wake_;
  Later(std::max(Time(0), moment - Now()), [this, wake] {
    if (wake == wake_) relay_->ProcessEvents();
  });
}

// ---- clients ----

void Node::Take(const model::SubmitMessage& in, const std::string& body) {
  last_hand_ = around_.Now();
  journal::Message a;
  a.id = in.id;
  a.key = in.key;
  a.class_name = "outbound";
  a.destination = in.destination;
  a.deadline = UnixNow() + in.time_left - LainUnread();
  a.resubmitted = in.refused_before || in.lost_before;
  a.body = body;
  const auto [it, made] = hands_.emplace(in.submission, std::make_unique<Hand>(*this, in.submission));
  relay_->Submit(std::move(a), *it->second);
}

void Node::Leave(std::uint64_t number) {
  const auto it = hands_.find(number);
  if (it == hands_.end() || it->second->answered) return;
  relay_->Withdraw(*it->second);
  hands_.erase(it);
}

// ---- lines ----

void Node::Fail(const relay::AttemptId& attempt, Outcome outcome) {
  Later(Time(0), [this, attempt, outcome] { relay_->AttemptEnded(attempt, {outcome, false, Time(0)}); });
}

// An idle line, or a new one; false: none to be had. `fresh` by whether the pool had one.
bool Node::TakeLine(const std::string& host, const std::string& address, Time now) {
  const auto it = pools_.find(host);
  if (it == pools_.end() || it->second.address != address) return false;
  auto& idle = it->second.free_since;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (now - idle[i] < kReuseDelay) continue;
    if (static_cast<double>((now - idle[i]).count()) >
        kKeepaliveShare * static_cast<double>(options_.keepalive.count())) {
      return false;
    }
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    return true;
  }
  return false;
}

void Node::GiveLine(const std::string& host, const std::string& address) {
  const endpoint::Host* const known = hosts_.Find(host);
  if (known == nullptr || !known->ready || !known->owns_address || known->address != address)
    return CloseLine(address);
  Pool& pool = pools_[host];
  pool.address = address;
  pool.free_since.push_back(Now());
}

void Node::CloseLine(const std::string& address) {
  around_.Disconnect(address);
  lines_ -= 1;
}

bool Node::MakeRoom() {
  Pool* longest = nullptr;
  for (auto& [host, pool] : pools_) {
    if (pool.free_since.empty()) continue;
    if (longest == nullptr || pool.free_since.front() < longest->free_since.front()) longest = &pool;
  }
  if (longest == nullptr) return false;
  longest->free_since.erase(longest->free_since.begin());
  counters_.connections_evicted += 1;
  CloseLine(longest->address);
  return true;
}

void Node::CloseIdle(const std::string& host) {
  const auto it = pools_.find(host);
  if (it == pools_.end()) return;
  for (std::size_t i = 0; i < it->second.free_since.size(); ++i) CloseLine(it->second.address);
  pools_.erase(it);
}

void Node::Sweep() {
  Later(kSweepInterval, [this] { Sweep(); });
  const Time now = Now();
  const auto keep =
      Time(static_cast<Time::rep>(kKeepaliveShare * static_cast<double>(options_.keepalive.count())));
  for (auto it = pools_.begin(); it != pools_.end();) {
    auto& idle = it->second.free_since;
    while (!idle.empty() && now - idle.front() > keep) {
      idle.erase(idle.begin());
      counters_.idle_connections_closed += 1;
      CloseLine(it->second.address);
    }
    it = idle.empty() ? pools_.erase(it) : std::next(it);
  }
  for (const std::string& id : hosts_.ExpiredHosts(now)) {
    if (pools_.count(id) == 0) hosts_.Forget(id);
  }
}

// ---- calls ----

void Node::StartAttempt(relay::AttemptRequest order) {
  const endpoint::Host* const host = hosts_.Find(order.host);
  if (host == nullptr || !host->owns_address) return Fail(order.attempt, Outcome::kNoConnection);
  const Time now = Now();
  const std::string address = host->address;
  const bool fresh = !TakeLine(order.host, address, now);
  if (fresh) {
    if (lines_ >= options_.most_lines && !MakeRoom()) return Fail(order.attempt, Outcome::kNotSent);
    if (!around_.Connect(address)) {
      counters_.connection_failures += 1;
      return Fail(order.attempt, Outcome::kNoConnection);
    }
    lines_ += 1;
    counters_.connections_opened += 1;
  }
  if (!hosts_.MayWrite(order.host, order.write_deadline, now) ||
      !relay_->RecordAttemptStart(order.attempt, order.host, host->zone)) {
    counters_.attempts_withheld += 1;
    GiveLine(order.host, address);
    return Fail(order.attempt, Outcome::kNotSent);
  }
  const std::uint64_t call = around_.NextCall(options_.number);
  calls_[call] = {order.attempt, order.host, address};
  by_attempt_[order.attempt] = call;
  around_.Tell(model::CallReceived{call, options_.number, address, order.attempt.id, order.key, fresh});
  Later(std::max(Time(0), order.timeout_at - now), [this, call] { Expire(call); });
}

void Node::Expire(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const relay::AttemptId attempt = it->second.attempt;
  CancelAttempt(attempt);
  relay_->AttemptEnded(attempt, {Outcome::kTimedOut, false, Time(0)});
}

bool Node::CancelAttempt(const relay::AttemptId& attempt) {
  const auto it = by_attempt_.find(attempt);
  if (it == by_attempt_.end()) return true;
  const std::uint64_t number = it->second;
  CloseLine(calls_.at(number).address);
  calls_.erase(number);
  by_attempt_.erase(it);
  around_.Tell(model::CallDropped{number});
  return true;
}

void Node::Answer(const model::AnswerCall& answer) {
  const auto it = calls_.find(answer.call);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  by_attempt_.erase(call.attempt);
  // Read as the endpoint side reads it.
  proto::HttpResponseHead head;
  head.status = answer.status;
  if (answer.retry_after > 0us) {
    char text[40];
    std::snprintf(text, sizeof text, "%.6f", static_cast<double>(answer.retry_after.count()) / 1e6);
    head.headers["retry-after"] = text;
  }
  const relay::AttemptResult end = endpoint::InterpretResponse(head);
  if (end.retry_after > 0us) {
    TellWaits(hosts_.RecordRetryAfter(call.host, *net::ParseAddress(call.address), end.retry_after, Now()));
  }
  GiveLine(call.host, call.address);
  relay_->AttemptEnded(call.attempt, end);
}

void Node::Break(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  by_attempt_.erase(call.attempt);
  CloseLine(call.address);
  relay_->AttemptEnded(call.attempt, {Outcome::kReset, false, Time(0)});
}

// ---- discovery and notices ----

relay::RoutingChange Node::ChangeOf(const model::SendList& list, bool remembered) const {
  relay::RoutingChange change;
  change.scope = remembered  ? wheathub::ListScope::kRemembered
                 : list.full ? wheathub::ListScope::kAll
                             : wheathub::ListScope::kChanges;
  change.revision = list.version;
  for (const model::ListEntry& entry : list.entries) {
    relay::Host host;
    host.info.id = entry.id;
    host.info.destination = entry.destination;
    host.info.kind = entry.kind;
    host.info.zone = entry.zone;
    host.info.weight = entry.weight;
    host.info.lifecycle = entry.state == model::ListEntry::State::kReady ? wheathub::Lifecycle::kUp
                          : entry.state == model::ListEntry::State::kTerminating
                              ? wheathub::Lifecycle::kDraining
                              : wheathub::Lifecycle::kRemoved;
    host.address = entry.address;
    change.hosts.push_back(std::move(host));
  }
  return change;
}

void Node::ApplyRoutingChange(const relay::RoutingChange& change) {
  for (const std::string& id : hosts_.Apply(change, Now())) CloseIdle(id);
  std::vector<std::string> named;
  for (const relay::Host& host : change.hosts) named.push_back(host.info.id);
  TellWaits(named);
}

void Node::TellWaits(const std::vector<std::string>& hosts) {
  for (const std::string& id : hosts) {
    const Time until = hosts_.BlockedUntil(id);
    if (until > Now()) relay_->DelayHost(id, until);
  }
}

void Node::Adopt(const model::SendList& list) {
  if (list.version >= version_) {
    version_ = list.version;
    relay_->RoutingChanged(ChangeOf(list, false));
  }
  ListHeard(list.call);
}

void Node::Beat(const model::SendHeartbeat& beat) { ListHeard(beat.call); }

void Node::Refuse(const model::RefuseList& refused) {
  if (refused.call <= list_calls_before_) return;
  const auto number = NumberOf(refused.call);
  const auto begun = list_calls_begun_.find(number);
  if (number == list_.subscription()) {
    TellLease(wheathub::ListLease::SubscriptionEnded{});
  } else if (begun != list_calls_begun_.end()) {
    TellLease(wheathub::ListLease::Refused(begun->second, Now()));
    list_calls_begun_.erase(begun);
  }
  StepList(wheathub::ListSubscription::Failed{number});
}

void Node::BreakList(std::uint64_t call) {
  if (call <= list_calls_before_) return;
  TellLease(wheathub::ListLease::SubscriptionBroken{});
  StepList(wheathub::ListSubscription::Failed{NumberOf(call)});
}

void Node::MoveDiscovery() {
  list_calls_begun_.clear();
  if (list_.subscription() != 0) {
    around_.Tell(model::WatchEnded{options_.number, CallOf(list_.subscription())});
  }
  TellLease(wheathub::ListLease::Moved{});
  StepList(wheathub::ListSubscription::Moved{});
}

void Node::ListHeard(std::uint64_t call) {
  if (call <= list_calls_before_) return;
  TellLease(wheathub::ListLease::Confirmed{});
  list_calls_begun_.clear();
  StepList(wheathub::ListSubscription::Received{NumberOf(call)});
}

void Node::TellLease(const wheathub::ListLease::Event& event) {
  // As routing::Discovery reckons it: what was missed counts from when it may have come.
  relay_->SetListValidUntil(lease_.Step(unread_since_ < 0us ? Now() : unread_since_, event));
}

wheathub::ListSubscription::CallNumber Node::NumberOf(std::uint64_t call) const {
  return static_cast<int>(call - list_calls_before_);
}

std::uint64_t Node::CallOf(wheathub::ListSubscription::CallNumber number) const {
  return list_calls_before_ + static_cast<std::uint64_t>(number);
}

void Node::StepList(const wheathub::ListSubscription::Event& event) {
  for (const auto& call : list_.Step(Now(), event)) {
    if (call.replaced_call) around_.Tell(model::WatchEnded{options_.number, CallOf(*call.replaced_call)});
    if (list_.subscription() != 0) TellLease(wheathub::ListLease::SubscriptionBroken{});
    list_calls_begun_[call.number] = Now();
    around_.Tell(model::ListRequested{options_.number, CallOf(call.number), version_});
  }
  const std::uint64_t alarm = ++list_alarm_;
  if (list_.alarm() == Time::max()) return;
  Later(std::max(Time(0), list_.alarm() - Now()), [this, alarm] {
    if (alarm == list_alarm_) StepList(wheathub::ListSubscription::Elapsed{});
  });
}

void Node::Post(const std::string& id, const journal::Ending& ending) {
  Later(Time(0), [this, id, ending] {
    around_.Tell(
        model::NoticeReceived{options_.number, id, ending.deferred, Time(ending.retry_after_ms * 1000)});
    relay_->NoticeAccepted(id);
  });
}

// ---- the end ----

void Node::Terminate() {
  if (terminated_ >= 0us) return;
  terminated_ = last_hand_ = around_.Now();
  Later(kPollInterval, [this] { LookAtEnd(); });
}

void Node::LookAtEnd() {
  const Time since = around_.Now() - terminated_;
  if (since >= kStopSendingAfter && !std::exchange(settled_, true)) relay_->StopSending();
  const bool nothing_owed = relay_->done() && around_.Now() - last_hand_ >= kKeepAccepting;
  if (nothing_owed || since >= kExitAfter || (settled_ && relay_->in_flight() == 0))
    return around_.Ended(options_.number);
  Later(kPollInterval, [this] { LookAtEnd(); });
}

}  // namespace oxbowspread::lab
