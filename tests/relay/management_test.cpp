// The management port for operators, and hosts that are excluded for maintenance.
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include "journal/journal.hpp"
#include "management/command_reader.hpp"
#include "relay/routing_table.hpp"
#include "relay_harness.hpp"

namespace oxbowspread::testing {
namespace {

using management::CommandReader;

// A relay with a management port, and some hosts of destination 7.
struct ManagementFixture {
  StubServices stubs;
  RelayProcess relay{stubs};
  Socket port_finder = Socket::Listen();  // gets a free port for the relay's management listener
  int port = port_finder.port();

  explicit ManagementFixture(int hosts = 1) {
    for (int i = 0; i < hosts; ++i) stubs.AddHost(std::string(1, static_cast<char>('a' + i)), 7);
    port_finder.Close();
    relay.config["mgmt"] = "127.0.0.1:" + std::to_string(port);
  }
  // Sends a command on a new connection and returns the first line of the answer.
  std::string Ask(const std::string& line) const {
    const Socket connection = Socket::Connect(port);
    connection.Send(line + "\n");
    std::string text;
    bool ended = false;
    while (!ended) {
      const std::string received = connection.Receive(3s, &ended);
      if (received.empty()) break;
      text += received;
    }
    return text.substr(0, text.find('\n'));
  }
};

TEST_CASE("an operator command split at any byte is parsed as a name and an optional argument") {
  const std::string line = "exclude s-1\r\n";
  for (std::size_t cut = 0; cut <= line.size(); ++cut) {
    CommandReader reader;
    reader.Feed(line.substr(0, cut));
    reader.Feed(line.substr(cut));
    REQUIRE(reader.state() == CommandReader::State::kComplete);
    CHECK(reader.command().name == "exclude");
    CHECK(reader.command().argument == "s-1");
  }
  for (const std::string invalid_line : {"\n", "a b c\n", "a\tb\n"}) {
    CommandReader reader;
    reader.Feed(invalid_line);
    CHECK(reader.state() == CommandReader::State::kInvalid);
  }
  CommandReader reader;
  CHECK(reader.Feed(std::string(10000, 'x')) <= CommandReader::kMaxLineBytes + 1);
  CHECK(reader.state() == CommandReader::State::kInvalid);
}

TEST_CASE("an excluded host stays draining regardless of what discovery lists for it") {
  using wheathub::Lifecycle;
  using wheathub::ListScope;
  relay::RoutingTable table;
  const auto host = [](const std::string& id, const std::string& address, Lifecycle state) {
    relay::Host result;
    result.info.id = id;
    result.info.lifecycle = state;
    result.address = address;
    return result;
  };
  const auto apply = [&](ListScope scope, const relay::Host& listed) {
    return table.Apply({scope, 1, {listed}}).hosts.at(0);
  };
  apply(ListScope::kAll, host("a", "1", Lifecycle::kUp));
  CHECK(table.ExcludeHost("a").hosts.at(0).info.lifecycle == Lifecycle::kDraining);
  const relay::Host moved = apply(ListScope::kChanges, host("a", "2", Lifecycle::kUp));
  CHECK(moved.info.lifecycle == Lifecycle::kDraining);
  CHECK(moved.address == "2");
  CHECK(apply(ListScope::kChanges, host("a", "2", Lifecycle::kRemoved)).info.lifecycle ==
        Lifecycle::kRemoved);
  CHECK_FALSE(table.IsListed("a"));
  CHECK(apply(ListScope::kChanges, host("a", "3", Lifecycle::kUp)).info.lifecycle == Lifecycle::kDraining);
  CHECK(apply(ListScope::kAll, host("a", "3", Lifecycle::kUp)).info.lifecycle == Lifecycle::kDraining);
  CHECK(table.Listed().hosts.at(0).info.lifecycle == Lifecycle::kUp);
  const relay::RoutingChange back = table.IncludeHost("a");
  CHECK(back.hosts.at(0).info.lifecycle == Lifecycle::kUp);
  CHECK(back.hosts.at(0).address == "3");
  CHECK(apply(ListScope::kAll, host("b", "4", Lifecycle::kUp)).info.lifecycle == Lifecycle::kUp);
  CHECK(table.ExcludeHost("a").hosts.empty());  // no longer listed, so nothing changes
}

TEST_CASE("a journal truncated at any byte keeps the exclusions and inclusions before the cut") {
  char name[] = "/tmp/oxbowspread-XXXXXX";
  const std::string folder = mkdtemp(name);
  const std::string path = folder + "/journal";
  const auto size = [&] { return std::filesystem::file_size(path); };
  std::vector<std::uintmax_t> record_ends;
  {
    journal::Journal journal(folder, 1'000'000);
    REQUIRE(journal.ExcludeHost("a"));
    record_ends.push_back(size());
    REQUIRE(journal.ExcludeHost("b"));
    record_ends.push_back(size());
    REQUIRE(journal.IncludeHost("a"));
    record_ends.push_back(size());
  }
  std::ostringstream file_bytes;
  file_bytes << std::ifstream(path, std::ios::binary).rdbuf();
  const std::vector<std::set<std::string>> expected{{}, {"a"}, {"a", "b"}, {"b"}};
  for (std::size_t cut = 0; cut <= file_bytes.str().size(); ++cut) {
    std::ofstream(path, std::ios::binary) << file_bytes.str().substr(0, cut);
    const auto whole_records = std::count_if(record_ends.begin(), record_ends.end(),
                                             [&](auto record_end) { return record_end <= cut; });
    CHECK(journal::Journal(folder, 1'000'000).excluded_hosts() ==
          expected.at(static_cast<std::size_t>(whole_records)));
    CHECK(journal::Journal(folder, 1'000'000).excluded_hosts() ==
          expected.at(
              static_cast<std::size_t>(whole_records)));  // reads the file that the first Journal rewrote
  }
  journal::Journal full_journal(folder, 1'000'000);
  for (std::size_t i = full_journal.excluded_hosts().size(); i < journal::Journal::kMaxExcludedHosts; ++i) {
    CHECK(full_journal.ExcludeHost("host-" + std::to_string(i)));
  }
  CHECK_FALSE(full_journal.ExcludeHost("one-more"));
  std::filesystem::remove_all(folder);
}

TEST_CASE("readyz reports whether the relay serves and unknown commands get an error") {
  ManagementFixture fixture;
  fixture.relay.Start();
  CHECK(fixture.Ask("readyz") == "done");
  CHECK(fixture.Ask("frobnicate").substr(0, 6) == "error ");
  CHECK(fixture.Ask("exclude").substr(0, 6) == "error ");
  CHECK(fixture.Ask("exclude nobody").substr(0, 6) == "error ");
  CHECK(fixture.Ask("include nobody").substr(0, 6) == "error ");
  // The relay is not ready while it drains. An unanswered call keeps it running.
  Client client(fixture.relay);
  client.Put("held");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.stubs.NextCall();
  fixture.relay.Signal(SIGTERM);
  fixture.stubs.WaitUntil([&] { return fixture.Ask("readyz") == "error draining"; });
}

TEST_CASE("the management port answers despite silent operators and endless lines and 1000 clients") {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  // The limit of the test's process, which contains all clients.
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 4096);
  setrlimit(RLIMIT_NOFILE, &limit);
  ManagementFixture fixture;
  fixture.relay.Start();
  std::vector<Socket> clients, stuck;
  for (int i = 0; i < 1000; ++i) clients.push_back(Socket::Connect(fixture.relay.port()));
  for (int i = 0; i < 60; ++i) {
    stuck.push_back(Socket::Connect(fixture.port));
    if (i % 3 == 1) stuck.back().Send("read");
    if (i % 3 == 2) stuck.back().Send(std::string(100000, 'x'));
  }
  const auto before = Clock::now();
  CHECK(fixture.Ask("readyz") == "done");
  CHECK(Clock::now() - before < 1s);
  Client client(fixture.relay);
  client.Put("m");
  CHECK(client.ReadLine() == "+OK");
}

TEST_CASE("an excluded host gets no new calls regardless of the list until it is included again") {
  ManagementFixture fixture(2);
  fixture.relay.Start();
  CHECK(fixture.Ask("exclude a") == "done");
  CHECK(fixture.Ask("exclude a") == "done");
  // The host stays excluded when discovery changes its entry, removes it and lists it again.
  fixture.stubs.SetState("a", "Ready");
  fixture.stubs.SetState("a", "Gone");
  fixture.stubs.SetState("a", "Ready");
  Client client(fixture.relay);
  for (int i = 0; i < 6; ++i) {
    client.Put("m" + std::to_string(i));
    REQUIRE(client.ReadLine() == "+OK");
    const HttpRequest call = fixture.stubs.NextCall();
    CHECK(fixture.stubs.HostOf(call) == "b");
    fixture.stubs.Answer(call, "200 OK");
  }
  fixture.stubs.WaitUntil([&] { return client.Counters().at("delivered") == 6; });
  // The exclusion survives a restart.
  fixture.relay.Signal(SIGKILL);
  fixture.relay.WaitForExit();
  fixture.relay.Start();
  CHECK(fixture.Ask("exclude b") == "done");
  Client again(fixture.relay);
  CHECK(again.Counters().at("hosts_out") == 2);
  // While all hosts of the destination are excluded, the message waits.
  again.Put("waits");
  REQUIRE(again.ReadLine() == "+OK");
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(400ms));
  CHECK(fixture.Ask("include a") == "done");
  CHECK(fixture.stubs.HostOf(fixture.stubs.NextCall()) == "a");
  CHECK(fixture.Ask("include a") == "done");
}

TEST_CASE("a pending attempt at an excluded host finishes and no new one starts there") {
  ManagementFixture fixture(1);
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("out");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  CHECK(fixture.Ask("exclude a") == "done");
  client.Put("new");
  REQUIRE(client.ReadLine() == "+OK");
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(300ms));
  fixture.stubs.Answer(call, "200 OK");
  fixture.stubs.WaitUntil([&] { return client.Counters().at("delivered") == 1; });
  CHECK(fixture.Ask("include a") == "done");
  CHECK(fixture.stubs.NextCall().id() == "new");
}

TEST_CASE("an attempt still connecting when its host is excluded is not sent") {
  ManagementFixture fixture(1);
  // A host with a listen backlog of one connection, which another connection fills.
  const Socket full_listener = Socket::Listen(0);
  fixture.stubs.SetPort("a", full_listener.port());
  const Socket backlog_connection = Socket::Connect(full_listener.port());
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("id-1");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.stubs.WaitUntil([&] { return client.Counters()["legs"] == 1; });
  CHECK(fixture.Ask("exclude a") == "done");
  fixture.stubs.CallArrivesWithin(150ms);  // longer than the grace period of a drain
  const Socket accepted_first = full_listener.Accept(5s);
  const Socket attempt_connection = full_listener.Accept(5s);
  REQUIRE(attempt_connection.fd() >= 0);
  CHECK(attempt_connection.Receive(1500ms).empty());
  CHECK(client.Counters()["legs_held_back"] == 1);
}

}  // namespace
}  // namespace oxbowspread::testing
