// A relay that can't have the list in time must stop calling what may have begun to drain meanwhile: 6 s
// after discovery has a change it counts as known, whatever became of the calls for it.
#include <catch2/catch.hpp>
#include <deque>

#include "fleet.hpp"
#include "rig.hpp"

namespace oxbowspread::testing {
namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

// A client of each relay, connected while it still takes new connections.
std::deque<Client> ClientsOf(const Fleet& fleet) {
  std::deque<Client> clients;
  for (const RelayProcess& relay : fleet.relays) clients.emplace_back(relay);
  for (Client& client : clients) REQUIRE(client.Ask(kPing) == "+PONG");
  return clients;
}

// Until that moment each client asks again and again, so that its relay sees it in use.
void KeepAsking(Fleet& fleet, std::deque<Client>& clients, Clock::time_point until) {
  while (Clock::now() < until) {
    for (Client& client : clients) REQUIRE(client.Ask(kPing) == "+PONG");
    fleet.world.ServeFor(50ms);
  }
}

// The same with messages for host a, which serves all that it is called for.
void KeepHandingIn(Fleet& fleet, std::deque<Client>& clients, Clock::time_point until) {
  for (int round = 0; Clock::now() < until; ++round) {
    for (std::size_t i = 0; i < clients.size(); ++i) {
      clients[i].Put("a-" + std::to_string(i) + "-" + std::to_string(round));
      REQUIRE_FALSE(clients[i].Line().empty());
    }
    while (fleet.world.CallWithin(50ms)) fleet.world.Answer(fleet.world.NextCall(), "200 OK");
  }
}

// Hands one message for host b to each relay; returns how many of them call it.
int CallsToDraining(std::deque<Client>& clients) {
  int calls = 0;
  for (Client& client : clients) {
    const long before = client.Counters()["legs"];
    client.Put("late-" + std::to_string(&client - &clients.front()), "hello", 8000, ",k=key1,dest=8");
    client.Line();
    calls += client.Counters()["legs"] > before;
  }
  return calls;
}

// The change that tells the drain of host b breaks off in its middle with the watch, and discovery refuses
// all calls from then on. Returns when discovery had the change.
Clock::time_point BreakChange(Fleet& fleet) {
  fleet.world.refusing = true;
  fleet.world.SetStateUntold("b", "Terminating");
  const auto changed = Clock::now();
  fleet.world.TellText("{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"b\",");
  fleet.world.EndWatches();
  return changed;
}

TEST_CASE("no call to a host that drains: its change broken off, discovery moved and crowded, SIGTERM") {
  Fleet f(4);
  f.Start();
  f.UntilEachHas("list_changes", 2);
  std::deque<Client> clients = ClientsOf(f);
  const auto changed = BreakChange(f);
  f.UntilEachHas("list_failures", 2);
  f.world.MoveDiscovery();
  f.ReloadAll();
  f.UntilEachHas("reloads", 1);
  KeepAsking(f, clients, changed + kKnownWithin - 2700ms);
  for (const RelayProcess& relay : f.relays) relay.Signal(SIGTERM);
  KeepHandingIn(f, clients, changed + kKnownWithin);
  CHECK(CallsToDraining(clients) == 0);
}

TEST_CASE(
    "no call to a host that drains while discovery refuses calls, and what waits goes once it answers") {
  Fleet f(4);
  f.Start();
  f.UntilEachHas("list_changes", 2);
  std::deque<Client> clients = ClientsOf(f);
  const auto changed = BreakChange(f);
  KeepAsking(f, clients, changed + kKnownWithin);
  CHECK(CallsToDraining(clients) == 0);
  clients.front().Put("id-a", "hello", 8000, ",k=key2,dest=7");
  CHECK(clients.front().Line() == "+OK");
  CHECK_FALSE(f.world.CallWithin(500ms));
  f.world.refusing = false;
  CHECK(f.world.NextCall().id() == "id-a");
}

// Found by the soak test: the connection was closed at SIGHUP, and with it went an answer that was on its
// way.
TEST_CASE("a drain that discovery writes at its old address behind SIGHUP is kept to") {
  Fleet f(1);
  f.Start();
  f.UntilEachHas("list_changes", 2);
  std::deque<Client> clients = ClientsOf(f);
  f.world.silent = true;  // where it moves to
  f.world.MoveDiscovery();
  f.ReloadAll();
  f.UntilEachHas("reloads", 1);
  f.world.SetStateUntold("b", "Terminating");
  f.world.TellLeft({{"version", 2}, {"full", false}, {"servers", {f.world.Entry("b")}}});
  const auto told = Clock::now();
  KeepAsking(f, clients, told + 250ms);  // the grace
  CHECK(CallsToDraining(clients) == 0);
  clients.front().Put("id-a", "hello", 8000, ",k=key2,dest=7");
  CHECK(clients.front().Line() == "+OK");
  CHECK(f.world.NextCall().id() == "id-a");
}

// Found by the soak test, seed 1, once in 12 plays: relay told to wait with a host, and called it 0.3 s
// later. A list lags by up to a second, so the host that answered the call had taken over the address of the
// one for which the call was meant. The wait was kept under the id of the latter, which the next list took
// away, and the first list that named the new host set it free. Counters showed one refused call and, with
// the new list, the next one at the same address within the wait.
TEST_CASE("a wait told at an address binds the host that has taken it over") {
  World world;
  world.AddHost("old", 7);
  RelayProcess relay(world);
  relay.Start();
  world.Until([&] { return world.standing() == 1; });
  Client client(relay);
  client.Put("id-1", "hello", 8000, ",k=key1,dest=7");
  world.Answer(world.NextCall(), "429 Full", "Retry-After: 3\r\n");
  REQUIRE(client.Line() == "+OK");
  world.Until([&] { return client.Counters()["refused"] == 1; });
  auto next = world.Entry("old");
  next["id"] = "new";
  auto gone = world.Entry("old");
  gone["state"] = "Gone";
  world.Tell({{"version", 2}, {"full", false}, {"servers", {gone, next}}});
  world.Until([&] { return client.Counters()["list_changes"] == 3; });
  client.Put("id-2", "hello", 8000, ",k=key2,dest=7");
  REQUIRE(client.Line() == "+OK");
  CHECK_FALSE(world.CallWithin(1500ms));
}

// Found by asking where else what is read late is taken for fresh. A heartbeat that lay unread while the
// relay stood said nothing of the time since. It renewed the lease from when it was read: with the change
// made right behind it, which counts as known 6 s later, and a relay that stood for 2.5 s, calls went on for
// 1 s more.
TEST_CASE("a heartbeat that lay unread while its relay stood does not make the list fresh") {
  Fleet f(1);
  f.Start();
  f.UntilEachHas("list_changes", 2);
  std::deque<Client> clients = ClientsOf(f);
  RelayProcess& relay = f.relays.front();
  relay.Halt();
  f.world.TellText("\n");
  f.world.heartbeats = false;
  f.world.silent = true;
  f.world.SetStateUntold("b", "Terminating");
  const auto changed = Clock::now();
  f.Pass(2500ms);
  relay.GoOn();
  KeepAsking(f, clients, changed + kKnownWithin);
  CHECK(CallsToDraining(clients) == 0);
}

TEST_CASE("a new process that discovery refuses calls no host 6 s after its start") {
  Fleet f(4);
  f.world.refusing = true;
  f.Start();
  std::deque<Client> clients = ClientsOf(f);
  f.world.SetStateUntold("b", "Terminating");
  KeepAsking(f, clients, Clock::now() + kKnownWithin);
  CHECK(CallsToDraining(clients) == 0);
}

// Discovery is out of order if it ends the subscription and each call waits for its refusal; while a
// subscription broke off in its change, or a call is refused at once, it may as well be crowded.
void CheckCalledOn(bool broken, bool called_on) {
  Fleet f(1);
  f.Start();
  f.UntilEachHas("list_changes", 2);
  std::deque<Client> clients = ClientsOf(f);
  f.world.refusing = true;
  f.world.refuses_after = 2s;
  if (broken) f.world.TellText("{\"version\":2,");
  f.world.EndWatches();
  KeepAsking(f, clients, Clock::now() + kKnownWithin + 3s);
  clients.front().Put("id-a", "hello", 8000, ",k=key1,dest=7");
  CHECK(clients.front().Line() == "+OK");
  CHECK(f.world.CallWithin(500ms) == called_on);
}

TEST_CASE("hosts are called on through an outage of discovery that is seen as one") {
  CheckCalledOn(/*broken=*/false, /*called_on=*/true);
}

TEST_CASE("no host is called where a subscription broke off and calls for the list are refused late") {
  CheckCalledOn(/*broken=*/true, /*called_on=*/false);
}

// Nothing that changes while nobody can reach discovery counts as known: a relay must not stop for its
// outage.
TEST_CASE("hosts are called on while connections to discovery are refused") {
  Fleet f(1);
  f.Start();
  f.UntilEachHas("list_changes", 2);
  std::deque<Client> clients = ClientsOf(f);
  f.world.CloseDiscovery();
  KeepAsking(f, clients, Clock::now() + kKnownWithin + 2s);
  clients.front().Put("id-a", "hello", 8000, ",k=key1,dest=7");
  CHECK(clients.front().Line() == "+OK");
  CHECK(f.world.NextCall().id() == "id-a");
}

}  // namespace
}  // namespace oxbowspread::testing
