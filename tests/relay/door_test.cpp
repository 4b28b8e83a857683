// The operators' door, and hosts taken out for maintenance.
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include "door/call.hpp"
#include "journal/journal.hpp"
#include "relay/table.hpp"
#include "rig.hpp"

namespace oxbowspread::testing {
namespace {

using management::CommandReader;

struct Doored {
  World world;
  RelayProcess relay{world};
  Socket reserved = Socket::Listen();  // a free port, taken over by the relay
  int port = reserved.port();

  explicit Doored(int hosts = 1) {
    for (int i = 0; i < hosts; ++i) world.AddHost(std::string(1, static_cast<char>('a' + i)), 7);
    reserved.Close();
    relay.config["mgmt"] = "127.0.0.1:" + std::to_string(port);
  }
  std::string Ask(const std::string& line) const {
    const Socket s = Socket::Connect(port);
    s.Send(line + "\n");
    std::string text;
    bool ended = false;
    while (!ended) {
      const std::string more = s.Receive(3s, &ended);
      if (more.empty()) break;
      text += more;
    }
    return text.substr(0, text.find('\n'));
  }
};

TEST_CASE("a call at the door is one line of a word and perhaps an argument, cut at any byte") {
  const std::string line = "exclude s-1\r\n";
  for (std::size_t cut = 0; cut <= line.size(); ++cut) {
    CommandReader reader;
    reader.Feed(line.substr(0, cut));
    reader.Feed(line.substr(cut));
    REQUIRE(reader.state() == CommandReader::State::kComplete);
    CHECK(reader.command().name == "exclude");
    CHECK(reader.command().argument == "s-1");
  }
  for (const std::string bad : {"\n", "a b c\n", "a\tb\n"}) {
    CommandReader reader;
    reader.Feed(bad);
    CHECK(reader.state() == CommandReader::State::kInvalid);
  }
  CommandReader endless;
  CHECK(endless.Feed(std::string(10000, 'x')) <= CommandReader::kMaxLineBytes + 1);
  CHECK(endless.state() == CommandReader::State::kInvalid);
}

TEST_CASE("what is out drains whatever discovery tells of it: moved, gone and back, or in a whole list") {
  using wheathub::Lifecycle;
  using wheathub::ListScope;
  relay::Table table;
  const auto host = [](const std::string& id, const std::string& address, Lifecycle state) {
    relay::Host h;
    h.info.id = id;
    h.info.lifecycle = state;
    h.address = address;
    return h;
  };
  const auto told = [&](ListScope scope, const relay::Host& h) {
    return table.Adopt({scope, 1, {h}}).hosts.at(0);
  };
  told(ListScope::kAll, host("a", "1", Lifecycle::kUp));
  CHECK(table.TakeOut("a").hosts.at(0).info.lifecycle == Lifecycle::kDraining);
  const relay::Host moved = told(ListScope::kChanges, host("a", "2", Lifecycle::kUp));
  CHECK(moved.info.lifecycle == Lifecycle::kDraining);
  CHECK(moved.address == "2");
  CHECK(told(ListScope::kChanges, host("a", "2", Lifecycle::kRemoved)).info.lifecycle == Lifecycle::kRemoved);
  CHECK_FALSE(table.Lists("a"));
  CHECK(told(ListScope::kChanges, host("a", "3", Lifecycle::kUp)).info.lifecycle == Lifecycle::kDraining);
  CHECK(told(ListScope::kAll, host("a", "3", Lifecycle::kUp)).info.lifecycle == Lifecycle::kDraining);
  CHECK(table.Listed().hosts.at(0).info.lifecycle == Lifecycle::kUp);
  const relay::RoutingChange back = table.PutBack("a");
  CHECK(back.hosts.at(0).info.lifecycle == Lifecycle::kUp);
  CHECK(back.hosts.at(0).address == "3");
  CHECK(told(ListScope::kAll, host("b", "4", Lifecycle::kUp)).info.lifecycle == Lifecycle::kUp);
  CHECK(table.TakeOut("a").hosts.empty());  // not listed any more: there is nothing to tell
}

TEST_CASE("a journal cut at any byte keeps what was taken out and put back before the cut") {
  char name[] = "/tmp/oxbowspread-XXXXXX";
  const std::string folder = mkdtemp(name);
  const std::string path = folder + "/journal";
  const auto size = [&] { return std::filesystem::file_size(path); };
  std::vector<std::uintmax_t> ends;
  {
    journal::Journal j(folder, 1'000'000);
    REQUIRE(j.TakeOut("a"));
    ends.push_back(size());
    REQUIRE(j.TakeOut("b"));
    ends.push_back(size());
    REQUIRE(j.PutBack("a"));
    ends.push_back(size());
  }
  std::ostringstream all;
  all << std::ifstream(path, std::ios::binary).rdbuf();
  const std::vector<std::set<std::string>> out{{}, {"a"}, {"a", "b"}, {"b"}};
  for (std::size_t cut = 0; cut <= all.str().size(); ++cut) {
    std::ofstream(path, std::ios::binary) << all.str().substr(0, cut);
    const auto whole = std::count_if(ends.begin(), ends.end(), [&](auto end) { return end <= cut; });
    CHECK(journal::Journal(folder, 1'000'000).out() == out.at(static_cast<std::size_t>(whole)));
    CHECK(journal::Journal(folder, 1'000'000).out() == out.at(static_cast<std::size_t>(whole)));  // rewritten
  }
  journal::Journal full(folder, 1'000'000);
  for (std::size_t i = full.out().size(); i < journal::Journal::kMostOut; ++i) {
    CHECK(full.TakeOut("host-" + std::to_string(i)));
  }
  CHECK_FALSE(full.TakeOut("one-more"));
  std::filesystem::remove_all(folder);
}

TEST_CASE("the door says whether the relay serves, and answers what it doesn't know by an error") {
  Doored r;
  r.relay.Start();
  CHECK(r.Ask("readyz") == "done");
  CHECK(r.Ask("frobnicate").substr(0, 6) == "error ");
  CHECK(r.Ask("exclude").substr(0, 6) == "error ");
  CHECK(r.Ask("exclude nobody").substr(0, 6) == "error ");
  CHECK(r.Ask("include nobody").substr(0, 6) == "error ");
  // Not ready while it ends: a client that waits for its answer keeps it up.
  Client client(r.relay);
  client.Put("held");
  REQUIRE(client.Line() == "+OK");
  r.world.NextCall();
  r.relay.Signal(SIGTERM);
  r.world.Until([&] { return r.Ask("readyz") == "error draining"; });
}

TEST_CASE(
    "the door answers beside callers that say nothing, half a line, or no end of it, and 1,000 clients") {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 4096);  // of this process, which is all of them
  setrlimit(RLIMIT_NOFILE, &limit);
  Doored r;
  r.relay.Start();
  std::vector<Socket> clients, stuck;
  for (int i = 0; i < 1000; ++i) clients.push_back(Socket::Connect(r.relay.port()));
  for (int i = 0; i < 60; ++i) {
    stuck.push_back(Socket::Connect(r.port));
    if (i % 3 == 1) stuck.back().Send("read");
    if (i % 3 == 2) stuck.back().Send(std::string(100000, 'x'));
  }
  const auto before = Clock::now();
  CHECK(r.Ask("readyz") == "done");
  CHECK(Clock::now() - before < 1s);
  Client client(r.relay);
  client.Put("m");
  CHECK(client.Line() == "+OK");
}

TEST_CASE("a host that is out gets nothing new, whatever the list says, until it is put back") {
  Doored r(2);
  r.relay.Start();
  CHECK(r.Ask("exclude a") == "done");
  CHECK(r.Ask("exclude a") == "done");
  // Discovery lists it anew, at another address, gone and back: it stays out.
  r.world.SetState("a", "Ready");
  r.world.SetState("a", "Gone");
  r.world.SetState("a", "Ready");
  Client client(r.relay);
  for (int i = 0; i < 6; ++i) {
    client.Put("m" + std::to_string(i));
    REQUIRE(client.Line() == "+OK");
    const HttpRequest call = r.world.NextCall();
    CHECK(r.world.HostOf(call) == "b");
    r.world.Answer(call, "200 OK");
  }
  r.world.Until([&] { return client.Counters().at("delivered") == 6; });
  // Also in the next life.
  r.relay.Signal(SIGKILL);
  r.relay.WaitForEnd();
  r.relay.Start();
  CHECK(r.Ask("exclude b") == "done");
  Client again(r.relay);
  CHECK(again.Counters().at("hosts_out") == 2);
  // All hosts of the destination are out: the message waits.
  again.Put("waits");
  REQUIRE(again.Line() == "+OK");
  CHECK_FALSE(r.world.CallWithin(400ms));
  CHECK(r.Ask("include a") == "done");
  CHECK(r.world.HostOf(r.world.NextCall()) == "a");
  CHECK(r.Ask("include a") == "done");
}

TEST_CASE("an attempt that is out at a host taken out is finished, and nothing new goes there") {
  Doored r(1);
  r.relay.Start();
  Client client(r.relay);
  client.Put("out");
  REQUIRE(client.Line() == "+OK");
  const HttpRequest call = r.world.NextCall();
  CHECK(r.Ask("exclude a") == "done");
  client.Put("new");
  REQUIRE(client.Line() == "+OK");
  CHECK_FALSE(r.world.CallWithin(300ms));
  r.world.Answer(call, "200 OK");
  r.world.Until([&] { return client.Counters().at("delivered") == 1; });
  CHECK(r.Ask("include a") == "done");
  CHECK(r.world.NextCall().id() == "new");
}

TEST_CASE("an attempt still connecting when its host is taken out is not written") {
  Doored r(1);
  // Room for one connection that nobody has accepted, and a stranger in it.
  const Socket narrow = Socket::Listen(0);
  r.world.SetPort("a", narrow.port());
  const Socket stranger = Socket::Connect(narrow.port());
  r.relay.Start();
  Client client(r.relay);
  client.Put("id-1");
  REQUIRE(client.Line() == "+OK");
  r.world.Until([&] { return client.Counters()["legs"] == 1; });
  CHECK(r.Ask("exclude a") == "done");
  r.world.CallWithin(150ms);  // past the slack that a drain allows
  const Socket first = narrow.Accept(5s);
  const Socket late = narrow.Accept(5s);
  REQUIRE(late.fd() >= 0);
  CHECK(late.Receive(1500ms).empty());
  CHECK(client.Counters()["legs_held_back"] == 1);
}

}  // namespace
}  // namespace oxbowspread::testing
