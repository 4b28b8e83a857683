// Settings: their validation at the start, and reloads, which are applied or rejected as a whole.
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "relay/class_registry.hpp"
#include "reload_fixture.hpp"

namespace oxbowspread::testing {
namespace {

using nlohmann::json;

// A running relay that tests reload.
struct ReloadFixture {
  StubServices stubs;
  RelayProcess relay{stubs};

  ReloadFixture() {
    stubs.AddHost("a", 7);
    relay.Start();
  }
  // Reloads the relay with a valid configuration and waits until it has applied it.
  void Reload(const json& config) {
    REQUIRE(ReloadAndReadLog(stubs, relay, config.dump()).find("reloaded") == 0);
  }
};

TEST_CASE("a class keeps its index while messages use it and a free index is reused") {
  using wheathub::MessageClass;
  MessageClass a, b;
  a.name = "a";
  b.name = "b";
  MessageClass changed = a;
  changed.semantics = wheathub::Semantics::kIdempotent;
  relay::ClassRegistry classes({a, b});
  CHECK(classes.IndexOf("a") == 0);
  classes.SetCurrent({changed}, {0});
  CHECK(classes.at(0) == a);
  CHECK(classes.IndexOf("a") == 1);  // the previous index of b, which no message uses
  CHECK(classes.IndexOf("b") == -1);
  classes.SetCurrent({changed, b}, {0, 1});
  CHECK(classes.IndexOf("b") == 2);
  classes.SetCurrent({b}, {2});
  CHECK(classes.all().size() == 3);
  for (int i = 0; i < 50; ++i) {  // repeated reloads don't use up indices
    changed.deadline += std::chrono::seconds(1);
    classes.SetCurrent({changed, b}, {2});
  }
  CHECK(classes.all().size() == 3);
}

TEST_CASE("SIGHUP adds and removes classes and held messages keep the rules under which they were accepted") {
  ReloadFixture fixture;
  Client client(fixture.relay);
  CHECK(client.Ask(PutOfClass("early", "second")).substr(0, 4) == "-ERR");
  auto config = fixture.relay.config;
  json second = config["settings"]["services"][0];
  second["name"] = "second";
  second["semantics"] = "at_most_once";
  config["settings"]["services"].push_back(second);
  fixture.Reload(config);
  Client other(fixture.relay);
  REQUIRE(other.Ask(PutOfClass("once", "second")) == "+OK");
  const HttpRequest once = fixture.stubs.NextCall();
  REQUIRE(other.Ask(PutOfClass("old", "outbound")) == "+OK");
  const HttpRequest old = fixture.stubs.NextCall();
  // The name "outbound" gets the other semantics, and "second" is removed.
  config["settings"]["services"] = json::array({second});
  config["settings"]["services"][0]["name"] = "outbound";
  fixture.Reload(config);
  CHECK(Client(fixture.relay).Ask(PutOfClass("late", "second")).substr(0, 4) == "-ERR");
  // An attempt that got an error may have run: an at-most-once message ends, a deduplicated one is repeated.
  fixture.stubs.Answer(once, "500 No");
  CHECK(fixture.stubs.WaitForNotice("once").at("status") == "undeliverable");
  fixture.stubs.Answer(old, "500 No");
  const HttpRequest again = fixture.stubs.NextCall(8s);
  CHECK(again.id() == "old");
  // The same holds after a restart with settings that no longer contain the old class.
  fixture.relay.config = config;
  fixture.relay.Signal(SIGKILL);
  fixture.relay.WaitForExit();
  fixture.relay.Start();
  CHECK(fixture.stubs.NextCall(8s).id() == "old");
  // A new message of the same class name follows the new settings.
  Client third(fixture.relay);
  REQUIRE(third.Ask(PutOfClass("new", "outbound")) == "+OK");
  HttpRequest call = fixture.stubs.NextCall(8s);
  while (call.id() != "new") call = fixture.stubs.NextCall(8s);
  fixture.stubs.Answer(call, "500 No");
  CHECK(fixture.stubs.WaitForNotice("new").at("status") == "undeliverable");
}

TEST_CASE("a reload changes the attempt limit and max-open") {
  ReloadFixture fixture;
  auto config = fixture.relay.config;
  config["settings"]["limits"]["send-cap"] = 1;
  config["settings"]["limits"]["max-open"] = 1;
  fixture.Reload(config);
  Client client(fixture.relay);
  REQUIRE(client.Ask(PutOfClass("one", "outbound")) == "+OK");
  CHECK(client.Ask(PutOfClass("two", "outbound")).substr(0, 5) == "-BUSY");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "503 Full");
  CHECK(fixture.stubs.WaitForNotice("one").at("status") == "deferred");
}

TEST_CASE("invalid settings are rejected as a whole with a log line that names the key") {
  ReloadFixture fixture;
  Client client(fixture.relay);
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  int refused = 0;
  const auto expect_refused = [&](const std::string& text, const std::string& key) {
    INFO(key);
    const std::size_t before = fixture.relay.log().size();
    fixture.relay.Reload(text);
    refused += 1;
    fixture.stubs.WaitUntil(
        [&] { return fixture.relay.log().find(": reload refused: ", before) != std::string::npos; });
    CHECK(fixture.relay.log().find("reload refused: " + key, before) != std::string::npos);
  };
  const auto expect_refused_change = [&](const std::function<void(json&)>& change, const std::string& key) {
    json config = fixture.relay.config;
    // Valid changes in the same file must not be applied either.
    config["discovery"] = "127.0.0.1:9";
    json added = config["settings"]["services"][0];
    added["name"] = "added";
    config["settings"]["services"].push_back(added);
    change(config);
    expect_refused(config.dump(), key);
  };
  const std::string valid_text = fixture.relay.config.dump();
  expect_refused("", "ROUTER_CONFIG: ");
  for (const std::size_t cut : {std::size_t(1), valid_text.size() / 2, valid_text.size() - 1}) {
    expect_refused(valid_text.substr(0, cut), "ROUTER_CONFIG: ");
  }
  expect_refused_change([](json& config) { config.erase("settings"); }, "settings: ");
  expect_refused_change([](json& config) { config.erase("discovery"); }, "discovery: ");
  expect_refused_change([](json& config) { config["settings"].erase("services"); }, "settings");
  expect_refused_change([](json& config) { config["settings"]["limits"].erase("send-cap"); },
                        "settings.limits.send-cap: ");
  expect_refused_change([](json& config) { config["settings"]["services"][1].erase("deadline-s"); },
                        "settings.services.added.deadline-s: ");
  expect_refused_change([](json& config) { config["settings"]["services"][1].erase("semantics"); },
                        "settings");
  expect_refused_change([](json& config) { config["settings"]["services"][1]["name"] = "outbound"; },
                        "settings.services.name: ");
  for (const json& invalid : {json(-5), json(0), json("16"), json(nullptr), json(true), json(1e300)}) {
    expect_refused_change([&](json& config) { config["settings"]["services"][1]["deadline-s"] = invalid; },
                          "settings.services.added.deadline-s: ");
    expect_refused_change([&](json& config) { config["settings"]["limits"]["send-cap"] = invalid; },
                          "settings.limits.send-cap: ");
  }
  expect_refused_change([](json& config) { config["settings"]["limits"]["send-cap"] = 2.5; },
                        "settings.limits.send-cap: ");
  CHECK(client.Ask(PutOfClass("m", "added")).substr(0, 4) == "-ERR");
  Client new_client(fixture.relay);
  REQUIRE(new_client.Ask(PutOfClass("m", "outbound")) == "+OK");
  fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  CHECK(new_client.Counters()["reloads_refused"] == refused);
  CHECK(new_client.Counters()["reloads"] == 0);
  CHECK(fixture.stubs.watch_requests == 1);
}

// ---- unusual but valid settings ----

// A relay with one host, which the test starts with its own settings.
struct CustomSettingsFixture {
  StubServices stubs;
  RelayProcess relay{stubs};

  CustomSettingsFixture() { stubs.AddHost("a", 7); }
  json& settings() { return relay.config["settings"]; }
  std::string Put(Client& client, const std::string& class_name) {
    return client.Ask(PutOfClass("id-" + std::to_string(++messages_), class_name));
  }

 private:
  int messages_ = 0;
};

// Guards against rejecting messages of a class that the settings contain.
TEST_CASE("a class may have any name that a client can write") {
  CustomSettingsFixture fixture;
  const std::vector<std::string> names = {"order status", "r\u00e9servation",   "a=b", "x/y.1", "-",
                                          "\t",           std::string(200, 'n')};
  json service = fixture.settings()["services"][0];
  for (const std::string& name : names) {
    service["name"] = name;
    fixture.settings()["services"].push_back(service);
  }
  fixture.relay.Start();
  Client client(fixture.relay);
  for (const std::string& name : names) {
    INFO(name);
    REQUIRE(fixture.Put(client, name) == "+OK");
    fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
  }
  CHECK(fixture.Put(client, "order statu").substr(0, 4) == "-ERR");
}

// Guards against an endpoint that stays down forever: if the settings allow probes, the decision module would
// wait for a probe, but a relay can't send probes.
TEST_CASE("an endpoint that was down is tried again even if the settings allow probes") {
  CustomSettingsFixture fixture;
  fixture.settings()["limits"]["probing"] = true;
  fixture.relay.Start();
  Client client(fixture.relay);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(fixture.Put(client, "outbound") == "+OK");
    fixture.stubs.NextCall().connection->Reset();
  }
  fixture.relay.WaitForLog("down a");
  // The messages whose attempts were reset, and one more, are delivered once the endpoint answers.
  REQUIRE(fixture.Put(client, "outbound") == "+OK");
  fixture.stubs.WaitUntil([&] {
    while (fixture.stubs.CallArrivesWithin(0ms)) fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
    return client.Counters()["delivered"] == 4;
  });
}

// Guards against more calls than slots: the decision module would count several messages as one call.
TEST_CASE("each message is a call of its own even if the settings allow bundles") {
  CustomSettingsFixture fixture;
  fixture.settings()["family-info"]["bundle-max"] = {8};
  fixture.settings()["family-info"]["calls-out"] = 4;  // one destination gets two of them
  fixture.relay.Start();
  fixture.relay.Suspend();
  std::vector<Client> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back(fixture.relay);
    clients.back().socket().Send(PutOfClass("id-" + std::to_string(i), "outbound"));
    clients.back().socket().WaitUntilAcknowledged();
  }
  fixture.relay.Resume();
  for (Client& client : clients) REQUIRE(client.ReadLine() == "+OK");
  CHECK(clients.front().Counters()["out"] <= 2);
  for (int i = 0; i < 8; ++i) fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
}

TEST_CASE("settings with absent keys or zeros or single entries or unknown keys work") {
  const std::vector<std::function<void(json&)>> cases = {
      [](json& settings) {  // nothing but a class
        json service = {{"name", "outbound"}, {"semantics", "idempotent"}, {"deadline-s", 16}};
        settings = {{"services", {service}}};
      },
      [](json& settings) {  // at most once, without the keys for other semantics
        json& service = settings["services"][0];
        service["semantics"] = "at_most_once";
        service.erase("key-scope");
        service.erase("repeat-window-s");
      },
      [](json& settings) {  // all costs are zero
        settings["charges"] = {{"handshake", 0}, {"waste", 0.0}};
        settings["family-info"]["refused-price"] = 0;
        settings["family-info"]["carriage"] = {0, 0};
        settings["services"][0]["late-value"] = 0;
        settings["services"][0]["worth"] = 0;
        settings["services"][0]["goal-time-s"] = 0;
      },
      [](json& settings) {
        settings.erase("charges");
        settings["family-info"].erase("refused-price");
        settings["family-info"].erase("carriage");
        settings["services"][0].erase("worth");
        settings["services"][0].erase("late-value");
      },
      [](json& settings) {  // one zone, and a goal beyond the deadline
        settings["zones"] = {"north-room"};
        settings["services"][0]["goal-time-s"] = 60;
        settings["tick-s"] = 0;
      },
      [](json& settings) {  // keys that the relay doesn't read
        settings["unheard-of"] = {{"of", {1, "two"}}};
        settings["services"][0]["colour"] = nullptr;
        settings["limits"]["moons"] = "two";
        settings["weights"] = "live";
        settings["projects"] = {{{"name", "acme"}, {"quota-rps", 2.5}, {"fraction", 0.5}}, {{"name", "b"}}};
      },
      [](json& settings) {  // whole numbers with a decimal point, and the longest durations
        settings["balancers"] = 1.0;
        settings["limits"]["max-open"] = 100.0;
        settings["limits"]["connect-timeout-s"] = 0;
        settings["limits"]["keepalive-s"] = 0;
        settings["services"][0]["deadline-s"] = 604800;
        settings["services"][0]["repeat-window-s"] = 0.001;
      }};
  for (std::size_t i = 0; i < cases.size(); ++i) {
    INFO(i);
    CustomSettingsFixture fixture;
    cases[i](fixture.settings());
    fixture.relay.Start();
    Client client(fixture.relay);
    REQUIRE(fixture.Put(client, "outbound") == "+OK");
    fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
    fixture.stubs.WaitUntil([&] { return client.Counters()["delivered"] == 1; });
  }
}

// Guards against weaker rules in silence: SIGHUP refuses a file that lacks such a key, but a start takes it.
TEST_CASE("a start logs each missing key that rules rest on") {
  const std::vector<std::string> pointers = {
      "/balancers",        "/discovery",       "/family-info/calls-out",
      "/limits/max-open",  "/limits/send-cap", "/invariants/cold-from",
      "/invariants/cold-s"};
  CustomSettingsFixture fixture;
  for (const std::string& text : pointers) {
    const json::json_pointer pointer(text);
    fixture.settings()[pointer.parent_pointer()].erase(pointer.back());
  }
  fixture.relay.Start();
  for (std::string key : pointers) {
    std::replace(key.begin(), key.end(), '/', '.');
    INFO(key);
    CHECK(fixture.relay.log().find(": settings" + key + " is missing: ") != std::string::npos);
  }
  ReloadFixture complete;
  CHECK(complete.relay.log().find("is missing") == std::string::npos);
}

TEST_CASE("invalid settings end the start and change nothing at SIGHUP with one line that names the key") {
  struct InvalidSetting {
    const char* pointer;
    json value;
    const char* key;
  };
  const std::vector<InvalidSetting> cases = {
      {"/services", json::array(), "settings.services"},
      {"/services", 3, "settings.services"},
      {"/services/0", 3, "settings.services.name"},
      {"/services/0/name", 3, "settings.services.name"},
      {"/services/0/semantics", "sometimes", "settings.services.outbound.semantics"},
      {"/services/0/semantics", 1, "settings.services.outbound.semantics"},
      {"/services/0/repeat-window-s", 0, "settings.services.outbound.repeat-window-s"},
      {"/services/0/repeat-window-s", "ten", "settings.services.outbound.repeat-window-s"},
      {"/services/0/goal-time-s", -1, "settings.services.outbound.goal-time-s"},
      {"/services/0/worth", "much", "settings.services.outbound.worth"},
      {"/services/0/key-scope", 1, "settings.services.outbound.key-scope"},
      {"/services/0/key-scope", nullptr, "settings.services.outbound.key-scope"},
      {"/services/0/key-scope", "", "settings.services.outbound.key-scope"},
      {"/services/0/key-scope", "All", "settings.services.outbound.key-scope"},
      {"/limits", 3, "settings.limits"},
      {"/limits/max-open", "many", "settings.limits.max-open"},
      {"/limits/max-open", -1, "settings.limits.max-open"},
      {"/limits/keepalive-s", 1e300, "settings.limits.keepalive-s"},
      {"/limits/cancel", 1, "settings.limits.cancel"},
      {"/family-info/kind-apart", "all", "settings.family-info.kind-apart"},
      {"/family-info/carriage", {"dear"}, "settings.family-info.carriage"},
      {"/family-info/calls-out", nullptr, "settings.family-info.calls-out"},
      {"/invariants/cold-s", "long", "settings.invariants.cold-s"},
      {"/family-info/decay", "halves", "settings.family-info.decay"},
      {"/balancers", 0, "settings.balancers"},
      {"/discovery", "Ask", "settings.discovery"},
      {"/discovery", false, "settings.discovery"},
      {"/weights", "Rough", "settings.weights"},
      {"/zones", {1, 2}, "settings.zones"},
      {"/projects", {{{"quota-rps", "all"}}}, "settings.projects.quota-rps"},
      {"/tick-s", -1, "settings.tick-s"},
  };
  ReloadFixture running;
  for (const InvalidSetting& invalid : cases) {
    INFO(invalid.pointer << " " << invalid.value.dump());
    json config = running.relay.config;
    config["settings"][json::json_pointer(invalid.pointer)] = invalid.value;
    const std::string line = std::string(": ") + invalid.key + ": ";
    const std::size_t before = running.relay.log().size();
    running.relay.Reload(config.dump());
    running.stubs.WaitUntil(
        [&] { return running.relay.log().find("reload refused", before) != std::string::npos; });
    CHECK(running.relay.log().find("reload refused" + line, before) != std::string::npos);
    RelayProcess new_relay(running.stubs);
    new_relay.config["settings"] = config["settings"];
    int code = 0;
    const std::string output = new_relay.RunToExit(&code);
    CHECK(code == 1);
    CHECK(output.find("oxbowspread" + line) == 0);
    CHECK(std::count(output.begin(), output.end(), '\n') == 1);
  }
  Client client(running.relay);
  REQUIRE(client.Ask(PutOfClass("m", "outbound")) == "+OK");
  running.stubs.Answer(running.stubs.NextCall(), "200 OK");
  CHECK(client.Counters()["reloads_refused"] == static_cast<long>(cases.size()));
}

}  // namespace
}  // namespace oxbowspread::testing
