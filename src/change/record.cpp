#include "change/record.hpp"

#include <array>
#include <stdexcept>

namespace oxbowspread::change {
namespace {

constexpr std::array kKinds = {"restart", "reconfigure", "drain", "resume"};
constexpr std::array kStages = {"waiting", "pausing", "turning", "watching", "done", "undone", "failed"};
constexpr std::array kStates = {"running", "held",    "aborting",    "rolling-back",
                                "done",    "aborted", "rolled-back", "failed"};
constexpr std::array kWants = {"serving", "paused"};
constexpr std::array kPhases = {"down", "starting", "serving", "paused", "ending"};

template <typename Enum, std::size_t N>
Enum Named(const std::array<const char*, N>& names, const Json& json, const char* key) {
  const std::string name = json.at(key);
  for (std::size_t i = 0; i < N; ++i) {
    if (name == names[i]) return static_cast<Enum>(i);
  }
  throw std::runtime_error(std::string(key) + ": unknown: '" + name + "'");
}

}  // namespace

bool Over(State state) { return state >= State::kDone; }
const char* NameOf(Kind kind) { return kKinds[static_cast<std::size_t>(kind)]; }
const char* NameOf(Stage stage) { return kStages[static_cast<std::size_t>(stage)]; }
const char* NameOf(State state) { return kStates[static_cast<std::size_t>(state)]; }
const char* NameOf(Belief::Phase phase) { return kPhases[static_cast<std::size_t>(phase)]; }

Json ToJson(const Record& record) {
  Json targets = Json::array();
  for (std::size_t i = 0; i < record.spec.targets.size(); ++i) {
    const Target& t = record.spec.targets[i];
    const Progress& p = record.progress.at(i);
    targets.push_back({{"instance", t.instance},
                       {"from", t.from},
                       {"to", t.to},
                       {"reload", t.reload},
                       {"stage", NameOf(p.stage)},
                       {"undo", p.undo},
                       {"turned", p.turned},
                       {"deaths", p.deaths},
                       {"note", p.note}});
  }
  Json json = {{"change", record.spec.id}, {"kind", NameOf(record.spec.kind)},
               {"by", record.spec.by},     {"state", NameOf(record.state)},
               {"why", record.why},        {"targets", targets}};
  if (!record.spec.request.empty()) json["request"] = record.spec.request;
  return json;
}

Record RecordFrom(const Json& json) {
  try {
    Record r;
    r.spec.id = json.at("change");
    r.spec.kind = Named<Kind>(kKinds, json, "kind");
    r.spec.by = json.at("by");
    r.spec.request = json.value("request", "");
    r.state = Named<State>(kStates, json, "state");
    r.why = json.at("why");
    for (const Json& t : json.at("targets")) {
      r.spec.targets.push_back({t.at("instance"), t.at("from"), t.at("to"), t.at("reload")});
      r.progress.push_back(
          {Named<Stage>(kStages, t, "stage"), t.at("undo"), t.at("turned"), t.at("deaths"), t.at("note")});
    }
    return r;
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("a change's record: ") + e.what());
  }
}

Json ToJson(const Belief& b) {
  return {{"instance", b.instance},
          {"phase", NameOf(b.phase)},
          {"settled", b.settled},
          {"stamp", b.stamp},
          {"pid", b.pid},
          {"held", b.held},
          {"fault", b.fault},
          {"fault_stamp", b.fault_stamp},
          {"asked", b.counts.asked},
          {"refused", b.counts.refused},
          {"ended", b.counts.ended},
          {"failed", b.counts.failed}};
}

Belief BeliefFrom(const Json& json) {
  try {
    Belief b;
    b.instance = json.at("instance");
    b.phase = Named<Belief::Phase>(kPhases, json, "phase");
    b.settled = json.at("settled");
    b.stamp = json.at("stamp");
    b.pid = json.at("pid");
    b.held = json.at("held");
    b.fault = json.at("fault");
    b.fault_stamp = json.at("fault_stamp");
    b.counts = {json.at("asked"), json.at("refused"), json.at("ended"), json.at("failed")};
    return b;
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("what an agent says of an instance: ") + e.what());
  }
}

const char* NameOf(Want want) { return kWants[static_cast<std::size_t>(want)]; }
Want WantFrom(const std::string& name) { return Named<Want>(kWants, {{"want", name}}, "want"); }

std::string StampOf(const std::string& version, const std::string& order) { return version + "@" + order; }
std::string VersionOf(const std::string& stamp) { return stamp.substr(0, stamp.find('@')); }

}  // namespace oxbowspread::change
