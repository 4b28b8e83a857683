// The platform's rules, checked on the stream of what crossed between the parties, as it happens. Knows
// nothing of the relay's inside nor of the model's: what it can't see it can't forgive. No I/O.
//
// A drain counts as told when discovery writes it to a relay, and at the latest `known_within` after
// discovery had it and could be reached and the relay's process was up, whether or not it was written.
//
// Left out: messages in order, which this platform has none of.
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

// The figures of the rules: spans in microseconds.
struct Rules {
  enum class Semantics { kIdempotent, kDeduplicated, kAtMostOnce };
  Semantics semantics = Semantics::kDeduplicated;
  bool repeats_bound_to_zone = true;  // kDeduplicated: only hosts of one zone drop repeats
  Time repeat_window{10'000'000};
  int most_attempts = 12;
  Time drain_grace{250'000};
  Time known_within{6'000'000};     // a change counts as told, though it never came
  Time wait_let_through{100'000};   // calls that were on their way when the wait was told
  Time end_within{300'000};         // past a message's time, its end still counts
  Time end_after_ready{1'500'000};  // after a restart no end is overdue for so long
  Time slack{50'000};               // every time limit on sockets is so much longer
  Time tip_after{3'000'000};        // how long a push must last to tip a cold host
  double pushers = 2.0 / 3;         // share of the push from relays that knew
};

struct Breach {
  Time at{0};
  std::string rule;     // one of kRules
  std::string message;  // id, or the host for a push-over
  std::string events;   // those that broke it, in words
};

inline constexpr const char* kRules[] = {
    "unknown-message", "wrong-destination",  "two-legs", "repeat", "attempts",  "drain", "wait",
    "after-end",       "refused-after-risk", "two-ends", "lost",   "push-over", "trace"};

class Checker {
 public:
  explicit Checker(const Rules& rules) : rules_(rules) {}

  // In the order of time. An event before the one seen last breaks "trace" and is otherwise passed over.
  void See(const Event& event);
  // After the last event. Without a kEnd among them the trace is cut short: what was owed then is undecided,
  // not lost.
  void Finish();

  const std::vector<Breach>& breaches() const { return breaches_; }
  bool cut_short() const { return !ended_; }
  std::size_t undecided() const { return undecided_; }  // owed when the trace was cut short
  std::uint64_t calls() const { return calls_; }
  std::size_t held() const { return ids_.size(); }  // for tests of its memory

 private:
  struct Open {
    std::string host;
    Time at{0};
    int zone = -1;
  };
  struct Id {
    int relay = -1, destination = -1, attempts = 0;
    Time until{0}, taken_at{-1};
    bool left = false, delivered = false, noticed = false, deferred = false;
    std::vector<Open> out;
    bool risk = false;
    Time risk_at{0};
    int risk_zone = -1;
    Time ended_at{-1};
    Time due{-1};  // its place in due_; below 0: none
  };
  struct Wait {
    Time told{0}, until{0};
  };
  struct Relay {
    bool ready = false, restarting = false;
    bool running = false;     // its process, from when it was first ready
    bool terminated = false;  // that process was told to end
    Time ready_at{0};
    Time up_since{0};                    // its process
    std::map<std::string, Time> not_up;  // since when told
    std::map<std::string, Wait> waits;
    std::set<std::string> knows;  // hosts at which it saw a call fail or be refused during their outage
  };
  struct Push {
    Time at{0};
    bool knew = false;
  };
  struct Host {
    bool outage = false, cold = false;
    std::deque<Push> pushes;
  };

  void Break(const Event& event, const char* rule, const std::string& id, const std::string& events);
  void Called(const Event& event);
  void CheckDrain(const Event& event, const Relay& relay);
  void Ended(const Event& event);
  void Noticed(const Event& event);
  void Ready(const Event& event);
  void Dead(const Event& event);
  void Fell(const Event& event);
  void MayHaveRun(Id& id, const Open& call);
  void Owe(const std::string& name, Id& id, Time due);
  void Settle(const std::string& name, Id& id);  // its end was seen
  void Overdue(Time now);
  Relay& Of(int relay) { return relays_[relay]; }

  Rules rules_;
  Time now_{0};
  bool ended_ = false;
  std::map<std::string, Id> ids_;
  std::set<std::pair<Time, std::string>> due_;     // when each one taken on must have ended
  std::deque<std::pair<Time, std::string>> over_;  // to be forgotten
  std::map<int, Relay> relays_;
  std::map<std::string, Host> hosts_;
  DiscoveryState discovery_;
  std::vector<Breach> breaches_;
  std::size_t undecided_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace oxbowspread::check
