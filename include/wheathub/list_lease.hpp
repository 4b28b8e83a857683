// Decides until when the list of endpoints may be used. A relay that can't have its list confirmed in time
// must not start calls with it, because an endpoint may have begun to drain without the relay knowing. There
// is no I/O and no clock: the object is told what becomes of the calls for the list. An expired lease is
// renewed by the next confirmation.
//
// Times are microseconds of one clock that never goes back. Nothing here throws or allocates memory.
//
// Requirements. A change of the list counts as known, at the latest,
// - 6 s after discovery had it and could be reached; for a new process, 6 s after its start at the earliest;
// - 4 s after the configuration has moved discovery.
// A call may begin up to 250 ms after that. A process that is delayed between checking the lease and
// starting the call uses up to 150 ms of these.
//
// Why no call is started that ignores a change which counts as known. At W, discovery sends what has changed
// or that nothing has changed; the relay reads it at H, up to 200 ms later. Discovery collects changes for a
// moment before it sends them, so a change that is missing from this message was made at
// C > W - kDiscoveryBatching. The earliest time at which a change counts as known is
// - without a failure: C + 6 s > H - 0.2 s - 1.3 s + 6 s = H + 4.5 s = H + kConfirmedFor;
// - if discovery could not be reached at U: U + 6 s, which is later than U + kUnreachableFor;
// - if the process started at S, which others may count from 0.5 s earlier: S + 5.5 s = S + kStartedFor;
// - if discovery moved at M, which is read up to 200 ms later: M + 3.8 s = M + kMovedFor.
// So the lease ends before any change counts as known, and delayed calls start within the 250 ms.
//
// Outages. While discovery is out of order no change counts as known, and a relay should continue with the
// list that it has. But discovery refuses calls both when it is out of order and when too many relays call
// at once, and only the former keeps changes from counting. Discovery is taken to be out of order only if
// - it ended the subscription itself, between two messages, or there was no subscription since the start, and
// - each call since then was refused only after a long wait. An immediate refusal shows that discovery works
//   and sheds load.
// Such a call, started at B, counts as a failure to reach discovery at B. A subscription that became silent
// or broke off within a message says nothing about discovery, nor does a move: then only an answer helps.
//
// These do not renew the lease: a call to discovery that is never answered, and a call that an endpoint
// serves, because endpoints go on serving calls after they began to drain.
#pragma once

#include <chrono>
#include <variant>

namespace wheathub {

// The lease on the list of endpoints; see the rules above.
class ListLease {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kKnownWithin{6'000'000};        // within this, a change counts as known
  static constexpr Time kDiscoveryBatching{1'300'000};  // a change may be left out of messages for so long
  static constexpr Time kReadDelay{200'000};  // longest time from the sending of a message to its reading
  static constexpr Time kConfirmedFor = kKnownWithin - kDiscoveryBatching - kReadDelay;
  static constexpr Time kUnreachableFor{5'500'000};
  static constexpr Time kStartedFor{5'500'000};
  static constexpr Time kMovedFor{3'800'000};
  // For a list taken from a former process that can't tell the end of its lease: that process had received
  // something on its subscription up to 2.8 s ago.
  static constexpr Time kInheritedFor = kConfirmedFor - Time(2'800'000);

  // The process starts with the list that it had stored.
  struct Started {};
  // The process continues with the list of another one, whose lease ends at `valid_until`; 0: not known.
  struct Inherited {
    Time valid_until{0};
  };
  // Discovery sent a list, a change, or that nothing has changed.
  struct Confirmed {};
  // Discovery could not be reached: no connection could be opened.
  struct Unreachable {};
  // The configuration names another address of discovery.
  struct Moved {};
  // Discovery ended the subscription between two messages; or it broke off within one, or became silent.
  struct SubscriptionEnded {};
  struct SubscriptionBroken {};
  // A call was refused, or closed without a list: within kImmediateRefusal, or later.
  struct RefusedImmediately {};
  struct RefusedLate {
    Time call_started_at{0};
  };
  using Event = std::variant<Started, Inherited, Confirmed, Unreachable, Moved, SubscriptionEnded,
                             SubscriptionBroken, RefusedImmediately, RefusedLate>;

  static constexpr Time kImmediateRefusal{1'000'000};

  // The event for a refusal at `now` of a call that started at `call_started_at`.
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
  bool outage_possible_ = true;  // by all that is known, discovery may be out of order
};

}  // namespace wheathub
