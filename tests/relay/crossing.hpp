// What the tests of crossings share: a relay that stands still while things are put in its way, and a host
// whose connections come up late.
#pragma once

#include <catch2/catch.hpp>

#include "rig.hpp"

namespace oxbowspread::testing {

struct Crossing {
  World world;
  RelayProcess relay{world};

  Crossing() { world.AddHost("a", 7); }
  void UntilCount(Client& client, const char* counter, long count) {
    world.Until([&] { return client.Counters()[counter] >= count; });
  }
  // Only a relay that has come to its last moment leaves a whole request unread, for its client to repeat.
  void UnreadOnlyAtTheEnd(const Client& client) {
    if (client.unread()) CHECK(relay.DrainMs() >= 3550);
  }
  // The time passes while the relay stands still.
  void Pass(Clock::duration span) {
    const auto until = Clock::now() + span;
    world.Until([&] { return Clock::now() >= until; },
                std::chrono::ceil<std::chrono::milliseconds>(span) + 5s);
  }
};

// A host with room for one connection that nobody has accepted: a stranger in it keeps the relay's
// connecting.
struct Narrow {
  Socket listener = Socket::Listen(0);
  Socket stranger;

  Narrow(World& world, const std::string& id, int cell) {
    world.AddHost(id, cell);
    world.SetPort(id, listener.port());
  }
  void Fill() { stranger = Socket::Connect(listener.port()); }
  // Lets the stranger in, and then the relay's connection, which its system tries again.
  Socket AcceptLate() {
    const Socket first = listener.Accept(5s);
    return listener.Accept(5s);
  }
};

}  // namespace oxbowspread::testing
