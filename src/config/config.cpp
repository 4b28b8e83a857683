#include "config/config.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/index_names.hpp"
#include "config/json_text.hpp"
#include "config/structure.hpp"
#include "config/validation.hpp"
#include "wire.hpp"

namespace oxbowspread::config {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMinSockets = 48;

std::string TextAt(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return {};
  if (!it->is_string()) throw Error(key, "must be a text, not " + it->dump());
  return *it;
}

// Reads limits.KEY, which may be fractional, and stores it multiplied by `unit` in *value. Leaves *value
// unchanged if the key is missing.
void ReadLimit(const Json& limits, const char* key, double minimum, double unit, std::size_t* value) {
  const auto it = limits.find(key);
  if (it == limits.end()) return;
  const std::string name = std::string("limits.") + key;
  if (!it->is_number()) throw Error(name, "must be a number, not " + it->dump());
  const double number = *it;
  if (!(number >= minimum && number <= 1e9)) {
    throw Error(name, "must be at least " + Json(minimum).dump() + ", not " + it->dump());
  }
  *value = static_cast<std::size_t>(number * unit);
}

std::uint64_t ReadSeed(const Json& object) {
  const auto it = object.find("seed");
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return *it;
  const std::string text = TextAt(object, "seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw Error("seed", "must be up to 16 hex digits, not '" + text + "'");
  }
  return seed;
}

void CheckAddress(const char* key, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const bool valid = colon != text.npos && colon > 0 && colon + 1 < text.size() &&
                     text.find_first_not_of("0123456789", colon + 1) == text.npos;
  if (!valid) throw Error(key, "must be address:port, not '" + text + "'");
}

void OverrideFromEnvironment(const char* variable, std::string* value) {
  const char* text = std::getenv(variable);
  if (text != nullptr && *text != '\0') *value = text;
}

// Returns $ROUTER_LISTEN_FD, or -1 if it is not set. Checks only that it is a descriptor number. The listener
// checks that the descriptor is a listening socket.
int ReadListenFd() {
  const char* text = std::getenv("ROUTER_LISTEN_FD");
  if (text == nullptr || *text == '\0') return -1;
  int fd = -1;
  const char* const end = text + std::string_view(text).size();
  const auto [parsed_end, error] = std::from_chars(text, end, fd);
  if (error != std::errc() || parsed_end != end || fd < 0) {
    throw Error("ROUTER_LISTEN_FD", "must be a descriptor's number, not '" + std::string(text) + "'");
  }
  return fd;
}

// Raises the descriptor limit of the process to `sockets` if the system allows it. Otherwise lowers `sockets`
// to the limit, because the shares must be computed from the number of descriptors that are available.
void FitToDescriptorLimit(Config* config) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= config->sockets) return;
  limit.rlim_cur = std::min<rlim_t>(config->sockets, limit.rlim_max);
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  config->sockets = std::min<std::size_t>(config->sockets, limit.rlim_cur);
  if (config->sockets < kMinSockets) {
    throw Error("limits.sockets",
                "the system allows only " + std::to_string(config->sockets) + " descriptors");
  }
}

std::string ReadConfigFile() {
  const char* path = std::getenv("ROUTER_CONFIG");
  if (path == nullptr || *path == '\0') throw Error("ROUTER_CONFIG", "is not set");
  std::ifstream file(path);
  if (!file) throw Error("ROUTER_CONFIG", std::string("can't read ") + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void CheckRequiredKeys(const Config& config) {
  CheckAddress("listen", config.listen);
  CheckAddress("discovery", config.discovery);
  if (!config.mgmt.empty()) CheckAddress("mgmt", config.mgmt);
  if (config.state.empty()) throw Error("ROUTER_STATE", "must name a folder for the durable state");
}

}  // namespace

Config Parse(const std::string& text) {
  const Json root = ParseObject(text);
  Config config;
  config.file_text = text;
  config.name = TextAt(root, "name");
  config.listen = TextAt(root, "listen");
  config.discovery = TextAt(root, "discovery");
  config.state = TextAt(root, "state");
  config.mgmt = TextAt(root, "mgmt");
  config.seed = ReadSeed(root);
  const Json limits = root.value("limits", Json::object());
  if (!limits.is_object()) throw Error("limits", "must be an object");
  ReadLimit(limits, "memory_mb", 16, 1, &config.memory_mb);
  ReadLimit(limits, "sockets", kMinSockets, 1, &config.sockets);
  ReadLimit(limits, "disk_mb", 0.25, 1e6, &config.disk_bytes);
  // Deployments allow a relay at most 1,024 descriptors, whatever the file contains.
  config.sockets = std::min<std::size_t>(config.sockets, 1024);
  config.last_known_list = root.value("known", Json::object()).dump();
  const auto settings = root.find("settings");
  if (settings == root.end() || !settings->is_object()) throw Error("settings", "must be an object");
  CheckSettings(*settings);
  config.defaulted_rule_keys = DefaultedRuleKeys(*settings);
  std::vector<std::string> report_fields;
  try {
    config.settings = wheathub::wire::ParseSettings(settings->dump(), &report_fields);
    config.zones = settings->value("zones", std::vector<std::string>());
  } catch (const std::exception& e) {
    throw Error("settings", e.what());
  }
  if (config.settings.tick.count() <= 0) config.settings.tick = std::chrono::milliseconds(5);
  // A relay makes a separate call for each message and can't send probes. The decision module must use
  // neither bundles nor probes, even if the settings allow them.
  config.settings.may_probe = false;
  for (auto& kind : config.settings.kinds) kind.bundle_max = 1;
  // Every message that is delivered before its deadline also meets a goal time beyond it, so the aim is
  // limited to the deadline.
  for (auto& message_class : config.settings.classes)
    message_class.aim = std::min(message_class.aim, message_class.deadline);
  return config;
}

Config ParseAndValidate(const std::string& text) {
  Config config = Parse(text);
  CheckRequiredKeys(config);
  return config;
}

Config LoadFromEnvironment() {
  Config config = Parse(ReadConfigFile());
  OverrideFromEnvironment("ROUTER_NAME", &config.name);
  OverrideFromEnvironment("ROUTER_LISTEN", &config.listen);
  OverrideFromEnvironment("ROUTER_DISCOVERY", &config.discovery);
  OverrideFromEnvironment("ROUTER_STATE", &config.state);
  OverrideFromEnvironment("ROUTER_MGMT", &config.mgmt);
  config.listen_fd = ReadListenFd();
  CheckRequiredKeys(config);
  FitToDescriptorLimit(&config);
  return config;
}

Config Reload(const Config& running) {
  Config config = Parse(ReadConfigFile());
  CheckSameStructure(Json::parse(running.file_text), Json::parse(config.file_text));
  KeepIndexes(IndexNamesOf(running), &config);
  OverrideFromEnvironment("ROUTER_NAME", &config.name);
  OverrideFromEnvironment("ROUTER_LISTEN", &config.listen);
  OverrideFromEnvironment("ROUTER_STATE", &config.state);
  OverrideFromEnvironment("ROUTER_MGMT", &config.mgmt);
  config.listen_fd = running.listen_fd;
  if (config.discovery.empty()) config.discovery = running.discovery;
  CheckRequiredKeys(config);
  FitToDescriptorLimit(&config);
  return config;
}

std::vector<std::string> KeysNeedingRestart(const Config& running, const Config& next) {
  std::vector<std::string> keys;
  if (next.name != running.name) keys.emplace_back("name");
  if (next.listen != running.listen) keys.emplace_back("listen");
  if (next.state != running.state) keys.emplace_back("state");
  if (next.mgmt != running.mgmt) keys.emplace_back("mgmt");
  if (next.disk_bytes != running.disk_bytes) keys.emplace_back("limits.disk_mb");
  const auto& old_tenants = running.settings.tenants;
  const auto& new_tenants = next.settings.tenants;
  const bool same = std::equal(
      old_tenants.begin(), old_tenants.end(), new_tenants.begin(), new_tenants.end(),
      [](const auto& a, const auto& b) { return a.name == b.name && a.quota_per_s == b.quota_per_s; });
  if (!same) keys.emplace_back("settings.projects");
  return keys;
}

}  // namespace oxbowspread::config
