// The outcome of one run of a day, on sockets or on a virtual clock.
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

// The results of a run.
struct Outcome {
  check::Figures figures;
  std::vector<check::Breach> breaches;
  bool cut_short = false;
  std::string crash;           // message of a relay that failed, or how its process ended; empty: none
  std::string invalid_reason;  // why the results are not valid; empty: they are
  trace::Time length{0};       // time of the run at its end
  // Longest delay between a message's due time and its submission; 0 on a virtual clock.
  trace::Time load_lateness{0};
  std::uint64_t steps = 0;  // steps of the decision modules of all relays; on a virtual clock only
  std::uint64_t max_held_messages = 0;  // at one relay; on a virtual clock only
  trace::Time cpu_time{0};              // of all relays; on sockets only
  std::uint64_t peak_kb = 0;            // resident memory of the largest relay; on sockets only
  // Most memory that counted against one relay's limit: see ProcessMemory. On sockets only, if it was
  // watched.
  std::uint64_t peak_memory_kb = 0;
  trace::Time worst_list_delay{0};                  // until a drain was announced: see check::ListDelay
  std::vector<std::uint64_t> list_calls_by_second;  // calls to discovery; on sockets only

  bool clean() const { return breaches.empty() && crash.empty() && invalid_reason.empty() && !cut_short; }
};

using TraceSink = std::function<void(const trace::Event&)>;

// Passes each event of a run to the checker, the tally, the list delay and the trace, in this order.
class EventObserver {
 public:
  // `trace` may be empty.
  EventObserver(const check::Rules& rules, const check::Scoring& scoring, TraceSink trace)
      : checker_(rules), tally_(scoring), trace_(std::move(trace)) {}

  // Events come in order of time.
  void Observe(const trace::Event& event) {
    checker_.Observe(event);
    tally_.Observe(event);
    list_delay_.Observe(event);
    if (trace_) trace_(event);
  }
  // Must be called after the last event. Sets the fields that follow from the events and leaves the others.
  void Finish(Outcome* outcome) {
    checker_.Finish();
    outcome->breaches = checker_.breaches();
    outcome->cut_short = checker_.cut_short();
    outcome->figures = tally_.ComputeFigures();
    outcome->worst_list_delay = list_delay_.worst();
  }

 private:
  check::Checker checker_;
  check::Tally tally_;
  check::ListDelay list_delay_;
  TraceSink trace_;
};

}  // namespace oxbowspread::lab
