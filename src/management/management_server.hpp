// Management listener for operators: each connection sends one command line and receives one line that begins
// with "done" or "error".
//
// The loop serves its sockets before all others, and kDescriptors descriptors are reserved for it:
// kMaxClients for connections and two for the listener. Commands are therefore answered under any client
// load. When all connections are in use, a new one replaces the oldest, so that idle connections can't lock
// out an operator.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "management/command_reader.hpp"
#include "net/connection.hpp"

namespace oxbowspread::management {

// Executes a command. Returns nothing on success, otherwise the reason for the failure in one line. It is
// called from the loop and must not throw. Everything that it refers to must outlive the server.
using Handler = std::function<std::optional<std::string>(const Command& command)>;

// Listens on the management address and executes operators' commands through the handler.
class ManagementServer {
 public:
  // Maximum number of connections at a time; a new one replaces the oldest.
  static constexpr std::size_t kMaxClients = 16;
  static constexpr std::size_t kDescriptors = kMaxClients + 2;

  // Starts to listen. Throws std::system_error if the address can't be bound.
  ManagementServer(net::Loop& loop, const net::Address& address, Handler handler);
  ~ManagementServer();

 private:
  // Maximum time from accepting the connection to a complete line.
  static constexpr net::Time kCommandTimeout = std::chrono::seconds(3);
  struct Client;

  void Accept(int fd);
  void Remove(Client& client);

  net::Loop& loop_;
  Handler handler_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;  // by number, in the order of arrival
  std::uint64_t next_number_ = 1;
  net::Listener listener_;
};

}  // namespace oxbowspread::management
