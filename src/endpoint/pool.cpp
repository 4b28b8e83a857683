#include "endpoint/pool.hpp"

#include <algorithm>
#include <utility>

namespace oxbowspread::endpoint {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

bool StandsAt(const Line& line, const Host& host) {
  return line.address().sin_addr.s_addr == host.to.sin_addr.s_addr &&
         line.address().sin_port == host.to.sin_port;
}

}  // namespace

Pool::Pool(net::Loop& loop, const Limits& limits, relay::Counters& counters)
    : loop_(loop),
      limits_(limits),
      counters_(counters),
      failed_timer_(loop,
                    [this] {
                      for (const auto& [attempt, outcome] : std::exchange(failed_, {})) {
                        relay_->AttemptEnded(attempt, {outcome, false, net::Time(0)});
                      }
                    }),
      sweep_timer_(loop, [this] { Sweep(); }) {
  hosts_.SetKinds(limits_.routes_apart);
  sweep_timer_.After(kSweepEach);
}

void Pool::SetLimits(const Limits& limits) {
  limits_ = limits;
  hosts_.SetKinds(limits_.routes_apart);
}

// ---- hosts ----

void Pool::ApplyRoutingChange(const relay::RoutingChange& change) {
  for (const std::string& id : hosts_.Adopt(change, net::Loop::Now())) CloseIdle(id);
  std::vector<std::string> named;
  for (const relay::Host& host : change.hosts) named.push_back(host.info.id);
  TellWaits(named);
}

// The module must keep to a wait that a host has by its address alone: a call held back here costs a repeat.
void Pool::TellWaits(const std::vector<std::string>& hosts) {
  const net::Time now = net::Loop::Now();
  for (const std::string& id : hosts) {
    const net::Time until = hosts_.WaitUntil(id);
    if (until > now) relay_->DelayHost(id, until);
  }
}

void Pool::ToldWait(const std::string& host, net::Time wait) {
  TellWaits(hosts_.ToldWait(host, wait, net::Loop::Now()));
}

void Pool::CloseIdle(const std::string& id) {
  const auto it = pools_.find(id);
  if (it == pools_.end()) return;
  std::vector<Line*> idle;
  for (const auto& line : it->second) {
    if (!line->busy()) idle.push_back(line.get());
  }
  for (Line* const line : idle) Remove(*line);
}

std::vector<relay::HostWait> Pool::Waits() const { return hosts_.Waits(net::Loop::Now()); }

std::vector<relay::AddressWait> Pool::AddressWaits() const { return hosts_.AddressWaits(net::Loop::Now()); }

void Pool::TakeWaits(const relay::HandoverState& estate) {
  for (const relay::HostWait& wait : estate.host_waits) hosts_.TakeWait(wait);
  for (const relay::AddressWait& wait : estate.address_waits) hosts_.TakeWait(wait);
}

void Pool::ReadNow() {
  std::vector<relay::AttemptId> attempts;
  for (const auto& [attempt, line] : out_) attempts.push_back(attempt);
  for (const relay::AttemptId& attempt : attempts) {
    const auto it = out_.find(attempt);
    if (it != out_.end()) it->second->ReadNow();
  }
}

void Pool::CloseAllIdle() {
  while (!idle_.empty()) Remove(*idle_.begin()->second);
}

// ---- calls ----

void Pool::Fail(const relay::AttemptRequest& order, Outcome outcome) {
  failed_.emplace_back(order.attempt, outcome);
  failed_timer_.After(net::Time(0));
}

void Pool::StartAttempt(relay::AttemptRequest order) {
  const Host* const host = hosts_.Find(order.host);
  if (host == nullptr || !host->known) return Fail(order, Outcome::kNoConnection);
  const auto pool = pools_.find(order.host);
  Line* line = pool == pools_.end() ? nullptr : FreeLine(pool->second);
  const bool fresh = line == nullptr;
  if (fresh) line = NewLine(order.host, *host);
  if (line == nullptr) return Fail(order, Outcome::kNotSent);
  out_[order.attempt] = line;
  Unlist(*line);
  if (fresh && limits_.connect_timeout > 0s) {
    connect_by_[line] = net::Loop::Now() + limits_.connect_timeout;
    connecting_.emplace(connect_by_[line], line);
  }
  line->Carry(std::move(order));
}

// The line used last, so that those not needed grow old and go.
Line* Pool::FreeLine(const Lines& lines) const {
  Line* best = nullptr;
  const net::Time now = net::Loop::Now();
  for (std::size_t i = lines.size(); i-- > 0;) {
    Line& line = *lines[i];
    if (line.busy() || !line.connected()) continue;
    if (!line.ready()) {
      // An answer's tail may still be on its way; an ended line is told by the loop, and left alone here.
      continue;
    }
    if (line.used() && now - line.free_since() < kRest) continue;
    if (best == nullptr || line.free_since() > best->free_since()) best = &line;
  }
  const net::Time keep =
      net::Time(static_cast<net::Time::rep>(static_cast<double>(limits_.keepalive.count()) * kKeepShare));
  if (best != nullptr && keep > 0s && now - best->free_since() > keep) return nullptr;
  return best;
}

Line* Pool::NewLine(const std::string& id, const Host& host) {
  // One gives way, not all: each that is opened anew costs its host a handshake.
  if (lines_ >= limits_.most_lines && !CloseLongestIdle()) return nullptr;
  auto line = std::make_unique<Line>(loop_, static_cast<Line::Owner&>(*this), id, host.to);
  if (!line->Open()) {
    counters_.connection_failures += 1;
    return nullptr;
  }
  counters_.connections_opened += 1;
  lines_ += 1;
  Lines& lines = pools_[id];
  lines.push_back(std::move(line));
  return lines.back().get();
}

bool Pool::CloseLongestIdle() {
  if (idle_.empty()) return false;
  counters_.connections_evicted += 1;
  Remove(*idle_.begin()->second);
  return true;
}

std::optional<std::string> Pool::OnWritable(Line& line) {
  Unlist(line);
  const relay::AttemptRequest& order = line.order();
  const Host* const host = hosts_.Find(line.host());
  const net::Time now = net::Loop::Now();
  // The host may have moved while the line was on its way to where it stood.
  if (host == nullptr || !StandsAt(line, *host) || !hosts_.MayWrite(line.host(), order.write_deadline, now) ||
      !relay_->RecordAttemptStart(order.attempt, line.host(), host->zone)) {
    counters_.attempts_withheld += 1;
    return std::nullopt;
  }
  return CallText(order, order.timeout_at - now);
}

void Pool::OnEnd(Line& line, const relay::AttemptId& attempt, const relay::AttemptResult& end) {
  const auto it = out_.find(attempt);
  if (it == out_.end() || it->second != &line) return;
  out_.erase(it);
  if (end.retry_after > 0s) {
    TellWaits(hosts_.ToldWait(line.host(), line.address(), end.retry_after, net::Loop::Now()));
  }
  if (end.outcome == Outcome::kNoConnection) counters_.connection_failures += 1;
  relay_->AttemptEnded(attempt, end);
}

void Pool::OnFree(Line& line) {
  const Host* const host = hosts_.Find(line.host());
  if (host == nullptr || !host->ready || !host->known || !StandsAt(line, *host)) return Remove(line);
  idle_.emplace(line.free_since(), &line);
}

void Pool::OnLost(Line& line) { Remove(line); }

bool Pool::CancelAttempt(const relay::AttemptId& attempt) {
  std::erase_if(failed_, [&](const auto& f) { return f.first == attempt; });
  const auto it = out_.find(attempt);
  if (it == out_.end()) return true;
  Line& line = *it->second;
  line.ReadNow();
  const auto still = out_.find(attempt);
  if (still == out_.end()) return true;
  out_.erase(still);
  Remove(line);
  return true;
}

void Pool::Unlist(Line& line) {
  idle_.erase({line.free_since(), &line});
  const auto by = connect_by_.find(&line);
  if (by == connect_by_.end()) return;
  connecting_.erase({by->second, &line});
  connect_by_.erase(by);
}

void Pool::Remove(Line& line) {
  line.Cut();
  const auto pool = pools_.find(line.host());
  if (pool == pools_.end()) return;
  Lines& lines = pool->second;
  const auto it = std::find_if(lines.begin(), lines.end(), [&](const auto& l) { return l.get() == &line; });
  if (it == lines.end()) return;
  Unlist(line);
  loop_.DestroyLater(std::move(*it));
  lines.erase(it);
  if (lines.empty()) pools_.erase(pool);
  lines_ -= 1;
}

void Pool::Sweep() {
  sweep_timer_.After(kSweepEach);
  const net::Time now = net::Loop::Now();
  while (!connecting_.empty() && connecting_.begin()->first <= now) {
    Line* const line = connecting_.begin()->second;
    Unlist(*line);
    if (line->connected()) continue;
    const relay::AttemptId attempt = line->order().attempt;
    OnEnd(*line, attempt, {Outcome::kNoConnection, false, net::Time(0)});
    Remove(*line);
  }
  for (const std::string& id : hosts_.LongGone(now)) {
    if (pools_.count(id) == 0) hosts_.Forget(id);
  }
  if (limits_.keepalive <= 0s) return;
  const auto keep =
      net::Time(static_cast<net::Time::rep>(static_cast<double>(limits_.keepalive.count()) * kKeepShare));
  while (!idle_.empty() && now - idle_.begin()->first > keep) {
    counters_.idle_connections_closed += 1;
    Remove(*idle_.begin()->second);
  }
}

}  // namespace oxbowspread::endpoint
