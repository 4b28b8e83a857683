#include "config/shape.hpp"

#include <cmath>
#include <set>
#include <string>

#include "config/config.hpp"

namespace oxbowspread::config {
namespace {

using Json = nlohmann::json;

constexpr double kLongestS = 7 * 24 * 3600;
constexpr double kMostAttempts = 1000;

// What may be absent in one file and present in another: what is new with each start, and what only some
// effects of a class need.
const std::set<std::string> kOptional = {"known", "seed", "settings.services.key-scope",
                                         "settings.services.repeat-window-s",
                                         "settings.services.one-at-a-time"};

std::string KindOf(const Json& j) { return j.is_number() ? "number" : j.type_name(); }

void Compare(const std::string& path, const Json& running, const Json& next) {
  if (KindOf(running) != KindOf(next))
    throw Error(path, "must be a " + KindOf(running) + ", not " + next.dump());
  if (running.is_array() && !running.empty() && running.front().is_object()) {
    // Each must be as whole as the first of the running ones.
    for (const Json& item : next) Compare(path, running.front(), item);
  }
  if (!running.is_object()) return;
  for (const auto& [key, value] : running.items()) {
    const std::string inner = path.empty() ? key : path + "." + key;
    if (kOptional.count(inner) > 0) continue;
    const auto it = next.find(key);
    if (it == next.end()) throw Error(inner, "is missing");
    Compare(inner, value, *it);
  }
}

void AboveZero(const std::string& path, const Json& object, const char* key, double most, bool whole) {
  const auto it = object.find(key);
  if (it == object.end()) return;
  const std::string name = path + "." + key;
  const bool number = it->is_number() && std::isfinite(it->get<double>());
  if (!number || it->get<double>() <= 0) throw Error(name, "must be a number above 0, not " + it->dump());
  if (it->get<double>() > most) throw Error(name, "is too large: " + it->dump());
  if (whole && it->get<double>() != std::floor(it->get<double>())) {
    throw Error(name, "must be a whole number, not " + it->dump());
  }
}

}  // namespace

void CheckShape(const Json& running, const Json& next) { Compare("", running, next); }

void CheckSettings(const Json& settings) {
  const auto services = settings.find("services");
  if (services != settings.end() && services->is_array()) {
    std::set<std::string> names;
    for (const Json& service : *services) {
      const auto name = service.find("name");
      const bool named = name != service.end() && name->is_string() && !name->get<std::string>().empty();
      if (!named) throw Error("settings.services.name", "a class needs a name");
      if (!names.insert(*name).second)
        throw Error("settings.services.name", "two classes are named " + name->dump());
      const std::string path = "settings.services." + name->get<std::string>();
      if (service.count("deadline-s") == 0) throw Error(path + ".deadline-s", "is missing");
      AboveZero(path, service, "deadline-s", kLongestS, false);
    }
  }
  const auto limits = settings.find("limits");
  if (limits != settings.end() && limits->is_object()) {
    AboveZero("settings.limits", *limits, "send-cap", kMostAttempts, true);
  }
}

}  // namespace oxbowspread::config
