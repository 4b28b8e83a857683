// A relay of a large fleet must apply the drain of an endpoint within 6 s after discovery has the change and
// can be reached, regardless of the outcome of earlier calls for the list. Each relay is configured for a
// fleet of 300. Several relays run in parallel, because in a single relay a random delay that happens to be
// short could hide a fault.
#include <sys/syscall.h>

#include <catch2/catch.hpp>

#include "fleet.hpp"
#include "relay_harness.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

// Maximum time from a SIGHUP that moves discovery until a change is known.
constexpr auto kKnownAfterMoveWithin = 4s;

// Shows that the other tests of this file can fail.
TEST_CASE("a relay that has not received a drain from discovery calls the host") {
  Fleet fleet;
  fleet.stubs.discovery_silent = true;
  fleet.Start();
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  CHECK(fleet.CountRelaysCallingHostB() == fleet.size());
}

// Runs discovery with the opposite value of the flag `fault` until `counter` of each relay has reached
// `count`. Then a host drains and discovery recovers. Checks that each relay knows the drain 6 s later.
void CheckKnownAfter(bool StubServices::*fault, const char* counter, long count) {
  Fleet fleet;
  const bool healthy = fleet.stubs.*fault;
  fleet.stubs.*fault = !healthy;
  fleet.Start();
  fleet.WaitForEachCounter(counter, count);
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.stubs.*fault = healthy;
  fleet.WaitFor(kChangeKnownWithin);
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

// Guards against late retries: with 300 relays the first retry used to be delayed by 1.6 to 9.6 s and each
// further one by up to 19.2 s.
TEST_CASE("a drain is known 6 s after a discovery that refused calls accepts them again in a fleet of 300") {
  CheckKnownAfter(&StubServices::discovery_refuses, "list_failures", 1);
}

TEST_CASE("a drain is known 6 s after a silent discovery answers again in a fleet of 300") {
  CheckKnownAfter(&StubServices::discovery_silent, "list_failures", 1);
}

TEST_CASE(
    "a drain is known 6 s after a discovery that did not accept connections accepts them in a fleet of 300") {
  CheckKnownAfter(&StubServices::discovery_accepts, "list_failures", 2);
}

// Guards against empty lines that keep a subscription alive although it has never sent a list.
TEST_CASE(
    "a subscription that gets only empty lines does not count as answered and the list is requested again") {
  CheckKnownAfter(&StubServices::discovery_sends_only_heartbeats, "watches", 2);
}

// Guards against a late first call: its random delay used to be up to 8 s.
TEST_CASE("a new process knows an earlier drain 6 s after its start in a fleet of 300") {
  Fleet fleet;
  fleet.Start();
  fleet.stubs.SetStateWithoutPush("b", "Gone");
  fleet.WaitFor(kChangeKnownWithin);
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

TEST_CASE("subscriptions that end after their first list are renewed in time and at a bounded rate") {
  Fleet fleet;
  fleet.stubs.discovery_ends_watches = true;
  fleet.Start();
  fleet.WaitForEachCounter("list_failures", 2);
  const int before = fleet.stubs.watch_requests;
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.WaitFor(kChangeKnownWithin);
  CHECK(fleet.CountRelaysCallingHostB() == 0);
  CHECK(fleet.stubs.watch_requests - before <= fleet.size() * 8);
}

// Guards against starvation: each call used to be given up after 3.2 s, and the next call of that relay was
// queued behind all others, so that the last relay in the queue was never answered.
TEST_CASE("relays that discovery answers one by one are all answered because none closes its queued call") {
  Fleet fleet(8);
  fleet.stubs.discovery_time_per_request = 600ms;  // 4.8 s for all relays if each calls once
  fleet.stubs.discovery_silent = true;
  fleet.Start();
  fleet.WaitForEachCounter("watches", 1);
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.stubs.discovery_silent = false;
  // All have called within 2.6 s and are queued at discovery.
  fleet.WaitForEachCounter("list_changes", 2, 8500ms);
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

TEST_CASE("a drain is known 4 s after SIGHUP has moved discovery even if the first call there is refused") {
  Fleet fleet;
  fleet.stubs.discovery_refuses = true;
  fleet.Start();
  fleet.WaitForEachCounter("list_failures", 1);
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.stubs.MoveDiscovery();
  const auto moved_at = Clock::now();
  const int before = fleet.stubs.watch_requests;
  fleet.ReloadAll();
  fleet.stubs.WaitUntil([&] { return fleet.stubs.watch_requests >= before + fleet.size(); });
  fleet.stubs.discovery_refuses = false;
  fleet.WaitFor(moved_at + kKnownAfterMoveWithin - Clock::now());
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

TEST_CASE("a drain is known 4 s after the last of several moves of discovery") {
  Fleet fleet;
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  fleet.stubs.discovery_silent = true;
  const int before = fleet.stubs.watch_requests;
  for (int move = 0; move < 3; ++move) {
    fleet.stubs.MoveDiscovery();
    fleet.ReloadAll();
    fleet.WaitForEachCounter("reloads", move + 1);
  }
  const auto moved_at = Clock::now();
  fleet.stubs.SetStateWithoutPush("b", "Gone");
  fleet.stubs.WaitUntil([&] { return fleet.stubs.watch_requests >= before + fleet.size(); });
  fleet.stubs.discovery_silent = false;
  fleet.WaitFor(moved_at + kKnownAfterMoveWithin - Clock::now());
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

TEST_CASE("with pushed lists a drain is known at once when the agent answers again in a fleet of 300") {
  Fleet fleet;
  for (RelayProcess& relay : fleet.relays) relay.config["settings"]["discovery"] = "push";
  fleet.stubs.discovery_refuses = true;
  fleet.Start();
  fleet.WaitForEachCounter("list_failures", 3);
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.stubs.discovery_refuses = false;
  // The tests of ListSubscription check the limit of 0.15 s; this one checks that the agent's schedule is
  // used.
  fleet.WaitForEachCounter("list_changes", 2, 1s);
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

// Guards against an incomplete change that keeps its subscription alive forever: any received byte used to
// count as a heartbeat.
TEST_CASE("a subscription that sends single bytes and never a complete line counts as silent") {
  Fleet fleet(1);
  fleet.Start();
  fleet.stubs.WaitUntil([&] { return fleet.stubs.open_watches() == 1; });
  fleet.WaitForEachCounter("list_changes", 2);
  fleet.stubs.discovery_heartbeats = false;
  fleet.stubs.SetStateWithoutPush("b", "Terminating");
  fleet.stubs.PushChunk("{\"version\":9,");
  const auto silent_from = Clock::now();
  auto next_byte_at = silent_from;
  fleet.stubs.WaitUntil(
      [&] {
        if (Clock::now() >= next_byte_at) fleet.stubs.PushChunk(" ");
        if (Clock::now() >= next_byte_at) next_byte_at += 500ms;
        return fleet.stubs.watch_requests == 2;
      },
      6s);
  fleet.WaitFor(silent_from + kChangeKnownWithin - Clock::now());
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

// A relay may be delayed by 150 ms between reading the list and calling a host. The grace period of 250 ms,
// with another 50 ms for sockets, has to cover that delay.
TEST_CASE(
    "a call delayed by 150 ms after its record is made in the grace period of a drain and none after that") {
  Fleet fleet(1);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  RelayProcess& relay = fleet.relays.front();
  Client client(relay);
  Tracer tracer(fleet.stubs, relay.pid());
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  tracer.RunUntilJournalWrites(2);  // the accepted message and the attempt
  fleet.stubs.SetState("b", "Terminating");
  fleet.WaitFor(150ms);
  // The relay does not wait for events between the record and the first byte of the call: it sends that byte
  // as soon as it resumes.
  long next_call = -1;
  tracer.RunUntil([&next_call](const Tracer::Call& system_call) {
    next_call = system_call.number;
    return next_call == SYS_sendto || system_call.WaitsForEvents();
  });
  CHECK(next_call == SYS_sendto);
  tracer.Detach();
  CHECK(fleet.stubs.NextCall().id() == "id-1");
  REQUIRE(client.ReadLine() == "+OK");
  CHECK(fleet.CountRelaysCallingHostB() == 0);
}

// Suspends a relay while its subscription receives a heartbeat, until the subscription would be silent for
// too long without that heartbeat. Checks that the resumed relay keeps its subscription. If `signalled` is
// set, the relay also gets a signal before it resumes.
void CheckSubscriptionIsKept(bool signalled) {
  Fleet fleet(1);
  fleet.Start();
  fleet.WaitForEachCounter("list_changes", 2);
  RelayProcess& relay = fleet.relays.front();
  relay.Suspend();
  fleet.WaitFor(3500ms);
  fleet.stubs.PushChunk("\n");
  fleet.stubs.WaitUntilPushesDelivered();
  if (signalled) relay.Signal(SIGUSR1);
  relay.Resume();
  // The relay's own counter is checked because the stand-in of discovery has accepted no connections since.
  Client client(relay);
  CHECK(client.Counters()["watches"] == 1);
}

// Guards against a relay that gives up its subscription after a suspension although a heartbeat is unread.
TEST_CASE("a resumed relay reads its subscription before it treats the subscription as silent") {
  CheckSubscriptionIsKept(/*signalled=*/false);
}

// Guards against a call to a draining host, which the soak test found: a signal interrupts the wait for
// events, which then reports no events. The due timers used to run before anything was read, so that the
// drain was still unread.
TEST_CASE("a relay that is resumed and signalled reads its subscription before it runs timers") {
  CheckSubscriptionIsKept(/*signalled=*/true);
}

}  // namespace
}  // namespace oxbowspread::testing
