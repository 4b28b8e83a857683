#include "change/record.hpp"

#include <array>
#include <stdexcept>

namespace oxbowspread::change {
namespace {

// Names of the enumerators, in the order of their declaration, as stored in records and shown to operators.
constexpr std::array kKinds = {"restart", "reconfigure", "drain", "resume"};
constexpr std::array kStages = {"waiting", "pausing", "turning", "watching", "done", "undone", "failed"};
constexpr std::array kStates = {"running", "held",    "aborting",    "rolling-back",
                                "done",    "aborted", "rolled-back", "failed"};
constexpr std::array kDesiredPhases = {"serving", "paused"};
constexpr std::array kPhases = {"down", "starting", "serving", "paused", "ending"};

template <typename Enum, std::size_t N>
Enum EnumFromName(const std::array<const char*, N>& names, const Json& json, const char* key) {
  const std::string name = json.at(key);
  for (std::size_t index = 0; index < N; ++index) {
    if (name == names[index]) return static_cast<Enum>(index);
  }
  throw std::runtime_error(std::string(key) + ": unknown: '" + name + "'");
}

}  // namespace

bool IsFinished(State state) { return state >= State::kDone; }
const char* NameOf(Kind kind) { return kKinds[static_cast<std::size_t>(kind)]; }
const char* NameOf(Stage stage) { return kStages[static_cast<std::size_t>(stage)]; }
const char* NameOf(State state) { return kStates[static_cast<std::size_t>(state)]; }
const char* NameOf(InstanceStatus::Phase phase) { return kPhases[static_cast<std::size_t>(phase)]; }

Json ToJson(const Record& record) {
  Json targets = Json::array();
  for (std::size_t index = 0; index < record.spec.targets.size(); ++index) {
    const Target& target = record.spec.targets[index];
    const Progress& progress = record.progress.at(index);
    targets.push_back({{"instance", target.instance},
                       {"from", target.from},
                       {"to", target.to},
                       {"reload", target.reload},
                       {"stage", NameOf(progress.stage)},
                       {"undo", progress.undo},
                       {"turned", progress.applied},
                       {"deaths", progress.unexpected_exits},
                       {"note", progress.note}});
  }
  Json json = {{"change", record.spec.id},       {"kind", NameOf(record.spec.kind)},
               {"by", record.spec.requested_by}, {"state", NameOf(record.state)},
               {"why", record.reason},           {"targets", targets}};
  if (!record.spec.request_id.empty()) json["request"] = record.spec.request_id;
  return json;
}

Record RecordFromJson(const Json& json) {
  try {
    Record record;
    record.spec.id = json.at("change");
    record.spec.kind = EnumFromName<Kind>(kKinds, json, "kind");
    record.spec.requested_by = json.at("by");
    record.spec.request_id = json.value("request", "");
    record.state = EnumFromName<State>(kStates, json, "state");
    record.reason = json.at("why");
    for (const Json& target : json.at("targets")) {
      record.spec.targets.push_back(
          {target.at("instance"), target.at("from"), target.at("to"), target.at("reload")});
      record.progress.push_back({EnumFromName<Stage>(kStages, target, "stage"), target.at("undo"),
                                 target.at("turned"), target.at("deaths"), target.at("note")});
    }
    return record;
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("invalid change record: ") + e.what());
  }
}

Json ToJson(const InstanceStatus& status) {
  return {{"instance", status.instance},
          {"phase", NameOf(status.phase)},
          {"settled", status.settled},
          {"stamp", status.stamp},
          {"pid", status.pid},
          {"held", status.held_messages},
          {"fault", status.fault},
          {"fault_stamp", status.fault_stamp},
          {"asked", status.counts.received},
          {"refused", status.counts.rejected},
          {"ended", status.counts.ended},
          {"failed", status.counts.failed}};
}

InstanceStatus InstanceStatusFromJson(const Json& json) {
  try {
    InstanceStatus status;
    status.instance = json.at("instance");
    status.phase = EnumFromName<InstanceStatus::Phase>(kPhases, json, "phase");
    status.settled = json.at("settled");
    status.stamp = json.at("stamp");
    status.pid = json.at("pid");
    status.held_messages = json.at("held");
    status.fault = json.at("fault");
    status.fault_stamp = json.at("fault_stamp");
    status.counts = {json.at("asked"), json.at("refused"), json.at("ended"), json.at("failed")};
    return status;
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("invalid instance status: ") + e.what());
  }
}

const char* NameOf(DesiredPhase phase) { return kDesiredPhases[static_cast<std::size_t>(phase)]; }
DesiredPhase DesiredPhaseFromName(const std::string& name) {
  return EnumFromName<DesiredPhase>(kDesiredPhases, {{"want", name}}, "want");
}

std::string StampOf(const std::string& version, const std::string& order) { return version + "@" + order; }
std::string VersionOf(const std::string& stamp) { return stamp.substr(0, stamp.find('@')); }

}  // namespace oxbowspread::change
