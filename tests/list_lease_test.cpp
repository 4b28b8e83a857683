// Tests of the lease on the list of endpoints: it never lasts longer than the rules allow, for any events in
// any order, and it lasts through an outage of discovery that can be distinguished from an overload.
#include "wheathub/list_lease.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "decider_harness.hpp"

namespace wheathub::testing {
namespace {

using namespace std::chrono_literals;
using Lease = ListLease;
using Time = Lease::Time;

struct TimedEvent {
  Time at{0};
  Lease::Event event;
};

// Returns a start and then one event for each pair of a gap in ms since the event before and a kind.
std::vector<TimedEvent> TimedEvents(const std::vector<std::pair<int, int>>& draws) {
  std::vector<TimedEvent> events{{Time(0), Lease::Started{}}};
  for (const auto& [gap_ms, kind] : draws) {
    const Time at = events.back().at + Time(gap_ms * 1000);
    const Time call_started_at = std::max(Time(0), at - 2s);
    const std::vector<Lease::Event> kinds{Lease::Confirmed{},
                                          Lease::Unreachable{},
                                          Lease::Moved{},
                                          Lease::SubscriptionEnded{},
                                          Lease::SubscriptionBroken{},
                                          Lease::RefusedImmediately{},
                                          Lease::RefusedLate{call_started_at}};
    events.push_back({at, kinds[static_cast<std::size_t>(kind)]});
  }
  return events;
}

auto Draws() {
  return rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4000), rc::gen::inRange(0, 7)));
}

TEST(ListLease, NeverExceedsWhatTheLatestEventsAllow) {
  EXPECT_TRUE(rc::check("the end follows from the latest event that shows the state of discovery", [] {
    Lease lease;
    Time latest_end = Lease::kStartedFor;
    std::optional<Time> moved_at;
    for (const TimedEvent& timed : TimedEvents(*Draws())) {
      lease.Step(timed.at, timed.event);
      if (std::holds_alternative<Lease::Confirmed>(timed.event)) {
        latest_end = timed.at + Lease::kConfirmedFor;
        moved_at.reset();
      }
      if (std::holds_alternative<Lease::Unreachable>(timed.event)) {
        latest_end = std::max(latest_end, timed.at + Lease::kUnreachableFor);
        moved_at.reset();
      }
      const auto* refused_late = std::get_if<Lease::RefusedLate>(&timed.event);
      if (refused_late != nullptr)
        latest_end = std::max(latest_end, refused_late->call_started_at + Lease::kUnreachableFor);
      if (std::holds_alternative<Lease::Moved>(timed.event) && !moved_at) moved_at = timed.at;
      RC_ASSERT(lease.valid_until() <= latest_end);
      if (moved_at) RC_ASSERT(lease.valid_until() <= *moved_at + Lease::kMovedFor);
    }
  }));
}

TEST(ListLease, ALateRefusalExtendsItOnlyWhereAnOutageIsPossible) {
  EXPECT_TRUE(rc::check("no extension after a broken subscription, a move, or an immediate refusal", [] {
    Lease lease;
    lease.Step(Time(0), Lease::Started{});
    const std::vector<Lease::Event> excludes_outage{Lease::Confirmed{}, Lease::SubscriptionBroken{},
                                                    Lease::RefusedImmediately{}, Lease::Moved{}};
    lease.Step(1s, excludes_outage[*rc::gen::inRange<std::size_t>(0, 4)]);
    const Time before = lease.valid_until();
    for (int i = 1; i < *rc::gen::inRange(2, 10); ++i) {
      lease.Step(i * 3s, Lease::RefusedLate{i * 3s - 2s});
      RC_ASSERT(lease.valid_until() == before);
    }
  }));
}

TEST(ListLease, LastsThroughAnOutageInWhichEachCallIsRefusedLate) {
  Lease lease;
  lease.Step(Time(0), Lease::Started{});
  lease.Step(1s, Lease::Confirmed{});
  lease.Step(2s, Lease::SubscriptionEnded{});
  for (Time now = 4500ms; now < 60s; now += 2500ms) {
    EXPECT_GT(lease.valid_until(), now);
    lease.Step(now, Lease::RefusedLate{now - 2s});
  }
}

TEST(ListLease, IsNotExtendedAfterAnImmediateRefusal) {
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

TEST(ListLease, IsInheritedUnchangedButNeverLongerThanOneConfirmedNow) {
  Lease with_end, without_end, never_ends;
  EXPECT_EQ(with_end.Step(10s, Lease::Inherited{11s}), Time(11s));
  EXPECT_EQ(without_end.Step(10s, Lease::Inherited{}), 10s + Lease::kInheritedFor);
  EXPECT_EQ(never_ends.Step(10s, Lease::Inherited{Time::max()}), 10s + Lease::kConfirmedFor);
}

TEST(Decider, HoldsMessagesWhileTheListIsExpiredAndSendsThemOnceItIsValid) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  harness.Step({ListValidity{harness.now + 2s}});
  harness.Step({harness.NewMessage("in-time", 0)});
  EXPECT_EQ(harness.SendCount("in-time"), 1);
  harness.Advance(2s);
  harness.Step({harness.AttemptEnd("in-time", Outcome::kServed)});
  harness.Step({harness.NewMessage("late", 0)});
  harness.Advance(3s);
  EXPECT_EQ(harness.SendCount("late"), 0);
  harness.Step({ListValidity{harness.now + 2s}});
  harness.Advance(1s);
  EXPECT_EQ(harness.SendCount("late"), 1);
}

TEST(Decider, RefusesMessagesThatWaitForAValidListBeforeTheirDeadline) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  harness.Step({ListValidity{harness.now}});
  harness.Step({harness.NewMessage("m", 1)});
  harness.Advance(19'990ms);
  EXPECT_EQ(harness.SendCount("m"), 0);
  EXPECT_EQ(harness.refused.count("m"), 1u);
}

}  // namespace
}  // namespace wheathub::testing
