// What a change of a group is, how far it has come, and what is known of the instances: plain data, and its
// form on record. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace oxbowspread::change {

using Time = std::chrono::microseconds;  // the monotonic clock of whoever runs the engine
using Json = nlohmann::json;

// A span of local time in which no instance is taken out.
struct Freeze {
  unsigned days = 0;        // bit 0: Sunday ... bit 6: Saturday; of the day on which the span begins
  int from = 0, until = 0;  // minutes of the day; until <= from: it ends on the next day
  std::string text;         // as the operators wrote it
};

struct Limits {
  int most_out = 1;                // instances not serving, for whatever reason, while one more is taken out
  int batch = 1;                   // instances being worked on at once, those being watched included
  double headroom = 0.8;           // share of the others' capacity that the observed rate may take
  Time belief_age{2'000'000};      // what is older is unknown
  Time observe_for{2'000'000};     // of rate and shares before the first instance is taken out
  Time settle_within{20'000'000};  // for what is held; then it is left to the journal
  Time ready_within{15'000'000};
  Time watch_for{3'000'000};  // after it is ready, before the next
  double refused_rise = 0.1;  // of the share refused, over the share before, that fails the gate
  double failed_rise = 0.1;   // the same of what ended undelivered
  int least_sample = 50;      // messages below which shares say nothing
  int most_deaths = 2;        // of an instance while it is being watched
  std::vector<Freeze> freezes;
};

struct Member {
  std::string instance;
  double capacity = 0;  // messages a second; 0: not told, and no guard by rate
};

enum class Kind { kRestart, kReconfigure, kDrain, kResume };

struct Target {
  std::string instance;
  std::string from, to;  // versions of its configuration; the same where nothing changes
  bool reload = false;   // the keys that differ take effect without a restart
};

struct Spec {
  std::string id;
  Kind kind = Kind::kRestart;
  std::string by;               // who asked for it
  std::vector<Target> targets;  // in the order in which they are taken
  std::string request = {};  // what asked for it calls its request, so that it can be repeated; may be empty
};

enum class Stage {
  kWaiting,
  kPausing,   // takes nothing new, finishes what it holds
  kTurning,   // restarted or reloaded, not yet ready
  kWatching,  // ready, its shares are compared with the time before
  kDone,
  kUndone,  // back at what it was
  kFailed,  // could not be brought to either; the agent goes on trying
};

struct Progress {
  Stage stage = Stage::kWaiting;
  bool undo = false;    // on the way back
  bool turned = false;  // its process was told to run by the new order
  int deaths = 0;
  std::string note;
};

enum class State {
  kRunning,
  kHeld,      // paused by an operator: what has begun ends, nothing new begins
  kAborting,  // the same, and then it ends
  kRollingBack,
  kDone,
  kAborted,
  kRolledBack,
  kFailed,  // ended short of its aim and of the way back: a person must look
};

bool Over(State state);
const char* NameOf(Kind kind);
const char* NameOf(Stage stage);
const char* NameOf(State state);

// All that must outlast whoever runs the change.
struct Record {
  Spec spec;
  State state = State::kRunning;
  std::string why;                 // of a state that needs a reason
  std::vector<Progress> progress;  // beside spec.targets
};

Json ToJson(const Record& record);
// Throws std::runtime_error that names the field at fault.
Record RecordFrom(const Json& json);

// What an instance has counted since it was started.
struct Counts {
  std::int64_t asked = 0, refused = 0, ended = 0, failed = 0;  // ended: delivered or not; failed: of these
};

struct Belief {
  enum class Phase { kDown, kStarting, kServing, kPaused, kEnding };

  std::string instance;
  Time at{0};  // when it was asked for, so never younger than the truth
  Phase phase = Phase::kDown;
  bool settled = false;  // paused, and nothing is held any more
  std::string stamp;     // of the order that it runs by
  std::int64_t pid = 0;
  std::int64_t held = 0;
  std::string fault;        // why the agent can't bring it to what was ordered
  std::string fault_stamp;  // the order which that is about
  Counts counts;
};

const char* NameOf(Belief::Phase phase);
Json ToJson(const Belief& belief);  // without `at`, which is the reader's
Belief BeliefFrom(const Json& json);

enum class Want { kServing, kPaused };
const char* NameOf(Want want);
Want WantFrom(const std::string& name);  // throws std::runtime_error

// A stamp says which order and which configuration an instance runs by.
std::string StampOf(const std::string& version, const std::string& order);
std::string VersionOf(const std::string& stamp);

}  // namespace oxbowspread::change
