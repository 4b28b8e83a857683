// A relay that can't get the list in time must stop calling hosts that may have begun to drain: 6 s after
// discovery has a change, the platform assumes that the relay knows it, regardless of the outcome of the
// relay's calls for the list.
#include <catch2/catch.hpp>
#include <deque>

#include "fleet.hpp"
#include "relay_harness.hpp"

namespace oxbowspread::testing {
namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

// Connects a client to each relay, for use after the relay has stopped accepting connections.
std::deque<Client> ConnectClients(const Fleet& fleet) {
  std::deque<Client> clients;
  for (const RelayProcess& relay : fleet.relays) clients.emplace_back(relay);
  for (Client& client : clients) REQUIRE(client.Ask(kPing) == "+PONG");
  return clients;
}

// Each client sends PING repeatedly until that time, so that its relay does not close its connection as idle.
void KeepPinging(Fleet& fleet, std::deque<Client>& clients, Clock::time_point until) {
  while (Clock::now() < until) {
    for (Client& client : clients) REQUIRE(client.Ask(kPing) == "+PONG");
    fleet.stubs.ServeFor(50ms);
  }
}

// Sends messages for host a until that time. The host answers all calls.
void KeepSendingMessages(Fleet& fleet, std::deque<Client>& clients, Clock::time_point until) {
  for (int round = 0; Clock::now() < until; ++round) {
    for (std::size_t i = 0; i < clients.size(); ++i) {
      clients[i].Put("a-" + std::to_string(i) + "-" + std::to_string(round));
      REQUIRE_FALSE(clients[i].ReadLine().empty());
    }
    while (fleet.stubs.CallArrivesWithin(50ms)) fleet.stubs.Answer(fleet.stubs.NextCall(), "200 OK");
  }
}

// Sends one message for host b to each relay and returns the number of relays that call the host.
int CountRelaysCallingHostB(std::deque<Client>& clients) {
  int calls = 0;
  for (Client& client : clients) {
    const long before = client.Counters()["legs"];
    client.Put("late-" + std::to_string(&client - &clients.front()), "hello", 8000, ",k=key1,dest=8");
    client.ReadLine();
    calls += client.Counters()["legs"] > before;
  }
  return calls;
}

// Closes the subscription in the middle of the change that contains the drain of host b. From then on
// discovery refuses all calls. Returns the time at which discovery got the change.
Clock::time_point TruncateChange(Fleet& fleet) {
  fleet.stubs.discovery_refuses = true;
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  const auto changed_at = Clock::now();
  fleet.stubs.PushChunk("{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"b\",");
  fleet.stubs.CloseWatches();
  return changed_at;
}

TEST_CASE("no call to a draining host after a truncated change and a move of discovery and SIGTERM") {
  Fleet fleet(4);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  std::deque<Client> clients = ConnectClients(fleet);
  const auto changed_at = TruncateChange(fleet);
  fleet.WaitForEachCounter("list_failures", 2);
  fleet.stubs.MoveDiscovery();
  fleet.ReloadAll();
  fleet.WaitForEachCounter("reloads", 1);
  KeepPinging(fleet, clients, changed_at + kChangeKnownWithin - 2700ms);
  for (const RelayProcess& relay : fleet.relays) relay.Signal(SIGTERM);
  KeepSendingMessages(fleet, clients, changed_at + kChangeKnownWithin);
  CHECK(CountRelaysCallingHostB(clients) == 0);
}

TEST_CASE(
    "no call to a draining host while discovery refuses calls and waiting messages are sent once it "
    "answers") {
  Fleet fleet(4);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  std::deque<Client> clients = ConnectClients(fleet);
  const auto changed_at = TruncateChange(fleet);
  KeepPinging(fleet, clients, changed_at + kChangeKnownWithin);
  CHECK(CountRelaysCallingHostB(clients) == 0);
  clients.front().Put("id-a", "hello", 8000, ",k=key2,dest=7");
  CHECK(clients.front().ReadLine() == "+OK");
  CHECK_FALSE(fleet.stubs.CallArrivesWithin(500ms));
  fleet.stubs.discovery_refuses = false;
  CHECK(fleet.stubs.NextCall().id() == "id-a");
}

// Guards against a lost drain, which the soak test found: at SIGHUP the relay closed the connection to
// discovery while a change was in transit on it.
TEST_CASE("a drain that discovery sends from its old address after SIGHUP is applied") {
  Fleet fleet(1);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  std::deque<Client> clients = ConnectClients(fleet);
  fleet.stubs.discovery_silent = true;  // at the new address
  fleet.stubs.MoveDiscovery();
  fleet.ReloadAll();
  fleet.WaitForEachCounter("reloads", 1);
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.stubs.PushChangeToOldAddress(
      {{"version", 2}, {"full", false}, {"servers", {fleet.stubs.ListEntry("b")}}});
  const auto sent_at = Clock::now();
  KeepPinging(fleet, clients, sent_at + 250ms);  // the grace period
  CHECK(CountRelaysCallingHostB(clients) == 0);
  clients.front().Put("id-a", "hello", 8000, ",k=key2,dest=7");
  CHECK(clients.front().ReadLine() == "+OK");
  CHECK(fleet.stubs.NextCall().id() == "id-a");
}

// Guards against a call during a requested wait. The soak test found it with seed 1 in 1 of 12 runs: a host
// requested a wait with Retry-After, and the relay called it again 0.3 s later. Lists lag by up to a second,
// so the host that answered already had the address of the host for which the call was meant. The wait was
// stored under the id of the old host and was lost with the first list that contained the new one.
TEST_CASE("a wait requested at an address applies to the host that has taken over the address") {
  StubServices stubs;
  stubs.AddHost("old", 7);
  RelayProcess relay(stubs);
  relay.Start();
  stubs.WaitUntil([&] { return stubs.open_watches() == 1; });
  Client client(relay);
  client.Put("id-1", "hello", 8000, ",k=key1,dest=7");
  stubs.Answer(stubs.NextCall(), "429 Full", "Retry-After: 3\r\n");
  REQUIRE(client.ReadLine() == "+OK");
  stubs.WaitUntil([&] { return client.Counters()["refused"] == 1; });
  auto new_entry = stubs.ListEntry("old");
  new_entry["id"] = "new";
  auto removed_entry = stubs.ListEntry("old");
  removed_entry["state"] = "Gone";
  stubs.PushChange({{"version", 2}, {"full", false}, {"servers", {removed_entry, new_entry}}});
  stubs.WaitUntil([&] { return client.Counters()["list_changes"] == 3; });
  client.Put("id-2", "hello", 8000, ",k=key2,dest=7");
  REQUIRE(client.ReadLine() == "+OK");
  CHECK_FALSE(stubs.CallArrivesWithin(1500ms));
}

// Guards against a lease that is renewed from the time at which a heartbeat is read. A heartbeat that was
// unread while the relay was suspended does not confirm the list for the time after its arrival. Here a
// change is made right after the heartbeat, and it counts as known 6 s later. With a suspension of 2.5 s, the
// relay used to make calls for 1 s too long.
TEST_CASE("a heartbeat that was unread while its relay was suspended does not renew the list lease") {
  Fleet fleet(1);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  std::deque<Client> clients = ConnectClients(fleet);
  RelayProcess& relay = fleet.relays.front();
  relay.Suspend();
  fleet.stubs.PushChunk("\n");
  fleet.stubs.discovery_heartbeats = false;
  fleet.stubs.discovery_silent = true;
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  const auto changed_at = Clock::now();
  fleet.WaitFor(2500ms);
  relay.Resume();
  KeepPinging(fleet, clients, changed_at + kChangeKnownWithin);
  CHECK(CountRelaysCallingHostB(clients) == 0);
}

TEST_CASE("a new process whose discovery calls are refused calls no host 6 s after its start") {
  Fleet fleet(4);
  fleet.stubs.discovery_refuses = true;
  fleet.Start();
  std::deque<Client> clients = ConnectClients(fleet);
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  KeepPinging(fleet, clients, Clock::now() + kChangeKnownWithin);
  CHECK(CountRelaysCallingHostB(clients) == 0);
}

// Discovery ends the subscription and refuses each call after 2 s, which counts as an outage. If the
// subscription ended in the middle of a change (`in_change`), or if a call is refused at once, discovery may
// merely be overloaded, and then hosts must not be called any more. Checks whether hosts are called.
void CheckCallsInOutage(bool in_change, bool expect_call) {
  Fleet fleet(1);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  std::deque<Client> clients = ConnectClients(fleet);
  fleet.stubs.discovery_refuses = true;
  fleet.stubs.discovery_refusal_delay = 2s;
  if (in_change) fleet.stubs.PushChunk("{\"version\":2,");
  fleet.stubs.CloseWatches();
  KeepPinging(fleet, clients, Clock::now() + kChangeKnownWithin + 3s);
  clients.front().Put("id-a", "hello", 8000, ",k=key1,dest=7");
  CHECK(clients.front().ReadLine() == "+OK");
  CHECK(fleet.stubs.CallArrivesWithin(500ms) == expect_call);
}

TEST_CASE("hosts are still called during an outage of discovery that is recognized as one") {
  CheckCallsInOutage(/*in_change=*/false, /*expect_call=*/true);
}

TEST_CASE("no host is called when a subscription ended in a change and calls for the list are refused late") {
  CheckCallsInOutage(/*in_change=*/true, /*expect_call=*/false);
}

// A change that is made while no relay can reach discovery does not count as known, so a relay must keep
// calling hosts during an outage of discovery.
TEST_CASE("hosts are still called while connections to discovery are refused") {
  Fleet fleet(1);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  std::deque<Client> clients = ConnectClients(fleet);
  fleet.stubs.CloseDiscovery();
  KeepPinging(fleet, clients, Clock::now() + kChangeKnownWithin + 2s);
  clients.front().Put("id-a", "hello", 8000, ",k=key1,dest=7");
  CHECK(clients.front().ReadLine() == "+OK");
  CHECK(fleet.stubs.NextCall().id() == "id-a");
}

}  // namespace
}  // namespace oxbowspread::testing
