// Events that coincide: the relay is suspended (SIGSTOP) while bytes, connections and signals arrive, and
// finds all of them at once when it resumes.
#include "crossing.hpp"

#include <sys/wait.h>

#include <catch2/catch.hpp>

namespace oxbowspread::testing {
namespace {

// ---- waits and drains between the choice of a host and the first byte of the call ----

TEST_CASE(
    "a wait requested by one host of a destination also binds a call still connecting to another host") {
  Crossing fixture;
  Narrow narrow(fixture.world, "narrow", 8);
  fixture.world.AddHost("open", 8);
  narrow.Fill();
  fixture.relay.config["settings"]["family-info"]["kind-apart"] = {false};
  fixture.relay.Start();
  Client client(fixture.relay);
  for (const char* id : {"id-1", "id-2"}) {
    client.Put(id, "hello", 8000, ",k=key1,dest=8");
    REQUIRE(client.Line() == "+OK");
  }
  fixture.world.Answer(fixture.world.NextCall(), "429 Full", "Retry-After: 30\r\n");
  fixture.UntilCount(client, "refused", 1);
  const Socket late = narrow.AcceptLate();
  REQUIRE(late.fd() >= 0);
  fixture.UntilCount(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a wait that was received but not yet read is applied before a connection is established") {
  Crossing fixture;
  Narrow narrow(fixture.world, "narrow", 8);
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.Line() == "+OK");
  const Socket first = narrow.listener.Accept(5s);
  REQUIRE(first.Receive(5s).find("id-1") != std::string::npos);
  narrow.Fill();
  client.Put("id-2", "hello", 8000, ",k=key2,dest=8");
  REQUIRE(client.Line() == "+OK");
  fixture.UntilCount(client, "legs", 2);
  fixture.relay.Halt();
  first.Send("HTTP/1.1 429 Full\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n");
  first.UntilTaken();
  const Socket late = narrow.AcceptLate();
  REQUIRE(late.fd() >= 0);
  fixture.relay.GoOn();
  fixture.UntilCount(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a drain that was received but not yet read is applied before a connection is established") {
  Crossing fixture;
  Narrow narrow(fixture.world, "narrow", 8);
  narrow.Fill();
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.world.Until([&] { return fixture.world.watches == 1; });
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.Line() == "+OK");
  fixture.UntilCount(client, "legs", 1);
  fixture.relay.Halt();
  fixture.world.SetState("narrow", "Terminating");
  fixture.world.UntilTold();
  const Socket late = narrow.AcceptLate();
  REQUIRE(late.fd() >= 0);
  fixture.relay.GoOn();
  fixture.UntilCount(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

// ---- answers close to deadlines ----

TEST_CASE("an answer received by the message's deadline counts even if the relay reads it later") {
  Crossing fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", "hello", 1000);
  REQUIRE(client.Line() == "+OK");
  const HttpRequest call = fixture.world.NextCall();
  fixture.relay.Halt();
  fixture.world.Answer(call, "200 OK");
  call.from->UntilTaken();
  fixture.Pass(1100ms);
  fixture.relay.GoOn();
  fixture.UntilCount(client, "delivered", 1);
  CHECK(client.Counters()["timed_out"] == 0);
  CHECK(client.Counters()["undeliverable"] == 0);
  // The relay can't know whether it was in time by the client's clock, so the platform gets a notice as well.
  CHECK(fixture.world.NoticeOf("id-1").at("status") == "undeliverable");
}

// Guards against a lost message: the client counts the deadline from when it sent the message, which is
// earlier than when the relay read it, and an answer after the client's deadline delivers nothing.
TEST_CASE(
    "a delivery in the last 400 ms before the deadline also sends a notice and so does the next process") {
  Crossing fixture;
  fixture.relay.Start();
  fixture.world.notice_status = 503;
  {
    Client client(fixture.relay);
    const auto sent_at = Clock::now();
    client.Put("late", "hello", 1500);
    client.Put("soon", "hello", 8000, ",k=key2,dest=7");
    REQUIRE(client.Line() == "+OK");
    REQUIRE(client.Line() == "+OK");
    const HttpRequest late = fixture.world.NextCall(), soon = fixture.world.NextCall();
    REQUIRE(late.id() == "late");
    fixture.world.Answer(soon, "200 OK");
    fixture.UntilCount(client, "delivered", 1);
    // The answer has arrived when the relay resumes, whether that is before or after the call's time-out.
    fixture.relay.Halt();
    fixture.Pass(sent_at + 1200ms - Clock::now());
    fixture.world.Answer(late, "200 OK");
    late.from->UntilTaken();
    fixture.relay.GoOn();
    fixture.UntilCount(client, "delivered", 2);
    CHECK(client.Counters()["undeliverable"] == 0);
    CHECK(client.Counters()["held"] == 0);
    fixture.world.Until([&] { return fixture.world.notices_refused >= 1; });
  }
  fixture.relay.Signal(SIGKILL);
  CHECK(fixture.relay.WaitForEnd() == -SIGKILL);
  fixture.world.notice_status = 204;
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);  // no repeat of the call
  CHECK(fixture.world.NoticeOf("late").at("status") == "undeliverable");
  fixture.UntilCount(client, "notices_taken", 1);
  CHECK(fixture.world.notices.count("soon") == 0);
}

TEST_CASE("an interim response does not start the time limit of the final response") {
  Crossing fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1");
  REQUIRE(client.Line() == "+OK");
  const HttpRequest call = fixture.world.NextCall();
  call.from->Send("HTTP/1.1 102 Processing\r\n\r\n");
  fixture.Pass(700ms);
  fixture.world.Answer(call, "200 OK");
  fixture.UntilCount(client, "delivered", 1);
  CHECK(client.Counters()["legs"] == 1);
  // Half of the final response's status line starts the limit.
  client.Put("id-2");
  REQUIRE(client.Line() == "+OK");
  const HttpRequest half = fixture.world.NextCall();
  half.from->Send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 20");
  fixture.UntilCount(client, "answers_spoilt", 1);
}

// ---- the end of the process ----

TEST_CASE("SIGTERM: a request that arrives as the process ends is answered") {
  Crossing fixture;
  fixture.relay.Start();
  Client idle(fixture.relay);
  REQUIRE(idle.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("draining");
  fixture.relay.Halt();
  fixture.Pass(700ms);  // no message is held and no client has sent for 0.5 s: the process is due to end
  idle.Put("id-1");
  idle.socket().UntilTaken();
  fixture.relay.GoOn();
  const std::string answer = idle.Line();
  CHECK((answer == "+OK" || answer.substr(0, 5) == "-BUSY" || idle.unread()));
  if (answer == "+OK") fixture.world.Answer(fixture.world.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForEnd() == 0);
  fixture.UnreadOnlyAtTheEnd(idle);
}

TEST_CASE("SIGTERM: pipelined commands are all answered after the relay has stopped sending") {
  Crossing fixture;
  fixture.relay.Start();
  Client busy(fixture.relay), pipelined(fixture.relay);
  busy.Put("hung");
  REQUIRE(busy.Line() == "+OK");
  fixture.world.NextCall();
  REQUIRE(pipelined.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("draining");
  fixture.relay.Halt();
  fixture.Pass(3150ms);
  std::string commands;
  for (const char* id : {"id-1", "id-2", "id-3"})
    commands += Client::PutText(id, "hello", 8000, ",k=key1,dest=7");
  pipelined.socket().Send(commands);
  pipelined.socket().UntilTaken();
  fixture.relay.GoOn();
  for (int i = 0; i < 3; ++i) {
    CHECK(pipelined.AnsweredOrUnread());
  }
  CHECK(fixture.relay.WaitForEnd() == 0);
  fixture.UnreadOnlyAtTheEnd(pipelined);
}

TEST_CASE("SIGTERM: connections in the listen backlog when the listening socket closes are served") {
  Crossing fixture;
  fixture.relay.Start();
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("draining");
  fixture.relay.Halt();
  fixture.Pass(600ms);
  Client late(fixture.relay);
  late.Put("id-1");
  late.socket().UntilTaken();
  fixture.relay.GoOn();
  CHECK(late.Line() == "+OK");
  fixture.world.Answer(fixture.world.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForEnd() == 0);
}

TEST_CASE(
    "SIGTERM: a call whose connection is established after sending has stopped is left to the next process") {
  Crossing fixture;
  Narrow narrow(fixture.world, "narrow", 8);
  narrow.Fill();
  fixture.relay.config["settings"]["limits"]["connect-timeout-s"] = 10;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("draining");
  // The kernel repeats the connection request after 1 s and 3 s, the latter between the last sends and the
  // end.
  fixture.Pass(200ms);
  client.Put("id-1", "hello", 20000, ",k=key1,dest=8");
  REQUIRE(client.Line() == "+OK");
  fixture.relay.UntilLog("settling");
  const Socket blocking_connection = narrow.listener.Accept(0ms);
  CHECK(fixture.relay.WaitForEnd() == 0);
  const Socket late = narrow.listener.Accept(0ms);
  CHECK((late.fd() < 0 || late.Receive(0ms).empty()));
  fixture.relay.Start();
  const Socket repeat = narrow.listener.Accept(5s);
  REQUIRE(repeat.fd() >= 0);
  CHECK(repeat.Receive(5s).find("id-1") != std::string::npos);
}

TEST_CASE(
    "SIGTERM: neither SIGHUP nor a second SIGTERM at any moment of the shutdown changes the exit code") {
  Crossing fixture;
  fixture.relay.Start();
  fixture.relay.Signal(SIGHUP);
  fixture.relay.Signal(SIGTERM);
  fixture.relay.UntilLog("settling");
  // Signals are sent until the process no longer exists, so that they meet every instruction of its shutdown.
  int status = 0;
  while (waitpid(fixture.relay.pid(), &status, WNOHANG) == 0) {
    for (const int number : {SIGHUP, SIGTERM, SIGUSR1}) fixture.relay.Signal(number);
    fixture.relay.log();  // reads the log: otherwise the pipe fills up and blocks the relay
  }
  CHECK(fixture.relay.Ended(status) == 0);
}

// ---- closing of client connections ----

TEST_CASE("an answer reaches its client even if the connection is closed with unread bytes after it") {
  Crossing fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Halt();
  // An invalid command, and after it more than the relay reads at once.
  client.socket().Send("nonsense\r\n" + std::string(100'000, 'x'));
  client.socket().UntilTaken();
  fixture.relay.GoOn();
  CHECK(client.Line().substr(0, 4) == "-ERR");
  bool ended = false;
  int error = 0;
  fixture.world.Until([&] {
    client.socket().Receive(0ms, &ended, &error);
    return ended;
  });
  CHECK(error == 0);  // not a reset
}

TEST_CASE("a request that arrives as its connection's idle time-out expires is served") {
  Crossing fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Halt();
  fixture.Pass(10'100ms);
  client.Put("id-1");
  client.socket().UntilTaken();
  fixture.relay.GoOn();
  CHECK(client.Line() == "+OK");
  fixture.world.Answer(fixture.world.NextCall(), "200 OK");
}

// ---- the host list ----

TEST_CASE("a list change that is indented over several lines and split into chunks anywhere is applied") {
  Crossing fixture;
  fixture.world.AddHost("b", 7);
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.world.Until([&] { return fixture.world.watches == 1; });
  const long changes = client.Counters()["list_changes"];
  auto gone = fixture.world.Entry("b");
  gone["state"] = "Gone";
  gone["note"] = "a brace } and a \\\" in a text {";
  const nlohmann::json change = {{"version", 7}, {"full", false}, {"servers", {gone}}};
  const std::string text = "\n" + change.dump(2) + "\n\n";
  for (std::size_t offset = 0; offset < text.size(); offset += 7)
    fixture.world.TellText(text.substr(offset, 7));
  fixture.UntilCount(client, "list_changes", changes + 1);
  CHECK(client.Counters()["list_failures"] == 0);
  CHECK(fixture.world.watches == 1);
  for (int i = 0; i < 3; ++i) {
    client.Put("id-" + std::to_string(i));
    REQUIRE(client.Line() == "+OK");
    const HttpRequest call = fixture.world.NextCall();
    CHECK(fixture.world.HostOf(call) == "a");
    fixture.world.Answer(call, "200 OK");
  }
}

TEST_CASE("with pushed lists the relay subscribes at its start and again soon after a subscription ends") {
  Crossing fixture;
  fixture.world.AddHost("b", 7);
  fixture.relay.config["settings"]["discovery"] = "push";
  fixture.relay.config["settings"]["balancers"] = 300;
  fixture.relay.config["settings"]["invariants"].erase("ask-within-s");
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.world.Until([&] { return fixture.world.watches == 1; }, 1s);
  fixture.UntilCount(client, "list_changes", 2);
  fixture.world.SetState("b", "Terminating");
  fixture.UntilCount(client, "list_changes", 3);
  fixture.world.EndWatches();
  fixture.world.Until([&] { return fixture.world.watches == 2; }, 1s);
}

}  // namespace
}  // namespace oxbowspread::testing
