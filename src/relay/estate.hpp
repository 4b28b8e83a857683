// What one process of a relay gives over to the next, beside the lasting folder. Moments are monotonic, of
// the machine that both run on, in microseconds. Plain values, owned by whoever holds them.
#pragma once

#include <string>
#include <vector>

#include "relay/ports.hpp"
#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

// An attempt that goes on in the process that gives over.
struct AttemptOut {
  std::string id;  // of its message, which has one at most
  std::string host;
  Time begun{0};
  Time ends_at{0};  // its message's time; 0: an older process does not tell
};

struct HostWait {
  std::string host;
  Time told_at{0}, until{0};
};

// A wait told at an address, whichever host stands there.
struct AddressWait {
  std::string address;
  Time until{0};
};

struct Estate {
  RoutingChange table;  // as discovery listed it, with its revision
  std::vector<wheathub::Belief> beliefs;
  std::vector<AttemptOut> out;
  std::vector<HostWait> waits;
  std::vector<AddressWait> address_waits;  // none from an older process
  Time list_valid_until{0};                // 0: the process that gives over can't tell
};

}  // namespace oxbowspread::relay
