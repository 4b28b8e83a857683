// A client's connection to one relay. It sends one request at a time and reports the answer or the loss of
// the connection.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/connection.hpp"

namespace oxbowspread::standin {

// Formats a command in RESP2, as an array of bulk strings.
std::string RespCommand(const std::vector<std::string>& words);

class ClientConnection final : private net::Connection::Handler {
 public:
  // How the connection was lost.
  struct Loss {
    bool request_pending = false;  // a request waited for its answer
    bool was_connected = false;    // false: the relay refused the connection or did not accept it in time
    bool request_unread = false;   // closed between two requests; the relay may not have read the pending one
  };
  // Receives the results. Within a callback it may destroy the connection with Loop::DestroyLater, after a
  // call to Close.
  class Owner {
   public:
    virtual ~Owner() = default;
    // `answer` is the first line of the answer, without the line end.
    virtual void OnAnswer(ClientConnection& connection, const std::string& answer) = 0;
    virtual void OnLost(ClientConnection& connection, const Loss& loss) = 0;
  };

  // `timeout` limits the wait for the connection and for each answer; 0: no limit. Loop and owner must
  // outlive this object.
  ClientConnection(net::Loop& loop, Owner& owner, const net::Address& address, net::Time timeout);
  bool opened() const { return connection_ != nullptr; }  // false: no socket was available
  bool idle() const { return request_.empty() && !closed_; }
  // The connection must be idle. `request` must not be empty and is sent once the connection is established.
  void Send(std::string request);
  void Close();  // no callback follows

 private:
  void OnConnected() override;
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override { ReportLoss(true); }
  void ReportLoss(bool closed_by_peer);
  void StartTimeout();

  Owner& owner_;
  net::Time timeout_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer timeout_timer_;
  std::string request_, received_;
  bool was_connected_ = false, answered_before_ = false, closed_ = false;
};

}  // namespace oxbowspread::standin
