// One endpoint as the platform describes it: a limit, servers and a queue, outages, and a cold return.
// Times in microseconds since the day began, which never go back from one call to the next. No I/O; nothing
// fails.
#pragma once

#include <deque>
#include <queue>
#include <vector>

#include "model/day.hpp"

namespace oxbowspread::model {

class Route {
 public:
  // `fall_multiple` times its present capacity for `fall` seconds tips a cold host.
  Route(const Host& host, double fall_multiple, double fall);

  struct Verdict {
    int status = 200;  // 200, 500, or 503 (429 if a wait is told)
    Time answer_at{0};
    Time wait{0};
    bool over_limit = false;
    bool tips = false;  // this call pushed it over
  };
  // A call's last byte comes. `now` never goes back.
  Verdict Arrive(Time now, Dice& dice);

  // From `now` on a call fails with that chance; with 1 and above it is shut, and tells to wait until
  // `until`. It lasts until Back, after which the host is cold.
  void Outage(Time now, double chance, Time until);
  void Back(Time now);
  // Pushed over: it turns everything away for good.
  bool down() const { return fallen_; }
  // Share of its capacity that it has now, 1 when warm.
  double Warmth(Time now) const;
  const Host& host() const { return host_; }

 private:
  Verdict TurnAway(Time now, Time wait, bool over_limit, Dice& dice) const;
  bool Pushed(Time now);
  void Refill(Time now);
  Time FreeAt(Time now) const;  // once the limit is used up
  Verdict Refuse(Time now, Time wait, bool over_limit, Dice& dice);

  Host host_;
  double fall_multiple_;
  Time fall_;
  double tokens_ = 0, most_tokens_ = 0;
  Time tokens_at_{0};
  std::priority_queue<Time, std::vector<Time>, std::greater<>> servers_;  // when each gets free
  std::deque<Time> starts_;                                               // of calls that wait
  bool out_ = false, fallen_ = false;
  double chance_ = 0;
  Time opens_{0};
  Time cold_since_{-1};
  std::deque<Time> pushes_;
};

}  // namespace oxbowspread::model
