// Tests of messages that an earlier process of the sender accepted: they continue under the rules of their
// class.
#include <gtest/gtest.h>

#include "decider_harness.hpp"

namespace wheathub::testing {
namespace {

// Returns message "m1" as an earlier process left it.
Message RestoredMessage(const DeciderHarness& harness, int message_class, const History& history) {
  Message message = harness.NewMessage("m1", message_class);
  message.history = history;
  return message;
}

// Settings where repeats of deduplicated messages must stay in the zone of the first attempt.
Settings ZoneBoundSettings() {
  Settings settings = BasicSettings();
  settings.classes[1].repeats_bound_to_zone = true;
  return settings;
}

TEST(History, AttemptNumbersContinue) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  harness.Step({RestoredMessage(harness, 0, {.sends = 3, .last_endpoint = "a"})});
  ASSERT_EQ(harness.SendCount("m1"), 1);
  harness.Step({harness.AttemptEnd("m1", Outcome::kServed, 3)});
  EXPECT_EQ(harness.decider.held().messages, 0u);
  EXPECT_EQ(harness.decider.held().calls, 0u);
}

TEST(History, MaxAttemptsCountsAttemptsOfEarlierProcesses) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  harness.Step({RestoredMessage(harness, 0, {.sends = 8, .last_endpoint = "a"})});
  EXPECT_EQ(harness.SendCount("m1"), 0);
  EXPECT_TRUE(harness.Refused("m1"));
}

TEST(History, AMessageThatMayHaveRunIsRepeatedInTheSameZone) {
  DeciderHarness harness(ZoneBoundSettings());
  harness.UpdateList({MakeEndpoint("a", 7, 0, 0), MakeEndpoint("b", 7, 0, 1)});
  harness.Step({RestoredMessage(
      harness, 1,
      {.sends = 1, .may_have_run = true, .since_first_uncertain = 2s, .first_uncertain_zone = 1})});
  ASSERT_EQ(harness.SendCount("m1"), 1);
  EXPECT_EQ(harness.sent[0].endpoint, "b");
}

TEST(History, AMessageThatMayHaveRunFailsAfterTheRepeatWindow) {
  DeciderHarness harness(ZoneBoundSettings());
  harness.UpdateList({MakeEndpoint("a", 7)});
  harness.Step(
      {RestoredMessage(harness, 1, {.sends = 1, .may_have_run = true, .since_first_uncertain = 16s})});
  EXPECT_EQ(harness.SendCount("m1"), 0);
  EXPECT_TRUE(harness.Failed("m1"));
  EXPECT_FALSE(harness.Refused("m1"));
}

TEST(History, AnAtMostOnceMessageThatMayHaveRunFails) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  harness.Step({RestoredMessage(harness, 2, {.sends = 1, .may_have_run = true})});
  EXPECT_EQ(harness.SendCount("m1"), 0);
  EXPECT_TRUE(harness.Failed("m1"));
}

TEST(History, AnExpiredMessageFailsIfItMayHaveRunAndIsRefusedOtherwise) {
  for (const bool may_have_run : {false, true}) {
    DeciderHarness harness;
    Message message = RestoredMessage(harness, 0, {.sends = 1, .may_have_run = may_have_run});
    message.expires_in = -1s;
    harness.Step({message});
    EXPECT_EQ(harness.Failed("m1"), may_have_run);
    EXPECT_EQ(harness.Refused("m1"), !may_have_run);
  }
}

// A restart must not bypass the retry budget: each restored message that was sent before costs a token.
TEST(History, RepeatsOfRestoredMessagesUseTheRetryBudget) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  std::vector<Event> events;
  for (int i = 0; i < 9; ++i) {
    Message message = RestoredMessage(harness, 0, {.sends = 1, .may_have_run = true, .last_endpoint = "a"});
    message.id += std::to_string(i);
    events.push_back(message);
  }
  harness.Step(events);
  EXPECT_EQ(harness.failed.size(), 4u);
  EXPECT_EQ(harness.sent.size(), 5u);
}

// A message spends its retry token when an attempt is refused. After a restart it must not need a second
// token, because messages without a token are given up.
TEST(History, AMessageThatNeverRanHasSpentItsRetryToken) {
  DeciderHarness harness;
  harness.UpdateList({MakeEndpoint("a", 7)});
  std::vector<Event> events;
  for (int i = 0; i < 9; ++i) {
    Message message = RestoredMessage(harness, 0, {.recovered = true, .sends = 1, .last_endpoint = "a"});
    message.id += std::to_string(i);
    events.push_back(message);
  }
  harness.Step(events);
  EXPECT_TRUE(harness.refused.empty());
  EXPECT_EQ(harness.decider.held().messages, 9u);
}

// Near max_open new messages are refused, but messages that an earlier process accepted are kept.
TEST(History, RecoveredMessagesAreNotRefusedNearMaxOpen) {
  Settings settings = BasicSettings();
  settings.max_open = 10;
  settings.slots = 1;
  for (const bool recovered : {false, true}) {
    DeciderHarness harness(settings);
    harness.UpdateList({MakeEndpoint("a", 7)});
    std::vector<Event> events;
    for (int i = 0; i < 30; ++i) {
      Message message = RestoredMessage(harness, 0, {.recovered = recovered});
      message.id += std::to_string(i);
      events.push_back(message);
    }
    harness.Step(events);
    EXPECT_EQ(harness.refused.empty(), recovered);
    EXPECT_EQ(harness.decider.held().messages, recovered ? 30u : 9u);
  }
}

}  // namespace
}  // namespace wheathub::testing
