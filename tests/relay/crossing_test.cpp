// What meets in one moment: the relay is stopped (SIGSTOP), bytes, connections and signals are put in its
// way, and it finds them all together when it goes on.
#include "crossing.hpp"

#include <sys/wait.h>

#include <catch2/catch.hpp>

namespace oxbowspread::testing {
namespace {

// ---- waits and drains between choice and first byte ----

TEST_CASE("a wait that one host of a destination tells binds a call still connecting to another") {
  RelayFixture c;
  FullBacklogHost narrow(c.stubs, "narrow", 8);
  c.stubs.AddHost("open", 8);
  narrow.FillBacklog();
  c.relay.config["settings"]["family-info"]["kind-apart"] = {false};
  c.relay.Start();
  Client client(c.relay);
  for (const char* id : {"id-1", "id-2"}) {
    client.Put(id, "hello", 8000, ",k=key1,dest=8");
    REQUIRE(client.ReadLine() == "+OK");
  }
  c.stubs.Answer(c.stubs.NextCall(), "429 Full", "Retry-After: 30\r\n");
  c.WaitForCounter(client, "refused", 1);
  const Socket late = narrow.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  c.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a wait that has come unread goes before a connection that comes up") {
  RelayFixture c;
  FullBacklogHost narrow(c.stubs, "narrow", 8);
  c.relay.Start();
  Client client(c.relay);
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  const Socket first = narrow.listener.Accept(5s);
  REQUIRE(first.Receive(5s).find("id-1") != std::string::npos);
  narrow.FillBacklog();
  client.Put("id-2", "hello", 8000, ",k=key2,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  c.WaitForCounter(client, "legs", 2);
  c.relay.Suspend();
  first.Send("HTTP/1.1 429 Full\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n");
  first.WaitUntilAcknowledged();
  const Socket late = narrow.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  c.relay.Resume();
  c.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a drain that has come unread goes before a connection that comes up") {
  RelayFixture c;
  FullBacklogHost narrow(c.stubs, "narrow", 8);
  narrow.FillBacklog();
  c.relay.Start();
  Client client(c.relay);
  c.stubs.WaitUntil([&] { return c.stubs.watch_requests == 1; });
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  c.WaitForCounter(client, "legs", 1);
  c.relay.Suspend();
  c.stubs.SetState("narrow", "Terminating");
  c.stubs.WaitUntilPushesDelivered();
  const Socket late = narrow.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  c.relay.Resume();
  c.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

// ---- answers and the ends of time ----

TEST_CASE("an answer that has come by its message's deadline counts, though the relay looks only later") {
  RelayFixture c;
  c.relay.Start();
  Client client(c.relay);
  client.Put("id-1", "hello", 1000);
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = c.stubs.NextCall();
  c.relay.Suspend();
  c.stubs.Answer(call, "200 OK");
  call.from->WaitUntilAcknowledged();
  c.WaitFor(1100ms);
  c.relay.Resume();
  c.WaitForCounter(client, "delivered", 1);
  CHECK(client.Counters()["timed_out"] == 0);
  CHECK(client.Counters()["undeliverable"] == 0);
  // Whether it came in time by the client's count nobody here can tell: the platform hears an end as well.
  CHECK(c.stubs.WaitForNotice("id-1").at("status") == "undeliverable");
}

// Guards against a message that is lost: its client counts its time from when it sent it, which is earlier
// than when it was read, and an answer after that delivers nothing.
TEST_CASE("what is delivered in the last 400 ms of its time is told as ended too, also by the next process") {
  RelayFixture c;
  c.relay.Start();
  c.stubs.notice_status = 503;
  {
    Client client(c.relay);
    const auto put = Clock::now();
    client.Put("late", "hello", 1500);
    client.Put("soon", "hello", 8000, ",k=key2,dest=7");
    REQUIRE(client.ReadLine() == "+OK");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest late = c.stubs.NextCall(), soon = c.stubs.NextCall();
    REQUIRE(late.id() == "late");
    c.stubs.Answer(soon, "200 OK");
    c.WaitForCounter(client, "delivered", 1);
    // Whenever the relay goes on from here, before its time-out or after it, the answer has come.
    c.relay.Suspend();
    c.WaitFor(put + 1200ms - Clock::now());
    c.stubs.Answer(late, "200 OK");
    late.from->WaitUntilAcknowledged();
    c.relay.Resume();
    c.WaitForCounter(client, "delivered", 2);
    CHECK(client.Counters()["undeliverable"] == 0);
    CHECK(client.Counters()["held"] == 0);
    c.stubs.WaitUntil([&] { return c.stubs.notices_refused >= 1; });
  }
  c.relay.Signal(SIGKILL);
  CHECK(c.relay.WaitForExit() == -SIGKILL);
  c.stubs.notice_status = 204;
  c.relay.Start();
  Client client(c.relay);
  CHECK(client.Counters()["recovered"] == 0);  // no second call
  CHECK(c.stubs.WaitForNotice("late").at("status") == "undeliverable");
  c.WaitForCounter(client, "notices_taken", 1);
  CHECK(c.stubs.notices.count("soon") == 0);
}

TEST_CASE("an interim answer starts no clock: the one that follows may take its time") {
  RelayFixture c;
  c.relay.Start();
  Client client(c.relay);
  client.Put("id-1");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = c.stubs.NextCall();
  call.from->Send("HTTP/1.1 102 Processing\r\n\r\n");
  c.WaitFor(700ms);
  c.stubs.Answer(call, "200 OK");
  c.WaitForCounter(client, "delivered", 1);
  CHECK(client.Counters()["legs"] == 1);
  // Half of the next first line is one that has begun.
  client.Put("id-2");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest half = c.stubs.NextCall();
  half.from->Send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 20");
  c.WaitForCounter(client, "answers_spoilt", 1);
}

// ---- the end of the process ----

TEST_CASE("SIGTERM: a request that comes with the end of the process is answered") {
  RelayFixture c;
  c.relay.Start();
  Client resting(c.relay);
  REQUIRE(resting.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  c.relay.Signal(SIGTERM);
  c.relay.WaitForLog("draining");
  c.relay.Suspend();
  c.WaitFor(700ms);  // nothing is owed, nobody has asked for half a second: all that is left is to end
  resting.Put("id-1");
  resting.socket().WaitUntilAcknowledged();
  c.relay.Resume();
  const std::string answer = resting.ReadLine();
  CHECK((answer == "+OK" || answer.substr(0, 5) == "-BUSY" || resting.was_reset()));
  if (answer == "+OK") c.stubs.Answer(c.stubs.NextCall(), "200 OK");
  CHECK(c.relay.WaitForExit() == 0);
  c.CheckResetOnlyAtExit(resting);
}

TEST_CASE("SIGTERM: commands behind one another are all answered when the last sends are over") {
  RelayFixture c;
  c.relay.Start();
  Client busy(c.relay), many(c.relay);
  busy.Put("hung");
  REQUIRE(busy.ReadLine() == "+OK");
  c.stubs.NextCall();
  REQUIRE(many.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  c.relay.Signal(SIGTERM);
  c.relay.WaitForLog("draining");
  c.relay.Suspend();
  c.WaitFor(3150ms);
  std::string all;
  for (const char* id : {"id-1", "id-2", "id-3"})
    all += Client::PutCommand(id, "hello", 8000, ",k=key1,dest=7");
  many.socket().Send(all);
  many.socket().WaitUntilAcknowledged();
  c.relay.Resume();
  for (int i = 0; i < 3; ++i) {
    CHECK(many.AnsweredOrReset());
  }
  CHECK(c.relay.WaitForExit() == 0);
  c.CheckResetOnlyAtExit(many);
}

TEST_CASE("SIGTERM: connections that wait at the door when it closes are served") {
  RelayFixture c;
  c.relay.Start();
  c.relay.Signal(SIGTERM);
  c.relay.WaitForLog("draining");
  c.relay.Suspend();
  c.WaitFor(600ms);
  Client late(c.relay);
  late.Put("id-1");
  late.socket().WaitUntilAcknowledged();
  c.relay.Resume();
  CHECK(late.ReadLine() == "+OK");
  c.stubs.Answer(c.stubs.NextCall(), "200 OK");
  CHECK(c.relay.WaitForExit() == 0);
}

TEST_CASE(
    "SIGTERM: a call whose connection comes up after the last sends is not written, and is made by the next "
    "process") {
  RelayFixture c;
  FullBacklogHost narrow(c.stubs, "narrow", 8);
  narrow.FillBacklog();
  c.relay.config["settings"]["limits"]["connect-timeout-s"] = 10;
  c.relay.Start();
  Client client(c.relay);
  c.relay.Signal(SIGTERM);
  c.relay.WaitForLog("draining");
  c.WaitFor(
      200ms);  // the system asks for a connection again 1 s and 3 s later: between the last sends and the end
  client.Put("id-1", "hello", 20000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  c.relay.WaitForLog("settling");
  const Socket stranger = narrow.listener.Accept(0ms);
  CHECK(c.relay.WaitForExit() == 0);
  const Socket late = narrow.listener.Accept(0ms);
  CHECK((late.fd() < 0 || late.Receive(0ms).empty()));
  c.relay.Start();
  const Socket again = narrow.listener.Accept(5s);
  REQUIRE(again.fd() >= 0);
  CHECK(again.Receive(5s).find("id-1") != std::string::npos);
}

TEST_CASE("SIGTERM: neither SIGHUP nor a second SIGTERM, at whatever moment of the end, makes it another") {
  RelayFixture c;
  c.relay.Start();
  c.relay.Signal(SIGHUP);
  c.relay.Signal(SIGTERM);
  c.relay.WaitForLog("settling");
  // Up to the very last instruction: signals are sent until there is nobody to take them.
  int status = 0;
  while (waitpid(c.relay.pid(), &status, WNOHANG) == 0) {
    for (const int number : {SIGHUP, SIGTERM, SIGUSR1}) c.relay.Signal(number);
    c.relay.log();  // else what it says fills the pipe and stops it
  }
  CHECK(c.relay.MarkExited(status) == 0);
}

// ---- the close of a client's connection ----

TEST_CASE("an answer reaches its client though the connection is ended over bytes that follow it") {
  RelayFixture c;
  c.relay.Start();
  Client client(c.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  c.relay.Suspend();
  // More than the relay reads at once, behind a command that it can't read.
  client.socket().Send("nonsense\r\n" + std::string(100'000, 'x'));
  client.socket().WaitUntilAcknowledged();
  c.relay.Resume();
  CHECK(client.ReadLine().substr(0, 4) == "-ERR");
  bool ended = false;
  int error = 0;
  c.stubs.WaitUntil([&] {
    client.socket().Receive(0ms, &ended, &error);
    return ended;
  });
  CHECK(error == 0);  // not a reset
}

TEST_CASE("a request that crosses the end of its connection's rest is served") {
  RelayFixture c;
  c.relay.Start();
  Client client(c.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  c.relay.Suspend();
  c.WaitFor(10'100ms);
  client.Put("id-1");
  client.socket().WaitUntilAcknowledged();
  c.relay.Resume();
  CHECK(client.ReadLine() == "+OK");
  c.stubs.Answer(c.stubs.NextCall(), "200 OK");
}

// ---- the list ----

TEST_CASE("a change that comes indented over several lines, cut anywhere, is taken up") {
  RelayFixture c;
  c.stubs.AddHost("b", 7);
  c.relay.Start();
  Client client(c.relay);
  c.stubs.WaitUntil([&] { return c.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  auto gone = c.stubs.ListEntry("b");
  gone["state"] = "Gone";
  gone["note"] = "a brace } and a \\\" in a text {";
  const nlohmann::json change = {{"version", 7}, {"full", false}, {"servers", {gone}}};
  const std::string text = "\n" + change.dump(2) + "\n\n";
  for (std::size_t at = 0; at < text.size(); at += 7) c.stubs.PushChunk(text.substr(at, 7));
  c.WaitForCounter(client, "list_changes", changes + 1);
  CHECK(client.Counters()["list_failures"] == 0);
  CHECK(c.stubs.watch_requests == 1);
  for (int i = 0; i < 3; ++i) {
    client.Put("id-" + std::to_string(i));
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = c.stubs.NextCall();
    CHECK(c.stubs.HostOf(call) == "a");
    c.stubs.Answer(call, "200 OK");
  }
}

TEST_CASE("where lists are pushed the relay watches from its start, and again soon after a watch breaks") {
  RelayFixture c;
  c.stubs.AddHost("b", 7);
  c.relay.config["settings"]["discovery"] = "push";
  c.relay.config["settings"]["balancers"] = 300;
  c.relay.config["settings"]["invariants"].erase("ask-within-s");
  c.relay.Start();
  Client client(c.relay);
  c.stubs.WaitUntil([&] { return c.stubs.watch_requests == 1; }, 1s);
  c.WaitForCounter(client, "list_changes", 2);
  c.stubs.SetState("b", "Terminating");
  c.WaitForCounter(client, "list_changes", 3);
  c.stubs.CloseWatches();
  c.stubs.WaitUntil([&] { return c.stubs.watch_requests == 2; }, 1s);
}

}  // namespace
}  // namespace oxbowspread::testing
