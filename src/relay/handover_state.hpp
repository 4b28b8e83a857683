// State that a relay process transfers to its successor in a handover, in addition to the files in the state
// folder. Times are monotonic, in microseconds; both processes run on the same machine and share that clock.
// All types are plain values that reference nothing.
#pragma once

#include <string>
#include <vector>

#include "relay/ended_messages.hpp"
#include "relay/ports.hpp"
#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

// An attempt that continues in the process that initiated it, after that process has handed over.
struct InFlightAttempt {
  std::string id;  // message id; a message has at most one attempt in flight
  std::string host;
  Time started_at{0};
  Time message_deadline{0};  // 0 if the sender is of an older version, which does not transfer it
};

// A wait that a host requested with Retry-After: no attempt may be sent to the host before `until`.
struct HostWait {
  std::string host;
  Time received_at{0}, until{0};
};

// A wait that was requested by a response from an address. It applies to any host with that address.
struct AddressWait {
  std::string address;
  Time until{0};
};

// Everything that the core and the endpoint pool of the successor need.
struct HandoverState {
  RoutingChange routing_table;  // as listed by discovery, with its revision
  std::vector<wheathub::LearnedState> learned_states;
  std::vector<InFlightAttempt> in_flight;
  std::vector<HostWait> host_waits;
  std::vector<AddressWait> address_waits;    // empty if the sender is of an older version
  std::vector<EndedMessage> ended_messages;  // empty if the sender is of an older version
  Time list_valid_until{0};  // 0 if the sender is of an older version, which does not transfer it
};

}  // namespace oxbowspread::relay
