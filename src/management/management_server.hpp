// Management listener for operators: each connection sends one command line and receives one line that begins
// with "done" or "error".
//
// Its sockets are served before all others of the loop, and kDescriptors descriptors are reserved for it
// (kMaxClients connections, and two of the listener). So commands are answered under any client load, and an
// idle operator connection can't lock out another one.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "management/command_reader.hpp"
#include "net/connection.hpp"

namespace oxbowspread::management {

// Executes a command. Returns nothing on success, otherwise the reason for the failure in one line. Called
// from the loop; must not throw, and everything it refers to must outlive the server.
using Handler = std::function<std::optional<std::string>(const Command& command)>;

// Listens on the management address and executes operators' commands through the handler.
class ManagementServer {
 public:
  // Connections at a time; a new one replaces the oldest.
  static constexpr std::size_t kMaxClients = 16;
  static constexpr std::size_t kDescriptors = kMaxClients + 2;

  // Starts to listen. Throws std::system_error if the address can't be bound.
  ManagementServer(net::Loop& loop, const net::Address& address, Handler handler);
  ~ManagementServer();

 private:
  // From accepting the connection to a complete line.
  static constexpr net::Time kCommandTimeout = std::chrono::seconds(3);
  struct Client;

  void Accept(int fd);
  void Remove(Client& client);

  net::Loop& loop_;
  Handler handler_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;  // by number, the oldest first
  std::uint64_t next_number_ = 1;
  net::Listener listener_;
};

}  // namespace oxbowspread::management
