// A stub endpoint that delays the relay's connections.
#pragma once

#include <string>

#include "relay_harness.hpp"

namespace oxbowspread::testing {

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
