#include "routing/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <utility>

namespace oxbowspread::routing {
namespace {

using namespace std::chrono_literals;

// A discovery that lags tells what was: hosts that drain would come back by it. One that stays behind for so
// long has begun to count anew. What it says drains or is gone binds meanwhile: see
// Relay::StaleRoutingReceived.
constexpr net::Time kBehindMost = 10s;
constexpr std::size_t kLongestText = 4u << 20;
// A discovery that has moved closes its connections 1.5 s later; what it has written by then counts as known.
constexpr net::Time kLeavesWithin = 2s;
// A connection that hasn't come up after so long goes nowhere: loopback and data centres take far less.
constexpr net::Time kConnectsWithin = 1s;

}  // namespace

Discovery::Discovery(net::Loop& loop, Place place, Names names, relay::Counters& counters)
    : loop_(loop),
      place_(std::move(place)),
      names_(std::move(names)),
      counters_(counters),
      alarm_(loop, [this] { Tell(Subscription::Elapsed{}); }),
      lease_over_(loop, [this] { LeaseOver(); }),
      leaving_over_(loop, [this] { CloseLeaving(); }),
      behind_(loop, [this] {
        revision_ = 0;
        Tell(Subscription::ResyncRequired{});
      }) {}

void Discovery::Start(const Subscription::Options& options, std::uint64_t seed,
                      const std::optional<wheathub::ListLease::Inherited>& inherited) {
  subscription_ = std::make_unique<Subscription>(options, seed);
  if (inherited) {
    TellLease(*inherited);
  } else {
    TellLease(wheathub::ListLease::Started{});
  }
  Tell(Subscription::Started{inherited.has_value()});
}

void Discovery::SetOptions(const Subscription::Options& options) {
  if (subscription_ != nullptr) subscription_->SetOptions(options);
}

void Discovery::MoveTo(Place place) {
  place_ = std::move(place);
  LeaveOldPlace();
  TellLease(wheathub::ListLease::Moved{}, std::max(loop_.earliest_arrival(), started_));
  Tell(Subscription::Moved{});
}

// An answer may be on its way: a drain in it counts from when it was written. So calls stay open until the
// old place closes them, and what they tell is kept to as far as it drains.
void Discovery::LeaveOldPlace() {
  for (std::unique_ptr<Call>& call : std::exchange(calls_, {})) {
    LogEnd(*call, CallEnd::kMoved);
    call->Leave();
    leaving_.push_back(std::move(call));
  }
  if (!leaving_.empty()) leaving_over_.After(kLeavesWithin);
}

void Discovery::CloseLeaving() {
  for (std::unique_ptr<Call>& call : std::exchange(leaving_, {})) {
    call->ReadAndClose();
    loop_.DestroyLater(std::move(call));
  }
}

void Discovery::Left(const Call& call) {
  const auto it =
      std::find_if(leaving_.begin(), leaving_.end(), [&](const auto& each) { return each.get() == &call; });
  if (it == leaving_.end()) return;
  std::unique_ptr<Call> left = std::move(*it);
  leaving_.erase(it);
  left->Close();
  loop_.DestroyLater(std::move(left));
}

void Discovery::Stop() {
  subscription_.reset();
  alarm_.Stop();
  lease_over_.Stop();
  behind_.Stop();
  leaving_over_.Stop();
  CloseLeaving();
  CloseAll(CallEnd::kNotNeeded);
}

void Discovery::Tell(const Subscription::Event& event) {
  if (subscription_ == nullptr) return;
  for (const Subscription::Call& call : subscription_->Step(net::Loop::Now(), event)) Open(call);
  const net::Time next = subscription_->alarm();
  if (next == net::Time::max()) return alarm_.Stop();
  alarm_.At(next);
}

// What a call brings may have lain unread while this process stood still: it tells of no later moment than
// that in which it came, or a heartbeat would vouch for all that discovery has changed since.
net::Time Discovery::HeardOn(const Call& call) const {
  return std::max(loop_.earliest_arrival(), call.started());
}

void Discovery::TellLease(const wheathub::ListLease::Event& event, net::Time at) {
  if (subscription_ == nullptr) return;
  const net::Time now = net::Loop::Now();
  const net::Time before = lease_.valid_until();
  const net::Time until = lease_.Step(at, event);
  if (before <= now && until > now) {
    std::cout << "list: valid again after " << (now - before) / 1ms << " ms" << std::endl;
  }
  lease_over_.At(until);
  relay_->SetListValidUntil(until);
}

void Discovery::TellLeaseOfEnd(const Call& call, CallEnd end) {
  using Lease = wheathub::ListLease;
  if (end == CallEnd::kNotConnected) return TellLease(Lease::Unreachable{}, HeardOn(call));
  if (call.subscribed()) {
    const bool ended = end == CallEnd::kEnded && !call.in_message();
    return TellLease(ended ? Lease::Event(Lease::SubscriptionEnded{}) : Lease::SubscriptionBroken{});
  }
  const Lease::Event refused = Lease::Refused(call.started(), HeardOn(call));
  const bool late = std::holds_alternative<Lease::RefusedLate>(refused);
  // A connection that is closed at once may have broken by itself.
  if (end == CallEnd::kRefused || (end == CallEnd::kClosed && late)) TellLease(refused);
}

void Discovery::LeaseOver() {
  counters_.list_leases_expired += 1;
  std::cout << "list: not confirmed for too long, no call begins" << std::endl;
}

const Discovery::Call* Discovery::ConnectsInVain() const {
  const auto it = std::find_if(calls_.begin(), calls_.end(), [](const std::unique_ptr<Call>& call) {
    return !call->connected() && call->age() >= kConnectsWithin;
  });
  return it == calls_.end() ? nullptr : it->get();
}

void Discovery::Open(const Subscription::Call& call) {
  // Another call while one stands: it is silent.
  if (subscription_->subscription() != 0) TellLease(wheathub::ListLease::SubscriptionBroken{});
  if (const Call* const vain = ConnectsInVain()) {
    TellLease(wheathub::ListLease::Unreachable{}, HeardOn(*vain));
  }
  if (call.replaced_call) {
    counters_.list_failures += 1;
    Drop(*call.replaced_call, CallEnd::kGivenUp);
  }
  counters_.list_subscriptions += 1;
  std::cout << "list: call " << call.number << " to " << place_.host << " from version " << revision_
            << std::endl;
  calls_.push_back(std::make_unique<Call>(*this, call.number));
  // Without a socket the call has failed.
  if (!calls_.back()->Open(place_, revision_)) Failed(call.number, CallEnd::kNoSocket);
}

const char* Discovery::NameOf(CallEnd end) {
  constexpr const char* kNames[] = {
      "no socket",          "not connected", "refused",    "closed before a list", "unreadable",
      "subscription ended", "given up",      "not needed", "discovery has moved"};
  return kNames[static_cast<int>(end)];
}

void Discovery::LogEnd(const Call& call, CallEnd end) {
  std::cout << "list: call " << call.number() << " over after " << call.age() / 1ms << " ms: " << NameOf(end)
            << std::endl;
}

Discovery::Call* Discovery::Find(Number number) const {
  const auto it = std::find_if(calls_.begin(), calls_.end(),
                               [number](const auto& call) { return call->number() == number; });
  return it == calls_.end() ? nullptr : it->get();
}

void Discovery::Drop(Number number, CallEnd end) {
  const auto it = std::find_if(calls_.begin(), calls_.end(),
                               [number](const auto& call) { return call->number() == number; });
  if (it == calls_.end()) return;
  std::unique_ptr<Call> call = std::move(*it);
  calls_.erase(it);
  LogEnd(*call, end);
  call->ReadAndClose();
  loop_.DestroyLater(std::move(call));
}

void Discovery::CloseAll(CallEnd end) {
  for (std::unique_ptr<Call>& call : std::exchange(calls_, {})) {
    LogEnd(*call, end);
    call->ReadAndClose();
    loop_.DestroyLater(std::move(call));
  }
}

// It is the subscription. What another call has brought unread is told before that is closed.
void Discovery::Heard(Number number) {
  heard_at_ = net::Loop::Now();
  if (subscription_ == nullptr) return;
  const Call* const heard = Find(number);
  TellLease(wheathub::ListLease::Confirmed{}, heard == nullptr ? net::Loop::Now() : HeardOn(*heard));
  const Number before = subscription_->subscription();
  Tell(Subscription::Received{number});
  if (before == number || subscription_->subscription() != number) return;
  auto others = std::partition(calls_.begin(), calls_.end(),
                               [number](const auto& call) { return call->number() == number; });
  std::vector<std::unique_ptr<Call>> closing(std::make_move_iterator(others),
                                             std::make_move_iterator(calls_.end()));
  calls_.erase(others, calls_.end());
  for (std::unique_ptr<Call>& call : closing) {
    LogEnd(*call, CallEnd::kNotNeeded);
    call->ReadAndClose();
    loop_.DestroyLater(std::move(call));
  }
}

void Discovery::Failed(Number number, CallEnd end) {
  counters_.list_failures += 1;
  if (const Call* call = Find(number)) TellLeaseOfEnd(*call, end);
  Drop(number, end);
  Tell(Subscription::Failed{number});
}

bool Discovery::TakeList(std::string_view text) {
  const auto list = ReadList(text, names_);
  if (!list) return false;
  NoteUnreadable(list->unreadable);
  const relay::RoutingChange& change = list->change;
  std::cout << "list: version " << change.revision << " told, " << revision_ << " known, "
            << change.hosts.size() << " entries" << std::endl;
  if (change.revision > 0 && change.revision < revision_) {
    counters_.stale_lists += 1;
    if (!behind_.active()) behind_.After(kBehindMost);
    relay_->StaleRoutingReceived(change);
    return true;
  }
  behind_.Stop();
  revision_ = change.revision;
  relay_->RoutingChanged(change);
  return true;
}

// What drains by it does so until the new place has told its list, or for kBehindMost.
bool Discovery::TakeDrains(std::string_view text) {
  const auto list = ReadList(text, names_);
  if (!list) return false;
  if (!behind_.active()) behind_.After(kBehindMost);
  relay_->StaleRoutingReceived(list->change);
  return true;
}

// Once for the same ones, however often they are listed.
void Discovery::NoteUnreadable(const std::vector<std::string>& entries) {
  counters_.list_entries_unreadable += entries.size();
  if (entries.empty() || entries.front() == last_unreadable_) return;
  last_unreadable_ = entries.front();
  std::cerr << "discovery: " << entries.size() << " entries of the list can't be read, the first one is "
            << last_unreadable_ << std::endl;
}

// ---- one call ----

Discovery::Call::Call(Discovery& discovery, Number number)
    : discovery_(discovery), number_(number), reader_(*this) {}

bool Discovery::Call::Open(const Place& place, std::int64_t from_revision) {
  request_ = "GET /discovery/hosts?watch=1&from=" + std::to_string(from_revision) +
             " HTTP/1.1\r\nHost: " + place.host + "\r\n\r\n";
  connection_ = net::Connection::Open(discovery_.loop_, place.address, *this);
  return connection_ != nullptr;
}

void Discovery::Call::Close() {
  over_ = true;
  if (connection_ != nullptr) connection_->Close();
}

void Discovery::Call::ReadAndClose() {
  if (connection_ != nullptr && !over_) connection_->ReadNow();
  Close();
}

// A change that has come is told before anything that goes by the list is done.
void Discovery::Call::OnConnected() {
  connected_ = true;
  connection_->Prioritize();
  connection_->Send(request_);
}

void Discovery::Call::OnBytes(proto::RingBuffer& in) {
  while (!in.empty() && !over_) {
    in.Consume(reader_.Feed(in.Front()));
    if (reader_.state() == proto::HttpResponseParser::State::kInvalid) return Fail(CallEnd::kUnreadable);
    if (reader_.state() == proto::HttpResponseParser::State::kComplete) return;
  }
}

void Discovery::Call::OnHead(const proto::HttpResponseHead& head) {
  if (head.status != 200) Fail(CallEnd::kRefused);
}

// Only what is whole is a sign of life: a list, a change, or an empty line behind the first list.
void Discovery::Call::OnBody(std::string_view bytes) {
  if (over_) return;
  const ListStream::Units units = stream_.Feed(bytes);
  if (stream_.held() > kLongestText) return Fail(CallEnd::kUnreadable);
  for (const std::string& object : units.objects) {
    if (over_) return;
    const bool taken = leaving_ ? discovery_.TakeDrains(object) : discovery_.TakeList(object);
    if (!taken) return Fail(CallEnd::kUnreadable);
  }
  if (leaving_) return;
  listed_ = listed_ || !units.objects.empty();
  const bool something_whole = !units.objects.empty() || units.empty_lines > 0;
  if (listed_ && something_whole && !over_) discovery_.Heard(number_);
}

// A watch lasts until its connection ends: one that is whole has ended.
void Discovery::Call::OnComplete(bool) { Fail(listed_ ? CallEnd::kEnded : CallEnd::kClosed); }

void Discovery::Call::OnClosed() {
  if (!connected_) return Fail(CallEnd::kNotConnected);
  Fail(listed_ ? CallEnd::kEnded : CallEnd::kClosed);
}

void Discovery::Call::Fail(CallEnd end) {
  if (std::exchange(over_, true)) return;
  if (leaving_) return discovery_.Left(*this);
  discovery_.Failed(number_, end);
}

}  // namespace oxbowspread::routing
