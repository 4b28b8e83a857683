#include "standin/client_connection.hpp"

#include <utility>

namespace oxbowspread::standin {

std::string RespCommand(const std::vector<std::string>& words) {
  std::string command = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) {
    command += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  }
  return command;
}

ClientConnection::ClientConnection(net::Loop& loop, Owner& owner, const net::Address& address,
                                   net::Time timeout)
    : owner_(owner),
      timeout_(timeout),
      connection_(net::Connection::Open(loop, address, *this)),
      timeout_timer_(loop, [this] { ReportLoss(false); }) {
  StartTimeout();
}

void ClientConnection::StartTimeout() {
  if (timeout_ > net::Time(0)) timeout_timer_.After(timeout_);
}

void ClientConnection::Send(std::string request) {
  request_ = std::move(request);
  StartTimeout();
  if (connection_->connected()) connection_->Send(request_);
}

void ClientConnection::Close() {
  closed_ = true;
  timeout_timer_.Stop();
  if (connection_) connection_->Close();
}

void ClientConnection::OnConnected() {
  was_connected_ = true;
  timeout_timer_.Stop();
  if (request_.empty()) return;
  StartTimeout();
  connection_->Send(request_);
}

void ClientConnection::OnBytes(proto::RingBuffer& received) {
  while (!received.empty()) {
    const std::string_view front = received.Front();
    received_ += front;
    received.Consume(front.size());
  }
  const std::size_t end = received_.find("\r\n");
  if (end == received_.npos || request_.empty()) return;
  const std::string answer = received_.substr(0, end);
  received_.clear();
  timeout_timer_.Stop();
  answered_before_ = true;
  request_.clear();
  owner_.OnAnswer(*this, answer);
}

void ClientConnection::ReportLoss(bool closed_by_peer) {
  if (closed_) return;
  Loss loss;
  loss.request_pending = !std::exchange(request_, {}).empty();
  loss.was_connected = was_connected_;
  loss.request_unread = closed_by_peer && answered_before_ && loss.request_pending;
  owner_.OnLost(*this, loss);
}

}  // namespace oxbowspread::standin
