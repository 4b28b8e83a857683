// HTTP connection to an endpoint. It runs one attempt at a time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "proto/http.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::endpoint {

// Idle connections are closed after this share of the keepalive time. A host closes them after the full time
// at the latest. A request that is written at that moment is reset, and may or may not have run.
inline constexpr double kKeepaliveShare = 0.8;
// Minimum idle time before a connection is used again. Surplus bytes after a response may arrive a moment
// later, and must not be read as the response to the next request.
inline constexpr net::Time kReuseDelay{30'000};
// Interval between checks for expired connections and hosts.
inline constexpr net::Time kSweepInterval{200'000};

// The connection of a Pool to one host.
class EndpointConnection final : public net::Connection::Handler, private proto::HttpResponseParser::Handler {
 public:
  // Receives the events of a connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The connection is established and the request can be written. Returns the bytes of the request, or
    // nothing if it may no longer be written.
    virtual std::optional<std::string> OnWritable(EndpointConnection& connection) = 0;
    // The attempt has ended. OnIdle or OnUnusable follows once the response is complete or the connection has
    // failed.
    virtual void OnAttemptEnd(EndpointConnection& connection, const relay::AttemptId& attempt,
                              const relay::AttemptResult& result) = 0;
    virtual void OnIdle(EndpointConnection& connection) = 0;      // ready for the next attempt
    virtual void OnUnusable(EndpointConnection& connection) = 0;  // closed, or must not be used again
    virtual void OnInvalidResponse() = 0;  // a response could not be parsed or was not completed
  };

  // A connection belongs to one host and one address, because either may change: another host may be assigned
  // the address, or the host may be assigned another address. `owner` must outlive the connection.
  EndpointConnection(net::Loop& loop, Owner& owner, std::string host, const net::Address& address);

  // Starts to connect. Returns false if no socket could be created.
  bool Open();
  // Starts an attempt on a connection that is connecting or ready, and not busy.
  void StartAttempt(relay::AttemptRequest request);
  bool busy() const { return request_.has_value(); }
  bool ready() const { return connection_ != nullptr && connection_->IsIdle() && !receiving_response_; }
  bool connected() const { return connection_ != nullptr && connection_->connected(); }
  const relay::AttemptRequest& request() const { return *request_; }
  const std::string& host() const { return host_; }
  const net::Address& address() const { return address_; }
  net::Time idle_since() const { return idle_since_; }
  bool used() const { return used_; }  // whether a response was completed on it
  // Reads the bytes that have arrived without waiting for the loop. May call the owner.
  void ReadNow() {
    if (connection_ != nullptr) connection_->ReadNow();
  }
  // Closes the connection without a callback. An attempt in flight may have run if its last byte was written.
  void Abort();
  // Returns whether the last byte of the request has been passed to the kernel.
  bool fully_written() const { return write_started_ && connection_ != nullptr && connection_->flushed(); }

 private:
  void OnConnected() override { WriteRequest(); }
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override;
  void OnHead(const proto::HttpResponseHead& head) override { head_ = head; }
  void OnBody(std::string_view) override {}
  void OnComplete(bool keep_alive) override;
  void WriteRequest();
  // Ends an attempt whose request was not written. The connection stays open if it can be reused.
  void EndUnwritten(const relay::AttemptResult& result);
  void EndAttempt(const relay::AttemptResult& result);
  void AwaitResponse();
  void FailInvalidResponse();
  // Closes the connection, ends its attempt and notifies the owner with OnUnusable. Later calls do nothing.
  void Discard();
  void OnTimeout();

  net::Loop& loop_;
  Owner& owner_;
  std::string host_;
  net::Address address_;
  proto::HttpResponseParser parser_;
  proto::HttpResponseHead head_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer timer_;
  std::optional<relay::AttemptRequest> request_;
  bool write_started_ = false;       // the first byte of the request was written
  bool receiving_response_ = false;  // a response has begun and is not complete yet
  bool reusable_ = false;            // the request was fully written before its response began
  bool used_ = false;
  bool discarded_ = false;
  net::Time idle_since_{0};
};

// Returns the result of an attempt that was answered with that status and those headers.
relay::AttemptResult InterpretResponse(const proto::HttpResponseHead& head);
// Returns the HTTP request for an attempt. `time_left` is the time until its timeout.
std::string FormatRequest(const relay::AttemptRequest& request, net::Time time_left);

}  // namespace oxbowspread::endpoint
