// One process of a relay on a virtual clock: the real relay core, decision module, journal and
// endpoint::HostTable. It has numbers instead of sockets for its connections to hosts, and replaces the
// modules `client`, `endpoint::Pool`, `routing` and `notice` of the relay program.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "endpoint/host_table.hpp"
#include "journal/journal.hpp"
#include "model/platform_model.hpp"
#include "relay/counters.hpp"
#include "relay/relay.hpp"
#include "wheathub/list_lease.hpp"
#include "wheathub/list_subscription.hpp"

namespace oxbowspread::lab {

using model::Time;

// A relay process of the simulation. All calls into it and out of it happen at moments of the virtual clock.
class SimulatedRelay final : private relay::Clock,
                             private relay::EndpointTransport,
                             private relay::NoticeSender {
 public:
  // What the simulation provides to the relay. It must outlive the relay.
  class Environment {
   public:
    virtual ~Environment() = default;
    virtual Time Now() const = 0;  // time of the run
    // Runs the callback at `moment`; callbacks of one moment run in the order in which they were scheduled.
    virtual void Schedule(Time moment, std::function<void()> callback) = 0;
    virtual void Notify(model::Input input) = 0;  // the model gets the input within the same moment
    virtual std::uint64_t NextCallNumber(int relay) = 0;
    // Returns whether a host at the address accepts one more connection. Each accepted connection is released
    // by Disconnect.
    virtual bool Connect(const std::string& address) = 0;
    virtual void Disconnect(const std::string& address) = 0;
    virtual void OnExit(int relay) = 0;  // after Terminate; the relay is destroyed after this call
  };

  struct Options {
    int relay_index = 0;
    std::string folder;  // for the journal; all processes of the relay use the same one
    std::size_t disk_bytes = 3'000'000;
    std::size_t max_connections = 500;
    std::uint64_t seed = 0;
    Time keepalive{15'000'000};
    std::uint64_t list_call_offset = 0;  // list calls of earlier processes have numbers up to this one
  };

  // Recovers the messages of the journal that have not ended. `known` is the list that the relay starts with.
  // Throws the exceptions of journal::Journal.
  SimulatedRelay(const Options& options, const wheathub::Settings& settings, Environment& environment,
                 const model::SendList& known);
  // Acts as SIGKILL does: open calls lose their connection, and so do clients that wait for an answer.
  ~SimulatedRelay();

  void Submit(const model::SubmitMessage& request, const std::string& body);
  void Withdraw(std::uint64_t number);
  void AnswerCall(const model::AnswerCall& answer);
  void OnCallConnectionClosed(std::uint64_t call);
  void ApplyList(const model::SendList& list);
  void RefuseListCall(const model::RefuseList& refusal);
  void OnHeartbeat(const model::SendHeartbeat& heartbeat);
  void OnListTruncated(std::uint64_t call);  // a message is cut off and ends the subscription
  void MoveDiscovery();
  void Terminate();
  // SIGSTOP and SIGCONT. Timers that fall due meanwhile run after Resume, in their order. The simulation
  // makes all other calls through RunOrDefer, so that they are deferred too.
  void Suspend();
  void Resume();
  // Runs the callback now, or after Resume if the process is suspended; never once the process has ended.
  void RunOrDefer(std::function<void()> callback);
  const relay::Counters& counters() const { return counters_; }
  std::size_t held_messages() const { return relay_->held_count(); }

 private:
  struct Submission;
  Time TimeUnread() const;
  void ApplyHostWaits(const std::vector<std::string>& hosts);
  struct Call {
    relay::AttemptId attempt;
    std::string host, address;
  };
  struct Pool {
    std::string address;
    std::vector<Time> idle_since;  // of idle connections, oldest first
  };

  Time Now() const override;
  Time UnixNow() const override;
  void WakeAt(Time moment) override;
  void ApplyRoutingChange(const relay::RoutingChange& change) override;
  void StartAttempt(relay::AttemptRequest request) override;
  bool CancelAttempt(const relay::AttemptId& attempt) override;
  void CloseIdle(const std::string& host) override;
  void SetListValidUntil(Time moment) override { hosts_.SetListValidUntil(moment); }
  void StepList(const wheathub::ListSubscription::Event& event);
  void OnListReceived(std::uint64_t call);
  void UpdateLease(const wheathub::ListLease::Event& event);
  wheathub::ListSubscription::CallNumber ToSubscriptionCall(std::uint64_t call) const;
  std::uint64_t ToEnvironmentCall(wheathub::ListSubscription::CallNumber number) const;
  void Post(const std::string& id, const journal::Ending& ending) override;

  void RunAfter(Time after, std::function<void()> callback);  // never once this process has ended
  void FailAttempt(const relay::AttemptId& attempt, wheathub::Outcome outcome);
  bool TakeIdleConnection(const std::string& host, const std::string& address, Time now);
  void ReturnConnection(const std::string& host, const std::string& address);
  void CloseConnection(const std::string& address);
  bool EvictIdleConnection();
  void TimeOutCall(std::uint64_t call);
  void Sweep();
  void CheckShutdown();
  relay::RoutingChange ToRoutingChange(const model::SendList& list, bool remembered) const;

  Options options_;
  Environment& environment_;
  relay::Counters counters_;
  endpoint::HostTable hosts_;
  std::unique_ptr<journal::Journal> journal_;
  std::unique_ptr<relay::Relay> relay_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t wake_generation_ = 0;
  bool suspended_ = false;
  Time unread_since_{-1};  // since when deferred input may have waited; below 0: none has
  std::vector<std::function<void()>> deferred_;  // callbacks that fell due while the process was suspended
  std::int64_t version_ = 0;                     // of the list
  wheathub::ListSubscription list_;
  wheathub::ListLease lease_;
  std::map<wheathub::ListSubscription::CallNumber, Time> open_list_calls_;  // when each unanswered call began
  std::uint64_t list_call_offset_ = 0;       // keeps numbers unique across processes of the relay
  std::uint64_t list_alarm_generation_ = 0;  // timers of earlier generations are ignored
  std::map<std::string, Pool> pools_;
  std::size_t connections_ = 0;
  std::map<std::uint64_t, Call> calls_;
  std::map<relay::AttemptId, std::uint64_t> by_attempt_;
  std::map<std::uint64_t, std::unique_ptr<Submission>> submissions_;
  Time terminated_at_{-1}, last_submission_at_{0};
  bool sending_stopped_ = false;
};

}  // namespace oxbowspread::lab
