// Settings that change while the relay runs: taken over whole, or turned down whole.
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "relay/classes.hpp"
#include "rig.hpp"

namespace oxbowspread::testing {
namespace {

using nlohmann::json;

struct Set {
  World world;
  RelayProcess relay{world};

  Set() {
    world.AddHost("a", 7);
    relay.Start();
  }
  static std::string Put(const std::string& id, const std::string& class_name) {
    const std::string list = "c=" + class_name + ",d=8000,k=key-" + id + ",dest=7";
    std::string command = "*5\r\n";
    for (const std::string& part :
         {std::string("MSG.PUT"), std::string("0"), id, list, std::string("hello")}) {
      command += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
    }
    return command;
  }
  void Reload(const json& config) {
    const std::size_t before = relay.log().size();
    relay.Reload(config.dump());
    world.Until([&] { return relay.log().find(": reloaded", before) != std::string::npos; });
  }
};

TEST_CASE("a class keeps its number while anything is held under it, and a free one is given anew") {
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
  CHECK(classes.IndexOf("a") == 1);  // b's, which nobody held
  CHECK(classes.IndexOf("b") == -1);
  classes.SetCurrent({changed, b}, {0, 1});
  CHECK(classes.IndexOf("b") == 2);
  classes.SetCurrent({b}, {2});
  CHECK(classes.all().size() == 3);
  for (int i = 0; i < 50; ++i) {  // reloads don't add up
    changed.deadline += std::chrono::seconds(1);
    classes.SetCurrent({changed, b}, {2});
  }
  CHECK(classes.all().size() == 3);
}

TEST_CASE("SIGHUP adds a class and drops one: what is open keeps the rules under which it was taken on") {
  Set r;
  Client client(r.relay);
  CHECK(client.Ask(r.Put("early", "second")).substr(0, 4) == "-ERR");
  auto config = r.relay.config;
  json second = config["settings"]["services"][0];
  second["name"] = "second";
  second["semantics"] = "at_most_once";
  config["settings"]["services"].push_back(second);
  r.Reload(config);
  Client other(r.relay);
  REQUIRE(other.Ask(r.Put("once", "second")) == "+OK");
  const HttpRequest once = r.world.NextCall();
  REQUIRE(other.Ask(r.Put("old", "outbound")) == "+OK");
  const HttpRequest old = r.world.NextCall();
  // Both names now stand for the other effect, and one of them is dropped again.
  config["settings"]["services"] = json::array({second});
  config["settings"]["services"][0]["name"] = "outbound";
  r.Reload(config);
  CHECK(Client(r.relay).Ask(r.Put("late", "second")).substr(0, 4) == "-ERR");
  // An error may have run: what must not take effect twice ends, what is dropped by key is repeated.
  r.world.Answer(once, "500 No");
  CHECK(r.world.NoticeOf("once").at("status") == "undeliverable");
  r.world.Answer(old, "500 No");
  const HttpRequest again = r.world.NextCall(8s);
  CHECK(again.id() == "old");
  // Also in the next life, in which no settings know the old rules.
  r.relay.config = config;
  r.relay.Signal(SIGKILL);
  r.relay.WaitForEnd();
  r.relay.Start();
  CHECK(r.world.NextCall(8s).id() == "old");
  // While a new message of that name goes by the new ones.
  Client third(r.relay);
  REQUIRE(third.Ask(r.Put("new", "outbound")) == "+OK");
  HttpRequest call = r.world.NextCall(8s);
  while (call.id() != "new") call = r.world.NextCall(8s);
  r.world.Answer(call, "500 No");
  CHECK(r.world.NoticeOf("new").at("status") == "undeliverable");
}

TEST_CASE("the number of attempts and other limits follow the settings") {
  Set r;
  auto config = r.relay.config;
  config["settings"]["limits"]["send-cap"] = 1;
  config["settings"]["limits"]["max-open"] = 1;
  r.Reload(config);
  Client client(r.relay);
  REQUIRE(client.Ask(r.Put("one", "outbound")) == "+OK");
  CHECK(client.Ask(r.Put("two", "outbound")).substr(0, 5) == "-BUSY");
  r.world.Answer(r.world.NextCall(), "503 Full");
  CHECK(r.world.NoticeOf("one").at("status") == "deferred");
}

TEST_CASE("settings with any fault are turned down whole, with a line that names the key") {
  Set r;
  Client client(r.relay);
  r.world.Until([&] { return r.world.watches == 1; });
  int refused = 0;
  const auto turned_down = [&](const std::string& text, const std::string& key) {
    INFO(key);
    const std::size_t before = r.relay.log().size();
    r.relay.Reload(text);
    refused += 1;
    r.world.Until([&] { return r.relay.log().find(": reload refused: ", before) != std::string::npos; });
    CHECK(r.relay.log().find("reload refused: " + key, before) != std::string::npos);
  };
  const auto spoilt = [&](const std::function<void(json&)>& spoil, const std::string& key) {
    json config = r.relay.config;
    // What else the file says must not be taken over either.
    config["discovery"] = "127.0.0.1:9";
    json added = config["settings"]["services"][0];
    added["name"] = "added";
    config["settings"]["services"].push_back(added);
    spoil(config);
    turned_down(config.dump(), key);
  };
  const std::string whole = r.relay.config.dump();
  turned_down("", "ROUTER_CONFIG: ");
  for (const std::size_t cut : {std::size_t(1), whole.size() / 2, whole.size() - 1}) {
    turned_down(whole.substr(0, cut), "ROUTER_CONFIG: ");
  }
  spoilt([](json& c) { c.erase("settings"); }, "settings: ");
  spoilt([](json& c) { c.erase("discovery"); }, "discovery: ");
  spoilt([](json& c) { c["settings"].erase("services"); }, "settings");
  spoilt([](json& c) { c["settings"]["limits"].erase("send-cap"); }, "settings.limits.send-cap: ");
  spoilt([](json& c) { c["settings"]["services"][1].erase("deadline-s"); },
         "settings.services.added.deadline-s: ");
  spoilt([](json& c) { c["settings"]["services"][1].erase("semantics"); }, "settings");
  spoilt([](json& c) { c["settings"]["services"][1]["name"] = "outbound"; }, "settings.services.name: ");
  for (const json& bad : {json(-5), json(0), json("16"), json(nullptr), json(true), json(1e300)}) {
    spoilt([&](json& c) { c["settings"]["services"][1]["deadline-s"] = bad; },
           "settings.services.added.deadline-s: ");
    spoilt([&](json& c) { c["settings"]["limits"]["send-cap"] = bad; }, "settings.limits.send-cap: ");
  }
  spoilt([](json& c) { c["settings"]["limits"]["send-cap"] = 2.5; }, "settings.limits.send-cap: ");
  CHECK(client.Ask(r.Put("m", "added")).substr(0, 4) == "-ERR");
  Client sound(r.relay);
  REQUIRE(sound.Ask(r.Put("m", "outbound")) == "+OK");
  r.world.Answer(r.world.NextCall(), "200 OK");
  CHECK(sound.Counters()["reloads_refused"] == refused);
  CHECK(sound.Counters()["reloads"] == 0);
  CHECK(r.world.watches == 1);
}

// ---- what other customers' settings hold ----

// A relay that is started with settings of the test's, among hosts of one destination.
struct Foreign {
  World world;
  RelayProcess relay{world};

  Foreign() { world.AddHost("a", 7); }
  json& settings() { return relay.config["settings"]; }
  std::string Put(Client& client, const std::string& class_name) {
    return client.Ask(Set::Put("id-" + std::to_string(++puts_), class_name));
  }

 private:
  int puts_ = 0;
};

// Guards against clients that are told that a class is unknown which the settings name.
TEST_CASE("a class may have any name that a client can write") {
  Foreign r;
  const std::vector<std::string> names = {"order status", "r\u00e9servation",   "a=b", "x/y.1", "-",
                                          "\t",           std::string(200, 'n')};
  json service = r.settings()["services"][0];
  for (const std::string& name : names) {
    service["name"] = name;
    r.settings()["services"].push_back(service);
  }
  r.relay.Start();
  Client client(r.relay);
  for (const std::string& name : names) {
    INFO(name);
    REQUIRE(r.Put(client, name) == "+OK");
    r.world.Answer(r.world.NextCall(), "200 OK");
  }
  CHECK(r.Put(client, "order statu").substr(0, 4) == "-ERR");
}

// Guards against an endpoint that is down for good: where settings allow probes the module waits for one, and
// there is none between a relay and an endpoint.
TEST_CASE("an endpoint that was down is tried again also where the settings allow probes") {
  Foreign r;
  r.settings()["limits"]["probing"] = true;
  r.relay.Start();
  Client client(r.relay);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(r.Put(client, "outbound") == "+OK");
    r.world.NextCall().from->Reset();
  }
  r.relay.UntilLog("down a");
  // Those that were reset, and one more, are delivered once it answers.
  REQUIRE(r.Put(client, "outbound") == "+OK");
  r.world.Until([&] {
    while (r.world.CallWithin(0ms)) r.world.Answer(r.world.NextCall(), "200 OK");
    return client.Counters()["delivered"] == 4;
  });
}

// Guards against calls beyond the slots: the module would count several messages to one host as one call.
TEST_CASE("messages are calls of their own also where the settings let one call hold several") {
  Foreign r;
  r.settings()["family-info"]["bundle-max"] = {8};
  r.settings()["family-info"]["calls-out"] = 4;  // two for one destination
  r.relay.Start();
  r.relay.Halt();
  std::vector<Client> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back(r.relay);
    clients.back().socket().Send(Set::Put("id-" + std::to_string(i), "outbound"));
    clients.back().socket().UntilTaken();
  }
  r.relay.GoOn();
  for (Client& client : clients) REQUIRE(client.Line() == "+OK");
  CHECK(clients.front().Counters()["out"] <= 2);
  for (int i = 0; i < 8; ++i) r.world.Answer(r.world.NextCall(), "200 OK");
}

TEST_CASE("settings with all that may be absent absent, with zeros, with one of each and with strange keys") {
  const std::vector<std::function<void(json&)>> all = {
      [](json& s) {  // no more than a class
        json service = {{"name", "outbound"}, {"semantics", "idempotent"}, {"deadline-s", 16}};
        s = {{"services", {service}}};
      },
      [](json& s) {  // at most once, and nothing that only other effects need
        json& c = s["services"][0];
        c["semantics"] = "at_most_once";
        c.erase("key-scope");
        c.erase("repeat-window-s");
      },
      [](json& s) {  // costs of nothing, and none told
        s["charges"] = {{"handshake", 0}, {"waste", 0.0}};
        s["family-info"]["refused-price"] = 0;
        s["family-info"]["carriage"] = {0, 0};
        s["services"][0]["late-value"] = 0;
        s["services"][0]["worth"] = 0;
        s["services"][0]["goal-time-s"] = 0;
      },
      [](json& s) {
        s.erase("charges");
        s["family-info"].erase("refused-price");
        s["family-info"].erase("carriage");
        s["services"][0].erase("worth");
        s["services"][0].erase("late-value");
      },
      [](json& s) {  // one zone, and a goal beyond the deadline
        s["zones"] = {"north-room"};
        s["services"][0]["goal-time-s"] = 60;
        s["tick-s"] = 0;
      },
      [](json& s) {  // more than it reads
        s["unheard-of"] = {{"of", {1, "two"}}};
        s["services"][0]["colour"] = nullptr;
        s["limits"]["moons"] = "two";
        s["weights"] = "live";
        s["projects"] = {{{"name", "acme"}, {"quota-rps", 2.5}, {"fraction", 0.5}}, {{"name", "b"}}};
      },
      [](json& s) {  // whole numbers with a point, and the longest times
        s["balancers"] = 1.0;
        s["limits"]["max-open"] = 100.0;
        s["limits"]["connect-timeout-s"] = 0;
        s["limits"]["keepalive-s"] = 0;
        s["services"][0]["deadline-s"] = 604800;
        s["services"][0]["repeat-window-s"] = 0.001;
      }};
  for (std::size_t i = 0; i < all.size(); ++i) {
    INFO(i);
    Foreign r;
    all[i](r.settings());
    r.relay.Start();
    Client client(r.relay);
    REQUIRE(r.Put(client, "outbound") == "+OK");
    r.world.Answer(r.world.NextCall(), "200 OK");
    r.world.Until([&] { return client.Counters()["delivered"] == 1; });
  }
}

TEST_CASE(
    "settings that can't work end the start, and change nothing at SIGHUP, with one line that names the "
    "key") {
  struct Bad {
    const char* pointer;
    json value;
    const char* key;
  };
  const std::vector<Bad> all = {
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
      {"/limits", 3, "settings.limits"},
      {"/limits/max-open", "many", "settings.limits.max-open"},
      {"/limits/max-open", -1, "settings.limits.max-open"},
      {"/limits/keepalive-s", 1e300, "settings.limits.keepalive-s"},
      {"/limits/cancel", 1, "settings.limits.cancel"},
      {"/family-info/kind-apart", "all", "settings.family-info.kind-apart"},
      {"/family-info/carriage", {"dear"}, "settings.family-info.carriage"},
      {"/family-info/calls-out", nullptr, "settings.family-info.calls-out"},
      {"/invariants/cold-s", "long", "settings.invariants.cold-s"},
      {"/balancers", 0, "settings.balancers"},
      {"/zones", {1, 2}, "settings.zones"},
      {"/projects", {{{"quota-rps", "all"}}}, "settings.projects.quota-rps"},
      {"/tick-s", -1, "settings.tick-s"},
  };
  Set running;
  for (const Bad& bad : all) {
    INFO(bad.pointer << " " << bad.value.dump());
    json config = running.relay.config;
    config["settings"][json::json_pointer(bad.pointer)] = bad.value;
    const std::string line = std::string(": ") + bad.key + ": ";
    const std::size_t before = running.relay.log().size();
    running.relay.Reload(config.dump());
    running.world.Until(
        [&] { return running.relay.log().find("reload refused", before) != std::string::npos; });
    CHECK(running.relay.log().find("reload refused" + line, before) != std::string::npos);
    RelayProcess fresh(running.world);
    fresh.config["settings"] = config["settings"];
    int code = 0;
    const std::string said = fresh.RunToEnd(&code);
    CHECK(code == 1);
    CHECK(said.find("oxbowspread" + line) == 0);
    CHECK(std::count(said.begin(), said.end(), '\n') == 1);
  }
  Client client(running.relay);
  REQUIRE(client.Ask(Set::Put("m", "outbound")) == "+OK");
  running.world.Answer(running.world.NextCall(), "200 OK");
  CHECK(client.Counters()["reloads_refused"] == static_cast<long>(all.size()));
}

}  // namespace
}  // namespace oxbowspread::testing
