// Until when the list of endpoints may be used. A relay that can't have the list confirmed in time must not
// start calls by it: what it does not know may have begun to drain. No I/O and no clock; it is told what
// becomes of calls for the list, and a lease that is over is renewed by the next confirmation.
//
// Times are microseconds of one clock that never goes back. It throws nothing and holds no memory of its own.
//
// The rules. A change of the list counts as known, at the latest,
//   - 6 s after discovery had it and could be reached, for a new process 6 s after its start at the earliest;
//   - 4 s after the configuration has moved discovery.
// A call may begin up to 250 ms after that; a process that is held up between its look at the lease and the
// call uses up to 150 ms of these.
//
// Why no call goes by an unknown change. Discovery says at W that nothing else has changed, or what has; the
// relay reads it at H, up to 200 ms later. A change that is missing from it was made at C > W - kNotSaidYet:
// discovery gathers changes for a moment before it says them.
//   Known from C + 6 s > H - 0.2 s - 1.3 s + 6 s = H + 4.5 s = H + kConfirmedFor.
//   Could not be reached at U: known from U + 6 s at the earliest, later than U + kUnreachableFor.
//   Started at S, which its surroundings may count from 0.5 s earlier: from S + 5.5 s = S + kStartedFor.
//   Moved at M, read up to 200 ms later: from M + 3.8 s = M + kMovedFor.
// So the lease ends before any change counts as known, and what is held up ends within the 250 ms.
//
// Outages. While discovery is out of order no change counts, and a relay should go on by what it has. But
// discovery refuses calls then and while a crowd asks, and only the first keeps changes from counting. It is
// taken for out of order only
//   - if it ended the subscription itself, between two messages, or there was none since the start, and
//   - as long as each call since then has waited long for its refusal. One that is refused at once shows a
//     discovery that works and sheds load.
// Such a call, begun at B, counts as a failure to reach it at B. A subscription that fell silent or broke off
// in the middle of a message says nothing of discovery, nor does a move: there only an answer helps.
//
// What does not renew it: a call that is never answered, and a call that an endpoint serves, since endpoints
// serve calls after they began to drain.
#pragma once

#include <chrono>
#include <variant>

namespace wheathub {

class ListLease {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kKnownWithin{6'000'000};
  static constexpr Time kNotSaidYet{1'300'000};
  static constexpr Time kReadWithin{200'000};
  static constexpr Time kConfirmedFor = kKnownWithin - kNotSaidYet - kReadWithin;
  static constexpr Time kUnreachableFor{5'500'000};
  static constexpr Time kStartedFor{5'500'000};
  static constexpr Time kMovedFor{3'800'000};
  // Of one that a former process had, where that can't tell: it had heard its subscription up to 2.8 s ago.
  static constexpr Time kInheritedFor = kConfirmedFor - Time(2'800'000);

  // The process begins with the list that it had last.
  struct Started {};
  // The process goes on with another one's list; `valid_until` as that had it, 0 if it could not tell.
  struct Inherited {
    Time valid_until{0};
  };
  // Discovery told a list, a change, or that nothing has changed.
  struct Confirmed {};
  // Discovery could not be reached at all: no connection to it came up.
  struct Unreachable {};
  // The configuration names another place for it.
  struct Moved {};
  // The subscription is over: ended by discovery between two messages, or broken off in one, or silent.
  struct SubscriptionEnded {};
  struct SubscriptionBroken {};
  // A call was refused or closed without a list: within kAtOnce, or later.
  struct RefusedAtOnce {};
  struct RefusedLate {
    Time begun{0};
  };
  using Event = std::variant<Started, Inherited, Confirmed, Unreachable, Moved, SubscriptionEnded,
                             SubscriptionBroken, RefusedAtOnce, RefusedLate>;

  static constexpr Time kAtOnce{1'000'000};

  // What the refusal at `now` of a call begun at `begun` is.
  static Event Refused(Time begun, Time now);
  // Returns valid_until().
  Time Step(Time now, const Event& event);
  // No call may begin at this moment or later; Time::max() before the start.
  Time valid_until() const { return valid_until_; }

 private:
  void On(Time now, const Started&);
  void On(Time now, const Inherited& inherited);
  void On(Time now, const Confirmed&);
  void On(Time now, const Unreachable&) { Extend(now + kUnreachableFor); }
  void On(Time now, const Moved&);
  void On(Time, const SubscriptionEnded&);
  void On(Time, const SubscriptionBroken&);
  void On(Time, const RefusedAtOnce&) { outage_possible_ = false; }
  void On(Time, const RefusedLate& refused);
  void Extend(Time until);

  Time valid_until_ = Time::max();
  bool subscribed_ = false;      // a subscription stands and is heard
  bool outage_possible_ = true;  // by what is known, discovery may be out of order
};

}  // namespace wheathub
