// Tracks the outcome of every message of a run, as clients, endpoints and the platform report it. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oxbowspread::standin {

using Time = std::chrono::microseconds;

// The counts of a run: numbers of messages, unless a comment says otherwise.
struct Totals {
  std::int64_t due = 0;          // messages that became due
  std::int64_t accepted = 0;     // of these, accepted (+OK) at least once
  std::int64_t delivered = 0;    // of the accepted ones, an endpoint answered 200
  std::int64_t failed = 0;       // of the accepted ones, ended by a notice and not delivered
  std::int64_t rejected = 0;     // answered -BUSY and given up by their client
  std::int64_t unanswered = 0;   // no answer in time, or no relay reachable, and given up by their client
  std::int64_t resubmitted = 0;  // submissions after the first one of a message
  std::int64_t lost = 0;         // ids that were accepted and have no end
  std::int64_t ended_twice = 0;  // delivered more than once, or with two different notices for one id
  std::int64_t noticed_after_delivery = 0;    // notices for delivered messages, which are harmless
  std::int64_t duplicate_calls = 0;           // calls that a host recognised by their key and did not execute
  std::vector<double> accept_ms, deliver_ms;  // of accepted and delivered messages, since they became due
};

// Returns the value below which `share` (0 to 1) of the values lie; 0 if there are none.
double Percentile(std::vector<double> values, double share);

// The stand-ins report each event to it. Not safe for use by several threads.
class MessageTracker {
 public:
  // `message` numbers the messages of the run; its idempotency key is KeyOf(message).
  void RecordDue(std::uint64_t message, Time now);
  void RecordSubmission(std::uint64_t message, const std::string& id);
  void RecordAccepted(const std::string& id, Time now);
  enum class GiveUpReason { kRejected, kUnanswered };
  void RecordGivenUp(std::uint64_t message, GiveUpReason reason);

  // Called by an endpoint when it writes 200. Returns false if a call with the key was executed before.
  bool RecordDelivery(const std::string& id, const std::string& key, Time now);
  void RecordNotice(const std::string& id, const std::string& status);

  // Ids that were accepted and are neither delivered nor ended by a notice so far.
  std::vector<std::string> PendingIds() const;
  // Totals of the messages that became due at `since` or later; pending ids are counted in any case.
  Totals ComputeTotals(Time since = Time(0)) const;

  static std::string KeyOf(std::uint64_t message);

 private:
  struct Message {
    Time due{0};
    std::set<std::string> ids;
    bool accepted = false, rejected = false, unanswered = false;
    int executions = 0;
    Time accepted_at{0}, delivered_at{0};
  };
  struct Submission {
    std::uint64_t message = 0;
    bool accepted = false, delivered = false, noticed_after_delivery = false;
    std::set<std::string> notices;
  };

  std::map<std::uint64_t, Message> messages_;
  std::map<std::string, Submission> submissions_;  // by id
  std::int64_t duplicate_calls_ = 0;
};

}  // namespace oxbowspread::standin
