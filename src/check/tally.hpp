// The figures of a run: the service score as the platform's operators compute it, and its cost. Reads the
// same events as the checker. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trace/event.hpp"

namespace oxbowspread::check {

// How the worth of a message falls with its delay, and what is deducted from the service score. Times are in
// microseconds, prices in units of the score (1 is the full score).
struct Scoring {
  trace::Time aim{3'000'000};
  trace::Time deadline{16'000'000};
  double late_value = 0.5;  // worth halves with each further aim, down to this value
  trace::Time worst_window{10'000'000};
  double overall_weight = 0.75;  // weight of worth_share in the score; the rest is that of worst_window_share
  // Price of one such event, if it happened once for each message of the run.
  double over_limit_price = 0;
  double new_connection_price = 0;
  double late_failure_price = 0;
  std::vector<double> zone_fees;  // by zone; the event is a delivery in it
  // By host id, in calls per second. Used for worst_limit_excess only; may be empty.
  std::map<std::string, double> host_limits;
};

// The counts of one destination.
struct DestinationFigures {
  std::uint64_t messages_due = 0, delivered = 0, calls = 0, refused = 0, errors = 0;
};

// All figures of a run.
struct Figures {
  std::uint64_t messages_due = 0;  // messages that became due
  std::uint64_t accepted = 0;      // of these, accepted at least once
  // Of these, a host answered 200 within the deadline to a submission for which the client received +OK. An
  // answer after the client stopped waiting for +OK doesn't count.
  std::uint64_t delivered = 0;
  std::uint64_t within_aim = 0;  // of these, within the aim
  std::uint64_t undelivered = 0;
  std::uint64_t rejected = 0;                     // -BUSY answers
  std::uint64_t unanswered = 0;                   // submissions without an answer
  std::uint64_t deferred = 0, undeliverable = 0;  // notices
  std::uint64_t calls = 0, new_connections = 0, over_limit = 0, refused_calls = 0, errors = 0, dropped = 0;
  double worth_share = 0;         // delivered worth over the worth of all messages
  double worst_window_share = 0;  // the same for messages that were due in the worst window
  double deductions = 0;          // sum of all prices
  double service_score = 0;       // weighted shares less deductions
  double calls_per_message = 0;
  // Milliseconds from when the message was due.
  double accept_p50_ms = 0, accept_p99_ms = 0, deliver_p50_ms = 0, deliver_p99_ms = 0;
  // Percentile of the delay of delivery ("50", "75", ... "99.9") and its value.
  std::vector<std::pair<std::string, double>> deliver_ms;
  std::uint64_t repeats = 0;  // calls beyond the first of a message, over all its submissions
  std::map<int, DestinationFigures> by_destination;
  // Delivered worth over possible worth, by the second in which messages were due; -1: no message was due.
  std::vector<double> worth_by_second;
  // Most calls that a host refused within one second because of its limit, over that limit.
  double worst_limit_excess = 0;
  double fairness = 1;  // Jain's index of worth per message, by the first relay that each was submitted to
  std::uint64_t collapsed_hosts = 0;  // cold hosts that collapsed under load
};

// Counts the events of a run.
class Tally {
 public:
  explicit Tally(const Scoring& scoring) : scoring_(scoring) {}
  // Events come in order of time.
  void Observe(const trace::Event& event);
  Figures ComputeFigures() const;

 private:
  struct Message {
    trace::Time due{0}, accepted_at{-1}, delivered_at{-1};
    int destination = -1;
    std::uint32_t calls = 0;
    int relay = -1;  // the first relay that it was submitted to
  };
  struct Submission {
    std::uint64_t message = 0;
    bool accepted = false, unanswered = false;
    trace::Time served_at{-1};
  };
  void RecordDelivery(std::uint64_t number, trace::Time at);
  double Worth(const Message& message) const;
  void RecordOverLimit(const std::string& host, trace::Time at);

  Scoring scoring_;
  std::unordered_map<std::uint64_t, Message> messages_;  // ComputeFigures sorts them by number
  std::unordered_map<std::string, Submission> submissions_;
  std::map<int, DestinationFigures> by_destination_;
  std::vector<double> deliveries_by_zone_;
  // By host: when it last refused a call above its limit, and how many it refused in that second.
  std::map<std::string, std::pair<trace::Time, double>> over_limit_calls_;
  Figures counts_;
  std::uint64_t late_failures_ = 0;
};

// The quantile `share` (0 to 1) of the values, which are reordered; 0 if there are none.
double Quantile(std::vector<double>* values, double share);

}  // namespace oxbowspread::check
