// Server for clients that submit messages over RESP2.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "client/client.hpp"
#include "client/receive_budget.hpp"
#include "net/connection.hpp"
#include "relay/counters.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::client {

// Accepts client connections and owns them.
class ClientServer {
 public:
  // Produces the answer to INFO.
  using Report = std::function<std::string()>;
  struct Limits {
    std::size_t max_clients;    // connections
    std::size_t receive_bytes;  // for commands that are incomplete or not answered yet; see ReceiveBudget
  };

  // Starts listening. If `inherited_fd` is not negative, it is used as the listening socket, which another
  // process has bound and owns. Throws std::system_error.
  ClientServer(net::Loop& loop, const net::Address& address, int inherited_fd, const Limits& limits,
               relay::Relay& relay, relay::Counters& counters, Report report);
  // Returns the open clients, whose state is to be transferred to another process. Relay::PrepareHandover
  // must be called first, so that no client waits for an answer. Valid until a client is served.
  std::vector<const Client*> OpenClients() const;
  // Adds a client transferred from another process. Takes ownership of its descriptor.
  void RestoreClient(const ClientState& state);
  // Accepts no new clients; connected clients are still served.
  void StopListening();
  // Accepts new clients again at the same address. Throws std::system_error if another process has bound it.
  void StartListening();
  // Closes all connections. Those with an unanswered command are closed after the answer.
  void CloseWhenIdle();
  // Time at which a client last connected or a message was last answered.
  net::Time idle_since() const { return idle_since_; }
  void SetMaxClients(std::size_t max_clients) { max_clients_ = max_clients; }
  std::size_t client_count() const { return clients_.size(); }
  const ReceiveBudget& receive_budget() const { return receive_budget_; }

 private:
  friend class Client;
  void Accept(int fd);
  void Remove(Client& client);
  // Closes one client of that priority or a lower one. Returns false if there is none.
  bool EvictClient(Client::RetentionPriority highest);
  // Adds a client to those that wait for room in the budget, and removes it.
  void AwaitRoom(Client& client);
  void StopAwaitingRoom(Client& client);
  void ReleaseRoom(std::size_t bytes);
  void ServeAwaitingRoom();

  net::Loop& loop_;
  net::Address address_;
  int inherited_fd_;
  std::size_t max_clients_;
  ReceiveBudget receive_budget_;
  std::vector<Client*> awaiting_room_;  // in the order in which they began to wait
  net::Timer room_timer_;
  relay::Relay& relay_;
  relay::Counters& counters_;
  Report report_;
  bool closing_ = false;
  net::Time idle_since_{0};
  std::map<Client*, std::unique_ptr<Client>> clients_;
  std::optional<net::Listener> listener_;
};

}  // namespace oxbowspread::client
