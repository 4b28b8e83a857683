#include "issuer/issuer.hpp"

#include <algorithm>
#include <utility>

namespace oxbowspread::issuer {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

constexpr net::Time kSweepEach = 200ms;
constexpr net::Time kForgetAfter = 5s;  // a host that left the list
// A host closes an idle line at its keepalive at the latest, and what is written to it from then on is a
// reset that may have run: lines are retired while the host surely still holds them.
constexpr double kKeepShare = 0.8;
// What follows an answer that brought more than belongs to it may come a moment later, and must not be taken
// for the answer to the next call.
constexpr net::Time kRest = 30ms;
// A call on its way when a drain or a wait is told may still be written for so long; the platform lets 250
// and 100 ms pass, of which the way there takes a part.
constexpr net::Time kDrainSlack = 100ms;
constexpr net::Time kWaitSlack = 40ms;

}  // namespace

Issuer::Issuer(net::Loop& loop, const Limits& limits, relay::Counters& counters)
    : loop_(loop),
      limits_(limits),
      counters_(counters),
      failed_timer_(loop,
                    [this] {
                      for (const auto& [leg, outcome] : std::exchange(failed_, {})) {
                        relay_->LegEnded(leg, {outcome, false, net::Time(0)});
                      }
                    }),
      sweep_timer_(loop, [this] { Sweep(); }) {
  sweep_timer_.After(kSweepEach);
}

// ---- hosts ----

void Issuer::Adopt(const relay::RoutingChange& change) {
  if (change.scope == wheathub::ListScope::kFailed) return;
  if (change.scope != wheathub::ListScope::kChanges) {
    std::map<std::string, bool> named;
    for (const relay::Host& host : change.hosts) named[host.info.id] = true;
    for (auto& [id, host] : hosts_) {
      if (named.count(id) > 0) continue;
      if (std::exchange(host.ready, false)) host.unready_since = net::Loop::Now();
      host.gone = true;
    }
  }
  for (const relay::Host& host : change.hosts) Adopt(host);
}

void Issuer::Adopt(const relay::Host& news) {
  Host& host = hosts_[news.info.id];
  const bool ready = news.info.lifecycle == wheathub::Lifecycle::kUp;
  if (host.ready && !ready) host.unready_since = net::Loop::Now();
  host.ready = ready;
  host.gone = news.info.lifecycle == wheathub::Lifecycle::kRemoved;
  host.zone = news.info.zone;
  if (!news.address.empty() && news.address != host.address) {
    CloseIdle(host);
    host.address = news.address;
    const auto to = net::ParseAddress(news.address);
    if (to) host.to = *to;
  }
  host.known = net::ParseAddress(host.address).has_value();
  TakeAddress(news.info.id, host);
  if (!ready) CloseIdle(host);
}

// A host that has gone may still be listed when another stands at its address: what is sent there for the old
// one would reach the new one.
void Issuer::TakeAddress(const std::string& id, Host& host) {
  for (auto& [other_id, other] : hosts_) {
    if (other_id == id || other.address != host.address) continue;
    Host& loser = host.ready ? other : host;
    if (!host.ready && !other.ready) continue;
    loser.known = false;
    CloseIdle(loser);
  }
}

void Issuer::CloseIdle(Host& host) {
  for (std::size_t i = host.lines.size(); i-- > 0;) {
    if (!host.lines[i]->busy()) Remove(host, *host.lines[i]);
  }
}

void Issuer::CloseIdle(const std::string& id) {
  const auto it = hosts_.find(id);
  if (it != hosts_.end()) CloseIdle(it->second);
}

// ---- calls ----

void Issuer::Fail(const relay::LegOrder& order, Outcome outcome) {
  failed_.emplace_back(order.leg, outcome);
  failed_timer_.After(net::Time(0));
}

void Issuer::Begin(relay::LegOrder order) {
  const auto it = hosts_.find(order.host);
  if (it == hosts_.end() || !it->second.known) return Fail(order, Outcome::kNoConnection);
  Host& host = it->second;
  Line* line = FreeLine(host);
  const bool fresh = line == nullptr;
  if (fresh) line = NewLine(order.host, host);
  if (line == nullptr) return Fail(order, Outcome::kNotSent);
  out_[order.leg] = line;
  if (fresh) connecting_.emplace(net::Loop::Now() + limits_.connect_timeout, std::pair(order.host, line));
  line->Carry(std::move(order));
}

// The line used last, so that those not needed grow old and go.
Line* Issuer::FreeLine(Host& host) {
  Line* best = nullptr;
  const net::Time now = net::Loop::Now();
  for (std::size_t i = host.lines.size(); i-- > 0;) {
    Line& line = *host.lines[i];
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

Line* Issuer::NewLine(const std::string& id, Host& host) {
  // One gives way, not all: each that is opened anew costs its host a handshake.
  if (lines_ >= limits_.most_lines && !CloseLongestIdle()) return nullptr;
  auto line = std::make_unique<Line>(loop_, static_cast<Line::Owner&>(*this), id, host.to);
  if (!line->Open()) {
    counters_.line_failures += 1;
    return nullptr;
  }
  counters_.lines_opened += 1;
  lines_ += 1;
  host.lines.push_back(std::move(line));
  return host.lines.back().get();
}

bool Issuer::CloseLongestIdle() {
  Host* where = nullptr;
  Line* longest = nullptr;
  for (auto& [id, host] : hosts_) {
    for (const auto& line : host.lines) {
      if (line->busy() || (longest != nullptr && line->free_since() >= longest->free_since())) continue;
      where = &host;
      longest = line.get();
    }
  }
  if (longest == nullptr) return false;
  counters_.lines_evicted += 1;
  Remove(*where, *longest);
  return true;
}

bool Issuer::MayWrite(const Host& host, const relay::LegOrder& order, net::Time now) const {
  if (!host.known) return false;
  if (!host.ready && now > host.unready_since + kDrainSlack) return false;
  if (now < host.wait_until && now > host.told_at + kWaitSlack) return false;
  return now < order.write_before;
}

std::optional<std::string> Issuer::OnWritable(Line& line) {
  const relay::LegOrder& order = line.order();
  Host& host = hosts_.at(line.host());
  const net::Time now = net::Loop::Now();
  if (!MayWrite(host, order, now) || !relay_->LegWriting(order.leg, line.host(), host.zone)) {
    counters_.legs_held_back += 1;
    return std::nullopt;
  }
  return CallText(order, order.give_up_at - now);
}

void Issuer::OnEnd(Line& line, const relay::LegEnd& end) {
  const auto it = std::find_if(out_.begin(), out_.end(), [&](const auto& o) { return o.second == &line; });
  if (it == out_.end()) return;
  const relay::LegId leg = it->first;
  out_.erase(it);
  if (end.told_wait > 0s) {
    Host& host = hosts_.at(line.host());
    host.told_at = net::Loop::Now();
    host.wait_until = std::max(host.wait_until, host.told_at + end.told_wait);
  }
  if (end.outcome == Outcome::kNoConnection) counters_.line_failures += 1;
  relay_->LegEnded(leg, end);
}

void Issuer::OnFree(Line& line) {
  Host& host = hosts_.at(line.host());
  const bool moved = line.address().sin_addr.s_addr != host.to.sin_addr.s_addr ||
                     line.address().sin_port != host.to.sin_port;
  if (!host.ready || !host.known || moved) Remove(host, line);
}

void Issuer::OnLost(Line& line) { Remove(hosts_.at(line.host()), line); }

void Issuer::Cut(const relay::LegId& leg) {
  std::erase_if(failed_, [&](const auto& f) { return f.first == leg; });
  const auto it = out_.find(leg);
  if (it == out_.end()) return;
  Line& line = *it->second;
  out_.erase(it);
  Remove(hosts_.at(line.host()), line);
}

void Issuer::Remove(Host& host, Line& line) {
  line.Cut();
  const auto it =
      std::find_if(host.lines.begin(), host.lines.end(), [&](const auto& l) { return l.get() == &line; });
  if (it == host.lines.end()) return;
  std::erase_if(connecting_, [&](const auto& c) { return c.second.second == &line; });
  loop_.Dispose(std::move(*it));
  host.lines.erase(it);
  lines_ -= 1;
}

void Issuer::Sweep() {
  sweep_timer_.After(kSweepEach);
  const net::Time now = net::Loop::Now();
  while (limits_.connect_timeout > 0s && !connecting_.empty() && connecting_.begin()->first <= now) {
    const auto [id, line] = connecting_.begin()->second;
    connecting_.erase(connecting_.begin());
    if (line->connected()) continue;
    OnEnd(*line, {Outcome::kNoConnection, false, net::Time(0)});
    Remove(hosts_.at(id), *line);
  }
  std::erase_if(hosts_, [&](const auto& entry) {
    const Host& host = entry.second;
    return host.gone && host.lines.empty() && now - host.unready_since > kForgetAfter;
  });
  if (limits_.keepalive <= 0s) return;
  const auto keep =
      net::Time(static_cast<net::Time::rep>(static_cast<double>(limits_.keepalive.count()) * kKeepShare));
  for (auto& [id, host] : hosts_) {
    for (std::size_t i = host.lines.size(); i-- > 0;) {
      Line& line = *host.lines[i];
      if (!line.busy() && line.connected() && now - line.free_since() > keep) {
        counters_.lines_idled += 1;
        Remove(host, line);
      }
    }
  }
}

}  // namespace oxbowspread::issuer
