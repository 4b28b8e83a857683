#include "config/config.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/shape.hpp"
#include "wire.hpp"

namespace oxbowspread::config {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kLeastSockets = 48;

std::string Text(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return {};
  if (!it->is_string()) throw Error(key, "must be a text, not " + it->dump());
  return *it;
}

// Limits are told as whole or fractional numbers; one that is absent leaves the default.
void Limit(const Json& limits, const char* key, double least, double unit, std::size_t* value) {
  const auto it = limits.find(key);
  if (it == limits.end()) return;
  const std::string name = std::string("limits.") + key;
  if (!it->is_number()) throw Error(name, "must be a number, not " + it->dump());
  const double number = *it;
  if (!(number >= least && number <= 1e9)) {
    throw Error(name, "must be at least " + Json(least).dump() + ", not " + it->dump());
  }
  *value = static_cast<std::size_t>(number * unit);
}

std::uint64_t Seed(const Json& object) {
  const auto it = object.find("seed");
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return *it;
  const std::string text = Text(object, "seed");
  std::uint64_t seed = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (code != std::errc() || end != text.data() + text.size()) {
    throw Error("seed", "must be up to 16 hex digits, not '" + text + "'");
  }
  return seed;
}

void CheckAddress(const char* key, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const bool port = colon != text.npos && colon > 0 && colon + 1 < text.size() &&
                    text.find_first_not_of("0123456789", colon + 1) == text.npos;
  if (!port) throw Error(key, "must be address:port, not '" + text + "'");
}

void Override(const char* variable, std::string* value) {
  const char* text = std::getenv(variable);
  if (text != nullptr && *text != '\0') *value = text;
}

// Whether it can be listened at is for whoever does; here only that it is a descriptor's number.
int ListenFd() {
  const char* text = std::getenv("ROUTER_LISTEN_FD");
  if (text == nullptr || *text == '\0') return -1;
  int fd = -1;
  const char* const end = text + std::string_view(text).size();
  const auto [at, code] = std::from_chars(text, end, fd);
  if (code != std::errc() || at != end || fd < 0) {
    throw Error("ROUTER_LISTEN_FD", "must be a descriptor's number, not '" + std::string(text) + "'");
  }
  return fd;
}

// The system may allow fewer descriptors than the deployment: the shares must be of what is really there.
void FitToSystem(Config* c) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= c->sockets) return;
  limit.rlim_cur = std::min<rlim_t>(c->sockets, limit.rlim_max);
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  c->sockets = std::min<std::size_t>(c->sockets, limit.rlim_cur);
  if (c->sockets < kLeastSockets) {
    throw Error("limits.sockets", "the system allows only " + std::to_string(c->sockets) + " descriptors");
  }
}

std::string FileText() {
  const char* path = std::getenv("ROUTER_CONFIG");
  if (path == nullptr || *path == '\0') throw Error("ROUTER_CONFIG", "is not set");
  std::ifstream file(path);
  if (!file) throw Error("ROUTER_CONFIG", std::string("can't read ") + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Check(const Config& c) {
  CheckAddress("listen", c.listen);
  CheckAddress("discovery", c.discovery);
  if (!c.mgmt.empty()) CheckAddress("mgmt", c.mgmt);
  if (c.state.empty()) throw Error("ROUTER_STATE", "names no folder for what must last");
}

}  // namespace

Config FromText(const std::string& text) {
  const Json root = Json::parse(text, nullptr, false);
  if (!root.is_object()) throw Error("ROUTER_CONFIG", "holds no JSON object");
  Config c;
  c.text = text;
  c.name = Text(root, "name");
  c.listen = Text(root, "listen");
  c.discovery = Text(root, "discovery");
  c.state = Text(root, "state");
  c.mgmt = Text(root, "mgmt");
  c.seed = Seed(root);
  const Json limits = root.value("limits", Json::object());
  if (!limits.is_object()) throw Error("limits", "must be an object");
  Limit(limits, "memory_mb", 16, 1, &c.memory_mb);
  Limit(limits, "sockets", kLeastSockets, 1, &c.sockets);
  Limit(limits, "disk_mb", 0.25, 1e6, &c.disk_bytes);
  // On scored days no more than 1,024 are given, whatever the file says.
  c.sockets = std::min<std::size_t>(c.sockets, 1024);
  c.known = root.value("known", Json::object()).dump();
  const auto settings = root.find("settings");
  if (settings == root.end() || !settings->is_object()) throw Error("settings", "must be an object");
  CheckSettings(*settings);
  std::vector<std::string> report_fields;
  try {
    c.settings = wheathub::wire::ParseSettings(settings->dump(), &report_fields);
    c.zones = settings->value("zones", std::vector<std::string>());
  } catch (const std::exception& e) {
    throw Error("settings", e.what());
  }
  if (c.settings.tick.count() <= 0) c.settings.tick = std::chrono::milliseconds(5);
  // Between a relay and an endpoint there is one call for each message, and no probe: whatever else the
  // settings allow, the module must not count on it.
  c.settings.may_probe = false;
  for (auto& kind : c.settings.kinds) kind.bundle_max = 1;
  // All that is delivered in time meets a goal that lies beyond the deadline.
  for (auto& each : c.settings.classes) each.aim = std::min(each.aim, each.deadline);
  return c;
}

Config Checked(const std::string& text) {
  Config c = FromText(text);
  Check(c);
  return c;
}

Config FromEnvironment() {
  Config c = FromText(FileText());
  Override("ROUTER_NAME", &c.name);
  Override("ROUTER_LISTEN", &c.listen);
  Override("ROUTER_DISCOVERY", &c.discovery);
  Override("ROUTER_STATE", &c.state);
  Override("ROUTER_MGMT", &c.mgmt);
  c.listen_fd = ListenFd();
  Check(c);
  FitToSystem(&c);
  return c;
}

Config Reread(const Config& running) {
  Config c = FromText(FileText());
  CheckShape(Json::parse(running.text), Json::parse(c.text));
  Override("ROUTER_NAME", &c.name);
  Override("ROUTER_LISTEN", &c.listen);
  Override("ROUTER_STATE", &c.state);
  Override("ROUTER_MGMT", &c.mgmt);
  c.listen_fd = running.listen_fd;
  if (c.discovery.empty()) c.discovery = running.discovery;
  Check(c);
  FitToSystem(&c);
  return c;
}

std::vector<std::string> NeedingRestart(const Config& running, const Config& next) {
  std::vector<std::string> keys;
  if (next.name != running.name) keys.emplace_back("name");
  if (next.listen != running.listen) keys.emplace_back("listen");
  if (next.state != running.state) keys.emplace_back("state");
  if (next.mgmt != running.mgmt) keys.emplace_back("mgmt");
  if (next.disk_bytes != running.disk_bytes) keys.emplace_back("limits.disk_mb");
  const auto& was = running.settings.tenants;
  const auto& is = next.settings.tenants;
  const bool same = std::equal(
      was.begin(), was.end(), is.begin(), is.end(),
      [](const auto& a, const auto& b) { return a.name == b.name && a.quota_per_s == b.quota_per_s; });
  if (!same) keys.emplace_back("settings.projects");
  return keys;
}

}  // namespace oxbowspread::config
