#include "config/shape.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace oxbowspread::config {
namespace {

using Json = nlohmann::json;

constexpr double kLongestS = 7 * 24 * 3600;
constexpr double kMostAttempts = 1000;
constexpr double kMostWhole = 1e9;

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

// What the settings' keys may hold, where they are there; keys that stand nowhere here are passed over.
enum class Holds {
  kAnyNumber,
  kNumber,
  kPositive,
  kWhole,
  kPositiveWhole,
  kBool,
  kText,
  kTexts,
  kBools,
  kNumbers,
  kWholes
};

bool IsAnyNumber(const Json& j) { return j.is_number() && std::isfinite(j.get<double>()); }
bool IsNumber(const Json& j) { return IsAnyNumber(j) && j.get<double>() >= 0; }
bool IsWhole(const Json& j) {
  return IsNumber(j) && j.get<double>() == std::floor(j.get<double>()) && j.get<double>() <= kMostWhole;
}
bool Each(const Json& j, bool (*holds)(const Json&)) {
  return j.is_array() && std::all_of(j.begin(), j.end(), holds);
}

void CheckValue(const std::string& path, const Json& value, Holds holds) {
  const auto must = [&](bool good, const char* what) {
    if (!good) throw Error(path, std::string("must be ") + what + ", not " + value.dump());
  };
  switch (holds) {
    case Holds::kAnyNumber:
      return must(IsAnyNumber(value), "a number");
    case Holds::kNumber:
      return must(IsNumber(value), "a number, 0 or more");
    case Holds::kPositive:
      return must(IsNumber(value) && value.get<double>() > 0, "a number above 0");
    case Holds::kWhole:
      return must(IsWhole(value), "a whole number, 0 or more");
    case Holds::kPositiveWhole:
      return must(IsWhole(value) && value.get<double>() > 0, "a whole number above 0");
    case Holds::kBool:
      return must(value.is_boolean(), "true or false");
    case Holds::kText:
      return must(value.is_string(), "a text");
    case Holds::kTexts:
      return must(Each(value, [](const Json& j) { return j.is_string(); }), "a list of texts");
    case Holds::kBools:
      return must(Each(value, [](const Json& j) { return j.is_boolean(); }), "a list of true and false");
    case Holds::kNumbers:
      return must(Each(value, IsAnyNumber), "a list of numbers");
    case Holds::kWholes:
      return must(Each(value, IsWhole), "a list of whole numbers, 0 or more");
  }
}

using Keys = std::vector<std::pair<const char*, Holds>>;

void CheckKeys(const std::string& path, const Json& object, const Keys& keys) {
  if (!object.is_object()) throw Error(path, "must be an object, not " + object.dump());
  for (const auto& [key, holds] : keys) {
    const auto it = object.find(key);
    if (it != object.end()) CheckValue(path + "." + key, *it, holds);
  }
}

void AtMost(const std::string& path, const Json& object, const char* key, double most) {
  const auto it = object.find(key);
  if (it != object.end() && it->get<double>() > most)
    throw Error(path + "." + key, "is too large: " + it->dump());
}

void CheckClass(const Json& service, std::set<std::string>* names) {
  const auto name = service.is_object() ? service.find("name") : service.end();
  const bool named = service.is_object() && name != service.end() && name->is_string() && *name != "";
  if (!named) throw Error("settings.services.name", "a class needs a name");
  if (!names->insert(*name).second)
    throw Error("settings.services.name", "two classes are named " + name->dump());
  const std::string path = "settings.services." + name->get<std::string>();
  CheckKeys(path, service,
            {{"deadline-s", Holds::kPositive},
             {"goal-time-s", Holds::kNumber},
             {"semantics", Holds::kText},
             {"key-scope", Holds::kText},
             {"one-at-a-time", Holds::kBool},
             {"repeat-window-s", Holds::kNumber},
             {"worth", Holds::kNumber},
             {"late-value", Holds::kAnyNumber}});
  for (const char* key : {"deadline-s", "semantics"}) {
    if (service.count(key) == 0) throw Error(path + "." + key, "is missing");
  }
  for (const char* key : {"deadline-s", "goal-time-s", "repeat-window-s"})
    AtMost(path, service, key, kLongestS);
  static const std::set<std::string> effects = {"idempotent", "deduplicated", "at_most_once"};
  if (effects.count(service["semantics"]) == 0)
    throw Error(path + ".semantics", "is no effect: " + service["semantics"].dump());
  if (service["semantics"] == "deduplicated" && !(service.value("repeat-window-s", 0.0) > 0))
    throw Error(path + ".repeat-window-s", "must be above 0 where repeats are dropped by key");
}

}  // namespace

void CheckShape(const Json& running, const Json& next) { Compare("", running, next); }

void CheckSettings(const Json& settings) {
  const std::string path = "settings";
  CheckKeys(path, settings,
            {{"balancers", Holds::kPositiveWhole},
             {"rank", Holds::kWhole},
             {"models", Holds::kTexts},
             {"zones", Holds::kTexts},
             {"weights", Holds::kText},
             {"over-share-worth", Holds::kAnyNumber},
             {"discovery", Holds::kText},
             {"tick-s", Holds::kNumber}});
  const auto services = settings.find("services");
  const bool classes = services != settings.end() && services->is_array() && !services->empty();
  if (!classes) throw Error("settings.services", "must be a list of classes");
  std::set<std::string> names;
  for (const Json& service : *services) CheckClass(service, &names);
  const auto part = [&](const char* key, const Keys& keys) {
    const auto it = settings.find(key);
    if (it != settings.end()) CheckKeys(path + "." + key, *it, keys);
    return it == settings.end() ? Json::object() : *it;
  };
  const Json limits = part("limits", {{"cancel", Holds::kBool},
                                      {"connect-timeout-s", Holds::kNumber},
                                      {"keepalive-s", Holds::kNumber},
                                      {"max-open", Holds::kWhole},
                                      {"max-retry-after-s", Holds::kNumber},
                                      {"retry-after", Holds::kBool},
                                      {"send-cap", Holds::kPositiveWhole},
                                      {"probing", Holds::kBool},
                                      {"peers", Holds::kBool}});
  AtMost("settings.limits", limits, "send-cap", kMostAttempts);
  for (const char* key : {"connect-timeout-s", "keepalive-s", "max-retry-after-s"})
    AtMost("settings.limits", limits, key, kLongestS);
  const Keys times = {{"ask-within-s", Holds::kNumber},   {"cold-s", Holds::kNumber},
                      {"drain-grace-s", Holds::kNumber},  {"grace-to-answer-s", Holds::kNumber},
                      {"order-settle-s", Holds::kNumber}, {"tip-after-s", Holds::kNumber},
                      {"cold-from", Holds::kNumber},      {"fall-multiple", Holds::kNumber}};
  const Json rules = part("invariants", times);
  for (const auto& [key, holds] : times) AtMost("settings.invariants", rules, key, kLongestS);
  part("family-info", {{"calls-out", Holds::kWhole},
                       {"decay", Holds::kText},
                       {"refused-price", Holds::kAnyNumber},
                       {"carriage", Holds::kNumbers},
                       {"kind-apart", Holds::kBools},
                       {"bundle-max", Holds::kWholes}});
  const Json tenants = settings.value("projects", Json::array());
  if (!tenants.is_array()) throw Error("settings.projects", "must be a list of tenants");
  for (const Json& tenant : tenants) {
    CheckKeys("settings.projects", tenant, {{"name", Holds::kText}, {"quota-rps", Holds::kNumber}});
  }
}

}  // namespace oxbowspread::config
