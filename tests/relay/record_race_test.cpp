// SIGKILL and other signals between two system calls of the relay: between a journal record and the action
// that follows it, between an answer and its record, and between opening the journal and serving the first
// client.
#include <sys/syscall.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "race_fixture.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

// Two hosts of one destination in two zones, and a relay that a Tracer can stop between system calls.
struct TracedRelay : RelayFixture {
  TracedRelay() { stubs.AddHost("b", 7, "east-room"); }
  int PortOf(const std::string& host) const {
    const std::string address = stubs.ListEntry(host).at("addr");
    return std::stoi(address.substr(address.rfind(':') + 1));
  }
  void KillAndRestart() {
    relay.Signal(SIGKILL);
    CHECK(relay.WaitForExit() == -SIGKILL);
    relay.Start();
  }
  // Checks that the running process has recovered one message, attempts it once and delivers it. If `zone` is
  // not empty, the attempt must be made in that zone.
  void CheckRecoveredAndDelivered(const std::string& zone = "") {
    const HttpRequest call = stubs.NextCall();
    CHECK(call.id() == "id-1");
    CHECK(call.headers.at("idempotency-key") == "key1");
    if (!zone.empty()) CHECK(stubs.ListEntry(stubs.HostOf(call)).at("zone") == zone);
    stubs.Answer(call, "200 OK");
    Client client(relay);
    WaitForCounter(client, "delivered", 1);
    CHECK(client.Counters()["recovered"] == 1);
    CHECK(client.Counters()["legs"] == 1);
    CHECK(client.Counters()["held"] == 0);
  }
  // Starts the next process while that host drains. Checks that the message waits for that host's zone
  // although the host in the other zone is ready.
  void StartAndCheckStaysInZone(const std::string& host) {
    stubs.SetState(host, "Terminating");
    relay.Start();
    CHECK(Client(relay).Counters()["legs"] == 0);
    stubs.SetState(host, "Ready");
    CheckRecoveredAndDelivered(stubs.ListEntry(host).at("zone"));
  }
};

// The client gets no answer and sends the message to another relay. The recorded message is attempted as
// well.
TEST_CASE("SIGKILL between a message's record and its +OK leaves the message recorded") {
  TracedRelay fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    Tracer tracer(fixture.stubs, fixture.relay.pid());
    client.Put("id-1");
    tracer.RunUntilJournalWrites(1);
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
    CHECK(client.ReadLine().empty());
  }
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(0ms));
  fixture.relay.Start();
  fixture.CheckRecoveredAndDelivered();
}

TEST_CASE("SIGTERM between a message's record and its +OK: the message is answered and delivered") {
  TracedRelay fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  Tracer tracer(fixture.stubs, fixture.relay.pid());
  client.Put("id-1");
  tracer.RunUntilJournalWrites(1);
  fixture.relay.Signal(SIGTERM);
  tracer.Detach();
  CHECK(client.ReadLine() == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForExit() == 0);
  CHECK(fixture.relay.log().find("delivered=1\n") != std::string::npos);
}

// No byte of the attempt was sent, but the next process can't know that and has to assume that it may have
// run.
TEST_CASE("SIGKILL between an attempt's record and its bytes: the next attempt stays in its zone") {
  TracedRelay fixture;
  fixture.relay.Start();
  std::string host;
  {
    Client client(fixture.relay);
    Tracer tracer(fixture.stubs, fixture.relay.pid());
    client.Put("id-1");
    tracer.RunUntilJournalWrites(2);
    fixture.stubs.WaitUntil([&] { return fixture.stubs.connections_to_hosts() == 1; });
    host = fixture.stubs.last_connected_host();
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(0ms));
  fixture.StartAndCheckStaysInZone(host);
}

TEST_CASE("SIGTERM between an attempt's record and its bytes: the attempt is sent once and finished") {
  TracedRelay fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  Tracer tracer(fixture.stubs, fixture.relay.pid());
  client.Put("id-1");
  tracer.RunUntilJournalWrites(2);
  fixture.relay.Signal(SIGTERM);
  tracer.Detach();
  CHECK(client.ReadLine() == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForExit() == 0);
  CHECK(fixture.relay.log().find("legs=1\n") != std::string::npos);
  CHECK(fixture.relay.log().find("delivered=1\n") != std::string::npos);
}

TEST_CASE("SIGKILL between an answer and its record: the message is repeated in its zone with the same key") {
  TracedRelay fixture;
  fixture.relay.Start();
  std::string host;
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = fixture.stubs.NextCall();
    host = fixture.stubs.HostOf(call);
    Tracer tracer(fixture.stubs, fixture.relay.pid());
    fixture.stubs.Answer(call, "200 OK");
    tracer.RunUntilReceivedFrom(fixture.PortOf(host));
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  fixture.StartAndCheckStaysInZone(host);
}

TEST_CASE("SIGTERM between an answer and its record: the delivery is recorded for the next process") {
  TracedRelay fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = fixture.stubs.NextCall();
    Tracer tracer(fixture.stubs, fixture.relay.pid());
    fixture.stubs.Answer(call, "200 OK");
    tracer.RunUntilReceivedFrom(fixture.PortOf(fixture.stubs.HostOf(call)));
    fixture.relay.Signal(SIGTERM);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);
}

// The end of a message is recorded before its notice is sent. An accepted notice is not sent again.
TEST_CASE("SIGKILL between an end's record and its notice: only the next process sends the notice") {
  TracedRelay fixture;
  fixture.relay.config["settings"]["limits"]["send-cap"] = 1;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = fixture.stubs.NextCall();
    Tracer tracer(fixture.stubs, fixture.relay.pid());
    fixture.stubs.Answer(call, "500 No");
    tracer.RunUntilJournalWrites(2);  // the end of the attempt and the end of the message
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  CHECK(fixture.stubs.notices.empty());
  fixture.relay.Start();
  CHECK(fixture.stubs.WaitForNotice("id-1").at("status") == "undeliverable");
  {
    Client client(fixture.relay);
    fixture.WaitForCounter(client, "notices_taken", 1);
  }
  fixture.stubs.notices.clear();
  fixture.KillAndRestart();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered_notices"] == 0);
  CHECK(fixture.stubs.notices.empty());
}

// A relay that is still starting must shut down on SIGTERM like any other.
TEST_CASE("SIGTERM and SIGHUP while the journal is being opened: the relay starts and exits with 0") {
  TracedRelay fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
  }
  const HttpRequest first = fixture.stubs.NextCall();
  fixture.relay.Signal(SIGKILL);
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  fixture.relay.in_child = [] { raise(SIGSTOP); };
  fixture.relay.Spawn();
  int status = 0;
  REQUIRE(waitpid(fixture.relay.pid(), &status, WUNTRACED) == fixture.relay.pid());
  Tracer tracer(fixture.stubs, fixture.relay.pid());
  fixture.relay.Signal(SIGCONT);
  int opened = 0;
  tracer.RunUntil([&](const Tracer::Call& call) {
    // The program opens its own files first, then the lock of the state folder, then the journal.
    const bool open = call.number == SYS_openat && call.done && call.result >= 0;
    opened += open && tracer.FileOf(call.fd).ends_with("/journal");
    return opened == 1;
  });
  for (const int number : {SIGHUP, SIGTERM}) fixture.relay.Signal(number);
  tracer.Detach();
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForExit() == 0);
  CHECK(fixture.relay.log().find("delivered=1\n") != std::string::npos);
}

}  // namespace
}  // namespace oxbowspread::testing
