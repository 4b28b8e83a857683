#include "endpoint/line.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace oxbowspread::endpoint {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

// From its first byte an answer must be whole within this: one that isn't is spoilt, and the attempt must not
// wait for its deadline.
constexpr net::Time kAnswerWithin = 400ms;
constexpr std::uint64_t kLongestAnswer = 128 * 1024;  // a body holds 64 KiB at most
constexpr double kLongestWaitS = 3600;

}  // namespace

relay::AttemptResult MeaningOf(const proto::HttpResponseHead& head) {
  relay::AttemptResult end;
  switch (head.status) {
    case 200:
      return end;
    case 410:
      end.outcome = Outcome::kNotSent;
      end.closes_message = true;
      return end;
    case 429:
    case 503: {
      const std::string* slots = head.Find("x-over-slots");
      end.outcome = slots != nullptr && *slots == "1" ? Outcome::kNotSent : Outcome::kRefused;
      const std::string* after = head.Find("retry-after");
      double seconds = 0;
      if (after != nullptr) std::from_chars(after->data(), after->data() + after->size(), seconds);
      if (std::isfinite(seconds) && seconds > 0) {
        end.retry_after = net::Time(std::llround(std::min(seconds, kLongestWaitS) * 1e6));
      }
      return end;
    }
    case 504:
      end.outcome = Outcome::kNotSent;
      return end;
    default:
      end.outcome = Outcome::kError;
      return end;
  }
}

std::string CallText(const relay::AttemptRequest& order, net::Time left) {
  const auto ms =
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
  std::string text =
      "POST /inbox HTTP/1.1\r\nHost: " + order.host + "\r\nX-Request-ID: " + order.attempt.id + "\r\n";
  if (!order.key.empty()) text += "Idempotency-Key: " + order.key + "\r\n";
  text += "X-Timeout: " + std::to_string(ms) + "m\r\n";
  return text + "Content-Length: " + std::to_string(order.body.size()) + "\r\n\r\n" + order.body;
}

Line::Line(net::Loop& loop, Owner& owner, std::string host, const net::Address& address)
    : loop_(loop),
      owner_(owner),
      host_(std::move(host)),
      address_(address),
      reader_(*this, kLongestAnswer),
      timer_(loop, [this] { OnDue(); }) {}

bool Line::Open() {
  connection_ = net::Connection::Open(loop_, address_, *this);
  return connection_ != nullptr;
}

void Line::Carry(relay::AttemptRequest order) {
  order_ = std::move(order);
  wrote_ = false;
  answering_ = false;
  timer_.At(order_->timeout_at);
  if (connected()) Write();
}

void Line::Write() {
  if (!order_) return;
  const std::optional<std::string> text = owner_.OnWritable(*this);
  if (!text) return End({Outcome::kNotSent, false, net::Time(0)});
  wrote_ = true;
  reader_.Reset();
  // When the socket fails here the loop tells, through OnClosed.
  connection_->Send(*text);
}

void Line::OnBytes(proto::RingBuffer& in) {
  while (!in.empty() && connected()) {
    // Bytes that answer nothing: whose they are can't be told, so the line must not be used again.
    if (!order_ && !answering_) return Lose();
    if (!std::exchange(answering_, true)) {
      // An answer before the call was whole: the rest of the call would be read as the next one.
      keep_ = written();
      const net::Time until = net::Loop::Now() + kAnswerWithin;
      timer_.At(order_->timeout_at < until ? order_->timeout_at : until);
    }
    in.Consume(reader_.Feed(in.Front()));
    if (order_ && reader_.at_start()) AwaitAnswer();
    // A first line with 200 is a delivery, whatever is wrong with the rest.
    if (order_ && reader_.status_line_code() == 200) EndAttempt(relay::AttemptResult());
    if (reader_.state() == proto::HttpResponseParser::State::kInvalid) return Spoilt();
  }
}

// An interim answer is over, and nothing of the next one has come: that may take its time.
void Line::AwaitAnswer() {
  answering_ = false;
  timer_.At(order_->timeout_at);
}

// Only a whole answer is believed when it says that nothing ran: the call of a spoilt one has run.
void Line::OnComplete(bool keep_alive) {
  answering_ = false;
  timer_.Stop();
  if (order_) EndAttempt(MeaningOf(head_));
  if (!keep_alive || !keep_) return Lose();
  free_since_ = net::Loop::Now();
  used_ = true;
  owner_.OnFree(*this);
}

void Line::EndAttempt(const relay::AttemptResult& end) {
  const relay::AttemptId attempt = std::move(order_->attempt);
  order_.reset();
  owner_.OnEnd(*this, attempt, end);
}

void Line::Spoilt() {
  owner_.OnSpoilt();
  if (order_) EndAttempt({Outcome::kError, false, net::Time(0)});
  Lose();
}

void Line::End(const relay::AttemptResult& end) {
  EndAttempt(end);
  // Connected, and not a byte written: as good as new.
  if (connected() && !wrote_) {
    timer_.Stop();
    free_since_ = net::Loop::Now();
    return owner_.OnFree(*this);
  }
  Lose();
}

void Line::OnClosed() {
  if (answering_) reader_.Finish();  // an answer without a length is whole now
  Lose();
}

void Line::Lose() {
  if (std::exchange(lost_, true)) return;
  // Broken before the call's last byte went out: it never ran. After that it may have.
  const bool whole = wrote_ && connection_ != nullptr && connection_->flushed();
  Cut();
  if (order_) EndAttempt({whole ? Outcome::kReset : Outcome::kNoConnection, false, net::Time(0)});
  owner_.OnLost(*this);
}

void Line::Cut() {
  timer_.Stop();
  if (connection_ != nullptr) connection_->Close();
}

void Line::OnDue() {
  // An answer that has come with the time-out counts: it may tell a wait, or that nothing ran.
  const bool carried = busy();
  ReadNow();
  const bool answered = carried && !busy() && !answering_;
  if (lost_ || answered || timer_.active()) return;
  if (answering_) return Spoilt();  // its end, or its head's, doesn't come
  if (!order_) return Lose();
  const bool sent = wrote_ && connection_->flushed();
  Cut();
  EndAttempt({sent ? Outcome::kTimedOut : Outcome::kNoConnection, false, net::Time(0)});
  Lose();
}

}  // namespace oxbowspread::endpoint
