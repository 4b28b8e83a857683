// The relay core: tracks messages, their attempts and their endings, and runs the decision module. It knows
// no protocol and no socket. Its own responsibility is ordering: what must be recorded in the journal before
// it is reported to anyone.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal/journal.hpp"
#include "relay/classes.hpp"
#include "relay/counters.hpp"
#include "relay/handover_state.hpp"
#include "relay/ports.hpp"
#include "relay/table.hpp"
#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

// Single-threaded; all calls come from the event loop. The journal, the ports and the counters must outlast
// the relay.
class Relay {
 public:
  // Interfaces to the surroundings of the core.
  struct Ports {
    Clock& clock;
    EndpointTransport& endpoints;
    NoticeSender& notices;
    // Receives one line per log action of the decision module; standard output if null.
    std::ostream* log = nullptr;
  };

  // Throws std::invalid_argument if the decision module cannot work with the settings.
  Relay(wheathub::Settings settings, std::uint64_t seed, journal::Journal& journal, const Ports& ports,
        Counters& counters);

  // Must be called before anything else. Loads the last known routing table, then all open messages and
  // unsent notices from the journal. With `handed_over_state`, its routing table is used instead of
  // `last_known`, and the attempts that continue in the other process are in flight and end by AttemptEnded
  // like any others.
  void Recover(const RoutingChange& last_known, const HandoverState* handed_over_state = nullptr);

  // Prepares a handover to another process: answers every waiting client, cancels attempts that are not
  // written yet, and returns the remaining state. The relay continues to work normally until
  // CompleteHandover.
  HandoverState PrepareHandover();
  // Completes the handover and releases the journal: the other process owns everything except the attempts in
  // flight, whose results are passed to `listener`.
  using ResultListener = std::function<void(const std::string& id, const AttemptResult& result)>;
  void CompleteHandover(ResultListener listener);
  bool handed_over() const { return result_listener_ != nullptr; }
  // Cancels an attempt on request of the process that took over. Its result is not reported. Only valid after
  // CompleteHandover.
  void CancelHandedOver(const std::string& id);

  // Accepts or rejects a message. `client` is answered from within this call or later, and must live until
  // then or until Withdraw.
  void Submit(journal::Message message, Client& client);
  // The client has disconnected and must not be answered.
  void Withdraw(Client& client);
  // Returns whether the current settings have a class of that name.
  bool KnowsClass(const std::string& name) const { return classes_.IndexOf(name) >= 0; }
  // Returns whether messages of the class must have an idempotency key. Without the key a repeated attempt
  // would run the message twice.
  bool NeedsKey(const std::string& class_name) const;
  // Returns whether any routing table so far listed a host of the destination. Before the first list nothing
  // is known, and this returns true.
  bool KnowsDestination(wheathub::DestinationId id) const {
    return known_destinations_.empty() || known_destinations_.count(id) > 0;
  }

  // Records in the journal that an attempt is about to be written. Returns false if that failed or the
  // attempt is no longer wanted; it must not be written then.
  bool RecordAttemptStart(const AttemptId& attempt, const std::string& host, int zone);
  // The attempt has ended. Records the outcome and queues it for the decision module.
  void AttemptEnded(const AttemptId& attempt, const AttemptResult& result);

  // Nothing may be sent to the host before `until`, because another host at the same address requested a
  // wait.
  void DelayHost(const std::string& host, Time until);

  // Returns the attempt in flight for the message; its number is -1 if there is none.
  AttemptId FindAttempt(const std::string& id) const;

  // A new list or change from discovery.
  void RoutingChanged(const RoutingChange& change);
  // Discovery sent a list older than the current one. Only the hosts that it reports as draining or gone are
  // used; they count as draining until the next RoutingChanged.
  void StaleRoutingReceived(const RoutingChange& older);
  // Sets when the routing table expires. This also applies to attempts that have already started.
  void SetListValidUntil(Time moment);
  // The platform has accepted the notice of a message, so the message can be closed.
  void NoticeAccepted(const std::string& id);

  // Operators exclude a host from use, or include it again. Returns nothing once the change is recorded and
  // in force, otherwise why it failed. An excluded host counts as draining whatever discovery lists; once
  // included again it starts cold.
  std::optional<std::string> ExcludeHost(const std::string& host);
  std::optional<std::string> IncludeHost(const std::string& host);

  // Uses other settings from the next step on. Held messages keep the class under which they were accepted.
  // Throws std::invalid_argument, and changes nothing, if the decision module cannot work with the settings.
  void UpdateSettings(wheathub::Settings settings);

  // Passes all queued events and due timers to the decision module and executes its actions in order. Does
  // nothing, and schedules a later call, if the last step was less than a tick ago.
  void ProcessEvents();
  // Stops sending new attempts. Attempts in flight still end and are recorded.
  void StopSending();

  // Number of accepted messages that have not ended.
  std::size_t held() const { return held_.size(); }
  std::size_t in_flight() const { return in_flight_.size(); }
  // Returns whether every accepted message has ended, every notice was accepted, and no client waits.
  bool done() const { return journal_.entries().empty() && pending_.empty(); }

 private:
  // An open message; the rest is in its journal entry.
  struct HeldMessage {
    Time deadline{0};
    int send_count = 0;
    int message_class = 0;
    // Found by recovery without any attempt and with at least half of its deadline left.
    bool unattempted = false;
  };
  // An attempt in flight.
  struct AttemptState {
    std::string host;
    Time started_at{0};
    bool written = false;
  };
  // A submitted message that the decision module has not answered yet.
  struct PendingMessage {
    journal::Message message;
    std::vector<Client*> clients;
    Time deadline{0};
  };

  void Step(Time now);
  void PublishRouting(const RoutingChange& change);
  int ClassOf(const journal::Message& message);
  void ScheduleStep();
  void Queue(wheathub::Event event);
  wheathub::Message MessageOf(const journal::Entry& entry);
  void AnswerPending(const std::vector<wheathub::Action>& actions);
  bool AcceptPending(const PendingMessage& pending);
  void EndUndelivered(const std::string& id, const journal::Ending& ending);
  void RecordAndNotify(const std::string& id, const journal::Ending& ending);
  void CountOutcome(const AttemptResult& result);
  void CancelUnwritten();
  AttemptRequest RequestOf(const wheathub::Send& send, const HeldMessage& held) const;

  void Execute(const wheathub::Send& send);
  void Execute(const wheathub::Refuse& refuse);
  void Execute(const wheathub::Fail& fail);
  void Execute(const wheathub::Cancel& cancel);
  void Execute(const wheathub::SetTimer& timer);
  void Execute(const wheathub::CloseIdle& close) { ports_.endpoints.CloseIdle(close.endpoint); }
  // Lists arrive through RoutingChanged without being requested, and the module is set up accordingly.
  void Execute(const wheathub::SubscribeToList&) {}
  void Execute(const wheathub::FetchList&) {}
  void Execute(const wheathub::Log& log);
  void Execute(const wheathub::Probe& probe);
  // Relays have no connection to each other; the settings disable this action.
  void Execute(const wheathub::SendToPeers&) {}

  static wheathub::Settings MergeClasses(wheathub::Settings settings, ClassRegistry& classes,
                                         const journal::Journal& journal);

  ClassRegistry classes_;
  wheathub::Settings settings_;  // includes all registered classes, by index
  wheathub::Decider decider_;
  journal::Journal& journal_;
  RoutingTable table_;
  Ports ports_;
  Counters& counters_;
  std::vector<wheathub::Event> events_;
  Time first_event_at_{0};
  Time last_step_at_ = Time::min() / 2;
  std::multimap<Time, std::string> timers_;
  // Every destination that a list has named so far. Destinations are partners of the platform: few, and
  // unlike hosts not replaced. They are never forgotten, because a stale list may hold no host of a
  // destination whose hosts have all been replaced.
  std::set<wheathub::DestinationId> known_destinations_;
  std::map<std::string, PendingMessage> pending_;  // submitted since the last step
  std::map<std::string, HeldMessage> held_;
  std::map<AttemptId, AttemptState> in_flight_;
  bool sending_stopped_ = false;
  ResultListener result_listener_;  // set once the handover is complete
};

}  // namespace oxbowspread::relay
