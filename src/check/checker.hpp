// Checks the platform's rules on the events that clients, relays, endpoints, discovery and the platform
// exchange. It sees neither the state of the relays nor that of the model, so it judges the relays only by
// what they exchanged with the other parties. No I/O.
//
// A drain counts as announced to a relay when discovery writes it to the relay. Even if it is never written,
// it counts as announced `max_announcement_delay` after the first moment at which discovery's list contained
// it, discovery could be reached and the relay's process was up.
//
// The order of messages is not checked, since this platform does not promise one.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "check/discovery_state.hpp"
#include "trace/event.hpp"

namespace oxbowspread::check {

using trace::Event;
using trace::Time;

// Limits of the rules; times in microseconds.
struct Rules {
  enum class Semantics { kIdempotent, kDeduplicated, kAtMostOnce };
  Semantics semantics = Semantics::kDeduplicated;
  bool repeats_bound_to_zone = true;  // with kDeduplicated: hosts drop repeats within their own zone only
  Time repeat_window{10'000'000};
  int max_attempts = 12;
  Time drain_grace{250'000};
  // After this time a change counts as announced even if it was never written.
  Time max_announcement_delay{6'000'000};
  Time retry_after_grace{100'000};  // for calls that were in flight when the relay read Retry-After
  Time end_grace{300'000};          // an end counts as in time until this long after the deadline
  Time restart_grace{1'500'000};    // after a restart no end is overdue for this long
  Time slack{50'000};               // added to every time limit, since events on sockets are seen late
  // Overload that lasts this long makes a cold host collapse; calls that are older don't count for push-over.
  Time collapse_after{3'000'000};
  // For push-over: lowest share of the calls before a collapse that came from relays which had seen the host
  // fail.
  double informed_call_share = 2.0 / 3;
};

// A breach of a rule, and the events that caused it.
struct Breach {
  Time at{0};
  std::string rule;     // one of kRules
  std::string message;  // id of the submission; for push-over the host
  std::string events;   // description of the events that broke the rule
};

// The outer names of all rules.
inline constexpr const char* kRules[] = {
    "unknown-message", "wrong-destination",  "two-legs", "repeat", "attempts",  "drain", "wait",
    "after-end",       "refused-after-risk", "two-ends", "lost",   "push-over", "trace"};

// Fed with all events of a run in order of time; collects the breaches.
class Checker {
 public:
  explicit Checker(const Rules& rules) : rules_(rules) {}

  // Events come in order of time. One that is older than its predecessor breaks the rule "trace" and is
  // otherwise ignored.
  void Observe(const Event& event);
  // Must be called after the last event. Without a kEnd event the trace is cut short, and messages whose end
  // is still missing are counted as undecided instead of lost.
  void Finish();

  const std::vector<Breach>& breaches() const { return breaches_; }
  bool cut_short() const { return !run_ended_; }
  // Messages without an end when the trace was cut short.
  std::size_t undecided() const { return undecided_; }
  std::uint64_t calls() const { return calls_; }
  // Lets tests check that memory is bounded.
  std::size_t tracked_submissions() const { return submissions_.size(); }

 private:
  struct OpenCall {
    std::string host;
    Time at{0};
    int zone = -1;
  };
  // The state of one submission id.
  struct Submission {
    int relay = -1, destination = -1, attempts = 0;
    Time deadline{0}, accepted_at{-1};
    bool unanswered = false, delivered = false, notice_received = false, deferred = false;
    std::vector<OpenCall> open_calls;
    bool may_have_run = false;  // the next two members describe the earliest such call
    Time may_have_run_since{0};
    int may_have_run_zone = -1;
    Time ended_at{-1};         // below 0: no end yet
    Time end_expected_by{-1};  // key in expected_ends_; below 0: not in it
  };
  // A Retry-After that a relay received from a host.
  struct Wait {
    Time received_at{0}, until{0};
  };
  struct Relay {
    bool ready = false, restarting = false;
    bool running = false;     // from the first kReady of its process until the process ends
    bool terminated = false;  // the running process got SIGTERM
    Time ready_at{0};
    Time up_since{0};                          // when the process became ready
    std::map<std::string, Time> not_up_since;  // by host: when discovery announced that it is not up
    std::map<std::string, Wait> host_waits;
    std::set<std::string> seen_failing;  // hosts that failed or refused a call of the relay during an outage
  };
  // A call to a host that is cold or has an outage.
  struct RecentCall {
    Time at{0};
    bool relay_saw_failure = false;
  };
  struct Host {
    bool outage = false, cold = false;
    std::deque<RecentCall> recent_calls;
  };

  void ReportBreach(const Event& event, const char* rule, const std::string& id, const std::string& events);
  void OnCalled(const Event& event);
  void CheckDrain(const Event& event, const Relay& relay);
  void OnCallEnded(const Event& event);
  void OnNoticeReceived(const Event& event);
  void OnReady(const Event& event);
  void OnExited(const Event& event);
  void OnHostCollapsed(const Event& event);
  void RecordPossibleExecution(Submission& submission, const OpenCall& call);
  void ExpectEnd(const std::string& id, Submission& submission, Time due);
  void ClearExpectedEnd(const std::string& id, Submission& submission);  // after the end was observed
  // Reports messages whose end is overdue and removes submissions past their retention.
  void CheckOverdue(Time now);
  Relay& GetRelay(int relay) { return relays_[relay]; }

  Rules rules_;
  Time now_{0};
  bool run_ended_ = false;
  std::map<std::string, Submission> submissions_;
  // By when each accepted submission must end, and its id.
  std::set<std::pair<Time, std::string>> expected_ends_;
  std::deque<std::pair<Time, std::string>> expiry_queue_;  // deadline and id, to be removed after kRetention
  std::map<int, Relay> relays_;
  std::map<std::string, Host> hosts_;
  DiscoveryState discovery_;
  std::vector<Breach> breaches_;
  std::size_t undecided_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace oxbowspread::check
