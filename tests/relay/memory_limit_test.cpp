// A relay's processes and files stay within limits.memory_mb, whatever clients and endpoints send, and the
// clients that send whole requests are served meanwhile. The relay is built without sanitizers, which need
// more memory than the limit.
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <list>
#include <thread>

#include "client/receive_budget.hpp"
#include "memory_watcher.hpp"
#include "proto/resp.hpp"
#include "race_fixture.hpp"

namespace oxbowspread::testing {
namespace {

constexpr std::size_t kBytesPerMb = 1'000'000;
constexpr std::size_t kLargeBody = 64 * 1024;
constexpr std::size_t kUnsentBytes = 10;  // of a request that stops before its end
constexpr int kStoppedClients = 400;      // nearly all clients that 1,024 descriptors allow
const char* const kPing = "*1\r\n$4\r\nPING\r\n";

// Limits of a relay: the least memory that the deployment's pages name, and the most.
struct Limits {
  int memory_mb = 32, sockets = 1024;
};
constexpr Limits kLeast{32, 1024}, kMost{2048, 4096};

std::string LargePut(const std::string& id) {
  return Client::PutCommand(id, std::string(kLargeBody, 'x'), 8000, ",k=key-" + id + ",dest=7");
}

std::string PutWithShortFields(const std::string& id) {
  std::string fields = ",k=key-" + id + ",dest=7";
  while (fields.size() < kLargeBody - 100) fields += ",a=b";
  return Client::PutCommand(id, "hello", 8000, fields);
}

// Returns whether the process has not exited. A process that has is not waited for, only looked at.
bool IsRunning(RelayProcess& process) {
  siginfo_t info{};
  const auto id = static_cast<id_t>(process.pid());
  const bool exited = waitid(P_PID, id, &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid != 0;
  INFO(process.log());
  CHECK_FALSE(exited);
  return !exited;
}

// One relay that is built without sanitizers, and clients that stop half way.
struct MemoryFixture : RelayFixture {
  Limits limits;
  MemoryWatcher watcher{relay.state()};
  std::list<Client> stopped_clients;

  explicit MemoryFixture(Limits used_limits = kLeast) : limits(used_limits) { Configure(relay); }
  void Configure(RelayProcess& process) const {
    process.program = OXBOWSPREAD_RELEASE;
    process.config["limits"]["memory_mb"] = limits.memory_mb;
    process.config["limits"]["sockets"] = limits.sockets;
  }
  void Start() {
    relay.Start();
    watcher.Add(relay.pid(), relay.program);
  }
  // Connects clients that send that request except its end, and waits until the relay has read what it reads.
  void StopWithin(const std::function<std::string(const std::string& id)>& request, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string bytes = request("stopped-" + std::to_string(i));
      stopped_clients.emplace_back(relay).socket().Send(bytes.substr(0, bytes.size() - kUnsentBytes));
    }
    Client last(relay);
    for (int i = 0; i < 3; ++i) REQUIRE(last.Ask(kPing) == "+PONG");
  }
  void AnswerCalls() {
    while (stubs.CallArrivesWithin(0ms)) stubs.Answer(stubs.NextCall(), "200 OK");
  }
  void CheckMemory() {
    CHECK(watcher.Stop() <= static_cast<std::size_t>(limits.memory_mb) * kBytesPerMb);
    CHECK(IsRunning(relay));
  }
};

TEST_CASE("hundreds of clients that stop within a request do not take a process over its memory limit") {
  const Limits limits = GENERATE(kLeast, kMost);
  MemoryFixture fixture(limits);
  fixture.Start();
  SECTION("a large body") { fixture.StopWithin(LargePut, kStoppedClients); }
  SECTION("very many short fields") { fixture.StopWithin(PutWithShortFields, kStoppedClients); }
  SECTION("a large request behind another one") {
    fixture.StopWithin([](const std::string& id) { return LargePut(id) + LargePut(id + "-next"); },
                       kStoppedClients);
  }
  fixture.AnswerCalls();
  // The clients are closed in time, and the memory of their requests can be used again.
  fixture.stubs.WaitUntil([&] {
    fixture.AnswerCalls();
    return Client(fixture.relay).Counters()["clients_too_slow"] >= kStoppedClients / 2;
  });
  Client client(fixture.relay);
  client.socket().Send(LargePut("whole"));
  CHECK(client.ReadLine() == "+OK");
  fixture.CheckMemory();
}

TEST_CASE("an upgrade with hundreds of incomplete requests stays within the memory limit and answers each") {
  const Limits limits = GENERATE(kLeast, kMost);
  const Socket listener = Socket::Listen(511);
  MemoryFixture fixture(limits);
  RelayProcess next(fixture.stubs);
  fixture.Configure(next);
  next.UseStateFolder(fixture.relay.state());
  for (RelayProcess* const process : {&fixture.relay, &next}) process->inherited_listener = &listener;
  fixture.Start();
  fixture.StopWithin(LargePut, kStoppedClients);
  next.config["known"] = fixture.stubs.List();
  next.Spawn();
  fixture.watcher.Add(next.pid(), next.program);
  next.WaitForLog(": serving");
  fixture.relay.Signal(SIGTERM);
  const std::string request = LargePut("any");
  for (Client& client : fixture.stopped_clients)
    client.socket().Send(request.substr(request.size() - kUnsentBytes));
  int answered = 0;
  for (Client& client : fixture.stopped_clients) {
    const std::string answer = client.ReadLine();
    answered += answer == "+OK" || answer.substr(0, 5) == "-BUSY";
    fixture.AnswerCalls();
  }
  CHECK(answered == kStoppedClients);
  CHECK(fixture.relay.WaitForExit() == 0);
  CHECK(IsRunning(next));
  CHECK(fixture.watcher.Stop() <= static_cast<std::size_t>(limits.memory_mb) * kBytesPerMb);
}

TEST_CASE("responses with very many short header fields do not take a process over its memory limit") {
  constexpr int kHosts = 60, kFields = 13'000, kDestinationOfFirst = 100;
  const Limits limits = GENERATE(kLeast, kMost);
  MemoryFixture fixture(limits);
  for (int i = 0; i < kHosts; ++i) fixture.stubs.AddHost("h" + std::to_string(i), kDestinationOfFirst + i);
  fixture.relay.config["settings"]["family-info"]["calls-out"] = kHosts;
  fixture.Start();
  std::string head = "HTTP/1.1 500 Error\r\n";
  for (int i = 0; i < kFields; ++i) {
    const char name[] = {static_cast<char>('a' + i % 26), static_cast<char>('a' + i / 26 % 26),
                         static_cast<char>('a' + i / 676), '\0'};
    head += std::string(name) + ":\r\n";
  }
  std::vector<Client> clients;
  for (int i = 0; i < kHosts; ++i) {
    const std::string id = "id-" + std::to_string(i);
    clients.emplace_back(fixture.relay);
    clients.back().Put(id, "hello", 8000, ",k=" + id + ",dest=" + std::to_string(kDestinationOfFirst + i));
  }
  std::vector<HttpRequest> calls;
  for (int i = 0; i < kHosts; ++i) calls.push_back(fixture.stubs.NextCall());
  for (const HttpRequest& call : calls) call.connection->Send(head);
  Client watching(fixture.relay);
  fixture.WaitForCounter(watching, "errors", kHosts);
  fixture.CheckMemory();
}

// The slow clients send a piece in each round, so they take 2 s.
TEST_CASE("large requests and slow clients are served while stopped requests take all of the memory") {
  constexpr int kSlowClients = 20, kRounds = 10;
  constexpr auto kRoundTime = 220ms, kAnswerTime = 400ms;
  MemoryFixture fixture;
  fixture.Start();
  fixture.StopWithin(LargePut, 300);
  std::vector<Client> slow_clients;
  std::vector<std::string> requests;
  for (int i = 0; i < kSlowClients; ++i) {
    slow_clients.emplace_back(fixture.relay);
    requests.push_back(LargePut("slow-" + std::to_string(i)));
  }
  const auto started_at = Clock::now();
  for (std::size_t round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < kSlowClients; ++i) {
      const std::size_t from = requests[i].size() * round / kRounds;
      slow_clients[i].socket().Send(
          requests[i].substr(from, requests[i].size() * (round + 1) / kRounds - from));
    }
    const auto asked_at = Clock::now();
    Client client(fixture.relay);
    client.socket().Send(LargePut("whole-" + std::to_string(round)));
    CHECK(client.ReadLine() == "+OK");
    CHECK(Clock::now() - asked_at < kAnswerTime);
    fixture.stubs.WaitUntil([&] {
      fixture.AnswerCalls();
      return round + 1 == kRounds || Clock::now() - started_at >= (round + 1) * kRoundTime;
    });
  }
  for (Client& client : slow_clients) CHECK(client.ReadLine() == "+OK");
  std::map<std::string, long> counters = Client(fixture.relay).Counters();
  CHECK(counters["commands_awaiting_room"] > 0);
  CHECK(counters["client_peak_bytes"] >= counters["client_bytes"]);
  fixture.relay.Signal(SIGUSR1);
  fixture.relay.WaitForLog("memory_peak_kb=");
  fixture.CheckMemory();
}

// A client that writes small commands at full speed on one connection, and reads the answers, on a thread of
// its own.
class Flood {
 public:
  using CommandOf = std::function<std::string(int number)>;
  Flood(const RelayProcess& relay, CommandOf command_of)
      : relay_(relay), command_of_(std::move(command_of)), thread_([this] { Run(); }) {}
  ~Flood() {
    stopped_ = true;
    shutdown(fd_, SHUT_RDWR);  // ends a send that waits until the relay reads
    thread_.join();
  }
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;
  int sent() const { return sent_; }

 private:
  static constexpr int kCommandsAtOnce = 100;

  // The relay closes the connection after some kinds of unsound command.
  void Run() {
    while (!stopped_) {
      const Socket socket = Socket::Connect(relay_.port());
      fd_ = socket.fd();
      bool ended = false;
      while (!stopped_ && !ended) {
        std::string commands;
        for (int i = 0; i < kCommandsAtOnce; ++i) commands += command_of_(++sent_);
        socket.Send(commands);
        while (!ended && !socket.Receive(0ms, &ended).empty()) {
        }
      }
    }
  }

  const RelayProcess& relay_;
  CommandOf command_of_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> fd_ = -1;
  std::thread thread_;
};

TEST_CASE("one client's flood of small commands delays no other client's answer and takes no memory") {
  constexpr auto kAnswerTime = 400ms, kFloodTime = 1000ms;
  const Limits limits = GENERATE(kLeast, kMost);
  const auto put = [](const std::string& id, const std::string& class_name, int destination) {
    return Client::PutCommand(id, "x", 300, ",k=k,dest=" + std::to_string(destination), class_name);
  };
  const std::map<std::string, Flood::CommandOf> floods = {
      {"ping", [](int) { return std::string(kPing); }},
      {"info", [](int) { return std::string("*1\r\n$4\r\nINFO\r\n"); }},
      {"unknown commands",
       [](int number) {
         const std::string name = "X" + std::to_string(number);
         return "*1\r\n$" + std::to_string(name.size()) + "\r\n" + name + "\r\n";
       }},
      {"new ids", [&](int number) { return put("f-" + std::to_string(number), "outbound", 7); }},
      {"new classes",
       [&](int number) { return put("f-" + std::to_string(number), "c-" + std::to_string(number), 7); }},
      {"new destinations",
       [&](int number) { return put("f-" + std::to_string(number), "outbound", 1000 + number); }},
      {"noise", [](int) { return std::string("\r\n"); }},
  };
  MemoryFixture fixture(limits);
  fixture.Start();
  Client client(fixture.relay);
  for (const auto& [name, command_of] : floods) {
    INFO(name);
    const Flood flood(fixture.relay, command_of);
    const auto until = Clock::now() + kFloodTime;
    for (int i = 0; Clock::now() < until; ++i) {
      const auto asked_at = Clock::now();
      client.Put(name.substr(0, 2) + std::to_string(i));
      const std::string answer = client.ReadLine();
      REQUIRE((answer == "+OK" || answer.substr(0, 5) == "-BUSY"));
      CHECK(Clock::now() - asked_at < kAnswerTime);
      fixture.AnswerCalls();
    }
    CHECK(flood.sent() > 1000);
  }
  fixture.CheckMemory();
  CHECK(fixture.watcher.largest_bytes() <= kLeast.memory_mb * kBytesPerMb);
}

TEST_CASE("the state folder takes no more than its share of the memory limit") {
  MemoryFixture fixture;
  fixture.relay.config["limits"]["disk_mb"] = 64;
  fixture.relay.config["settings"]["limits"]["max-open"] = 2000;
  fixture.Start();
  int accepted = 0;
  for (int i = 0; i < 300; ++i) {
    Client client(fixture.relay);
    client.socket().Send(LargePut("id-" + std::to_string(i)));
    accepted += client.ReadLine() == "+OK";
  }
  CHECK(accepted > 0);
  fixture.CheckMemory();
}

TEST_CASE("a receive budget keeps room beyond its limit for commands that have arrived completely") {
  using client::ReceiveBudget;
  ReceiveBudget budget(100);
  CHECK(budget.TryReserve(60, ReceiveBudget::Arrival::kPartial));
  CHECK_FALSE(budget.TryReserve(41, ReceiveBudget::Arrival::kPartial));
  CHECK(budget.TryReserve(40, ReceiveBudget::Arrival::kPartial));
  CHECK_FALSE(budget.TryReserve(1, ReceiveBudget::Arrival::kPartial));
  CHECK(budget.TryReserve(ReceiveBudget::kCompleteCommandsBytes, ReceiveBudget::Arrival::kComplete));
  CHECK_FALSE(budget.TryReserve(1, ReceiveBudget::Arrival::kComplete));
  budget.Release(ReceiveBudget::kCompleteCommandsBytes + 1);
  CHECK(budget.TryReserve(1, ReceiveBudget::Arrival::kPartial));
  CHECK(budget.reserved_bytes() == 100);
}

TEST_CASE("a command parser stores no more than allowed, and continues at any byte") {
  const std::string command = "*2\r\n$3\r\nabc\r\n$20\r\n" + std::string(20, 'x') + "\r\n";
  for (std::size_t cut = 0; cut <= command.size(); ++cut) {
    proto::RespParser parser(10);
    std::size_t consumed = parser.Feed(command.substr(0, cut));
    consumed += parser.Feed(std::string_view(command).substr(consumed));
    REQUIRE(parser.blocked());
    CHECK(parser.command_bytes() == 23);
    CHECK(parser.missing_bytes() == command.size() - consumed);
    parser.Allow(parser.command_bytes());
    parser.Feed(std::string_view(command).substr(consumed));
    REQUIRE(parser.state() == proto::RespParser::State::kCommand);
    CHECK(parser.TakeCommand() == std::vector<std::string>{"abc", std::string(20, 'x')});
  }
}

}  // namespace
}  // namespace oxbowspread::testing
