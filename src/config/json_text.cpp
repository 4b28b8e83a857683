#include "config/json_text.hpp"

#include <set>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace oxbowspread::config {
namespace {

using Json = nlohmann::json;

// Follows the parser through nested objects and throws Error at a key that its object already has.
class UniqueKeyCheck {
 public:
  void OnObjectStart() { open_objects_.emplace_back(); }
  void OnObjectEnd() { open_objects_.pop_back(); }
  void OnKey(const std::string& key) {
    OpenObject& object = open_objects_.back();
    object.last_key = key;
    if (!object.keys.insert(key).second) throw Error(Path(), "is given twice");
  }

 private:
  struct OpenObject {
    std::set<std::string> keys;
    std::string last_key;
  };

  std::string Path() const {
    std::string path;
    for (const OpenObject& object : open_objects_) path += (path.empty() ? "" : ".") + object.last_key;
    return path;
  }

  std::vector<OpenObject> open_objects_;  // the innermost one last
};

}  // namespace

Json ParseObject(const std::string& text) {
  UniqueKeyCheck check;
  const auto on_event = [&](int, Json::parse_event_t event, Json& value) {
    if (event == Json::parse_event_t::object_start) check.OnObjectStart();
    if (event == Json::parse_event_t::key) check.OnKey(value.get<std::string>());
    if (event == Json::parse_event_t::object_end) check.OnObjectEnd();
    return true;
  };
  Json root = Json::parse(text, on_event, false);
  if (!root.is_object()) throw Error("ROUTER_CONFIG", "does not contain a JSON object");
  return root;
}

}  // namespace oxbowspread::config
