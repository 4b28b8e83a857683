// Trace events: what clients, relays, endpoints, discovery and the platform exchanged during a run, as one
// stream in order of time. The platform model writes them; the checker and the tally read them. A trace is
// stored as one JSON object a line. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace oxbowspread::trace {

using Time = std::chrono::microseconds;  // since the start of the run

// One exchange between two parties, or a change of one party's state.
struct Event {
  // Each kind lists the fields that it sets in addition to `at`.
  enum class Kind {
    kMessageDue,  // a client's message became due: message, destination, deadline
    kSubmitted,   // a message was written to a relay: message, id, relay, destination, deadline
    kAccepted,    // the client read +OK: id
    kRejected,    // the client read -BUSY: id, retry_after
    kUnanswered,  // the client stopped waiting for the answer, or its connection broke: id
    kAbandoned,   // the client will not submit the message again: message
    kCalled,      // a host received the last byte of a call: id, relay, host, destination, zone of the host,
                  // new_connection
    kAnswered,    // a host wrote its answer to a call: id, relay, host, status, retry_after, over_limit
    kConnectionLost,  // the connection of a call closed before its answer: id, relay, host
    kNoticeReceived,  // the platform received the notice of a message's end: id, relay, deferred, retry_after
    kHostAnnounced,   // discovery wrote the state of a host to a relay: relay, host, up
    kReady,           // a relay answers commands: relay
    kTerminating,     // a relay got SIGTERM: relay
    kExited,          // a relay's process has ended: relay
    kSuspended,       // a relay got SIGSTOP: relay. Followed by kReady when the process continues, even if it
                      // is terminating
    kHostOutage,      // a host begins to refuse all calls or to fail many of them: host
    kHostRecovered,   // the outage has ended and the host is cold: host
    kHostCollapsed,   // a cold host collapsed under load: host
    kHostChanged,     // discovery's list changed: a host is up, or is draining or removed: host, up
    kDiscoveryReachable,  // whether discovery can be reached from now on: up
    kEnd,                 // the regular end of the run
  };

  Time at{0};
  Kind kind = Kind::kEnd;
  std::uint64_t message = 0;  // number within the run; all submissions of one message share it
  std::string id;             // of one submission
  int relay = -1;
  std::string host;
  int destination = -1;
  int zone = -1;
  Time deadline{0};     // of the message
  Time retry_after{0};  // wait that the answer or notice asked for; 0: none
  int status = 0;
  bool new_connection = false;  // the call is the first one on its connection
  bool over_limit = false;      // refused because the host's rate limit was used up
  bool deferred = false;        // false: undeliverable
  bool up = false;              // false: draining, removed or not reachable
};

// The name of the kind in a stored trace.
const char* NameOf(Event::Kind kind);

// One JSON object without a line end. Fields at their default are left out.
std::string ToJsonLine(const Event& event);
// Throws std::runtime_error with a message of one line if `line` is not an event.
Event ParseJsonLine(const std::string& line);

}  // namespace oxbowspread::trace
