// Messages that an earlier life of the sender took on: they go on under the rules of their class.
#include <gtest/gtest.h>

#include "rig.hpp"

namespace wheathub::testing {
namespace {

Message Restored(const Rig& rig, int message_class, const History& history) {
  Message m = rig.NewMessage("m1", message_class);
  m.history = history;
  return m;
}

Settings ZoneBound() {
  Settings settings = BasicSettings();
  settings.classes[1].repeats_bound_to_zone = true;
  return settings;
}

TEST(History, AttemptsAreCountedOn) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  rig.Step({Restored(rig, 0, {.sends = 3, .last_endpoint = "a"})});
  ASSERT_EQ(rig.SendCount("m1"), 1);
  rig.Step({rig.AttemptEnd("m1", Outcome::kServed, 3)});
  EXPECT_EQ(rig.decider.held().messages, 0u);
  EXPECT_EQ(rig.decider.held().calls, 0u);
}

TEST(History, TheMostAttemptsHoldOverLives) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  rig.Step({Restored(rig, 0, {.sends = 8, .last_endpoint = "a"})});
  EXPECT_EQ(rig.SendCount("m1"), 0);
  EXPECT_TRUE(rig.Refused("m1"));
}

TEST(History, WhatMayHaveRunIsRepeatedInItsZone) {
  Rig rig(ZoneBound());
  rig.UpdateList({MakeEndpoint("a", 7, 0, 0), MakeEndpoint("b", 7, 0, 1)});
  rig.Step({Restored(rig, 1, {.sends = 1, .may_have_run = true, .since_risk = 2s, .risk_zone = 1})});
  ASSERT_EQ(rig.SendCount("m1"), 1);
  EXPECT_EQ(rig.sent[0].endpoint, "b");
}

TEST(History, WhatMayHaveRunFailsPastItsWindow) {
  Rig rig(ZoneBound());
  rig.UpdateList({MakeEndpoint("a", 7)});
  rig.Step({Restored(rig, 1, {.sends = 1, .may_have_run = true, .since_risk = 16s})});
  EXPECT_EQ(rig.SendCount("m1"), 0);
  EXPECT_TRUE(rig.Failed("m1"));
  EXPECT_FALSE(rig.Refused("m1"));
}

TEST(History, WhatMayHaveRunAndMayNotBeRepeatedFails) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  rig.Step({Restored(rig, 2, {.sends = 1, .may_have_run = true})});
  EXPECT_EQ(rig.SendCount("m1"), 0);
  EXPECT_TRUE(rig.Failed("m1"));
}

TEST(History, ATimeThatRanOutMeanwhileEndsByWhatMayHaveRun) {
  for (const bool may_have_run : {false, true}) {
    Rig rig;
    Message m = Restored(rig, 0, {.sends = 1, .may_have_run = may_have_run});
    m.expires_in = -1s;
    rig.Step({m});
    EXPECT_EQ(rig.Failed("m1"), may_have_run);
    EXPECT_EQ(rig.Refused("m1"), !may_have_run);
  }
}

// A restart is no way round the budget: each restored message that was sent before costs a token.
TEST(History, RestoredMessagesDrawTheirRepeatFromTheBucket) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  std::vector<Event> events;
  for (int i = 0; i < 9; ++i) {
    Message m = Restored(rig, 0, {.sends = 1, .may_have_run = true, .last_endpoint = "a"});
    m.id += std::to_string(i);
    events.push_back(m);
  }
  rig.Step(events);
  EXPECT_EQ(rig.failed.size(), 4u);
  EXPECT_EQ(rig.sent.size(), 5u);
}

// The token of a refused message was drawn as the refusal came: a restart must not take another, and give up
// what it can't pay.
TEST(History, WhatNeverRanHasItsRepeatPaid) {
  Rig rig;
  rig.UpdateList({MakeEndpoint("a", 7)});
  std::vector<Event> events;
  for (int i = 0; i < 9; ++i) {
    Message m = Restored(rig, 0, {.recovered = true, .sends = 1, .last_endpoint = "a"});
    m.id += std::to_string(i);
    events.push_back(m);
  }
  rig.Step(events);
  EXPECT_TRUE(rig.refused.empty());
  EXPECT_EQ(rig.decider.held().messages, 9u);
}

// Near max_open new messages are refused for room; what an earlier life took on is tried all the same.
TEST(History, WhatWasTakenOnIsNotShedForRoom) {
  Settings settings = BasicSettings();
  settings.max_open = 10;
  settings.slots = 1;
  for (const bool kept : {false, true}) {
    Rig rig(settings);
    rig.UpdateList({MakeEndpoint("a", 7)});
    std::vector<Event> events;
    for (int i = 0; i < 30; ++i) {
      Message m = Restored(rig, 0, {.recovered = kept});
      m.id += std::to_string(i);
      events.push_back(m);
    }
    rig.Step(events);
    EXPECT_EQ(rig.refused.empty(), kept);
    EXPECT_EQ(rig.decider.held().messages, kept ? 30u : 9u);
  }
}

}  // namespace
}  // namespace wheathub::testing
