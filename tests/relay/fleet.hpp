// Some relays of a large fleet around one World, for tests of how late a change of the list is known.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>

#include "rig.hpp"

namespace oxbowspread::testing {

inline constexpr int kFleet = 300;        // relays, as each is told
inline constexpr auto kKnownWithin = 6s;  // a change of the list, from when discovery has it

// Host a is the only one of destination 7, host b of destination 8.
struct Fleet {
  World world;
  std::deque<RelayProcess> relays;

  explicit Fleet(int count = 6) {
    world.AddHost("a", 7);
    world.AddHost("b", 8);
    for (int rank = 0; rank < count; ++rank) {
      RelayProcess& relay = relays.emplace_back(world);
      relay.config["settings"]["balancers"] = kFleet;
      relay.config["settings"]["rank"] = rank;
      relay.config["settings"]["weights"] =
          "none";  // no told limit, of which a relay's part would be awaited
      relay.config["seed"] = std::to_string(1000 + rank);
    }
  }
  int size() const { return static_cast<int>(relays.size()); }
  void Start() {
    for (RelayProcess& relay : relays) relay.Start();
  }
  bool EachHas(const char* counter, long count) {
    return std::all_of(relays.begin(), relays.end(),
                       [&](const RelayProcess& relay) { return Client(relay).Counters()[counter] >= count; });
  }
  void UntilEachHas(const char* counter, long count, std::chrono::milliseconds limit = 30s) {
    world.Until([&] { return EachHas(counter, count); }, limit);
  }
  // Names the address at which discovery listens now.
  void ReloadAll() {
    for (const RelayProcess& relay : relays) {
      auto config = relay.config;
      config["discovery"] = "127.0.0.1:" + std::to_string(world.discovery_port());
      relay.Reload(config.dump());
    }
  }
  void Pass(Clock::duration span) {
    const auto until = Clock::now() + span;
    world.Until([&] { return Clock::now() >= until; },
                std::chrono::ceil<std::chrono::milliseconds>(span) + 5s);
  }
  // How many relays call host b, the only one of its destination, with a message for that.
  int CallDraining() {
    int calls = 0;
    for (const RelayProcess& relay : relays) {
      Client client(relay);
      const long before = client.Counters()["legs"];
      client.Put("id-" + std::to_string(++puts_), "hello", 8000, ",k=key1,dest=8");
      REQUIRE(client.Line() == "+OK");
      calls += client.Counters()["legs"] > before;  // the step that took it on would have sent it
    }
    return calls;
  }

 private:
  int puts_ = 0;
};

}  // namespace oxbowspread::testing
