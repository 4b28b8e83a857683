#include "standin/client_line.hpp"

#include <utility>

namespace oxbowspread::standin {

std::string RespCommand(const std::vector<std::string>& words) {
  std::string command = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) {
    command += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  }
  return command;
}

ClientLine::ClientLine(net::Loop& loop, Owner& owner, const net::Address& to, net::Time within)
    : owner_(owner),
      within_(within),
      connection_(net::Connection::Open(loop, to, *this)),
      late_(loop, [this] { Broken(false); }) {
  Watch();
}

void ClientLine::Watch() {
  if (within_ > net::Time(0)) late_.After(within_);
}

void ClientLine::Ask(std::string request) {
  request_ = std::move(request);
  Watch();
  if (connection_->connected()) connection_->Send(request_);
}

void ClientLine::Close() {
  gone_ = true;
  late_.Stop();
  if (connection_) connection_->Close();
}

void ClientLine::OnConnected() {
  was_connected_ = true;
  late_.Stop();
  if (request_.empty()) return;
  Watch();
  connection_->Send(request_);
}

void ClientLine::OnBytes(proto::RingBuffer& in) {
  while (!in.empty()) {
    const std::string_view front = in.Front();
    text_ += front;
    in.Consume(front.size());
  }
  const std::size_t end = text_.find("\r\n");
  if (end == text_.npos || request_.empty()) return;
  const std::string answer = text_.substr(0, end);
  text_.clear();
  late_.Stop();
  answered_before_ = true;
  request_.clear();
  owner_.OnAnswer(*this, answer);
}

void ClientLine::Broken(bool closed) {
  if (gone_) return;
  Break how;
  how.asking = !std::exchange(request_, {}).empty();
  how.connected = was_connected_;
  how.unread = closed && answered_before_ && how.asking;
  owner_.OnBreak(*this, how);
}

}  // namespace oxbowspread::standin
