// What the programs read and keep: the group file, the store, the keys.
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

#include "control/frame.hpp"
#include "ctl/client.hpp"
#include "group/group.hpp"
#include "standin/site.hpp"
#include "store/store.hpp"
#include "tls/keys.hpp"
#include "tls/session.hpp"

namespace oxbowspread {
namespace {

struct Folder {
  Folder() {
    char name[] = "/tmp/oxbow-files-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path + "/" + name) << text;
    return path + "/" + name;
  }
  std::string path;
};

const char kGroup[] = R"(group: coulee
keys: keys
agents:
  - {name: west, address: "127.0.0.1:7401"}
instances:
  - {name: n1, agent: west, config: n1.json, capacity: 120}
limits:
  most_out: 2
  settle_within: 1m
freeze:
  - {days: [sat, sun], from: "06:00", until: "22:00"}
)";

// ---- the group file ----

TEST_CASE("a group file is read whole, paths beside it") {
  const Folder f;
  const group::Group g = group::Read(f.Write("group.yaml", kGroup));
  CHECK(g.name == "coulee");
  CHECK(g.keys_folder == f.path + "/keys");
  CHECK(g.instances.at(0).config_path == f.path + "/n1.json");
  CHECK(g.limits.max_unavailable == 2);
  CHECK(g.limits.settle_timeout == std::chrono::minutes(1));
  CHECK(g.limits.freezes.at(0).days == 0x41u);
  CHECK(g.limits.freezes.at(0).start_minute == 360);
}

TEST_CASE("every fault of a group file is one line with file, line and key") {
  const Folder f;
  const auto fault = [&](const std::string& from, const std::string& to) {
    std::string text = kGroup;
    const std::size_t at = text.find(from);
    REQUIRE(at != text.npos);
    text.replace(at, from.size(), to);
    const std::string path = f.Write("group.yaml", text);
    try {
      group::Read(path);
    } catch (const group::Error& e) {
      const std::string what = e.what();
      CHECK(what.find('\n') == what.npos);
      REQUIRE(what.find(path) == 0);
      return what.substr(path.size());
    }
    return std::string("no fault");
  };
  CHECK(fault("most_out: 2", "most_ot: 2") == ":8: limits.most_ot: is not a known key");
  CHECK(fault("most_out: 2", "most_out: 0") == ":8: limits.most_out: must be a number from 1 to 1000");
  CHECK(fault("most_out: 2", "most_out: 1.5") == ":8: limits.most_out: must be a whole number");
  CHECK(fault("1m", "1 hour") ==
        ":9: limits.settle_within: must be a span such as 250ms, 20s or 3m, not '1 hour'");
  CHECK(fault("agent: west", "agent: east") == ":6: instances.agent: no agent is named 'east'");
  CHECK(fault("127.0.0.1:7401", "here") ==
        ":4: agents.address: must be an IPv4 address and port, not 'here'");
  CHECK(fault("[sat, sun]", "[satday]").find(":11: freeze.days: must be of sun") == 0);
  CHECK(fault("\"06:00\"", "\"6 am\"") == ":11: freeze.from: must be a time such as \"06:30\", not '6 am'");
  CHECK(fault("group: coulee\n", "") == ":1: group: is missing");
  CHECK(fault("name: n1, ", "name: ../n1, ").find(":6: instances.name: must be up to 40") == 0);
  CHECK(fault("capacity: 120", "capacity: lots").find(":6: instances.capacity: must be a number") == 0);
  CHECK(fault("limits:", "limits: [").find("YAML") != std::string::npos);
  CHECK(fault("keys: keys", "keys: keys\nkeys: other") == ":3: keys: stands twice");
  CHECK_THROWS_WITH(group::Read(f.path + "/none.yaml"), f.path + "/none.yaml: can't be read");
}

// ---- the store ----

TEST_CASE("the store gives back what was put, over a new opening") {
  const Folder f;
  const std::string path = f.path + "/agent.db";
  {
    store::Store s(path, 1024);
    s.Put("lead", "{}");
    s.PutDesired("n1", {"serving", "v1@c1.1", true});
    s.PutRunning("n1", {42, 99});
    s.PutConfig("n1", "v1", "{\"a\":1}");
    s.AppendHistory({0, 5, "c1", "n1", "paused"});
  }
  store::Store s(path, 1024);
  CHECK(s.Get("lead") == "{}");
  CHECK_FALSE(s.Get("other").has_value());
  CHECK(s.AllDesired().at("n1").stamp == "v1@c1.1");
  CHECK(s.GetRunning("n1")->start_ticks == 99);
  CHECK(s.GetConfig("n1", "v1") == "{\"a\":1}");
  CHECK(s.History(0, 10).at(0).text == "paused");
}

TEST_CASE("the store keeps the latest versions and never drops the one in use") {
  const Folder f;
  store::Store s(f.path + "/agent.db", 1024);
  s.PutConfig("n1", "v0", "zero");
  s.PutDesired("n1", {"serving", "v0@first", false});
  for (int i = 1; i <= 30; ++i) s.PutConfig("n1", "v" + std::to_string(i), "text");
  CHECK(s.GetConfig("n1", "v0") == "zero");
  CHECK(s.GetConfig("n1", "v30").has_value());
  CHECK_FALSE(s.GetConfig("n1", "v5").has_value());
}

TEST_CASE("a full store refuses plainly and keeps what it has") {
  const Folder f;
  store::Store s(f.path + "/agent.db", 64);
  s.PutDesired("n1", {"serving", "v1@first", false});
  CHECK_THROWS_WITH(s.PutConfig("n1", "v1", std::string(200'000, 'x')), Catch::Matchers::Contains("full"));
  CHECK_FALSE(s.GetConfig("n1", "v1").has_value());
  CHECK(s.AllDesired().at("n1").stamp == "v1@first");
  s.PutDesired("n1", {"paused", "v1@first", false});
  CHECK(s.AllDesired().at("n1").want == "paused");
}

TEST_CASE("a file that is no store, or one of a later version, is refused and left alone") {
  const Folder f;
  const std::string noise = f.Write("noise.db", std::string(8192, 'n'));
  CHECK_THROWS_AS(store::Store(noise, 1024), store::Error);
  const std::string later = f.path + "/later.db";
  store::Store(later, 1024).Put("a", "b");
  // user_version, a big-endian number at byte 60 of the header (SQLite's file format, section 1.3).
  std::fstream file(later, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(60);
  file.write("\0\0\0\x09", 4);
  file.close();
  CHECK_THROWS_WITH(store::Store(later, 1024), Catch::Matchers::Contains("is of version 9"));
}

// ---- keys ----

// Two ends of a connection, their bytes carried by hand.
struct Ends {
  std::unique_ptr<control::Filter> opener, server;
  std::string at_opener, at_server;

  // Until nothing moves; false if either side gave up.
  bool Shake() {
    std::string to_server = opener->Begin(), to_opener = server->Begin();
    bool good = true;
    for (int i = 0; i < 10 && (!to_server.empty() || !to_opener.empty()); ++i) {
      std::string reply;
      good = server->Feed(std::exchange(to_server, {}), &at_server, &reply) && good;
      to_opener += reply;
      reply.clear();
      good = opener->Feed(std::exchange(to_opener, {}), &at_opener, &reply) && good;
      to_server += reply;
    }
    return good;
  }
};

struct Keys {
  Folder folder;
  std::string path = folder.path + "/keys";
  Keys() {
    tls::CreateGroupKey(path, "coulee", 10);
    tls::IssueMemberKey(path, "west", 86400);
    tls::IssueMemberKey(path, "east", 86400);
  }
};

TEST_CASE("members of a group know each other by name, and what is sealed arrives whole byte by byte") {
  const Keys k;
  const tls::Identity west(k.path, "west"), east(k.path, "east");
  Ends e{west.NewClientSession("east"), east.NewServerSession(), {}, {}};
  REQUIRE(e.Shake());
  CHECK(e.server->peer() == "west");
  CHECK(e.opener->peer() == "east");
  std::string reply;
  for (const char byte : e.opener->Seal("hello"))
    REQUIRE(e.server->Feed(std::string(1, byte), &e.at_server, &reply));
  CHECK(e.at_server == "hello");
}

TEST_CASE("another group's member, an expired one, one by another name and plain text are turned away") {
  const Keys k, other;
  const tls::Identity west(k.path, "west"), east(k.path, "east"), stranger(other.path, "west");
  Ends foreign{stranger.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK_FALSE(foreign.Shake());
  CHECK_FALSE(foreign.server->open());
  Ends wrong{west.NewClientSession("north"), east.NewServerSession(), {}, {}};
  CHECK_FALSE(wrong.Shake());
  CHECK(wrong.opener->error() == "the other side is 'east', not 'north'");
  tls::IssueMemberKey(k.path, "late", -10);
  const tls::Identity late(k.path, "late");
  Ends expired{late.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK_FALSE(expired.Shake());
  CHECK(expired.server->error().find("certificate has expired") != std::string::npos);
  const auto server = east.NewServerSession();
  std::string plain, reply;
  CHECK_FALSE(server->Feed("{\"op\":\"local\"}\n", &plain, &reply));
  CHECK(plain.empty());
  CHECK_FALSE(server->error().empty());
}

TEST_CASE("a key that others may read is refused, and so is one that is not the certificate's") {
  const Keys k;
  chmod((k.path + "/west.key").c_str(), 0640);
  CHECK_THROWS_WITH(tls::Identity(k.path, "west"),
                    k.path + "/west.key: others may read it; only 0600 is accepted");
  std::filesystem::copy_file(k.path + "/east.key", k.path + "/west.key",
                             std::filesystem::copy_options::overwrite_existing);
  chmod((k.path + "/west.key").c_str(), 0600);
  CHECK_THROWS_WITH(tls::Identity(k.path, "west"), Catch::Matchers::Contains("west.key: "));
  CHECK_THROWS_WITH(tls::Identity(k.path, "nobody"), k.path + "/nobody.crt: is not there");
}

TEST_CASE("a rotated key is taken up without a restart, and a bad one leaves the old in use") {
  const Keys k;
  tls::Identity west(k.path, "west");
  const tls::Identity east(k.path, "east");
  const std::string before = west.serial();
  CHECK_FALSE(west.ReloadIfChanged());
  tls::IssueMemberKey(k.path, "west", 86400);
  CHECK(west.ReloadIfChanged());
  CHECK(west.serial() != before);
  Ends fresh{west.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK(fresh.Shake());
  const std::string rotated = west.serial();
  std::ofstream(k.path + "/west.crt") << "no certificate";
  CHECK_THROWS(west.ReloadIfChanged());
  CHECK(west.serial() == rotated);
  Ends old{west.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK(old.Shake());
}

TEST_CASE("a group's key is never replaced, and names that are no names are refused") {
  const Keys k;
  CHECK_THROWS_WITH(tls::CreateGroupKey(k.path, "coulee", 10), Catch::Matchers::Contains("is there already"));
  CHECK_THROWS(tls::IssueMemberKey(k.path, "../west", 10));
  CHECK_THROWS(tls::IssueMemberKey(k.path, "group", 10));
  struct stat s {};
  REQUIRE(stat((k.path + "/group.key").c_str(), &s) == 0);
  CHECK((s.st_mode & 0777) == 0600);
}

// ---- frames ----

TEST_CASE("frames are read at any cut: what is no object, or too long, ends the stream for good") {
  control::FrameReader r(64);
  const std::string text = control::EncodeFrame({{"a", 1}}) + control::EncodeFrame({{"b", "x\ny"}});
  std::vector<control::Json> got;
  for (const char byte : text) {
    r.Feed(std::string(1, byte));
    while (auto frame = r.Next()) got.push_back(*frame);
  }
  REQUIRE(got.size() == 2);
  CHECK(got[1].at("b") == "x\ny");
  r.Feed("[1]\n{}\n");
  CHECK_FALSE(r.Next().has_value());
  CHECK(r.error() == "a frame is no JSON object");
  CHECK_FALSE(r.Next().has_value());
  control::FrameReader longer(64);
  longer.Feed(std::string(65, 'x'));
  CHECK_FALSE(longer.Next().has_value());
  CHECK(longer.error() == "a frame is longer than 64 bytes");
}

// ---- the operators' side ----

// An agent that always tells the same, on a thread of its own.
class FakeAgent {
 public:
  FakeAgent(const std::string& keys, const std::string& name, const std::string& address, control::Json tells)
      : thread_([=, this] {
          net::Loop loop;
          const tls::Identity identity(keys, name);
          control::Server server(
              loop, *net::ParseAddress(address), [&] { return identity.NewServerSession(); },
              [&](const control::Json&, const control::Answer& answer) { answer(tells); },
              [](const std::string&) {});
          net::Timer look(loop, [&] { over_ ? loop.Stop() : look.After(std::chrono::milliseconds(5)); });
          look.After(std::chrono::milliseconds(5));
          up_ = true;
          loop.Run();
        }) {
    while (!up_) std::this_thread::yield();
  }
  ~FakeAgent() {
    over_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> up_{false}, over_{false};
  std::thread thread_;
};

TEST_CASE("what the leader is asked is never answered from the record of one that follows") {
  const Keys k;
  tls::IssueMemberKey(k.path, "operator", 86400);
  group::Group group;
  group.keys_folder = k.path;
  for (const char* name : {"west", "east"}) {
    group.agents.emplace_back();
    group.agents.back().name = name;
    group.agents.back().address = "127.0.0.1:" + std::to_string(standin::FreePort());
  }
  const auto telling = [&](std::size_t i, const char* leader, const char* change) {
    const group::Agent& a = group.agents[i];
    return std::make_unique<FakeAgent>(k.path, a.name, a.address,
                                       control::Json{{"ok", true}, {"leader", leader}, {"change", change}});
  };
  const auto east = telling(1, "east", "this one");
  for (const char* leader : {"east", ""}) {  // as one that follows says, and one that knows of no leader
    INFO("west follows '" << leader << "'");
    const auto west = telling(0, leader, "the last one");
    ctl::Client client(group, "operator", "");
    CHECK(client.AskLeader({{"op", "change"}}, std::chrono::seconds(5)).at("change") == "this one");
  }
}

TEST_CASE("where nobody leads, what an agent has on record comes beside the fault") {
  const Keys k;
  tls::IssueMemberKey(k.path, "operator", 86400);
  group::Group group;
  group.keys_folder = k.path;
  group.agents.emplace_back();
  group.agents.back().name = "west";
  group.agents.back().address = "127.0.0.1:" + std::to_string(standin::FreePort());
  const FakeAgent west(k.path, "west", group.agents.back().address,
                       control::Json{{"ok", true}, {"leader", ""}, {"change", "the last one"}});
  ctl::Client client(group, "operator", "");
  try {
    client.AskLeader({{"op", "change"}}, std::chrono::milliseconds(300));
    FAIL("answered as if somebody led");
  } catch (const ctl::Unreachable& e) {
    CHECK(e.what() == std::string("west: no agent leads just now"));
    REQUIRE(e.last());
    CHECK(e.last()->at("change") == "the last one");
  }
}

}  // namespace
}  // namespace oxbowspread
