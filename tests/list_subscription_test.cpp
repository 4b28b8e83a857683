// Checks when discovery is called for the list: in time however calls end, and never more often than
// list_subscription.hpp states, for fleets of 1 to 900 senders and events in any order.
#include "wheathub/list_subscription.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace wheathub::testing {
namespace {

using namespace std::chrono_literals;
using List = ListSubscription;
using Time = List::Time;

// How discovery handles a call: it sends the list, refuses at once or late, does not answer, or sends the
// list and then closes the call.
enum class CallResult { kAnswered, kRefusedImmediately, kRefusedLate, kHangs, kClosedAfterList };

constexpr Time kRefusalTimeout = 2s;  // a reachable discovery refuses a call within this time

// Simulates one sender and its discovery on a virtual clock. Calls that start before `reachable_at` end as
// listed in `script`, which is repeated. Later calls are answered after `answer_delay`, except that the first
// `refused` of them are refused as late as possible.
class Simulation {
 public:
  Simulation(List::Options options, std::uint64_t seed, std::vector<CallResult> script, Time reachable_at,
             Time answer_delay, int refused)
      : list_(options, seed),
        script_(std::move(script)),
        reachable_at_(reachable_at),
        answer_delay_(answer_delay),
        remaining_refusals_(refused) {}

  // Runs until `end`, or until the first answer after `reachable_at` if that is earlier.
  void RunUntil(Time end) {
    while (!answered_at_ && now_ <= end) {
      const Time next = std::min(list_.alarm(), scheduled_.empty() ? Time::max() : scheduled_.begin()->first);
      if (next > end) break;
      now_ = std::max(now_, next);
      if (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
        const auto event = scheduled_.begin()->second;
        scheduled_.erase(scheduled_.begin());
        Report(event);
      } else {
        Report(List::Elapsed{});
      }
    }
  }
  void Report(const List::Event& event) {
    if (const auto* received = std::get_if<List::Received>(&event)) {
      if (now_ >= reachable_at_ && started_.at(received->call) >= Time(0)) answered_at_ = now_;
    }
    for (const List::Call& call : list_.Step(now_, event)) Start(call);
  }
  void Start(const List::Call& call) {
    starts.push_back(now_);
    started_[call.number] = now_;
    if (now_ >= reachable_at_) {
      if (remaining_refusals_-- > 0) return Schedule(now_ + kRefusalTimeout, List::Failed{call.number});
      return Schedule(now_ + answer_delay_, List::Received{call.number});
    }
    const CallResult call_result =
        script_.empty() ? CallResult::kHangs : script_[starts.size() % script_.size()];
    if (call_result == CallResult::kAnswered) Schedule(now_ + answer_delay_, List::Received{call.number});
    if (call_result == CallResult::kRefusedImmediately) Schedule(now_, List::Failed{call.number});
    if (call_result == CallResult::kRefusedLate) Schedule(now_ + kRefusalTimeout, List::Failed{call.number});
    if (call_result == CallResult::kClosedAfterList) {
      Schedule(now_ + answer_delay_, List::Received{call.number});
      Schedule(now_ + answer_delay_, List::Failed{call.number});
    }
  }
  void Schedule(Time at, List::Event event) { scheduled_.emplace(at, std::move(event)); }

  List& list() { return list_; }
  Time now() const { return now_; }
  const std::optional<Time>& answered_at() const { return answered_at_; }
  std::vector<Time> starts;

 private:
  List list_;
  std::vector<CallResult> script_;
  Time reachable_at_, answer_delay_;
  int remaining_refusals_;
  Time now_{0};
  std::multimap<Time, List::Event> scheduled_;
  std::map<List::CallNumber, Time> started_;
  std::optional<Time> answered_at_;
};

// Options of a sender that calls discovery itself.
List::Options CallsDiscovery(int senders) {
  return {.pushed_by_agent = false, .senders = senders, .failures_are_reported = false};
}
// Options of a sender whose list is pushed by an agent.
List::Options PushedByAgent() {
  return {.pushed_by_agent = true, .senders = 300, .failures_are_reported = false};
}

rc::Gen<std::vector<CallResult>> CallResults() {
  return rc::gen::container<std::vector<CallResult>>(
      rc::gen::element(CallResult::kAnswered, CallResult::kRefusedImmediately, CallResult::kRefusedLate,
                       CallResult::kHangs, CallResult::kClosedAfterList));
}

TEST(ListSubscription, AChangeIsKnownInTimeWhateverHappenedToEarlierCalls) {
  EXPECT_TRUE(rc::check("an answer within 6 s after discovery becomes reachable", [] {
    const int senders = *rc::gen::inRange(1, 901);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto script = *CallResults();
    const Time reachable_at(*rc::gen::inRange<std::int64_t>(0, 60'000'000));
    const int refused = *rc::gen::inRange(0, 2);
    // The time that the proof in list_subscription.hpp leaves for the answer, depending on the refusals.
    const Time max_answer_delay = refused == 0 ? Time(3'400'000) : Time(900'000);
    const Time answer_delay(*rc::gen::inRange<std::int64_t>(0, max_answer_delay.count() + 1));
    Simulation simulation(CallsDiscovery(senders), seed, script, reachable_at, answer_delay, refused);
    simulation.Report(List::Started{false});
    simulation.RunUntil(reachable_at + List::kBindingAfter);
    RC_ASSERT(simulation.answered_at().has_value());
    RC_ASSERT(*simulation.answered_at() <= reachable_at + List::kBindingAfter);
  }));
}

TEST(ListSubscription, AMoveIsFollowedByACallAtOnceAndARetryInTime) {
  EXPECT_TRUE(rc::check("time for an answer within 4 s of a move if one call is refused at once", [] {
    const auto script = *CallResults();
    const Time moved_at(*rc::gen::inRange<std::int64_t>(0, 30'000'000));
    Simulation simulation(CallsDiscovery(*rc::gen::inRange(1, 901)), *rc::gen::arbitrary<std::uint64_t>(),
                          script, Time::max(), 1s, 0);
    simulation.Report(List::Started{false});
    simulation.RunUntil(moved_at);
    const std::vector<List::Call> calls = simulation.list().Step(moved_at, List::Moved{});
    RC_ASSERT(calls.size() == 1u);
    simulation.list().Step(moved_at, List::Failed{calls.front().number});
    RC_ASSERT(simulation.list().alarm() <= moved_at + List::kLatestNextCall);
    RC_ASSERT(simulation.list().alarm() + 1400ms <= moved_at + List::kBindingAfterMove);
  }));
}

TEST(ListSubscription, CallsKeepTheMinimumInterval) {
  EXPECT_TRUE(rc::check("calls of one sender are kMinCallInterval apart, at any fleet size", [] {
    const auto script = *CallResults();
    Simulation simulation(CallsDiscovery(*rc::gen::inRange(1, 901)), *rc::gen::arbitrary<std::uint64_t>(),
                          script, Time::max(), Time(*rc::gen::inRange<std::int64_t>(0, 3'000'000)), 0);
    simulation.Report(List::Started{false});
    simulation.RunUntil(60s);
    RC_ASSERT(simulation.starts.size() > 1u);
    for (std::size_t i = 1; i < simulation.starts.size(); ++i) {
      RC_ASSERT(simulation.starts[i] - simulation.starts[i - 1] >= List::kMinCallInterval);
    }
  }));
}

TEST(ListSubscription, CallsOfAFleetStayWithinTheStatedRate) {
  for (const CallResult call_result :
       {CallResult::kRefusedImmediately, CallResult::kHangs, CallResult::kRefusedLate}) {
    for (const int senders : {3, 30, 300, 900}) {
      std::vector<Time> starts;
      for (int i = 0; i < senders; ++i) {
        Simulation simulation(CallsDiscovery(senders), static_cast<std::uint64_t>(i + 1), {call_result},
                              Time::max(), 0s, 0);
        simulation.Report(List::Started{false});
        simulation.RunUntil(30s);
        starts.insert(starts.end(), simulation.starts.begin(), simulation.starts.end());
      }
      std::sort(starts.begin(), starts.end());
      std::ptrdiff_t max_in_a_second = 0;
      for (auto it = starts.begin(); it != starts.end(); ++it) {
        max_in_a_second = std::max(max_in_a_second, std::lower_bound(it, starts.end(), *it + 1s) - it);
      }
      EXPECT_LE(static_cast<double>(max_in_a_second), senders) << "one call a sender in any second";
      // The first call, and as many further calls as the mean interval between two calls allows.
      const double mean_interval_s = call_result == CallResult::kRefusedImmediately ? 1.75 : 1.95;
      EXPECT_LE(static_cast<double>(starts.size()), senders * (1 + 30 / mean_interval_s));
      // The calls are spread: a quarter of a second has at most one and a half times its share of them.
      std::ptrdiff_t max_in_250ms = 0;
      for (auto it = starts.begin(); senders >= 300 && it != starts.end(); ++it) {
        max_in_250ms = std::max(max_in_250ms, std::lower_bound(it, starts.end(), *it + 250ms) - it);
      }
      EXPECT_LE(static_cast<double>(max_in_250ms), senders * 0.25 / 1.2 * 1.5);
    }
  }
}

TEST(ListSubscription, CallsAfterASubscriptionEndsForAllSendersAreSpread) {
  std::vector<Time> alarms;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    List list(CallsDiscovery(300), seed);
    const auto first = list.Step(0s, List::Started{true});
    ASSERT_EQ(first.size(), 1u);
    list.Step(10ms, List::Received{1});
    for (Time now = 2s; now <= 20s; now += 2s) EXPECT_TRUE(list.Step(now, List::Received{1}).empty());
    list.Step(20s, List::Failed{1});
    alarms.push_back(list.alarm() - 20s);
  }
  std::sort(alarms.begin(), alarms.end());
  EXPECT_GE(alarms.front(), List::kRetryPause);
  EXPECT_LE(alarms.back(), List::kLatestNextCall);
  EXPECT_GE(alarms[225] - alarms[75], 1s) << "the middle half is spread";
}

TEST(ListSubscription, CallsAfterASilenceOfAllSubscriptionsAreSpreadAndInTime) {
  std::vector<Time> alarms;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    List list(CallsDiscovery(300), seed);
    list.Step(0s, List::Started{true});
    list.Step(10s, List::Received{1});
    alarms.push_back(list.alarm() - 10s);
    // If that call is refused 2 s later, the next one still leaves some of the 6 s for its answer.
    const Time called_at = list.alarm();
    ASSERT_EQ(list.Step(called_at, List::Elapsed{}).size(), 1u);
    list.Step(called_at + kRefusalTimeout, List::Failed{2});
    EXPECT_LE(list.alarm(), 10s + List::kBindingAfter - 700ms);
  }
  std::sort(alarms.begin(), alarms.end());
  EXPECT_GE(alarms.front(), List::kSilenceTimeout);
  EXPECT_LE(alarms.back(), List::kSilenceTimeout + List::kSilenceJitter);
  EXPECT_GE(alarms[225] - alarms[75], 100ms);
}

TEST(ListSubscription, AnUnansweredCallStaysOpenBesideNewerOnes) {
  for (const List::Options& options : {CallsDiscovery(300), PushedByAgent()}) {
    List list(options, 7);
    std::map<List::CallNumber, Time> open_calls;
    Time now{0};
    for (auto calls = list.Step(now, List::Started{true}); now < 60s;) {
      ASSERT_EQ(calls.size(), 1u);
      const List::Call call = calls.front();
      if (call.replaced_call) {
        const bool replaces_oldest = *call.replaced_call == open_calls.begin()->first;
        const bool is_hung = now - open_calls.begin()->second > List::kMaxOpenTime;
        EXPECT_EQ(replaces_oldest, is_hung)
            << "the oldest call is closest to its answer, but may never get one";
        ASSERT_EQ(open_calls.erase(*call.replaced_call), 1u);
      }
      open_calls[call.number] = now;
      EXPECT_LE(open_calls.size(), List::kMaxOpenCalls);
      EXPECT_LE(now - open_calls.begin()->second, List::kMaxOpenTime + List::kAnswerTimeout);
      now = list.alarm();
      calls = list.Step(now, List::Elapsed{});
    }
  }
}

TEST(ListSubscription, TheAnswerOfAnOlderCallBecomesTheSubscription) {
  List list(CallsDiscovery(300), 7);
  list.Step(0s, List::Started{true});
  list.Step(list.alarm(), List::Elapsed{});
  EXPECT_TRUE(list.Step(3s, List::Received{1}).empty());
  EXPECT_EQ(list.subscription(), 1);
  list.Step(3s, List::Failed{2});  // was closed because of the answer, which is no failure
  EXPECT_GE(list.alarm(), 3s + List::kSilenceTimeout);
  EXPECT_LE(list.alarm(), 3s + List::kSilenceTimeout + List::kSilenceJitter);
}

TEST(ListSubscription, ASilentSubscriptionThatReceivesAgainIsKept) {
  List list(CallsDiscovery(1), 7);
  list.Step(0s, List::Started{true});
  list.Step(0s, List::Received{1});
  EXPECT_EQ(list.alarm(), List::kSilenceTimeout);
  ASSERT_EQ(list.Step(list.alarm(), List::Elapsed{}).size(), 1u);
  list.Step(2600ms, List::Received{1});
  list.Step(2700ms, List::Failed{2});
  EXPECT_EQ(list.subscription(), 1);
  EXPECT_EQ(list.alarm(), 2600ms + List::kSilenceTimeout);
}

TEST(ListSubscription, AnAgentIsCalledAgainWithinTheDrainGrace) {
  EXPECT_TRUE(rc::check("a pushed list is requested again well within 300 ms after any failure", [] {
    List list(PushedByAgent(), *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(list.Step(0s, List::Started{false}).size() == 1u);
    const Time failed_at(*rc::gen::inRange<std::int64_t>(0, 500'000));
    list.Step(failed_at, List::Failed{1});
    RC_ASSERT(list.alarm() - failed_at <= 150ms);
    RC_ASSERT(list.alarm() - failed_at >= List::kAgentRetryPause);
  }));
}

TEST(ListSubscription, NoTimeoutIsSetWhereFailuresAreReported) {
  List list({.pushed_by_agent = false, .senders = 1, .failures_are_reported = true}, 7);
  ASSERT_EQ(list.Step(0s, List::Started{false}).size(), 1u);
  EXPECT_EQ(list.alarm(), Time::max());
  list.Step(1s, List::Received{1});
  EXPECT_EQ(list.alarm(), Time::max());
  list.Step(30s, List::Failed{1});
  EXPECT_EQ(list.alarm(), 30s + List::kRetryPause);
}

}  // namespace
}  // namespace wheathub::testing
