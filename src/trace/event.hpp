// What crossed between clients, relays, endpoints, discovery and the platform, as one stream of events in
// the order of time. Written by whoever stands between them; read by the checker and the tally, and kept as
// lines of JSON. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace oxbowspread::trace {

using Time = std::chrono::microseconds;  // since the start of the run

struct Event {
  enum class Kind {
    kAsked,       // a client's message became due: message, destination, until
    kHanded,      // and was written to a relay: message, id, relay, destination, until
    kTaken,       // +OK was read by its client: id
    kTurnedAway,  // -BUSY was: id, wait
    kLeft,        // the client gave up waiting for the answer, or its connection broke: id
    kGivenUp,     // the client comes no more: message
    kCalled,    // a call's last byte came to a host: id, relay, host, destination and zone of the host, fresh
    kAnswered,  // its answer was written: id, relay, host, status, wait, over_limit
    kDropped,   // its connection ended first: id, relay, host
    kNoticed,   // the platform was told: id, relay, deferred, wait
    kTold,      // discovery wrote to a relay what a host is: relay, host, up
    kReady,     // a relay answers: relay
    kTerminated,  // it got SIGTERM: relay
    kDead,        // its process is gone: relay
    kStopped,     // it got SIGSTOP; kReady when it goes on, though it may be ending: relay
    kOutage,      // a host shuts, or fails most calls: host
    kBack,        // it is back, cold: host
    kFell,        // it was pushed over: host
    kChanged,     // discovery has it that a host is up, or drains or is gone: host, up
    kDiscovery,   // whether discovery can be reached from now on: up
    kEnd,         // the run's regular end
  };

  Time at{0};
  Kind kind = Kind::kEnd;
  std::uint64_t message = 0;  // of the run; all hand-ins of one message share it
  std::string id;             // of one hand-in
  int relay = -1;
  std::string host;
  int destination = -1;
  int zone = -1;
  Time until{0};  // when the message's time is up
  Time wait{0};   // told; 0: none
  int status = 0;
  bool fresh = false;       // on a connection that had carried no call before
  bool over_limit = false;  // turned away since the host's limit was used up
  bool deferred = false;    // else undeliverable
  bool up = false;          // else draining or gone
};

const char* NameOf(Event::Kind kind);

// One line without its end. Fields at their default are left out.
std::string ToLine(const Event& event);
// Throws std::runtime_error in one line on what is no event.
Event FromLine(const std::string& line);

}  // namespace oxbowspread::trace
