// The journal entry of an accepted message. Times are in microseconds, points in time in Unix time.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "wheathub/decide.hpp"

namespace oxbowspread::journal {

using Time = std::chrono::microseconds;

// A message as a client submitted it.
struct Message {
  std::string id;
  std::string key;         // idempotency key; empty if there is none
  std::string class_name;  // name of the class in the settings
  // The class as it was when the message was accepted; empty if an early version, which did not store it,
  // wrote the record.
  std::optional<wheathub::MessageClass> class_settings;
  std::int64_t destination = 0;
  Time deadline{0};          // Unix time
  bool resubmitted = false;  // the client may have submitted the message before
  std::string body;
};

// How an undelivered message has ended. The platform is notified until it answers with status 204.
struct Ending {
  bool deferred = false;            // never ran, may be submitted again; if false: undeliverable
  std::int64_t retry_after_ms = 0;  // suggested wait before that, if deferred; 0 means no advice
};

// One attempt of a message.
struct Attempt {
  std::string host;
  int zone = 0;
  Time started_at{0};  // Unix time
};

// An open message with the history of its attempts.
struct Entry {
  Message message;
  int attempts = 0;                        // number of attempts begun, including one in flight
  std::optional<Attempt> open_attempt;     // the attempt in flight
  std::optional<Attempt> first_uncertain;  // the first attempt that may have run the message at the endpoint
  std::string last_host;                   // host of the last attempt; empty if there is none
  std::optional<Ending> ending;  // present if the message has ended and its notice is not accepted yet

  // An attempt that is still open then has no recorded end, because the process was killed. It may have run.
  void BeginAttempt(const Attempt& attempt) {
    if (open_attempt) EndAttempt(true);
    ++attempts;
    open_attempt = attempt;
    last_host = attempt.host;
  }
  void EndAttempt(bool may_have_run) {
    if (may_have_run && !first_uncertain) first_uncertain = open_attempt;
    open_attempt.reset();
  }
};

}  // namespace oxbowspread::journal
