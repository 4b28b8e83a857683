#include "endpoint/endpoint_connection.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace oxbowspread::endpoint {
namespace {

using wheathub::Outcome;
using namespace std::chrono_literals;

// Maximum time from the first byte of a response to its end. A response that takes longer is invalid, and the
// attempt ends at this limit instead of at its own timeout.
constexpr net::Time kResponseTimeout = 400ms;
constexpr std::uint64_t kMaxResponseBytes = 128 * 1024;  // a body has at most 64 KiB
constexpr double kMaxRetryAfterS = 3600;
constexpr std::string_view kRetryAfter = "retry-after", kOverSlots = "x-over-slots";
constexpr std::string_view kKeptHeaders[] = {kRetryAfter, kOverSlots};

}  // namespace

relay::AttemptResult InterpretResponse(const proto::HttpResponseHead& head) {
  relay::AttemptResult result;
  switch (head.status) {
    case 200:
      return result;
    case 410:
      result.outcome = Outcome::kNotSent;
      result.ends_message = true;
      return result;
    case 429:
    case 503: {
      const std::string* over_slots = head.Find(kOverSlots);
      result.outcome = over_slots != nullptr && *over_slots == "1" ? Outcome::kNotSent : Outcome::kRefused;
      const std::string* retry_after = head.Find(kRetryAfter);
      double seconds = 0;
      if (retry_after != nullptr)
        std::from_chars(retry_after->data(), retry_after->data() + retry_after->size(), seconds);
      if (std::isfinite(seconds) && seconds > 0) {
        result.retry_after = net::Time(std::llround(std::min(seconds, kMaxRetryAfterS) * 1e6));
      }
      return result;
    }
    case 504:
      result.outcome = Outcome::kNotSent;
      return result;
    default:
      result.outcome = Outcome::kError;
      return result;
  }
}

std::string FormatRequest(const relay::AttemptRequest& request, net::Time time_left) {
  const auto timeout_ms =
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count());
  std::string text =
      "POST /inbox HTTP/1.1\r\nHost: " + request.host + "\r\nX-Request-ID: " + request.attempt.id + "\r\n";
  if (!request.key.empty()) text += "Idempotency-Key: " + request.key + "\r\n";
  text += "X-Timeout: " + std::to_string(timeout_ms) + "m\r\n";
  return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

EndpointConnection::EndpointConnection(net::Loop& loop, Owner& owner, std::string host,
                                       const net::Address& address)
    : loop_(loop),
      owner_(owner),
      host_(std::move(host)),
      address_(address),
      parser_(*this, kMaxResponseBytes, kKeptHeaders),
      timer_(loop, [this] { OnTimeout(); }) {}

bool EndpointConnection::Open() {
  connection_ = net::Connection::Open(loop_, address_, *this);
  return connection_ != nullptr;
}

void EndpointConnection::StartAttempt(relay::AttemptRequest request) {
  request_ = std::move(request);
  write_started_ = false;
  receiving_response_ = false;
  timer_.At(request_->timeout_at);
  if (connected()) WriteRequest();
}

void EndpointConnection::WriteRequest() {
  if (!request_) return;
  const std::optional<std::string> text = owner_.OnWritable(*this);
  if (!text) return EndUnwritten({Outcome::kNotSent, false, net::Time(0)});
  write_started_ = true;
  parser_.Reset();
  // A failed write is reported through OnClosed.
  connection_->Send(*text);
}

void EndpointConnection::OnBytes(proto::RingBuffer& received) {
  while (!received.empty() && connected()) {
    // These bytes belong to no request, so the connection must not be used again.
    if (!request_ && !receiving_response_) return Discard();
    if (!std::exchange(receiving_response_, true)) {
      // If the response began before the request was fully written, the connection can't be reused, because
      // the endpoint would read the rest of this request as the next one.
      reusable_ = fully_written();
      const net::Time response_deadline = net::Loop::Now() + kResponseTimeout;
      timer_.At(request_->timeout_at < response_deadline ? request_->timeout_at : response_deadline);
    }
    received.Consume(parser_.Feed(received.Front()));
    if (request_ && parser_.at_start()) AwaitResponse();
    // A status line with 200 counts as delivered, even if the rest of the response is invalid.
    if (request_ && parser_.status_line_code() == 200) EndAttempt(relay::AttemptResult());
    if (parser_.state() == proto::HttpResponseParser::State::kInvalid) return FailInvalidResponse();
  }
}

// After an interim response the attempt's own timeout applies again until the next response begins.
void EndpointConnection::AwaitResponse() {
  receiving_response_ = false;
  timer_.At(request_->timeout_at);
}

// Only a complete response can report that the call did not run. After an invalid response the call counts as
// one that may have run.
void EndpointConnection::OnComplete(bool keep_alive) {
  receiving_response_ = false;
  timer_.Stop();
  if (request_) EndAttempt(InterpretResponse(head_));
  if (!keep_alive || !reusable_) return Discard();
  idle_since_ = net::Loop::Now();
  used_ = true;
  owner_.OnIdle(*this);
}

void EndpointConnection::EndAttempt(const relay::AttemptResult& result) {
  const relay::AttemptId attempt = std::move(request_->attempt);
  request_.reset();
  owner_.OnAttemptEnd(*this, attempt, result);
}

void EndpointConnection::FailInvalidResponse() {
  owner_.OnInvalidResponse();
  if (request_) EndAttempt({Outcome::kError, false, net::Time(0)});
  Discard();
}

void EndpointConnection::EndUnwritten(const relay::AttemptResult& result) {
  EndAttempt(result);
  // The connection can be reused, because nothing was written to it.
  if (connected() && !write_started_) {
    timer_.Stop();
    idle_since_ = net::Loop::Now();
    return owner_.OnIdle(*this);
  }
  Discard();
}

void EndpointConnection::OnClosed() {
  if (receiving_response_) parser_.Finish();  // completes a response without a length
  Discard();
}

void EndpointConnection::Discard() {
  if (std::exchange(discarded_, true)) return;
  // If the connection failed before the last byte of the request was written, the call did not run. Otherwise
  // it may have run.
  const bool fully_sent = write_started_ && connection_ != nullptr && connection_->flushed();
  Abort();
  if (request_) EndAttempt({fully_sent ? Outcome::kReset : Outcome::kNoConnection, false, net::Time(0)});
  owner_.OnUnusable(*this);
}

void EndpointConnection::Abort() {
  timer_.Stop();
  if (connection_ != nullptr) connection_->Close();
}

void EndpointConnection::OnTimeout() {
  // A response that has arrived by the time of the timeout is processed first, because it may request a wait
  // or report that the call did not run.
  const bool was_busy = busy();
  ReadNow();
  const bool has_responded = was_busy && !busy() && !receiving_response_;
  if (discarded_ || has_responded || timer_.active()) return;
  if (receiving_response_) return FailInvalidResponse();  // the response was not completed in time
  if (!request_) return Discard();
  const bool fully_sent = write_started_ && connection_->flushed();
  Abort();
  EndAttempt({fully_sent ? Outcome::kTimedOut : Outcome::kNoConnection, false, net::Time(0)});
  Discard();
}

}  // namespace oxbowspread::endpoint
