// Signals and SIGKILL between two system calls of the relay: a record and what follows from it, an answer and
// its record, the open journal and the first client.
#include <sys/syscall.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "crossing.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

struct Traced : RelayFixture {
  Traced() { stubs.AddHost("b", 7, "east-room"); }
  int PortOf(const std::string& host) const {
    const std::string address = stubs.ListEntry(host).at("addr");
    return std::stoi(address.substr(address.rfind(':') + 1));
  }
  void KillAndStart() {
    relay.Signal(SIGKILL);
    CHECK(relay.WaitForExit() == -SIGKILL);
    relay.Start();
  }
  // One message is held, tried once and delivered by the process that runs now.
  void DeliveredAtLast(const std::string& room = "") {
    const HttpRequest call = stubs.NextCall();
    CHECK(call.id() == "id-1");
    CHECK(call.headers.at("idempotency-key") == "key1");
    if (!room.empty()) CHECK(stubs.ListEntry(stubs.HostOf(call)).at("zone") == room);
    stubs.Answer(call, "200 OK");
    Client client(relay);
    WaitForCounter(client, "delivered", 1);
    CHECK(client.Counters()["recovered"] == 1);
    CHECK(client.Counters()["legs"] == 1);
    CHECK(client.Counters()["held"] == 0);
  }
  // The next process waits for that host's room, though the other one would take it.
  void StartAndStayIn(const std::string& host) {
    stubs.SetState(host, "Terminating");
    relay.Start();
    CHECK(Client(relay).Counters()["legs"] == 0);
    stubs.SetState(host, "Ready");
    DeliveredAtLast(stubs.ListEntry(host).at("zone"));
  }
};

// The client hears nothing and hands it in elsewhere; what is on record is tried all the same.
TEST_CASE("SIGKILL between a message's record and its +OK leaves it on record") {
  Traced t;
  t.relay.Start();
  {
    Client client(t.relay);
    Tracer tracer(t.stubs, t.relay.pid());
    client.Put("id-1");
    tracer.RunUntilJournalWrites(1);
    t.relay.Signal(SIGKILL);
    tracer.Detach();
    CHECK(client.ReadLine().empty());
  }
  CHECK(t.relay.WaitForExit() == -SIGKILL);
  CHECK_FALSE(t.stubs.CallArrivesWithin(0ms));
  t.relay.Start();
  t.DeliveredAtLast();
}

TEST_CASE("SIGTERM between a message's record and its +OK: it is answered, sent and finished") {
  Traced t;
  t.relay.Start();
  Client client(t.relay);
  Tracer tracer(t.stubs, t.relay.pid());
  client.Put("id-1");
  tracer.RunUntilJournalWrites(1);
  t.relay.Signal(SIGTERM);
  tracer.Detach();
  CHECK(client.ReadLine() == "+OK");
  t.stubs.Answer(t.stubs.NextCall(), "200 OK");
  CHECK(t.relay.WaitForExit() == 0);
  CHECK(t.relay.log().find("delivered=1\n") != std::string::npos);
}

// No byte of it has gone out, which the next process can't know: it may have run.
TEST_CASE("SIGKILL between an attempt's record and its bytes: the next attempt stays in its room") {
  Traced t;
  t.relay.Start();
  std::string host;
  {
    Client client(t.relay);
    Tracer tracer(t.stubs, t.relay.pid());
    client.Put("id-1");
    tracer.RunUntilJournalWrites(2);
    t.stubs.WaitUntil([&] { return t.stubs.connections_to_hosts() == 1; });
    host = t.stubs.last_connected_host();
    t.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(t.relay.WaitForExit() == -SIGKILL);
  CHECK_FALSE(t.stubs.CallArrivesWithin(0ms));
  t.StartAndStayIn(host);
}

TEST_CASE("SIGTERM between an attempt's record and its bytes: it is written once and finished") {
  Traced t;
  t.relay.Start();
  Client client(t.relay);
  Tracer tracer(t.stubs, t.relay.pid());
  client.Put("id-1");
  tracer.RunUntilJournalWrites(2);
  t.relay.Signal(SIGTERM);
  tracer.Detach();
  CHECK(client.ReadLine() == "+OK");
  t.stubs.Answer(t.stubs.NextCall(), "200 OK");
  CHECK(t.relay.WaitForExit() == 0);
  CHECK(t.relay.log().find("legs=1\n") != std::string::npos);
  CHECK(t.relay.log().find("delivered=1\n") != std::string::npos);
}

TEST_CASE(
    "SIGKILL between an answer and its record: it may have run, and is repeated in its room under its key") {
  Traced t;
  t.relay.Start();
  std::string host;
  {
    Client client(t.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = t.stubs.NextCall();
    host = t.stubs.HostOf(call);
    Tracer tracer(t.stubs, t.relay.pid());
    t.stubs.Answer(call, "200 OK");
    tracer.RunUntilReceivedFrom(t.PortOf(host));
    t.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(t.relay.WaitForExit() == -SIGKILL);
  t.StartAndStayIn(host);
}

TEST_CASE(
    "SIGTERM between an answer and its record: it is delivered, and nothing is left to the next process") {
  Traced t;
  t.relay.Start();
  {
    Client client(t.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = t.stubs.NextCall();
    Tracer tracer(t.stubs, t.relay.pid());
    t.stubs.Answer(call, "200 OK");
    tracer.RunUntilReceivedFrom(t.PortOf(t.stubs.HostOf(call)));
    t.relay.Signal(SIGTERM);
    tracer.Detach();
  }
  CHECK(t.relay.WaitForExit() == 0);
  t.relay.Start();
  Client client(t.relay);
  CHECK(client.Counters()["recovered"] == 0);
}

// The record of an end comes before its notice, and what was told is told no more.
TEST_CASE(
    "SIGKILL between an end's record and its notice: the next process tells it, the one after that does "
    "not") {
  Traced t;
  t.relay.config["settings"]["limits"]["send-cap"] = 1;
  t.relay.Start();
  {
    Client client(t.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = t.stubs.NextCall();
    Tracer tracer(t.stubs, t.relay.pid());
    t.stubs.Answer(call, "500 No");
    tracer.RunUntilJournalWrites(2);  // the attempt's end, then the message's
    t.relay.Signal(SIGKILL);
    tracer.Detach();
  }
  CHECK(t.relay.WaitForExit() == -SIGKILL);
  CHECK(t.stubs.notices.empty());
  t.relay.Start();
  CHECK(t.stubs.WaitForNotice("id-1").at("status") == "undeliverable");
  {
    Client client(t.relay);
    t.WaitForCounter(client, "notices_taken", 1);
  }
  t.stubs.notices.clear();
  t.KillAndStart();
  Client client(t.relay);
  CHECK(client.Counters()["recovered_notices"] == 0);
  CHECK(t.stubs.notices.empty());
}

// Whoever ends a relay that has just begun wants it ended as any other.
TEST_CASE("SIGTERM and SIGHUP while the journal is being opened: the relay begins and ends with 0") {
  Traced t;
  t.relay.Start();
  {
    Client client(t.relay);
    client.Put("id-1");
    REQUIRE(client.ReadLine() == "+OK");
  }
  const HttpRequest first = t.stubs.NextCall();
  t.relay.Signal(SIGKILL);
  CHECK(t.relay.WaitForExit() == -SIGKILL);
  t.relay.in_child = [] { raise(SIGSTOP); };
  t.relay.Spawn();
  int status = 0;
  REQUIRE(waitpid(t.relay.pid(), &status, WUNTRACED) == t.relay.pid());
  Tracer tracer(t.stubs, t.relay.pid());
  t.relay.Signal(SIGCONT);
  int opened = 0;
  tracer.RunUntil([&](const Tracer::Call& call) {
    // The program's own first, then the folder's lock, then the journal.
    const bool open = call.number == SYS_openat && call.done && call.result >= 0;
    opened += open && tracer.FileOf(call.fd).ends_with("/journal");
    return opened == 1;
  });
  for (const int number : {SIGHUP, SIGTERM}) t.relay.Signal(number);
  tracer.Detach();
  t.stubs.Answer(t.stubs.NextCall(), "200 OK");
  CHECK(t.relay.WaitForExit() == 0);
  CHECK(t.relay.log().find("delivered=1\n") != std::string::npos);
}

}  // namespace
}  // namespace oxbowspread::testing
