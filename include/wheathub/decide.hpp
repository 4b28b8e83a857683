// The interface of the decision module, which chooses when and where each message is sent. The rules are in
// src/decide.cpp; the types here only carry data.
//
// Contract. One Decider acts for one sender. The embedder collects all events of one moment, in the order in
// which they happened, passes them to one call of Step() together with the time of that moment, and carries
// out the returned actions in order before the next call.
// - Time is a count of microseconds since any fixed origin. It never decreases: a smaller value is read as
//   the largest one so far. The module reads no clock; it requests timers with SetTimer, and the embedder
//   reports with TimerDue when one is due.
// - Each Message ends exactly once: by an AttemptEnded with `message_ended`, or by a Refuse or Fail action.
// - Each Send and each Probe is followed by exactly one AttemptEnded or ProbeEnded. The first Send of a
//   message is attempt 0, the next one attempt 1.
// - The first event of a new Decider should be a ListUpdate of scope kRemembered; its list may be empty.
// - The same settings, seed and events give the same actions. There is no I/O, no thread and no global state.
//   A Decider must not be used from two threads at once. It owns copies of all that it keeps.
// - The constructor throws std::invalid_argument, with a text for the operator, if the settings can't work.
//   Step() throws only what the standard containers throw (std::bad_alloc). Events about unknown or ended
//   messages, endpoints and timers are ignored.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "wheathub/learned_state.hpp"

namespace wheathub {

using Time = std::chrono::microseconds;  // a point in time, or a span
using MessageId = std::string;
using EndpointId = std::string;
using DestinationId = std::int64_t;

// Whether a message may be repeated after an attempt that may have run: always, within its repeat window,
// or never.
enum class Semantics { kIdempotent, kDeduplicated, kAtMostOnce };
// How the worth of a message decreases after its aim: linearly, or by half for each further aim-long span.
enum class Decay { kLinear, kExponential };
// What the weight of a listed endpoint states about its limit in calls a second: nothing, the exact limit, or
// a value that is up to half too high or too low (kRough).
enum class WeightMeaning { kNone, kNominal, kRough };
// Whether the list allows new calls to an endpoint. Only kUp does.
enum class Lifecycle { kUp, kDraining, kRemoved };
// What a list update contains: changes only, the whole list, the list that an earlier process had stored, or
// nothing because the call for the list failed.
enum class ListScope { kChanges, kAll, kRemembered, kFailed };

// How an attempt or a probe ended, and whether the endpoint may have processed ("run") the message.
enum class Outcome {
  kServed,
  kError,         // may have run
  kRefused,       // the endpoint is at its limit, closed or draining: never ran
  kTimedOut,      // may have run or still run
  kNoConnection,  // never ran
  kReset,         // may have run
  kCancelled,     // may have run
  kNotSent        // the embedder had no free slot, or the message had ended: never ran
};

// The rules that all messages of one class share.
struct MessageClass {
  std::string name;
  Semantics semantics = Semantics::kAtMostOnce;
  bool repeats_bound_to_zone = false;  // kDeduplicated: repeats are dropped within one zone only
  bool ordered = false;                // messages with the same key are sent one at a time
  Time aim{0};                         // target time of delivery, since arrival; the worth is full until then
  Time deadline{0};                    // since arrival
  Time repeat_window{0};               // kDeduplicated: how long endpoints recognise a repeat
  double worth = 1;                    // value of a message that is delivered within its aim
  double late_value = 0;               // share of the worth that is left at the deadline

  bool operator==(const MessageClass&) const = default;
};

struct Tenant {
  std::string name;
  double quota_per_s = 0;  // messages a second over all senders; 0: no quota
};

// What all destinations of one kind have in common.
struct DestinationKind {
  std::string name;
  bool separate_routes = false;  // each endpoint has its own limit, pacing, outages and waits
  int bundle_max = 1;            // largest number of messages in one call
};

struct Settings {
  int senders = 1;  // processes that send to the same destinations
  int rank = 0;     // index of this one among them, from 0
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<DestinationKind> kinds;
  // Price of calls that are refused above a limit: the share of the total result that is lost if there is one
  // such call for each message; 0: not given.
  double refused_price = 0;
  std::vector<double> zone_fee;  // by zone: fee of a message delivered there over a separate route
  Decay decay = Decay::kLinear;
  WeightMeaning weights = WeightMeaning::kNone;
  double over_quota_worth_factor = 1;   // applied to the worth of messages beyond their tenant's quota
  bool must_request_list = false;       // the list is sent only after SubscribeToList
  bool endpoints_report_limit = false;  // AttemptEnded carries a ReportedLimit
  // Limits; 0 means that there is none.
  int slots = 0;         // calls in flight at once
  int max_open = 0;      // messages held at once
  int max_attempts = 0;  // for one message
  // Actions that are allowed: Cancel, Probe, SendToPeers, and Refuse with a retry-after.
  bool may_cancel = false;
  bool may_probe = false;
  bool may_message_peers = false;
  bool may_give_retry_after = false;
  Time max_retry_after{0};
  Time connect_timeout{0};
  Time keepalive{0};
  Time tick{0};  // shortest time between two calls of Step()
  // Properties of the destinations, and rules for senders.
  double warm_up_start_share = 1;  // smallest share of its capacity that a destination has on its return
  Time warm_up{0};                 // longest time from the return to the full capacity
  Time drain_grace{0};             // calls may start until this long after a drain has to be known
  Time list_request_within{0};     // the list must be requested within this time
  Time order_settle{0};            // a key's next message waits this long after an attempt that may still run
  Time answer_grace{0};            // a message may be answered until this long after its deadline
  // A cold endpoint fails again if it receives collapse_load_factor times its present capacity for
  // collapse_after.
  double collapse_load_factor = 0;
  Time collapse_after{0};
};

// ---- events ----

// An endpoint as discovery lists it.
struct EndpointInfo {
  EndpointId id;
  DestinationId destination = 0;
  int kind = 0;
  int zone = 0;
  double weight = 1;
  Lifecycle lifecycle = Lifecycle::kUp;
};

// The list of endpoints, or changes of it.
struct ListUpdate {
  ListScope scope = ListScope::kChanges;
  std::int64_t revision = 0;
  std::vector<EndpointInfo> endpoints;
};

// What an earlier process of this sender did with a message; empty for a new one.
struct History {
  bool recovered = false;  // accepted by an earlier process: it is never refused to make room for others
  int sends = 0;  // attempts started; if none may have run, the retry token for the next one is already spent
  bool may_have_run = false;
  Time since_first_uncertain{0};  // since the send of the first attempt that may have run
  int first_uncertain_zone = 0;   // zone of that attempt
  EndpointId last_endpoint{};
  bool in_flight = false;  // the last attempt is still in flight: an AttemptEnded will come for it
  Time since_sent{0};      // since the send of that attempt
};

// A message that a client submitted.
struct Message {
  MessageId id;
  int message_class = 0;
  int tenant = -1;  // -1: none
  DestinationId destination = 0;
  std::string key{};         // order key, for messages of an ordered class; empty: none
  Time expires_in{0};        // until its deadline
  bool resubmitted = false;  // the client submitted it before, to this or another sender
  History history{};         // the next Send is attempt number history.sends
};

// The client no longer wants the message.
struct Withdrawn {
  MessageId id;
};

// The response of the attempt is being passed on to the client, so the message can't be sent elsewhere.
struct StreamStarted {
  MessageId id;
  int attempt = 0;
};

// What an endpoint reports about its limit.
struct ReportedLimit {
  double unused_share = 0;  // share of the limit that is unused at present
  double limit_per_s = 0;   // calls a second; 0: no limit
};

// The end of the attempt that a Send started.
struct AttemptEnded {
  MessageId id;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::kServed;
  Time latency{0};
  bool message_ended = false;
  Time retry_after{0};  // with kRefused: the wait that the endpoint requests; 0: not given
  std::optional<ReportedLimit> reported_limit;
};

// The end of a Probe.
struct ProbeEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::kServed;
  Time latency{0};
  Time retry_after{0};
  std::optional<ReportedLimit> reported_limit;
};

// Bytes from another sender.
struct PeerData {
  int from = 0;
  std::string bytes;
};

// The time of a SetTimer action has come.
struct TimerDue {
  std::string token;
};

// Replaces the settings. Each class must keep its index while messages of it are held, and the number of
// classes must not shrink; the tenants stay as they were. The constructor must accept the new settings.
struct NewSettings {
  Settings settings;
};

// End of the validity of the list: no message is sent at that time or later. Without this event the list
// does not expire.
struct ListValidity {
  Time until = Time::max();
};

// A wait that `endpoint` requested in response to a call that was sent to the former endpoint at its address.
// Ignored for an endpoint that no list has named.
struct RetryAfterReceived {
  EndpointId endpoint;
  Time until{0};
};

using Event = std::variant<ListUpdate, Message, Withdrawn, StreamStarted, AttemptEnded, ProbeEnded, PeerData,
                           TimerDue, NewSettings, LearnedState, ListValidity, RetryAfterReceived>;

// ---- actions ----

// Starts an attempt.
struct Send {
  MessageId id;
  EndpointId endpoint;
  Time timeout{0};  // 0: until the client stops waiting
};

// Ends the message, which certainly never ran: the client may safely submit it again.
struct Refuse {
  MessageId id;
  Time retry_after{0};  // 0: not given
};

// Ends the message, which may have run.
struct Fail {
  MessageId id;
};

// Requests that an attempt in flight is aborted.
struct Cancel {
  MessageId id;
  int attempt = 0;
};

// Checks whether an endpoint is healthy, without sending a message.
struct Probe {
  EndpointId endpoint;
};

// Closes the idle connections to an endpoint.
struct CloseIdle {
  EndpointId endpoint;
};

struct SubscribeToList {};  // to changes of the list
struct FetchList {};        // requests the whole list once

// Sends bytes to all other senders.
struct SendToPeers {
  std::string bytes;
};

// Requests a TimerDue with the same token at this time.
struct SetTimer {
  std::string token;
  Time at{0};
};

// A line for the operator's log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdle, SubscribeToList, FetchList,
                            SendToPeers, SetTimer, Log>;

// Chooses when and where one sender sends its messages; see the contract at the top of this file.
class Decider {
 public:
  Decider(Settings settings, std::uint64_t seed);
  ~Decider();
  Decider(Decider&&) noexcept;
  Decider& operator=(Decider&&) noexcept;

  // Handles the events of one moment and returns the actions to carry out.
  std::vector<Action> Step(Time now, std::span<const Event> events);

  // Numbers of objects that are held at present, for gauges: messages that have not ended, attempts in
  // flight, and the endpoints, routes and order keys that are known.
  struct Held {
    std::size_t messages, calls, endpoints, routes, keys;
  };
  Held held() const;

  // Returns what has been learned about each endpoint. A new Decider continues from this state if it receives
  // the returned values as events, right after a list that names the endpoints and before any message.
  std::vector<LearnedState> learned_states() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wheathub
