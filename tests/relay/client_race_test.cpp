// Client connections in rare situations: a half-received request at SIGTERM, connections closed at the
// connection limit, other clients during a flood of requests, and messages that were unread while the relay
// was suspended.
#include <catch2/catch.hpp>
#include <deque>
#include <fstream>

#include "race_fixture.hpp"
#include "relay/ended_messages.hpp"

namespace oxbowspread::testing {
namespace {

// Returns the MSG.PUT command of a message with that id.
std::string Put(const std::string& id) {
  return Client::PutCommand(id, "hello", 8000, ",k=key-" + id + ",dest=7");
}
const char* const kPing = "*1\r\n$4\r\nPING\r\n";
bool IsAnswer(const std::string& line) { return line == "+OK" || line.substr(0, 5) == "-BUSY"; }

// Returns the resident memory of the process in MB.
double ResidentMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

TEST_CASE("SIGTERM with half a request read: the request is answered once it is complete") {
  RelayFixture fixture;
  fixture.relay.Start();
  const std::string whole = Put("early"), late = Put("late");
  Client unanswered(fixture.relay), first(fixture.relay), second(fixture.relay);
  unanswered.Put("hung");
  REQUIRE(unanswered.ReadLine() == "+OK");
  fixture.stubs.NextCall();
  first.socket().Send(whole.substr(0, whole.size() / 2));
  first.socket().WaitUntilAcknowledged();
  REQUIRE(second.Ask(kPing) == "+PONG");
  fixture.relay.Signal(SIGTERM);
  fixture.relay.WaitForLog("draining");
  first.socket().Send(whole.substr(whole.size() / 2));
  CHECK(first.ReadLine() == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  fixture.WaitFor(1500ms);
  second.socket().Send(late.substr(0, 20));
  fixture.relay.WaitForLog("settling");
  second.socket().Send(late.substr(20));
  // The relay starts no new calls at this point. A client whose message is not accepted gets an answer, and
  // its connection is closed without a reset.
  const std::string answer = second.ReadLine();
  CHECK((answer.substr(0, 5) == "-BUSY" || second.was_reset()));
  if (!answer.empty()) {
    CHECK(second.ReadLine().empty());
    CHECK_FALSE(second.was_reset());
  }
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.CheckResetOnlyAtExit(second);
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(0ms));
}

// Whenever SIGKILL follows SIGTERM, this process or the next one delivers each message that was answered +OK.
TEST_CASE("messages accepted between SIGTERM and SIGKILL are delivered or attempted again") {
  for (const auto time_to_kill : {100ms, 900ms, 2500ms}) {
    INFO(time_to_kill.count());
    RelayFixture fixture;
    fixture.relay.Start();
    std::vector<Client> clients;
    for (int i = 0; i < 8; ++i) {
      clients.emplace_back(fixture.relay);
      REQUIRE(clients.back().Ask(kPing) == "+PONG");
    }
    fixture.relay.Signal(SIGTERM);
    fixture.relay.WaitForLog("draining");
    std::set<std::string> accepted, delivered;
    const auto answer_calls = [&] {
      while (fixture.stubs.CallArrivesWithin(0ms)) {
        const HttpRequest call = fixture.stubs.NextCall();
        delivered.insert(call.id());
        fixture.stubs.Answer(call, "200 OK");
      }
    };
    const auto until = Clock::now() + time_to_kill;
    for (int round = 0; Clock::now() < until; ++round) {
      for (std::size_t i = 0; i < clients.size(); ++i) {
        const std::string id = std::to_string(round) + "-" + std::to_string(i);
        clients[i].socket().Send(Put(id));
        const std::string line = clients[i].ReadLine();
        REQUIRE(IsAnswer(line));
        if (line == "+OK") accepted.insert(id);
      }
      answer_calls();
    }
    // These messages are in transit, or received and read or unread, when the process is killed.
    for (std::size_t i = 0; i < clients.size(); ++i)
      clients[i].socket().Send(Put("last-" + std::to_string(i)));
    fixture.relay.Signal(SIGKILL);
    CHECK(fixture.relay.WaitForExit() == -SIGKILL);
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (clients[i].ReadLine() == "+OK") accepted.insert("last-" + std::to_string(i));
    }
    clients.clear();
    fixture.relay.Start();
    fixture.stubs.WaitUntil([&] {
      answer_calls();
      Client watcher(fixture.relay);
      return watcher.Counters()["held"] == 0;
    });
    answer_calls();
    for (const std::string& id : accepted) CHECK(delivered.count(id) == 1);
    // Calls whose answers were lost when the process was killed may have run and are repeated while the retry
    // budget lasts. No other message may end as undeliverable.
    for (const auto& [id, notice] : fixture.stubs.notices) CHECK(delivered.count(id) == 1);
  }
}

// At the connection limit the relay closes the idle client, after the client's answers have been sent.
TEST_CASE("a client closed to make room has its answer and a request that it sends later is not processed") {
  RelayFixture fixture;
  fixture.relay.config["limits"]["sockets"] = 64;  // 19 clients
  fixture.relay.Start();
  Client idle(fixture.relay), watcher(fixture.relay);
  idle.Put("id-1");
  idle.socket().WaitUntilAcknowledged();
  // Its answer stays unread in the receive buffer of the client.
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  fixture.WaitForCounter(watcher, "delivered", 1);
  std::vector<Client> others;
  fixture.stubs.WaitUntil([&] {
    others.emplace_back(fixture.relay);
    REQUIRE(others.back().Ask(kPing) == "+PONG");
    return watcher.Counters()["clients_evicted"] >= 1;
  });
  idle.Put("id-2");
  CHECK(idle.ReadLine() == "+OK");
  CHECK(idle.ReadLine().empty());  // closed: the second request was not read, the client has to repeat it
  const long authorisations = watcher.Counters()["authorisations"];
  CHECK(authorisations == 1);
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(0ms));
  Client reconnected(fixture.relay);
  reconnected.Put("id-2");
  CHECK(reconnected.ReadLine() == "+OK");
  CHECK(fixture.stubs.NextCall().id() == "id-2");
}

TEST_CASE("a request whose client has closed its connection with much still unread is not sent on") {
  RelayFixture fixture;
  fixture.relay.config["limits"]["memory_mb"] = GENERATE(32, 2048);
  fixture.relay.Start();
  Client watcher(fixture.relay);
  REQUIRE(watcher.Ask(kPing) == "+PONG");
  fixture.relay.Suspend();
  for (int i = 0; i < 5; ++i) {
    Client leaving(fixture.relay);
    for (int j = 0; j < 20; ++j) {
      const std::string id = std::to_string(i) + "-" + std::to_string(j);
      leaving.Put(id, std::string(2000, 'x'), 8000, ",k=key-" + id + ",dest=7");
    }
    leaving.socket().WaitUntilAcknowledged();
  }
  fixture.relay.Resume();
  fixture.WaitForCounter(watcher, "withdrawn", 5);
  CHECK(watcher.Counters()["taken_on"] == 0);
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(0ms));
}

TEST_CASE("a message that comes again after its client has left and it was delivered does not run twice") {
  RelayFixture fixture;
  fixture.relay.config["limits"]["memory_mb"] = GENERATE(32, 2048);
  fixture.relay.Start();
  Client watcher(fixture.relay);
  {
    Client leaving(fixture.relay);
    leaving.Put("again");
    fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  }
  fixture.WaitForCounter(watcher, "delivered", 1);
  Client returning(fixture.relay);
  returning.Put("again");
  CHECK(returning.ReadLine() == "+OK");
  // A later message is called, and no call came before it.
  returning.Put("later", "hello", 8000, ",k=key2,dest=7");
  CHECK(returning.ReadLine() == "+OK");
  CHECK(fixture.stubs.NextCall().id() == "later");
  CHECK(watcher.Counters()["known_again"] == 1);
}

TEST_CASE("ended messages are remembered until their deadlines, and no more than a limit of them") {
  using relay::EndedMessages;
  EndedMessages messages;
  messages.Add({"late", 10us, {}}, 10us);
  CHECK(messages.size() == 0);
  messages.Add({"first", 20us, journal::Ending{false, 5}}, 10us);
  REQUIRE(messages.Find("first", 19us) != nullptr);
  CHECK(messages.Find("first", 19us)->ending->retry_after_ms == 5);
  CHECK(messages.Find("first", 20us) == nullptr);
  messages.Add({"first", 50us, {}}, 11us);
  CHECK(messages.size() == 1);
  for (std::size_t i = 0; i < EndedMessages::kMaxMessages; ++i)
    messages.Add({"id-" + std::to_string(i), 100us + std::chrono::microseconds(i), {}}, 12us);
  CHECK(messages.size() == EndedMessages::kMaxMessages);
  CHECK(messages.Find("first", 12us) == nullptr);
  messages.Add({"last", 10'000us, {}}, 9'000us);
  CHECK(messages.All().size() == 1);
}

TEST_CASE("a crowd that connects takes no answer away from clients that have sent many requests at once") {
  constexpr int kClients = 4, kRequests = 8, kCrowd = 200;
  RelayFixture fixture;
  fixture.relay.config["limits"]["sockets"] = 64;  // 19 clients
  fixture.relay.Start();
  std::vector<Client> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(fixture.relay);
    REQUIRE(clients.back().Ask(kPing) == "+PONG");
  }
  fixture.relay.Suspend();
  for (int i = 0; i < kClients; ++i) {
    std::string requests;
    for (int j = 0; j < kRequests; ++j) requests += Put(std::to_string(i) + "-" + std::to_string(j));
    clients[static_cast<std::size_t>(i)].socket().Send(requests);
  }
  std::deque<Client> crowd;
  for (int i = 0; i < kCrowd; ++i) crowd.emplace_back(fixture.relay);
  fixture.relay.Resume();
  int answers = 0;
  for (Client& client : clients) {
    for (int j = 0; j < kRequests; ++j) answers += IsAnswer(client.ReadLine());
  }
  CHECK(answers == kClients * kRequests);
}

TEST_CASE("a PING with a long argument is answered with that argument") {
  RelayFixture fixture;
  fixture.relay.Start();
  const std::string argument(30 * 1024, 'x');
  Client client(fixture.relay);
  client.socket().Send("*2\r\n$4\r\nPING\r\n$" + std::to_string(argument.size()) + "\r\n" + argument +
                       "\r\n");
  CHECK(client.ReadLine() == "$" + std::to_string(argument.size()));
  CHECK(client.ReadLine() == argument);
}

TEST_CASE("a client that repeatedly sends thousands of requests and disconnects does not affect others") {
  RelayFixture fixture;
  fixture.relay.environment["ASAN_OPTIONS"] = "quarantine_size_mb=1:malloc_context_size=2";
  fixture.relay.Start();
  Client unaffected(fixture.relay);
  REQUIRE(unaffected.Ask(kPing) == "+PONG");
  double resident_after_four_mb = 0, resident_mb = 0;
  for (int round = 0; round < 8; ++round) {
    std::string requests;
    for (int i = 0; i < 2000; ++i) requests += Put(std::to_string(round) + "-" + std::to_string(i));
    Socket flood = Socket::Connect(fixture.relay.port());
    flood.Send(requests.substr(0, 200'000));
    for (int i = 0; i < 5; ++i) {
      const auto asked_at = Clock::now();
      CHECK(unaffected.Ask(kPing) == "+PONG");
      CHECK(Clock::now() - asked_at < 400ms);
    }
    flood.Reset();
    // Some of its messages have been accepted by then. None of them waits for the disconnected client.
    fixture.stubs.WaitUntil([&] {
      while (fixture.stubs.CallArrivesWithin(0ms)) fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
      return unaffected.Counters()["held"] == 0;
    });
    resident_mb = ResidentMb(fixture.relay.pid());
    if (round == 3) resident_after_four_mb = resident_mb;
  }
  INFO(resident_after_four_mb << " MB after four rounds, " << resident_mb << " MB after eight");
  CHECK(resident_mb < resident_after_four_mb + 4);
  unaffected.Put("mine");
  CHECK(unaffected.ReadLine() == "+OK");
  CHECK(fixture.stubs.NextCall().id() == "mine");
}

TEST_CASE("a request sent byte by byte is refused within 3 s and another client is served") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client slow(fixture.relay);
  const std::string request = Put("drip");
  const auto started_at = Clock::now();
  std::size_t sent = 0;
  std::string answer;
  fixture.stubs.WaitUntil([&] {
    const auto due = static_cast<std::size_t>((Clock::now() - started_at) / 200ms) + 1;
    while (sent < due && sent < request.size()) slow.socket().Send(request.substr(sent++, 1));
    answer += slow.socket().Receive(0ms);
    return !answer.empty();
  });
  CHECK(answer.substr(0, 4) == "-ERR");
  CHECK(Clock::now() - started_at < 3s);
  CHECK(Clock::now() - started_at > 2s);  // legitimate slow clients need up to 2 s
  Client unaffected(fixture.relay);
  CHECK(unaffected.Ask(kPing) == "+PONG");
}

TEST_CASE("clients that retry at once after -BUSY are answered each time and others are served") {
  RelayFixture fixture;
  fixture.relay.config["settings"]["limits"]["max-open"] = 1;
  fixture.relay.Start();
  Client holder(fixture.relay), unaffected(fixture.relay);
  holder.Put("held");
  REQUIRE(holder.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  std::vector<Client> retrying;
  for (int i = 0; i < 20; ++i) retrying.emplace_back(fixture.relay);
  for (int round = 0; round < 50; ++round) {
    for (std::size_t i = 0; i < retrying.size(); ++i) {
      retrying[i].socket().Send(Put(std::to_string(round) + "-" + std::to_string(i)));
    }
    for (Client& client : retrying) REQUIRE(client.ReadLine().substr(0, 6) == "-BUSY ");
    const auto asked_at = Clock::now();
    CHECK(unaffected.Ask(kPing) == "+PONG");
    CHECK(Clock::now() - asked_at < 400ms);
  }
  CHECK(unaffected.Counters()["busy_full"] == 1000);
  fixture.stubs.Answer(call, "200 OK");
  fixture.WaitForCounter(unaffected, "delivered", 1);
  retrying.front().Put("now");
  CHECK(retrying.front().ReadLine() == "+OK");
}

// Guards against notices after the client's deadline. The soak test found them with seed 7300011 in 2 of 12
// runs: a message was unread for 0.369 s while the relay was suspended (SIGSTOP), and its client got +OK
// within the 0.4 s for which it waits. The relay measured the message's deadline of 2.5 s from the time at
// which it read the message. It therefore gave up the call to a silent host and sent the notice 0.368 s after
// the client's deadline, but only 0.35 s are allowed. These tests check the call's X-Timeout, which is the
// time for which the relay will wait: it must not end long after the client's deadline.
struct UnreadMessage : RelayFixture {
  static constexpr int kDeadlineMs = 1500, kToleranceMs = 100;
  Clock::time_point sent_at{};

  // Keeps the relay suspended for nearly all of the 0.4 s that a client waits for its answer.
  void LeaveUnread() {
    sent_at = Clock::now();
    WaitFor(380ms);
  }
  // Resumes the relay and checks the time limit of the call for that message.
  void CheckCallEndsInTime(const std::string& id) {
    const auto unread_ms = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - sent_at).count();
    relay.Resume();
    const HttpRequest call = stubs.NextCall();
    REQUIRE(call.id() == id);
    CHECK(std::stol(call.headers.at("x-timeout")) + unread_ms <= kDeadlineMs + kToleranceMs);
  }
};

TEST_CASE("a message that was unread while its relay was suspended ends by its client's deadline") {
  UnreadMessage fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Suspend();
  client.Put("id-1", "hello", UnreadMessage::kDeadlineMs);
  fixture.LeaveUnread();
  fixture.CheckCallEndsInTime("id-1");
}

TEST_CASE("a message on a connection in the backlog of a suspended relay ends by its client's deadline") {
  UnreadMessage fixture;
  fixture.relay.Start();
  fixture.relay.Suspend();
  Client client(fixture.relay);
  client.Put("id-1", "hello", UnreadMessage::kDeadlineMs);
  fixture.LeaveUnread();
  fixture.CheckCallEndsInTime("id-1");
}

TEST_CASE("a message that was unread while its suspended relay got signals ends by its client's deadline") {
  UnreadMessage fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Suspend();
  client.Put("id-1", "hello", UnreadMessage::kDeadlineMs);
  fixture.LeaveUnread();
  for (const int signal : {SIGUSR1, SIGHUP}) fixture.relay.Signal(signal);
  fixture.CheckCallEndsInTime("id-1");
}

TEST_CASE("a message that was unread behind another one in a suspended relay ends by its client's deadline") {
  UnreadMessage fixture;
  fixture.stubs.AddHost("b", 8);
  fixture.relay.Start();
  Client client(fixture.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Suspend();
  // The host of the first message refuses connections, so that the only call is for the second message.
  fixture.stubs.StopHost("b");
  client.socket().Send(Client::PutCommand("id-0", "hello", 8000, ",k=key0,dest=8") +
                       Client::PutCommand("id-1", "hello", UnreadMessage::kDeadlineMs, ",k=key1,dest=7"));
  fixture.LeaveUnread();
  fixture.CheckCallEndsInTime("id-1");
}

// Guards against the same fault for connections in the listen backlog. The soak test found it with seed
// 8200038: 5.5 ms after it resumed, the relay accepted a connection that had waited for 0.368 s in the
// backlog, behind more connections than the relay accepts in three iterations of its event loop. The relay
// treated the message on that connection as just received.
TEST_CASE(
    "a message in the backlog of a suspended relay behind many connections ends by its client's deadline") {
  UnreadMessage fixture;
  fixture.relay.Start();
  fixture.relay.Suspend();
  std::deque<Client> connections;
  for (int i = 0; i < 320; ++i) connections.emplace_back(fixture.relay);
  Client client(fixture.relay);
  client.Put("id-1", "hello", UnreadMessage::kDeadlineMs);
  fixture.LeaveUnread();
  fixture.CheckCallEndsInTime("id-1");
}

TEST_CASE("a message that is read at once keeps its whole deadline") {
  RelayFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1", "hello", 1500);
  CHECK(std::stol(fixture.stubs.NextCall().headers.at("x-timeout")) > 1000);
}

}  // namespace
}  // namespace oxbowspread::testing
