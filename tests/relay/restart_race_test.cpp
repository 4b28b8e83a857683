// Restarts of a relay with hundreds of messages without an attempt, with messages that may have run, with
// unsent notices, with a full message table, or with a full disk.
#include <sys/resource.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>

#include "race_fixture.hpp"

namespace oxbowspread::testing {
namespace {

// A relay that is killed and started again with messages in its journal.
struct RestartFixture : RelayFixture {
  std::vector<Client> clients;

  nlohmann::json& settings() { return relay.config["settings"]; }
  nlohmann::json& message_class() { return settings()["services"][0]; }
  // Sends that number of messages for one destination at once and waits until all are accepted.
  void PutAll(int messages, int destination, int deadline_ms = 16000) {
    std::string commands;
    for (int i = 0; i < messages; ++i) {
      const std::string id = "m-" + std::to_string(destination) + "-" + std::to_string(i);
      commands += Client::PutCommand(id, "hello", deadline_ms,
                                     ",k=key-" + id + ",dest=" + std::to_string(destination));
    }
    clients.emplace_back(relay);
    clients.back().socket().Send(commands);
    for (int i = 0; i < messages; ++i) REQUIRE(clients.back().ReadLine() == "+OK");
  }
  void Kill() {
    clients.clear();
    relay.Signal(SIGKILL);
    CHECK(relay.WaitForExit() == -SIGKILL);
  }
  long Count(const char* counter) {
    Client client(relay);
    return client.Counters()[counter];
  }
};

TEST_CASE(
    "a relay with hundreds of untried messages is ready within 1 s and attempts each within its limits") {
  RestartFixture fixture;
  constexpr int kDestinations = 10, kMessagesEach = 30;
  fixture.settings()["limits"]["max-open"] = 400;
  fixture.settings()["family-info"]["calls-out"] = 8;
  for (int destination = 100; destination < 100 + kDestinations; ++destination) {
    fixture.stubs.AddHost("h" + std::to_string(destination), destination);
    // No attempt is possible while the host refuses connections.
    fixture.stubs.StopHost("h" + std::to_string(destination));
  }
  fixture.relay.Start();
  for (int destination = 100; destination < 100 + kDestinations; ++destination)
    fixture.PutAll(kMessagesEach, destination);
  fixture.Kill();
  for (int destination = 100; destination < 100 + kDestinations; ++destination)
    fixture.stubs.AddHost("h" + std::to_string(destination), destination);
  const auto started_at = Clock::now();
  fixture.relay.Start();
  CHECK(Clock::now() - started_at < 1s);
  std::map<std::string, int> tried;  // number of calls by message id
  std::vector<HttpRequest> open;     // the calls that are open and not yet answered
  int most_open = 0;
  const auto receive_calls = [&] {
    while (fixture.stubs.CallArrivesWithin(0ms)) {
      open.push_back(fixture.stubs.NextCall());
      tried[open.back().id()] += 1;
      most_open = std::max(most_open, static_cast<int>(open.size()));
    }
  };
  const auto until = Clock::now() + 12s;
  while (tried.size() < kDestinations * kMessagesEach && Clock::now() < until) {
    fixture.stubs.CallArrivesWithin(20ms);
    receive_calls();
    for (const HttpRequest& call : std::exchange(open, {})) fixture.stubs.Answer(call, "200 OK");
  }
  CHECK(most_open <= 8);
  Client client(fixture.relay);
  fixture.WaitForCounter(client, "delivered", static_cast<long>(tried.size()));
  auto counters = client.Counters();
  INFO("tried " << tried.size() << " untried " << counters["recovered_untried"] << " recovered "
                << counters["recovered"]);
  CHECK(counters["recovered"] >= kDestinations * kMessagesEach * 8 / 10);
  CHECK(counters["given_up_untried"] == 0);
  CHECK(static_cast<long>(tried.size()) == counters["recovered"]);
  for (const auto& [id, times] : tried) CHECK(times == 1);
}

// The repeat window starts with the first attempt that may have run, also if an earlier process made it.
TEST_CASE("a message whose repeat window has ended before the restart is ended and not sent again") {
  RestartFixture fixture;
  fixture.message_class()["repeat-window-s"] = 0.5;
  fixture.relay.Start();
  fixture.PutAll(1, 7);
  fixture.stubs.NextCall();
  const auto sent = Clock::now();
  fixture.Kill();
  fixture.WaitFor(sent + 520ms - Clock::now());
  fixture.relay.Start();
  CHECK(fixture.stubs.WaitForNotice("m-7-0").at("status") == "undeliverable");
  CHECK(fixture.Count("legs") == 0);
}

TEST_CASE("a repeat window that ends while a repeat is still connecting stops the repeat") {
  RestartFixture fixture;
  FullBacklogHost full_host(fixture.stubs, "narrow", 8);
  fixture.message_class()["repeat-window-s"] = 0.9;
  fixture.settings()["limits"]["connect-timeout-s"] = 5;
  fixture.relay.Start();
  fixture.PutAll(1, 8);
  Socket first = full_host.listener.Accept(5s);
  REQUIRE(first.Receive(5s).find("m-8-0") != std::string::npos);
  full_host.FillBacklog();
  first.Reset();  // the call may have run
  // On a machine that is too slow for the window there is no repeat, which is also correct.
  fixture.stubs.WaitUntil(
      [&] { return fixture.Count("legs") == 2 || fixture.stubs.notices.count("m-8-0") == 1; });
  const Socket late =
      full_host.AcceptRelayConnection();  // the kernel repeats the connection request after 1 s
  CHECK(fixture.stubs.WaitForNotice("m-8-0").at("status") == "undeliverable");
  CHECK((late.fd() < 0 || late.Receive(0ms).empty()));
}

TEST_CASE(
    "after a restart a message that may have run is repeated if its class allows it and a delivered one is "
    "not") {
  struct Semantics {
    const char* name;
    bool repeated;
  };
  for (const Semantics& semantics :
       {Semantics{"idempotent", true}, {"at_most_once", false}, {"deduplicated", true}}) {
    INFO(semantics.name);
    RestartFixture fixture;
    fixture.message_class()["semantics"] = semantics.name;
    fixture.relay.Start();
    fixture.PutAll(2, 7);
    const HttpRequest served = fixture.stubs.NextCall(), unanswered = fixture.stubs.NextCall();
    fixture.stubs.Answer(served, "200 OK");
    fixture.WaitForCounter(fixture.clients.back(), "delivered", 1);
    fixture.Kill();
    fixture.relay.Start();
    CHECK(fixture.Count("recovered") == 1);
    if (semantics.repeated) {
      const HttpRequest call = fixture.stubs.NextCall();
      CHECK(call.id() == unanswered.id());
      fixture.stubs.Answer(call, "200 OK");
      fixture.stubs.WaitUntil([&] { return fixture.Count("delivered") == 1; });
    } else {
      CHECK(fixture.stubs.WaitForNotice(unanswered.id()).at("status") == "undeliverable");
    }
    CHECK(fixture.Count("legs") == (semantics.repeated ? 1 : 0));
    CHECK(fixture.stubs.notices.count(served.id()) == 0);
  }
}

// Guards against a relay that gives up recovered messages to make room although no new message needs the
// room.
TEST_CASE("all messages are kept and attempted if the message table is full or too small at the restart") {
  for (const int new_max_open : {39, 10}) {
    INFO(new_max_open);
    RestartFixture fixture;
    // 39 messages are accepted: new ones are refused when the table is nearly full.
    fixture.settings()["limits"]["max-open"] = 43;
    fixture.settings()["family-info"]["calls-out"] = 4;
    fixture.stubs.AddHost("b", 8);
    fixture.relay.Start();
    fixture.PutAll(20, 7);
    fixture.PutAll(19, 8);
    // Four calls are open and stay unanswered.
    for (int i = 0; i < 4; ++i) fixture.stubs.NextCall();
    fixture.Kill();
    fixture.settings()["limits"]["max-open"] = new_max_open;
    fixture.relay.Start();
    std::set<std::string> tried;
    fixture.stubs.WaitUntil([&] {
      while (fixture.stubs.CallArrivesWithin(0ms)) {
        const HttpRequest call = fixture.stubs.NextCall();
        tried.insert(call.id());
        fixture.stubs.Answer(call, "200 OK");
      }
      return fixture.Count("held") == 0;
    });
    CHECK(fixture.Count("given_up_untried") == 0);
    CHECK(tried.size() == 39);
  }
}

TEST_CASE("a full disk at the restart crashes nothing and a later restart with space attempts all messages") {
  RestartFixture fixture;
  fixture.relay.Start();
  fixture.PutAll(5, 7);
  for (int i = 0; i < 5; ++i) fixture.stubs.NextCall();
  fixture.Kill();
  const auto size = std::filesystem::file_size(fixture.relay.state() + "/journal");
  fixture.relay.in_child = [size] {
    signal(SIGXFSZ, SIG_IGN);
    const rlimit size_limit{size, size};
    setrlimit(RLIMIT_FSIZE, &size_limit);
  };
  fixture.relay.Start();
  Client client(fixture.relay);
  CHECK(client.Ask(Client::PutCommand("more", std::string(60'000, 'x'), 8000, ",k=k,dest=7")).substr(0, 5) ==
        "-BUSY");
  CHECK(client.Counters()["recovered"] == 5);
  fixture.Kill();
  fixture.relay.in_child = nullptr;
  fixture.relay.Start();
  std::set<std::string> tried;
  while (tried.size() < 5) tried.insert(fixture.stubs.NextCall().id());
}

}  // namespace
}  // namespace oxbowspread::testing
