// Discovery on sockets: carries out the calls that ListSubscription orders, and hands on what they bring. It
// decides nothing about time.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection.hpp"
#include "proto/http.hpp"
#include "relay/counters.hpp"
#include "relay/relay.hpp"
#include "routing/list.hpp"
#include "wheathub/list_lease.hpp"
#include "wheathub/list_subscription.hpp"

namespace oxbowspread::routing {

class Discovery final {
 public:
  struct Place {
    net::Address address;
    std::string host;  // for the Host header
  };

  Discovery(net::Loop& loop, Place place, Names names, relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  // The version of the list that is known.
  void Known(std::int64_t revision) { revision_ = revision; }
  // Zones and kinds are named so from now on.
  void SetNames(Names names) { names_ = std::move(names); }

  // From now on the list is kept up to date. `inherited` where another process did so until now.
  void Start(const wheathub::ListSubscription::Options& options, std::uint64_t seed,
             const std::optional<wheathub::ListLease::Inherited>& inherited);
  // Until when the list may be used.
  net::Time list_valid_until() const { return lease_.valid_until(); }
  void SetOptions(const wheathub::ListSubscription::Options& options);
  // Discovery is somewhere else now.
  void MoveTo(Place place);
  // Nothing is asked for any more.
  void Stop();
  // Since discovery last said anything whole: up to 2 s while all is well.
  net::Time age() const { return net::Loop::Now() - heard_at_; }

 private:
  using Subscription = wheathub::ListSubscription;
  using Number = Subscription::CallNumber;

  // Why a call for the list, or the subscription that it had become, is over.
  enum class CallEnd {
    kNoSocket,
    kNotConnected,
    kRefused,     // by a status other than 200
    kClosed,      // by discovery, before it had told a list
    kUnreadable,  // what came is no list
    kEnded,       // the subscription, by discovery
    kGivenUp,     // unanswered for too long
    kNotNeeded,   // another call was answered
    kMoved,       // discovery is somewhere else
  };
  static const char* NameOf(CallEnd end);

  // One call, from its connection's start to its end: first unanswered, then the subscription.
  class Call final : public net::Connection::Handler, private proto::HttpResponseParser::Handler {
   public:
    Call(Discovery& discovery, Number number);
    bool Open(const Place& place, std::int64_t from_revision);
    void Close();
    // Takes what has come unread, then closes.
    void ReadAndClose();
    // Discovery has moved: what this one still tells drains counts, and it tells of no life any more.
    void Leave() { leaving_ = true; }
    Number number() const { return number_; }
    net::Time age() const { return net::Loop::Now() - started_; }
    net::Time started() const { return started_; }
    bool connected() const { return connected_; }
    bool subscribed() const { return listed_; }
    // Part of a message has come, and the rest has not.
    bool in_message() const { return stream_.held() > 0; }

   private:
    void OnConnected() override;
    void OnBytes(proto::RingBuffer& in) override;
    void OnClosed() override;
    void OnHead(const proto::HttpResponseHead& head) override;
    void OnBody(std::string_view bytes) override;
    void OnComplete(bool keep_alive) override;
    void Fail(CallEnd end);

    Discovery& discovery_;
    Number number_;
    net::Time started_ = net::Loop::Now();
    bool connected_ = false;  // once
    bool over_ = false;
    bool leaving_ = false;
    proto::HttpResponseParser reader_;
    std::unique_ptr<net::Connection> connection_;
    std::string request_;
    ListStream stream_;
    bool listed_ = false;  // has told a list; until then nothing is an answer
  };

  void Tell(const Subscription::Event& event);
  // What the end of that call says of discovery.
  void TellLeaseOfEnd(const Call& call, CallEnd end);
  void TellLease(const wheathub::ListLease::Event& event) { TellLease(event, net::Loop::Now()); }
  void TellLease(const wheathub::ListLease::Event& event, net::Time at);
  net::Time HeardOn(const Call& call) const;
  void LeaseOver();
  // Whether a call has waited so long for its connection that discovery can't be reached.
  const Call* ConnectsInVain() const;  // null: none does
  void Open(const Subscription::Call& call);
  Call* Find(Number number) const;
  void LeaveOldPlace();
  void CloseLeaving();
  void Left(const Call& call);
  bool TakeDrains(std::string_view text);
  void Drop(Number number, CallEnd end);
  void CloseAll(CallEnd end);
  void Heard(Number number);
  void Failed(Number number, CallEnd end);
  static void LogEnd(const Call& call, CallEnd end);
  bool TakeList(std::string_view text);
  void NoteUnreadable(const std::vector<std::string>& entries);

  net::Loop& loop_;
  Place place_;
  Names names_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  std::unique_ptr<Subscription> subscription_;  // once started
  wheathub::ListLease lease_;
  std::vector<std::unique_ptr<Call>> calls_;
  std::vector<std::unique_ptr<Call>> leaving_;  // to where discovery was before
  std::int64_t revision_ = 0;
  net::Time started_ = net::Loop::Now();
  net::Time heard_at_ = started_;
  std::string last_unreadable_;  // named in the log last
  net::Timer alarm_;
  net::Timer lease_over_;
  net::Timer leaving_over_;
  net::Timer behind_;  // runs while all that comes is older than what is known
};

}  // namespace oxbowspread::routing
