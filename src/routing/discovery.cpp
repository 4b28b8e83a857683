#include "routing/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <utility>

namespace oxbowspread::routing {
namespace {

using namespace std::chrono_literals;

// A list with an older version than the known list comes from a discovery that lags. Applying it would make
// draining hosts usable again, so only its drains and removals are applied: see relay::Relay. If only older
// versions arrive for this long, discovery has restarted its version count, and the full list is requested.
constexpr net::Time kMaxStaleTime = 10s;
constexpr std::size_t kMaxObjectBytes = 4u << 20;
// Discovery closes the connections to its previous address 1.5 s after the address has changed. Everything
// that it has written to them by then counts as known to the relay.
constexpr net::Time kDetachedCallTimeout = 2s;
// A connection that is not established within this time counts as failed. On loopback and within a data
// centre it takes far less time.
constexpr net::Time kConnectTimeout = 1s;

}  // namespace

DiscoveryClient::DiscoveryClient(net::Loop& loop, Server server, ZoneAndKindNames names,
                                 relay::Counters& counters)
    : loop_(loop),
      server_(std::move(server)),
      names_(std::move(names)),
      counters_(counters),
      subscription_timer_(loop, [this] { StepSubscription(Subscription::Elapsed{}); }),
      lease_timer_(loop, [this] { OnLeaseExpired(); }),
      detach_timer_(loop, [this] { CloseDetached(); }),
      stale_timer_(loop, [this] {
        revision_ = 0;
        StepSubscription(Subscription::ResyncRequired{});
      }) {}

void DiscoveryClient::Start(const Subscription::Options& options, std::uint64_t seed,
                            const std::optional<wheathub::ListLease::Inherited>& inherited) {
  subscription_ = std::make_unique<Subscription>(options, seed);
  if (inherited) {
    StepLease(*inherited);
  } else {
    StepLease(wheathub::ListLease::Started{});
  }
  StepSubscription(Subscription::Started{inherited.has_value()});
}

void DiscoveryClient::SetOptions(const Subscription::Options& options) {
  if (subscription_ != nullptr) subscription_->SetOptions(options);
}

void DiscoveryClient::SetServer(Server server) {
  server_ = std::move(server);
  DetachCalls();
  StepLease(wheathub::ListLease::Moved{}, std::max(loop_.earliest_arrival(), started_));
  StepSubscription(Subscription::Moved{});
}

// A list may still be in transit, and a drain in it is in effect from the time at which discovery wrote it.
// Calls to the previous address therefore stay open until discovery closes them, and the drains that arrive
// on them are applied.
void DiscoveryClient::DetachCalls() {
  for (std::unique_ptr<Call>& call : std::exchange(calls_, {})) {
    LogEnd(*call, CallEnd::kServerChanged);
    call->Detach();
    detached_calls_.push_back(std::move(call));
  }
  if (!detached_calls_.empty()) detach_timer_.After(kDetachedCallTimeout);
}

void DiscoveryClient::CloseDetached() {
  for (std::unique_ptr<Call>& call : std::exchange(detached_calls_, {})) {
    call->ReadAndClose();
    loop_.DestroyLater(std::move(call));
  }
}

void DiscoveryClient::OnDetachedClosed(const Call& call) {
  const auto it = std::find_if(detached_calls_.begin(), detached_calls_.end(),
                               [&](const auto& detached_call) { return detached_call.get() == &call; });
  if (it == detached_calls_.end()) return;
  std::unique_ptr<Call> closed_call = std::move(*it);
  detached_calls_.erase(it);
  closed_call->Close();
  loop_.DestroyLater(std::move(closed_call));
}

void DiscoveryClient::Stop() {
  subscription_.reset();
  subscription_timer_.Stop();
  lease_timer_.Stop();
  stale_timer_.Stop();
  detach_timer_.Stop();
  CloseDetached();
  CloseAll(CallEnd::kSuperseded);
}

void DiscoveryClient::StepSubscription(const Subscription::Event& event) {
  if (subscription_ == nullptr) return;
  for (const Subscription::Call& call : subscription_->Step(net::Loop::Now(), event)) OpenCall(call);
  const net::Time next_step_at = subscription_->alarm();
  if (next_step_at == net::Time::max()) return subscription_timer_.Stop();
  subscription_timer_.At(next_step_at);
}

// After a stall of the process the bytes may have been unread for a while. If they counted as received now, a
// heartbeat would confirm the list even for changes that discovery made after it sent the heartbeat.
net::Time DiscoveryClient::EarliestArrivalOn(const Call& call) const {
  return std::max(loop_.earliest_arrival(), call.started());
}

void DiscoveryClient::StepLease(const wheathub::ListLease::Event& event, net::Time event_time) {
  if (subscription_ == nullptr) return;
  const net::Time now = net::Loop::Now();
  const net::Time previous_valid_until = lease_.valid_until();
  const net::Time valid_until = lease_.Step(event_time, event);
  if (previous_valid_until <= now && valid_until > now) {
    std::cout << "list: valid again after " << (now - previous_valid_until) / 1ms << " ms" << std::endl;
  }
  lease_timer_.At(valid_until);
  relay_->SetListValidUntil(valid_until);
}

void DiscoveryClient::ReportCallEndToLease(const Call& call, CallEnd end) {
  using Lease = wheathub::ListLease;
  if (end == CallEnd::kNotConnected) return StepLease(Lease::Unreachable{}, EarliestArrivalOn(call));
  if (call.subscribed()) {
    const bool ended_by_server = end == CallEnd::kEnded && !call.in_message();
    return StepLease(ended_by_server ? Lease::Event(Lease::SubscriptionEnded{})
                                     : Lease::SubscriptionBroken{});
  }
  const Lease::Event refused = Lease::Refused(call.started(), EarliestArrivalOn(call));
  const bool refused_late = std::holds_alternative<Lease::RefusedLate>(refused);
  // A connection that is closed immediately may have failed on the network, so it does not count as a
  // refusal.
  if (end == CallEnd::kRefused || (end == CallEnd::kClosed && refused_late)) StepLease(refused);
}

void DiscoveryClient::OnLeaseExpired() {
  counters_.list_leases_expired += 1;
  std::cout << "list: not confirmed for too long, no new calls to hosts are made" << std::endl;
}

const DiscoveryClient::Call* DiscoveryClient::FindUnconnectedCall() const {
  const auto it = std::find_if(calls_.begin(), calls_.end(), [](const std::unique_ptr<Call>& call) {
    return !call->connected() && call->age() >= kConnectTimeout;
  });
  return it == calls_.end() ? nullptr : it->get();
}

void DiscoveryClient::OpenCall(const Subscription::Call& call) {
  // A new call is requested during a subscription only if the subscription is silent.
  if (subscription_->subscription() != 0) StepLease(wheathub::ListLease::SubscriptionBroken{});
  if (const Call* const unconnected = FindUnconnectedCall()) {
    StepLease(wheathub::ListLease::Unreachable{}, EarliestArrivalOn(*unconnected));
  }
  if (call.replaced_call) {
    counters_.list_failures += 1;
    CloseCall(*call.replaced_call, CallEnd::kGivenUp);
  }
  counters_.list_subscriptions += 1;
  std::cout << "list: call " << call.number << " to " << server_.host << " from version " << revision_
            << std::endl;
  calls_.push_back(std::make_unique<Call>(*this, call.number));
  // Without a socket the call has already failed.
  if (!calls_.back()->Open(server_, revision_)) OnCallFailed(call.number, CallEnd::kNoSocket);
}

const char* DiscoveryClient::NameOf(CallEnd end) {
  constexpr const char* kNames[] = {
      "no socket",          "not connected", "refused",    "closed before a list", "unreadable",
      "subscription ended", "given up",      "not needed", "discovery has moved"};
  return kNames[static_cast<int>(end)];
}

void DiscoveryClient::LogEnd(const Call& call, CallEnd end) {
  std::cout << "list: call " << call.number() << " ended after " << call.age() / 1ms << " ms: " << NameOf(end)
            << std::endl;
}

DiscoveryClient::Call* DiscoveryClient::FindCall(CallNumber number) const {
  const auto it = std::find_if(calls_.begin(), calls_.end(),
                               [number](const auto& call) { return call->number() == number; });
  return it == calls_.end() ? nullptr : it->get();
}

void DiscoveryClient::CloseCall(CallNumber number, CallEnd end) {
  const auto it = std::find_if(calls_.begin(), calls_.end(),
                               [number](const auto& call) { return call->number() == number; });
  if (it == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(*it);
  calls_.erase(it);
  LogEnd(*call, end);
  call->ReadAndClose();
  loop_.DestroyLater(std::move(call));
}

void DiscoveryClient::CloseAll(CallEnd end) {
  for (std::unique_ptr<Call>& call : std::exchange(calls_, {})) {
    LogEnd(*call, end);
    call->ReadAndClose();
    loop_.DestroyLater(std::move(call));
  }
}

// Makes this call the subscription. The other calls are closed after the bytes that have arrived on them are
// processed.
void DiscoveryClient::OnMessageReceived(CallNumber number) {
  last_received_at_ = net::Loop::Now();
  if (subscription_ == nullptr) return;
  const Call* const received_on = FindCall(number);
  StepLease(wheathub::ListLease::Confirmed{},
            received_on == nullptr ? net::Loop::Now() : EarliestArrivalOn(*received_on));
  const CallNumber previous_subscription = subscription_->subscription();
  StepSubscription(Subscription::Received{number});
  if (previous_subscription == number || subscription_->subscription() != number) return;
  auto others = std::partition(calls_.begin(), calls_.end(),
                               [number](const auto& call) { return call->number() == number; });
  std::vector<std::unique_ptr<Call>> closing(std::make_move_iterator(others),
                                             std::make_move_iterator(calls_.end()));
  calls_.erase(others, calls_.end());
  for (std::unique_ptr<Call>& call : closing) {
    LogEnd(*call, CallEnd::kSuperseded);
    call->ReadAndClose();
    loop_.DestroyLater(std::move(call));
  }
}

void DiscoveryClient::OnCallFailed(CallNumber number, CallEnd end) {
  counters_.list_failures += 1;
  if (const Call* call = FindCall(number)) ReportCallEndToLease(*call, end);
  CloseCall(number, end);
  StepSubscription(Subscription::Failed{number});
}

bool DiscoveryClient::ApplyList(std::string_view text) {
  const auto list = ParseHostList(text, names_);
  if (!list) return false;
  ReportInvalidEntries(list->invalid_entries);
  const relay::RoutingChange& change = list->change;
  std::cout << "list: version " << change.revision << " received, " << revision_ << " known, "
            << change.hosts.size() << " entries" << std::endl;
  if (change.revision > 0 && change.revision < revision_) {
    counters_.stale_lists += 1;
    if (!stale_timer_.active()) stale_timer_.After(kMaxStaleTime);
    relay_->StaleRoutingReceived(change);
    return true;
  }
  stale_timer_.Stop();
  revision_ = change.revision;
  relay_->RoutingChanged(change);
  return true;
}

// The drains of this list apply until a list from the new address arrives, or for kMaxStaleTime.
bool DiscoveryClient::ApplyStaleList(std::string_view text) {
  const auto list = ParseHostList(text, names_);
  if (!list) return false;
  if (!stale_timer_.active()) stale_timer_.After(kMaxStaleTime);
  relay_->StaleRoutingReceived(list->change);
  return true;
}

// Logs the same entries only once, no matter how often they are received.
void DiscoveryClient::ReportInvalidEntries(const std::vector<std::string>& entries) {
  counters_.list_entries_unreadable += entries.size();
  if (entries.empty() || entries.front() == last_reported_invalid_) return;
  last_reported_invalid_ = entries.front();
  std::cerr << "discovery: " << entries.size() << " entries of the list can't be read, the first one is "
            << last_reported_invalid_ << std::endl;
}

// ---- one call ----

DiscoveryClient::Call::Call(DiscoveryClient& discovery, CallNumber number)
    : discovery_(discovery), number_(number), parser_(*this) {}

bool DiscoveryClient::Call::Open(const Server& server, std::int64_t from_revision) {
  request_ = "GET /discovery/hosts?watch=1&from=" + std::to_string(from_revision) +
             " HTTP/1.1\r\nHost: " + server.host + "\r\n\r\n";
  connection_ = net::Connection::Open(discovery_.loop_, server.address, *this);
  return connection_ != nullptr;
}

void DiscoveryClient::Call::Close() {
  finished_ = true;
  if (connection_ != nullptr) connection_->Close();
}

void DiscoveryClient::Call::ReadAndClose() {
  if (connection_ != nullptr && !finished_) connection_->ReadNow();
  Close();
}

// The connection is prioritized, so that a received change is applied before the loop handles anything that
// depends on the list.
void DiscoveryClient::Call::OnConnected() {
  connected_ = true;
  connection_->Prioritize();
  connection_->Send(request_);
}

void DiscoveryClient::Call::OnBytes(proto::RingBuffer& received) {
  while (!received.empty() && !finished_) {
    received.Consume(parser_.Feed(received.Front()));
    if (parser_.state() == proto::HttpResponseParser::State::kInvalid) return Finish(CallEnd::kUnreadable);
    if (parser_.state() == proto::HttpResponseParser::State::kComplete) return;
  }
}

void DiscoveryClient::Call::OnHead(const proto::HttpResponseHead& head) {
  if (head.status != 200) Finish(CallEnd::kRefused);
}

// Only a complete message shows that discovery is alive: a list, a change, or an empty line after the first
// list.
void DiscoveryClient::Call::OnBody(std::string_view bytes) {
  if (finished_) return;
  const JsonStreamSplitter::Batch batch = stream_.Feed(bytes);
  if (stream_.pending_bytes() > kMaxObjectBytes) return Finish(CallEnd::kUnreadable);
  for (const std::string& object : batch.objects) {
    if (finished_) return;
    const bool applied = detached_ ? discovery_.ApplyStaleList(object) : discovery_.ApplyList(object);
    if (!applied) return Finish(CallEnd::kUnreadable);
  }
  if (detached_) return;
  received_list_ = received_list_ || !batch.objects.empty();
  const bool has_complete_message = !batch.objects.empty() || batch.empty_lines > 0;
  if (received_list_ && has_complete_message && !finished_) discovery_.OnMessageReceived(number_);
}

// A subscription lasts as long as its response, so a complete response means that the subscription has ended.
void DiscoveryClient::Call::OnComplete(bool) { Finish(received_list_ ? CallEnd::kEnded : CallEnd::kClosed); }

void DiscoveryClient::Call::OnClosed() {
  if (!connected_) return Finish(CallEnd::kNotConnected);
  Finish(received_list_ ? CallEnd::kEnded : CallEnd::kClosed);
}

void DiscoveryClient::Call::Finish(CallEnd end) {
  if (std::exchange(finished_, true)) return;
  if (detached_) return discovery_.OnDetachedClosed(*this);
  discovery_.OnCallFailed(number_, end);
}

}  // namespace oxbowspread::routing
