// Data types of a rolling change and their JSON forms: the specification of the change, its progress, and the
// status of the instances. No I/O.
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
  // Days of the week on which the span begins, as a bit mask; bit 0 is Sunday, bit 6 is Saturday.
  unsigned days = 0;
  // Minutes of the day. If the end is not after the start, the span ends on the next day.
  int start_minute = 0, end_minute = 0;
  // The freeze in readable form, for messages.
  std::string text;
};

// Limits within which a group may be changed. The group file sets them under `limits` and `freeze`.
struct Limits {
  // Number of instances that may be out of service at once for any reason, including the one to be taken out.
  int max_unavailable = 1;
  // Number of instances that may be in progress at once, including those being watched.
  int max_in_progress = 1;
  // Share of the other instances' capacity that the observed message rate may use.
  double max_load_share = 0.8;
  // An instance whose last status is older than this is unknown.
  Time max_status_age{2'000'000};
  // Time for which rates and shares are observed before the first instance is taken out.
  Time observation_time{2'000'000};
  // Time that a paused instance has to finish the messages it holds. Messages left after it stay in the
  // instance's journal.
  Time settle_timeout{20'000'000};
  // Time within which a restarted or reloaded instance must serve.
  Time ready_timeout{15'000'000};
  // Time for which an instance is watched after it is ready and before the next one is started.
  Time watch_time{3'000'000};
  // An instance fails if its share of refused messages exceeds the share before the change by more than this.
  double max_rejected_increase = 0.1;
  // The same for the share of ended messages that were not delivered.
  double max_failed_increase = 0.1;
  // Number of messages below which the shares are not compared.
  int min_sample = 50;
  // Number of times that an instance may exit unexpectedly while it is watched.
  int max_unexpected_exits = 2;
  std::vector<Freeze> freezes;
};

// The configured capacity of an instance.
struct InstanceCapacity {
  std::string instance;
  // Messages a second; 0 if the group file sets none. The message rate is checked only if all instances that
  // would stay in service have one.
  double capacity = 0;
};

enum class Kind { kRestart, kReconfigure, kDrain, kResume };

// What a change does at one instance.
struct Target {
  std::string instance;
  // Versions of the instance's configuration before and after the change; equal if the change keeps it.
  std::string from, to;
  // Whether all differing keys take effect on a reload, without a restart.
  bool reload = false;
};

// The specification of a change, which stays the same while the change runs.
struct Spec {
  std::string id;
  Kind kind = Kind::kRestart;
  std::string requested_by;
  // In the order in which they are changed.
  std::vector<Target> targets;
  // Identifier that the client chose for its request, so that a repeated request is recognised; may be empty.
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
  // Returned to the state before the change.
  kReverted,
  // Reached neither the new state nor the one before the change. Its agent keeps trying.
  kFailed,
};

// Progress of a change at one instance.
struct Progress {
  Stage stage = Stage::kWaiting;
  // Whether the instance is being returned to its state before the change.
  bool undo = false;
  // Whether the order with the new configuration or the restart was sent.
  bool applied = false;
  // Unexpected exits of the process while the instance was watched.
  int unexpected_exits = 0;
  // Explains the stage to operators, for example why the instance failed; may be empty.
  std::string note;
};

// State of a change as a whole.
enum class State {
  kRunning,
  // Paused by an operator: instances in progress are finished, and no other instance is started.
  kPaused,
  // Like kPaused, but the change ends after the instances in progress.
  kAborting,
  kRollingBack,
  kDone,
  kAborted,
  kRolledBack,
  // Ended with at least one instance neither changed nor reverted, which needs an operator.
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
  // Why the change is in this state; empty if the state needs no reason.
  std::string reason;
  // One entry for each of spec.targets, in the same order.
  std::vector<Progress> progress;
};

Json ToJson(const Record& record);
// Throws std::runtime_error that names the invalid field.
Record RecordFromJson(const Json& json);

// Counters of an instance since its process started.
struct Counts {
  // `received`: messages submitted by clients; `rejected`: those of them that the instance refused.
  // `ended`: messages that ended, delivered or not; `failed`: those of them that were not delivered.
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
  // Whether the instance is paused and holds no messages any more.
  bool settled = false;
  // Stamp that the process runs with.
  std::string stamp;
  std::int64_t pid = 0;
  // Number of messages that have not ended.
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

// The phase that an order asks for.
enum class DesiredPhase { kServing, kPaused };
const char* NameOf(DesiredPhase phase);
// Throws std::runtime_error if no phase has this name.
DesiredPhase DesiredPhaseFromName(const std::string& name);

// A stamp "VERSION@ORDER" identifies the configuration version and the order that an instance runs with.
std::string StampOf(const std::string& version, const std::string& order);
std::string VersionOf(const std::string& stamp);

}  // namespace oxbowspread::change
