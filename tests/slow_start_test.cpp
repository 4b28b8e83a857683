// Checks that the senders of a fleet, which do not communicate, together keep to the budget of the slow start
// rule when they call an endpoint that returns from an outage and warms up. The rule applies to a fleet of
// any size and to any random numbers, so the tests run many sizes, kinds of outage and random streams. To run
// more streams by hand: OXBOW_STREAMS=1-200 build-ci/tests/wheathub_tests --gtest_filter='SlowStartBudget*'
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <random>
#include <set>

#include "decider_harness.hpp"

namespace wheathub::testing {
namespace {

constexpr Time kStart = 100s, kDownAt = 104s, kReturnAt = 109s;
// From the operators' specification: the duration of a call, the capacity of a returning endpoint, and the
// slots of a sender that has ten such destinations.
constexpr Time kServiceTime = 400ms, kErrorDelay = 30ms;
constexpr double kWarmUpStartShare = 0.23, kCollapseLoadFactor = 2;
constexpr Time kWarmUp = 13s, kCollapseAfter = 3s;
constexpr double kSlotsPerCallInFlight = 2.1, kDestinations = 10;
constexpr int kMinSlots = 3;
// An overload violates the rule if at least this share of its calls is from senders that noticed the outage.
constexpr double kInformedShare = 2.0 / 3;

double InSeconds(Time time) { return static_cast<double>(time.count()) * 1e-6; }

// How calls end during the outage: refused with a retry-after that ends with the outage, refused without one,
// no connection, an error, or no response.
enum class Outage { kRefusedWithRetryAfter, kRefused, kNoConnection, kError, kNoResponse };
constexpr const char* kOutageNames[] = {"refused with retry-after", "refused", "no connection", "error",
                                        "no response"};

// One run of a fleet.
struct Case {
  int senders = 1;
  double limit = 40;  // calls a second of a warm endpoint
  double load = 1;    // messages a second, as a multiple of the limit; 1.3 / 1.2 at most
  Outage outage = Outage::kError;
  bool limit_announced = true;  // whether the list holds the limit
  std::uint64_t stream = 1;     // selects the random numbers
};

std::string Describe(const Case& test_case) {
  char text[160];
  std::snprintf(text, sizeof text, "%d senders, limit %g%s, load %g, outage: %s, stream %llu",
                test_case.senders, test_case.limit, test_case.limit_announced ? "" : " not announced",
                test_case.load, kOutageNames[static_cast<int>(test_case.outage)],
                static_cast<unsigned long long>(test_case.stream));
  return text;
}

// Simulates all senders of a fleet and one endpoint on a virtual clock. While the endpoint warms up, it
// serves every call, and the calls are counted.
class Fleet {
 public:
  explicit Fleet(const Case& test_case) : case_(test_case), random_(test_case.stream) {
    Settings settings = BasicSettings();
    settings.senders = test_case.senders;
    settings.weights = test_case.limit_announced ? WeightMeaning::kNominal : WeightMeaning::kNone;
    settings.warm_up_start_share = kWarmUpStartShare;
    settings.warm_up = kWarmUp;
    const double calls_in_flight =
        kDestinations * test_case.limit / test_case.senders * InSeconds(kServiceTime);
    settings.slots =
        std::max(kMinSlots, static_cast<int>(std::lround(kSlotsPerCallInFlight * calls_in_flight)));
    settings.classes[0].deadline = 60s;
    EndpointInfo endpoint = MakeEndpoint("a", 7);
    endpoint.weight = test_case.limit;
    for (int rank = 0; rank < test_case.senders; ++rank) {
      settings.rank = rank;
      senders_.push_back({Decider(settings, test_case.stream * 1'000 + static_cast<std::uint64_t>(rank)),
                          Time::max(), false});
    }
    for (std::size_t i = 0; i < senders_.size(); ++i) {
      Step(i, {ListUpdate{ListScope::kRemembered, 1, {endpoint}}});
    }
  }

  // Runs until the warm-up ends. Returns the largest number of calls within kCollapseAfter during the
  // warm-up, as a multiple of the budget at that time.
  double Run() {
    Schedule(kStart, [this] { MessageArrives(); });
    while (!schedule_.empty() && schedule_.begin()->first < kReturnAt + kWarmUp) {
      const auto next = schedule_.extract(schedule_.begin());
      now_ = next.key();
      next.mapped()();
    }
    return worst_overload_;
  }

 private:
  struct Sender {
    Decider decider;
    Time timer;
    bool saw_outage;
  };
  struct CountedCall {
    Time at;
    bool informed;  // its sender had seen the outage
  };

  void Schedule(Time at, std::function<void()> task) { schedule_.emplace(at, std::move(task)); }
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  // Share of the full capacity that the endpoint has at present, since its return.
  double CapacityShare() const {
    return kWarmUpStartShare + (1 - kWarmUpStartShare) * InSeconds(now_ - kReturnAt) / InSeconds(kWarmUp);
  }
  bool down() const { return now_ >= kDownAt && now_ < kReturnAt; }

  // Submits a message to a random sender, and schedules the next arrival of a Poisson process.
  void MessageArrives() {
    Message message;
    message.id = "m" + std::to_string(++messages_);
    message.destination = 7;
    message.expires_in = 60s;
    Step(random_() % senders_.size(), {message});
    const double interval_s = -std::log(1 - Uniform()) / (case_.limit * case_.load);
    Schedule(now_ + Time(static_cast<Time::rep>(interval_s * 1e6) + 1), [this] { MessageArrives(); });
  }

  void Step(std::size_t sender, std::vector<Event> events) {
    for (const Action& action : senders_[sender].decider.Step(now_, events)) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        Schedule(std::max(timer->at, now_),
                 [this, sender, token = timer->token] { Step(sender, {TimerDue{token}}); });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        StartCall(sender, *send);
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        ScheduleEnd(sender, cancel->id, cancel->attempt, Outcome::kCancelled, now_);
      }
    }
  }

  void StartCall(std::size_t sender, const Send& send) {
    const int attempt = attempts_[send.id]++;
    const Time sent_at = now_;
    if (now_ >= kReturnAt) CountCall(senders_[sender].saw_outage);
    if (!down()) {
      const double slowdown = now_ < kReturnAt ? 1 : 1 / CapacityShare();
      return ScheduleEnd(
          sender, send.id, attempt, Outcome::kServed,
          now_ + Time(static_cast<Time::rep>(slowdown * static_cast<double>(kServiceTime.count()))));
    }
    switch (case_.outage) {
      case Outage::kRefusedWithRetryAfter:
        return ScheduleEnd(sender, send.id, attempt, Outcome::kRefused, now_ + 2ms, kReturnAt - now_ - 2ms);
      case Outage::kRefused:
        return ScheduleEnd(sender, send.id, attempt, Outcome::kRefused, now_ + 2ms);
      case Outage::kNoConnection:
        return ScheduleEnd(sender, send.id, attempt, Outcome::kNoConnection, now_ + 2ms);
      case Outage::kError:
        return ScheduleEnd(sender, send.id, attempt, Outcome::kError, now_ + kErrorDelay);
      case Outage::kNoResponse:
        if (send.timeout > 0s)
          ScheduleEnd(sender, send.id, attempt, Outcome::kTimedOut, sent_at + send.timeout);
        return;
    }
  }

  // Reports the end of an attempt to its sender at that time, unless the attempt has ended in another way
  // before.
  void ScheduleEnd(std::size_t sender, const MessageId& id, int attempt, Outcome outcome, Time at,
                   Time retry_after = 0s) {
    Schedule(at, [this, sender, id, attempt, outcome, retry_after, sent_at = now_] {
      if (!ended_.emplace(id, attempt).second) return;
      // From now on the sender counts as having noticed the outage, even if the endpoint has returned
      // meanwhile.
      if (outcome != Outcome::kServed) senders_[sender].saw_outage = true;
      AttemptEnded ended;
      ended.id = id;
      ended.attempt = attempt;
      ended.endpoint = "a";
      ended.outcome = outcome;
      ended.latency = now_ - sent_at;
      ended.message_ended = outcome == Outcome::kServed;
      ended.retry_after = retry_after;
      Step(sender, {ended});
    });
  }

  // Compares the calls of the last kCollapseAfter with the load at which the endpoint collapses, plus a
  // margin for chance.
  void CountCall(bool informed) {
    recent_calls_.push_back({now_, informed});
    while (recent_calls_.front().at <= now_ - kCollapseAfter) recent_calls_.pop_front();
    const double budget = kCollapseLoadFactor * CapacityShare() * case_.limit * InSeconds(kCollapseAfter);
    const double margin = budget < 30 ? 3 * std::sqrt(budget) + 3 : 2 * std::sqrt(budget) + 2;
    const auto informed_calls = std::count_if(recent_calls_.begin(), recent_calls_.end(),
                                              [](const CountedCall& call) { return call.informed; });
    if (static_cast<double>(informed_calls) < kInformedShare * static_cast<double>(recent_calls_.size()))
      return;
    worst_overload_ =
        std::max(worst_overload_, static_cast<double>(recent_calls_.size()) / (budget + margin));
  }

  Case case_;
  std::mt19937_64 random_;
  Time now_ = kStart;
  std::multimap<Time, std::function<void()>> schedule_;
  std::vector<Sender> senders_;
  std::map<MessageId, int> attempts_;  // number of started attempts, by message
  std::set<std::pair<MessageId, int>> ended_;
  std::deque<CountedCall> recent_calls_;
  int messages_ = 0;
  double worst_overload_ = 0;
};

// Range of random streams to run, from OXBOW_STREAMS ("FROM-TO"); 1 to 4 if it is not set.
std::pair<std::uint64_t, std::uint64_t> Streams() {
  const char* const text = std::getenv("OXBOW_STREAMS");
  unsigned long long from = 1, to = 4;
  if (text != nullptr && std::sscanf(text, "%llu-%llu", &from, &to) != 2)
    ADD_FAILURE() << "OXBOW_STREAMS=" << text;
  return {from, to};
}

// Whether the list announces the limit of the endpoint.
enum class Limit { kAnnounced, kNotAnnounced, kBoth };

// Expects that fleets of all sizes keep to the budget after an outage of this kind.
void CheckBudget(Outage outage, Limit limits = Limit::kBoth) {
  const auto [from, to] = Streams();
  for (const int senders : {1, 3, 10, 30, 100, 300, 900}) {
    double worst = 0;
    for (std::uint64_t stream = from; stream <= to; ++stream) {
      for (const double limit : {3.0, 40.0}) {
        for (const bool announced : {true, false}) {
          if (limits == (announced ? Limit::kNotAnnounced : Limit::kAnnounced)) continue;
          const Case test_case{senders, limit, stream % 2 == 0 ? 0.6 : 1.08, outage, announced, stream};
          const double overload = Fleet(test_case).Run();
          EXPECT_LE(overload, 1) << Describe(test_case);
          worst = std::max(worst, overload);
        }
      }
    }
    std::printf("%d senders, %s: %.2f of the budget at most\n", senders,
                kOutageNames[static_cast<int>(outage)], worst);
  }
}

TEST(SlowStartBudget, IsKeptAfterFailedConnections) { CheckBudget(Outage::kNoConnection); }
TEST(SlowStartBudget, IsKeptAfterErrors) { CheckBudget(Outage::kError); }
TEST(SlowStartBudget, IsKeptAfterSilence) { CheckBudget(Outage::kNoResponse); }
// A "told moment" in these names is a retry-after that ends when the endpoint returns; a "told" limit is one
// that the list announces.
TEST(SlowStartBudget, IsKeptAfterAToldMoment) {
  CheckBudget(Outage::kRefusedWithRetryAfter, Limit::kAnnounced);
}
TEST(SlowStartBudget, IsKeptAfterAToldMomentWhereNoLimitIsTold) {
  CheckBudget(Outage::kRefusedWithRetryAfter, Limit::kNotAnnounced);
}
TEST(SlowStartBudget, IsKeptAfterRefusalsThatTellNothing) { CheckBudget(Outage::kRefused); }

}  // namespace
}  // namespace wheathub::testing
