#include "endpoint/pool.hpp"

#include <algorithm>
#include <utility>

namespace oxbowspread::endpoint {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

bool IsAtHostAddress(const EndpointConnection& connection, const Host& host) {
  return connection.address().sin_addr.s_addr == host.socket_address.sin_addr.s_addr &&
         connection.address().sin_port == host.socket_address.sin_port;
}

}  // namespace

Pool::Pool(net::Loop& loop, const Limits& limits, relay::Counters& counters)
    : loop_(loop),
      limits_(limits),
      counters_(counters),
      failure_timer_(loop,
                     [this] {
                       for (const auto& [attempt, outcome] : std::exchange(pending_failures_, {})) {
                         relay_->AttemptEnded(attempt, {outcome, false, net::Time(0)});
                       }
                     }),
      sweep_timer_(loop, [this] { Sweep(); }) {
  hosts_.SetSeparateRoutes(limits_.separate_routes);
  sweep_timer_.After(kSweepInterval);
}

void Pool::SetLimits(const Limits& limits) {
  limits_ = limits;
  hosts_.SetSeparateRoutes(limits_.separate_routes);
}

// ---- hosts ----

void Pool::ApplyRoutingChange(const relay::RoutingChange& change) {
  for (const std::string& id : hosts_.Apply(change, net::Loop::Now())) CloseIdle(id);
  std::vector<std::string> listed_ids;
  for (const relay::Host& host : change.hosts) listed_ids.push_back(host.info.id);
  ReportWaits(listed_ids);
}

// Also reports waits that apply to a host only because of its address. Without them the decision module would
// choose calls that are withheld here and have to be repeated.
void Pool::ReportWaits(const std::vector<std::string>& hosts) {
  const net::Time now = net::Loop::Now();
  for (const std::string& id : hosts) {
    const net::Time until = hosts_.BlockedUntil(id);
    if (until > now) relay_->DelayHost(id, until);
  }
}

void Pool::RecordRetryAfter(const std::string& host, net::Time wait) {
  ReportWaits(hosts_.RecordRetryAfter(host, wait, net::Loop::Now()));
}

void Pool::CloseIdle(const std::string& id) {
  const auto it = connections_by_host_.find(id);
  if (it == connections_by_host_.end()) return;
  std::vector<EndpointConnection*> idle;
  for (const auto& connection : it->second) {
    if (!connection->busy()) idle.push_back(connection.get());
  }
  for (EndpointConnection* const connection : idle) Remove(*connection);
}

std::vector<relay::HostWait> Pool::HostWaits() const { return hosts_.HostWaits(net::Loop::Now()); }

std::vector<relay::AddressWait> Pool::AddressWaits() const { return hosts_.AddressWaits(net::Loop::Now()); }

void Pool::RestoreWaits(const relay::HandoverState& handover_state) {
  for (const relay::HostWait& wait : handover_state.host_waits) hosts_.RestoreWait(wait);
  for (const relay::AddressWait& wait : handover_state.address_waits) hosts_.RestoreWait(wait);
}

void Pool::ReadNow() {
  std::vector<relay::AttemptId> attempts;
  for (const auto& [attempt, connection] : in_flight_) attempts.push_back(attempt);
  for (const relay::AttemptId& attempt : attempts) {
    const auto it = in_flight_.find(attempt);
    if (it != in_flight_.end()) it->second->ReadNow();
  }
}

void Pool::CloseAllIdle() {
  while (!idle_.empty()) Remove(*idle_.begin()->second);
}

// ---- attempts ----

void Pool::FailLater(const relay::AttemptRequest& request, Outcome outcome) {
  pending_failures_.emplace_back(request.attempt, outcome);
  failure_timer_.After(net::Time(0));
}

void Pool::StartAttempt(relay::AttemptRequest request) {
  const Host* const host = hosts_.Find(request.host);
  if (host == nullptr || !host->owns_address) return FailLater(request, Outcome::kNoConnection);
  const auto entry = connections_by_host_.find(request.host);
  EndpointConnection* connection =
      entry == connections_by_host_.end() ? nullptr : FindIdleConnection(entry->second);
  const bool is_new = connection == nullptr;
  if (is_new) connection = OpenConnection(request.host, *host);
  if (connection == nullptr) return FailLater(request, Outcome::kNotSent);
  in_flight_[request.attempt] = connection;
  RemoveFromIndexes(*connection);
  if (is_new && limits_.connect_timeout > 0s) {
    connect_deadlines_[connection] = net::Loop::Now() + limits_.connect_timeout;
    connecting_.emplace(connect_deadlines_[connection], connection);
  }
  connection->StartAttempt(std::move(request));
}

// Prefers the connection that was used last, so that surplus connections stay idle and expire.
EndpointConnection* Pool::FindIdleConnection(const Connections& connections) const {
  EndpointConnection* best = nullptr;
  const net::Time now = net::Loop::Now();
  for (std::size_t i = connections.size(); i-- > 0;) {
    EndpointConnection& connection = *connections[i];
    if (connection.busy() || !connection.connected()) continue;
    if (!connection.ready()) {
      // The rest of a response may still be in transit. A closed connection is not handled here, because the
      // loop reports it.
      continue;
    }
    if (connection.used() && now - connection.idle_since() < kReuseDelay) continue;
    if (best == nullptr || connection.idle_since() > best->idle_since()) best = &connection;
  }
  const net::Time max_idle_time = net::Time(
      static_cast<net::Time::rep>(static_cast<double>(limits_.keepalive.count()) * kKeepaliveShare));
  if (best != nullptr && max_idle_time > 0s && now - best->idle_since() > max_idle_time) return nullptr;
  return best;
}

EndpointConnection* Pool::OpenConnection(const std::string& id, const Host& host) {
  // Closes only one connection, because each one that has to be opened again costs its host a handshake.
  if (connection_count_ >= limits_.max_connections && !CloseLongestIdle()) return nullptr;
  auto connection = std::make_unique<EndpointConnection>(
      loop_, static_cast<EndpointConnection::Owner&>(*this), id, host.socket_address);
  if (!connection->Open()) {
    counters_.connection_failures += 1;
    return nullptr;
  }
  counters_.connections_opened += 1;
  connection_count_ += 1;
  Connections& connections = connections_by_host_[id];
  connections.push_back(std::move(connection));
  return connections.back().get();
}

bool Pool::CloseLongestIdle() {
  if (idle_.empty()) return false;
  counters_.connections_evicted += 1;
  Remove(*idle_.begin()->second);
  return true;
}

std::optional<std::string> Pool::OnWritable(EndpointConnection& connection) {
  RemoveFromIndexes(connection);
  const relay::AttemptRequest& request = connection.request();
  const Host* const host = hosts_.Find(connection.host());
  const net::Time now = net::Loop::Now();
  // The address of the host may have changed while the connection to the old address was being established.
  if (host == nullptr || !IsAtHostAddress(connection, *host) ||
      !hosts_.MayWrite(connection.host(), request.write_deadline, now) ||
      !relay_->RecordAttemptStart(request.attempt, connection.host(), host->zone)) {
    counters_.attempts_withheld += 1;
    return std::nullopt;
  }
  return FormatRequest(request, request.timeout_at - now);
}

void Pool::OnAttemptEnd(EndpointConnection& connection, const relay::AttemptId& attempt,
                        const relay::AttemptResult& result) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end() || it->second != &connection) return;
  in_flight_.erase(it);
  if (result.retry_after > 0s) {
    ReportWaits(hosts_.RecordRetryAfter(connection.host(), connection.address(), result.retry_after,
                                        net::Loop::Now()));
  }
  if (result.outcome == Outcome::kNoConnection) counters_.connection_failures += 1;
  relay_->AttemptEnded(attempt, result);
}

void Pool::OnIdle(EndpointConnection& connection) {
  const Host* const host = hosts_.Find(connection.host());
  if (host == nullptr || !host->ready || !host->owns_address || !IsAtHostAddress(connection, *host))
    return Remove(connection);
  idle_.emplace(connection.idle_since(), &connection);
}

void Pool::OnUnusable(EndpointConnection& connection) { Remove(connection); }

bool Pool::CancelAttempt(const relay::AttemptId& attempt) {
  std::erase_if(pending_failures_, [&](const auto& failure) { return failure.first == attempt; });
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return true;
  EndpointConnection& connection = *it->second;
  connection.ReadNow();
  const auto still_in_flight = in_flight_.find(attempt);
  if (still_in_flight == in_flight_.end()) return true;
  in_flight_.erase(still_in_flight);
  Remove(connection);
  return true;
}

void Pool::RemoveFromIndexes(EndpointConnection& connection) {
  idle_.erase({connection.idle_since(), &connection});
  const auto deadline = connect_deadlines_.find(&connection);
  if (deadline == connect_deadlines_.end()) return;
  connecting_.erase({deadline->second, &connection});
  connect_deadlines_.erase(deadline);
}

void Pool::Remove(EndpointConnection& connection) {
  connection.Abort();
  const auto entry = connections_by_host_.find(connection.host());
  if (entry == connections_by_host_.end()) return;
  Connections& connections = entry->second;
  const auto it = std::find_if(connections.begin(), connections.end(),
                               [&](const auto& candidate) { return candidate.get() == &connection; });
  if (it == connections.end()) return;
  RemoveFromIndexes(connection);
  loop_.DestroyLater(std::move(*it));
  connections.erase(it);
  if (connections.empty()) connections_by_host_.erase(entry);
  connection_count_ -= 1;
}

void Pool::Sweep() {
  sweep_timer_.After(kSweepInterval);
  const net::Time now = net::Loop::Now();
  while (!connecting_.empty() && connecting_.begin()->first <= now) {
    EndpointConnection* const connection = connecting_.begin()->second;
    RemoveFromIndexes(*connection);
    if (connection->connected()) continue;
    const relay::AttemptId attempt = connection->request().attempt;
    OnAttemptEnd(*connection, attempt, {Outcome::kNoConnection, false, net::Time(0)});
    Remove(*connection);
  }
  for (const std::string& id : hosts_.ExpiredHosts(now)) {
    if (connections_by_host_.count(id) == 0) hosts_.Forget(id);
  }
  if (limits_.keepalive <= 0s) return;
  const auto max_idle_time = net::Time(
      static_cast<net::Time::rep>(static_cast<double>(limits_.keepalive.count()) * kKeepaliveShare));
  while (!idle_.empty() && now - idle_.begin()->first > max_idle_time) {
    counters_.idle_connections_closed += 1;
    Remove(*idle_.begin()->second);
  }
}

}  // namespace oxbowspread::endpoint
