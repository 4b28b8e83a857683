// Notices to the platform: how messages that were not delivered have ended, told until they are taken.
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

class Poster final : public relay::NoticeSender,
                     private net::Connection::Handler,
                     private proto::HttpResponseParser::Handler {
 public:
  Poster(net::Loop& loop, const net::Address& address, std::string host, relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }

  // The platform is somewhere else now: what is owed, or out unanswered, is told there, at once.
  void MoveTo(const net::Address& address, std::string host);
  // Nothing is told any more.
  void Stop();
  void Post(const std::string& id, const journal::Ending& ending) override;

 private:
  void OnConnected() override { Write(); }
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override { Retry(); }
  void OnHead(const proto::HttpResponseHead& head) override { status_ = head.status; }
  void OnBody(std::string_view) override {}
  void OnComplete(bool keep_alive) override;
  void Next();
  void Write();
  void Retry();
  void Drop();

  net::Loop& loop_;
  net::Address address_;
  std::string host_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  proto::HttpResponseParser reader_;
  std::unique_ptr<net::Connection> connection_;
  net::Time retry_after_;
  net::Timer next_;                          // the next batch, or the next try
  net::Timer silence_;                       // of a batch that is out
  std::map<std::string, std::string> owed_;  // lines by id
  std::vector<std::string> out_;             // ids in the batch that is out
  int status_ = 0;
};

std::string NoticeLine(const std::string& id, const journal::Ending& ending);

}  // namespace oxbowspread::notice
