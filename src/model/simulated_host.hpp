// Simulates one endpoint: a call limit, servers with a queue, outages, and reduced capacity after an outage.
// Times are in microseconds since the start of the day and never decrease from one call to the next. No I/O;
// nothing fails.
#pragma once

#include <deque>
#include <queue>
#include <vector>

#include "model/day.hpp"

namespace oxbowspread::model {

class SimulatedHost {
 public:
  // A host that is warming up collapses when it gets `collapse_load_factor` times its present capacity for
  // `collapse_after_s` seconds.
  SimulatedHost(const Host& host, double collapse_load_factor, double collapse_after_s);

  struct CallResult {
    int status = 200;  // 200, 500, or 503 (429 with a Retry-After)
    Time answer_at{0};
    Time retry_after{0};  // 0: none
    bool over_limit = false;
    bool collapsed = false;  // this call made the host collapse
  };
  // Handles a call whose last byte arrives at `now`, which never decreases.
  CallResult HandleCall(Time now, RandomStream& random);

  // From `now` on each call fails with probability `chance`. At 1 and above every call is refused instead,
  // with a Retry-After that ends at `until`. The outage lasts until EndOutage; then the host warms up.
  void StartOutage(Time now, double chance, Time until);
  void EndOutage(Time now);
  // True after a collapse: the host refuses every call until the end of the day.
  bool collapsed() const { return collapsed_; }
  // Share of its full capacity that the host has now: below 1 while it warms up.
  double CapacityShare(Time now) const;
  const Host& host() const { return host_; }

 private:
  CallResult MakeRefusal(Time now, Time retry_after, bool over_limit, RandomStream& random) const;
  bool RecordCallAndCheckCollapse(Time now);
  void RefillTokens(Time now);
  Time LimitFreeAt(Time now) const;  // when an exhausted limit admits a call again
  CallResult RefuseCall(Time now, Time retry_after, bool over_limit, RandomStream& random);

  Host host_;
  double collapse_load_factor_;
  Time collapse_after_;
  double tokens_ = 0, max_tokens_ = 0;  // token bucket of the limit
  Time tokens_at_{0};                   // last refill
  std::priority_queue<Time, std::vector<Time>, std::greater<>> server_free_at_;
  std::deque<Time> queued_starts_;  // when the queued calls begin
  bool in_outage_ = false, collapsed_ = false;
  double failure_chance_ = 0;
  Time outage_ends_at_{0};
  Time warm_up_started_at_{-1};  // below 0: no outage yet
  std::deque<Time> recent_calls_;
};

}  // namespace oxbowspread::model
