#include "routing/list.hpp"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace oxbowspread::routing {
namespace {

using Json = nlohmann::json;

// Indexes from here on stand for names that are not in the settings.
constexpr int kFirstUnlistedIndex = 1'000'000;
constexpr int kUnlistedIndexes = 1'000'000;

// Returns the entry's zone or kind as an index. A number is used as it is, a name is looked up in `names`.
// The default is 0.
int IndexOf(const Json& entry, const char* key, const std::vector<std::string>& names) {
  const auto it = entry.find(key);
  if (it == entry.end()) return 0;
  if (it->is_number_integer()) return *it;
  if (!it->is_string()) return 0;
  const auto text = it->get<std::string>();
  const auto name = std::find(names.begin(), names.end(), text);
  if (name != names.end()) return static_cast<int>(name - names.begin());
  // A name that is not in the settings gets an index of its own, because two unknown zones must not be
  // treated as the same zone. The index doesn't depend on the settings, which a reload may change.
  return kFirstUnlistedIndex + static_cast<int>(std::hash<std::string>()(text) % kUnlistedIndexes);
}

wheathub::Lifecycle ParseLifecycle(const std::string& state) {
  if (state == "Ready") return wheathub::Lifecycle::kUp;
  // A host in an unknown state counts as draining, so that nothing is sent to it.
  return state == "Gone" ? wheathub::Lifecycle::kRemoved : wheathub::Lifecycle::kDraining;
}

// Throws Json::exception if a field has the wrong type.
relay::Host ParseHost(const Json& entry, const std::string& id, const ZoneAndKindNames& names) {
  relay::Host host;
  host.info.id = id;
  host.address = entry.value("addr", "");
  host.info.destination = entry.value("cell", std::int64_t{0});
  host.info.zone = IndexOf(entry, "zone", names.zones);
  host.info.kind = IndexOf(entry, "kind", names.kinds);
  host.info.weight = entry.value("weight", 1.0);
  host.info.lifecycle = ParseLifecycle(entry.value("state", "Ready"));
  return host;
}

// Returns the entry's id; empty if it has none.
std::string IdOf(const Json& entry) {
  if (!entry.is_object() || !entry.contains("id") || !entry["id"].is_string()) return {};
  return entry["id"].get<std::string>();
}

// Adds the entry to the list. An invalid entry must not prevent the other entries from being applied, because
// one of them may be a drain. The invalid entry's own host is added as draining, so that it gets no new
// calls.
void ParseEntry(const Json& entry, const ZoneAndKindNames& names, HostList* list) {
  const std::string id = IdOf(entry);
  if (id.empty()) return list->invalid_entries.push_back("one without an id");
  try {
    list->change.hosts.push_back(ParseHost(entry, id, names));
  } catch (const Json::exception&) {
    list->invalid_entries.push_back(id);
    relay::Host draining;
    draining.info.id = id;
    draining.info.lifecycle = wheathub::Lifecycle::kDraining;
    draining.state_only = true;
    list->change.hosts.push_back(std::move(draining));
  }
}

}  // namespace

std::optional<HostList> ParseHostList(std::string_view json, const ZoneAndKindNames& names) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return std::nullopt;
  try {
    HostList list;
    list.change.revision = root.value("version", std::int64_t{0});
    const bool full = root.value("full", false);
    list.change.scope = full ? wheathub::ListScope::kAll : wheathub::ListScope::kChanges;
    const Json servers = root.value("servers", Json::array());
    if (!servers.is_array()) return std::nullopt;
    for (const Json& entry : servers) ParseEntry(entry, names, &list);
    return list;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

JsonStreamSplitter::Batch JsonStreamSplitter::Feed(std::string_view bytes) {
  Batch batch;
  for (const char c : bytes) {
    const bool is_space = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    if (object_text_.empty() && is_space) {
      batch.empty_lines += c == '\n' && line_is_empty_;
      if (c == '\n') line_is_empty_ = true;
      continue;
    }
    line_is_empty_ = false;
    object_text_ += c;
    if (in_string_) {
      in_string_ = escaped_ || c != '"';
      escaped_ = c == '\\' && !escaped_;
      continue;
    }
    in_string_ = c == '"';
    if (c == '{' || c == '[') bracket_depth_ += 1;
    if (c == '}' || c == ']') bracket_depth_ -= 1;
    const bool is_closing_bracket = c == '}' || c == ']';
    if (bracket_depth_ > 0 || (!is_closing_bracket && c != '\n')) continue;
    if (c == '\n') line_is_empty_ = true;
    batch.objects.push_back(std::exchange(object_text_, {}));
    bracket_depth_ = 0;
  }
  return batch;
}

}  // namespace oxbowspread::routing
