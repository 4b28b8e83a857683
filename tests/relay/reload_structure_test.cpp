// A reload must not lose a key of any class: the default that would take its place may be a weaker promise.
#include <catch2/catch.hpp>
#include <functional>

#include "reload_fixture.hpp"

namespace oxbowspread::testing {
namespace {

using nlohmann::json;

// A running relay with a deduplicated, an at-most-once and an idempotent class. Only the second one is
// ordered, and only the first one has no late value.
struct ThreeClassFixture {
  StubServices stubs;
  RelayProcess relay{stubs};

  ThreeClassFixture() {
    json& classes = relay.config["settings"]["services"];
    json charge = classes[0], status = classes[0];
    classes[0].erase("late-value");
    charge["name"] = "charge";
    charge["semantics"] = "at_most_once";
    charge["one-at-a-time"] = true;
    status["name"] = "status";
    status["semantics"] = "idempotent";
    status["one-at-a-time"] = false;
    classes.push_back(charge);
    classes.push_back(status);
    relay.Start();
  }
  // Reloads a file with a further class "added" and the change to the list of classes. Returns the log line.
  std::string ReloadWith(const std::function<void(json&)>& change) {
    json config = relay.config;
    json& classes = config["settings"]["services"];
    json added = classes[2];
    added["name"] = "added";
    classes.push_back(added);
    change(classes);
    return ReloadAndReadLog(stubs, relay, config.dump());
  }
};

// Guards against the loss of an order or another key: each class of the file was compared with the first
// running class only.
TEST_CASE("SIGHUP refuses a file in which any running class lacks a key") {
  ThreeClassFixture fixture;
  const auto expect_refused = [&](int index, const char* key, const std::string& path) {
    INFO(path);
    const auto erase = [&](json& classes) { classes[index].erase(key); };
    CHECK(fixture.ReloadWith(erase).find("reload refused: settings.services." + path + ": is missing") == 0);
  };
  expect_refused(0, "key-scope", "outbound.key-scope");
  expect_refused(1, "one-at-a-time", "charge.one-at-a-time");
  expect_refused(1, "late-value", "charge.late-value");
  expect_refused(2, "late-value", "status.late-value");
  expect_refused(0, "worth", "outbound.worth");
  expect_refused(3, "worth", "added.worth");
  // Nothing else in these files was applied.
  CHECK(Client(fixture.relay).Ask(PutOfClass("m", "added")).substr(0, 4) == "-ERR");
}

// Guards against refusing a file that keeps every promise: a class is compared with itself.
TEST_CASE("SIGHUP accepts classes that leave out only what they do not need") {
  ThreeClassFixture fixture;
  const std::vector<std::function<void(json&)>> changes = {
      [](json&) {},
      [](json& classes) { std::swap(classes[0], classes[3]); },
      [](json& classes) { classes.erase(1); },
      [](json& classes) { classes[2].erase("one-at-a-time"); },
      [](json& classes) { classes[3].erase("late-value"); },
      [](json& classes) {
        classes[0]["semantics"] = "at_most_once";
        for (json& message_class : classes) {
          message_class.erase("key-scope");
          message_class.erase("repeat-window-s");
        }
      }};
  for (const auto& change : changes) {
    CHECK(fixture.ReloadWith(change).find("reloaded") == 0);
    CHECK(ReloadAndReadLog(fixture.stubs, fixture.relay, fixture.relay.config.dump()).find("reloaded") == 0);
  }
}

}  // namespace
}  // namespace oxbowspread::testing
