// Repeats of deduplicated messages stay among the hosts that recognise them, whatever configuration file a
// reload, a start or a new version of the relay brings.
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "reload_fixture.hpp"

namespace oxbowspread::testing {
namespace {

using nlohmann::json;

// A destination with one host in each of two zones. A host runs each message that it receives, except a
// repeat of one that has already run in its own zone.
struct TwoZoneFixture {
  StubServices stubs;
  Socket client_listener = Socket::Listen();
  RelayProcess relay{stubs};
  std::map<std::string, std::map<std::string, int>> runs;  // by message id and zone

  TwoZoneFixture() {
    stubs.AddHost("north", 7, "north-room");
    stubs.AddHost("east", 7, "east-room");
    relay.inherited_listener = &client_listener;
  }
  json& message_class() { return relay.config["settings"]["services"][0]; }

  std::string Reload(const json& config) { return ReloadAndReadLog(stubs, relay, config.dump()); }
  // Submits a message and returns the first line of the answer.
  std::string Submit(const std::string& id, const std::string& class_name) {
    return Client(relay).Ask(PutOfClass(id, class_name));
  }
  // Waits for an attempt of the message, lets its host run it, and answers with the status.
  void RunNextCall(const std::string& id, const std::string& status) {
    const HttpRequest call = stubs.NextCall();
    REQUIRE(call.id() == id);
    runs[id][stubs.HostOf(call)] = 1;
    stubs.Answer(call, status);
  }
  // Pushes the host's state to the relay and waits until the relay has received it.
  void Announce(RelayProcess& process, const std::string& host, const std::string& state) {
    stubs.SetState(host, state);
    process.WaitForLog("list: version " + std::to_string(stubs.List().at("version").get<int>()) +
                       " received");
  }
  // Submits a message whose first attempt gets an error, while the host that it called is drained, so that
  // the message waits for a repeat. Returns that host.
  std::string SubmitAndFailFirstAttempt(const std::string& id) {
    REQUIRE(Submit(id, "outbound") == "+OK");
    const HttpRequest call = stubs.NextCall();
    const std::string host = stubs.HostOf(call);
    Announce(relay, host, "Terminating");
    stubs.Answer(call, "500 No");
    Client client(relay);
    stubs.WaitUntil([&] { return client.Counters()["errors"] == 1; });
    return host;
  }
  // Announces the other host anew and then the first one as ready again. Returns the host of the next call.
  std::string HostOfRepeat(RelayProcess& process, const std::string& first_host) {
    Announce(process, first_host == "north" ? "east" : "north", "Ready");
    Announce(process, first_host, "Ready");
    return stubs.HostOf(stubs.NextCall());
  }
  // The number of zones in which the message ran, if its first attempt got an error and its repeat succeeds.
  std::size_t ZonesOfRepeatedMessage(const std::string& id) {
    RunNextCall(id, "500 No");
    RunNextCall(id, "200 OK");
    return runs[id].size();
  }
};

// Returns the configuration without the scope of the class at that index.
json WithoutScope(json config, int class_index) {
  config["settings"]["services"][class_index].erase("key-scope");
  return config;
}

// Guards against a second effect: without key-scope a class counted as deduplicated by all hosts, and a
// repeat went to another zone.
TEST_CASE("a message runs in one zone after SIGHUP with a file without key-scope") {
  TwoZoneFixture fixture;
  fixture.relay.Start();
  const std::string line = fixture.Reload(WithoutScope(fixture.relay.config, 0));
  REQUIRE(fixture.Submit("m", "outbound") == "+OK");
  CHECK(fixture.ZonesOfRepeatedMessage("m") == 1);
  CHECK(line.find("reload refused: settings.services.outbound.key-scope: is missing") == 0);
}

// Guards against a second effect: of two values for one key the last one was used.
TEST_CASE("a message runs in one zone after SIGHUP with a file that gives key-scope twice") {
  TwoZoneFixture fixture;
  fixture.relay.Start();
  std::string text = fixture.relay.config.dump();
  const std::string scope = R"("key-scope":"zone",)";
  text.insert(text.find(scope) + scope.size(), R"("key-scope":"all",)");
  const std::string line = ReloadAndReadLog(fixture.stubs, fixture.relay, text);
  REQUIRE(fixture.Submit("m", "outbound") == "+OK");
  CHECK(fixture.ZonesOfRepeatedMessage("m") == 1);
  CHECK(line.find("reload refused: settings.services.key-scope: is given twice") == 0);
}

// Guards against the same effect of a class that the running file lacks, or has with other semantics.
TEST_CASE("SIGHUP refuses a class without key-scope that is new or becomes deduplicated") {
  TwoZoneFixture fixture;
  json idempotent = fixture.message_class();
  idempotent["name"] = "changed";
  idempotent["semantics"] = "idempotent";
  idempotent.erase("key-scope");
  fixture.relay.config["settings"]["services"].push_back(idempotent);
  fixture.relay.Start();
  json with_new_class = fixture.relay.config;
  with_new_class["settings"]["services"].push_back(fixture.message_class());
  with_new_class["settings"]["services"][2]["name"] = "new";
  CHECK(fixture.Reload(WithoutScope(with_new_class, 2)).find("reload refused: settings.services.new.key-s") ==
        0);
  CHECK(fixture.Submit("n", "new").substr(0, 4) == "-ERR");
  json with_changed_class = fixture.relay.config;
  with_changed_class["settings"]["services"][1]["semantics"] = "deduplicated";
  CHECK(fixture.Reload(with_changed_class).find("reload refused: settings.services.changed.key-scope") == 0);
  // The same files with a scope are used, and so is a class that stops being deduplicated and loses its keys.
  with_changed_class["settings"]["services"][1]["key-scope"] = "zone";
  REQUIRE(fixture.Reload(with_changed_class).find("reloaded") == 0);
  REQUIRE(fixture.Submit("m", "changed") == "+OK");
  CHECK(fixture.ZonesOfRepeatedMessage("m") == 1);
  REQUIRE(fixture.Reload(with_new_class).find("reloaded") == 0);
  with_new_class["settings"]["services"][2]["semantics"] = "at_most_once";
  with_new_class["settings"]["services"][2].erase("repeat-window-s");
  CHECK(fixture.Reload(WithoutScope(with_new_class, 2)).find("reloaded") == 0);
}

// Guards against the same effect of a file that is read at a start.
TEST_CASE("a relay without key-scope for a deduplicated class does not start or take over") {
  TwoZoneFixture fixture;
  fixture.relay.Start();
  RelayProcess new_version(fixture.stubs);
  new_version.UseStateFolder(fixture.relay.state());
  new_version.inherited_listener = &fixture.client_listener;
  RelayProcess separate(fixture.stubs);
  for (RelayProcess* process : {&new_version, &separate}) {
    process->config = WithoutScope(process->config, 0);
    int code = 0;
    const std::string output = process->RunToExit(&code);
    CHECK(code == 1);
    CHECK(output.find("oxbowspread: settings.services.outbound.key-scope: is missing") == 0);
    CHECK(std::count(output.begin(), output.end(), '\n') == 1);
  }
  REQUIRE(fixture.Submit("m", "outbound") == "+OK");
  CHECK(fixture.ZonesOfRepeatedMessage("m") == 1);
}

// Returns the configuration with its zones in the opposite order.
json WithZonesReversed(json config) {
  json& zones = config["settings"]["zones"];
  std::reverse(zones.begin(), zones.end());
  return config;
}

// Guards against a second effect: the zone of a failed attempt was kept as a position in the settings, which
// stood for another zone once a file listed the zones in another order.
TEST_CASE("a message is repeated in its zone after SIGHUP with the zones in another order") {
  TwoZoneFixture fixture;
  fixture.relay.Start();
  const std::string host = fixture.SubmitAndFailFirstAttempt("m");
  REQUIRE(fixture.Reload(WithZonesReversed(fixture.relay.config)).find("reloaded") == 0);
  CHECK(fixture.HostOfRepeat(fixture.relay, host) == host);
}

TEST_CASE("a message is repeated in its zone after a restart with the zones in another order") {
  TwoZoneFixture fixture;
  fixture.relay.Start();
  const std::string host = fixture.SubmitAndFailFirstAttempt("m");
  fixture.relay.Signal(SIGKILL);
  fixture.relay.WaitForExit();
  fixture.relay.config = WithZonesReversed(fixture.relay.config);
  fixture.relay.Start();
  CHECK(fixture.HostOfRepeat(fixture.relay, host) == host);
}

TEST_CASE("a message is repeated in its zone by a new version with the zones in another order") {
  TwoZoneFixture fixture;
  fixture.relay.Start();
  const std::string host = fixture.SubmitAndFailFirstAttempt("m");
  RelayProcess new_version(fixture.stubs);
  new_version.UseStateFolder(fixture.relay.state());
  new_version.inherited_listener = &fixture.client_listener;
  new_version.config = WithZonesReversed(new_version.config);
  new_version.Start();
  fixture.relay.WaitForLog("given over");
  CHECK(fixture.HostOfRepeat(new_version, host) == host);
}

// Guards against a call before a told wait is over: a host that was handed over kept its kind as a position,
// and a destination whose hosts share one limit counted as one with separate routes.
TEST_CASE("a wait binds all hosts of a destination that a new version takes over with other positions") {
  TwoZoneFixture fixture;
  json& settings = fixture.relay.config["settings"];
  settings["models"] = {"partner", "depot"};
  settings["family-info"]["kind-apart"] = {false, true};
  settings["family-info"]["bundle-max"] = {1, 1};
  settings["services"][0]["key-scope"] = "all";
  fixture.relay.Start();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.open_watches() == 1; });
  RelayProcess new_version(fixture.stubs);
  new_version.UseStateFolder(fixture.relay.state());
  new_version.inherited_listener = &fixture.client_listener;
  new_version.config["settings"] = settings;
  new_version.config["settings"]["models"] = {"depot", "partner"};
  new_version.config["settings"]["family-info"]["kind-apart"] = {true, false};
  fixture.stubs.discovery_silent = true;  // the new process has the list that was handed over
  new_version.Start();
  fixture.relay.WaitForLog("given over");
  REQUIRE(fixture.Submit("m", "outbound") == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  const auto told_at = Clock::now();
  fixture.stubs.Answer(call, "429 Too Many Requests", "Retry-After: 1\r\n");
  CHECK(fixture.stubs.NextCall().id() == "m");
  CHECK(Clock::now() - told_at >= 1s);
}

}  // namespace
}  // namespace oxbowspread::testing
