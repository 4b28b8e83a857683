// One life of a relay on a virtual clock: the real core, module, journal and host book, with lines to hosts
// that are numbers instead of sockets. In place of `client`, `endpoint::Pool`, `routing` and `notice`.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "endpoint/hosts.hpp"
#include "journal/journal.hpp"
#include "model/world.hpp"
#include "relay/counters.hpp"
#include "relay/relay.hpp"
#include "wheathub/list_lease.hpp"
#include "wheathub/list_subscription.hpp"

namespace oxbowspread::lab {

using model::Time;

class Node final : private relay::Clock, private relay::EndpointTransport, private relay::NoticeSender {
 public:
  // What surrounds it. Outlives it.
  class Around {
   public:
    virtual ~Around() = default;
    virtual Time Now() const = 0;  // of the day
    virtual void At(Time moment, std::function<void()> what) = 0;
    virtual void Tell(model::Input input) = 0;  // the world hears of it within the same moment
    virtual std::uint64_t NextCall(int relay) = 0;
    virtual bool Connect(const std::string& address) = 0;
    virtual void Disconnect(const std::string& address) = 0;
    virtual void Ended(int relay) = 0;  // after Terminate; the node is destroyed after this call
  };

  struct Options {
    int number = 0;
    std::string folder;  // its journal's; lasts from one life to the next
    std::size_t disk_bytes = 3'000'000;
    std::size_t most_lines = 500;
    std::uint64_t seed = 0;
    Time keepalive{15'000'000};
    std::uint64_t list_calls_before = 0;  // numbers that earlier lives may have used
  };

  // Recovers what its journal owes. Throws what the journal throws.
  Node(const Options& options, const wheathub::Settings& settings, Around& around,
       const model::SendList& known);
  // As a SIGKILL does: what is out is dropped, who waits hears that the connection broke.
  ~Node();

  void Take(const model::SubmitMessage& in, const std::string& body);
  void Leave(std::uint64_t hand);
  void Answer(const model::AnswerCall& answer);
  void Break(std::uint64_t call);
  void Adopt(const model::SendList& list);
  void Refuse(const model::RefuseList& refused);
  void Beat(const model::SendHeartbeat& beat);
  void BreakList(std::uint64_t call);  // the watch breaks off in the middle of a message
  void MoveDiscovery();
  void Terminate();
  // SIGSTOP and SIGCONT. Timers that fall due in between come at the end, in their order; whoever tells it
  // anything tells it through Meet, so that this does too.
  void Stop();
  void Continue();
  void Meet(std::function<void()> what);  // now, or once it goes on; not once this life is over
  const relay::Counters& counters() const { return counters_; }
  std::size_t held() const { return relay_->held(); }

 private:
  struct Hand;
  Time LainUnread() const;
  void TellWaits(const std::vector<std::string>& hosts);
  struct Call {
    relay::AttemptId attempt;
    std::string host, address;
  };
  struct Pool {
    std::string address;
    std::vector<Time> free_since;  // of idle lines, in the order in which they got free
  };

  Time Now() const override;
  Time UnixNow() const override;
  void WakeAt(Time moment) override;
  void ApplyRoutingChange(const relay::RoutingChange& change) override;
  void StartAttempt(relay::AttemptRequest order) override;
  bool CancelAttempt(const relay::AttemptId& attempt) override;
  void CloseIdle(const std::string& host) override;
  void SetListValidUntil(Time moment) override { hosts_.SetListValidUntil(moment); }
  void StepList(const wheathub::ListSubscription::Event& event);
  void ListHeard(std::uint64_t call);
  void TellLease(const wheathub::ListLease::Event& event);
  wheathub::ListSubscription::CallNumber NumberOf(std::uint64_t call) const;
  std::uint64_t CallOf(wheathub::ListSubscription::CallNumber number) const;
  void Post(const std::string& id, const journal::Ending& ending) override;

  void Later(Time after, std::function<void()> what);  // not once this life is over
  void Fail(const relay::AttemptId& attempt, wheathub::Outcome outcome);
  bool TakeLine(const std::string& host, const std::string& address, Time now);
  void GiveLine(const std::string& host, const std::string& address);
  void CloseLine(const std::string& address);
  bool MakeRoom();
  void Expire(std::uint64_t call);
  void Sweep();
  void LookAtEnd();
  relay::RoutingChange ChangeOf(const model::SendList& list, bool remembered) const;

  Options options_;
  Around& around_;
  relay::Counters counters_;
  endpoint::Hosts hosts_;
  std::unique_ptr<journal::Journal> journal_;
  std::unique_ptr<relay::Relay> relay_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t wake_ = 0;
  bool stopped_ = false;
  Time unread_since_{-1};  // what is told now was missed from then on; below 0: nothing is
  std::vector<std::function<void()>> missed_;  // while it was stopped
  std::int64_t version_ = 0;
  wheathub::ListSubscription list_;
  wheathub::ListLease lease_;
  std::map<wheathub::ListSubscription::CallNumber, Time> list_calls_begun_;  // unanswered
  std::uint64_t list_calls_before_ = 0;  // of earlier lives: no two calls share a number
  std::uint64_t list_alarm_ = 0;         // the one that counts
  std::map<std::string, Pool> pools_;
  std::size_t lines_ = 0;
  std::map<std::uint64_t, Call> calls_;
  std::map<relay::AttemptId, std::uint64_t> by_attempt_;
  std::map<std::uint64_t, std::unique_ptr<Hand>> hands_;
  Time terminated_{-1}, last_hand_{0};
  bool settled_ = false;
};

}  // namespace oxbowspread::lab
