// What a fleet whose senders do not talk sends together to an endpoint that returns cold, against the budget
// of the rule on slow start. It binds every fleet, of one sender or of hundreds, whatever its random numbers
// are: so it is asked of fleets of many sizes, kinds of outage and streams. More of them by hand:
// OXBOW_STREAMS=1-200 build-ci/tests/wheathub_tests --gtest_filter='SlowStartBudget*'
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <random>
#include <set>

#include "rig.hpp"

namespace wheathub::testing {
namespace {

constexpr Time kStart = 100s, kDown = 104s, kBack = 109s;
// As the operators' brief has them: work, what a returning endpoint bears, and the slots of a sender that
// has ten such destinations.
constexpr Time kWork = 400ms, kFailsAfter = 30ms;
constexpr double kColdFrom = 0.23, kFallMultiple = 2;
constexpr Time kCold = 13s, kFallSpan = 3s;
constexpr double kSlotsOverLoad = 2.1, kDestinations = 10;
constexpr int kLeastSlots = 3;
constexpr double kKnowingShare = 2.0 / 3;  // of a push, from senders that saw the outage, breaks the rule

double InSeconds(Time t) { return static_cast<double>(t.count()) * 1e-6; }

enum class Outage { kToldMoment, kRefused, kNoConnection, kError, kSilent };
constexpr const char* kOutageNames[] = {"told moment", "refused", "no connection", "error", "silent"};

struct Case {
  int senders = 1;
  double limit = 40;  // calls a second of a warm endpoint
  double load = 1;    // messages a second, in times of the limit: on the worst days 1.3 / 1.2
  Outage outage = Outage::kError;
  bool limit_told = true;
  std::uint64_t stream = 1;
};

std::string NameOf(const Case& c) {
  char text[160];
  std::snprintf(text, sizeof text, "%d senders, limit %g%s, load %g, outage: %s, stream %llu", c.senders,
                c.limit, c.limit_told ? "" : " untold", c.load, kOutageNames[static_cast<int>(c.outage)],
                static_cast<unsigned long long>(c.stream));
  return text;
}

// All senders round one endpoint on a virtual clock; what the endpoint serves while it is cold is not limited
// but counted.
class Fleet {
 public:
  explicit Fleet(const Case& c) : case_(c), random_(c.stream) {
    Settings s = BasicSettings();
    s.senders = c.senders;
    s.weights = c.limit_told ? WeightMeaning::kNominal : WeightMeaning::kNone;
    s.warm_up_start_share = kColdFrom;
    s.warm_up = kCold;
    const double busy = kDestinations * c.limit / c.senders * InSeconds(kWork);
    s.slots = std::max(kLeastSlots, static_cast<int>(std::lround(kSlotsOverLoad * busy)));
    s.classes[0].deadline = 60s;
    EndpointInfo endpoint = At("a", 7);
    endpoint.weight = c.limit;
    for (int rank = 0; rank < c.senders; ++rank) {
      s.rank = rank;
      senders_.push_back(
          {Decider(s, c.stream * 1'000 + static_cast<std::uint64_t>(rank)), Time::max(), false});
    }
    for (std::size_t i = 0; i < senders_.size(); ++i) {
      Step(i, {ListUpdate{ListScope::kRemembered, 1, {endpoint}}});
    }
  }

  // The most calls while it was cold, over the budget of their moment.
  double Play() {
    Later(kStart, [this] { Arrive(); });
    while (!agenda_.empty() && agenda_.begin()->first < kBack + kCold) {
      const auto next = agenda_.extract(agenda_.begin());
      now_ = next.key();
      next.mapped()();
    }
    return worst_;
  }

 private:
  struct Sender {
    Decider decider;
    Time timer;
    bool saw_outage;
  };
  struct Push {
    Time at;
    bool knew;
  };

  void Later(Time at, std::function<void()> what) { agenda_.emplace(at, std::move(what)); }
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  double Warmth() const { return kColdFrom + (1 - kColdFrom) * InSeconds(now_ - kBack) / InSeconds(kCold); }
  bool down() const { return now_ >= kDown && now_ < kBack; }

  void Arrive() {
    Message m;
    m.id = "m" + std::to_string(++messages_);
    m.destination = 7;
    m.expires_in = 60s;
    Step(random_() % senders_.size(), {m});
    const double after_s = -std::log(1 - Uniform()) / (case_.limit * case_.load);
    Later(now_ + Time(static_cast<Time::rep>(after_s * 1e6) + 1), [this] { Arrive(); });
  }

  void Step(std::size_t i, std::vector<Event> events) {
    for (const Action& action : senders_[i].decider.Step(now_, events)) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        Later(std::max(timer->at, now_), [this, i, token = timer->token] { Step(i, {TimerDue{token}}); });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        Call(i, *send);
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        End(i, cancel->id, cancel->attempt, Outcome::kCancelled, now_);
      }
    }
  }

  void Call(std::size_t i, const Send& send) {
    const int attempt = attempts_[send.id]++;
    const Time sent = now_;
    if (now_ >= kBack) Count(senders_[i].saw_outage);
    if (!down()) {
      const double slower = now_ < kBack ? 1 : 1 / Warmth();
      return End(i, send.id, attempt, Outcome::kServed,
                 now_ + Time(static_cast<Time::rep>(slower * static_cast<double>(kWork.count()))));
    }
    switch (case_.outage) {
      case Outage::kToldMoment:
        return End(i, send.id, attempt, Outcome::kRefused, now_ + 2ms, kBack - now_ - 2ms);
      case Outage::kRefused:
        return End(i, send.id, attempt, Outcome::kRefused, now_ + 2ms);
      case Outage::kNoConnection:
        return End(i, send.id, attempt, Outcome::kNoConnection, now_ + 2ms);
      case Outage::kError:
        return End(i, send.id, attempt, Outcome::kError, now_ + kFailsAfter);
      case Outage::kSilent:
        if (send.timeout > 0s) End(i, send.id, attempt, Outcome::kTimedOut, sent + send.timeout);
        return;
    }
  }

  // Whichever end comes first counts.
  void End(std::size_t i, const MessageId& id, int attempt, Outcome outcome, Time at, Time told_wait = 0s) {
    Later(at, [this, i, id, attempt, outcome, told_wait, sent = now_] {
      if (!ended_.emplace(id, attempt).second) return;
      // It knows once it is told, be it after the return.
      if (outcome != Outcome::kServed) senders_[i].saw_outage = true;
      AttemptEnded end;
      end.id = id;
      end.attempt = attempt;
      end.endpoint = "a";
      end.outcome = outcome;
      end.latency = now_ - sent;
      end.closed = outcome == Outcome::kServed;
      end.retry_after = told_wait;
      Step(i, {end});
    });
  }

  void Count(bool knew) {
    pushes_.push_back({now_, knew});
    while (pushes_.front().at <= now_ - kFallSpan) pushes_.pop_front();
    const double may = kFallMultiple * Warmth() * case_.limit * InSeconds(kFallSpan);
    const double slack = may < 30 ? 3 * std::sqrt(may) + 3 : 2 * std::sqrt(may) + 2;
    const auto knowing = std::count_if(pushes_.begin(), pushes_.end(), [](const Push& p) { return p.knew; });
    if (static_cast<double>(knowing) < kKnowingShare * static_cast<double>(pushes_.size())) return;
    worst_ = std::max(worst_, static_cast<double>(pushes_.size()) / (may + slack));
  }

  Case case_;
  std::mt19937_64 random_;
  Time now_ = kStart;
  std::multimap<Time, std::function<void()>> agenda_;
  std::vector<Sender> senders_;
  std::map<MessageId, int> attempts_;
  std::set<std::pair<MessageId, int>> ended_;
  std::deque<Push> pushes_;
  int messages_ = 0;
  double worst_ = 0;
};

// "FROM-TO"
std::pair<std::uint64_t, std::uint64_t> Streams() {
  const char* const text = std::getenv("OXBOW_STREAMS");
  unsigned long long from = 1, to = 4;
  if (text != nullptr && std::sscanf(text, "%llu-%llu", &from, &to) != 2)
    ADD_FAILURE() << "OXBOW_STREAMS=" << text;
  return {from, to};
}

enum class Limit { kTold, kUntold, kBoth };

void Play(Outage outage, Limit limits = Limit::kBoth) {
  const auto [from, to] = Streams();
  for (const int senders : {1, 3, 10, 30, 100, 300, 900}) {
    double worst = 0;
    for (std::uint64_t stream = from; stream <= to; ++stream) {
      for (const double limit : {3.0, 40.0}) {
        for (const bool told : {true, false}) {
          if (limits == (told ? Limit::kUntold : Limit::kTold)) continue;
          const Case c{senders, limit, stream % 2 == 0 ? 0.6 : 1.08, outage, told, stream};
          const double most = Fleet(c).Play();
          EXPECT_LE(most, 1) << NameOf(c);
          worst = std::max(worst, most);
        }
      }
    }
    std::printf("%d senders, %s: %.2f of the budget at most\n", senders,
                kOutageNames[static_cast<int>(outage)], worst);
  }
}

TEST(SlowStartBudget, IsKeptAfterFailedConnections) { Play(Outage::kNoConnection); }
TEST(SlowStartBudget, IsKeptAfterErrors) { Play(Outage::kError); }
TEST(SlowStartBudget, IsKeptAfterSilence) { Play(Outage::kSilent); }
TEST(SlowStartBudget, IsKeptAfterAToldMoment) { Play(Outage::kToldMoment, Limit::kTold); }
TEST(SlowStartBudget, IsKeptAfterAToldMomentWhereNoLimitIsTold) { Play(Outage::kToldMoment, Limit::kUntold); }
TEST(SlowStartBudget, IsKeptAfterRefusalsThatTellNothing) { Play(Outage::kRefused); }

}  // namespace
}  // namespace wheathub::testing
