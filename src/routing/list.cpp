#include "routing/list.hpp"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace oxbowspread::routing {
namespace {

using Json = nlohmann::json;

int Place(const Json& entry, const char* key, const std::vector<std::string>& names) {
  const auto it = entry.find(key);
  if (it == entry.end()) return 0;
  if (it->is_number_integer()) return *it;
  if (!it->is_string()) return 0;
  const auto text = it->get<std::string>();
  const auto name = std::find(names.begin(), names.end(), text);
  if (name != names.end()) return static_cast<int>(name - names.begin());
  // A name that the settings lack is a place of its own: two strange zones must not pass for one.
  return static_cast<int>(names.size() + std::hash<std::string>()(text) % 1'000'000);
}

wheathub::Lifecycle StateOf(const std::string& word) {
  if (word == "Ready") return wheathub::Lifecycle::kUp;
  // An unknown state is no leave to send there.
  return word == "Gone" ? wheathub::Lifecycle::kRemoved : wheathub::Lifecycle::kDraining;
}

// One entry that can't be read must not hide the others, nor the drain of one of them.
std::optional<relay::Host> ReadHost(const Json& entry, const Names& names) {
  try {
    relay::Host host;
    host.info.id = entry.at("id").get<std::string>();
    if (host.info.id.empty()) return std::nullopt;
    host.address = entry.value("addr", "");
    host.info.destination = entry.value("cell", std::int64_t{0});
    host.info.zone = Place(entry, "zone", names.zones);
    host.info.kind = Place(entry, "kind", names.kinds);
    host.info.weight = entry.value("weight", 1.0);
    host.info.lifecycle = StateOf(entry.value("state", "Ready"));
    return host;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<relay::RoutingChange> ReadList(std::string_view json, const Names& names) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return std::nullopt;
  try {
    relay::RoutingChange change;
    change.revision = root.value("version", std::int64_t{0});
    change.scope = root.value("full", false) ? wheathub::ListScope::kAll : wheathub::ListScope::kChanges;
    for (const Json& entry : root.value("servers", Json::array())) {
      auto host = ReadHost(entry, names);
      if (host) change.hosts.push_back(std::move(*host));
    }
    return change;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::vector<std::string> ListStream::Feed(std::string_view bytes) {
  std::vector<std::string> whole;
  for (const char c : bytes) {
    const bool space = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    if (text_.empty() && space) continue;
    text_ += c;
    if (quoted_) {
      quoted_ = escaped_ || c != '"';
      escaped_ = c == '\\' && !escaped_;
      continue;
    }
    quoted_ = c == '"';
    if (c == '{' || c == '[') depth_ += 1;
    if (c == '}' || c == ']') depth_ -= 1;
    const bool closed = c == '}' || c == ']';
    if (depth_ > 0 || (!closed && c != '\n')) continue;
    whole.push_back(std::exchange(text_, {}));
    depth_ = 0;
  }
  return whole;
}

}  // namespace oxbowspread::routing
