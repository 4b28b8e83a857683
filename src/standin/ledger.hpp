// What became of every message of a run, as its clients, its endpoints and the platform saw it. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oxbowspread::standin {

using Time = std::chrono::microseconds;

struct Totals {
  std::int64_t asked = 0;       // messages that became due
  std::int64_t taken = 0;       // of these, taken on (+OK) at least once
  std::int64_t delivered = 0;   // of the taken ones, 200 was written for them
  std::int64_t failed = 0;      // of the taken ones, ended by a notice and not delivered
  std::int64_t refused = 0;     // answered -BUSY and given up by their client
  std::int64_t unanswered = 0;  // no answer in time, or no relay to be had, and given up by their client
  std::int64_t handed_in_again = 0;
  std::int64_t lost = 0;                      // an id was taken on and has no end
  std::int64_t answered_twice = 0;            // more than one effect, or two different notices of one id
  std::int64_t noticed_after = 0;             // a notice for one that was delivered, which does no harm
  std::int64_t repeats = 0;                   // calls that a host recognised by key: no second effect
  std::vector<double> accept_ms, deliver_ms;  // of taken and delivered, from when the message was due
};

// The value below which that share (0 to 1) lies; 0 of none. Milliseconds in, milliseconds out.
double Percentile(std::vector<double> values, double share);

class Ledger {
 public:
  // `message` numbers the messages of the run; its idempotency key is KeyOf(message).
  void Due(std::uint64_t message, Time now);
  void HandIn(std::uint64_t message, const std::string& id);
  void Taken(const std::string& id, Time now);
  enum class End { kRefused, kUnanswered };
  void GivenUp(std::uint64_t message, End end);

  // At an endpoint, when 200 is written. False if the key has had its effect already.
  bool Called(const std::string& id, const std::string& key, Time now);
  void Noticed(const std::string& id, const std::string& status);

  // Taken on and neither delivered nor noticed so far.
  std::vector<std::string> Owed() const;
  // Of the messages that became due then or later; what is owed counts in any case.
  Totals Sum(Time since = Time(0)) const;

  static std::string KeyOf(std::uint64_t message);

 private:
  struct Message {
    Time due{0};
    std::set<std::string> ids;
    bool taken = false, refused = false, unanswered = false;
    int effects = 0;
    Time taken_at{0}, delivered_at{0};
  };
  struct Id {
    std::uint64_t message = 0;
    bool taken = false, delivered = false, noticed_after = false;
    std::set<std::string> notices;
  };

  std::map<std::uint64_t, Message> messages_;
  std::map<std::string, Id> ids_;
  std::int64_t repeats_ = 0;
};

}  // namespace oxbowspread::standin
