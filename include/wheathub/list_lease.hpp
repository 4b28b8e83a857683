// Decides until when the list of endpoints may be used. A relay whose list is not confirmed in time must not
// start calls, because an endpoint may have begun to drain without the relay knowing. There is no I/O and no
// clock: the embedder reports the outcomes of the calls for the list. The next confirmation renews an expired
// lease.
//
// Times are microseconds of one clock that never goes back. Nothing here throws or allocates memory.
//
// Requirements. From a certain time on, a relay is required to know a change of the list; the change is then
// called binding. A change becomes binding, at the latest,
// - 6 s after discovery had it and could be reached; for a new process, 6 s after its start at the earliest;
// - 4 s after the configuration has moved discovery to another address.
// A call that ignores the change may start up to 250 ms after that. A process that is delayed between
// checking the lease and starting the call uses up to 150 ms of these.
//
// Why no call that ignores a binding change is started. At W, discovery sends either what has changed or that
// nothing has changed. The relay reads this message at H, up to 200 ms later. Discovery collects changes for
// a short time before it sends them, so a change that is missing from the message was made at a time
// C > W - kDiscoveryBatching. The earliest time at which a change becomes binding is
// - without a failure: C + 6 s > H - 0.2 s - 1.3 s + 6 s = H + 4.5 s = H + kConfirmedFor;
// - if discovery could not be reached at U: U + 6 s, which is later than U + kUnreachableFor;
// - if the process started at S, which may be counted from 0.5 s earlier: S + 5.5 s = S + kStartedFor;
// - if discovery moved at M, which the relay reads up to 200 ms later: M + 3.8 s = M + kMovedFor.
// So the lease ends before any change becomes binding, and delayed calls start within the 250 ms.
//
// Outages. While discovery is out of order no change becomes binding, and a relay should continue with the
// list that it has. But discovery refuses calls both when it is out of order and when too many relays call at
// once, and in the latter case changes do become binding. Discovery is taken to be out of order only if
// - it ended the subscription itself, between two messages, or there was no subscription since the start, and
// - each call since then was refused only after a long wait. An immediate refusal shows that discovery works
//   and sheds load.
// Such a call, started at B, counts as a failure to reach discovery at B. A subscription that became silent
// or broke off within a message gives no information about discovery, and neither does a move: after these,
// no refusal extends the lease, and an answer is needed.
//
// A call to discovery that is never answered does not renew the lease. Neither does a call that an endpoint
// serves, because endpoints continue to serve calls after they began to drain.
#pragma once

#include <chrono>
#include <variant>

namespace wheathub {

// The lease on the list of endpoints; see the rules above.
class ListLease {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kBindingAfter{6'000'000};       // time after which a change is binding
  static constexpr Time kDiscoveryBatching{1'300'000};  // longest time for which messages leave out a change
  static constexpr Time kMaxReadDelay{200'000};         // from the sending of a message to its reading
  static constexpr Time kConfirmedFor = kBindingAfter - kDiscoveryBatching - kMaxReadDelay;
  static constexpr Time kUnreachableFor{5'500'000};
  static constexpr Time kStartedFor{5'500'000};
  static constexpr Time kMovedFor{3'800'000};
  // For a list from a former process that does not state the end of its lease: that process received
  // something on its subscription within the last 2.8 s.
  static constexpr Time kInheritedFor = kConfirmedFor - Time(2'800'000);

  // The process starts with the list that it had stored.
  struct Started {};
  // The process continues with the list of another process, whose lease ends at `valid_until`; 0: not known.
  struct Inherited {
    Time valid_until{0};
  };
  // Discovery sent a list, a change, or that nothing has changed.
  struct Confirmed {};
  // Discovery could not be reached: no connection could be opened.
  struct Unreachable {};
  // The configuration names another address of discovery.
  struct Moved {};
  // Discovery ended the subscription between two messages.
  struct SubscriptionEnded {};
  // The subscription broke off within a message, or became silent.
  struct SubscriptionBroken {};
  // A call was refused, or closed without a list, within kImmediateRefusal.
  struct RefusedImmediately {};
  // A call was refused, or closed without a list, after more than kImmediateRefusal.
  struct RefusedLate {
    Time call_started_at{0};
  };
  using Event = std::variant<Started, Inherited, Confirmed, Unreachable, Moved, SubscriptionEnded,
                             SubscriptionBroken, RefusedImmediately, RefusedLate>;

  static constexpr Time kImmediateRefusal{1'000'000};

  // Returns the event for a refusal at `now` of a call that started at `call_started_at`.
  static Event Refused(Time call_started_at, Time now);
  // Handles one event and returns valid_until().
  Time Step(Time now, const Event& event);
  // No call may start at this time or later; Time::max() before the first event.
  Time valid_until() const { return valid_until_; }

 private:
  void On(Time now, const Started&);
  void On(Time now, const Inherited& inherited);
  void On(Time now, const Confirmed&);
  void On(Time now, const Unreachable&) { Extend(now + kUnreachableFor); }
  void On(Time now, const Moved&);
  void On(Time, const SubscriptionEnded&);
  void On(Time, const SubscriptionBroken&);
  void On(Time, const RefusedImmediately&) { outage_possible_ = false; }
  void On(Time, const RefusedLate& refused);
  void Extend(Time until);

  Time valid_until_ = Time::max();
  bool subscribed_ = false;      // there is a subscription that is not silent
  bool outage_possible_ = true;  // no event has ruled out that discovery is out of order
};

}  // namespace wheathub
