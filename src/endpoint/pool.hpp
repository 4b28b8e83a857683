// Endpoint transport of the relay: sends attempts over a pool of connections for each host.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "endpoint/endpoint_connection.hpp"
#include "endpoint/host_table.hpp"
#include "net/loop.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::endpoint {

// Owns all connections to endpoints. Single-threaded. The loop, the counters and the attached relay must
// outlive it.
class Pool final : public relay::EndpointTransport, private EndpointConnection::Owner {
 public:
  // A connect timeout or keepalive of 0 means that there is none.
  struct Limits {
    std::size_t max_connections = 256;  // over all hosts
    net::Time connect_timeout{0};
    net::Time keepalive{0};
    std::vector<bool> separate_routes;  // by kind: see HostTable::SetSeparateRoutes
  };

  Pool(net::Loop& loop, const Limits& limits, relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }

  void SetLimits(const Limits& limits);

  // Return the current waits that hosts requested, to be handed over to the next process.
  std::vector<relay::HostWait> HostWaits() const;
  // Restores the waits that the previous process handed over.
  void RestoreWaits(const relay::HandoverState& handover_state);
  std::vector<relay::AddressWait> AddressWaits() const;
  // Records that the host answered a call of another process with a request to wait.
  void RecordRetryAfter(const std::string& host, net::Time wait);
  // Reads the responses to attempts in flight that have arrived, without waiting for the loop.
  void ReadNow();
  // Closes all idle connections; those with attempts in flight stay open.
  void CloseAllIdle();

  void ApplyRoutingChange(const relay::RoutingChange& change) override;
  void StartAttempt(relay::AttemptRequest request) override;
  bool CancelAttempt(const relay::AttemptId& attempt) override;
  void CloseIdle(const std::string& host) override;
  void SetListValidUntil(net::Time moment) override { hosts_.SetListValidUntil(moment); }

 private:
  using Connections = std::vector<std::unique_ptr<EndpointConnection>>;

  std::optional<std::string> OnWritable(EndpointConnection& connection) override;
  void OnAttemptEnd(EndpointConnection& connection, const relay::AttemptId& attempt,
                    const relay::AttemptResult& result) override;
  void OnIdle(EndpointConnection& connection) override;
  void OnUnusable(EndpointConnection& connection) override;
  void OnInvalidResponse() override { counters_.invalid_responses += 1; }

  // Reports the current waits of these hosts to the relay.
  void ReportWaits(const std::vector<std::string>& hosts);
  // Returns null if no connection can be reused.
  EndpointConnection* FindIdleConnection(const Connections& connections) const;
  // Returns null if the limit is reached and no connection is idle, or if no connection can be opened.
  EndpointConnection* OpenConnection(const std::string& id, const Host& host);
  // Closes the connection that has been idle for longest. Returns false if none is idle.
  bool CloseLongestIdle();
  void Remove(EndpointConnection& connection);
  // Removes the connection from the indexes of connecting and of idle connections.
  void RemoveFromIndexes(EndpointConnection& connection);
  // Reports the failure of the attempt later from the loop, not from within this call.
  void FailLater(const relay::AttemptRequest& request, wheathub::Outcome outcome);
  // Closes connections that have exceeded their connect timeout or idle time, and forgets expired hosts.
  void Sweep();

  net::Loop& loop_;
  Limits limits_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  HostTable hosts_;
  std::map<std::string, Connections> connections_by_host_;  // by host id; no entry is empty
  std::map<relay::AttemptId, EndpointConnection*> in_flight_;
  // Connecting connections, ordered by connect deadline, and idle ones, ordered by the start of their idle
  // time. With thousands of connections a search through all of them would be too slow.
  std::set<std::pair<net::Time, EndpointConnection*>> connecting_, idle_;
  std::map<EndpointConnection*, net::Time> connect_deadlines_;
  std::size_t connection_count_ = 0;
  std::vector<std::pair<relay::AttemptId, wheathub::Outcome>> pending_failures_;
  net::Timer failure_timer_;
  net::Timer sweep_timer_;
};

}  // namespace oxbowspread::endpoint
