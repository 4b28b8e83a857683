// The connection of one client that submits messages over RESP2.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "net/connection.hpp"
#include "proto/resp.hpp"
#include "relay/ports.hpp"

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

}  // namespace oxbowspread::client
