// A few relays that are configured as members of a large fleet and share one discovery service, for tests of
// the time until they apply a change of the list.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>

#include "relay_harness.hpp"

namespace oxbowspread::testing {

inline constexpr int kFleetSize = 300;  // the fleet size in each relay's settings
// Maximum time from a change of discovery's list until every relay has applied the change.
inline constexpr auto kChangeKnownWithin = 6s;

// Host a is the only host of destination 7, host b the only host of destination 8.
struct Fleet {
  StubServices stubs;
  std::deque<RelayProcess> relays;

  explicit Fleet(int count = 6) {
    stubs.AddHost("a", 7);
    stubs.AddHost("b", 8);
    for (int rank = 0; rank < count; ++rank) {
      RelayProcess& relay = relays.emplace_back(stubs);
      relay.config["settings"]["balancers"] = kFleetSize;
      relay.config["settings"]["rank"] = rank;
      // Endpoints announce no rate limit; a relay would first have to learn its share of the limit.
      relay.config["settings"]["weights"] = "none";
      relay.config["seed"] = std::to_string(1000 + rank);
    }
  }
  int size() const { return static_cast<int>(relays.size()); }
  void Start() {
    for (RelayProcess& relay : relays) relay.Start();
  }
  bool EachCounterReaches(const char* counter, long count) {
    return std::all_of(relays.begin(), relays.end(),
                       [&](const RelayProcess& relay) { return Client(relay).Counters()[counter] >= count; });
  }
  // Waits until that counter of each relay is at least `count`.
  void WaitForEachCounter(const char* counter, long count, std::chrono::milliseconds limit = 30s) {
    stubs.WaitUntil([&] { return EachCounterReaches(counter, count); }, limit);
  }
  // Reloads every relay with discovery's current address.
  void ReloadAll() {
    for (const RelayProcess& relay : relays) {
      auto config = relay.config;
      config["discovery"] = "127.0.0.1:" + std::to_string(stubs.discovery_port());
      relay.Reload(config.dump());
    }
  }
  // Serves the stubs for that time.
  void WaitFor(Clock::duration span) {
    const auto until = Clock::now() + span;
    stubs.WaitUntil([&] { return Clock::now() >= until; },
                    std::chrono::ceil<std::chrono::milliseconds>(span) + 5s);
  }
  // Sends each relay a message for host b's destination. Returns the number of relays that call host b.
  int CountRelaysCallingHostB() {
    int calls = 0;
    for (const RelayProcess& relay : relays) {
      Client client(relay);
      const long before = client.Counters()["legs"];
      client.Put("id-" + std::to_string(++messages_), "hello", 8000, ",k=key1,dest=8");
      REQUIRE(client.ReadLine() == "+OK");
      calls += client.Counters()["legs"] > before;  // the step that accepts a message also starts its attempt
    }
    return calls;
  }

 private:
  int messages_ = 0;
};

}  // namespace oxbowspread::testing
