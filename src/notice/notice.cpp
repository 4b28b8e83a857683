#include "notice/notice.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace oxbowspread::notice {
namespace {

using namespace std::chrono_literals;

// A notice is late 300 ms after its message's time: a platform that stays silent is asked anew well before.
constexpr net::Time kAnswerWithin = 200ms;
constexpr net::Time kRetryFirst = 20ms;  // then doubling
constexpr net::Time kRetryMost = 320ms;
constexpr std::size_t kMostInOne = 256;

}  // namespace

std::string NoticeLine(const std::string& id, const journal::Ending& ending) {
  nlohmann::json line = {{"id", id}, {"status", ending.deferred ? "deferred" : "undeliverable"}};
  if (ending.deferred && ending.retry_after_ms > 0) line["again_ms"] = ending.retry_after_ms;
  return line.dump() + "\n";
}

Poster::Poster(net::Loop& loop, const net::Address& address, std::string host, relay::Counters& counters)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      counters_(counters),
      reader_(*this),
      retry_after_(kRetryFirst),
      next_(loop, [this] { Next(); }),
      silence_(loop, [this] { Retry(); }) {}

void Poster::Post(const std::string& id, const journal::Ending& ending) {
  owed_[id] = NoticeLine(id, ending);
  if (out_.empty() && !next_.active()) next_.After(net::Time(0));
}

// What is out may have been taken at the old address; telling it twice does no harm, losing it would.
void Poster::MoveTo(const net::Address& address, std::string host) {
  address_ = address;
  host_ = std::move(host);
  Drop();
  silence_.Stop();
  out_.clear();
  retry_after_ = kRetryFirst;
  next_.After(net::Time(0));
}

void Poster::Stop() {
  Drop();
  silence_.Stop();
  next_.Stop();
  owed_.clear();
  out_.clear();
}

void Poster::Next() {
  if (owed_.empty() || !out_.empty()) return;
  for (const auto& [id, line] : owed_) {
    if (out_.size() < kMostInOne) out_.push_back(id);
  }
  silence_.After(kAnswerWithin);
  if (connection_ != nullptr && connection_->IsIdle()) return Write();
  Drop();
  connection_ = net::Connection::Open(loop_, address_, *this);
  if (connection_ == nullptr) Retry();
}

void Poster::Write() {
  if (out_.empty()) return;
  std::string body;
  for (const std::string& id : out_) body += owed_[id];
  reader_.Reset();
  connection_->Send("POST /v1/outcomes HTTP/1.1\r\nHost: " + host_ +
                    "\r\nContent-Type: application/x-ndjson\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Poster::OnBytes(proto::RingBuffer& in) {
  while (!in.empty() && connection_ != nullptr) {
    if (out_.empty()) return Retry();  // bytes that answer nothing
    in.Consume(reader_.Feed(in.Front()));
    if (reader_.state() == proto::HttpResponseParser::State::kInvalid) return Retry();
  }
}

void Poster::OnComplete(bool keep_alive) {
  if (status_ != 204) return Retry();
  silence_.Stop();
  retry_after_ = kRetryFirst;
  for (const std::string& id : std::exchange(out_, {})) {
    owed_.erase(id);
    relay_->NoticeAccepted(id);
  }
  if (!keep_alive) Drop();
  if (!owed_.empty()) next_.After(net::Time(0));
}

void Poster::Retry() {
  Drop();
  silence_.Stop();
  if (out_.empty()) return;
  counters_.notice_retries += 1;
  out_.clear();
  next_.After(retry_after_);
  retry_after_ = std::min(retry_after_ * 2, kRetryMost);
}

void Poster::Drop() {
  if (connection_ != nullptr) connection_->Close();
  loop_.DestroyLater(std::move(connection_));
}

}  // namespace oxbowspread::notice
