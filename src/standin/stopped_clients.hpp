// A crowd of clients of one relay that send a large request except its end. Those that the relay closes come
// again.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standin/client_connection.hpp"

namespace oxbowspread::standin {

// Runs on the event loop, which must outlive it.
class StoppedClients final : public ClientConnection::Owner {
 public:
  StoppedClients(net::Loop& loop, const net::Address& address) : loop_(loop), address_(address) {}

  // Sets the number of clients. Those that are too many disconnect at once; new ones connect in Replenish.
  void SetCount(std::size_t count);
  // Connects some of the clients that are missing. To be called at short intervals while the relay is up.
  void Replenish();

 private:
  void OnAnswer(ClientConnection& connection, const std::string&) override { Remove(connection); }
  void OnLost(ClientConnection& connection, const ClientConnection::Loss&) override { Remove(connection); }
  void Remove(ClientConnection& connection);

  net::Loop& loop_;
  net::Address address_;
  std::size_t count_ = 0;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
};

}  // namespace oxbowspread::standin
