// Settings that change while the relay runs: taken over whole, or turned down whole.
#include <signal.h>

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
  relay::Classes classes({a, b});
  CHECK(classes.Current("a") == 0);
  classes.Renew({changed}, {0});
  CHECK(classes.at(0) == a);
  CHECK(classes.Current("a") == 1);  // b's, which nobody held
  CHECK(classes.Current("b") == -1);
  classes.Renew({changed, b}, {0, 1});
  CHECK(classes.Current("b") == 2);
  classes.Renew({b}, {2});
  CHECK(classes.all().size() == 3);
  for (int i = 0; i < 50; ++i) {  // reloads don't add up
    changed.deadline += std::chrono::seconds(1);
    classes.Renew({changed, b}, {2});
  }
  CHECK(classes.all().size() == 3);
}

TEST_CASE("SIGHUP adds a class and drops one; what is open keeps the rules under which it was taken on") {
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

}  // namespace
}  // namespace oxbowspread::testing
