// One connection to an endpoint, which carries one call at a time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "proto/http.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::endpoint {

// A host closes an idle line at its keepalive at the latest, and what is written to it from then on is a
// reset that may have run: lines are retired after this share of it, while the host surely still holds them.
inline constexpr double kKeepShare = 0.8;
// What follows an answer that brought more than belongs to it may come a moment later, and must not be taken
// for the answer to the next call.
inline constexpr net::Time kRest{30'000};
inline constexpr net::Time kSweepEach{200'000};  // for old lines and hosts

class Line final : public net::Connection::Handler, private proto::HttpResponseParser::Handler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // Connected: the call's bytes, or nothing if it may not be written any more.
    virtual std::optional<std::string> OnWritable(Line& line) = 0;
    // Of the call that was that attempt; the line lives on.
    virtual void OnEnd(Line& line, const relay::AttemptId& attempt, const relay::AttemptResult& end) = 0;
    virtual void OnFree(Line& line) = 0;  // ready for the next call
    virtual void OnLost(Line& line) = 0;  // no use any more
    virtual void OnSpoilt() = 0;          // an answer that can't be read
  };

  // A line belongs to a host and an address: another host may get the address, the host another address.
  Line(net::Loop& loop, Owner& owner, std::string host, const net::Address& address);

  // Connects; false when no socket could be had.
  bool Open();
  // The next call on a line that stands ready.
  void Carry(relay::AttemptRequest order);
  bool busy() const { return order_.has_value(); }
  bool ready() const { return connection_ != nullptr && connection_->IsIdle() && !answering_; }
  bool connected() const { return connection_ != nullptr && connection_->connected(); }
  const relay::AttemptRequest& order() const { return *order_; }
  const std::string& host() const { return host_; }
  const net::Address& address() const { return address_; }
  net::Time free_since() const { return free_since_; }
  bool used() const { return used_; }  // has brought an answer
  // Takes at once what has come of an answer; the owner may be called.
  void ReadNow() {
    if (connection_ != nullptr) connection_->ReadNow();
  }
  // Gives up: what is out may have run if its last byte is written.
  void Cut();
  // The call's last byte has been handed to the system.
  bool written() const { return wrote_ && connection_ != nullptr && connection_->flushed(); }

 private:
  void OnConnected() override { Write(); }
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override;
  void OnHead(const proto::HttpResponseHead& head) override { head_ = head; }
  void OnBody(std::string_view) override {}
  void OnComplete(bool keep_alive) override;
  void Write();
  void End(const relay::AttemptResult& end);
  void EndAttempt(const relay::AttemptResult& end);
  void AwaitAnswer();
  void Spoilt();
  void Lose();
  void OnDue();

  net::Loop& loop_;
  Owner& owner_;
  std::string host_;
  net::Address address_;
  proto::HttpResponseParser reader_;
  proto::HttpResponseHead head_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer timer_;
  std::optional<relay::AttemptRequest> order_;
  bool wrote_ = false;      // the call's first byte
  bool answering_ = false;  // an answer has begun and is not whole yet
  bool keep_ = false;       // the last answer lets the line live on
  bool used_ = false;
  bool lost_ = false;
  net::Time free_since_{0};
};

// What an answer means for its call.
relay::AttemptResult MeaningOf(const proto::HttpResponseHead& head);
std::string CallText(const relay::AttemptRequest& order, net::Time left);

}  // namespace oxbowspread::endpoint
