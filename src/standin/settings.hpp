// Settings, in the platform's JSON, for a relay that runs against stand-ins: one partner in two zones, and
// one message class whose repeats are dropped by key. Times are in seconds, as the names of the keys say.
#pragma once

namespace oxbowspread::standin {

inline const char kSettings[] = R"({"balancers":1,"rank":0,"discovery":"ask","tick-s":0.005,"weights":"rough",
  "zones":["north-room","east-room"],"models":["partner"],
  "services":[{"name":"outbound","semantics":"deduplicated","key-scope":"zone","goal-time-s":3,
    "deadline-s":16,"repeat-window-s":10,"worth":1,"late-value":0.5}],
  "family-info":{"calls-out":19,"kind-apart":[true],"bundle-max":[1],"decay":"by_half","carriage":[0,0]},
  "limits":{"cancel":true,"send-cap":12,"max-open":100,"retry-after":true,"max-retry-after-s":2,
    "connect-timeout-s":1.5,"keepalive-s":15},
  "invariants":{"ask-within-s":10,"cold-from":0.23,"cold-s":13,"drain-grace-s":0.25,"fall-multiple":2,
    "grace-to-answer-s":0.02,"tip-after-s":3}})";

}  // namespace oxbowspread::standin
