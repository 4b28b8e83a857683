#include "client/client.hpp"

#include <strings.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "client/client_server.hpp"
#include "client/put_command.hpp"

namespace oxbowspread::client {
namespace {

using namespace std::chrono_literals;

// Timeout of a complete command. It starts at the connect for the first command, and at the first byte for
// any other. A client that sends nothing or only part of a command uses a descriptor that others need. The
// platform allows 3 s, and some clients take 2 s to write a command.
constexpr net::Time kCommandTimeout = 2700ms;
constexpr net::Time kIdleTimeout = 10s;  // for open connections that have sent a command
// After the last answer the connection stays open for this long. If it were closed while the client is
// sending, it would be reset and the answer could be lost.
constexpr net::Time kLinger = 300ms;
// Clients send a command immediately after connecting. A connection that has not begun one within
// kFirstCommandTimeout, or whose incomplete command has not progressed within kReceiveProgressTimeout, is
// evicted before all others.
constexpr net::Time kFirstCommandTimeout = 300ms;
constexpr net::Time kReceiveProgressTimeout = 700ms;
// Commands are consumed from the receive buffer as they arrive, so it can be small: hundreds of clients share
// the memory limit. The send buffer is used only for answers that the kernel has no room for.
constexpr net::Connection::BufferLimits kBufferLimits = {.receive = 4 * 1024, .send = 32 * 1024};
// Commands whose arguments have up to this many bytes in total need no room in the budget.
constexpr std::size_t kSmallCommandBytes = 2 * 1024;

bool IsCommand(const std::string& word, const char* name) { return strcasecmp(word.c_str(), name) == 0; }

}  // namespace

Client::Client(net::Loop& loop, int fd, ClientServer& server)
    : loop_(loop),
      server_(server),
      connection_(loop, fd, *this, kBufferLimits),
      parser_(kSmallCommandBytes),
      timer_(loop, [this] { OnTimeout(); }),
      resume_timer_(loop, [this] { ResumeReading(); }),
      idle_since_(net::Loop::Now()) {
  timer_.After(kCommandTimeout);
}

void Client::OnBytes(proto::RingBuffer& received) {
  last_received_at_ = net::Loop::Now();
  if (!has_unread_) earliest_arrival_ = loop_.earliest_arrival();
  while (!awaiting_answer_ && !disconnecting_ && !received.empty() && connection_.connected()) {
    if (parser_.blocked() && !ReserveForCommand()) break;
    received.Consume(parser_.Feed(received.Front()));
    if (parser_.state() == proto::RespParser::State::kInvalid) {
      server_.counters_.malformed += 1;
      Reply(proto::RespError(std::string("ERR Protocol error: ") + parser_.error()));
      return Disconnect();
    }
    if (parser_.state() == proto::RespParser::State::kCommand) HandleCommand(parser_.TakeCommand());
  }
  has_unread_ = !received.empty();
  if (!connection_.connected() || awaiting_answer_ || disconnecting_) return;
  ArmTimer();
  if (server_.closing_ && idle()) resume_timer_.After(net::Time(0));
}

bool Client::is_command_complete() const {
  const std::optional<std::size_t> missing_bytes = parser_.missing_bytes();
  return missing_bytes && connection_.buffered_bytes() + connection_.unread_bytes() >= *missing_bytes;
}

bool Client::ReserveForCommand() {
  const std::size_t additional_bytes = parser_.command_bytes() - reserved_bytes_;
  const auto arrival =
      is_command_complete() ? ReceiveBudget::Arrival::kComplete : ReceiveBudget::Arrival::kPartial;
  if (!server_.receive_budget_.TryReserve(additional_bytes, arrival)) {
    if (!std::exchange(awaiting_room_, true)) server_.AwaitRoom(*this);
    return false;
  }
  reserved_bytes_ += additional_bytes;
  parser_.Allow(parser_.command_bytes());
  if (std::exchange(awaiting_room_, false)) server_.StopAwaitingRoom(*this);
  return true;
}

void Client::RetryReserve() {
  const std::size_t unread_bytes = connection_.unread_bytes();
  if (unread_bytes > std::exchange(arrived_unread_bytes_, unread_bytes)) last_received_at_ = net::Loop::Now();
  connection_.Resume();
}

void Client::ReleaseReservation() {
  if (std::exchange(awaiting_room_, false)) server_.StopAwaitingRoom(*this);
  if (reserved_bytes_ > 0) server_.ReleaseRoom(std::exchange(reserved_bytes_, 0));
}

// Starts the timer with the timeout for an incomplete command or for an idle connection.
void Client::ArmTimer() {
  const bool is_idle = idle() && has_requested_;
  if (is_idle == idle_timer_running_ && timer_.active()) return;
  idle_timer_running_ = is_idle;
  timer_.After(is_idle ? kIdleTimeout : kCommandTimeout);
}

void Client::HandleCommand(std::vector<std::string> command) {
  has_requested_ = true;
  idle_timer_running_ = false;
  timer_.Stop();
  idle_since_ = net::Loop::Now();
  if (IsCommand(command[0], "MSG.PUT")) return HandlePut(std::move(command));
  ReleaseReservation();
  if (IsCommand(command[0], "PING")) {
    Reply(command.size() > 1 ? proto::RespBulk(command[1]) : "+PONG\r\n");
  } else if (IsCommand(command[0], "INFO")) {
    Reply(proto::RespBulk(server_.report_()));
  } else if (IsCommand(command[0], "QUIT")) {
    Reply("+OK\r\n");
    Disconnect();
  } else {
    server_.counters_.malformed += 1;
    Reply(proto::RespError("ERR unknown command"));
  }
}

// A command may have waited unread while this process was stopped or busy with other clients. The time
// matters because a client counts the deadline from the time at which it sent the message. The result is at
// most kClientTimeout, because a client that has waited for longer has disconnected.
net::Time Client::TimeUnread() const {
  return std::min<net::Time>(net::Loop::Now() - earliest_arrival_, relay::kClientTimeout);
}

void Client::HandlePut(std::vector<std::string> command) {
  try {
    journal::Message message = ParsePut(std::move(command), net::Loop::UnixNow() - TimeUnread());
    if (!server_.relay_.HasClass(message.class_name))
      throw InvalidCommand("c names no class of the settings");
    if (message.key.empty() && server_.relay_.RequiresKey(message.class_name))
      throw InvalidCommand("k is missing");
    if (!server_.relay_.IsKnownDestination(message.destination))
      throw InvalidCommand("dest names no partner of the list");
    awaiting_answer_ = true;
    server_.relay_.Submit(std::move(message), *this);
  } catch (const InvalidCommand& e) {
    server_.counters_.malformed += 1;
    Reply(proto::RespError(std::string("ERR ") + e.what()));
    Disconnect();
  }
}

bool Client::OnAccepted() {
  // If the client has closed the connection in the meantime, the message must not be accepted, because the
  // client submits it to another relay.
  const bool client_connected = !connection_.ClosedByPeer() && Reply("+OK\r\n");
  OnAnswered();
  return client_connected;
}

void Client::OnRejected(relay::Time retry_after) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count();
  Reply(ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n");
  OnAnswered();
}

void Client::OnAnswered() {
  awaiting_answer_ = false;
  ReleaseReservation();
  idle_since_ = server_.idle_since_ = net::Loop::Now();
  resume_timer_.After(net::Time(0));
  ArmTimer();
}

// Processes the commands that arrived after the one just answered. They are answered even if the connection
// is to be closed afterwards.
void Client::ResumeReading() {
  connection_.Resume();
  if (server_.closing_) CloseWhenIdle();
}

void Client::CloseWhenIdle() {
  if (!disconnecting_ && idle() && !resume_timer_.active() && connection_.IsIdle()) Disconnect();
}

bool Client::Reply(const std::string& text) {
  if (connection_.Send(text)) return true;
  timer_.After(net::Time(0));  // the client has disconnected, or does not read its answers
  return false;
}

void Client::OnTimeout() {
  // A command that arrives at the moment of the idle timeout is served. If the connection were closed now, it
  // would be reset.
  if (idle_timer_running_ && !disconnecting_ && connection_.connected() && !connection_.IsIdle()) {
    idle_timer_running_ = false;
    return timer_.After(kCommandTimeout);
  }
  if (!idle_timer_running_ && !disconnecting_ && connection_.connected() && connection_.flushed()) {
    server_.counters_.clients_timed_out += 1;
    Reply(proto::RespError("ERR no whole command in time"));
  }
  Disconnect();
}

Client::RetentionPriority Client::retention_priority(net::Time now) const {
  if (disconnecting_) return RetentionPriority::kNone;
  const bool is_receiving =
      last_received_at_ > net::Time(0) && now - last_received_at_ <= kReceiveProgressTimeout;
  if (!has_requested_ && !is_receiving && now - idle_since_ > kFirstCommandTimeout)
    return RetentionPriority::kNone;
  if (idle()) return has_requested_ ? RetentionPriority::kIdle : RetentionPriority::kNew;
  return awaiting_answer_ ? RetentionPriority::kAwaitingAnswer : RetentionPriority::kReceiving;
}

ClientState Client::ExportState() const {
  net::Connection::HandoverState connection_state = connection_.handover_state();
  return {connection_state.fd, parser_.PartialCommand(), std::move(connection_state.received),
          std::move(connection_state.unsent), has_requested_};
}

void Client::RestoreState(const ClientState& state) {
  has_requested_ = state.has_requested;
  has_unread_ = !state.unread.empty();
  RestorePartialCommand(state.partial_command);
  connection_.Restore(state.unread, state.unsent);
  resume_timer_.After(net::Time(0));
  ArmTimer();
}

void Client::RestorePartialCommand(std::string_view bytes) {
  bytes.remove_prefix(parser_.Feed(bytes));
  while (parser_.blocked() && !bytes.empty()) {
    server_.receive_budget_.Reserve(parser_.command_bytes() - reserved_bytes_);
    reserved_bytes_ = parser_.command_bytes();
    parser_.Allow(reserved_bytes_);
    bytes.remove_prefix(parser_.Feed(bytes));
  }
}

void Client::Close() {
  ReleaseReservation();
  connection_.Close();
}

void Client::OnClosed() { Disconnect(); }

void Client::Disconnect() {
  if (std::exchange(awaiting_answer_, false)) server_.relay_.Withdraw(*this);
  timer_.Stop();
  resume_timer_.Stop();
  parser_ = proto::RespParser(kSmallCommandBytes);  // frees an incomplete command
  ReleaseReservation();
  if (!disconnecting_ && connection_.ShutdownSending()) {
    disconnecting_ = true;
    return timer_.After(kLinger);
  }
  connection_.Close();
  server_.Remove(*this);
}

}  // namespace oxbowspread::client
