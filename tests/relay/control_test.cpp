// The relay's control socket, the lock on its state folder and its command-line options.
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <catch2/catch.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "relay_harness.hpp"

namespace oxbowspread::testing {
namespace {

using Json = nlohmann::json;

Socket ConnectTo(const std::string& path) {
  Socket connection(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::strncpy(address.sun_path, path.c_str(), sizeof address.sun_path - 1);
  if (connect(connection.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    connection.Close();
  return connection;
}

// A relay with a control socket.
struct ControlFixture {
  StubServices stubs;
  RelayProcess relay{stubs};
  std::string path = relay.folder() + "/control";

  ControlFixture() {
    stubs.AddHost("a", 7);
    relay.arguments = {"--control", path, "--stamp", "v1@first"};
  }
  // Sends the request on a new connection and returns the answer.
  Json Ask(const Json& request) { return SendLine(request.dump() + "\n"); }
  // The same for any bytes. The result is discarded (Json::is_discarded) if no valid answer arrived.
  Json SendLine(const std::string& line) {
    const Socket connection = ConnectTo(path);
    REQUIRE(connection.fd() >= 0);
    connection.Send(line);
    std::string text;
    bool ended = false;
    while (text.find('\n') == text.npos && !ended) text += connection.Receive(3s, &ended);
    return Json::parse(text, nullptr, false);
  }
  void WaitForStatus(const char* key, const Json& value) {
    stubs.WaitUntil([&] { return Ask({{"op", "status"}}).at(key) == value; });
  }
};

TEST_CASE("status contains pid and phase and stamp and counters and the control socket has mode 0600") {
  ControlFixture fixture;
  fixture.relay.Start();
  const Json status = fixture.Ask({{"op", "status"}, {"id", 5}});
  CHECK(status.at("ok") == true);
  CHECK(status.at("id") == 5);
  CHECK(status.at("pid") == fixture.relay.pid());
  CHECK(status.at("phase") == "serving");
  CHECK(status.at("stamp") == "v1@first");
  CHECK(status.at("counters").at("taken_on") == 0);
  struct stat file_status {};
  REQUIRE(stat(fixture.path.c_str(), &file_status) == 0);
  CHECK((file_status.st_mode & 0777) == 0600);
}

TEST_CASE("a drained relay accepts no clients and finishes held messages and serves again after resume") {
  ControlFixture fixture;
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("held");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  CHECK(fixture.Ask({{"op", "drain"}}).at("phase") == "paused");
  // The listener closes and the client is disconnected while the attempt is still pending.
  fixture.stubs.WaitUntil([&] { return Socket::Connect(fixture.relay.port()).fd() < 0; });
  fixture.WaitForStatus("clients", 0);
  const Json waiting = fixture.Ask({{"op", "status"}});
  CHECK(waiting.at("settled") == false);
  CHECK(waiting.at("held") == 1);
  fixture.stubs.Answer(call, "200 OK");
  fixture.WaitForStatus("settled", true);
  CHECK(fixture.Ask({{"op", "status"}}).at("counters").at("delivered") == 1);
  CHECK(Socket::Connect(fixture.relay.port()).fd() < 0);
  CHECK(fixture.Ask({{"op", "resume"}}).at("phase") == "serving");
  Client again(fixture.relay);
  again.Put("next");
  CHECK(again.ReadLine() == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  fixture.WaitForStatus("held", 0);
}

TEST_CASE("SIGTERM ends a drained relay and stop ends a serving one with exit code 0") {
  ControlFixture fixture;
  fixture.relay.Start();
  fixture.Ask({{"op", "drain"}});
  fixture.relay.Signal(SIGTERM);
  CHECK(fixture.relay.WaitForExit() == 0);
  fixture.relay.Start();
  CHECK(fixture.Ask({{"op", "stop"}}).at("phase") == "draining");
  CHECK(fixture.Ask({{"op", "resume"}}).at("error") == "is ending already");
  CHECK(fixture.relay.WaitForExit() == 0);
  CHECK_FALSE(std::filesystem::exists(fixture.path));
}

TEST_CASE(
    "a reload over the control socket returns the reason of a refusal and sets the stamp only on success") {
  ControlFixture fixture;
  fixture.relay.Start();
  const std::string file = fixture.relay.folder() + "/config.json";
  Json invalid = fixture.relay.config;
  invalid["limits"]["sockets"] = 3;
  std::ofstream(file) << invalid.dump();
  const Json refused = fixture.Ask({{"op", "reload"}, {"stamp", "v2@c1"}});
  CHECK(refused.at("ok") == false);
  CHECK(refused.at("error").get<std::string>().find("limits.sockets") == 0);
  CHECK(fixture.Ask({{"op", "status"}}).at("stamp") == "v1@first");
  std::ofstream(file) << fixture.relay.config.dump();
  CHECK(fixture.Ask({{"op", "reload"}, {"stamp", "v2@c1"}}).at("stamp") == "v2@c1");
}

TEST_CASE("an invalid control request gets an error or a closed connection and the relay keeps serving") {
  ControlFixture fixture;
  fixture.relay.Start();
  CHECK(fixture.Ask({{"op", "dance"}}).at("error") == "op: unknown: 'dance'");
  CHECK(fixture.Ask(Json::object()).at("ok") == false);
  for (const char* invalid_line : {"[1,2]\n", "{\"op\":\n", "\x16\x03\x01 hello\n"}) {
    CHECK(fixture.SendLine(invalid_line).is_discarded());
  }
  CHECK(fixture.Ask({{"op", "status"}}).at("phase") == "serving");
}

TEST_CASE("a second relay on the same folder exits with code 3 and names the process that holds the lock") {
  ControlFixture fixture;
  fixture.relay.Start();
  RelayProcess second(fixture.stubs);
  second.environment["ROUTER_STATE"] = fixture.relay.state();
  int code = 0;
  const std::string text = second.RunToExit(&code);
  CHECK(code == 3);
  CHECK(text.find("is held by process " + std::to_string(fixture.relay.pid()) + " (oxbowspread)") !=
        text.npos);
  // The lock is released when its process exits, also by SIGKILL.
  fixture.relay.Signal(SIGKILL);
  fixture.relay.WaitForExit();
  fixture.relay.Start();
}

TEST_CASE("a control socket left by a killed relay is replaced and one in use is not") {
  ControlFixture fixture;
  fixture.relay.Start();
  RelayProcess second(fixture.stubs);
  second.arguments = fixture.relay.arguments;
  int code = 0;
  CHECK(second.RunToExit(&code).find("control socket") != std::string::npos);
  CHECK(code == 1);
  CHECK(fixture.Ask({{"op", "status"}}).at("pid") == fixture.relay.pid());
  fixture.relay.Signal(SIGKILL);
  fixture.relay.WaitForExit();
  REQUIRE(std::filesystem::exists(fixture.path));
  fixture.relay.Start();
  CHECK(fixture.Ask({{"op", "status"}}).at("pid") == fixture.relay.pid());
}

TEST_CASE("the option --check-config checks a configuration file and starts nothing") {
  ControlFixture fixture;
  const std::string file = fixture.relay.folder() + "/check.json";
  Json config = fixture.relay.config;
  config["state"] = "/tmp";
  std::ofstream(file) << config.dump();
  fixture.relay.arguments = {"--check-config", file};
  int code = -1;
  CHECK(fixture.relay.RunToExit(&code).find("can be used") != std::string::npos);
  CHECK(code == 0);
  config["listen"] = "nowhere";
  std::ofstream(file) << config.dump();
  const std::string text = fixture.relay.RunToExit(&code);
  CHECK(code == 2);
  CHECK(text.find("listen: ") != text.npos);
  fixture.relay.arguments = {"--nonsense"};
  fixture.relay.RunToExit(&code);
  CHECK(code == 2);
}

}  // namespace
}  // namespace oxbowspread::testing
