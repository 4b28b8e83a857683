// Endpoint connections in rare situations: connections that are reset before or long after the last byte of a
// call, or are established late or never, and answers that arrive together with a time-out, together with
// SIGTERM or after the relay's last wait for events.
#include <catch2/catch.hpp>

#include "race_fixture.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

// Two hosts of one destination in two zones, and another destination with one host.
struct TwoZones : RelayFixture {
  TwoZones() {
    stubs.AddHost("b", 7, "east-room");
    stubs.AddHost("lone", 9);
  }
  // Sends a message to the relay and returns the call for it, which the test has to answer.
  HttpRequest PutAndAwaitCall(Client& client, const std::string& id, const std::string& body = "hello",
                              int destination = 7) {
    client.Put(id, body, 8000, ",k=key-" + id + ",dest=" + std::to_string(destination));
    REQUIRE(client.ReadLine() == "+OK");
    return stubs.NextCall();
  }
};

TEST_CASE(
    "a call reset long after its last byte may have run and is repeated in its zone with the same key") {
  TwoZones fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest call = fixture.PutAndAwaitCall(client, "id-1");
  const std::string host = fixture.stubs.HostOf(call);
  fixture.WaitFor(1200ms);
  call.connection->Reset();
  const HttpRequest repeat = fixture.stubs.NextCall();
  CHECK(repeat.id() == "id-1");
  CHECK(fixture.stubs.HostOf(repeat) == host);
  CHECK(repeat.headers.at("idempotency-key") == "key-id-1");
  fixture.stubs.Answer(repeat, "200 OK");
  fixture.WaitForCounter(client, "delivered", 1);
  CHECK(client.Counters()["reset"] == 1);
}

// The connection is reset while the relay has written only a part of the call, because the kernel's send
// buffer is full.
TEST_CASE("a call reset before its last byte never ran and may be repeated anywhere") {
  RelayFixture fixture;
  Socket slow = Socket::Listen();
  slow.SetReceiveBufferSize(2048);
  slow.SetMaxSegmentSize(536);
  fixture.stubs.AddHost("slow", 8);
  fixture.stubs.SetPort("slow", slow.port());
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", std::string(60'000, 'x'), 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  Socket first = slow.Accept(5s);
  REQUIRE(first.fd() >= 0);
  REQUIRE_FALSE(first.Receive(5s).empty());
  first.Reset();
  fixture.WaitForCounter(client, "no_connection", 1);
  CHECK(client.Counters()["reset"] == 0);
  // The call certainly never ran, so the next attempt is restricted neither to a zone nor to the repeat
  // window.
  const Socket second = slow.Accept(5s);
  CHECK(second.fd() >= 0);
}

TEST_CASE(
    "a call is sent once on a late connection and on another one if its connection is never established") {
  RelayFixture fixture;
  FullBacklogHost full_host(fixture.stubs, "narrow", 8);
  fixture.relay.config["settings"]["limits"]["connect-timeout-s"] = 2.5;
  fixture.relay.Start();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  full_host.FillBacklog();
  Client client(fixture.relay);
  client.Put("late", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.WaitForCounter(client, "legs", 1);
  const Socket late =
      full_host.AcceptRelayConnection();  // the kernel repeats the connection request after 1 s
  REQUIRE(late.fd() >= 0);
  CHECK(late.Receive(5s).find("late") != std::string::npos);
  late.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  fixture.WaitForCounter(client, "delivered", 1);
  CHECK(client.Counters()["legs"] == 1);
  // From here on the full host accepts no connection.
  full_host.FillBacklog();
  fixture.stubs.AddHost("open", 8, "east-room");
  fixture.stubs.SetState("open", "Ready");
  fixture.WaitForCounter(client, "list_changes", 3);
  fixture.stubs.SetState("open", "Terminating");
  fixture.WaitForCounter(client, "list_changes", 4);
  client.Put("never", "hello", 8000, ",k=key2,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.WaitForCounter(client, "legs", 2);
  fixture.stubs.SetState("open", "Ready");
  const HttpRequest call = fixture.stubs.NextCall();
  CHECK(call.id() == "never");
  fixture.stubs.Answer(call, "200 OK");
  fixture.WaitForCounter(client, "delivered", 2);
  CHECK(client.Counters()["no_connection"] == 1);
}

TEST_CASE("an answer that arrives as its call times out counts as the answer") {
  TwoZones fixture;
  fixture.relay.config["settings"]["services"][0]["semantics"] = "idempotent";
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest call = fixture.PutAndAwaitCall(client, "id-1", "hello", 9);
  // The call's header contains the time for which the relay waits for the answer.
  const long waits_ms = std::stol(call.headers.at("x-timeout"));
  REQUIRE(waits_ms < 7000);
  fixture.relay.Suspend();
  fixture.stubs.Answer(call, "429 Full", "Retry-After: 0.2\r\n");
  call.connection->WaitUntilAcknowledged();
  fixture.WaitFor(std::chrono::milliseconds(waits_ms + 100));
  fixture.relay.Resume();
  fixture.WaitForCounter(client, "refused", 1);
  CHECK(client.Counters()["timed_out"] == 0);
}

// Two runs of the lab on a busy machine reported two open calls of one message. The cause was in the
// stand-ins: the end of the first call and the second call arrived in the same iteration of the event loop
// (both at 11.369281 s in the trace), which handled the second call before the end of the first one. These
// tests therefore check the first call's socket when the second call is read.
struct FirstCallEnds : TwoZones {
  FirstCallEnds() { relay.config["settings"]["services"][0]["semantics"] = "idempotent"; }
  // `end` makes the first call end.
  void Check(const std::function<void(const HttpRequest&)>& end) {
    relay.Start();
    Client client(relay);
    const HttpRequest first = PutAndAwaitCall(client, "id-1");
    end(first);
    const HttpRequest second = stubs.NextCall(8s);
    CHECK(first.connection->IsClosed());
    CHECK(second.id() == "id-1");
    stubs.Answer(second, "200 OK");
    WaitForCounter(client, "delivered", 1);
  }
};

TEST_CASE("an attempt that timed out has closed its connection before the next one begins") {
  FirstCallEnds fixture;
  fixture.Check([](const HttpRequest&) {});
}

TEST_CASE("an attempt with a malformed answer has closed its connection before the next one begins") {
  FirstCallEnds fixture;
  fixture.Check(
      [](const HttpRequest& call) { call.connection->Send("HTTP/1.1 500 No\r\nContent-Length: x\r\n\r\n"); });
}

TEST_CASE("an attempt with an incomplete answer has closed its connection before the next one begins") {
  FirstCallEnds fixture;
  fixture.Check(
      [](const HttpRequest& call) { call.connection->Send("HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\n"); });
}

TEST_CASE("an answer that arrives together with SIGTERM is recorded and leaves nothing to the next process") {
  TwoZones fixture;
  fixture.relay.Start();
  {
    Client client(fixture.relay);
    const HttpRequest call = fixture.PutAndAwaitCall(client, "id-1");
    fixture.relay.Suspend();
    fixture.relay.Signal(SIGTERM);
    fixture.stubs.Answer(call, "200 OK");
    call.connection->WaitUntilAcknowledged();
    fixture.relay.Resume();
  }
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);
  CHECK(client.Counters()["recovered_notices"] == 0);
}

// The relay is suspended in its wait for events until after the time at which it leaves its open calls to the
// next process. When it resumes, that wait has timed out and the answer is still unread.
TEST_CASE("an answer that arrives after sending has stopped and is read last is recorded") {
  TwoZones fixture;
  fixture.relay.Start();
  HttpRequest call;
  {
    Client client(fixture.relay);
    call = fixture.PutAndAwaitCall(client, "id-1");
  }
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  Tracer tracer(fixture.stubs, fixture.relay.pid());
  tracer.RunUntilWaiting([&] { return fixture.relay.log().find("settling") != std::string::npos; });
  fixture.relay.Signal(SIGSTOP);
  tracer.Detach();
  fixture.relay.WaitUntilSuspended();
  fixture.WaitFor(600ms);
  fixture.stubs.Answer(call, "200 OK");
  call.connection->WaitUntilAcknowledged();
  fixture.relay.Resume();
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);
}

// Guards against using bytes left from one call as the answer to the next call on the connection.
TEST_CASE("unread bytes on an idle connection close it when it is about to be reused") {
  TwoZones fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest first = fixture.PutAndAwaitCall(client, "id-1", "hello", 9);
  fixture.stubs.Answer(first, "200 OK");
  fixture.WaitForCounter(client, "delivered", 1);
  fixture.WaitFor(50ms);  // for the connection to become idle again
  for (const std::string& stray :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), std::string("H")}) {
    const long delivered = client.Counters()["delivered"];
    const HttpRequest call =
        fixture.PutAndAwaitCall(client, "call-" + std::to_string(stray.size()), "hello", 9);
    fixture.stubs.Answer(call, "200 OK");
    fixture.WaitForCounter(client, "delivered", delivered + 1);
    fixture.WaitFor(50ms);
    fixture.relay.Suspend();
    call.connection->Send(stray);
    call.connection->WaitUntilAcknowledged();
    client.Put("next-" + std::to_string(stray.size()), "hello", 8000, ",k=key,dest=9");
    client.socket().WaitUntilAcknowledged();
    fixture.relay.Resume();
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest next = fixture.stubs.NextCall();
    CHECK(next.connection != call.connection);
    CHECK(client.Counters()["delivered"] == delivered + 1);
    fixture.stubs.Answer(next, "200 OK");
    fixture.WaitForCounter(client, "delivered", delivered + 2);
  }
}

TEST_CASE("a call ends in time when the body of its answer arrives byte by byte and never ends") {
  TwoZones fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  const HttpRequest call = fixture.PutAndAwaitCall(client, "id-1", "hello", 9);
  const auto started_at = Clock::now();
  call.connection->Send("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n");
  fixture.stubs.WaitUntil([&] {
    call.connection->Send("1\r\nx\r\n");
    return client.Counters()["errors"] == 1;
  });
  CHECK(Clock::now() - started_at < 7s);  // earlier than the message's deadline of 8 s
  const HttpRequest repeat = fixture.stubs.NextCall();
  CHECK(repeat.connection != call.connection);
  fixture.stubs.Answer(repeat, "200 OK");
  fixture.WaitForCounter(client, "delivered", 1);
}

// Guards against two open calls of one message, also after SIGTERM and SIGKILL and with the next process.
TEST_CASE("a call in flight when the process is killed is closed by the kernel before the next one begins") {
  TwoZones fixture;
  fixture.relay.Start();
  HttpRequest call;
  {
    Client client(fixture.relay);
    call = fixture.PutAndAwaitCall(client, "id-1");
  }
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  fixture.relay.Signal(SIGKILL);
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  fixture.stubs.WaitUntil([&] { return call.connection->fd() < 0; });
  fixture.relay.Start();
  const HttpRequest repeat = fixture.stubs.NextCall();
  CHECK(repeat.id() == "id-1");
  CHECK(repeat.connection != call.connection);
}

}  // namespace
}  // namespace oxbowspread::testing
