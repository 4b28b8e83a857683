// What the journal knows of one authorisation that the relay has taken on.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "wheathub/decide.hpp"

namespace oxbowspread::journal {

using Time = std::chrono::microseconds;

struct Authorisation {
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

// How an authorisation that was not delivered has ended; owed to the platform until it says 204.
struct Ending {
  bool deferred = false;  // else undeliverable
  std::int64_t again_ms = 0;
};

struct Leg {
  std::string host;
  int zone = 0;
  Time at{0};  // Unix time
};

struct Entry {
  Authorisation authorisation;
  int legs = 0;  // begun, those that are out included
  std::optional<Leg> open;
  std::optional<Leg> first_risk;  // the first leg that may have run
  std::string last_host;
  std::optional<Ending> ending;

  void BeginLeg(const Leg& leg) {
    ++legs;
    open = leg;
    last_host = leg.host;
  }
  void EndLeg(bool may_have_run) {
    if (may_have_run && !first_risk) first_risk = open;
    open.reset();
  }
};

}  // namespace oxbowspread::journal
