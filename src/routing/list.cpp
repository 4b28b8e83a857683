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

// One entry that can't be read hides neither the others nor the drain of one of them, and its own host gets
// nothing new.
relay::Host ReadHost(const Json& entry, const std::string& id, const Names& names) {
  relay::Host host;
  host.info.id = id;
  host.address = entry.value("addr", "");
  host.info.destination = entry.value("cell", std::int64_t{0});
  host.info.zone = Place(entry, "zone", names.zones);
  host.info.kind = Place(entry, "kind", names.kinds);
  host.info.weight = entry.value("weight", 1.0);
  host.info.lifecycle = StateOf(entry.value("state", "Ready"));
  return host;
}

std::string IdOf(const Json& entry) {
  if (!entry.is_object() || !entry.contains("id") || !entry["id"].is_string()) return {};
  return entry["id"].get<std::string>();
}

void ReadEntry(const Json& entry, const Names& names, List* list) {
  const std::string id = IdOf(entry);
  if (id.empty()) return list->unreadable.push_back("one without an id");
  try {
    list->change.hosts.push_back(ReadHost(entry, id, names));
  } catch (const Json::exception&) {
    list->unreadable.push_back(id);
    relay::Host draining;
    draining.info.id = id;
    draining.info.lifecycle = wheathub::Lifecycle::kDraining;
    draining.state_only = true;
    list->change.hosts.push_back(std::move(draining));
  }
}

}  // namespace

std::optional<List> ReadList(std::string_view json, const Names& names) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return std::nullopt;
  try {
    List list;
    list.change.revision = root.value("version", std::int64_t{0});
    const bool full = root.value("full", false);
    list.change.scope = full ? wheathub::ListScope::kAll : wheathub::ListScope::kChanges;
    const Json servers = root.value("servers", Json::array());
    if (!servers.is_array()) return std::nullopt;
    for (const Json& entry : servers) ReadEntry(entry, names, &list);
    return list;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

ListStream::Units ListStream::Feed(std::string_view bytes) {
  Units units;
  for (const char c : bytes) {
    const bool space = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    if (text_.empty() && space) {
      units.empty_lines += c == '\n' && line_empty_;
      if (c == '\n') line_empty_ = true;
      continue;
    }
    line_empty_ = false;
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
    if (c == '\n') line_empty_ = true;
    units.objects.push_back(std::exchange(text_, {}));
    depth_ = 0;
  }
  return units;
}

}  // namespace oxbowspread::routing
