// Clients at moments that seldom come: half a request as the relay is told to end, a close at the cap on
// connections, and floods beside which others are served.
#include <catch2/catch.hpp>
#include <deque>
#include <fstream>

#include "crossing.hpp"

namespace oxbowspread::testing {
namespace {

std::string Put(const std::string& id) {
  return Client::PutCommand(id, "hello", 8000, ",k=key-" + id + ",dest=7");
}
const char* const kPing = "*1\r\n$4\r\nPING\r\n";
bool Answered(const std::string& line) { return line == "+OK" || line.substr(0, 5) == "-BUSY"; }

// Resident memory of the process, in MB.
double ResidentMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

TEST_CASE("SIGTERM with half a request read: it is answered once it is whole, early and at the last sends") {
  RelayFixture c;
  c.relay.Start();
  const std::string whole = Put("early"), late = Put("late");
  Client hung(c.relay), first(c.relay), second(c.relay);
  hung.Put("hung");
  REQUIRE(hung.ReadLine() == "+OK");
  c.stubs.NextCall();
  first.socket().Send(whole.substr(0, whole.size() / 2));
  first.socket().WaitUntilAcknowledged();
  REQUIRE(second.Ask(kPing) == "+PONG");
  c.relay.Signal(SIGTERM);
  c.relay.WaitForLog("draining");
  first.socket().Send(whole.substr(whole.size() / 2));
  CHECK(first.ReadLine() == "+OK");
  c.stubs.Answer(c.stubs.NextCall(), "200 OK");
  c.WaitFor(1500ms);
  second.socket().Send(late.substr(0, 20));
  c.relay.WaitForLog("settling");
  second.socket().Send(late.substr(20));
  // Nothing new is sent by now: whoever is not taken on hears so, and its connection is ended, not reset.
  const std::string answer = second.ReadLine();
  CHECK((answer.substr(0, 5) == "-BUSY" || second.was_reset()));
  if (!answer.empty()) {
    CHECK(second.ReadLine().empty());
    CHECK_FALSE(second.was_reset());
  }
  CHECK(c.relay.WaitForExit() == 0);
  c.CheckResetOnlyAtExit(second);
  CHECK_FALSE(c.stubs.CallArrivesWithin(0ms));
}

// From SIGTERM to SIGKILL, whatever the moment: what was answered +OK is delivered by one process or the
// next.
TEST_CASE(
    "SIGTERM, requests on every open connection, SIGKILL: what was taken on is delivered or tried again") {
  for (const auto alive : {100ms, 900ms, 2500ms}) {
    INFO(alive.count());
    RelayFixture c;
    c.relay.Start();
    std::vector<Client> clients;
    for (int i = 0; i < 8; ++i) {
      clients.emplace_back(c.relay);
      REQUIRE(clients.back().Ask(kPing) == "+PONG");
    }
    c.relay.Signal(SIGTERM);
    c.relay.WaitForLog("draining");
    std::set<std::string> taken, delivered;
    const auto answer_calls = [&] {
      while (c.stubs.CallArrivesWithin(0ms)) {
        const HttpRequest call = c.stubs.NextCall();
        delivered.insert(call.id());
        c.stubs.Answer(call, "200 OK");
      }
    };
    const auto until = Clock::now() + alive;
    for (int round = 0; Clock::now() < until; ++round) {
      for (std::size_t i = 0; i < clients.size(); ++i) {
        const std::string id = std::to_string(round) + "-" + std::to_string(i);
        clients[i].socket().Send(Put(id));
        const std::string line = clients[i].ReadLine();
        REQUIRE(Answered(line));
        if (line == "+OK") taken.insert(id);
      }
      answer_calls();
    }
    // These are on their way, read or not, when the process dies.
    for (std::size_t i = 0; i < clients.size(); ++i)
      clients[i].socket().Send(Put("last-" + std::to_string(i)));
    c.relay.Signal(SIGKILL);
    CHECK(c.relay.WaitForExit() == -SIGKILL);
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (clients[i].ReadLine() == "+OK") taken.insert("last-" + std::to_string(i));
    }
    clients.clear();
    c.relay.Start();
    c.stubs.WaitUntil([&] {
      answer_calls();
      Client watcher(c.relay);
      return watcher.Counters()["held"] == 0;
    });
    answer_calls();
    for (const std::string& id : taken) CHECK(delivered.count(id) == 1);
    // Calls whose answers the kill met may have run, and are repeated while the budget lasts; no other is
    // ended.
    for (const auto& [id, notice] : c.stubs.notices) CHECK(delivered.count(id) == 1);
  }
}

// At the cap the one that rests gives way, and what it was answered has reached it.
TEST_CASE(
    "a client that is closed for others has had its answer, and a request that crosses is not sent on") {
  RelayFixture c;
  c.relay.config["limits"]["sockets"] = 64;  // 19 clients
  c.relay.Start();
  Client rests(c.relay), watcher(c.relay);
  rests.Put("id-1");
  rests.socket().WaitUntilAcknowledged();
  // Its answer stands unread in the client's system meanwhile.
  c.stubs.Answer(c.stubs.NextCall(), "200 OK");
  c.WaitForCounter(watcher, "delivered", 1);
  std::vector<Client> others;
  c.stubs.WaitUntil([&] {
    others.emplace_back(c.relay);
    REQUIRE(others.back().Ask(kPing) == "+PONG");
    return watcher.Counters()["clients_evicted"] >= 1;
  });
  rests.Put("id-2");
  CHECK(rests.ReadLine() == "+OK");
  CHECK(rests.ReadLine().empty());  // closed: the second was read by nobody, and is the client's to repeat
  const long asked = watcher.Counters()["authorisations"];
  CHECK(asked == 1);
  CHECK_FALSE(c.stubs.CallArrivesWithin(0ms));
  Client again(c.relay);
  again.Put("id-2");
  CHECK(again.ReadLine() == "+OK");
  CHECK(c.stubs.NextCall().id() == "id-2");
}

TEST_CASE(
    "one client that sends thousands of requests at once and goes costs others nothing, time after time") {
  RelayFixture c;
  c.relay.environment["ASAN_OPTIONS"] = "quarantine_size_mb=1:malloc_context_size=2";
  c.relay.Start();
  Client good(c.relay);
  REQUIRE(good.Ask(kPing) == "+PONG");
  double first_mb = 0, last_mb = 0;
  for (int round = 0; round < 8; ++round) {
    std::string all;
    for (int i = 0; i < 2000; ++i) all += Put(std::to_string(round) + "-" + std::to_string(i));
    Socket flood = Socket::Connect(c.relay.port());
    flood.Send(all.substr(0, 200'000));
    for (int i = 0; i < 5; ++i) {
      const auto asked = Clock::now();
      CHECK(good.Ask(kPing) == "+PONG");
      CHECK(Clock::now() - asked < 400ms);
    }
    flood.Reset();
    // What it was told +OK, or not, by then is held or not; nothing of it waits for a client that has gone.
    c.stubs.WaitUntil([&] {
      while (c.stubs.CallArrivesWithin(0ms)) c.stubs.Answer(c.stubs.NextCall(), "200 OK");
      return good.Counters()["held"] == 0;
    });
    last_mb = ResidentMb(c.relay.pid());
    if (round == 3) first_mb = last_mb;
  }
  INFO(first_mb << " MB after four rounds, " << last_mb << " MB after eight");
  CHECK(last_mb < first_mb + 4);
  good.Put("mine");
  CHECK(good.ReadLine() == "+OK");
  CHECK(c.stubs.NextCall().id() == "mine");
}

TEST_CASE("a request that comes byte by byte is ended within 3 s, and one who asks beside it is served") {
  RelayFixture c;
  c.relay.Start();
  Client drip(c.relay);
  const std::string whole = Put("drip");
  const auto begun = Clock::now();
  std::size_t sent = 0;
  std::string said;
  c.stubs.WaitUntil([&] {
    const auto due = static_cast<std::size_t>((Clock::now() - begun) / 200ms) + 1;
    while (sent < due && sent < whole.size()) drip.socket().Send(whole.substr(sent++, 1));
    said += drip.socket().Receive(0ms);
    return !said.empty();
  });
  CHECK(said.substr(0, 4) == "-ERR");
  CHECK(Clock::now() - begun < 3s);
  CHECK(Clock::now() - begun > 2s);  // slow but honest ones take 2 s
  Client good(c.relay);
  CHECK(good.Ask(kPing) == "+PONG");
}

TEST_CASE("clients that come again at once after -BUSY are answered each time, and others are served") {
  RelayFixture c;
  c.relay.config["settings"]["limits"]["max-open"] = 1;
  c.relay.Start();
  Client holder(c.relay), good(c.relay);
  holder.Put("held");
  REQUIRE(holder.ReadLine() == "+OK");
  const HttpRequest call = c.stubs.NextCall();
  std::vector<Client> eager;
  for (int i = 0; i < 20; ++i) eager.emplace_back(c.relay);
  for (int round = 0; round < 50; ++round) {
    for (std::size_t i = 0; i < eager.size(); ++i) {
      eager[i].socket().Send(Put(std::to_string(round) + "-" + std::to_string(i)));
    }
    for (Client& client : eager) REQUIRE(client.ReadLine().substr(0, 6) == "-BUSY ");
    const auto asked = Clock::now();
    CHECK(good.Ask(kPing) == "+PONG");
    CHECK(Clock::now() - asked < 400ms);
  }
  CHECK(good.Counters()["busy_full"] == 1000);
  c.stubs.Answer(call, "200 OK");
  c.WaitForCounter(good, "delivered", 1);
  eager.front().Put("now");
  CHECK(eager.front().ReadLine() == "+OK");
}

// Found by the soak, seed 7300011, in 2 of 12 plays: a message was handed to a relay that stood (SIGSTOP) and
// lay unread for 0.369 s. Its client heard +OK 0.369 s after it had sent it, within the 0.4 s that it waits.
// The relay counted the message's 2.5 s from when it read it, so that the call at a silent host was given up,
// and the end told, 0.368 s after the time was up by the client's count; 0.35 s are allowed. X-Timeout tells
// how long the relay will wait: it must not wait for long past the client's time.
struct Unread : RelayFixture {
  static constexpr int kTimeMs = 1500, kUncountedMs = 100;
  Clock::time_point sent{};

  // The relay goes on after nearly all of the time that a client waits.
  void LetLie() {
    sent = Clock::now();
    WaitFor(380ms);
  }
  void CheckGivenUpInTime(const std::string& id) {
    const auto lay = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - sent).count();
    relay.Resume();
    const HttpRequest call = stubs.NextCall();
    REQUIRE(call.id() == id);
    CHECK(std::stol(call.headers.at("x-timeout")) + lay <= kTimeMs + kUncountedMs);
  }
};

TEST_CASE("a message that lay unread while its relay stood ends by its client's time") {
  Unread u;
  u.relay.Start();
  Client client(u.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  u.relay.Suspend();
  client.Put("id-1", "hello", Unread::kTimeMs);
  u.LetLie();
  u.CheckGivenUpInTime("id-1");
}

TEST_CASE(
    "a message on a connection that waited at the door while its relay stood ends by its client's time") {
  Unread u;
  u.relay.Start();
  u.relay.Suspend();
  Client client(u.relay);
  client.Put("id-1", "hello", Unread::kTimeMs);
  u.LetLie();
  u.CheckGivenUpInTime("id-1");
}

TEST_CASE("a message that lay unread while signals came to its relay ends by its client's time") {
  Unread u;
  u.relay.Start();
  Client client(u.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  u.relay.Suspend();
  client.Put("id-1", "hello", Unread::kTimeMs);
  u.LetLie();
  for (const int signal : {SIGUSR1, SIGHUP}) u.relay.Signal(signal);
  u.CheckGivenUpInTime("id-1");
}

TEST_CASE("a message that lay behind another one while its relay stood ends by its client's time") {
  Unread u;
  u.stubs.AddHost("b", 8);
  u.relay.Start();
  Client client(u.relay);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  u.relay.Suspend();
  // The first one's host refuses connections: the only call is the second one's.
  u.stubs.StopHost("b");
  client.socket().Send(Client::PutCommand("id-0", "hello", 8000, ",k=key0,dest=8") +
                       Client::PutCommand("id-1", "hello", Unread::kTimeMs, ",k=key1,dest=7"));
  u.LetLie();
  u.CheckGivenUpInTime("id-1");
}

// Found by the soak, seed 8200038: 5.5 ms after the relay went on it took on what had lain at its door for
// 0.368 s, behind more connections than it accepts in three rounds, and counted that as just come.
TEST_CASE(
    "a message that waited at the door behind a crowd while its relay stood ends by its client's time") {
  Unread u;
  u.relay.Start();
  u.relay.Suspend();
  std::deque<Client> crowd;
  for (int i = 0; i < 320; ++i) crowd.emplace_back(u.relay);
  Client client(u.relay);
  client.Put("id-1", "hello", Unread::kTimeMs);
  u.LetLie();
  u.CheckGivenUpInTime("id-1");
}

TEST_CASE("a message that is read at once keeps its whole time") {
  RelayFixture c;
  c.relay.Start();
  Client client(c.relay);
  client.Put("id-1", "hello", 1500);
  CHECK(std::stol(c.stubs.NextCall().headers.at("x-timeout")) > 1000);
}

}  // namespace
}  // namespace oxbowspread::testing
