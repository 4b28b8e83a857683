// Fixtures of the race tests: a relay that can be suspended while events queue up for it, and a host that
// delays the relay's connections.
#pragma once

#include <catch2/catch.hpp>

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

// A host with a listen backlog of one connection. While another connection fills the backlog, the relay's
// connection is not established.
struct FullBacklogHost {
  Socket listener = Socket::Listen(0);
  Socket backlog_connection;

  FullBacklogHost(StubServices& stubs, const std::string& id, int destination) {
    stubs.AddHost(id, destination);
    stubs.SetPort(id, listener.port());
  }
  void FillBacklog() { backlog_connection = Socket::Connect(listener.port()); }
  // Accepts the connection that fills the backlog and then the relay's connection, which the relay's kernel
  // retries. Returns the latter.
  Socket AcceptRelayConnection() {
    const Socket accepted_first = listener.Accept(5s);
    return listener.Accept(5s);
  }
};

}  // namespace oxbowspread::testing
