// What the journal knows of one message that the relay has taken on.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "wheathub/decide.hpp"

namespace oxbowspread::journal {

using Time = std::chrono::microseconds;

struct Message {
  std::string id;
  std::string key;         // idempotency key; empty: none
  std::string class_name;  // as in the settings
  // The class as it was when this was taken on; nothing in a journal of an early version.
  std::optional<wheathub::MessageClass> rules;
  std::int64_t destination = 0;
  Time ends_at{0};  // Unix time
  bool again = false;
  std::string body;
};

// How a message that was not delivered has ended; owed to the platform until it says 204.
struct Ending {
  bool deferred = false;  // else undeliverable
  std::int64_t again_ms = 0;
};

struct Attempt {
  std::string host;
  int zone = 0;
  Time at{0};  // Unix time
};

struct Entry {
  Message message;
  int attempts = 0;  // begun, those that are out included
  std::optional<Attempt> open;
  std::optional<Attempt> first_risk;  // the first attempt that may have run
  std::string last_host;
  std::optional<Ending> ending;

  void BeginAttempt(const Attempt& attempt) {
    ++attempts;
    open = attempt;
    last_host = attempt.host;
  }
  void EndAttempt(bool may_have_run) {
    if (may_have_run && !first_risk) first_risk = open;
    open.reset();
  }
};

}  // namespace oxbowspread::journal
