#include "routing/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oxbowspread::routing {
namespace {

using namespace std::chrono_literals;

// A watch says something every 2 s; a machine that vanished says nothing, and TCP doesn't notice. What it has
// to tell counts as told after 6 s: what was heard last is up to 2 s older than the silence, the rest is for
// a new watch.
constexpr net::Time kSilence = 2800ms;
constexpr net::Time kAnswerWithin = 3200ms;  // of a call: discovery itself gives one up after less
// A discovery that lags tells what was: hosts that drain would come back by it. One that stays behind for so
// long has begun to count anew.
constexpr net::Time kBehindMost = 10s;
constexpr std::size_t kLongestText = 4u << 20;

}  // namespace

Discovery::Discovery(net::Loop& loop, const net::Address& address, std::string host, Names names,
                     relay::Counters& counters)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      names_(std::move(names)),
      counters_(counters),
      failed_(loop, [this] { relay_->RoutingFailed(); }),
      behind_(loop, [this] {
        revision_ = 0;
        if (asked_) Begin();
      }) {}

void Discovery::Watch() {
  asked_ = true;
  if (std::exchange(ahead_, false) && watch_ != nullptr) return;
  Begin();
}

void Discovery::WatchAhead() {
  ahead_ = true;
  Begin();
}

void Discovery::Stop() {
  failed_.Stop();
  behind_.Stop();
  for (auto* call : {&watch_, &fetch_}) {
    if (*call != nullptr) (*call)->Close();
    loop_.Dispose(std::move(*call));
  }
}

void Discovery::Begin() {
  counters_.watches += 1;
  Start(watch_, true, "/discovery/hosts?watch=1&from=" + std::to_string(revision_));
}

// A watch at the old address would end only 1.5 s later, and the module asks again up to 1.3 s after that:
// too late for what the new address has to tell 4 s after the reload.
void Discovery::MoveTo(const net::Address& address, std::string host) {
  address_ = address;
  host_ = std::move(host);
  if (fetch_ != nullptr) Fetch();
  if (!asked_) return;
  ahead_ = watch_ == nullptr;
  Begin();
}

void Discovery::FoundBehind() {
  counters_.lists_behind += 1;
  if (!behind_.active()) behind_.After(kBehindMost);
}

void Discovery::Fetch() { Start(fetch_, false, "/discovery/hosts"); }

void Discovery::Start(std::unique_ptr<Call>& call, bool watch, const std::string& path) {
  if (call != nullptr) call->Close();
  loop_.Dispose(std::move(call));
  call = std::make_unique<Call>(*this, watch);
  if (call->Open("GET " + path + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n")) return;
  loop_.Dispose(std::move(call));
  failed_.After(net::Time(0));
}

void Discovery::Ended(Call& call, bool failed) {
  std::unique_ptr<Call>& which = &call == watch_.get() ? watch_ : fetch_;
  if (&call != which.get()) return;
  call.Close();
  loop_.Dispose(std::move(which));
  if (failed) relay_->RoutingFailed();
}

// ---- one call ----

Discovery::Call::Call(Discovery& discovery, bool watch)
    : discovery_(discovery),
      watch_(watch),
      reader_(*this),
      silence_(discovery.loop_, [this] { FallSilent(); }) {}

bool Discovery::Call::Open(const std::string& request) {
  request_ = request;
  connection_ = net::Connection::Open(discovery_.loop_, discovery_.address_, *this);
  silence_.After(kAnswerWithin);
  return connection_ != nullptr;
}

void Discovery::Call::Close() {
  over_ = true;
  silence_.Stop();
  if (connection_ != nullptr) connection_->Close();
}

// A change that has come is told before anything that goes by the list is done.
void Discovery::Call::OnConnected() {
  connection_->First();
  connection_->Send(request_);
}

void Discovery::Call::OnBytes(proto::RingBuffer& in) {
  silence_.After(stands_ ? kSilence : kAnswerWithin);
  while (!in.empty() && !over_) {
    in.Consume(reader_.Feed(in.Front()));
    if (reader_.state() == proto::HttpReader::State::kBad) return Fail();
    if (reader_.state() == proto::HttpReader::State::kWhole) return;
  }
}

void Discovery::Call::OnHead(const proto::HttpHead& head) {
  if (head.status != 200) return Fail();
  stands_ = true;
}

void Discovery::Call::OnBody(std::string_view bytes) {
  if (over_) return;
  if (!watch_) text_ += bytes;
  const std::vector<std::string> objects = watch_ ? objects_.Feed(bytes) : std::vector<std::string>();
  if (std::max(text_.size(), objects_.held()) > kLongestText) return Fail();
  for (const std::string& object : objects) {
    if (over_) return;
    if (!TakeList(object)) return Fail();
  }
}

void Discovery::Call::OnWhole(bool) {
  if (over_) return;
  // A watch lasts until its connection ends: one that is whole has ended.
  if (watch_ || !TakeList(text_)) return Fail();
  discovery_.Ended(*this, false);
}

bool Discovery::Call::TakeList(std::string_view text) {
  const auto change = ReadList(text, discovery_.names_);
  if (!change) return false;
  if (change->revision > 0 && change->revision < discovery_.revision_) {
    discovery_.FoundBehind();
    return true;
  }
  discovery_.behind_.Stop();
  discovery_.revision_ = change->revision;
  discovery_.relay_->RoutingChanged(*change);
  return true;
}

// Where all watches fall silent at one moment, as many relays as there are find it at different ones: each
// counts from what it heard last. So none needs to hold back, and what is missed is known in time.
void Discovery::Call::FallSilent() {
  if (!watch_ || !stands_) return Fail();
  over_ = true;
  discovery_.Begin();
}

void Discovery::Call::Fail() {
  if (!std::exchange(over_, true)) discovery_.Ended(*this, true);
}

}  // namespace oxbowspread::routing
