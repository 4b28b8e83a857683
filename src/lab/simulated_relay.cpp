#include "lab/simulated_relay.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <sstream>

#include "endpoint/endpoint_connection.hpp"
#include "relay/phase.hpp"

namespace oxbowspread::lab {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

// Offsets of the relay's clocks from the time of the run. They keep the clocks away from 0, which some time
// fields use for "not yet".
constexpr Time kMonotonicOffset = 1000s;
constexpr Time kUnixOffset = 1'700'000'000s;
// The same limits as in the relay program: endpoint connections and shutdown.
using endpoint::kKeepaliveShare;
using endpoint::kReuseDelay;
using endpoint::kSweepInterval;
using relay::kExitAfter;
using relay::kKeepAccepting;
using relay::kPollInterval;
using relay::kStopSendingAfter;

std::ostream& NullStream() {
  static std::ostream stream(nullptr);
  return stream;
}

}  // namespace

struct SimulatedRelay::Submission final : relay::Client {
  Submission(SimulatedRelay& owner, std::uint64_t submission_number)
      : relay(owner), number(submission_number) {}
  bool OnAccepted() override {
    relay.environment_.Notify(
        model::SubmissionAnswered{number, model::SubmissionAnswered::Result::kAccepted, Time(0)});
    Finish();
    return true;
  }
  void OnRejected(relay::Time retry_after) override {
    relay.environment_.Notify(
        model::SubmissionAnswered{number, model::SubmissionAnswered::Result::kRejected, retry_after});
    Finish();
  }
  // Erases itself later, since the relay core may still be in a call to this object.
  void Finish() {
    relay.RunAfter(Time(0), [&owner = relay, submission_number = number] {
      owner.submissions_.erase(submission_number);
    });
    answered = true;
  }
  SimulatedRelay& relay;
  std::uint64_t number;
  bool answered = false;
};

SimulatedRelay::SimulatedRelay(const Options& options, const wheathub::Settings& settings,
                               Environment& environment, const model::SendList& known)
    : options_(options),
      environment_(environment),
      list_({.pushed_by_agent = !settings.must_request_list,
             .senders = settings.senders,
             .failures_are_reported = false},
            ~options.seed),
      list_call_offset_(options.list_call_offset) {
  std::vector<bool> separate_routes;
  for (const auto& kind : settings.kinds) separate_routes.push_back(kind.separate_routes);
  hosts_.SetSeparateRoutes(std::move(separate_routes));
  std::filesystem::create_directories(options_.folder);
  journal_ = std::make_unique<journal::Journal>(options_.folder, options_.disk_bytes);
  relay_ = std::make_unique<relay::Relay>(settings, options_.seed, *journal_,
                                          relay::Relay::Ports{*this, *this, *this, &NullStream()}, counters_);
  version_ = known.version;
  relay_->Recover(ToRoutingChange(known, true));
  UpdateLease(wheathub::ListLease::Started{});
  StepList(wheathub::ListSubscription::Started{});
  RunAfter(kSweepInterval, [this] { Sweep(); });
}

SimulatedRelay::~SimulatedRelay() {
  *alive_ = false;
  for (const auto& [number, call] : calls_) {
    environment_.Notify(model::CallDropped{number});
    environment_.Disconnect(call.address);
  }
  for (const auto& [host, pool] : pools_) {
    for (std::size_t i = 0; i < pool.idle_since.size(); ++i) environment_.Disconnect(pool.address);
  }
  for (const auto& [number, submission] : submissions_) {
    if (!submission->answered)
      environment_.Notify(
          model::SubmissionAnswered{number, model::SubmissionAnswered::Result::kConnectionLost, Time(0)});
  }
}

Time SimulatedRelay::Now() const { return environment_.Now() + kMonotonicOffset; }
Time SimulatedRelay::UnixNow() const { return environment_.Now() + kUnixOffset; }

void SimulatedRelay::RunAfter(Time after, std::function<void()> callback) {
  environment_.Schedule(environment_.Now() + after, [this, alive = alive_, callback = std::move(callback)] {
    if (*alive) RunOrDefer(callback);
  });
}

void SimulatedRelay::RunOrDefer(std::function<void()> callback) {
  if (suspended_) return deferred_.push_back(std::move(callback));
  callback();
}

void SimulatedRelay::Suspend() {
  suspended_ = true;
  unread_since_ = Now();
}

void SimulatedRelay::Resume() {
  suspended_ = false;
  // Scheduled rather than run here, since one of them may end this process.
  for (const auto& callback : std::exchange(deferred_, {})) RunAfter(Time(0), callback);
  RunAfter(Time(0), [this] { unread_since_ = Time(-1); });
}

// How long a command may have waited in the socket before it was read. The `client` module of the relay
// program computes the same from net::Loop::earliest_arrival.
Time SimulatedRelay::TimeUnread() const {
  return unread_since_ < 0us ? Time(0) : std::min<Time>(Now() - unread_since_, relay::kClientTimeout);
}

void SimulatedRelay::WakeAt(Time moment) {
  const std::uint64_t wake = ++wake_generation_;
  RunAfter(std::max(Time(0), moment - Now()), [this, wake] {
    if (wake == wake_generation_) relay_->ProcessEvents();
  });
}

// ---- clients ----

void SimulatedRelay::Submit(const model::SubmitMessage& request, const std::string& body) {
  last_submission_at_ = environment_.Now();
  journal::Message message;
  message.id = request.id;
  message.key = request.key;
  message.class_name = "outbound";
  message.destination = request.destination;
  message.deadline = UnixNow() + request.time_left - TimeUnread();
  message.resubmitted = request.refused_before || request.lost_before;
  message.body = body;
  const auto [it, inserted] =
      submissions_.emplace(request.submission, std::make_unique<Submission>(*this, request.submission));
  relay_->Submit(std::move(message), *it->second);
}

void SimulatedRelay::Withdraw(std::uint64_t number) {
  const auto it = submissions_.find(number);
  if (it == submissions_.end() || it->second->answered) return;
  relay_->Withdraw(*it->second);
  submissions_.erase(it);
}

// ---- connections to endpoints ----

void SimulatedRelay::FailAttempt(const relay::AttemptId& attempt, Outcome outcome) {
  RunAfter(Time(0), [this, attempt, outcome] { relay_->AttemptEnded(attempt, {outcome, false, Time(0)}); });
}

// Takes an idle connection to the host out of its pool; false if none can be reused.
bool SimulatedRelay::TakeIdleConnection(const std::string& host, const std::string& address, Time now) {
  const auto it = pools_.find(host);
  if (it == pools_.end() || it->second.address != address) return false;
  auto& idle = it->second.idle_since;
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

void SimulatedRelay::ReturnConnection(const std::string& host, const std::string& address) {
  const endpoint::Host* const listed_host = hosts_.Find(host);
  if (listed_host == nullptr || !listed_host->ready || !listed_host->owns_address ||
      listed_host->address != address)
    return CloseConnection(address);
  Pool& pool = pools_[host];
  pool.address = address;
  pool.idle_since.push_back(Now());
}

void SimulatedRelay::CloseConnection(const std::string& address) {
  environment_.Disconnect(address);
  connections_ -= 1;
}

bool SimulatedRelay::EvictIdleConnection() {
  Pool* longest_idle = nullptr;
  for (auto& [host, pool] : pools_) {
    if (pool.idle_since.empty()) continue;
    if (longest_idle == nullptr || pool.idle_since.front() < longest_idle->idle_since.front())
      longest_idle = &pool;
  }
  if (longest_idle == nullptr) return false;
  longest_idle->idle_since.erase(longest_idle->idle_since.begin());
  counters_.connections_evicted += 1;
  CloseConnection(longest_idle->address);
  return true;
}

void SimulatedRelay::CloseIdle(const std::string& host) {
  const auto it = pools_.find(host);
  if (it == pools_.end()) return;
  for (std::size_t i = 0; i < it->second.idle_since.size(); ++i) CloseConnection(it->second.address);
  pools_.erase(it);
}

void SimulatedRelay::Sweep() {
  RunAfter(kSweepInterval, [this] { Sweep(); });
  const Time now = Now();
  const auto max_idle_time =
      Time(static_cast<Time::rep>(kKeepaliveShare * static_cast<double>(options_.keepalive.count())));
  for (auto it = pools_.begin(); it != pools_.end();) {
    auto& idle = it->second.idle_since;
    while (!idle.empty() && now - idle.front() > max_idle_time) {
      idle.erase(idle.begin());
      counters_.idle_connections_closed += 1;
      CloseConnection(it->second.address);
    }
    it = idle.empty() ? pools_.erase(it) : std::next(it);
  }
  for (const std::string& id : hosts_.ExpiredHosts(now)) {
    if (pools_.count(id) == 0) hosts_.Forget(id);
  }
}

// ---- calls ----

void SimulatedRelay::StartAttempt(relay::AttemptRequest request) {
  const endpoint::Host* const host = hosts_.Find(request.host);
  if (host == nullptr || !host->owns_address) return FailAttempt(request.attempt, Outcome::kNoConnection);
  const Time now = Now();
  const std::string address = host->address;
  const bool new_connection = !TakeIdleConnection(request.host, address, now);
  if (new_connection) {
    if (connections_ >= options_.max_connections && !EvictIdleConnection())
      return FailAttempt(request.attempt, Outcome::kNotSent);
    if (!environment_.Connect(address)) {
      counters_.connection_failures += 1;
      return FailAttempt(request.attempt, Outcome::kNoConnection);
    }
    connections_ += 1;
    counters_.connections_opened += 1;
  }
  if (!hosts_.MayWrite(request.host, request.write_deadline, now) ||
      !relay_->RecordAttemptStart(request.attempt, request.host, host->zone)) {
    counters_.attempts_withheld += 1;
    ReturnConnection(request.host, address);
    return FailAttempt(request.attempt, Outcome::kNotSent);
  }
  const std::uint64_t call = environment_.NextCallNumber(options_.relay_index);
  calls_[call] = {request.attempt, request.host, address};
  by_attempt_[request.attempt] = call;
  environment_.Notify(model::CallReceived{call, options_.relay_index, address, request.attempt.id,
                                          request.key, new_connection});
  RunAfter(std::max(Time(0), request.timeout_at - now), [this, call] { TimeOutCall(call); });
}

void SimulatedRelay::TimeOutCall(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const relay::AttemptId attempt = it->second.attempt;
  CancelAttempt(attempt);
  relay_->AttemptEnded(attempt, {Outcome::kTimedOut, false, Time(0)});
}

bool SimulatedRelay::CancelAttempt(const relay::AttemptId& attempt) {
  const auto it = by_attempt_.find(attempt);
  if (it == by_attempt_.end()) return true;
  const std::uint64_t number = it->second;
  CloseConnection(calls_.at(number).address);
  calls_.erase(number);
  by_attempt_.erase(it);
  environment_.Notify(model::CallDropped{number});
  return true;
}

void SimulatedRelay::AnswerCall(const model::AnswerCall& answer) {
  const auto it = calls_.find(answer.call);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  by_attempt_.erase(call.attempt);
  // The relay program interprets responses with the same function.
  proto::HttpResponseHead head;
  head.status = answer.status;
  if (answer.retry_after > 0us) {
    char text[40];
    std::snprintf(text, sizeof text, "%.6f", static_cast<double>(answer.retry_after.count()) / 1e6);
    head.headers["retry-after"] = text;
  }
  const relay::AttemptResult result = endpoint::InterpretResponse(head);
  if (result.retry_after > 0us) {
    ApplyHostWaits(
        hosts_.RecordRetryAfter(call.host, *net::ParseAddress(call.address), result.retry_after, Now()));
  }
  ReturnConnection(call.host, call.address);
  relay_->AttemptEnded(call.attempt, result);
}

void SimulatedRelay::OnCallConnectionClosed(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  by_attempt_.erase(call.attempt);
  CloseConnection(call.address);
  relay_->AttemptEnded(call.attempt, {Outcome::kReset, false, Time(0)});
}

// ---- discovery and notices ----

relay::RoutingChange SimulatedRelay::ToRoutingChange(const model::SendList& list, bool remembered) const {
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

void SimulatedRelay::ApplyRoutingChange(const relay::RoutingChange& change) {
  for (const std::string& id : hosts_.Apply(change, Now())) CloseIdle(id);
  std::vector<std::string> host_ids;
  for (const relay::Host& host : change.hosts) host_ids.push_back(host.info.id);
  ApplyHostWaits(host_ids);
}

void SimulatedRelay::ApplyHostWaits(const std::vector<std::string>& hosts) {
  for (const std::string& id : hosts) {
    const Time until = hosts_.BlockedUntil(id);
    if (until > Now()) relay_->DelayHost(id, until);
  }
}

void SimulatedRelay::ApplyList(const model::SendList& list) {
  if (list.version >= version_) {
    version_ = list.version;
    relay_->RoutingChanged(ToRoutingChange(list, false));
  }
  OnListReceived(list.call);
}

void SimulatedRelay::OnHeartbeat(const model::SendHeartbeat& heartbeat) { OnListReceived(heartbeat.call); }

void SimulatedRelay::RefuseListCall(const model::RefuseList& refusal) {
  if (refusal.call <= list_call_offset_) return;
  const auto number = ToSubscriptionCall(refusal.call);
  const auto open_call = open_list_calls_.find(number);
  if (number == list_.subscription()) {
    UpdateLease(wheathub::ListLease::SubscriptionEnded{});
  } else if (open_call != open_list_calls_.end()) {
    UpdateLease(wheathub::ListLease::Refused(open_call->second, Now()));
    open_list_calls_.erase(open_call);
  }
  StepList(wheathub::ListSubscription::Failed{number});
}

void SimulatedRelay::OnListTruncated(std::uint64_t call) {
  if (call <= list_call_offset_) return;
  UpdateLease(wheathub::ListLease::SubscriptionBroken{});
  StepList(wheathub::ListSubscription::Failed{ToSubscriptionCall(call)});
}

void SimulatedRelay::MoveDiscovery() {
  open_list_calls_.clear();
  if (list_.subscription() != 0) {
    environment_.Notify(model::ListCallEnded{options_.relay_index, ToEnvironmentCall(list_.subscription())});
  }
  UpdateLease(wheathub::ListLease::Moved{});
  StepList(wheathub::ListSubscription::Moved{});
}

void SimulatedRelay::OnListReceived(std::uint64_t call) {
  if (call <= list_call_offset_) return;
  UpdateLease(wheathub::ListLease::Confirmed{});
  open_list_calls_.clear();
  StepList(wheathub::ListSubscription::Received{ToSubscriptionCall(call)});
}

void SimulatedRelay::UpdateLease(const wheathub::ListLease::Event& event) {
  // As in routing::DiscoveryClient, deferred input counts from the earliest time at which it may have
  // arrived.
  relay_->SetListValidUntil(lease_.Step(unread_since_ < 0us ? Now() : unread_since_, event));
}

wheathub::ListSubscription::CallNumber SimulatedRelay::ToSubscriptionCall(std::uint64_t call) const {
  return static_cast<int>(call - list_call_offset_);
}

std::uint64_t SimulatedRelay::ToEnvironmentCall(wheathub::ListSubscription::CallNumber number) const {
  return list_call_offset_ + static_cast<std::uint64_t>(number);
}

void SimulatedRelay::StepList(const wheathub::ListSubscription::Event& event) {
  for (const auto& call : list_.Step(Now(), event)) {
    if (call.replaced_call)
      environment_.Notify(model::ListCallEnded{options_.relay_index, ToEnvironmentCall(*call.replaced_call)});
    if (list_.subscription() != 0) UpdateLease(wheathub::ListLease::SubscriptionBroken{});
    open_list_calls_[call.number] = Now();
    environment_.Notify(model::ListRequested{options_.relay_index, ToEnvironmentCall(call.number), version_});
  }
  const std::uint64_t alarm = ++list_alarm_generation_;
  if (list_.alarm() == Time::max()) return;
  RunAfter(std::max(Time(0), list_.alarm() - Now()), [this, alarm] {
    if (alarm == list_alarm_generation_) StepList(wheathub::ListSubscription::Elapsed{});
  });
}

void SimulatedRelay::Post(const std::string& id, const journal::Ending& ending) {
  RunAfter(Time(0), [this, id, ending] {
    environment_.Notify(
        model::NoticeReceived{options_.relay_index, id, ending.deferred, Time(ending.retry_after_ms * 1000)});
    relay_->NoticeAccepted(id);
  });
}

// ---- shutdown ----

void SimulatedRelay::Terminate() {
  if (terminated_at_ >= 0us) return;
  terminated_at_ = last_submission_at_ = environment_.Now();
  RunAfter(kPollInterval, [this] { CheckShutdown(); });
}

void SimulatedRelay::CheckShutdown() {
  const Time since = environment_.Now() - terminated_at_;
  if (since >= kStopSendingAfter && !std::exchange(sending_stopped_, true)) relay_->StopSending();
  const bool no_work_left = relay_->done() && environment_.Now() - last_submission_at_ >= kKeepAccepting;
  if (no_work_left || since >= kExitAfter || (sending_stopped_ && relay_->in_flight_count() == 0))
    return environment_.OnExit(options_.relay_index);
  RunAfter(kPollInterval, [this] { CheckShutdown(); });
}

}  // namespace oxbowspread::lab
