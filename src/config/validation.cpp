#include "config/validation.hpp"

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

constexpr double kMaxDurationSeconds = 7 * 24 * 3600;
constexpr double kMaxAttempts = 1000;
constexpr double kMaxWholeNumber = 1e9;

// The type of a value in the settings. Keys that are not listed in CheckSettings or CheckClass are not
// checked.
enum class ValueType {
  kAnyNumber,
  kNonNegative,
  kPositive,
  kWholeNumber,
  kPositiveWholeNumber,
  kBool,
  kText,
  kTextList,
  kBoolList,
  kNumberList,
  kWholeNumberList
};

bool IsAnyNumber(const Json& value) { return value.is_number() && std::isfinite(value.get<double>()); }
bool IsNonNegative(const Json& value) { return IsAnyNumber(value) && value.get<double>() >= 0; }
bool IsWholeNumber(const Json& value) {
  return IsNonNegative(value) && value.get<double>() == std::floor(value.get<double>()) &&
         value.get<double>() <= kMaxWholeNumber;
}
bool AllElements(const Json& value, bool (*predicate)(const Json&)) {
  return value.is_array() && std::all_of(value.begin(), value.end(), predicate);
}

void CheckValue(const std::string& path, const Json& value, ValueType type) {
  const auto require = [&](bool is_valid, const char* expected) {
    if (!is_valid) throw Error(path, std::string("must be ") + expected + ", not " + value.dump());
  };
  switch (type) {
    case ValueType::kAnyNumber:
      return require(IsAnyNumber(value), "a number");
    case ValueType::kNonNegative:
      return require(IsNonNegative(value), "a number, 0 or more");
    case ValueType::kPositive:
      return require(IsNonNegative(value) && value.get<double>() > 0, "a number above 0");
    case ValueType::kWholeNumber:
      return require(IsWholeNumber(value), "a whole number, 0 or more");
    case ValueType::kPositiveWholeNumber:
      return require(IsWholeNumber(value) && value.get<double>() > 0, "a whole number above 0");
    case ValueType::kBool:
      return require(value.is_boolean(), "true or false");
    case ValueType::kText:
      return require(value.is_string(), "a text");
    case ValueType::kTextList:
      return require(AllElements(value, [](const Json& element) { return element.is_string(); }),
                     "a list of texts");
    case ValueType::kBoolList:
      return require(AllElements(value, [](const Json& element) { return element.is_boolean(); }),
                     "a list of true and false");
    case ValueType::kNumberList:
      return require(AllElements(value, IsAnyNumber), "a list of numbers");
    case ValueType::kWholeNumberList:
      return require(AllElements(value, IsWholeNumber), "a list of whole numbers, 0 or more");
  }
}

using KeyTypes = std::vector<std::pair<const char*, ValueType>>;

void CheckKeys(const std::string& path, const Json& object, const KeyTypes& keys) {
  if (!object.is_object()) throw Error(path, "must be an object, not " + object.dump());
  for (const auto& [key, type] : keys) {
    const auto it = object.find(key);
    if (it != object.end()) CheckValue(path + "." + key, *it, type);
  }
}

void CheckAtMost(const std::string& path, const Json& object, const char* key, double maximum) {
  const auto it = object.find(key);
  if (it != object.end() && it->get<double>() > maximum)
    throw Error(path + "." + key, "is too large: " + it->dump());
}

// Checks a text that must be one of a few words, if the key is present.
void CheckWord(const std::string& path, const Json& object, const char* key,
               const std::vector<std::string>& words) {
  const auto it = object.find(key);
  if (it == object.end() || std::find(words.begin(), words.end(), *it) != words.end()) return;
  std::string expected;
  for (const std::string& word : words) {
    if (!expected.empty()) expected += word == words.back() ? " or " : ", ";
    expected += word;
  }
  throw Error(path + "." + key, "must be " + expected + ", not " + it->dump());
}

void CheckClass(const Json& service, std::set<std::string>* class_names) {
  const auto name = service.is_object() ? service.find("name") : service.end();
  const bool has_name = service.is_object() && name != service.end() && name->is_string() && *name != "";
  if (!has_name) throw Error("settings.services.name", "a class needs a name");
  if (!class_names->insert(*name).second)
    throw Error("settings.services.name", "two classes are named " + name->dump());
  const std::string path = "settings.services." + name->get<std::string>();
  CheckKeys(path, service,
            {{"deadline-s", ValueType::kPositive},
             {"goal-time-s", ValueType::kNonNegative},
             {"semantics", ValueType::kText},
             {"key-scope", ValueType::kText},
             {"one-at-a-time", ValueType::kBool},
             {"repeat-window-s", ValueType::kNonNegative},
             {"worth", ValueType::kNonNegative},
             {"late-value", ValueType::kAnyNumber}});
  for (const char* key : {"deadline-s", "semantics"}) {
    if (service.count(key) == 0) throw Error(path + "." + key, "is missing");
  }
  for (const char* key : {"deadline-s", "goal-time-s", "repeat-window-s"})
    CheckAtMost(path, service, key, kMaxDurationSeconds);
  CheckWord(path, service, "semantics", {"idempotent", "deduplicated", "at_most_once"});
  CheckWord(path, service, "key-scope", {"all", "zone", "cell"});
  if (service["semantics"] != "deduplicated") return;
  if (service.count("key-scope") == 0)
    throw Error(path + ".key-scope", "is missing, and the semantics deduplicated need it");
  if (!(service.value("repeat-window-s", 0.0) > 0))
    throw Error(path + ".repeat-window-s", "must be above 0 for the semantics deduplicated");
}

}  // namespace

void CheckSettings(const Json& settings) {
  const std::string path = "settings";
  CheckKeys(path, settings,
            {{"balancers", ValueType::kPositiveWholeNumber},
             {"rank", ValueType::kWholeNumber},
             {"models", ValueType::kTextList},
             {"zones", ValueType::kTextList},
             {"over-share-worth", ValueType::kAnyNumber},
             {"tick-s", ValueType::kNonNegative}});
  CheckWord(path, settings, "discovery", {"push", "ask"});
  CheckWord(path, settings, "weights", {"none", "nominal", "rough", "live"});
  const auto services = settings.find("services");
  const bool has_classes = services != settings.end() && services->is_array() && !services->empty();
  if (!has_classes) throw Error("settings.services", "must be a list of classes");
  std::set<std::string> class_names;
  for (const Json& service : *services) CheckClass(service, &class_names);
  const auto check_section = [&](const char* key, const KeyTypes& keys) {
    const auto it = settings.find(key);
    if (it != settings.end()) CheckKeys(path + "." + key, *it, keys);
    return it == settings.end() ? Json::object() : *it;
  };
  const Json limits = check_section("limits", {{"cancel", ValueType::kBool},
                                               {"connect-timeout-s", ValueType::kNonNegative},
                                               {"keepalive-s", ValueType::kNonNegative},
                                               {"max-open", ValueType::kWholeNumber},
                                               {"max-retry-after-s", ValueType::kNonNegative},
                                               {"retry-after", ValueType::kBool},
                                               {"send-cap", ValueType::kPositiveWholeNumber},
                                               {"probing", ValueType::kBool},
                                               {"peers", ValueType::kBool}});
  CheckAtMost("settings.limits", limits, "send-cap", kMaxAttempts);
  for (const char* key : {"connect-timeout-s", "keepalive-s", "max-retry-after-s"})
    CheckAtMost("settings.limits", limits, key, kMaxDurationSeconds);
  const KeyTypes times = {
      {"ask-within-s", ValueType::kNonNegative},   {"cold-s", ValueType::kNonNegative},
      {"drain-grace-s", ValueType::kNonNegative},  {"grace-to-answer-s", ValueType::kNonNegative},
      {"order-settle-s", ValueType::kNonNegative}, {"tip-after-s", ValueType::kNonNegative},
      {"cold-from", ValueType::kNonNegative},      {"fall-multiple", ValueType::kNonNegative}};
  const Json invariants = check_section("invariants", times);
  for (const auto& [key, type] : times)
    CheckAtMost("settings.invariants", invariants, key, kMaxDurationSeconds);
  check_section("family-info", {{"calls-out", ValueType::kWholeNumber},
                                {"refused-price", ValueType::kAnyNumber},
                                {"carriage", ValueType::kNumberList},
                                {"kind-apart", ValueType::kBoolList},
                                {"bundle-max", ValueType::kWholeNumberList}});
  CheckWord("settings.family-info", settings.value("family-info", Json::object()), "decay",
            {"even", "by_half"});
  const Json tenants = settings.value("projects", Json::array());
  if (!tenants.is_array()) throw Error("settings.projects", "must be a list of tenants");
  for (const Json& tenant : tenants) {
    CheckKeys("settings.projects", tenant,
              {{"name", ValueType::kText}, {"quota-rps", ValueType::kNonNegative}});
  }
}

std::vector<std::string> DefaultedRuleKeys(const Json& settings) {
  struct RuleKey {
    const char* pointer;
    const char* key;
    const char* default_meaning;
  };
  static const std::vector<RuleKey> rule_keys = {
      {"/balancers", "balancers", "this relay counts as the only one"},
      {"/discovery", "discovery", "lists count as pushed"},
      {"/family-info/calls-out", "family-info.calls-out", "calls at once have no limit"},
      {"/limits/max-open", "limits.max-open", "messages held at once have no limit"},
      {"/limits/send-cap", "limits.send-cap", "attempts of a message have no limit"},
      {"/invariants/cold-from", "invariants.cold-from", "endpoints return with their full capacity"},
      {"/invariants/cold-s", "invariants.cold-s", "endpoints return with their full capacity"}};
  std::vector<std::string> lines;
  for (const RuleKey& rule_key : rule_keys) {
    if (settings.contains(Json::json_pointer(rule_key.pointer))) continue;
    lines.push_back(std::string("settings.") + rule_key.key + " is missing: " + rule_key.default_meaning);
  }
  return lines;
}

}  // namespace oxbowspread::config
