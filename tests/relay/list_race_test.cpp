// The host list in rare situations: discovery is silent from the start, closes the connection in the middle
// of a change, refuses repeatedly, sends a list older than the known one, or moves while a change is in
// transit.
#include <catch2/catch.hpp>

#include "relay_harness.hpp"

namespace oxbowspread::testing {
namespace {

// A relay with two hosts of one destination.
struct ListFixture {
  StubServices stubs;
  RelayProcess relay{stubs};

  ListFixture() {
    stubs.AddHost("a", 7);
    stubs.AddHost("b", 7);
  }
  void WaitForCounter(Client& client, const char* counter, long count) {
    stubs.WaitUntil([&] { return client.Counters()[counter] >= count; });
  }
  // Returns the list entry of that host, changed to that state.
  nlohmann::json EntryWithState(const std::string& id, const std::string& state) const {
    nlohmann::json entry = stubs.ListEntry(id);
    entry["state"] = state;
    return entry;
  }
  // Delivers that number of messages and returns the hosts that were called.
  std::set<std::string> DeliverAndListHosts(Client& client, int messages) {
    std::set<std::string> hosts;
    for (int i = 0; i < messages; ++i) {
      const long before = client.Counters()["delivered"];
      client.Put("id-" + std::to_string(++sent_messages_));
      REQUIRE(client.ReadLine() == "+OK");
      const HttpRequest call = stubs.NextCall();
      hosts.insert(stubs.HostOf(call));
      stubs.Answer(call, "200 OK");
      WaitForCounter(client, "delivered", before + 1);
    }
    return hosts;
  }

 private:
  int sent_messages_ = 0;
};

const std::set<std::string> kOnlyA = {"a"};

// Guards against calls to draining hosts after a change to a discovery server that lags behind the previous
// one.
TEST_CASE("a list older than the known one is ignored and a newer one is applied again") {
  ListFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  fixture.stubs.PushChange(
      {{"version", 50}, {"full", false}, {"servers", {fixture.EntryWithState("b", "Terminating")}}});
  fixture.WaitForCounter(client, "list_changes", changes + 1);
  // An old full list and then an old change, as a lagging discovery server sends them.
  fixture.stubs.PushChange(
      {{"version", 48},
       {"full", true},
       {"servers", {fixture.EntryWithState("a", "Ready"), fixture.EntryWithState("b", "Ready")}}});
  fixture.stubs.PushChange(
      {{"version", 49}, {"full", false}, {"servers", {fixture.EntryWithState("b", "Ready")}}});
  fixture.WaitForCounter(client, "lists_behind", 2);
  CHECK(fixture.DeliverAndListHosts(client, 4) == kOnlyA);
  fixture.stubs.PushChange(
      {{"version", 51}, {"full", false}, {"servers", {fixture.EntryWithState("a", "Gone")}}});
  fixture.WaitForCounter(client, "list_changes", changes + 2);
  const long attempts = client.Counters()["legs"];
  client.Put("kept");
  REQUIRE(client.ReadLine() == "+OK");
  CHECK(client.Counters()["legs"] == attempts);  // the step that accepts a message also starts its attempt
  // A change with the same version is not older.
  fixture.stubs.PushChange(
      {{"version", 51}, {"full", false}, {"servers", {fixture.EntryWithState("b", "Ready")}}});
  const HttpRequest call = fixture.stubs.NextCall();
  CHECK(call.id() == "kept");
  CHECK(fixture.stubs.HostOf(call) == "b");
}

// Guards against a relay that keeps its last list forever after discovery has restarted its version count.
TEST_CASE(
    "a discovery that keeps sending lower versions is asked for the full list and its answer is applied") {
  ListFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  fixture.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", nlohmann::json::array()}});
  fixture.WaitForCounter(client, "list_changes", changes + 1);
  fixture.stubs.SetState("b", "Terminating");  // version 2
  fixture.WaitForCounter(client, "lists_behind", 1);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; }, 13s);
  Client later(fixture.relay);  // the first client's connection has been idle for too long
  fixture.WaitForCounter(later, "list_changes", changes + 2);
  CHECK(fixture.DeliverAndListHosts(later, 4) == kOnlyA);
}

TEST_CASE("a subscription that is silent from the start is requested again in both discovery modes") {
  for (const char* mode : {"ask", "push"}) {
    INFO(mode);
    ListFixture fixture;
    fixture.relay.config["settings"]["discovery"] = mode;
    fixture.stubs.discovery_silent = true;
    fixture.relay.Start();
    {
      Client client(fixture.relay);
      // The relay uses the list that it was started with.
      CHECK(fixture.DeliverAndListHosts(client, 1).size() == 1);
    }
    fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
    const auto asked = Clock::now();
    fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; });
    CHECK(Clock::now() - asked < 6s);
    fixture.stubs.discovery_silent = false;
    fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 3; });
    Client client(fixture.relay);
    fixture.WaitForCounter(client, "list_changes", 2);
    fixture.stubs.SetState("b", "Terminating");
    fixture.WaitForCounter(client, "list_changes", 3);
    CHECK(fixture.DeliverAndListHosts(client, 4) == kOnlyA);
  }
}

TEST_CASE("a change that is cut off in the middle is not applied and the next subscription delivers it") {
  ListFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  const std::string half =
      nlohmann::json(
          {{"version", 9},
           {"full", false},
           {"servers", {fixture.EntryWithState("a", "Gone"), fixture.EntryWithState("b", "Gone")}}})
          .dump();
  fixture.stubs.PushChunk(half.substr(0, half.size() - 3));
  fixture.stubs.WaitUntilPushesDelivered();
  // This change follows on the same subscription, so it becomes part of the unreadable text.
  fixture.stubs.SetState("b", "Ready");
  fixture.stubs.CloseWatches();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; });
  fixture.WaitForCounter(client, "list_changes", changes + 1);
  CHECK(client.Counters()["list_failures"] == 1);
  CHECK(fixture.DeliverAndListHosts(client, 1).size() == 1);
  fixture.stubs.SetState("b", "Terminating");
  fixture.WaitForCounter(client, "list_changes", changes + 2);
  CHECK(fixture.DeliverAndListHosts(client, 4) == kOnlyA);
}

TEST_CASE("a discovery that refuses repeatedly is asked at a bounded rate and its first answer is applied") {
  ListFixture fixture;
  fixture.stubs.discovery_refuses = true;
  fixture.relay.Start();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const auto first = Clock::now();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; }, 15s);
  // The last list is used until its lease expires; list_lease_test.cpp covers the time after that.
  Client client(fixture.relay);
  CHECK(fixture.DeliverAndListHosts(client, 1).size() == 1);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 4; }, 15s);
  // The first retry is delayed by 0.2 to 1.2 s, each further retry by twice that.
  CHECK(Clock::now() - first > 1s);
  fixture.stubs.discovery_refuses = false;
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 5; });
  fixture.WaitForCounter(client, "list_changes", 2);
  CHECK(client.Counters()["list_failures"] == 4);
}

// Guards against a lost change: it has arrived, but is dropped together with its subscription.
TEST_CASE("a change that is unread when SIGHUP moves discovery is still applied") {
  ListFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  fixture.relay.Suspend();
  fixture.stubs.SetState("b", "Terminating");
  fixture.stubs.WaitUntilPushesDelivered();
  fixture.stubs.discovery_silent = true;  // discovery does not answer at its new address
  fixture.stubs.MoveDiscovery();
  auto config = fixture.relay.config;
  config["discovery"] = "127.0.0.1:" + std::to_string(fixture.stubs.discovery_port());
  fixture.relay.Reload(config.dump());
  fixture.relay.Resume();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; });
  CHECK(fixture.DeliverAndListHosts(client, 8) == kOnlyA);
}

// ---- old and unreadable lists ----

// Sends a message for a destination with one host. Returns whether the relay called that host at once. If the
// host may not be used, the message waits.
bool CalledAtOnce(Client& client, int destination, const std::string& id) {
  const long before = client.Counters()["legs"];
  client.Put(id, "hello", 8000, ",k=key1,dest=" + std::to_string(destination));
  REQUIRE(client.ReadLine() == "+OK");
  return client.Counters()["legs"] > before;  // the step that accepts a message also starts its attempt
}

// Guards against calls to draining hosts: a list older than the known one used to be ignored for 10 s,
// together with the drains in it.
TEST_CASE("a drain in a list older than the known one applies at once until discovery has caught up") {
  ListFixture fixture;
  fixture.stubs.AddHost("c", 8);
  fixture.relay.config["settings"]["weights"] = "none";
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  fixture.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", nlohmann::json::array()}});
  fixture.WaitForCounter(client, "list_changes", changes + 1);
  fixture.stubs.PushChange(
      {{"version", 48}, {"full", false}, {"servers", {fixture.EntryWithState("c", "Terminating")}}});
  fixture.WaitForCounter(client, "lists_behind", 1);
  CHECK_FALSE(CalledAtOnce(client, 8, "id-1"));
  // The lagging discovery lists the host as ready again, which was also its state before version 50.
  fixture.stubs.PushChange(
      {{"version", 49}, {"full", false}, {"servers", {fixture.EntryWithState("c", "Ready")}}});
  const HttpRequest call = fixture.stubs.NextCall();
  CHECK(call.id() == "id-1");
  fixture.stubs.Answer(call, "200 OK");
  // An old full list without the host, and then the known version, which contains it.
  fixture.stubs.PushChange(
      {{"version", 49}, {"full", true}, {"servers", {fixture.EntryWithState("a", "Ready")}}});
  fixture.WaitForCounter(client, "lists_behind", 3);
  CHECK_FALSE(CalledAtOnce(client, 8, "id-2"));
  fixture.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", nlohmann::json::array()}});
  CHECK(fixture.stubs.NextCall().id() == "id-2");
}

// Guards against a lost drain: an entry with one invalid field used to be ignored completely.
TEST_CASE("an unreadable entry stops calls to its host only and is named in the log once") {
  ListFixture fixture;
  fixture.stubs.AddHost("c", 8);
  fixture.stubs.AddHost("d", 9);
  fixture.relay.config["settings"]["weights"] = "none";
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  nlohmann::json invalid = fixture.EntryWithState("c", "Terminating");
  invalid["weight"] = "fifty";
  const nlohmann::json entry_without_id = {{"state", "Gone"}};
  for (int version = 9; version < 11; ++version) {
    fixture.stubs.PushChange({{"version", version},
                              {"full", false},
                              {"servers",
                               {invalid, entry_without_id, fixture.EntryWithState("d", "Terminating"),
                                fixture.EntryWithState("a", "Ready")}}});
  }
  fixture.WaitForCounter(client, "list_changes", changes + 2);
  CHECK_FALSE(CalledAtOnce(client, 8, "id-1"));
  CHECK_FALSE(CalledAtOnce(client, 9, "id-2"));
  CHECK(CalledAtOnce(client, 7, "id-3"));
  CHECK(client.Counters()["list_entries_unreadable"] == 4);
  const std::string& log = fixture.relay.log();
  const std::size_t first = log.find("can't be read, the first one is c");
  REQUIRE(first != std::string::npos);
  CHECK(log.find("can't be read", first + 20) == std::string::npos);
  // The host may be used again once its entry is readable.
  fixture.stubs.NextCall();
  fixture.stubs.PushChange(
      {{"version", 12}, {"full", false}, {"servers", {fixture.EntryWithState("c", "Ready")}}});
  CHECK(fixture.stubs.NextCall().id() == "id-1");
}

TEST_CASE("a full list with an unreadable entry keeps the known host but the relay does not call it") {
  ListFixture fixture;
  fixture.stubs.AddHost("c", 8);
  fixture.relay.config["settings"]["weights"] = "none";
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  nlohmann::json invalid = fixture.EntryWithState("c", "Ready"),
                 unknown = fixture.EntryWithState("c", "Ready");
  invalid["cell"] = "eight";
  unknown["id"] = "nobody-knows-it";
  unknown["zone"] = nlohmann::json::array();
  unknown["addr"] = 7;
  fixture.stubs.PushChange({{"version", 9},
                            {"full", true},
                            {"servers", {invalid, unknown, fixture.EntryWithState("a", "Ready")}}});
  fixture.WaitForCounter(client, "list_changes", changes + 1);
  CHECK_FALSE(CalledAtOnce(client, 8, "id-1"));
  CHECK(CalledAtOnce(client, 7, "id-2"));
}

TEST_CASE("an unreadable list fails its call and changes nothing") {
  for (const char* text :
       {"{\"version\":9,\"full\":true,\"servers\":7}\n", "{\"version\":\"9\",\"servers\":[]}\n",
        "{\"version\":9,\"full\":\"yes\"}\n", "[1]\n", "nonsense\n"}) {
    INFO(text);
    ListFixture fixture;
    fixture.relay.Start();
    Client client(fixture.relay);
    fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
    const long changes = client.Counters()["list_changes"];
    fixture.WaitForCounter(client, "list_changes", 1);
    fixture.stubs.discovery_silent = true;  // the next call gets no answer
    fixture.stubs.PushChunk(text);
    fixture.WaitForCounter(client, "list_failures", 1);
    CHECK(client.Counters()["list_changes"] <= changes + 1);
    CHECK(fixture.DeliverAndListHosts(client, 1).size() == 1);
    fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; });
  }
}

TEST_CASE("the age of the list is reported and grows while discovery is silent") {
  ListFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  fixture.WaitForCounter(client, "list_changes", 2);
  CHECK(client.Counters()["list_age_ms"] < 2'000);
  fixture.stubs.discovery_silent = true;
  fixture.stubs.discovery_heartbeats = false;
  fixture.stubs.WaitUntil([&] { return client.Counters()["list_age_ms"] > 4'000; });
  CHECK(client.Counters()["watches"] >= 2);
}

}  // namespace
}  // namespace oxbowspread::testing
