// Events that happen at the same moment: the relay is suspended (SIGSTOP) while bytes, connections and
// signals arrive, and finds all of them at once when it resumes.
#include <sys/wait.h>

#include <catch2/catch.hpp>

#include "race_fixture.hpp"

namespace oxbowspread::testing {
namespace {

// ---- waits and drains between the choice of a host and the first byte of the call ----

TEST_CASE(
    "a wait requested by one host of a destination also binds a call still connecting to another host") {
  RelayFixture fixture;
  FullBacklogHost full_host(fixture.stubs, "narrow", 8);
  fixture.stubs.AddHost("open", 8);
  full_host.FillBacklog();
  fixture.relay.config["settings"]["family-info"]["kind-apart"] = {false};
  fixture.relay.Start();
  Client client(fixture.relay);
  for (const char* id : {"id-1", "id-2"}) {
    client.Put(id, "hello", 8000, ",k=key1,dest=8");
    REQUIRE(client.ReadLine() == "+OK");
  }
  fixture.stubs.Answer(fixture.stubs.NextCall(), "429 Full", "Retry-After: 30\r\n");
  fixture.WaitForCounter(client, "refused", 1);
  const Socket late = full_host.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  fixture.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a wait that was received but not yet read is applied before a connection is established") {
  RelayFixture fixture;
  FullBacklogHost full_host(fixture.stubs, "narrow", 8);
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  const Socket first = full_host.listener.Accept(5s);
  REQUIRE(first.Receive(5s).find("id-1") != std::string::npos);
  full_host.FillBacklog();
  client.Put("id-2", "hello", 8000, ",k=key2,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.WaitForCounter(client, "legs", 2);
  fixture.relay.Suspend();
  first.Send("HTTP/1.1 429 Full\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n");
  first.WaitUntilAcknowledged();
  const Socket late = full_host.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  fixture.relay.Resume();
  fixture.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a drain that was received but not yet read is applied before a connection is established") {
  RelayFixture fixture;
  FullBacklogHost full_host(fixture.stubs, "narrow", 8);
  full_host.FillBacklog();
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.WaitForCounter(client, "legs", 1);
  fixture.relay.Suspend();
  fixture.stubs.SetState("narrow", "Terminating");
  fixture.stubs.WaitUntilPushesDelivered();
  const Socket late = full_host.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  fixture.relay.Resume();
  fixture.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
}

TEST_CASE("a call still connecting is not written to a new process at the address of one that has gone") {
  RelayFixture fixture;
  fixture.relay.config["limits"]["memory_mb"] = GENERATE(32, 2048);
  FullBacklogHost full_host(fixture.stubs, "gone", 8);
  full_host.FillBacklog();
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  client.Put("id-1", "hello", 8000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.WaitForCounter(client, "legs", 1);
  nlohmann::json gone = fixture.stubs.ListEntry("gone"), replacement = gone;
  gone["state"] = "Gone";
  replacement["id"] = "replacement";
  replacement["cell"] = 9;
  fixture.stubs.PushChange({{"version", 9}, {"servers", {gone, replacement}}});
  fixture.stubs.WaitUntilPushesDelivered();
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  const Socket late = full_host.AcceptRelayConnection();
  REQUIRE(late.fd() >= 0);
  fixture.WaitForCounter(client, "legs_held_back", 1);
  CHECK(late.Receive(0ms).empty());
  client.Put("id-2", "hello", 8000, ",k=key2,dest=9");
  REQUIRE(client.ReadLine() == "+OK");
  const Socket current = full_host.listener.Accept(5s);
  REQUIRE(current.fd() >= 0);
  CHECK(current.Receive(5s).find("X-Request-ID: id-2") != std::string::npos);
}

// ---- answers close to deadlines ----

TEST_CASE("an answer received by the message's deadline counts even if the relay reads it later") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", "hello", 1000);
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  fixture.relay.Suspend();
  fixture.stubs.Answer(call, "200 OK");
  call.connection->WaitUntilAcknowledged();
  fixture.WaitFor(1100ms);
  fixture.relay.Resume();
  fixture.WaitForCounter(client, "delivered", 1);
  CHECK(client.Counters()["timed_out"] == 0);
  CHECK(client.Counters()["undeliverable"] == 0);
  // The relay can't know whether the answer was in time by the client's clock, so it also sends a notice to
  // the platform.
  CHECK(fixture.stubs.WaitForNotice("id-1").at("status") == "undeliverable");
}

// Guards against a lost message: the client measures the deadline from the time at which it sent the message,
// which is earlier than the time at which the relay read it, and an answer after the client's deadline does
// not count as a delivery.
TEST_CASE(
    "a delivery in the last 400 ms before the deadline also sends a notice and the next process repeats it") {
  RelayFixture fixture;
  fixture.relay.Start();
  fixture.stubs.notice_status = 503;
  {
    Client client(fixture.relay);
    const auto sent_at = Clock::now();
    client.Put("late", "hello", 1500);
    client.Put("soon", "hello", 8000, ",k=key2,dest=7");
    REQUIRE(client.ReadLine() == "+OK");
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest late = fixture.stubs.NextCall(), soon = fixture.stubs.NextCall();
    REQUIRE(late.id() == "late");
    fixture.stubs.Answer(soon, "200 OK");
    fixture.WaitForCounter(client, "delivered", 1);
    // The answer has arrived when the relay resumes, whether that is before or after the call's time-out.
    fixture.relay.Suspend();
    fixture.WaitFor(sent_at + 1200ms - Clock::now());
    fixture.stubs.Answer(late, "200 OK");
    late.connection->WaitUntilAcknowledged();
    fixture.relay.Resume();
    fixture.WaitForCounter(client, "delivered", 2);
    CHECK(client.Counters()["undeliverable"] == 0);
    CHECK(client.Counters()["held"] == 0);
    fixture.stubs.WaitUntil([&] { return fixture.stubs.notices_refused >= 1; });
  }
  fixture.relay.Signal(SIGKILL);
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  fixture.stubs.notice_status = 204;
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Counters()["recovered"] == 0);  // no repeat of the call
  CHECK(fixture.stubs.WaitForNotice("late").at("status") == "undeliverable");
  fixture.WaitForCounter(client, "notices_taken", 1);
  CHECK(fixture.stubs.notices.count("soon") == 0);
}

TEST_CASE("an interim response does not start the time limit of the final response") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  call.connection->Send("HTTP/1.1 102 Processing\r\n\r\n");
  fixture.WaitFor(700ms);
  fixture.stubs.Answer(call, "200 OK");
  fixture.WaitForCounter(client, "delivered", 1);
  CHECK(client.Counters()["legs"] == 1);
  // Half of the final response's status line starts the time limit.
  client.Put("id-2");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest half = fixture.stubs.NextCall();
  half.connection->Send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 20");
  fixture.WaitForCounter(client, "answers_spoilt", 1);
}

// ---- the shutdown of the process ----

TEST_CASE("SIGTERM: a request that arrives as the process is about to exit is answered") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client idle(fixture.relay);
  REQUIRE(idle.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  fixture.relay.Suspend();
  // After this time no message is held and no client has sent for 0.5 s, so the process is due to exit.
  fixture.WaitFor(700ms);
  idle.Put("id-1");
  idle.socket().WaitUntilAcknowledged();
  fixture.relay.Resume();
  const std::string answer = idle.ReadLine();
  CHECK((answer == "+OK" || answer.substr(0, 5) == "-BUSY" || idle.was_reset()));
  if (answer == "+OK") fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.CheckResetOnlyAtExit(idle);
}

TEST_CASE("SIGTERM: pipelined commands are all answered after the relay has stopped sending") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client busy(fixture.relay), pipelined(fixture.relay);
  busy.Put("hung");
  REQUIRE(busy.ReadLine() == "+OK");
  fixture.stubs.NextCall();
  REQUIRE(pipelined.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  fixture.relay.Suspend();
  fixture.WaitFor(3150ms);
  std::string commands;
  for (const char* id : {"id-1", "id-2", "id-3"})
    commands += Client::PutCommand(id, "hello", 8000, ",k=key1,dest=7");
  pipelined.socket().Send(commands);
  pipelined.socket().WaitUntilAcknowledged();
  fixture.relay.Resume();
  for (int i = 0; i < 3; ++i) {
    CHECK(pipelined.AnsweredOrReset());
  }
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.CheckResetOnlyAtExit(pipelined);
}

TEST_CASE("SIGTERM: connections in the listen backlog when the listening socket closes are served") {
  RelayFixture fixture;
  fixture.relay.Start();
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  fixture.relay.Suspend();
  fixture.WaitFor(600ms);
  Client late(fixture.relay);
  late.Put("id-1");
  late.socket().WaitUntilAcknowledged();
  fixture.relay.Resume();
  CHECK(late.ReadLine() == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  CHECK(fixture.relay.WaitForExit() == 0);
}

TEST_CASE(
    "SIGTERM: a call whose connection is established after sending has stopped is left to the next process") {
  RelayFixture fixture;
  FullBacklogHost full_host(fixture.stubs, "narrow", 8);
  full_host.FillBacklog();
  fixture.relay.config["settings"]["limits"]["connect-timeout-s"] = 10;
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  // The kernel repeats the connection request after 1 s and after 3 s. The second repeat comes after the
  // relay has stopped sending and before it exits.
  fixture.WaitFor(200ms);
  client.Put("id-1", "hello", 20000, ",k=key1,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.relay.WaitForLog("settling");
  const Socket backlog_connection = full_host.listener.Accept(0ms);
  CHECK(fixture.relay.WaitForExit() == 0);
  const Socket late = full_host.listener.Accept(0ms);
  CHECK((late.fd() < 0 || late.Receive(0ms).empty()));
  fixture.relay.Start();
  const Socket repeat = full_host.listener.Accept(5s);
  REQUIRE(repeat.fd() >= 0);
  CHECK(repeat.Receive(5s).find("id-1") != std::string::npos);
}

TEST_CASE(
    "SIGTERM: neither SIGHUP nor a second SIGTERM at any moment of the shutdown changes the exit code") {
  RelayFixture fixture;
  fixture.relay.Start();
  fixture.relay.Signal(SIGHUP);
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("settling");
  // Signals are sent until the process has exited, so that they arrive at all points of its shutdown.
  int status = 0;
  while (waitpid(fixture.relay.pid(), &status, WNOHANG) == 0) {
    for (const int number : {SIGHUP, SIGTERM, SIGUSR1}) fixture.relay.Signal(number);
    fixture.relay.log();  // empties the pipe, which would otherwise fill up and block the relay
  }
  CHECK(fixture.relay.MarkExited(status) == 0);
}

// ---- closing of client connections ----

TEST_CASE("an answer reaches its client even if the connection is closed with unread bytes after it") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Suspend();
  // An invalid command, followed by more bytes than the relay reads at once.
  client.socket().Send("nonsense\r\n" + std::string(100'000, 'x'));
  client.socket().WaitUntilAcknowledged();
  fixture.relay.Resume();
  CHECK(client.ReadLine().substr(0, 4) == "-ERR");
  bool ended = false;
  int error = 0;
  fixture.stubs.WaitUntil([&] {
    client.socket().Receive(0ms, &ended, &error);
    return ended;
  });
  CHECK(error == 0);  // not a reset
}

TEST_CASE("a request that arrives as its connection's idle time-out expires is served") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Suspend();
  fixture.WaitFor(10'100ms);
  client.Put("id-1");
  client.socket().WaitUntilAcknowledged();
  fixture.relay.Resume();
  CHECK(client.ReadLine() == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
}

// ---- the host list ----

TEST_CASE("a list change that is indented over several lines and split into chunks at any point is applied") {
  RelayFixture fixture;
  fixture.stubs.AddHost("b", 7);
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  const long changes = client.Counters()["list_changes"];
  auto removed_entry = fixture.stubs.ListEntry("b");
  removed_entry["state"] = "Gone";
  removed_entry["note"] = "a brace } and a \\\" in a text {";
  const nlohmann::json change = {{"version", 7}, {"full", false}, {"servers", {removed_entry}}};
  const std::string text = "\n" + change.dump(2) + "\n\n";
  for (std::size_t offset = 0; offset < text.size(); offset += 7)
    fixture.stubs.PushChunk(text.substr(offset, 7));
  fixture.WaitForCounter(client, "list_changes", changes + 1);
  CHECK(client.Counters()["list_failures"] == 0);
  CHECK(fixture.stubs.watch_requests == 1);
  for (int i = 0; i < 3; ++i) {
    client.Put("id-" + std::to_string(i));
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = fixture.stubs.NextCall();
    CHECK(fixture.stubs.HostOf(call) == "a");
    fixture.stubs.Answer(call, "200 OK");
  }
}

TEST_CASE("with pushed lists the relay subscribes at its start and again soon after a subscription ends") {
  RelayFixture fixture;
  fixture.stubs.AddHost("b", 7);
  fixture.relay.config["settings"]["discovery"] = "push";
  fixture.relay.config["settings"]["balancers"] = 300;
  fixture.relay.config["settings"]["invariants"].erase("ask-within-s");
  fixture.relay.Start();
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; }, 1s);
  fixture.WaitForCounter(client, "list_changes", 2);
  fixture.stubs.SetState("b", "Terminating");
  fixture.WaitForCounter(client, "list_changes", 3);
  fixture.stubs.CloseWatches();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 2; }, 1s);
}

}  // namespace
}  // namespace oxbowspread::testing
