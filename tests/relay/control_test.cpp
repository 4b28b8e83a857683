// The relay's control socket, the lock on its folder, and its arguments.
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <catch2/catch.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "rig.hpp"

namespace oxbowspread::testing {
namespace {

using Json = nlohmann::json;

Socket ConnectTo(const std::string& path) {
  Socket s(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  std::strncpy(a.sun_path, path.c_str(), sizeof a.sun_path - 1);
  if (connect(s.fd(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) s.Close();
  return s;
}

struct Controlled {
  World world;
  RelayProcess relay{world};
  std::string path = relay.folder() + "/control";

  Controlled() {
    world.AddHost("a", 7);
    relay.arguments = {"--control", path, "--stamp", "v1@first"};
  }
  Json Ask(const Json& request) { return Say(request.dump() + "\n"); }
  Json Say(const std::string& line) {
    const Socket s = ConnectTo(path);
    REQUIRE(s.fd() >= 0);
    s.Send(line);
    std::string text;
    bool ended = false;
    while (text.find('\n') == text.npos && !ended) text += s.Receive(3s, &ended);
    return Json::parse(text, nullptr, false);
  }
  void UntilStatus(const char* key, const Json& value) {
    world.Until([&] { return Ask({{"op", "status"}}).at(key) == value; });
  }
};

TEST_CASE("the control socket tells pid, phase, stamp and counters, and only its owner may open it") {
  Controlled r;
  r.relay.Start();
  const Json status = r.Ask({{"op", "status"}, {"id", 5}});
  CHECK(status.at("ok") == true);
  CHECK(status.at("id") == 5);
  CHECK(status.at("pid") == r.relay.pid());
  CHECK(status.at("phase") == "serving");
  CHECK(status.at("stamp") == "v1@first");
  CHECK(status.at("counters").at("taken_on") == 0);
  struct stat s {};
  REQUIRE(stat(r.path.c_str(), &s) == 0);
  CHECK((s.st_mode & 0777) == 0600);
}

TEST_CASE("a drain takes nothing new, finishes what is held and stays up, and resume serves again") {
  Controlled r;
  r.relay.Start();
  Client client(r.relay);
  client.Put("held");
  REQUIRE(client.Line() == "+OK");
  const HttpRequest call = r.world.NextCall();
  CHECK(r.Ask({{"op", "drain"}}).at("phase") == "paused");
  // The door closes and the client is sent away, while the attempt is still out.
  r.world.Until([&] { return Socket::Connect(r.relay.port()).fd() < 0; });
  r.UntilStatus("clients", 0);
  const Json waiting = r.Ask({{"op", "status"}});
  CHECK(waiting.at("settled") == false);
  CHECK(waiting.at("held") == 1);
  r.world.Answer(call, "200 OK");
  r.UntilStatus("settled", true);
  CHECK(r.Ask({{"op", "status"}}).at("counters").at("delivered") == 1);
  CHECK(Socket::Connect(r.relay.port()).fd() < 0);
  CHECK(r.Ask({{"op", "resume"}}).at("phase") == "serving");
  Client again(r.relay);
  again.Put("next");
  CHECK(again.Line() == "+OK");
  r.world.Answer(r.world.NextCall(), "200 OK");
  r.UntilStatus("held", 0);
}

TEST_CASE("a drained relay ends on SIGTERM, and stop ends a serving one, both with 0") {
  Controlled r;
  r.relay.Start();
  r.Ask({{"op", "drain"}});
  r.relay.Signal(SIGTERM);
  CHECK(r.relay.WaitForEnd() == 0);
  r.relay.Start();
  CHECK(r.Ask({{"op", "stop"}}).at("phase") == "draining");
  CHECK(r.Ask({{"op", "resume"}}).at("error") == "is ending already");
  CHECK(r.relay.WaitForEnd() == 0);
  CHECK_FALSE(std::filesystem::exists(r.path));
}

TEST_CASE(
    "a reload over the control socket answers why a file was refused, and changes the stamp only if taken") {
  Controlled r;
  r.relay.Start();
  const std::string file = r.relay.folder() + "/config.json";
  Json bad = r.relay.config;
  bad["limits"]["sockets"] = 3;
  std::ofstream(file) << bad.dump();
  const Json refused = r.Ask({{"op", "reload"}, {"stamp", "v2@c1"}});
  CHECK(refused.at("ok") == false);
  CHECK(refused.at("error").get<std::string>().find("limits.sockets") == 0);
  CHECK(r.Ask({{"op", "status"}}).at("stamp") == "v1@first");
  std::ofstream(file) << r.relay.config.dump();
  CHECK(r.Ask({{"op", "reload"}, {"stamp", "v2@c1"}}).at("stamp") == "v2@c1");
}

TEST_CASE("what is no request is answered with its fault or closed, and the relay serves on") {
  Controlled r;
  r.relay.Start();
  CHECK(r.Ask({{"op", "dance"}}).at("error") == "op: unknown: 'dance'");
  CHECK(r.Ask(Json::object()).at("ok") == false);
  for (const char* noise : {"[1,2]\n", "{\"op\":\n", "\x16\x03\x01 hello\n"}) {
    CHECK(r.Say(noise).is_discarded());
  }
  CHECK(r.Ask({{"op", "status"}}).at("phase") == "serving");
}

TEST_CASE("a second relay on the same folder ends with code 3 and names who holds it") {
  Controlled r;
  r.relay.Start();
  RelayProcess second(r.world);
  second.environment["ROUTER_STATE"] = r.relay.state();
  int code = 0;
  const std::string text = second.RunToEnd(&code);
  CHECK(code == 3);
  CHECK(text.find("is held by process " + std::to_string(r.relay.pid()) + " (oxbowspread)") != text.npos);
  // The lock ends with its process, however that ends.
  r.relay.Signal(SIGKILL);
  r.relay.WaitForEnd();
  r.relay.Start();
}

TEST_CASE("a control socket that a dead relay left is replaced, one that is in use is not") {
  Controlled r;
  r.relay.Start();
  RelayProcess second(r.world);
  second.arguments = r.relay.arguments;
  int code = 0;
  CHECK(second.RunToEnd(&code).find("control socket") != std::string::npos);
  CHECK(code == 1);
  CHECK(r.Ask({{"op", "status"}}).at("pid") == r.relay.pid());
  r.relay.Signal(SIGKILL);
  r.relay.WaitForEnd();
  REQUIRE(std::filesystem::exists(r.path));
  r.relay.Start();
  CHECK(r.Ask({{"op", "status"}}).at("pid") == r.relay.pid());
}

TEST_CASE("a configuration file is checked by --check-config, and nothing is started") {
  Controlled r;
  const std::string file = r.relay.folder() + "/check.json";
  Json config = r.relay.config;
  config["state"] = "/tmp";
  std::ofstream(file) << config.dump();
  r.relay.arguments = {"--check-config", file};
  int code = -1;
  CHECK(r.relay.RunToEnd(&code).find("can be used") != std::string::npos);
  CHECK(code == 0);
  config["listen"] = "nowhere";
  std::ofstream(file) << config.dump();
  const std::string text = r.relay.RunToEnd(&code);
  CHECK(code == 2);
  CHECK(text.find("listen: ") != text.npos);
  r.relay.arguments = {"--nonsense"};
  r.relay.RunToEnd(&code);
  CHECK(code == 2);
}

}  // namespace
}  // namespace oxbowspread::testing
