// Signals and SIGKILL between two system calls of the relay: between a journal record and the action that
// follows it, between an answer and its record, and between opening the journal and the first client.
#include <sys/syscall.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "crossing.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

// Two hosts of one destination in two zones, and a relay that a Tracer can stop between system calls.
struct TracedRelay : Crossing {
  TracedRelay() { world.AddHost("b", 7, "east-room"); }
  int PortOf(const std::string& host) const {
    const std::string address = world.Entry(host).at("addr");
    return std::stoi(address.substr(address.rfind(':') + 1));
  }
  void KillAndRestart() {
    relay.Signal(SIGKILL);
    CHECK(relay.WaitForEnd() == -SIGKILL);
    relay.Start();
  }
  // Checks that the running process recovers one message, attempts it once and delivers it, in `zone` if
  // given.
  void CheckRecoveredAndDelivered(const std::string& zone = "") {
    const HttpRequest call = world.NextCall();
    CHECK(call.id() == "id-1");
    CHECK(call.headers.at("idempotency-key") == "key1");
    if (!zone.empty()) CHECK(world.Entry(world.HostOf(call)).at("zone") == zone);
    world.Answer(call, "200 OK");
    Client client(relay);
    UntilCount(client, "delivered", 1);
    CHECK(client.Counters()["recovered"] == 1);
    CHECK(client.Counters()["legs"] == 1);
    CHECK(client.Counters()["held"] == 0);
  }
  // Starts the next process and checks that it waits for the zone of that host, although the host in the
  // other zone is ready.
  void StartAndCheckStaysInZone(const std::string& host) {
    world.SetState(host, "Terminating");
    relay.Start();
    CHECK(Client(relay).Counters()["legs"] == 0);
    world.SetState(host, "Ready");
    CheckRecoveredAndDelivered(world.Entry(host).at("zone"));
  }
};

// The client gets no answer and hands the message in to another relay. The recorded message is attempted
// nevertheless.
TEST_CASE("SIGKILL between a message's record and its +OK leaves the message recorded") {
  TracedRelay fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    Tracer tracer(fixture.world, fixture.relay.pid());
    client.Put("id-1");
    tracer.UntilJournalled(1);
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
    CHECK(client.Line().empty());
  }
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  CHECK_FALSE(fixture.world.CallWithin(0ms));
  fixture.relay.Start();
  fixture.CheckRecoveredAndDelivered();
}

TEST_CASE("SIGTERM between a message's record and its +OK: the message is answered and delivered") {
  TracedRelay fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  Tracer tracer(fixture.world, fixture.relay.pid());
  client.Put("id-1");
  tracer.UntilJournalled(1);
  fixture.relay.Signal(SIGTERM);
  tracer.Detach();
  CHECK(client.Line() == "+OK");
  fixture.world.Answer(fixture.world.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForEnd() == 0);
  CHECK(fixture.relay.log().find("delivered=1\n") != std::string::npos);
}

// No byte of the attempt was sent, but the next process can't know that and takes it as possibly executed.
TEST_CASE("SIGKILL between an attempt's record and its bytes: the next attempt stays in its zone") {
  TracedRelay fixture;
  fixture.relay.Start();
  std::string host;
  {
    Client client(fixture.relay);
    Tracer tracer(fixture.world, fixture.relay.pid());
    client.Put("id-1");
    tracer.UntilJournalled(2);
    fixture.world.Until([&] { return fixture.world.connections_to_hosts() == 1; });
    host = fixture.world.last_connected();
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  CHECK_FALSE(fixture.world.CallWithin(0ms));
  fixture.StartAndCheckStaysInZone(host);
}

TEST_CASE("SIGTERM between an attempt's record and its bytes: the attempt is sent once and finished") {
  TracedRelay fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  Tracer tracer(fixture.world, fixture.relay.pid());
  client.Put("id-1");
  tracer.UntilJournalled(2);
  fixture.relay.Signal(SIGTERM);
  tracer.Detach();
  CHECK(client.Line() == "+OK");
  fixture.world.Answer(fixture.world.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForEnd() == 0);
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
    REQUIRE(client.Line() == "+OK");
    const HttpRequest call = fixture.world.NextCall();
    host = fixture.world.HostOf(call);
    Tracer tracer(fixture.world, fixture.relay.pid());
    fixture.world.Answer(call, "200 OK");
    tracer.UntilReceivedFrom(fixture.PortOf(host));
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  fixture.StartAndCheckStaysInZone(host);
}

TEST_CASE("SIGTERM between an answer and its record: the delivery is recorded for the next process") {
  TracedRelay fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.Line() == "+OK");
    const HttpRequest call = fixture.world.NextCall();
    Tracer tracer(fixture.world, fixture.relay.pid());
    fixture.world.Answer(call, "200 OK");
    tracer.UntilReceivedFrom(fixture.PortOf(fixture.world.HostOf(call)));
    fixture.relay.Signal(SIGTERM);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForEnd() == 0);
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);
}

// The end of a message is recorded before its notice is sent, and an accepted notice is not sent again.
TEST_CASE("SIGKILL between an end's record and its notice: only the next process sends the notice") {
  TracedRelay fixture;
  fixture.relay.config["settings"]["limits"]["send-cap"] = 1;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.Line() == "+OK");
    const HttpRequest call = fixture.world.NextCall();
    Tracer tracer(fixture.world, fixture.relay.pid());
    fixture.world.Answer(call, "500 No");
    tracer.UntilJournalled(2);  // the attempt's end, then the message's
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  CHECK(fixture.world.notices.empty());
  fixture.relay.Start();
  CHECK(fixture.world.NoticeOf("id-1").at("status") == "undeliverable");
  {
    Client client(fixture.relay);
    fixture.UntilCount(client, "notices_taken", 1);
  }
  fixture.world.notices.clear();
  fixture.KillAndRestart();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered_notices"] == 0);
  CHECK(fixture.world.notices.empty());
}

// A relay that is still starting must shut down on SIGTERM like any other.
TEST_CASE("SIGTERM and SIGHUP while the journal is being opened: the relay starts and exits with 0") {
  TracedRelay fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    client.Put("id-1");
    REQUIRE(client.Line() == "+OK");
  }
  const HttpRequest first = fixture.world.NextCall();
  fixture.relay.Signal(SIGKILL);
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  fixture.relay.in_child = [] { raise(SIGSTOP); };
  fixture.relay.Spawn();
  int status = 0;
  REQUIRE(waitpid(fixture.relay.pid(), &status, WUNTRACED) == fixture.relay.pid());
  Tracer tracer(fixture.world, fixture.relay.pid());
  fixture.relay.Signal(SIGCONT);
  int opened = 0;
  tracer.Until([&](const Tracer::Call& call) {
    // The program opens its own files first, then the lock of the state folder, then the journal.
    const bool open = call.number == SYS_openat && call.done && call.result >= 0;
    opened += open && tracer.FileOf(call.fd).ends_with("/journal");
    return opened == 1;
  });
  for (const int number : {SIGHUP, SIGTERM}) fixture.relay.Signal(number);
  tracer.Detach();
  fixture.world.Answer(fixture.world.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForEnd() == 0);
  CHECK(fixture.relay.log().find("delivered=1\n") != std::string::npos);
}

}  // namespace
}  // namespace oxbowspread::testing
