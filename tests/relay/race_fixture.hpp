// Fixture of the race tests: a relay that can be suspended while events queue up for it.
#pragma once

#include <catch2/catch.hpp>

#include "full_backlog_host.hpp"
#include "relay_harness.hpp"

namespace oxbowspread::testing {

// One relay and one host, "a" of destination 7.
struct RelayFixture {
  StubServices stubs;
  RelayProcess relay{stubs};

  RelayFixture() { stubs.AddHost("a", 7); }
  // Waits until that counter of the relay is at least `count`.
  void WaitForCounter(Client& client, const char* counter, long count) {
    stubs.WaitUntil([&] { return client.Counters()[counter] >= count; });
  }
  // Checks, after the relay's exit, that the connection was not reset before the exit at the time limit,
  // which is 3550 ms after SIGTERM. At that time a reset is allowed: it shows the client that its request was
  // not read, and the client repeats the request.
  void CheckResetOnlyAtExit(const Client& client) {
    if (client.was_reset()) CHECK(relay.DrainMs() >= 3550);
  }
  // Serves the stubs for that time, also while the relay is suspended.
  void WaitFor(Clock::duration span) {
    const auto until = Clock::now() + span;
    stubs.WaitUntil([&] { return Clock::now() >= until; },
                    std::chrono::ceil<std::chrono::milliseconds>(span) + 5s);
  }
};

}  // namespace oxbowspread::testing
