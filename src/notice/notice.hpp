// Sends notices about the end of undelivered messages to the platform over HTTP, and repeats each notice
// until the platform has accepted it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.hpp"
#include "proto/http.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::notice {

// Sends one batch of notices at a time over one connection. The loop, the counters and the attached relay
// must outlive it.
class HttpNoticeSender final : public relay::NoticeSender,
                               private net::Connection::Handler,
                               private proto::HttpResponseParser::Handler {
 public:
  HttpNoticeSender(net::Loop& loop, const net::Address& address, std::string host, relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }

  // Changes the address of the platform. Pending and unanswered notices are sent to the new address
  // immediately.
  void SetServer(const net::Address& address, std::string host);
  // Stops sending and drops all pending notices.
  void Stop();
  void Post(const std::string& id, const journal::Ending& ending) override;

 private:
  void OnConnected() override { WriteBatch(); }
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override { Retry(); }
  void OnHead(const proto::HttpResponseHead& head) override { status_ = head.status; }
  void OnBody(std::string_view) override {}
  void OnComplete(bool keep_alive) override;
  void SendBatch();
  void WriteBatch();
  void Retry();
  void CloseConnection();

  net::Loop& loop_;
  net::Address address_;
  std::string host_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  proto::HttpResponseParser parser_;
  std::unique_ptr<net::Connection> connection_;
  net::Time retry_delay_;
  net::Timer send_timer_;                       // starts the next batch or retry
  net::Timer response_timer_;                   // response timeout of the batch in flight
  std::map<std::string, std::string> pending_;  // notice lines by message id
  std::vector<std::string> in_flight_;          // message ids in the batch in flight
  int status_ = 0;
};

// Returns the notice as one line of JSON, including the line end.
std::string FormatNotice(const std::string& id, const journal::Ending& ending);

}  // namespace oxbowspread::notice
