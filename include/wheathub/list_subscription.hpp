// When to call discovery for the list of endpoints. One object owns every wait that counts against the moment
// at which a change of the list has to be known. No I/O and no clock: whoever carries the calls out tells
// what became of them, and calls Step again at the moment last asked for.
//
// Times are microseconds of one clock that never goes back; numbers of calls count from 1. It owns copies of
// all that it is given and throws nothing: a number that it doesn't know, or knows no more, is passed over.
//
// The rules. A change counts as known
//   - 6 s after discovery had it and could be reached, whatever became of earlier calls (kKnownWithin);
//   - 6 s after the subscription fell silent; an empty line comes every 2 s while nothing changes;
//   - 4 s after the configuration has moved discovery (kMovedWithin);
//   - where an agent pushes lists, as soon as the agent has it.
//
// Why it holds. Whatever state this object is in, its next call starts at alarm(), and alarm() is never later
// than kCallEvery = 2.6 s after the last call's start, or kSilentAfter + kSilentSpread = 2.8 s after the
// subscription was heard last. Let discovery be reachable from R on, and let it answer a call within A or
// refuse it within 2 s.
//   Unreachable before R: the last call before R started by R, so the next one starts by R + 2.6 s and is
//   answered by R + 2.6 s + A: in time for A up to 3.4 s. If that one is refused, the next one starts by
//   R + 2.6 s + max(2 s + kPause, 2.5 s) = R + 5.1 s and may take 0.9 s.
//   Silent since just behind the line heard at H: the call starts by H + 2.8 s: in time for A up to 3.2 s.
//   If it is refused, the next one starts by H + 5.3 s and may take 0.7 s.
//   A new process: its first call starts by 2.4 s after its start, and the same sums follow from there.
//   Moved at M: a call starts at M; if it is refused or hangs, the next one starts by M + 2.6 s and may take
//   1.4 s.
// None of these spans grows with the number of senders, of failures, or of endpoints.
//
// What discovery has to bear. Calls of one sender start kCallLeast = 1.2 s apart at least (but for a move,
// and for Distrusted, which comes every 10 s at most). A fleet of N puts on it, in calls a second:
//   - refusing at once: N / 1.85 in the mean, N / 1.2 at most: 162 and 250 for 300 senders, 486 and 750 for
//     900;
//   - silent or not accepting: N / 2.5: 120 for 300, 360 for 900;
//   - silent from one moment on, for all whose lines came at the same moment: N calls within 0.3 s;
//   - back again: each sender calls once and is subscribed. First calls of a start, and those that follow the
//     end of a subscription, are drawn over 20 ms a sender, 2.4 s at most: 125 for 300, 375 for 900.
//
// A call that is not answered keeps its place: the next ones go beside it, three at most, and any answer
// counts. Each is given up after 7.5 s. So a discovery that works through its calls in turn serves everybody
// once, though calls come faster than it works, as long as one call of each sender takes it under 5 s (7.5 s
// less the 2.5 s over which they come); one that refuses what has waited too long gets on at any pace.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace wheathub {

class ListSubscription {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kKnownWithin{6'000'000};
  static constexpr Time kMovedWithin{4'000'000};
  static constexpr Time kSilentAfter{2'500'000};   // an empty line comes every 2 s
  static constexpr Time kSilentSpread{300'000};    // many senders may find it at the same moment
  static constexpr Time kAnswerWithin{2'500'000};  // then one more call is made beside it
  static constexpr Time kCallLeast{1'200'000};     // from the start of one call to the next, after a failure
  static constexpr Time kCallMost{2'500'000};
  static constexpr Time kPause{100'000};  // from a failure to the next call, at least
  static constexpr Time kCallEvery = kCallMost + kPause;
  static constexpr Time kSpreadEach{20'000};  // of first calls, for each sender of the fleet but these few
  static constexpr int kCallAtOnce = 3;
  static constexpr Time kSpreadMost{2'400'000};
  static constexpr Time kKeptMost{7'000'000};  // an unanswered call keeps its place for so long
  static constexpr std::size_t kOpenMost = 3;  // unanswered calls at once
  // An agent on the same machine that pushes lists: it alone is asked, so that there is no crowd.
  static constexpr Time kAgentAnswerWithin{500'000};
  static constexpr Time kAgentCallLeast{50'000};
  static constexpr Time kAgentCallMost{150'000};
  static constexpr Time kAgentPause{50'000};

  struct Options {
    bool pushed = false;  // by an agent on the same machine; else one discovery serves the whole fleet
    int senders = 1;      // in the fleet
    // Each call is answered or fails, and the end of a subscription is always told: nothing has to be timed.
    bool failures_are_told = false;
  };

  using CallNumber = int;  // from 1 on

  // The process begins; `at_once` where it follows another one whose subscription has just ended.
  struct Started {
    bool at_once = false;
  };
  // That call, or the subscription that it has become, told a list, a change, or that nothing has changed.
  struct Heard {
    CallNumber call = 0;
  };
  // That call was refused, broke or brought what can't be read; or the subscription ended.
  struct Failed {
    CallNumber call = 0;
  };
  // Discovery is somewhere else. All calls and the subscription are given up.
  struct Moved {};
  // What the subscription tells is not believed: the whole list is needed.
  struct Distrusted {};
  // Time has passed.
  struct Elapsed {};
  using Event = std::variant<Started, Heard, Failed, Moved, Distrusted, Elapsed>;

  // Call discovery now. `gives_up` is closed unanswered; every other call stays open until one is heard.
  struct Call {
    CallNumber number = 0;
    std::optional<CallNumber> gives_up;
  };

  ListSubscription(const Options& options, std::uint64_t seed);

  // Events in their order, all at `now`, which never goes back. At most one call follows from each.
  std::vector<Call> Step(Time now, std::span<const Event> events);
  std::vector<Call> Step(Time now, const Event& event) { return Step(now, std::span(&event, 1)); }
  // When to step again at the latest; Time::max() if nothing is to be waited for.
  Time alarm() const { return alarm_; }
  // Kept from the next call on.
  void SetOptions(const Options& options) { options_ = options; }
  // The call that has become the subscription; 0: none.
  CallNumber subscription() const { return subscription_; }

 private:
  struct Open {
    CallNumber number = 0;
    Time started{0};
  };

  void On(Time now, const Started& started);
  void On(Time now, const Heard& heard);
  void On(Time now, const Failed& failed);
  void On(Time now, const Moved&);
  void On(Time now, const Distrusted&) { MakeCall(now); }
  void On(Time now, const Elapsed&);
  void MakeCall(Time now);
  void PlanAfterFailure(Time now, bool subscription_ended);
  bool Forget(CallNumber call);
  Time Spread() const;
  Time Drawn(Time from, Time to);

  Options options_;
  std::mt19937_64 random_;
  Time alarm_ = Time::max();
  Time last_start_{0};
  Time last_heard_{0};
  CallNumber last_ = 0;
  CallNumber subscription_ = 0;  // 0: none
  std::vector<Open> open_;       // unanswered, the oldest first
  std::vector<Call> calls_;      // of this step
};

}  // namespace wheathub
