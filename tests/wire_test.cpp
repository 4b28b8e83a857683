// Tests of the simulator's line protocol: reading events and writing actions.
#include "wire.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace wheathub::wire {
namespace {

using namespace std::chrono_literals;

const char kSettingsJson[] =
    R"({"balancers":3,"rank":1,"models":["m"],"discovery":"ask","weights":"rough","new-key":{"x":1},)"
    R"("family-info":{"calls-out":9,"bundle-max":[4],"kind-apart":[true],"decay":"by_half","carriage":[0.5]},)"
    R"("limits":{"send-cap":7,"max-open":50,"probing":true,"cancel":true,"peers":true,"retry-after":true,)"
    R"("max-retry-after-s":2.5},"invariants":{"cold-from":0.3,"cold-s":9,"drain-grace-s":0.25,)"
    R"("order-settle-s":0.3},"report":{"fields":["cpu","x0","x1"],"how":"answers"},"over-share-worth":0.2,)"
    R"("projects":[{"name":"t","quota-rps":4}],"services":[{"name":"a","semantics":"deduplicated",)"
    R"("key-scope":"zone","goal-time-s":1,"deadline-s":5,"repeat-window-s":3,"worth":2,"late-value":0.5,)"
    R"("one-at-a-time":true}]})";

// A batch that launches an instance and holds the lines of `rest`.
std::string WithLaunch(const std::string& rest) {
  return std::string("TURN wall-s=1.5 round=1\nAT i=sender_0\nLAUNCH salt=7 facts=") + kSettingsJson + "\n" +
         rest + "FLUSH\n";
}

Batch ReadOne(const std::string& text) {
  std::istringstream in(text);
  Reader reader(in);
  Batch batch;
  EXPECT_TRUE(reader.Next(&batch));
  return batch;
}

template <typename EventType>
EventType EventAt(const Batch& batch, std::size_t index) {
  return std::get<EventType>(std::get<Event>(batch.items.at(index).content));
}

// Guards against repeats in another zone: a missing scope was read as the widest one.
TEST(Read, ADeduplicatedClassWithoutAScopeIsBoundToOneZone) {
  const auto is_bound = [](const std::string& keys) {
    std::vector<std::string> report_fields;
    const std::string text = R"({"services":[{"name":"a","deadline-s":5,"repeat-window-s":3,)" + keys + "}]}";
    return ParseSettings(text, &report_fields).classes.at(0).repeats_bound_to_zone;
  };
  EXPECT_TRUE(is_bound(R"("semantics":"deduplicated")"));
  EXPECT_TRUE(is_bound(R"("semantics":"deduplicated","key-scope":"zone")"));
  EXPECT_TRUE(is_bound(R"("semantics":"deduplicated","key-scope":"cell")"));
  EXPECT_FALSE(is_bound(R"("semantics":"deduplicated","key-scope":"all")"));
  EXPECT_FALSE(is_bound(R"("semantics":"idempotent")"));
}

TEST(Read, Settings) {
  const Batch batch = ReadOne(WithLaunch(""));
  const Launch launch = std::get<Launch>(batch.items.at(0).content);
  EXPECT_EQ(launch.seed, 7u);
  const Settings& settings = launch.settings;
  EXPECT_EQ(settings.senders, 3);
  EXPECT_EQ(settings.rank, 1);
  EXPECT_TRUE(settings.must_request_list);
  EXPECT_EQ(settings.weights, WeightMeaning::kRough);
  EXPECT_EQ(settings.slots, 9);
  EXPECT_TRUE(settings.kinds.at(0).separate_routes);
  EXPECT_EQ(settings.kinds.at(0).bundle_max, 4);
  EXPECT_EQ(settings.decay, Decay::kExponential);
  EXPECT_EQ(settings.max_attempts, 7);
  EXPECT_TRUE(settings.may_probe && settings.may_cancel && settings.may_message_peers &&
              settings.may_give_retry_after);
  EXPECT_EQ(settings.max_retry_after, 2500ms);
  EXPECT_EQ(settings.warm_up, 9s);
  EXPECT_EQ(settings.drain_grace, 250ms);
  EXPECT_TRUE(settings.endpoints_report_limit);
  const MessageClass& message_class = settings.classes.at(0);
  EXPECT_EQ(message_class.semantics, Semantics::kDeduplicated);
  EXPECT_TRUE(message_class.repeats_bound_to_zone && message_class.ordered);
  EXPECT_EQ(message_class.repeat_window, 3s);
  EXPECT_EQ(settings.tenants.at(0).quota_per_s, 4);
}

TEST(Read, Events) {
  const Batch batch = ReadOne(
      WithLaunch("LEDGER ref=0 items=2\n"
                 "ITEM weight=1.5 receiver=10.0.0.1:80 model=0 lifecycle=up failure-domain=1 belongs-to=57\n"
                 "ITEM receiver=10.0.0.2:80 lifecycle=draining belongs-to=57 whatever=9\n"
                 "VIEW ref=0 revision=41 scope=remembered\n"
                 "INBOUND rid=r1 name-key=aa category=0 account=0 expires-in-s=0.24 to-exchange=57 resent=1\n"
                 "ATTEMPT_END rid=r1 shot=2 receiver=10.0.0.1:80 reason=no_room delay-seen-s=0.5 wait-ms=250 "
                 "pressure=0.9,0.4,12.5\n"
                 "ATTEMPT_END rid=r1 shot=3 receiver=10.0.0.1:80 reason=stale_send wait-ms=1\n"
                 "PROBED receiver=10.0.0.1:80 reason=pass delay-seen-s=0.001\n"
                 "HANGUP rid=r1\nPEER_DATA author=2 payload=6869\nDEADLINE_HIT handle=sweep\nTEARDOWN\n"));
  EXPECT_EQ(batch.now, 1500ms);
  const auto list = EventAt<ListUpdate>(batch, 1);
  EXPECT_EQ(list.scope, ListScope::kRemembered);
  ASSERT_EQ(list.endpoints.size(), 2u);
  EXPECT_EQ(list.endpoints[0].weight, 1.5);
  EXPECT_EQ(list.endpoints[0].destination, 57);
  EXPECT_EQ(list.endpoints[1].lifecycle, Lifecycle::kDraining);
  const auto message = EventAt<Message>(batch, 2);
  EXPECT_EQ(message.key, "aa");
  EXPECT_EQ(message.expires_in, 240ms);
  EXPECT_TRUE(message.resubmitted);
  const auto ended = EventAt<AttemptEnded>(batch, 3);
  EXPECT_EQ(ended.outcome, Outcome::kRefused);
  EXPECT_EQ(ended.retry_after, 250ms);
  ASSERT_TRUE(ended.reported_limit.has_value());
  EXPECT_EQ(ended.reported_limit->unused_share, 0.4);
  EXPECT_EQ(ended.reported_limit->limit_per_s, 12.5);
  EXPECT_FALSE(ended.message_ended);
  EXPECT_EQ(EventAt<AttemptEnded>(batch, 4).retry_after, 0s)
      << "wait-ms of a stale send is not a retry-after";
  EXPECT_EQ(EventAt<ProbeEnded>(batch, 5).outcome, Outcome::kServed);
  EXPECT_EQ(EventAt<PeerData>(batch, 7).bytes, "hi");
  EXPECT_TRUE(std::holds_alternative<Teardown>(batch.items.at(9).content));
}

TEST(Read, AReusedLedgerNumberRefersToTheLatestList) {
  const std::string first_list =
      "LEDGER ref=3 items=1\nITEM receiver=10.0.0.1:80 lifecycle=up belongs-to=1\n";
  const std::string second_list =
      "LEDGER ref=3 items=1\nITEM receiver=10.0.0.9:80 lifecycle=up belongs-to=1\n";
  const Batch batch = ReadOne(WithLaunch(first_list + "VIEW ref=3 revision=1 scope=all\n" + second_list +
                                         "VIEW ref=3 revision=2 scope=all\n"));
  EXPECT_EQ(EventAt<ListUpdate>(batch, 1).endpoints[0].id, "10.0.0.1:80");
  EXPECT_EQ(EventAt<ListUpdate>(batch, 2).endpoints[0].id, "10.0.0.9:80");
}

TEST(Read, AnErrorNamesTheLine) {
  const std::pair<const char*, const char*> invalid_lines[] = {
      {"WHAT a=1\n", "unknown message"},
      {"INBOUND category=0 expires-in-s=1 to-exchange=5\n", "without rid"},
      {"INBOUND rid=r category=x expires-in-s=1 to-exchange=5\n", "whole number"},
      {"INBOUND rid=r category=0 expires-in-s=soon to-exchange=5\n", "not a number"},
      {"INBOUND rid=r category=0 expires-in-s=nan to-exchange=5\n", "not a number"},
      {"INBOUND rid=r nonsense category=0 expires-in-s=1 to-exchange=5\n", "name=value"},
      {"VIEW ref=9 revision=1 scope=all\n", "no LEDGER defined"},
      {"VIEW ref=9 revision=1 scope=some\n", "unknown scope"},
      {"ATTEMPT_END rid=r shot=0 receiver=a reason=odd\n", "unknown reason"},
      {"ATTEMPT_END rid=r shot=0 receiver=a reason=pass closed=2\n", "neither 1 nor 0"},
      {"PEER_DATA author=0 payload=6\n", "hex"},
      {"LAUNCH salt=1 facts={\"services\":\n", "settings"},
      {"LAUNCH salt=1 facts={\"services\":[{\"semantics\":\"odd\"}]}\n", "semantics"},
      {"LEDGER ref=0 items=1\nVIEW ref=0 revision=1 scope=all\n", "ITEM expected"},
  };
  for (const auto& [line, expected_text] : invalid_lines) {
    std::istringstream in(WithLaunch(line));
    Reader reader(in);
    Batch batch;
    try {
      reader.Next(&batch);
      ADD_FAILURE() << "no error for " << line;
    } catch (const Error& error) {
      EXPECT_NE(std::string(error.what()).find(expected_text), std::string::npos) << error.what();
      EXPECT_EQ(std::string(error.what()).rfind("line ", 0), 0u) << error.what();
    }
  }
}

TEST(Read, EndOfInput) {
  std::istringstream in("TURN wall-s=1 round=1\nFLUSH\n\nTURN wall-s=2 round=2\n");
  Reader reader(in);
  Batch batch;
  EXPECT_TRUE(reader.Next(&batch));
  EXPECT_TRUE(batch.items.empty());
  EXPECT_THROW(reader.Next(&batch), Error) << "the input ends within a batch";
  std::istringstream none("");
  Reader empty(none);
  EXPECT_FALSE(empty.Next(&batch));
}

TEST(Write, Actions) {
  const std::pair<Action, const char*> cases[] = {
      {Send{"r", "10.0.0.1:80", 80ms}, "ASSIGN rid=r receiver=10.0.0.1:80 give-up-after-s=0.080000\n"},
      {Send{"r", "10.0.0.1:80", 0s}, "ASSIGN rid=r receiver=10.0.0.1:80\n"},
      {Refuse{"r", 250ms}, "BUSY rid=r wait-s=0.250000\n"},
      {Refuse{"r", 0s}, "BUSY rid=r\n"},
      {Fail{"r"}, "DROP_REQUEST rid=r\n"},
      {Cancel{"r", 3}, "ABANDON rid=r shot=3\n"},
      {Probe{"10.0.0.1:80"}, "CHECK receiver=10.0.0.1:80\n"},
      {CloseIdle{"10.0.0.1:80"}, "DROP_CONNS receiver=10.0.0.1:80\n"},
      {SubscribeToList{}, "LISTEN enable=1\n"},
      {FetchList{}, "QUERY_ALL\n"},
      {SendToPeers{"hi "}, "SAY target=* payload=686920\n"},
      {SetTimer{"sweep", 8912250us}, "AFTER handle=sweep time-s=8.912250\n"},
      {Log{"two servers known"}, "RECORD reason-text=two servers known\n"},
  };
  for (const auto& [action, line] : cases) {
    std::string out;
    Write(action, &out);
    EXPECT_EQ(out, line);
  }
}

}  // namespace
}  // namespace wheathub::wire
