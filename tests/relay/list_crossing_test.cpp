// Discovery's list at moments that seldom come: silent from the start, broken in the middle, refused again
// and again, older than what is known, and moved while news is on its way.
#include <catch2/catch.hpp>

#include "rig.hpp"

namespace oxbowspread::testing {
namespace {

struct Listed {
  StubServices stubs;
  RelayProcess relay{stubs};

  Listed() {
    stubs.AddHost("a", 7);
    stubs.AddHost("b", 7);
  }
  void WaitForCounter(Client& client, const char* counter, long count) {
    stubs.WaitUntil([&] { return client.Counters()[counter] >= count; });
  }
  nlohmann::json As(const std::string& id, const std::string& state) const {
    nlohmann::json entry = stubs.ListEntry(id);
    entry["state"] = state;
    return entry;
  }
  // Delivers so many messages; the hosts that got a call.
  std::set<std::string> HostsOf(Client& client, int messages) {
    std::set<std::string> hosts;
    for (int i = 0; i < messages; ++i) {
      const long before = client.Counters()["delivered"];
      client.Put("id-" + std::to_string(++puts_));
      REQUIRE(client.ReadLine() == "+OK");
      const HttpRequest call = stubs.NextCall();
      hosts.insert(stubs.HostOf(call));
      stubs.Answer(call, "200 OK");
      WaitForCounter(client, "delivered", before + 1);
    }
    return hosts;
  }

 private:
  int puts_ = 0;
};

const std::set<std::string> kOnlyA = {"a"};

// Guards against hosts that drain and come back by a discovery that lags behind the one before it.
TEST_CASE("a list older than what is known is passed over: what is newer counts again") {
  Listed l;
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  l.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", {l.As("b", "Terminating")}}});
  l.WaitForCounter(client, "list_changes", changes + 1);
  // The whole list as it was, then an old change, both of a discovery that lags.
  l.stubs.PushChange(
      {{"version", 48}, {"full", true}, {"servers", {l.As("a", "Ready"), l.As("b", "Ready")}}});
  l.stubs.PushChange({{"version", 49}, {"full", false}, {"servers", {l.As("b", "Ready")}}});
  l.WaitForCounter(client, "lists_behind", 2);
  CHECK(l.HostsOf(client, 4) == kOnlyA);
  l.stubs.PushChange({{"version", 51}, {"full", false}, {"servers", {l.As("a", "Gone")}}});
  l.WaitForCounter(client, "list_changes", changes + 2);
  const long attempts = client.Counters()["legs"];
  client.Put("kept");
  REQUIRE(client.ReadLine() == "+OK");
  CHECK(client.Counters()["legs"] == attempts);  // the step that took it on would have sent it
  // The same version again is no older one.
  l.stubs.PushChange({{"version", 51}, {"full", false}, {"servers", {l.As("b", "Ready")}}});
  const HttpRequest call = l.stubs.NextCall();
  CHECK(call.id() == "kept");
  CHECK(l.stubs.HostOf(call) == "b");
}

// Guards against a relay that lives on its last list for ever, since discovery has begun to count anew.
TEST_CASE("a discovery that goes on telling lower versions is asked for all, and believed") {
  Listed l;
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  l.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", nlohmann::json::array()}});
  l.WaitForCounter(client, "list_changes", changes + 1);
  l.stubs.SetState("b", "Terminating");  // version 2
  l.WaitForCounter(client, "lists_behind", 1);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 2; }, 13s);
  Client later(l.relay);  // the first has rested for too long
  l.WaitForCounter(later, "list_changes", changes + 2);
  CHECK(l.HostsOf(later, 4) == kOnlyA);
}

TEST_CASE("a watch that is silent from its first moment is asked for again, in either way of discovery") {
  for (const char* way : {"ask", "push"}) {
    INFO(way);
    Listed l;
    l.relay.config["settings"]["discovery"] = way;
    l.stubs.discovery_silent = true;
    l.relay.Start();
    {
      Client client(l.relay);
      CHECK(l.HostsOf(client, 1).size() == 1);  // served by the list that it has
    }
    l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
    const auto asked = Clock::now();
    l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 2; });
    CHECK(Clock::now() - asked < 6s);
    l.stubs.discovery_silent = false;
    l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 3; });
    Client client(l.relay);
    l.WaitForCounter(client, "list_changes", 2);
    l.stubs.SetState("b", "Terminating");
    l.WaitForCounter(client, "list_changes", 3);
    CHECK(l.HostsOf(client, 4) == kOnlyA);
  }
}

TEST_CASE("a change that breaks off in its middle changes nothing, and the next watch tells it") {
  Listed l;
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  const std::string half =
      nlohmann::json({{"version", 9}, {"full", false}, {"servers", {l.As("a", "Gone"), l.As("b", "Gone")}}})
          .dump();
  l.stubs.PushChunk(half.substr(0, half.size() - 3));
  l.stubs.WaitUntilPushesDelivered();
  l.stubs.SetState("b", "Ready");  // behind it on the same watch: part of what can't be read
  l.stubs.CloseWatches();
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 2; });
  l.WaitForCounter(client, "list_changes", changes + 1);
  CHECK(client.Counters()["list_failures"] == 1);
  CHECK(l.HostsOf(client, 1).size() == 1);
  l.stubs.SetState("b", "Terminating");
  l.WaitForCounter(client, "list_changes", changes + 2);
  CHECK(l.HostsOf(client, 4) == kOnlyA);
}

TEST_CASE("discovery that refuses again and again is asked at a bounded rate, and believed once it answers") {
  Listed l;
  l.stubs.discovery_refuses = true;
  l.relay.Start();
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const auto first = Clock::now();
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 2; }, 15s);
  // By the list that it had last, as long as that may be used: see list_lease_test for what follows.
  Client client(l.relay);
  CHECK(l.HostsOf(client, 1).size() == 1);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 4; }, 15s);
  // A first repeat waits 0.2 to 1.2 s, the ones behind it twice that.
  CHECK(Clock::now() - first > 1s);
  l.stubs.discovery_refuses = false;
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 5; });
  l.WaitForCounter(client, "list_changes", 2);
  CHECK(client.Counters()["list_failures"] == 4);
}

// Guards against news that has come and is dropped with the watch it came on.
TEST_CASE("SIGHUP moves discovery while a change stands unread: the change counts all the same") {
  Listed l;
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  l.relay.Suspend();
  l.stubs.SetState("b", "Terminating");
  l.stubs.WaitUntilPushesDelivered();
  l.stubs.discovery_silent = true;  // where it moves to nothing is told yet
  l.stubs.MoveDiscovery();
  auto config = l.relay.config;
  config["discovery"] = "127.0.0.1:" + std::to_string(l.stubs.discovery_port());
  l.relay.Reload(config.dump());
  l.relay.Resume();
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 2; });
  CHECK(l.HostsOf(client, 8) == kOnlyA);
}

// ---- what is older, and what can't be read ----

// A message for the only host of its destination goes at once if that may be used, else it waits.
bool Called(Client& client, int destination, const std::string& id) {
  const long before = client.Counters()["legs"];
  client.Put(id, "hello", 8000, ",k=key1,dest=" + std::to_string(destination));
  REQUIRE(client.ReadLine() == "+OK");
  return client.Counters()["legs"] > before;  // the step that took it on would have sent it
}

// Found: what was older was passed over for 10 s with the drains in it, though discovery had written them.
TEST_CASE("a drain in a list older than what is known binds at once, until discovery has caught up") {
  Listed l;
  l.stubs.AddHost("c", 8);
  l.relay.config["settings"]["weights"] = "none";
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  l.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", nlohmann::json::array()}});
  l.WaitForCounter(client, "list_changes", changes + 1);
  l.stubs.PushChange({{"version", 48}, {"full", false}, {"servers", {l.As("c", "Terminating")}}});
  l.WaitForCounter(client, "lists_behind", 1);
  CHECK_FALSE(Called(client, 8, "id-1"));
  // The discovery that lags has it back: so it was before version 50, too.
  l.stubs.PushChange({{"version", 49}, {"full", false}, {"servers", {l.As("c", "Ready")}}});
  const HttpRequest call = l.stubs.NextCall();
  CHECK(call.id() == "id-1");
  l.stubs.Answer(call, "200 OK");
  // A whole list that lacks it, and then what is known, which has it.
  l.stubs.PushChange({{"version", 49}, {"full", true}, {"servers", {l.As("a", "Ready")}}});
  l.WaitForCounter(client, "lists_behind", 3);
  CHECK_FALSE(Called(client, 8, "id-2"));
  l.stubs.PushChange({{"version", 50}, {"full", false}, {"servers", nlohmann::json::array()}});
  CHECK(l.stubs.NextCall().id() == "id-2");
}

// Found: an entry with one bad field was dropped, and the drain that it told with it.
TEST_CASE(
    "an entry that can't be read stops calls to its host, hides no other, and is named in the log once") {
  Listed l;
  l.stubs.AddHost("c", 8);
  l.stubs.AddHost("d", 9);
  l.relay.config["settings"]["weights"] = "none";
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  nlohmann::json spoilt = l.As("c", "Terminating");
  spoilt["weight"] = "fifty";
  const nlohmann::json nameless = {{"state", "Gone"}};
  for (int version = 9; version < 11; ++version) {
    l.stubs.PushChange({{"version", version},
                        {"full", false},
                        {"servers", {spoilt, nameless, l.As("d", "Terminating"), l.As("a", "Ready")}}});
  }
  l.WaitForCounter(client, "list_changes", changes + 2);
  CHECK_FALSE(Called(client, 8, "id-1"));
  CHECK_FALSE(Called(client, 9, "id-2"));
  CHECK(Called(client, 7, "id-3"));
  CHECK(client.Counters()["list_entries_unreadable"] == 4);
  const std::string& log = l.relay.log();
  const std::size_t first = log.find("can't be read, the first one is c");
  REQUIRE(first != std::string::npos);
  CHECK(log.find("can't be read", first + 20) == std::string::npos);
  // It may be used again once it can be read.
  l.stubs.NextCall();
  l.stubs.PushChange({{"version", 12}, {"full", false}, {"servers", {l.As("c", "Ready")}}});
  CHECK(l.stubs.NextCall().id() == "id-1");
}

TEST_CASE(
    "a whole list with an entry that can't be read keeps what is known of that host, but calls it not") {
  Listed l;
  l.stubs.AddHost("c", 8);
  l.relay.config["settings"]["weights"] = "none";
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  nlohmann::json spoilt = l.As("c", "Ready"), stranger = l.As("c", "Ready");
  spoilt["cell"] = "eight";
  stranger["id"] = "nobody-knows-it";
  stranger["zone"] = nlohmann::json::array();
  stranger["addr"] = 7;
  l.stubs.PushChange({{"version", 9}, {"full", true}, {"servers", {spoilt, stranger, l.As("a", "Ready")}}});
  l.WaitForCounter(client, "list_changes", changes + 1);
  CHECK_FALSE(Called(client, 8, "id-1"));
  CHECK(Called(client, 7, "id-2"));
}

TEST_CASE("a list that can't be read fails its call and changes nothing") {
  for (const char* text :
       {"{\"version\":9,\"full\":true,\"servers\":7}\n", "{\"version\":\"9\",\"servers\":[]}\n",
        "{\"version\":9,\"full\":\"yes\"}\n", "[1]\n", "nonsense\n"}) {
    INFO(text);
    Listed l;
    l.relay.Start();
    Client client(l.relay);
    l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
    const long changes = client.Counters()["list_changes"];
    l.WaitForCounter(client, "list_changes", 1);
    l.stubs.discovery_silent = true;  // the call that follows tells nothing
    l.stubs.PushChunk(text);
    l.WaitForCounter(client, "list_failures", 1);
    CHECK(client.Counters()["list_changes"] <= changes + 1);
    CHECK(l.HostsOf(client, 1).size() == 1);
    l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 2; });
  }
}

TEST_CASE("the age of the list is told, and grows while discovery says nothing") {
  Listed l;
  l.relay.Start();
  Client client(l.relay);
  l.stubs.WaitUntil([&] { return l.stubs.watch_requests == 1; });
  l.WaitForCounter(client, "list_changes", 2);
  CHECK(client.Counters()["list_age_ms"] < 2'000);
  l.stubs.discovery_silent = true;
  l.stubs.discovery_heartbeats = false;
  l.stubs.WaitUntil([&] { return client.Counters()["list_age_ms"] > 4'000; });
  CHECK(client.Counters()["watches"] >= 2);
}

}  // namespace
}  // namespace oxbowspread::testing
