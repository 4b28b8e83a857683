// wheathub: the interface of the decision module (src/decide.cpp). Types only: no value here decides
// anything.
//
// Contract. One Decider is one sender. The embedder hands over, in the order in which they happened, all
// events of one moment in one Step() call, with the time of that moment, and carries out the actions that
// Step() returns, in their order, before the next call.
// - Time is a count of microseconds since any fixed origin; it never goes back (a smaller one is read as the
//   latest seen). The module reads no clock: it asks for timers and gets TimerDue.
// - Each Message ends exactly once: by an AttemptEnded with `closed`, or by a Refuse or Fail action. Every
// Send
//   and Probe gets exactly one AttemptEnded or ProbeEnded. The first Send for a message is attempt 0, the
//   next 1.
// - The first event of a new Decider should be a ListUpdate with what is remembered (it may be empty).
// - Same settings, seed and events give the same actions. There is no I/O, thread or global state; a Decider
//   must not be used from two threads at once. It owns copies of all it keeps.
// - The constructor throws std::invalid_argument, in words for the operator, if the settings can't work.
// Step()
//   throws nothing but what the standard containers throw (std::bad_alloc). Events about unknown or ended
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

#include "wheathub/beliefs.hpp"

namespace wheathub {

using Time = std::chrono::microseconds;  // a moment, or a span
using MessageId = std::string;
using EndpointId = std::string;
using DestinationId = std::int64_t;

enum class Semantics { kIdempotent, kDeduplicated, kAtMostOnce };
enum class Decay { kEven, kByHalf };                   // how worth falls after the aim
enum class WeightMeaning { kNone, kNominal, kRough };  // kRough: the rate, up to half too high or too low
enum class Lifecycle { kUp, kDraining, kRemoved };
enum class ListScope { kChanges, kAll, kRemembered, kFailed };

enum class Outcome {
  kServed,
  kError,         // may have run
  kRefused,       // as full, shut or draining: never ran
  kTimedOut,      // may have run or still run
  kNoConnection,  // never ran
  kReset,         // may have run
  kCancelled,     // may have run
  kNotSent        // the embedder had no slot or the message was over: never ran
};

struct MessageClass {
  std::string name;
  Semantics semantics = Semantics::kAtMostOnce;
  bool repeats_bound_to_zone = false;  // kDeduplicated: only receivers of one zone drop repeats
  bool ordered = false;                // messages of one key go one at a time
  Time aim{0};                         // full worth until then
  Time deadline{0};
  Time repeat_window{0};
  double worth = 1;
  double late_value = 0;  // share of the worth left at the deadline

  bool operator==(const MessageClass&) const = default;
};

struct Tenant {
  std::string name;
  double quota_per_s = 0;  // over all senders; 0: none
};

struct DestinationKind {
  std::string name;
  bool routes_apart = false;  // each endpoint has its own limit, pace, outages and told waits
  int bundle_max = 1;         // messages in one call at most
};

struct Settings {
  int senders = 1;  // of this tier
  int rank = 0;     // of this one, from 0
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<DestinationKind> kinds;
  // Share of the whole result lost if one call were refused above a limit for each message; 0: not told.
  double refused_price = 0;
  std::vector<double> zone_fee;  // of a message taken on in that zone by a route apart
  Decay decay = Decay::kEven;
  WeightMeaning weights = WeightMeaning::kNone;
  double over_share_worth = 1;
  bool list_must_be_asked_for = false;
  bool reports_allowance = false;  // AttemptEnded carries allowance figures
  // Limits. 0 stands for "no such limit" unless said otherwise.
  int slots = 0;  // calls out at once
  int max_open = 0;
  int max_attempts = 0;
  bool may_cancel = false;
  bool may_probe = false;
  bool may_tell_peers = false;
  bool may_give_retry_after = false;
  Time max_retry_after{0};
  Time connect_timeout{0};
  Time keepalive{0};
  Time tick{0};  // Step() is called no more often than this
  // Figures of the rules.
  double cold_from = 1;  // share of its capacity with which a destination returns, or more
  Time cold{0};          // all of it after this at the latest
  Time drain_grace{0};
  Time ask_within{0};
  Time order_settle{0};
  Time answer_grace{0};
  double fall_multiple = 0;
  Time tip_after{0};
};

// ---- events ----

struct EndpointInfo {
  EndpointId id;
  DestinationId destination = 0;
  int kind = 0;
  int zone = 0;
  double weight = 1;
  Lifecycle lifecycle = Lifecycle::kUp;
};

struct ListUpdate {
  ListScope scope = ListScope::kChanges;
  std::int64_t revision = 0;
  std::vector<EndpointInfo> endpoints;
};

struct History {      // of a message that an earlier life of this sender took on; nothing for a new one
  bool kept = false;  // there is one: it is not given up for room that others want
  int sends = 0;      // ended, but for one that is out; one that surely never ran has its next send paid
  bool may_have_run = false;
  Time since_risk{0};  // since the send of the first attempt that may have run, and its zone
  int risk_zone = 0;
  EndpointId last_endpoint{};
  bool out = false;    // its last send is still out: an AttemptEnded comes for it
  Time since_sent{0};  // of that one
};

struct Message {
  MessageId id;
  int message_class = 0;
  int tenant = -1;  // -1: none
  DestinationId destination = 0;
  std::string key{};  // of the order; empty: none
  Time expires_in{0};
  bool again = false;  // came before, to this or another sender
  History history{};   // the next Send is attempt number history.sends
};

struct Withdrawn {  // nobody wants the message any more
  MessageId id;
};

struct StreamStarted {  // the attempt now belongs to the client
  MessageId id;
  int attempt = 0;
};

struct Allowance {
  double left_share = 0;   // of the limit, just now
  double limit_per_s = 0;  // 0: no limit
};

struct AttemptEnded {
  MessageId id;
  int attempt = 0;
  EndpointId endpoint;
  Outcome outcome = Outcome::kServed;
  Time latency{0};
  bool closed = false;  // the message is over
  Time told_wait{0};    // with kRefused; 0: none told
  std::optional<Allowance> allowance;
};

struct ProbeEnded {
  EndpointId endpoint;
  Outcome outcome = Outcome::kServed;
  Time latency{0};
  Time told_wait{0};
  std::optional<Allowance> allowance;
};

struct PeerNote {
  int from = 0;
  std::string bytes;
};

struct TimerDue {
  std::string token;
};

// Other settings from now on. A class keeps its number while anything is held under it, and there are never
// fewer; tenants stay as they were. They must be such that a Decider could be made with them.
struct NewSettings {
  Settings settings;
};

// Until when the list may be used: no message is sent at that moment or later. Never over where none is told.
struct ListValidity {
  Time until = Time::max();
};

// That endpoint told a wait in answer to a call that was sent to another one, at whose address it stands by
// now. Passed over for an endpoint that no list has named.
struct ToldWait {
  EndpointId endpoint;
  Time until{0};
};

using Event = std::variant<ListUpdate, Message, Withdrawn, StreamStarted, AttemptEnded, ProbeEnded, PeerNote,
                           TimerDue, NewSettings, Belief, ListValidity, ToldWait>;

// ---- actions ----

struct Send {
  MessageId id;
  EndpointId endpoint;
  Time timeout{0};  // 0: until the client stops waiting
};

struct Refuse {  // ends the message; trying again is harmless
  MessageId id;
  Time retry_after{0};  // 0: no advice
};

struct Fail {  // ends the message; promises nothing
  MessageId id;
};

struct Cancel {
  MessageId id;
  int attempt = 0;
};

struct Probe {
  EndpointId endpoint;
};

struct CloseIdle {  // give back idle connections
  EndpointId endpoint;
};

struct WatchList {};  // subscribe to changes of the list
struct FetchList {};  // ask for the whole list once

struct TellPeers {  // all other senders
  std::string bytes;
};

struct SetTimer {
  std::string token;
  Time at{0};
};

struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdle, WatchList, FetchList, TellPeers,
                            SetTimer, Log>;

class Decider {
 public:
  Decider(Settings settings, std::uint64_t seed);
  ~Decider();
  Decider(Decider&&) noexcept;
  Decider& operator=(Decider&&) noexcept;

  std::vector<Action> Step(Time now, std::span<const Event> events);

  // What is held now, for gauges: messages not over, calls out, endpoints, routes and keys known.
  struct Held {
    std::size_t messages, calls, endpoints, routes, keys;
  };
  Held held() const;

  // Of all endpoints known. A new Decider that gets them as events, right after a list that names them and
  // before any message, goes on from there.
  std::vector<Belief> beliefs() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wheathub
