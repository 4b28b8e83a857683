// Client of the discovery service: makes the calls that wheathub::ListSubscription asks for, and passes the
// received lists to the relay. The timing of calls and retries is decided by ListSubscription and ListLease.
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

// Keeps the relay's routing table up to date. The loop, the counters and the attached relay must outlive it.
class DiscoveryClient final {
 public:
  // Where the discovery service listens.
  struct Server {
    net::Address address;
    std::string host;  // for the Host header
  };

  DiscoveryClient(net::Loop& loop, Server server, ZoneAndKindNames names, relay::Counters& counters);
  // Sets the relay that receives the lists. Must be called before Start.
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  // Sets the version of the list that is already known, before Start.
  void SetKnownRevision(std::int64_t revision) { revision_ = revision; }
  // Changes the names of zones and kinds for lists received from now on.
  void SetNames(ZoneAndKindNames names) { names_ = std::move(names); }

  // Starts to keep the list up to date. `inherited` is the lease of the process that did so until now, if
  // this process takes over from one.
  void Start(const wheathub::ListSubscription::Options& options, std::uint64_t seed,
             const std::optional<wheathub::ListLease::Inherited>& inherited);
  // The time until which the list may be used.
  net::Time list_valid_until() const { return lease_.valid_until(); }
  // Changes the timing of the subscription. Does nothing before Start.
  void SetOptions(const wheathub::ListSubscription::Options& options);
  // Changes the address of discovery.
  void SetServer(Server server);
  // Closes all calls and opens no new ones.
  void Stop();
  // Time since the last complete message from discovery; up to 2 s in normal operation.
  net::Time time_since_received() const { return net::Loop::Now() - last_received_at_; }

 private:
  using Subscription = wheathub::ListSubscription;
  using CallNumber = Subscription::CallNumber;

  // Why a call for the list, or the subscription that it became, has ended.
  enum class CallEnd {
    kNoSocket,
    kNotConnected,
    kRefused,        // with a status other than 200
    kClosed,         // by discovery, before it sent a list
    kUnreadable,     // invalid data was received
    kEnded,          // discovery has ended the subscription
    kGivenUp,        // no answer for too long
    kSuperseded,     // another call has become the subscription, or the client stops
    kServerChanged,  // discovery's address has changed
  };
  static const char* NameOf(CallEnd end);

  // One HTTP call for the list, from connecting to closing. Becomes the subscription when it has received its
  // first list.
  class Call final : public net::Connection::Handler, private proto::HttpResponseParser::Handler {
   public:
    Call(DiscoveryClient& discovery, CallNumber number);
    bool Open(const Server& server, std::int64_t from_revision);
    void Close();
    // Processes the bytes that have arrived, then closes the connection.
    void ReadAndClose();
    // Called when discovery's address has changed. Drains that still arrive on this call are applied, but its
    // messages no longer show that discovery is alive.
    void Detach() { detached_ = true; }
    CallNumber number() const { return number_; }
    net::Time age() const { return net::Loop::Now() - started_; }
    net::Time started() const { return started_; }
    bool connected() const { return connected_; }
    bool subscribed() const { return received_list_; }
    // Whether a message has been received only in part.
    bool in_message() const { return stream_.pending_bytes() > 0; }

   private:
    void OnConnected() override;
    void OnBytes(proto::RingBuffer& received) override;
    void OnClosed() override;
    void OnHead(const proto::HttpResponseHead& head) override;
    void OnBody(std::string_view bytes) override;
    void OnComplete(bool keep_alive) override;
    void Finish(CallEnd end);

    DiscoveryClient& discovery_;
    CallNumber number_;
    net::Time started_ = net::Loop::Now();
    bool connected_ = false;  // the connection has been established, even if it is closed by now
    bool finished_ = false;
    bool detached_ = false;
    proto::HttpResponseParser parser_;
    std::unique_ptr<net::Connection> connection_;
    std::string request_;
    JsonStreamSplitter stream_;
    bool received_list_ = false;  // no received byte counts as an answer before the first list
  };

  void StepSubscription(const Subscription::Event& event);
  // Passes the event that follows from the end of that call, if any, to the lease.
  void ReportCallEndToLease(const Call& call, CallEnd end);
  void StepLease(const wheathub::ListLease::Event& event) { StepLease(event, net::Loop::Now()); }
  void StepLease(const wheathub::ListLease::Event& event, net::Time event_time);
  // Returns the earliest time at which bytes that are now read from that call may have arrived.
  net::Time EarliestArrivalOn(const Call& call) const;
  void OnLeaseExpired();
  // Returns a call that has been connecting for so long that discovery counts as unreachable; null if there
  // is none.
  const Call* FindUnconnectedCall() const;
  void OpenCall(const Subscription::Call& call);
  Call* FindCall(CallNumber number) const;
  // Moves the open calls to detached_calls_, where they stay until discovery closes them or a time-out.
  void DetachCalls();
  void CloseDetached();
  void OnDetachedClosed(const Call& call);
  // Applies only the drains and removals of a list. Returns false if it can't be parsed.
  bool ApplyStaleList(std::string_view text);
  void CloseCall(CallNumber number, CallEnd end);
  void CloseAll(CallEnd end);
  // A complete message has arrived on that call.
  void OnMessageReceived(CallNumber number);
  // That call has failed, or discovery has ended it.
  void OnCallFailed(CallNumber number, CallEnd end);
  static void LogEnd(const Call& call, CallEnd end);
  // Passes a list on to the relay. Returns false if it can't be parsed.
  bool ApplyList(std::string_view text);
  void ReportInvalidEntries(const std::vector<std::string>& entries);

  net::Loop& loop_;
  Server server_;
  ZoneAndKindNames names_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  std::unique_ptr<Subscription> subscription_;  // null until started
  wheathub::ListLease lease_;
  std::vector<std::unique_ptr<Call>> calls_;
  std::vector<std::unique_ptr<Call>> detached_calls_;  // to discovery's previous address
  std::int64_t revision_ = 0;
  net::Time started_ = net::Loop::Now();
  net::Time last_received_at_ = started_;
  std::string last_reported_invalid_;  // id of the invalid entry that was logged last
  net::Timer subscription_timer_;
  net::Timer lease_timer_;
  net::Timer detach_timer_;
  net::Timer stale_timer_;  // runs while all received lists are older than the known list
};

}  // namespace oxbowspread::routing
