// Tests of the group file, the agent's store, the members' keys, the frames of the control protocol and
// ctl::Client.
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

// Temporary folder that is removed with the object.
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

TEST_CASE("a group file is read with paths relative to its folder") {
  const Folder folder;
  const group::Group group = group::Read(folder.Write("group.yaml", kGroup));
  CHECK(group.name == "coulee");
  CHECK(group.keys_folder == folder.path + "/keys");
  CHECK(group.instances.at(0).config_path == folder.path + "/n1.json");
  CHECK(group.limits.max_unavailable == 2);
  CHECK(group.limits.settle_timeout == std::chrono::minutes(1));
  CHECK(group.limits.freezes.at(0).days == 0x41u);
  CHECK(group.limits.freezes.at(0).start_minute == 360);
}

TEST_CASE("each fault of a group file is reported on one line with the file and line number and key") {
  const Folder folder;
  const auto fault_after = [&](const std::string& from, const std::string& to) {
    std::string text = kGroup;
    const std::size_t at = text.find(from);
    REQUIRE(at != text.npos);
    text.replace(at, from.size(), to);
    const std::string path = folder.Write("group.yaml", text);
    try {
      group::Read(path);
    } catch (const group::Error& error) {
      const std::string message = error.what();
      CHECK(message.find('\n') == message.npos);
      REQUIRE(message.find(path) == 0);
      return message.substr(path.size());
    }
    return std::string("no fault");
  };
  CHECK(fault_after("most_out: 2", "most_ot: 2") == ":8: limits.most_ot: is not a known key");
  CHECK(fault_after("most_out: 2", "most_out: 0") == ":8: limits.most_out: must be a number from 1 to 1000");
  CHECK(fault_after("most_out: 2", "most_out: 1.5") == ":8: limits.most_out: must be a whole number");
  CHECK(fault_after("1m", "1 hour") ==
        ":9: limits.settle_within: must be a duration such as 250ms, 20s or 3m, not '1 hour'");
  CHECK(fault_after("agent: west", "agent: east") == ":6: instances.agent: no agent is named 'east'");
  CHECK(fault_after("127.0.0.1:7401", "here") ==
        ":4: agents.address: must be an IPv4 address and port, not 'here'");
  CHECK(fault_after("[sat, sun]", "[satday]").find(":11: freeze.days: must be one of sun") == 0);
  CHECK(fault_after("\"06:00\"", "\"6 am\"") ==
        ":11: freeze.from: must be a time such as \"06:30\", not '6 am'");
  CHECK(fault_after("group: coulee\n", "") == ":1: group: is missing");
  CHECK(fault_after("name: n1, ", "name: ../n1, ").find(":6: instances.name: must be up to 40") == 0);
  CHECK(fault_after("capacity: 120", "capacity: lots").find(":6: instances.capacity: must be a number") == 0);
  CHECK(fault_after("limits:", "limits: [").find("YAML") != std::string::npos);
  CHECK(fault_after("keys: keys", "keys: keys\nkeys: other") == ":3: keys: appears twice");
  CHECK_THROWS_WITH(group::Read(folder.path + "/none.yaml"), folder.path + "/none.yaml: can't be read");
}

// ---- the store ----

TEST_CASE("the store returns the saved values after it is reopened") {
  const Folder folder;
  const std::string path = folder.path + "/agent.db";
  {
    store::Store store(path, 1024);
    store.Put("lead", "{}");
    store.PutDesired("n1", {"serving", "v1@c1.1", true});
    store.PutRunning("n1", {42, 99});
    store.PutConfig("n1", "v1", "{\"a\":1}");
    store.AppendHistory({0, 5, "c1", "n1", "paused"});
  }
  store::Store store(path, 1024);
  CHECK(store.Get("lead") == "{}");
  CHECK_FALSE(store.Get("other").has_value());
  CHECK(store.AllDesired().at("n1").stamp == "v1@c1.1");
  CHECK(store.GetRunning("n1")->start_ticks == 99);
  CHECK(store.GetConfig("n1", "v1") == "{\"a\":1}");
  CHECK(store.History(0, 10).at(0).text == "paused");
}

TEST_CASE("the store keeps the latest versions and never deletes the version in use") {
  const Folder folder;
  store::Store store(folder.path + "/agent.db", 1024);
  store.PutConfig("n1", "v0", "zero");
  store.PutDesired("n1", {"serving", "v0@first", false});
  for (int i = 1; i <= 30; ++i) store.PutConfig("n1", "v" + std::to_string(i), "text");
  CHECK(store.GetConfig("n1", "v0") == "zero");
  CHECK(store.GetConfig("n1", "v30").has_value());
  CHECK_FALSE(store.GetConfig("n1", "v5").has_value());
}

TEST_CASE("a full store rejects new data and keeps its contents") {
  const Folder folder;
  store::Store store(folder.path + "/agent.db", 64);
  store.PutDesired("n1", {"serving", "v1@first", false});
  CHECK_THROWS_WITH(store.PutConfig("n1", "v1", std::string(200'000, 'x')),
                    Catch::Matchers::Contains("full"));
  CHECK_FALSE(store.GetConfig("n1", "v1").has_value());
  CHECK(store.AllDesired().at("n1").stamp == "v1@first");
  store.PutDesired("n1", {"paused", "v1@first", false});
  CHECK(store.AllDesired().at("n1").phase == "paused");
}

TEST_CASE("a file that is not a store and a store of a later version are rejected and left unchanged") {
  const Folder folder;
  const std::string invalid_file = folder.Write("noise.db", std::string(8192, 'n'));
  CHECK_THROWS_AS(store::Store(invalid_file, 1024), store::Error);
  const std::string newer_store = folder.path + "/later.db";
  store::Store(newer_store, 1024).Put("a", "b");
  // user_version, a big-endian number at byte 60 of the header (SQLite's file format, section 1.3).
  std::fstream file(newer_store, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(60);
  file.write("\0\0\0\x09", 4);
  file.close();
  CHECK_THROWS_WITH(store::Store(newer_store, 1024), Catch::Matchers::Contains("has version 9"));
}

// ---- keys ----

// The TLS filters of both sides of a connection. The test passes the bytes between them.
struct TlsConnection {
  std::unique_ptr<control::Filter> client, server;
  std::string client_received, server_received;

  // Exchanges handshake bytes until neither side has more to send; returns false if either side failed.
  bool Handshake() {
    std::string to_server = client->Begin(), to_client = server->Begin();
    bool succeeded = true;
    for (int i = 0; i < 10 && (!to_server.empty() || !to_client.empty()); ++i) {
      std::string reply;
      succeeded = server->Feed(std::exchange(to_server, {}), &server_received, &reply) && succeeded;
      to_client += reply;
      reply.clear();
      succeeded = client->Feed(std::exchange(to_client, {}), &client_received, &reply) && succeeded;
      to_server += reply;
    }
    return succeeded;
  }
};

// Folder with the keys of a group and of its members west and east.
struct Keys {
  Folder folder;
  std::string path = folder.path + "/keys";
  Keys() {
    tls::CreateGroupKey(path, "coulee", 10);
    tls::IssueMemberKey(path, "west", 86400);
    tls::IssueMemberKey(path, "east", 86400);
  }
};

TEST_CASE(
    "members of a group authenticate each other by name and sealed data is decrypted from single bytes") {
  const Keys keys;
  const tls::Identity west(keys.path, "west"), east(keys.path, "east");
  TlsConnection connection{west.NewClientSession("east"), east.NewServerSession(), {}, {}};
  REQUIRE(connection.Handshake());
  CHECK(connection.server->peer() == "west");
  CHECK(connection.client->peer() == "east");
  std::string reply;
  for (const char byte : connection.client->Seal("hello"))
    REQUIRE(connection.server->Feed(std::string(1, byte), &connection.server_received, &reply));
  CHECK(connection.server_received == "hello");
}

TEST_CASE(
    "a foreign group's member and a wrong name and an expired certificate and plain text are rejected") {
  const Keys keys, other_keys;
  const tls::Identity west(keys.path, "west"), east(keys.path, "east"),
      foreign_member(other_keys.path, "west");
  TlsConnection foreign_group{foreign_member.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK_FALSE(foreign_group.Handshake());
  CHECK_FALSE(foreign_group.server->open());
  TlsConnection wrong_name{west.NewClientSession("north"), east.NewServerSession(), {}, {}};
  CHECK_FALSE(wrong_name.Handshake());
  CHECK(wrong_name.client->error() == "the other side is 'east', not 'north'");
  tls::IssueMemberKey(keys.path, "late", -10);
  const tls::Identity expired_member(keys.path, "late");
  TlsConnection expired{expired_member.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK_FALSE(expired.Handshake());
  CHECK(expired.server->error().find("certificate has expired") != std::string::npos);
  const auto server = east.NewServerSession();
  std::string plain, reply;
  CHECK_FALSE(server->Feed("{\"op\":\"local\"}\n", &plain, &reply));
  CHECK(plain.empty());
  CHECK_FALSE(server->error().empty());
}

TEST_CASE("a key that others may read and a key that does not match the certificate are rejected") {
  const Keys keys;
  chmod((keys.path + "/west.key").c_str(), 0640);
  CHECK_THROWS_WITH(tls::Identity(keys.path, "west"),
                    keys.path + "/west.key: is accessible to other users; only mode 0600 is accepted");
  std::filesystem::copy_file(keys.path + "/east.key", keys.path + "/west.key",
                             std::filesystem::copy_options::overwrite_existing);
  chmod((keys.path + "/west.key").c_str(), 0600);
  CHECK_THROWS_WITH(tls::Identity(keys.path, "west"), Catch::Matchers::Contains("west.key: "));
  CHECK_THROWS_WITH(tls::Identity(keys.path, "nobody"), keys.path + "/nobody.crt: does not exist");
}

TEST_CASE(
    "a rotated key is loaded without a restart and an invalid certificate leaves the current one in use") {
  const Keys keys;
  tls::Identity west(keys.path, "west");
  const tls::Identity east(keys.path, "east");
  const std::string before = west.serial();
  CHECK_FALSE(west.ReloadIfChanged());
  tls::IssueMemberKey(keys.path, "west", 86400);
  CHECK(west.ReloadIfChanged());
  CHECK(west.serial() != before);
  TlsConnection after_rotation{west.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK(after_rotation.Handshake());
  const std::string rotated = west.serial();
  std::ofstream(keys.path + "/west.crt") << "no certificate";
  CHECK_THROWS(west.ReloadIfChanged());
  CHECK(west.serial() == rotated);
  TlsConnection after_fault{west.NewClientSession("east"), east.NewServerSession(), {}, {}};
  CHECK(after_fault.Handshake());
}

TEST_CASE("a group's key is never replaced and invalid member names are rejected") {
  const Keys keys;
  CHECK_THROWS_WITH(tls::CreateGroupKey(keys.path, "coulee", 10),
                    Catch::Matchers::Contains("already exists"));
  CHECK_THROWS(tls::IssueMemberKey(keys.path, "../west", 10));
  CHECK_THROWS(tls::IssueMemberKey(keys.path, "group", 10));
  struct stat status {};
  REQUIRE(stat((keys.path + "/group.key").c_str(), &status) == 0);
  CHECK((status.st_mode & 0777) == 0600);
}

// ---- frames ----

TEST_CASE("frames are read from single bytes and a frame that is not an object or too long ends the stream") {
  control::FrameReader reader(64);
  const std::string text = control::EncodeFrame({{"a", 1}}) + control::EncodeFrame({{"b", "x\ny"}});
  std::vector<control::Json> frames;
  for (const char byte : text) {
    reader.Feed(std::string(1, byte));
    while (auto frame = reader.Next()) frames.push_back(*frame);
  }
  REQUIRE(frames.size() == 2);
  CHECK(frames[1].at("b") == "x\ny");
  reader.Feed("[1]\n{}\n");
  CHECK_FALSE(reader.Next().has_value());
  CHECK(reader.error() == "a frame is not a JSON object");
  CHECK_FALSE(reader.Next().has_value());
  control::FrameReader limited_reader(64);
  limited_reader.Feed(std::string(65, 'x'));
  CHECK_FALSE(limited_reader.Next().has_value());
  CHECK(limited_reader.error() == "a frame is longer than 64 bytes");
}

// ---- ctl::Client ----

// Agent on its own thread that gives the same answer to every request.
class FakeAgent {
 public:
  FakeAgent(const std::string& keys, const std::string& name, const std::string& address,
            control::Json response)
      : thread_([=, this] {
          net::Loop loop;
          const tls::Identity identity(keys, name);
          control::Server server(
              loop, *net::ParseAddress(address), [&] { return identity.NewServerSession(); },
              [&](const control::Json&, const control::Answer& answer) { answer(response); },
              [](const std::string&) {});
          net::Timer stop_check_timer(loop, [&] {
            stop_requested_ ? loop.Stop() : stop_check_timer.After(std::chrono::milliseconds(5));
          });
          stop_check_timer.After(std::chrono::milliseconds(5));
          running_ = true;
          loop.Run();
        }) {
    while (!running_) std::this_thread::yield();
  }
  ~FakeAgent() {
    stop_requested_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> running_{false}, stop_requested_{false};
  std::thread thread_;
};

TEST_CASE("a request to the leader is never answered from the record of a follower") {
  const Keys keys;
  tls::IssueMemberKey(keys.path, "operator", 86400);
  group::Group group;
  group.keys_folder = keys.path;
  for (const char* name : {"west", "east"}) {
    group.agents.emplace_back();
    group.agents.back().name = name;
    group.agents.back().address = "127.0.0.1:" + std::to_string(standin::FreePort());
  }
  const auto start_agent = [&](std::size_t i, const char* leader, const char* change) {
    const group::Agent& agent = group.agents[i];
    return std::make_unique<FakeAgent>(keys.path, agent.name, agent.address,
                                       control::Json{{"ok", true}, {"leader", leader}, {"change", change}});
  };
  const auto east = start_agent(1, "east", "this one");
  for (const char* leader : {"east", ""}) {  // west follows the leader, or has heard from no leader
    INFO("west follows '" << leader << "'");
    const auto west = start_agent(0, leader, "the last one");
    ctl::Client client(group, "operator", "");
    CHECK(client.AskLeader({{"op", "change"}}, std::chrono::seconds(5)).at("change") == "this one");
  }
}

TEST_CASE("the error contains the last answer of an agent when no agent leads") {
  const Keys keys;
  tls::IssueMemberKey(keys.path, "operator", 86400);
  group::Group group;
  group.keys_folder = keys.path;
  group.agents.emplace_back();
  group.agents.back().name = "west";
  group.agents.back().address = "127.0.0.1:" + std::to_string(standin::FreePort());
  const FakeAgent west(keys.path, "west", group.agents.back().address,
                       control::Json{{"ok", true}, {"leader", ""}, {"change", "the last one"}});
  ctl::Client client(group, "operator", "");
  try {
    client.AskLeader({{"op", "change"}}, std::chrono::milliseconds(300));
    FAIL("the request was answered although no agent leads");
  } catch (const ctl::Unreachable& error) {
    CHECK(error.what() == std::string("west: no agent leads at present"));
    REQUIRE(error.last_answer());
    CHECK(error.last_answer()->at("change") == "the last one");
  }
}

}  // namespace
}  // namespace oxbowspread
