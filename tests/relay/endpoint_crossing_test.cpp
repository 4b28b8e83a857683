// Endpoint connections in rare situations: reset before, at or long after the last byte of a call,
// established late or never, and answers that arrive together with a time-out, with SIGTERM or after the
// relay's last wait for events.
#include <catch2/catch.hpp>

#include "crossing.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

// Two hosts of one destination in two zones, and another destination with one host.
struct TwoZones : Crossing {
  TwoZones() {
    world.AddHost("b", 7, "east-room");
    world.AddHost("lone", 9);
  }
  // Hands in a message and returns the call for it, which is still to be answered.
  HttpRequest HandIn(Client& client, const std::string& id, const std::string& body = "hello",
                     int destination = 7) {
    client.Put(id, body, 8000, ",k=key-" + id + ",dest=" + std::to_string(destination));
    REQUIRE(client.Line() == "+OK");
    return world.NextCall();
  }
};

TEST_CASE(
    "a call reset long after its last byte may have run and is repeated in its zone with the same key") {
  TwoZones fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest call = fixture.HandIn(client, "id-1");
  const std::string host = fixture.world.HostOf(call);
  fixture.Pass(1200ms);
  call.from->Reset();
  const HttpRequest repeat = fixture.world.NextCall();
  CHECK(repeat.id() == "id-1");
  CHECK(fixture.world.HostOf(repeat) == host);
  CHECK(repeat.headers.at("idempotency-key") == "key-id-1");
  fixture.world.Answer(repeat, "200 OK");
  fixture.UntilCount(client, "delivered", 1);
  CHECK(client.Counters()["reset"] == 1);
}

// The relay has written part of the call, and the kernel's send buffer is full.
TEST_CASE("a call reset before its last byte never ran and may be repeated anywhere") {
  Crossing fixture;
  Socket slow = Socket::Listen();
  slow.Narrow(2048);
  slow.Segment(536);
  fixture.world.AddHost("slow", 8);
  fixture.world.SetPort("slow", slow.port());
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", std::string(60'000, 'x'), 8000, ",k=key1,dest=8");
  REQUIRE(client.Line() == "+OK");
  Socket first = slow.Accept(5s);
  REQUIRE(first.fd() >= 0);
  REQUIRE_FALSE(first.Receive(5s).empty());
  first.Reset();
  fixture.UntilCount(client, "no_connection", 1);
  CHECK(client.Counters()["reset"] == 0);
  // It certainly never ran, so the next attempt is bound neither to a zone nor to the repeat window.
  const Socket second = slow.Accept(5s);
  CHECK(second.fd() >= 0);
}

TEST_CASE(
    "a late connection carries its call once and one that is never established is replaced by another") {
  Crossing fixture;
  Narrow narrow(fixture.world, "narrow", 8);
  fixture.relay.config["settings"]["limits"]["connect-timeout-s"] = 2.5;
  fixture.relay.Start();
  fixture.world.Until([&] { return fixture.world.watches == 1; });
  narrow.Fill();
  Client client(fixture.relay);
  client.Put("late", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.Line() == "+OK");
  fixture.UntilCount(client, "legs", 1);
  const Socket late = narrow.AcceptLate();  // the kernel repeats the connection request after 1 s
  REQUIRE(late.fd() >= 0);
  CHECK(late.Receive(5s).find("late") != std::string::npos);
  late.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  fixture.UntilCount(client, "delivered", 1);
  CHECK(client.Counters()["legs"] == 1);
  // From here on no connection to the narrow host is accepted.
  narrow.Fill();
  fixture.world.AddHost("open", 8, "east-room");
  fixture.world.SetState("open", "Ready");
  fixture.UntilCount(client, "list_changes", 3);
  fixture.world.SetState("open", "Terminating");
  fixture.UntilCount(client, "list_changes", 4);
  client.Put("never", "hello", 8000, ",k=key2,dest=8");
  REQUIRE(client.Line() == "+OK");
  fixture.UntilCount(client, "legs", 2);
  fixture.world.SetState("open", "Ready");
  const HttpRequest call = fixture.world.NextCall();
  CHECK(call.id() == "never");
  fixture.world.Answer(call, "200 OK");
  fixture.UntilCount(client, "delivered", 2);
  CHECK(client.Counters()["no_connection"] == 1);
}

TEST_CASE("an answer that arrives as its call times out counts as the answer") {
  TwoZones fixture;
  fixture.relay.config["settings"]["services"][0]["semantics"] = "idempotent";
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest call = fixture.HandIn(client, "id-1", "hello", 9);
  // The call tells how long the relay waits for its answer.
  const long waits_ms = std::stol(call.headers.at("x-timeout"));
  REQUIRE(waits_ms < 7000);
  fixture.relay.Halt();
  fixture.world.Answer(call, "429 Full", "Retry-After: 0.2\r\n");
  call.from->UntilTaken();
  fixture.Pass(std::chrono::milliseconds(waits_ms + 100));
  fixture.relay.GoOn();
  fixture.UntilCount(client, "refused", 1);
  CHECK(client.Counters()["timed_out"] == 0);
}

// Two runs of the lab on a busy machine reported two open calls of one message. In the stand-ins the end of
// the first call and the second call arrived in one iteration of the event loop, which handled the call first
// (both at 11.369281 s in the trace). Here the first call's socket is checked when the second call is read.
struct FirstCallEnds : TwoZones {
  FirstCallEnds() { relay.config["settings"]["services"][0]["semantics"] = "idempotent"; }
  // `end` makes the first call end.
  void Check(const std::function<void(const HttpRequest&)>& end) {
    relay.Start();
    Client client(relay);
    const HttpRequest first = HandIn(client, "id-1");
    end(first);
    const HttpRequest second = world.NextCall(8s);
    CHECK(first.from->Ended());
    CHECK(second.id() == "id-1");
    world.Answer(second, "200 OK");
    UntilCount(client, "delivered", 1);
  }
};

TEST_CASE("an attempt that timed out has closed its connection before the next one begins") {
  FirstCallEnds fixture;
  fixture.Check([](const HttpRequest&) {});
}

TEST_CASE("an attempt with a malformed answer has closed its connection before the next one begins") {
  FirstCallEnds fixture;
  fixture.Check(
      [](const HttpRequest& call) { call.from->Send("HTTP/1.1 500 No\r\nContent-Length: x\r\n\r\n"); });
}

TEST_CASE("an attempt with an incomplete answer has closed its connection before the next one begins") {
  FirstCallEnds fixture;
  fixture.Check(
      [](const HttpRequest& call) { call.from->Send("HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\n"); });
}

TEST_CASE("an answer that arrives together with SIGTERM is recorded and leaves nothing to the next process") {
  TwoZones fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    const HttpRequest call = fixture.HandIn(client, "id-1");
    fixture.relay.Halt();
    fixture.relay.Signal(SIGTERM);
    fixture.world.Answer(call, "200 OK");
    call.from->UntilTaken();
    fixture.relay.GoOn();
  }
  CHECK(fixture.relay.WaitForEnd() == 0);
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);
  CHECK(client.Counters()["recovered_notices"] == 0);
}

// The relay is suspended in its wait for events until after the time at which it leaves its open calls to the
// next process. When it resumes, the wait has expired and nothing has been read.
TEST_CASE("an answer that arrives after sending has stopped and is read last is recorded") {
  TwoZones fixture;
  fixture.relay.Start();
  HttpRequest call;
  {
    Client client(fixture.relay);
    call = fixture.HandIn(client, "id-1");
  }
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("draining");
  Tracer tracer(fixture.world, fixture.relay.pid());
  tracer.UntilWaiting([&] { return fixture.relay.log().find("settling") != std::string::npos; });
  fixture.relay.Signal(SIGSTOP);
  tracer.Detach();
  fixture.relay.UntilStopped();
  fixture.Pass(600ms);
  fixture.world.Answer(call, "200 OK");
  call.from->UntilTaken();
  fixture.relay.GoOn();
  CHECK(fixture.relay.WaitForEnd() == 0);
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);
}

// The answer to one call must not be taken for the answer to another.
TEST_CASE("unread bytes on an idle connection close it when it is about to be reused") {
  TwoZones fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest first = fixture.HandIn(client, "id-1", "hello", 9);
  fixture.world.Answer(first, "200 OK");
  fixture.UntilCount(client, "delivered", 1);
  fixture.Pass(50ms);  // until the connection is idle again
  for (const std::string& stray :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), std::string("H")}) {
    const long delivered = client.Counters()["delivered"];
    const HttpRequest call = fixture.HandIn(client, "call-" + std::to_string(stray.size()), "hello", 9);
    fixture.world.Answer(call, "200 OK");
    fixture.UntilCount(client, "delivered", delivered + 1);
    fixture.Pass(50ms);
    fixture.relay.Halt();
    call.from->Send(stray);
    call.from->UntilTaken();
    client.Put("next-" + std::to_string(stray.size()), "hello", 8000, ",k=key,dest=9");
    client.socket().UntilTaken();
    fixture.relay.GoOn();
    REQUIRE(client.Line() == "+OK");
    const HttpRequest next = fixture.world.NextCall();
    CHECK(next.from != call.from);
    CHECK(client.Counters()["delivered"] == delivered + 1);
    fixture.world.Answer(next, "200 OK");
    fixture.UntilCount(client, "delivered", delivered + 2);
  }
}

TEST_CASE("a call ends in time when the body of its answer comes byte by byte and never ends") {
  TwoZones fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest call = fixture.HandIn(client, "id-1", "hello", 9);
  const auto started_at = Clock::now();
  call.from->Send("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n");
  fixture.world.Until([&] {
    call.from->Send("1\r\nx\r\n");
    return client.Counters()["errors"] == 1;
  });
  CHECK(Clock::now() - started_at < 7s);  // earlier than the message's deadline of 8 s
  const HttpRequest repeat = fixture.world.NextCall();
  CHECK(repeat.from != call.from);
  fixture.world.Answer(repeat, "200 OK");
  fixture.UntilCount(client, "delivered", 1);
}

// A message never has two open calls, not even across SIGTERM, SIGKILL and the next process.
TEST_CASE("a call in flight when the process is killed is closed by the kernel before the next one begins") {
  TwoZones fixture;
  fixture.relay.Start();
  HttpRequest call;
  {
    Client client(fixture.relay);
    call = fixture.HandIn(client, "id-1");
  }
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("draining");
  fixture.relay.Signal(SIGKILL);
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  fixture.world.Until([&] { return call.from->fd() < 0; });
  fixture.relay.Start();
  const HttpRequest repeat = fixture.world.NextCall();
  CHECK(repeat.id() == "id-1");
  CHECK(repeat.from != call.from);
}

}  // namespace
}  // namespace oxbowspread::testing
