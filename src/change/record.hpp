// Plain data of a rolling change: what it is to do, how far it has come, and what is known of the instances;
// and the JSON form of each. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace oxbowspread::change {

// Microseconds of the monotonic clock of the process that runs the engine.
using Time = std::chrono::microseconds;
using Json = nlohmann::json;

// A span of local time in which no instance is taken out of service.
struct Freeze {
  // Days on which the span begins; bit 0 is Sunday, bit 6 is Saturday.
  unsigned days = 0;
  // Minutes of the day. If the end is not after the start, the span ends on the next day.
  int start_minute = 0, end_minute = 0;
  // As it is written in the group file, for messages.
  std::string text;
};

// Limits within which a group may be changed. The group file sets them under `limits` and `freeze`.
struct Limits {
  // Instances that may be out of service at once, for whatever reason, including the one to be taken out.
  int max_unavailable = 1;
  // Instances that may be in progress at once, including those being watched.
  int max_in_progress = 1;
  // Share of the other instances' capacity that the observed message rate may take.
  double max_load_share = 0.8;
  // An instance whose last status is older than this is unknown.
  Time max_status_age{2'000'000};
  // Time for which rates and shares are observed before the first instance is taken out.
  Time observation_time{2'000'000};
  // Time that a paused instance has to finish the messages it holds; what is left stays in its journal.
  Time settle_timeout{20'000'000};
  Time ready_timeout{15'000'000};
  // Time for which an instance is watched after it is ready and before the next one is started.
  Time watch_time{3'000'000};
  // Rise of the share of messages refused, over the share before the change, that fails an instance.
  double max_rejected_increase = 0.1;
  // The same for the share of ended messages that were not delivered.
  double max_failed_increase = 0.1;
  // Number of messages below which the shares are not compared.
  int min_sample = 50;
  // Times that an instance may end unexpectedly while it is watched.
  int max_unexpected_exits = 2;
  std::vector<Freeze> freezes;
};

struct InstanceCapacity {
  std::string instance;
  // Messages a second. 0 if the group file gives none: then the message rate is not checked.
  double capacity = 0;
};

enum class Kind { kRestart, kReconfigure, kDrain, kResume };

struct Target {
  std::string instance;
  // Versions of the instance's configuration; equal where the change keeps the configuration.
  std::string from, to;
  // All keys that differ take effect by a reload, without a restart.
  bool reload = false;
};

struct Spec {
  std::string id;
  Kind kind = Kind::kRestart;
  std::string requested_by;
  // In the order in which they are changed.
  std::vector<Target> targets;
  // Identifier that the client gave its request, so that it can repeat it; may be empty.
  std::string request_id = {};
};

// How far a change has come at one instance.
enum class Stage {
  kWaiting,
  // Accepts no new messages and finishes those it holds.
  kPausing,
  // Being restarted or reloaded, and not ready yet.
  kApplying,
  // Ready; its shares of refused and failed messages are compared with those before the change.
  kWatching,
  kDone,
  // Back at the state before the change.
  kReverted,
  // Could be brought neither to the new state nor back. Its agent keeps trying.
  kFailed,
};

struct Progress {
  Stage stage = Stage::kWaiting;
  // The instance is being taken back to its state before the change.
  bool undo = false;
  // The order with the new configuration or the restart was given.
  bool applied = false;
  int unexpected_exits = 0;
  std::string note;
};

// State of a change as a whole.
enum class State {
  kRunning,
  // Paused by an operator: instances in progress are finished, no other is started.
  kPaused,
  // As kPaused, and the change then ends.
  kAborting,
  kRollingBack,
  kDone,
  kAborted,
  kRolledBack,
  // Ended with at least one instance neither changed nor reverted; an operator has to look at it.
  kFailed,
};

// Whether a change in this state has ended.
bool IsFinished(State state);
const char* NameOf(Kind kind);
const char* NameOf(Stage stage);
const char* NameOf(State state);

// Everything about a change that must survive the process that runs it.
struct Record {
  Spec spec;
  State state = State::kRunning;
  // Why the change is in this state; empty where the state needs no reason.
  std::string reason;
  // One entry for each of spec.targets, in the same order.
  std::vector<Progress> progress;
};

Json ToJson(const Record& record);
// Throws std::runtime_error that names the invalid field.
Record RecordFromJson(const Json& json);

// What an instance has counted since its process started.
struct Counts {
  // `received` and `rejected`: messages that clients handed in, and those of them that it refused.
  // `ended` and `failed`: messages that ended, delivered or not, and those of them that were not delivered.
  std::int64_t received = 0, rejected = 0, ended = 0, failed = 0;
};

// The last known state of an instance.
struct InstanceStatus {
  enum class Phase { kDown, kStarting, kServing, kPaused, kEnding };

  std::string instance;
  // When the state was requested. The agent read it later, so a status never counts as newer than it
  // is.
  Time requested_at{0};
  Phase phase = Phase::kDown;
  // Paused, and holds no message any more.
  bool settled = false;
  // Stamp of the order that the process runs by.
  std::string stamp;
  std::int64_t pid = 0;
  // Messages that have not ended.
  std::int64_t held_messages = 0;
  // Why the agent can't carry out the order with the stamp `fault_stamp`; empty if there is no fault.
  std::string fault;
  std::string fault_stamp;
  Counts counts;
};

const char* NameOf(InstanceStatus::Phase phase);
// Without `requested_at`, which belongs to the clock of the reader.
Json ToJson(const InstanceStatus& status);
// Throws std::runtime_error that names the invalid field.
InstanceStatus InstanceStatusFromJson(const Json& json);

// What an order asks of an instance.
enum class DesiredPhase { kServing, kPaused };
const char* NameOf(DesiredPhase phase);
// Throws std::runtime_error if no phase has this name.
DesiredPhase DesiredPhaseFromName(const std::string& name);

// A stamp "VERSION@ORDER" names the configuration and the order that an instance runs by.
std::string StampOf(const std::string& version, const std::string& order);
std::string VersionOf(const std::string& stamp);

}  // namespace oxbowspread::change
