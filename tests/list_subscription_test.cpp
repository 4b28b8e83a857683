// When discovery is called for the list: in time whatever becomes of calls, and never more often than stated,
// for fleets of 1 to 900 and any order of what may happen.
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

// What discovery does with a call.
enum class Fate { kAnswered, kRefusedAtOnce, kRefusedLate, kHangs, kEndsBehindItsList };

constexpr Time kRefusesWithin = 2s;  // a discovery that can be reached refuses no later

// A discovery on a virtual clock round one sender: its calls meet the fates that `script` has for them in
// turn, until `reachable_at`; from then on each is answered after `answers_after`, but for `refused` of them,
// which are refused as late as can be.
class Round {
 public:
  Round(List::Options options, std::uint64_t seed, std::vector<Fate> script, Time reachable_at,
        Time answers_after, int refused)
      : list_(options, seed),
        script_(std::move(script)),
        reachable_at_(reachable_at),
        answers_after_(answers_after),
        refused_(refused) {}

  // Runs until that moment, which is the one of the first answer from `reachable_at` on if it is sooner.
  void RunUntil(Time end) {
    while (!answered_at_ && now_ <= end) {
      const Time next = std::min(list_.alarm(), due_.empty() ? Time::max() : due_.begin()->first);
      if (next > end) break;
      now_ = std::max(now_, next);
      if (!due_.empty() && due_.begin()->first <= now_) {
        const auto happens = due_.begin()->second;
        due_.erase(due_.begin());
        Tell(happens);
      } else {
        Tell(List::Elapsed{});
      }
    }
  }
  void Tell(const List::Event& event) {
    if (const auto* heard = std::get_if<List::Received>(&event)) {
      if (now_ >= reachable_at_ && started_.at(heard->call) >= Time(0)) answered_at_ = now_;
    }
    for (const List::Call& call : list_.Step(now_, event)) Start(call);
  }
  void Start(const List::Call& call) {
    starts.push_back(now_);
    started_[call.number] = now_;
    if (now_ >= reachable_at_) {
      if (refused_-- > 0) return Add(now_ + kRefusesWithin, List::Failed{call.number});
      return Add(now_ + answers_after_, List::Received{call.number});
    }
    const Fate fate = script_.empty() ? Fate::kHangs : script_[starts.size() % script_.size()];
    if (fate == Fate::kAnswered) Add(now_ + answers_after_, List::Received{call.number});
    if (fate == Fate::kRefusedAtOnce) Add(now_, List::Failed{call.number});
    if (fate == Fate::kRefusedLate) Add(now_ + kRefusesWithin, List::Failed{call.number});
    if (fate == Fate::kEndsBehindItsList) {
      Add(now_ + answers_after_, List::Received{call.number});
      Add(now_ + answers_after_, List::Failed{call.number});
    }
  }
  void Add(Time at, List::Event event) { due_.emplace(at, std::move(event)); }

  List& list() { return list_; }
  Time now() const { return now_; }
  const std::optional<Time>& answered_at() const { return answered_at_; }
  std::vector<Time> starts;

 private:
  List list_;
  std::vector<Fate> script_;
  Time reachable_at_, answers_after_;
  int refused_;
  Time now_{0};
  std::multimap<Time, List::Event> due_;
  std::map<List::CallNumber, Time> started_;
  std::optional<Time> answered_at_;
};

List::Options Asked(int senders) {
  return {.pushed_by_agent = false, .senders = senders, .failures_are_reported = false};
}
List::Options Pushed() { return {.pushed_by_agent = true, .senders = 300, .failures_are_reported = false}; }

rc::Gen<std::vector<Fate>> Fates() {
  return rc::gen::container<std::vector<Fate>>(rc::gen::element(
      Fate::kAnswered, Fate::kRefusedAtOnce, Fate::kRefusedLate, Fate::kHangs, Fate::kEndsBehindItsList));
}

TEST(ListSubscription, NewsIsKnownInTimeWhateverBecameOfEarlierCalls) {
  EXPECT_TRUE(rc::check("an answer within 6 s of a discovery that can be reached", [] {
    const int senders = *rc::gen::inRange(1, 901);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto script = *Fates();
    const Time reachable_at(*rc::gen::inRange<std::int64_t>(0, 60'000'000));
    const int refused = *rc::gen::inRange(0, 2);
    // What the proof leaves for the answer, by how many calls are refused.
    const Time most = refused == 0 ? Time(3'400'000) : Time(900'000);
    const Time answers_after(*rc::gen::inRange<std::int64_t>(0, most.count() + 1));
    Round round(Asked(senders), seed, script, reachable_at, answers_after, refused);
    round.Tell(List::Started{false});
    round.RunUntil(reachable_at + List::kKnownWithin);
    RC_ASSERT(round.answered_at().has_value());
    RC_ASSERT(*round.answered_at() <= reachable_at + List::kKnownWithin);
  }));
}

TEST(ListSubscription, AMoveIsFollowedAtOnceAndOnceMoreInTime) {
  EXPECT_TRUE(rc::check("an answer within 4 s of a move, one call refused at once", [] {
    const auto script = *Fates();
    const Time moved_at(*rc::gen::inRange<std::int64_t>(0, 30'000'000));
    Round round(Asked(*rc::gen::inRange(1, 901)), *rc::gen::arbitrary<std::uint64_t>(), script, Time::max(),
                1s, 0);
    round.Tell(List::Started{false});
    round.RunUntil(moved_at);
    const std::vector<List::Call> calls = round.list().Step(moved_at, List::Moved{});
    RC_ASSERT(calls.size() == 1u);
    round.list().Step(moved_at, List::Failed{calls.front().number});
    RC_ASSERT(round.list().alarm() <= moved_at + List::kLatestNextCall);
    RC_ASSERT(round.list().alarm() + 1400ms <= moved_at + List::kKnownWithinAfterMove);
  }));
}

TEST(ListSubscription, CallsStartNoCloserThanStated) {
  EXPECT_TRUE(rc::check("calls of one sender are kMinCallInterval apart, at any fleet size", [] {
    const auto script = *Fates();
    Round round(Asked(*rc::gen::inRange(1, 901)), *rc::gen::arbitrary<std::uint64_t>(), script, Time::max(),
                Time(*rc::gen::inRange<std::int64_t>(0, 3'000'000)), 0);
    round.Tell(List::Started{false});
    round.RunUntil(60s);
    RC_ASSERT(round.starts.size() > 1u);
    for (std::size_t i = 1; i < round.starts.size(); ++i) {
      RC_ASSERT(round.starts[i] - round.starts[i - 1] >= List::kMinCallInterval);
    }
  }));
}

TEST(ListSubscription, AFleetsCallsStayUnderTheStatedBoundInAnySecond) {
  for (const Fate fate : {Fate::kRefusedAtOnce, Fate::kHangs, Fate::kRefusedLate}) {
    for (const int senders : {3, 30, 300, 900}) {
      std::vector<Time> starts;
      for (int i = 0; i < senders; ++i) {
        Round round(Asked(senders), static_cast<std::uint64_t>(i + 1), {fate}, Time::max(), 0s, 0);
        round.Tell(List::Started{false});
        round.RunUntil(30s);
        starts.insert(starts.end(), round.starts.begin(), round.starts.end());
      }
      std::sort(starts.begin(), starts.end());
      std::ptrdiff_t most = 0;
      for (auto it = starts.begin(); it != starts.end(); ++it) {
        most = std::max(most, std::lower_bound(it, starts.end(), *it + 1s) - it);
      }
      EXPECT_LE(static_cast<double>(most), senders) << "one call a sender in any second";
      // The first call, and as many as the mean span between two allows.
      const double apart_s = fate == Fate::kRefusedAtOnce ? 1.75 : 1.95;
      EXPECT_LE(static_cast<double>(starts.size()), senders * (1 + 30 / apart_s));
      // And not all at once: a quarter of a second holds no more than its part, and half of that again.
      std::ptrdiff_t burst = 0;
      for (auto it = starts.begin(); senders >= 300 && it != starts.end(); ++it) {
        burst = std::max(burst, std::lower_bound(it, starts.end(), *it + 250ms) - it);
      }
      EXPECT_LE(static_cast<double>(burst), senders * 0.25 / 1.2 * 1.5);
    }
  }
}

TEST(ListSubscription, ASubscriptionThatEndsIsNotAskedForByAllAtOnce) {
  std::vector<Time> alarms;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    List list(Asked(300), seed);
    const auto first = list.Step(0s, List::Started{true});
    ASSERT_EQ(first.size(), 1u);
    list.Step(10ms, List::Received{1});
    for (Time t = 2s; t <= 20s; t += 2s) EXPECT_TRUE(list.Step(t, List::Received{1}).empty());
    list.Step(20s, List::Failed{1});
    alarms.push_back(list.alarm() - 20s);
  }
  std::sort(alarms.begin(), alarms.end());
  EXPECT_GE(alarms.front(), List::kRetryPause);
  EXPECT_LE(alarms.back(), List::kLatestNextCall);
  EXPECT_GE(alarms[225] - alarms[75], 1s) << "the middle half is spread";
}

TEST(ListSubscription, ASilenceThatBeginsForAllAtOnceIsFoundApartAndInTime) {
  std::vector<Time> alarms;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    List list(Asked(300), seed);
    list.Step(0s, List::Started{true});
    list.Step(10s, List::Received{1});
    alarms.push_back(list.alarm() - 10s);
    // Refused 2 s later, the next call still leaves some of the 6 s for its answer.
    const Time called = list.alarm();
    ASSERT_EQ(list.Step(called, List::Elapsed{}).size(), 1u);
    list.Step(called + kRefusesWithin, List::Failed{2});
    EXPECT_LE(list.alarm(), 10s + List::kKnownWithin - 700ms);
  }
  std::sort(alarms.begin(), alarms.end());
  EXPECT_GE(alarms.front(), List::kSilenceTimeout);
  EXPECT_LE(alarms.back(), List::kSilenceTimeout + List::kSilenceJitter);
  EXPECT_GE(alarms[225] - alarms[75], 100ms);
}

TEST(ListSubscription, AnUnansweredCallKeepsItsPlaceBesideNewerOnes) {
  for (const List::Options& options : {Asked(300), Pushed()}) {
    List list(options, 7);
    std::map<List::CallNumber, Time> open;
    Time now{0};
    for (auto calls = list.Step(now, List::Started{true}); now < 60s;) {
      ASSERT_EQ(calls.size(), 1u);
      const List::Call call = calls.front();
      if (call.replaced_call) {
        const bool oldest = *call.replaced_call == open.begin()->first;
        const bool old = now - open.begin()->second > List::kMaxOpenTime;
        EXPECT_EQ(oldest, old) << "the oldest is nearest to its answer, but may hang for good";
        ASSERT_EQ(open.erase(*call.replaced_call), 1u);
      }
      open[call.number] = now;
      EXPECT_LE(open.size(), List::kMaxOpenCalls);
      EXPECT_LE(now - open.begin()->second, List::kMaxOpenTime + List::kAnswerTimeout);
      now = list.alarm();
      calls = list.Step(now, List::Elapsed{});
    }
  }
}

TEST(ListSubscription, AnOlderCallsAnswerIsTheSubscription) {
  List list(Asked(300), 7);
  list.Step(0s, List::Started{true});
  list.Step(list.alarm(), List::Elapsed{});
  EXPECT_TRUE(list.Step(3s, List::Received{1}).empty());
  EXPECT_EQ(list.subscription(), 1);
  list.Step(3s, List::Failed{2});  // closed with it: nothing of its own
  EXPECT_GE(list.alarm(), 3s + List::kSilenceTimeout);
  EXPECT_LE(list.alarm(), 3s + List::kSilenceTimeout + List::kSilenceJitter);
}

TEST(ListSubscription, ASubscriptionThoughtSilentThatSpeaksAgainIsKept) {
  List list(Asked(1), 7);
  list.Step(0s, List::Started{true});
  list.Step(0s, List::Received{1});
  EXPECT_EQ(list.alarm(), List::kSilenceTimeout);
  ASSERT_EQ(list.Step(list.alarm(), List::Elapsed{}).size(), 1u);
  list.Step(2600ms, List::Received{1});
  list.Step(2700ms, List::Failed{2});
  EXPECT_EQ(list.subscription(), 1);
  EXPECT_EQ(list.alarm(), 2600ms + List::kSilenceTimeout);
}

TEST(ListSubscription, AnAgentIsAskedAgainWithinTheGraceOfADrain) {
  EXPECT_TRUE(rc::check("a pushed list is asked for again well within 300 ms of any failure", [] {
    List list(Pushed(), *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(list.Step(0s, List::Started{false}).size() == 1u);
    const Time failed_at(*rc::gen::inRange<std::int64_t>(0, 500'000));
    list.Step(failed_at, List::Failed{1});
    RC_ASSERT(list.alarm() - failed_at <= 150ms);
    RC_ASSERT(list.alarm() - failed_at >= List::kAgentRetryPause);
  }));
}

TEST(ListSubscription, WhereFailuresAreToldNothingIsTimed) {
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
