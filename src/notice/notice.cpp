#include "notice/notice.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace oxbowspread::notice {
namespace {

using namespace std::chrono_literals;

// A notice is late if it arrives more than 300 ms after the deadline of its message, so an unanswered batch
// is sent again before that.
constexpr net::Time kResponseTimeout = 200ms;
constexpr net::Time kMinRetryDelay = 20ms;  // doubled after each retry, up to kMaxRetryDelay
constexpr net::Time kMaxRetryDelay = 320ms;
constexpr std::size_t kMaxBatchSize = 256;

}  // namespace

std::string FormatNotice(const std::string& id, const journal::Ending& ending) {
  nlohmann::json line = {{"id", id}, {"status", ending.deferred ? "deferred" : "undeliverable"}};
  if (ending.deferred && ending.retry_after_ms > 0) line["again_ms"] = ending.retry_after_ms;
  return line.dump() + "\n";
}

HttpNoticeSender::HttpNoticeSender(net::Loop& loop, const net::Address& address, std::string host,
                                   relay::Counters& counters)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      counters_(counters),
      parser_(*this),
      retry_delay_(kMinRetryDelay),
      send_timer_(loop, [this] { SendBatch(); }),
      response_timer_(loop, [this] { Retry(); }) {}

void HttpNoticeSender::Post(const std::string& id, const journal::Ending& ending) {
  pending_[id] = FormatNotice(id, ending);
  if (in_flight_.empty() && !send_timer_.active()) send_timer_.After(net::Time(0));
}

// The batch in flight may have been accepted at the old address. It is sent again nevertheless, because a
// duplicate notice does no harm and a lost one would.
void HttpNoticeSender::SetServer(const net::Address& address, std::string host) {
  address_ = address;
  host_ = std::move(host);
  CloseConnection();
  response_timer_.Stop();
  in_flight_.clear();
  retry_delay_ = kMinRetryDelay;
  send_timer_.After(net::Time(0));
}

void HttpNoticeSender::Stop() {
  CloseConnection();
  response_timer_.Stop();
  send_timer_.Stop();
  pending_.clear();
  in_flight_.clear();
}

void HttpNoticeSender::SendBatch() {
  if (pending_.empty() || !in_flight_.empty()) return;
  for (const auto& [id, line] : pending_) {
    if (in_flight_.size() < kMaxBatchSize) in_flight_.push_back(id);
  }
  response_timer_.After(kResponseTimeout);
  if (connection_ != nullptr && connection_->IsIdle()) return WriteBatch();
  CloseConnection();
  connection_ = net::Connection::Open(loop_, address_, *this);
  if (connection_ == nullptr) Retry();
}

void HttpNoticeSender::WriteBatch() {
  if (in_flight_.empty()) return;
  std::string body;
  for (const std::string& id : in_flight_) body += pending_[id];
  parser_.Reset();
  connection_->Send("POST /v1/outcomes HTTP/1.1\r\nHost: " + host_ +
                    "\r\nContent-Type: application/x-ndjson\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
}

void HttpNoticeSender::OnBytes(proto::RingBuffer& received) {
  while (!received.empty() && connection_ != nullptr) {
    if (in_flight_.empty()) return Retry();  // the bytes belong to no request
    received.Consume(parser_.Feed(received.Front()));
    if (parser_.state() == proto::HttpResponseParser::State::kInvalid) return Retry();
  }
}

void HttpNoticeSender::OnComplete(bool keep_alive) {
  if (status_ != 204) return Retry();
  response_timer_.Stop();
  retry_delay_ = kMinRetryDelay;
  for (const std::string& id : std::exchange(in_flight_, {})) {
    pending_.erase(id);
    relay_->NoticeAccepted(id);
  }
  if (!keep_alive) CloseConnection();
  if (!pending_.empty()) send_timer_.After(net::Time(0));
}

void HttpNoticeSender::Retry() {
  CloseConnection();
  response_timer_.Stop();
  if (in_flight_.empty()) return;
  counters_.notice_retries += 1;
  in_flight_.clear();
  send_timer_.After(retry_delay_);
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
}

void HttpNoticeSender::CloseConnection() {
  if (connection_ != nullptr) connection_->Close();
  loop_.DestroyLater(std::move(connection_));
}

}  // namespace oxbowspread::notice
