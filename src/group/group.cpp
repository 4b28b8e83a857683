#include "group/group.hpp"

#include <openssl/sha.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "net/connection.hpp"
#include "yaml/reader.hpp"

namespace oxbowspread::group {
namespace {

// Reads the values of a group file and checks their ranges.
class Reader : public yaml::Reader {
 public:
  using yaml::Reader::Reader;

  // Reads a time of day such as "06:30"; "24:00" is allowed.
  int MinuteOfDay(const YAML::Node& map, const char* key) const {
    const std::string text = Text(map, key, "freeze.", true);
    int hour = -1, minute = -1, length = 0;
    const bool valid = std::sscanf(text.c_str(), "%2d:%2d%n", &hour, &minute, &length) == 2 &&
                       length == static_cast<int>(text.size()) && hour >= 0 && hour <= 24 && minute >= 0 &&
                       minute < 60 && hour * 60 + minute <= 24 * 60;
    if (!valid)
      Fail(map[key].Mark(), std::string("freeze.") + key,
           "must be a time such as \"06:30\", not '" + text + "'");
    return hour * 60 + minute;
  }

  change::Freeze FreezeOf(const YAML::Node& node) const {
    constexpr std::array kDays = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
    AllowOnlyKeys(node, "freeze", {"days", "from", "until"});
    change::Freeze freeze;
    const YAML::Node days = node["days"];
    if (days && !days.IsSequence()) Fail(days.Mark(), "freeze.days", "must be a list such as [sat, sun]");
    std::string text;
    for (const auto& day : days) {
      const auto it = std::find(kDays.begin(), kDays.end(), day.IsScalar() ? day.Scalar() : "");
      if (it == kDays.end())
        Fail(day.Mark(), "freeze.days", "must be one of sun, mon, tue, wed, thu, fri, sat");
      freeze.days |= 1u << static_cast<unsigned>(it - kDays.begin());
      text += (text.empty() ? "" : ",") + std::string(*it);
    }
    if (!days) freeze.days = 0x7f;
    freeze.start_minute = MinuteOfDay(node, "from");
    freeze.end_minute = MinuteOfDay(node, "until");
    freeze.text =
        (text.empty() ? "every day" : text) + " " + node["from"].Scalar() + " to " + node["until"].Scalar();
    return freeze;
  }

  change::Limits LimitsOf(const YAML::Node& node) const {
    change::Limits limits;
    if (!node) return limits;
    AllowOnlyKeys(
        node, "limits",
        {"most_out", "batch", "headroom", "belief_age", "observe_for", "settle_within", "ready_within",
         "watch_for", "refused_rise", "failed_rise", "least_sample", "most_deaths"});
    limits.max_unavailable = Integer(node, "most_out", "limits.", 1, 1000, limits.max_unavailable);
    limits.max_in_progress = Integer(node, "batch", "limits.", 1, 1000, limits.max_in_progress);
    limits.max_load_share = Number(node, "headroom", "limits.", 0.01, 1, limits.max_load_share);
    limits.max_status_age = Duration(node, "belief_age", "limits.", limits.max_status_age);
    limits.observation_time = Duration(node, "observe_for", "limits.", limits.observation_time);
    limits.settle_timeout = Duration(node, "settle_within", "limits.", limits.settle_timeout);
    limits.ready_timeout = Duration(node, "ready_within", "limits.", limits.ready_timeout);
    limits.watch_time = Duration(node, "watch_for", "limits.", limits.watch_time);
    limits.max_rejected_increase =
        Number(node, "refused_rise", "limits.", 0, 1, limits.max_rejected_increase);
    limits.max_failed_increase = Number(node, "failed_rise", "limits.", 0, 1, limits.max_failed_increase);
    limits.min_sample = Integer(node, "least_sample", "limits.", 1, 1'000'000, limits.min_sample);
    limits.max_unexpected_exits =
        Integer(node, "most_deaths", "limits.", 0, 100, limits.max_unexpected_exits);
    if (limits.max_status_age < std::chrono::milliseconds(500)) {
      Fail(node["belief_age"].Mark(), "limits.belief_age",
           "must be at least 500ms: agents are queried every 300ms");
    }
    return limits;
  }

  // Reads the name of an agent or instance. An agent's key files are named after the agent, and the files
  // group.key and group.crt belong to the group itself, so "group" is not allowed.
  std::string Name(const YAML::Node& map, const std::string& prefix) const {
    const std::string name = Text(map, "name", prefix, true);
    const bool valid = name.size() <= 40 && name.front() != '.' && name != "group" &&
                       name.find_first_not_of(
                           "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == name.npos;
    if (!valid)
      Fail(map["name"].Mark(), prefix + "name",
           "must be up to 40 letters, digits, '-', '_' and '.', and not 'group'");
    return name;
  }
};

// Returns `path` as an absolute path; a relative path is relative to the folder of `file`.
std::string RelativeTo(const std::string& file, const std::string& path) {
  const std::filesystem::path parsed_path(path);
  return (parsed_path.is_absolute() ? parsed_path
                                    : std::filesystem::absolute(file).parent_path() / parsed_path)
      .lexically_normal()
      .string();
}

}  // namespace

const Agent* Group::FindAgent(const std::string& wanted) const {
  const auto it =
      std::find_if(agents.begin(), agents.end(), [&](const Agent& a) { return a.name == wanted; });
  return it == agents.end() ? nullptr : &*it;
}
const Instance* Group::FindInstance(const std::string& wanted) const {
  const auto it =
      std::find_if(instances.begin(), instances.end(), [&](const Instance& i) { return i.name == wanted; });
  return it == instances.end() ? nullptr : &*it;
}
std::vector<change::InstanceCapacity> Group::instance_capacities() const {
  std::vector<change::InstanceCapacity> capacities;
  for (const Instance& instance : instances) capacities.push_back({instance.name, instance.capacity});
  return capacities;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file) throw Error(path + ": can't be read");
  return text.str();
}

std::string VersionOfText(const std::string& text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  char hex[16];
  std::snprintf(hex, sizeof hex, "c%02x%02x%02x%02x%02x", digest[0], digest[1], digest[2], digest[3],
                digest[4]);
  return hex;
}

Group Read(const std::string& path) {
  const Reader reader(path);
  const YAML::Node root = reader.Load();
  Group group;
  group.path = path;
  reader.AllowOnlyKeys(root, "", {"group", "keys", "agents", "instances", "limits", "freeze"});
  group.name = reader.Text(root, "group", "", true);
  const std::string keys = reader.Text(root, "keys", "", false);
  if (!keys.empty()) group.keys_folder = RelativeTo(path, keys);
  const auto required_list = [&](const char* key) {
    const YAML::Node node = root[key];
    if (!node || !node.IsSequence() || node.size() == 0) {
      reader.Fail(node ? node.Mark() : root.Mark(), key, "must be a list with at least one entry");
    }
    return node;
  };
  for (const auto& node : required_list("agents")) {
    reader.AllowOnlyKeys(node, "agents", {"name", "address"});
    Agent agent{reader.Name(node, "agents."), reader.Text(node, "address", "agents.", true)};
    if (!net::ParseAddress(agent.address)) {
      reader.Fail(node["address"].Mark(), "agents.address",
                  "must be an IPv4 address and port, not '" + agent.address + "'");
    }
    if (group.FindAgent(agent.name) != nullptr)
      reader.Fail(node.Mark(), "agents.name", "'" + agent.name + "' appears twice");
    for (const Agent& other : group.agents) {
      if (other.address == agent.address)
        reader.Fail(node["address"].Mark(), "agents.address", agent.address + " appears twice");
    }
    group.agents.push_back(std::move(agent));
  }
  if (group.agents.size() > 1 && group.keys_folder.empty())
    reader.Fail(root.Mark(), "keys", "is missing: agents authenticate each other with the group's keys");
  for (const auto& node : required_list("instances")) {
    reader.AllowOnlyKeys(node, "instances", {"name", "agent", "config", "capacity"});
    Instance instance;
    instance.name = reader.Name(node, "instances.");
    instance.agent = reader.Text(node, "agent", "instances.", true);
    instance.config_path = RelativeTo(path, reader.Text(node, "config", "instances.", true));
    instance.capacity = reader.Number(node, "capacity", "instances.", 0, 1e7, 0);
    if (group.FindAgent(instance.agent) == nullptr)
      reader.Fail(node["agent"].Mark(), "instances.agent", "no agent is named '" + instance.agent + "'");
    if (group.FindInstance(instance.name) != nullptr)
      reader.Fail(node.Mark(), "instances.name", "'" + instance.name + "' appears twice");
    group.instances.push_back(std::move(instance));
  }
  group.limits = reader.LimitsOf(root["limits"]);
  if (const YAML::Node freeze = root["freeze"]) {
    if (!freeze.IsSequence()) reader.Fail(freeze.Mark(), "freeze", "must be a list");
    for (const auto& node : freeze) group.limits.freezes.push_back(reader.FreezeOf(node));
  }
  return group;
}

}  // namespace oxbowspread::group
