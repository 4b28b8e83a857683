#include "handover/new_process.hpp"

#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace oxbowspread::handover {
namespace {

using namespace std::chrono_literals;

constexpr Limit kEachWithin = 1s;             // the old process's next packet
constexpr auto kLookEach = 20ms;              // whether the folder is free by now
constexpr net::Time kOldProcessFirst = 30ms;  // past a message's time: the old process's word tells more

void CloseAll(const Taker& taker) {
  for (const client::Passed& client : taker.clients()) close(client.fd);
  if (taker.lock_fd() >= 0) close(taker.lock_fd());
}

// Nothing: the other ended or was too slow, and owns it all still, or has died.
std::optional<Start> AskFor(Channel& channel) {
  Taker taker;
  if (!channel.Send(Ask{kVersion, getpid()})) return std::nullopt;
  while (taker.phase() < Taker::Phase::kOwner) {
    auto received = channel.Receive(kEachWithin);
    if (!received) break;
    const auto answer = taker.Feed(std::move(received->packet), received->fd);
    if (answer && !channel.Send(*answer)) break;
  }
  if (taker.phase() != Taker::Phase::kOwner) {
    CloseAll(taker);
    if (taker.phase() == Taker::Phase::kRefused) throw Refused(taker.why());
    return std::nullopt;
  }
  return Start{std::make_unique<journal::FolderLock>(taker.lock_fd()), std::move(channel), taker.estate(),
               taker.clients()};
}

}  // namespace

std::set<std::string> Start::StillOut() const {
  std::set<std::string> ids;
  for (const relay::AttemptOut& attempt : estate.out) ids.insert(attempt.id);
  return ids;
}

Start Take(const std::string& folder, Limit limit) {
  const net::Time until = net::Loop::Now() + limit;
  std::optional<Refused> refused;  // it may end, or serve again, within the limit
  while (true) {
    try {
      Start start;
      start.lock = std::make_unique<journal::FolderLock>(folder);
      return start;
    } catch (const journal::FolderLocked&) {
      if (net::Loop::Now() >= until && refused) throw *refused;
      if (net::Loop::Now() >= until) throw;
    }
    if (auto channel = Channel::Connect(folder)) {
      try {
        if (auto start = AskFor(*channel)) return std::move(*start);
      } catch (const Refused& e) {
        refused = e;
      }
    }
    std::this_thread::sleep_for(kLookEach);
  }
}

Attempts::Attempts(net::Loop& loop, relay::EndpointSide& own, ToldWait told_wait, Operated operate)
    : own_(own),
      told_wait_(std::move(told_wait)),
      operate_(std::move(operate)),
      io_(loop.ref()),
      overdue_(loop, [this] { EndOverdue(); }) {
  io_.set<Attempts, &Attempts::OnIo>(this);
}

void Attempts::TakeOver(Channel channel, const std::vector<relay::AttemptOut>& out) {
  channel_.emplace(std::move(channel));
  for (const relay::AttemptOut& attempt : out) elsewhere_[attempt.id] = {attempt.host, attempt.ends_at};
  io_.start(channel_->fd(), ev::READ);
  WatchEnds();
}

void Attempts::OnIo(ev::io&, int) {
  if (!channel_) return;
  if (auto received = channel_->Receive(Limit(0))) {
    if (received->fd >= 0) close(received->fd);
    Feed(received->packet);
  }
  if (channel_ && channel_->ended()) Lost();
}

void Attempts::Feed(const Packet& packet) {
  if (const auto* ended = std::get_if<AttemptEnded>(&packet)) return End(ended->id, ended->end);
  if (const auto* cut = std::get_if<IsCut>(&packet)) {
    return End(cut->id, {wheathub::Outcome::kCancelled, false, relay::Time(0)});
  }
  if (const auto* call = std::get_if<Operate>(&packet)) {
    if (channel_) channel_->Send(handover::Operated{operate_(call->word, call->argument)});
  }
}

void Attempts::End(const std::string& id, const relay::AttemptEnd& end) {
  const auto it = elsewhere_.find(id);
  if (it == elsewhere_.end()) return;
  const std::string host = it->second.host;
  elsewhere_.erase(it);
  if (end.told_wait > relay::Time(0)) told_wait_(host, end.told_wait);
  relay_->AttemptEnded(relay_->AttemptOf(id), end);
}

// The old process ends its attempts by their messages' time. Where it stands still and does not, the end is
// owed all the same: the message is over then, and nothing more is tried for it.
void Attempts::EndOverdue() {
  const net::Time now = net::Loop::Now();
  std::vector<std::string> overdue;
  for (const auto& [id, attempt] : elsewhere_) {
    if (attempt.ends_at > net::Time(0) && attempt.ends_at + kOldProcessFirst <= now) overdue.push_back(id);
  }
  for (const std::string& id : overdue) End(id, {wheathub::Outcome::kTimedOut, false, relay::Time(0)});
  WatchEnds();
}

void Attempts::WatchEnds() {
  net::Time next = net::Time::max();
  for (const auto& [id, attempt] : elsewhere_) {
    if (attempt.ends_at > net::Time(0)) next = std::min(next, attempt.ends_at);
  }
  if (next < net::Time::max()) overdue_.At(next + kOldProcessFirst);
}

// The old process has ended without a word of these: they may have run.
void Attempts::Lost() {
  io_.stop();
  channel_.reset();
  while (!elsewhere_.empty()) {
    End(std::string(elsewhere_.begin()->first), {wheathub::Outcome::kReset, false, relay::Time(0)});
  }
}

// Only the old process's word, or its end, says that the connection is closed. However long that takes (it
// may stand still, and its connections stay open meanwhile), the attempt is out: its message's next one must
// not begin, nor another take its slot.
bool Attempts::Cut(const relay::AttemptId& attempt) {
  if (elsewhere_.count(attempt.id) == 0) return own_.Cut(attempt);
  if (channel_) channel_->Send(handover::Cut{attempt.id});
  return false;
}

}  // namespace oxbowspread::handover
