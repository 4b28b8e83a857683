// Interfaces between the relay core and the rest of the process: clock, clients, endpoints and notices. They
// are independent of any protocol, so that another client protocol can implement the same interfaces.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "journal/entry.hpp"
#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

using wheathub::Time;

// How long a client waits for its answer. After that it submits the message to another relay, and this relay
// is no longer responsible for the message.
inline constexpr std::chrono::milliseconds kClientTimeout{400};

// Time source and wake-up timer of the core.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time Now() const = 0;      // monotonic
  virtual Time UnixNow() const = 0;  // Unix time, comparable across restarts
  // Calls Relay::ProcessEvents at `moment`. Replaces any earlier request.
  virtual void WakeAt(Time moment) = 0;
};

// Receives the answer to a submitted message. Must exist until it has been answered, or until Relay::Withdraw
// was called for it.
class Client {
 public:
  virtual ~Client() = default;
  // Called when the message is accepted. Returns false if the client has disconnected, in which case the
  // message must not be kept.
  virtual bool OnAccepted() = 0;
  // Called when the message is rejected. The client may submit it again after `retry_after`; 0 means no
  // advice.
  virtual void OnRejected(Time retry_after) = 0;
};

// A host as listed by discovery: the properties that the decision module uses, and the address.
struct Host {
  wheathub::EndpointInfo info;
  std::string address;
  bool state_only = false;  // the entry was unreadable except for its id and state
};

// A whole routing table or a change of it, depending on `scope`.
struct RoutingChange {
  wheathub::ListScope scope = wheathub::ListScope::kChanges;
  std::int64_t revision = 0;
  std::vector<Host> hosts;
};

// Identifies an attempt.
struct AttemptId {
  std::string id;  // message id
  int number = 0;

  auto operator<=>(const AttemptId&) const = default;
};

// An attempt to be run by the endpoint transport. Times are monotonic.
struct AttemptRequest {
  AttemptId attempt;
  std::string host;
  std::string key;
  std::string body;
  Time timeout_at{0};
  // The first byte must not be written after this time, because a repeated attempt must begin inside the
  // repeat window of its class.
  Time write_deadline{0};
};

// How an attempt ended.
struct AttemptResult {
  wheathub::Outcome outcome = wheathub::Outcome::kServed;
  bool ends_message = false;  // the endpoint requires no further attempt for the message
  // How long the endpoint asked to wait before the next attempt; 0 if it did not.
  Time retry_after{0};
};

// Runs attempts against endpoints.
class EndpointTransport {
 public:
  virtual ~EndpointTransport() = default;
  // Updates the known hosts and their addresses.
  virtual void ApplyRoutingChange(const RoutingChange& change) = 0;
  // Starts an attempt. Exactly one Relay::AttemptEnded follows, possibly from within this call.
  virtual void StartAttempt(AttemptRequest request) = 0;
  // Cancels an attempt. If its response has arrived but was not read yet, Relay::AttemptEnded is called from
  // within this call. Returns true if the attempt has ended; no further Relay::AttemptEnded follows then.
  // Returns false if the attempt runs in another process, which was asked to cancel it: the attempt stays in
  // flight until Relay::AttemptEnded reports its end.
  virtual bool CancelAttempt(const AttemptId& attempt) = 0;
  // Closes the idle connections to a host.
  virtual void CloseIdle(const std::string& host) = 0;
  // Sets the time at which the routing table expires. From then on no attempt is written, not even one that
  // was started earlier, until a later expiry time is set.
  virtual void SetListValidUntil(Time moment) = 0;
};

// Sends notices about undelivered messages to the platform.
class NoticeSender {
 public:
  virtual ~NoticeSender() = default;
  // Sends the notice repeatedly until the platform accepts it, and then calls Relay::NoticeAccepted.
  virtual void Post(const std::string& id, const journal::Ending& ending) = 0;
};

}  // namespace oxbowspread::relay
