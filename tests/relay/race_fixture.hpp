// Shared by the race tests: a relay that can be suspended while events queue up for it, and a host that
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
  void WaitForCounter(Client& client, const char* counter, long count) {
    stubs.WaitUntil([&] { return client.Counters()[counter] >= count; });
  }
  // A connection may be reset over an unread request only when the relay exits at its time limit, 3550 ms
  // after SIGTERM. The client then repeats the request.
  void CheckResetOnlyAtExit(const Client& client) {
    if (client.was_reset()) CHECK(relay.DrainMs() >= 3550);
  }
  // Serves the stubs for this time, also while the relay is suspended.
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

  FullBacklogHost(StubServices& stubs, const std::string& id, int cell) {
    stubs.AddHost(id, cell);
    stubs.SetPort(id, listener.port());
  }
  void FillBacklog() { backlog_connection = Socket::Connect(listener.port()); }
  // Accepts the connection in the backlog and then the relay's, which the relay's kernel retries.
  Socket AcceptRelayConnection() {
    const Socket accepted_first = listener.Accept(5s);
    return listener.Accept(5s);
  }
};

}  // namespace oxbowspread::testing
