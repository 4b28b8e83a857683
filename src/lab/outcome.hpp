// What one played day came to, on sockets or on a virtual clock.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "check/checker.hpp"
#include "check/list_delay.hpp"
#include "check/tally.hpp"

namespace oxbowspread::lab {

struct Outcome {
  check::Figures figures;
  std::vector<check::Breach> breaches;
  bool cut_short = false;
  std::string crash;                      // of a relay, in its own words or the system's; empty: none
  std::string spoilt;                     // why the run tells nothing of the relays; empty: it does
  trace::Time length{0};                  // of the day, to its last end
  trace::Time lateness{0};                // of the load, at most; 0 on a virtual clock
  std::uint64_t turns = 0;                // Steps of all relays; on a virtual clock only
  std::uint64_t most_held = 0;            // messages at one relay; on a virtual clock only
  trace::Time cpu{0};                     // of all relays; on sockets only
  std::uint64_t peak_kb = 0;              // of the largest relay; on sockets only
  trace::Time worst_news{0};              // until a relay was told of a drain: see check::ListDelay
  std::vector<std::uint64_t> list_calls;  // at discovery, second by second; on sockets only

  bool clean() const { return breaches.empty() && crash.empty() && spoilt.empty() && !cut_short; }
};

using OnTrace = std::function<void(const trace::Event&)>;

// Sees all that crosses on one day: the checker, the tally, and whoever keeps the trace, in this order.
class Witness {
 public:
  // `trace` may be empty.
  Witness(const check::Rules& rules, const check::Scoring& scoring, OnTrace trace)
      : checker_(rules), tally_(scoring), trace_(std::move(trace)) {}

  // In the order of time.
  void Observe(const trace::Event& event) {
    checker_.Observe(event);
    tally_.Observe(event);
    list_delay_.Observe(event);
    if (trace_) trace_(event);
  }
  // After the last event: what was seen goes into the outcome, the rest of which is left as it is.
  void Conclude(Outcome* outcome) {
    checker_.Finish();
    outcome->breaches = checker_.breaches();
    outcome->cut_short = checker_.cut_short();
    outcome->figures = tally_.ComputeFigures();
    outcome->worst_news = list_delay_.worst();
  }

 private:
  check::Checker checker_;
  check::Tally tally_;
  check::ListDelay list_delay_;
  OnTrace trace_;
};

}  // namespace oxbowspread::lab
