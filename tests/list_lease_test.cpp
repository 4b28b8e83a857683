// Until when the list may be used: never beyond what the rules allow, whatever happens in whatever order; and
// through an outage of discovery that can be told from a crowd.
#include "wheathub/list_lease.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "rig.hpp"

namespace wheathub::testing {
namespace {

using namespace std::chrono_literals;
using Lease = ListLease;
using Time = Lease::Time;

struct Moment {
  Time at{0};
  Lease::Event event;
};

// Events at moments that never go back, of all kinds.
std::vector<Moment> History(const std::vector<std::pair<int, int>>& draws) {
  std::vector<Moment> history{{Time(0), Lease::Started{}}};
  for (const auto& [gap_ms, kind] : draws) {
    const Time at = history.back().at + Time(gap_ms * 1000);
    const Time begun = std::max(Time(0), at - 2s);
    const std::vector<Lease::Event> kinds{
        Lease::Confirmed{},         Lease::Unreachable{},        Lease::Moved{},
        Lease::SubscriptionEnded{}, Lease::SubscriptionBroken{}, Lease::RefusedImmediately{},
        Lease::RefusedLate{begun}};
    history.push_back({at, kinds[static_cast<std::size_t>(kind)]});
  }
  return history;
}

auto Draws() {
  return rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4000), rc::gen::inRange(0, 7)));
}

TEST(ListLease, EndsBeforeAChangeCountsAsKnown) {
  EXPECT_TRUE(rc::check("by the last thing that says anything of discovery", [] {
    Lease lease;
    Time most = Lease::kStartedFor;
    std::optional<Time> moved;
    for (const Moment& moment : History(*Draws())) {
      lease.Step(moment.at, moment.event);
      if (std::holds_alternative<Lease::Confirmed>(moment.event)) {
        most = moment.at + Lease::kConfirmedFor;
        moved.reset();
      }
      if (std::holds_alternative<Lease::Unreachable>(moment.event)) {
        most = std::max(most, moment.at + Lease::kUnreachableFor);
        moved.reset();
      }
      const auto* late = std::get_if<Lease::RefusedLate>(&moment.event);
      if (late != nullptr) most = std::max(most, late->call_started_at + Lease::kUnreachableFor);
      if (std::holds_alternative<Lease::Moved>(moment.event) && !moved) moved = moment.at;
      RC_ASSERT(lease.valid_until() <= most);
      if (moved) RC_ASSERT(lease.valid_until() <= *moved + Lease::kMovedFor);
    }
  }));
}

TEST(ListLease, ACallRefusedLateHelpsOnlyWhereAnOutageIsPossible) {
  EXPECT_TRUE(rc::check("not after a subscription that broke, a move, or a call refused at once", [] {
    Lease lease;
    lease.Step(Time(0), Lease::Started{});
    const std::vector<Lease::Event> shows_no_outage{Lease::Confirmed{}, Lease::SubscriptionBroken{},
                                                    Lease::RefusedImmediately{}, Lease::Moved{}};
    lease.Step(1s, shows_no_outage[*rc::gen::inRange<std::size_t>(0, 4)]);
    const Time before = lease.valid_until();
    for (int i = 1; i < *rc::gen::inRange(2, 10); ++i) {
      lease.Step(i * 3s, Lease::RefusedLate{i * 3s - 2s});
      RC_ASSERT(lease.valid_until() == before);
    }
  }));
}

TEST(ListLease, LastsThroughAnOutageInWhichEachCallWaitsForItsRefusal) {
  Lease lease;
  lease.Step(Time(0), Lease::Started{});
  lease.Step(1s, Lease::Confirmed{});
  lease.Step(2s, Lease::SubscriptionEnded{});
  for (Time now = 4500ms; now < 60s; now += 2500ms) {
    EXPECT_GT(lease.valid_until(), now);
    lease.Step(now, Lease::RefusedLate{now - 2s});
  }
}

TEST(ListLease, EndsOnceACallIsRefusedAtOnce) {
  Lease lease;
  lease.Step(Time(0), Lease::Started{});
  lease.Step(1s, Lease::Confirmed{});
  lease.Step(2s, Lease::SubscriptionEnded{});
  lease.Step(5s, Lease::RefusedLate{3s});
  lease.Step(6s, Lease::RefusedImmediately{});
  lease.Step(9s, Lease::RefusedLate{7s});
  EXPECT_EQ(lease.valid_until(), 3s + Lease::kUnreachableFor);
}

TEST(ListLease, IsRenewedByTheNextConfirmation) {
  Lease lease;
  lease.Step(Time(0), Lease::Started{});
  EXPECT_LT(lease.valid_until(), 8s);
  EXPECT_EQ(lease.Step(8s, Lease::Confirmed{}), 8s + Lease::kConfirmedFor);
}

TEST(ListLease, IsInheritedAsItWasAndNeverLongerThanOneConfirmedNow) {
  Lease told, untold, never_ends;
  EXPECT_EQ(told.Step(10s, Lease::Inherited{11s}), Time(11s));
  EXPECT_EQ(untold.Step(10s, Lease::Inherited{}), 10s + Lease::kInheritedFor);
  EXPECT_EQ(never_ends.Step(10s, Lease::Inherited{Time::max()}), 10s + Lease::kConfirmedFor);
}

TEST(Decider, SendsNothingByAListThatIsTooOldAndWhatWaitsOnceItIsConfirmed) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  rig.Step({ListValidity{rig.now + 2s}});
  rig.Step({rig.NewMessage("in-time", 0)});
  EXPECT_EQ(rig.SendCount("in-time"), 1);
  rig.Advance(2s);
  rig.Step({rig.AttemptEnd("in-time", Outcome::kServed)});
  rig.Step({rig.NewMessage("late", 0)});
  rig.Advance(3s);
  EXPECT_EQ(rig.SendCount("late"), 0);
  rig.Step({ListValidity{rig.now + 2s}});
  rig.Advance(1s);
  EXPECT_EQ(rig.SendCount("late"), 1);
}

TEST(Decider, AnswersWhatWaitsForTheListBeforeItsTimeIsUp) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  rig.Step({ListValidity{rig.now}});
  rig.Step({rig.NewMessage("m", 1)});
  rig.Advance(19'990ms);
  EXPECT_EQ(rig.SendCount("m"), 0);
  EXPECT_EQ(rig.refused.count("m"), 1u);
}

}  // namespace
}  // namespace wheathub::testing
