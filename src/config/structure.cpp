#include "config/structure.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "config/config.hpp"

namespace oxbowspread::config {
namespace {

using Json = nlohmann::json;

// Keys that change with each start.
const std::set<std::string> kStartKeys = {"known", "seed"};
// Keys of a class that only the semantics "deduplicated" need.
const std::set<std::string> kDeduplicationKeys = {"key-scope", "repeat-window-s"};
// Keys that a class has only if it is different from most classes in this respect.
const std::set<std::string> kOptionalClassKeys = {"one-at-a-time", "aim-stretch"};

std::string TypeName(const Json& value) { return value.is_number() ? "number" : value.type_name(); }

bool IsClassList(const std::string& path) { return path == "settings.services"; }

std::string NameOf(const Json& element) {
  const auto name = element.find("name");
  return name != element.end() && name->is_string() ? name->get<std::string>() : std::string();
}

// Returns whether a class may lack a key that the running class of that name has.
bool MayBeRemoved(const std::string& key, const Json& running_class, const Json& next_class) {
  if (kDeduplicationKeys.count(key) > 0) return next_class.at("semantics") != "deduplicated";
  return key == "one-at-a-time" && running_class.at(key) == false;
}

// Returns the keys that all elements have, with the values of the first one.
Json CommonKeys(const Json& list) {
  Json common = list.front();
  for (const Json& element : list) {
    for (auto it = common.begin(); it != common.end();) {
      it = element.contains(it.key()) ? std::next(it) : common.erase(it);
    }
  }
  return common;
}

// Returns the keys that an element of the next list must have: those of the running element of that name
// except the removable ones, or for a new element the keys that all running elements have.
Json RequiredKeys(const std::string& path, const Json& running_list, const Json& next_element) {
  const std::string name = NameOf(next_element);
  const auto running = std::find_if(running_list.begin(), running_list.end(),
                                    [&](const Json& element) { return NameOf(element) == name; });
  const bool is_new = running == running_list.end();
  Json required = is_new ? CommonKeys(running_list) : *running;
  if (!IsClassList(path)) return required;
  const Json reference = required;
  for (const auto& [key, value] : reference.items()) {
    const bool is_optional = is_new && kOptionalClassKeys.count(key) > 0;
    if (is_optional || MayBeRemoved(key, reference, next_element)) required.erase(key);
  }
  return required;
}

void CompareStructure(const std::string& path, const Json& running, const Json& next);

// Compares lists of objects; lists of other values may have any elements.
void CompareElements(const std::string& path, const Json& running_list, const Json& next_list) {
  if (running_list.empty() || !running_list.front().is_object()) return;
  for (const Json& element : next_list) {
    if (!element.is_object()) throw Error(path, "must be a list of objects, not of " + element.dump());
    const std::string name = NameOf(element);
    CompareStructure(name.empty() ? path : path + "." + name, RequiredKeys(path, running_list, element),
                     element);
  }
}

void CompareStructure(const std::string& path, const Json& running, const Json& next) {
  if (TypeName(running) != TypeName(next))
    throw Error(path, "must be a " + TypeName(running) + ", not " + next.dump());
  if (running.is_array()) CompareElements(path, running, next);
  if (!running.is_object()) return;
  for (const auto& [key, value] : running.items()) {
    const std::string key_path = path.empty() ? key : path + "." + key;
    if (kStartKeys.count(key_path) > 0) continue;
    const auto it = next.find(key);
    if (it == next.end()) throw Error(key_path, "is missing");
    CompareStructure(key_path, value, *it);
  }
}

}  // namespace

void CheckSameStructure(const Json& running, const Json& next) { CompareStructure("", running, next); }

}  // namespace oxbowspread::config
