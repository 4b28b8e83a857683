// Server for clients that submit messages over RESP2.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "client/receive_budget.hpp"
#include "net/connection.hpp"
#include "proto/resp.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::client {

class ClientServer;

// State of a client connection for transfer to another process. The descriptor stays owned by the sending
// process.
struct ClientState {
  int fd = -1;
  std::string partial_command;  // bytes of an incomplete command
  std::string unread, unsent;   // bytes not parsed yet; answers not yet passed to the kernel
  bool has_requested = false;   // a complete command has arrived
};

// The connection of one client. Destroyed by its server; both run on the event loop.
class Client final : public net::Connection::Handler, public relay::Client {
 public:
  Client(net::Loop& loop, int fd, ClientServer& server);

  bool OnAccepted() override;
  void OnRejected(relay::Time retry_after) override;
  bool idle() const { return !awaiting_answer_ && parser_.idle(); }
  // Priority of keeping the connection when descriptors run out; the lowest value is closed first.
  // kNone: closing, or without a command for too long. kIdle: no command since the last answer. kNew:
  // connected recently, no command yet. kReceiving: part of a command has arrived.
  enum class RetentionPriority { kNone, kIdle, kNew, kReceiving, kAwaitingAnswer };
  RetentionPriority retention_priority(net::Time now) const;
  // Time since which the connection has had that priority. Among equal priorities the earliest is closed
  // first.
  net::Time priority_since() const { return idle() ? idle_since_ : last_received_at_; }
  // Returns whether nothing has arrived that the client is owed an answer for, as far as is known without
  // reading on. A command for which there is no room is only read once it is complete, or there is room.
  bool all_read() const {
    if (awaiting_room_) return !is_command_complete();
    return connection_.buffered_bytes() == 0 && connection_.IsIdle();
  }
  // Continues with the command for which there was no room, if there is room now.
  void RetryReserve();
  void Close();
  // Closes the connection if it is idle and no bytes are unread. Otherwise it is closed after the commands
  // that have arrived were answered.
  void CloseWhenIdle();
  bool open() const { return connection_.connected() && !disconnecting_; }
  ClientState ExportState() const;
  void RestoreState(const ClientState& state);

 private:
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override;
  // Returns the maximum time that the current command may have waited before it was read.
  net::Time TimeUnread() const;
  void HandleCommand(std::vector<std::string> command);
  void HandlePut(std::vector<std::string> command);
  // Returns false if the answer can't be sent; the connection is then closed by the timer.
  bool Reply(const std::string& text);
  // Ends the connection. If all answers were sent, closes only the sending direction; the connection is
  // closed once the client has closed it, or after a short timeout. Otherwise, and in a second call, closes
  // it immediately.
  void Disconnect();
  void OnTimeout();
  void OnAnswered();
  void ResumeReading();
  void ArmTimer();
  // Reserves room for the current command, which is larger than the parser allows. If there is none, the
  // client waits for room, and its connection is not read further than its buffer.
  bool ReserveForCommand();
  void ReleaseReservation();
  // Reserves room for an incomplete command of another process, which has granted it, and parses it.
  void RestorePartialCommand(std::string_view bytes);
  // Returns whether all missing bytes of the current command are known to have arrived.
  bool is_command_complete() const;

  net::Loop& loop_;
  ClientServer& server_;
  net::Connection connection_;
  proto::RespParser parser_;
  net::Timer timer_;                 // timeout of an incomplete command, unread answers or an idle connection
  net::Timer resume_timer_;          // continues with the commands that follow an answered one
  bool awaiting_answer_ = false;     // a message is waiting for the answer of the decision module
  bool has_requested_ = false;       // a complete command has arrived
  bool idle_timer_running_ = false;  // timer_ runs with the idle timeout
  bool disconnecting_ = false;       // all answers were sent; further input is ignored
  net::Time idle_since_{0};
  net::Time last_received_at_{0};  // when the last bytes arrived; 0 if none have
  // Lower bound for the arrival time of the bytes that are not answered yet; 0 after a handover, which does
  // not transfer it.
  net::Time earliest_arrival_{0};
  bool has_unread_ = false;  // bytes of an earlier read are still in the buffer
  // Room in the server's budget for the current command, until it is answered.
  std::size_t reserved_bytes_ = 0;
  bool awaiting_room_ = false;
  std::size_t arrived_unread_bytes_ = 0;  // in the kernel's buffer, when it was last looked at
};

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
