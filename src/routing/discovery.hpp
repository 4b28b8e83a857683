// Discovery as the relay's routing table: a watch that stays open, or one fetch of the whole list.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "proto/http.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"
#include "routing/list.hpp"

namespace oxbowspread::routing {

class Discovery final : public relay::RoutingTable {
 public:
  Discovery(net::Loop& loop, const net::Address& address, std::string host, Names names,
            relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  void Known(std::int64_t revision) { revision_ = revision; }
  // Zones and kinds are named so from now on.
  void SetNames(Names names) { names_ = std::move(names); }
  // Discovery is somewhere else now: what is asked for is asked for there, at once.
  void MoveTo(const net::Address& address, std::string host);

  // A watch that stood and falls silent is opened anew at once, without a word to the core. A list that is
  // older than what is known is passed over, unless nothing else comes for 10 s.
  void Watch() override;
  void Fetch() override;
  // A watch before the module asks for one, which then is that one.
  void WatchAhead();
  // Nothing is asked for any more.
  void Stop();

 private:
  // One call: its connection, its answer, and how long it may stay silent.
  class Call final : public net::Connection::User, private proto::HttpReader::Handler {
   public:
    Call(Discovery& discovery, bool watch);
    bool Open(const std::string& request);
    void Close();

   private:
    void OnConnected() override;
    void OnBytes(proto::RingBuffer& in) override;
    void OnClosed() override { Fail(); }
    void OnHead(const proto::HttpHead& head) override;
    void OnBody(std::string_view bytes) override;
    void OnWhole(bool keep_alive) override;
    bool TakeList(std::string_view text);
    void Fail();
    void FallSilent();

    Discovery& discovery_;
    bool watch_;
    bool over_ = false;
    proto::HttpReader reader_;
    std::unique_ptr<net::Connection> connection_;
    net::Timer silence_;
    std::string request_;
    std::string text_;     // of a fetch
    ListStream objects_;   // of a watch
    bool stands_ = false;  // its answer has begun
  };

  void Begin();
  void FoundBehind();
  void Start(std::unique_ptr<Call>& call, bool watch, const std::string& path);
  void Ended(Call& call, bool failed);

  net::Loop& loop_;
  net::Address address_;
  std::string host_;
  Names names_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  std::int64_t revision_ = 0;
  std::unique_ptr<Call> watch_, fetch_;
  bool asked_ = false;  // to watch, at any time
  bool ahead_ = false;  // a watch was begun that the module has yet to ask for
  net::Timer failed_;
  net::Timer behind_;  // runs while all that comes is older than what is known
};

}  // namespace oxbowspread::routing
