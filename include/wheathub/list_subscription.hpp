// Decides when to call discovery for the list of endpoints. All waits that delay the arrival of a change are
// chosen here, so that a change of the list is known in time. There is no I/O and no clock: the embedder
// makes the calls, reports their outcomes, and calls Step() again at alarm().
//
// Times are microseconds of one clock that never goes back; calls are numbered from 1. The object owns
// copies of all that it is given and throws nothing. A call number that is unknown, or no longer known, is
// ignored.
//
// Requirements. A change of the list has to be known
// - 6 s after discovery had it and could be reached, however earlier calls ended (kBindingAfter);
// - 6 s after the subscription became silent; while nothing changes, an empty line comes every 2 s;
// - 4 s after the configuration has moved discovery to another address (kBindingAfterMove);
// - where an agent pushes lists, as soon as the agent has it.
//
// Why they are met. In each state of this object the next call starts at alarm(), which is never later than
// kLatestNextCall = 2.6 s after the start of the last call, or kSilenceTimeout + kSilenceJitter = 2.8 s after
// something was last received on the subscription. Let discovery be reachable from R on, and let it answer a
// call within A or refuse it within 2 s.
// - Unreachable before R: the last call before R started by R, so the next one starts by R + 2.6 s and is
//   answered by R + 2.6 s + A, which is in time if A is at most 3.4 s. If that call is refused, the next one
//   starts by R + 2.6 s + max(2 s + kRetryPause, 2.5 s) = R + 5.1 s and may take 0.9 s.
// - Silent since just after the line received at H: the call starts by H + 2.8 s, which is in time if A is at
//   most 3.2 s. If it is refused, the next one starts by H + 5.3 s and may take 0.7 s.
// - A new process: its first call starts at most 2.4 s after its start, and the same calculation applies from
//   there.
// - Moved at M: a call starts at M; if it is refused or hangs, the next one starts by M + 2.6 s and may take
//   1.4 s.
// None of these spans grows with the number of senders, of failures, or of endpoints.
//
// Load on discovery. The calls of one sender start at least kMinCallInterval = 1.2 s apart (except after a
// move, and after ResyncRequired, which comes every 10 s at most). A fleet of N senders makes, in calls a
// second:
// - if calls are refused immediately: N / 1.85 on average and N / 1.2 at most, which is 162 and 250 for 300
//   senders, and 486 and 750 for 900;
// - if discovery is silent or does not accept connections: N / 2.5, which is 120 for 300 and 360 for 900;
// - if it becomes silent for all senders at once, and their last lines came at the same moment: N calls
//   within 0.3 s;
// - when it is reachable again: each sender calls once and is subscribed. The first calls after a start, and
//   those after the end of a subscription, are spread at random over 20 ms for each sender, 2.4 s at most:
//   125 for 300, 375 for 900.
//
// An unanswered call stays open while further calls are made. At most three are open at once, and the first
// answer to any of them counts. Each call is given up after 7.5 s. So a discovery that handles its calls in
// the order of arrival serves every sender once even if calls arrive faster than it can handle them, as long
// as it needs less than 5 s for one call from each sender (7.5 s less the 2.5 s over which the calls arrive).
// A discovery that refuses calls that have waited too long makes progress in any case.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace wheathub {

// Schedules the calls of one sender to discovery; see the rules above.
class ListSubscription {
 public:
  using Time = std::chrono::microseconds;

  static constexpr Time kBindingAfter{6'000'000};
  static constexpr Time kBindingAfterMove{4'000'000};
  static constexpr Time kSilenceTimeout{2'500'000};  // 0.5 s more than the time between two empty lines
  static constexpr Time kSilenceJitter{300'000};     // many senders may notice the silence at the same moment
  static constexpr Time kAnswerTimeout{2'500'000};   // then another call is made and this one stays open
  static constexpr Time kMinCallInterval{1'200'000};  // between the starts of two calls, after a failure
  static constexpr Time kMaxCallInterval{2'500'000};
  static constexpr Time kRetryPause{100'000};  // shortest time from a failure to the next call
  static constexpr Time kLatestNextCall = kMaxCallInterval + kRetryPause;
  static constexpr Time kSpreadPerSender{20'000};  // first calls are spread over this for each sender
  static constexpr int kSendersWithoutSpread = 3;  // up to this fleet size, first calls are not spread
  static constexpr Time kMaxSpread{2'400'000};
  static constexpr Time kMaxOpenTime{7'000'000};   // an open call older than this is taken to hang
  static constexpr std::size_t kMaxOpenCalls = 3;  // unanswered calls at once
  // For lists pushed by an agent on the same machine. The agent has no other callers, so waits can be short.
  static constexpr Time kAgentAnswerTimeout{500'000};
  static constexpr Time kAgentMinCallInterval{50'000};
  static constexpr Time kAgentMaxCallInterval{150'000};
  static constexpr Time kAgentRetryPause{50'000};

  struct Options {
    bool pushed_by_agent = false;  // lists come from an agent on the same machine, not from discovery
    int senders = 1;               // number of senders that call the same discovery
    // Failed reports every failure of a call and the end of a subscription, so no time-outs are needed.
    bool failures_are_reported = false;
  };

  using CallNumber = int;  // from 1 on

  // The process starts. `at_once`: without a random delay, because it replaces another process whose
  // subscription has just ended.
  struct Started {
    bool at_once = false;
  };
  // The call, or the subscription that it has become, delivered a list, a change, or that nothing has
  // changed.
  struct Received {
    CallNumber call = 0;
  };
  // The call was refused, broke off or delivered unreadable data; or the subscription ended.
  struct Failed {
    CallNumber call = 0;
  };
  // Discovery has another address. All calls and the subscription are given up.
  struct Moved {};
  // The subscription may have missed changes: the whole list is needed.
  struct ResyncRequired {};
  // Time has passed.
  struct Elapsed {};
  using Event = std::variant<Started, Received, Failed, Moved, ResyncRequired, Elapsed>;

  // Call discovery now. The unanswered call `replaced_call` must be closed; all others stay open until one of
  // them is answered.
  struct Call {
    CallNumber number = 0;
    std::optional<CallNumber> replaced_call;
  };

  ListSubscription(const Options& options, std::uint64_t seed);

  // Handles events in order, all at `now`, which never decreases. Returns the calls to make; each event
  // causes at most one.
  std::vector<Call> Step(Time now, std::span<const Event> events);
  std::vector<Call> Step(Time now, const Event& event) { return Step(now, std::span(&event, 1)); }
  // When to call Step() again at the latest; Time::max() if there is nothing to wait for.
  Time alarm() const { return alarm_; }
  // Takes effect with the next call.
  void SetOptions(const Options& options) { options_ = options; }
  // The call that has become the subscription; 0: none.
  CallNumber subscription() const { return subscription_; }

 private:
  struct OpenCall {
    CallNumber number = 0;
    Time started{0};
  };

  void On(Time now, const Started& started);
  void On(Time now, const Received& received);
  void On(Time now, const Failed& failed);
  void On(Time now, const Moved&);
  void On(Time now, const ResyncRequired&) { MakeCall(now); }
  void On(Time now, const Elapsed&);
  void MakeCall(Time now);
  void PlanAfterFailure(Time now, bool subscription_ended);
  // Returns whether the call was open.
  bool RemoveOpen(CallNumber call);
  // The span over which the first calls of the fleet are spread.
  Time SpreadTime() const;
  Time RandomBetween(Time from, Time to);

  Options options_;
  std::mt19937_64 random_;
  Time alarm_ = Time::max();
  Time last_call_at_{0};
  Time last_received_at_{0};
  CallNumber last_number_ = 0;
  CallNumber subscription_ = 0;       // 0: none
  std::vector<OpenCall> open_calls_;  // unanswered calls, the oldest first
  std::vector<Call> new_calls_;       // caused by the present Step()
};

}  // namespace wheathub
