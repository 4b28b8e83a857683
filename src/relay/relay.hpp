// The relay core: tracks messages, their attempts and their endings, and runs the decision module. It is
// independent of protocols and sockets. It is responsible for ordering: each change is recorded in the
// journal before it is reported to a client or to the platform.
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
#include "relay/class_registry.hpp"
#include "relay/counters.hpp"
#include "relay/ended_messages.hpp"
#include "relay/handover_state.hpp"
#include "relay/ports.hpp"
#include "relay/routing_table.hpp"
#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

// Single-threaded; all calls come from the event loop. The journal, the ports and the counters must outlive
// the relay.
class Relay {
 public:
  // The interfaces through which the core reaches the rest of the process.
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

  // Must be called before any other function. Loads the last known routing table, then all open messages and
  // unsent notices from the journal. With `handed_over_state`, its routing table is used instead of
  // `last_known`. The attempts that continue in the other process then count as in flight, and their ends are
  // reported through AttemptEnded like those of any other attempt.
  void Recover(const RoutingChange& last_known, const HandoverState* handed_over_state = nullptr);

  // Prepares a handover to another process: answers every waiting client, cancels attempts that are not
  // written yet, and returns the state to transfer. The relay continues to work normally until
  // CompleteHandover.
  HandoverState PrepareHandover();
  // Completes the handover and releases the journal. From then on the other process owns everything except
  // the attempts in flight, whose results are passed to `listener`.
  using ResultListener = std::function<void(const std::string& id, const AttemptResult& result)>;
  void CompleteHandover(ResultListener listener);
  bool handed_over() const { return result_listener_ != nullptr; }
  // Cancels an attempt on request of the process that took over. Its result is not reported. Only valid after
  // CompleteHandover.
  void CancelHandedOver(const std::string& id);

  // Accepts or rejects a message. `client` is answered from within this call or later, and must exist until
  // then or until Withdraw.
  void Submit(journal::Message message, Client& client);
  // Must be called when a client disconnects while it waits for an answer. The client is not answered.
  void Withdraw(Client& client);
  // Returns whether the current settings have a class of that name.
  bool HasClass(const std::string& name) const { return classes_.IndexOf(name) >= 0; }
  // Returns whether messages of the class must have an idempotency key. For these classes a repeated attempt
  // without the key would run the message twice.
  bool RequiresKey(const std::string& class_name) const;
  // Returns whether any routing table so far listed a host of the destination. Returns true for every
  // destination before the first list, because none can be ruled out then.
  bool IsKnownDestination(wheathub::DestinationId id) const {
    return known_destinations_.empty() || known_destinations_.count(id) > 0;
  }

  // Records in the journal that an attempt is about to be written. Returns false if that failed or the
  // attempt has been cancelled; the attempt must not be written then.
  bool RecordAttemptStart(const AttemptId& attempt, const std::string& host, int zone);
  // Must be called when an attempt has ended. Records the outcome and queues it for the decision module.
  void AttemptEnded(const AttemptId& attempt, const AttemptResult& result);

  // Reports that nothing may be sent to the host before `until`, because a host requested a wait that also
  // applies to this host.
  void DelayHost(const std::string& host, Time until);

  // Returns the attempt in flight for the message; its number is -1 if there is none.
  AttemptId FindAttempt(const std::string& id) const;

  // Applies a new list or a change from discovery.
  void RoutingChanged(const RoutingChange& change);
  // Applies a list from discovery that is older than the current one. Hosts that it reports as draining or
  // removed, or that are missing in it if it is a full list, count as draining until the next RoutingChanged
  // or until another stale list reports them as ready.
  void StaleRoutingReceived(const RoutingChange& older);
  // Sets the time at which the routing table expires. It also applies to attempts that have already started.
  void SetListValidUntil(Time valid_until);
  // Closes a message, because the platform has accepted its notice.
  void NoticeAccepted(const std::string& id);

  // Exclude a host from use for an operator, and include it again. They return an empty value once the change
  // is recorded and in force, otherwise the reason for the failure. An excluded host counts as draining
  // whatever state discovery lists; when it is included again, it starts cold.
  std::optional<std::string> ExcludeHost(const std::string& host);
  std::optional<std::string> IncludeHost(const std::string& host);

  // Applies other settings from the next step on. Held messages keep the class under which they were
  // accepted. Throws std::invalid_argument, and changes nothing, if the decision module cannot work with the
  // settings.
  void UpdateSettings(wheathub::Settings settings);

  // Passes all queued events and due timers to the decision module and executes its actions in order. If the
  // last step was less than a tick ago, it only schedules a later call.
  void ProcessEvents();
  // Stops sending new attempts. Attempts in flight still end and are recorded.
  void StopSending();

  // Number of accepted messages that have not ended, and number of attempts in flight.
  std::size_t held_count() const { return held_.size(); }
  std::size_t in_flight_count() const { return in_flight_.size(); }
  // Returns whether every accepted message has ended, every notice was accepted, and no client waits for an
  // answer.
  bool done() const { return journal_.entries().empty() && pending_.empty(); }

 private:
  // An open message; the rest is in its journal entry.
  struct HeldMessage {
    Time deadline{0};
    int send_count = 0;
    int class_index = 0;
    // Recovered without any attempt and with at least half of its deadline left.
    bool unattempted = false;
  };
  // An attempt in flight.
  struct AttemptState {
    std::string host;
    Time started_at{0};
    bool written = false;
  };
  // A submitted message that has not been answered yet.
  struct PendingMessage {
    journal::Message message;
    std::vector<Client*> clients;
    Time deadline{0};
    // Empty while the message waits for the answers to those that have reserved the rest of the journal. The
    // decision module does not know it until then.
    std::optional<journal::Journal::Reservation> reservation;
  };

  void Step(Time now);
  void PublishRouting(const RoutingChange& change);
  // Returns the index of the message's class; -1 if the message records no class and the settings have none
  // of that name.
  int ClassIndexOf(const journal::Message& message);
  void ScheduleStep();
  void Queue(wheathub::Event event);
  wheathub::Message MakeMessageEvent(const journal::Entry& entry);
  // Reserves room in the journal for the message, and passes it to the decision module.
  void PassToDecider(PendingMessage& pending);
  // Passes pending messages without a reservation to the decision module if there is room for them now, and
  // rejects those for which there is none in any case.
  void AdmitWaiting();
  void Reject(const PendingMessage& pending, Time retry_after);
  void AnswerPending(const std::vector<wheathub::Action>& actions);
  // Returns false if the message was not accepted after all.
  bool AcceptPending(PendingMessage& pending);
  // Answers a message that ended earlier: it is accepted, and its end is reported again.
  void AnswerEnded(const EndedMessage& ended, Client& client);
  void EndUndelivered(const std::string& id, const journal::Ending& ending);
  void RecordAndNotify(const std::string& id, const journal::Ending& ending);
  void CountOutcome(const AttemptResult& result);
  void CancelUnwritten();
  AttemptRequest MakeAttemptRequest(const wheathub::Send& send, const HeldMessage& held) const;

  void Execute(const wheathub::Send& send);
  void Execute(const wheathub::Refuse& refuse);
  void Execute(const wheathub::Fail& fail);
  void Execute(const wheathub::Cancel& cancel);
  void Execute(const wheathub::SetTimer& timer);
  void Execute(const wheathub::CloseIdle& close) { ports_.endpoints.CloseIdle(close.endpoint); }
  // Lists arrive through RoutingChanged without a request; see Settings::must_request_list.
  void Execute(const wheathub::SubscribeToList&) {}
  void Execute(const wheathub::FetchList&) {}
  void Execute(const wheathub::Log& log);
  void Execute(const wheathub::Probe& probe);
  // Relays have no connection to each other; the settings disable this action.
  void Execute(const wheathub::SendToPeers&) {}

  // Registers the classes of open messages in the journal and returns the settings with all registered
  // classes.
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
  // Destinations of all hosts listed so far. Destinations are partners of the platform; they are few and,
  // unlike hosts, are not replaced. They are never removed from this set, because a stale list may contain no
  // host of a destination whose hosts have all been replaced.
  std::set<wheathub::DestinationId> known_destinations_;
  std::map<std::string, PendingMessage> pending_;  // submitted and not answered yet
  std::map<std::string, HeldMessage> held_;
  EndedMessages ended_messages_;
  std::map<AttemptId, AttemptState> in_flight_;
  bool sending_stopped_ = false;
  ResultListener result_listener_;  // set once the handover is complete
};

}  // namespace oxbowspread::relay
