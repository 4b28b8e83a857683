#include "trace/event.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace oxbowspread::trace {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array kNames = {"asked",      "handed",    "taken",   "turned-away", "left", "given-up",
                               "called",     "answered",  "dropped", "noticed",     "told", "ready",
                               "terminated", "dead",      "stopped", "outage",      "back", "fell",
                               "changed",    "discovery", "end"};
static_assert(kNames.size() == static_cast<std::size_t>(Event::Kind::kEnd) + 1);

// Calls `visit` with the name in a stored trace and the value of each optional field, for writing and
// reading.
template <typename EventReference, typename Visit>
void VisitFields(EventReference&& event, Visit visit) {
  visit("message", event.message);
  visit("id", event.id);
  visit("relay", event.relay);
  visit("host", event.host);
  visit("destination", event.destination);
  visit("zone", event.zone);
  visit("until_us", event.deadline);
  visit("wait_us", event.retry_after);
  visit("status", event.status);
  visit("fresh", event.new_connection);
  visit("over_limit", event.over_limit);
  visit("deferred", event.deferred);
  visit("up", event.up);
}

}  // namespace

const char* NameOf(Event::Kind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::string ToJsonLine(const Event& event) {
  Json json = {{"at_us", event.at.count()}, {"kind", NameOf(event.kind)}};
  const auto put = [](Json& target) {
    return [&target](const char* name, const auto& value) {
      if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Time>) {
        target[name] = value.count();
      } else {
        target[name] = value;
      }
    };
  };
  static const Json defaults = [&] {
    Json default_fields;
    VisitFields(Event(), put(default_fields));
    return default_fields;
  }();
  Json fields;
  VisitFields(event, put(fields));
  for (const auto& [name, value] : fields.items()) {
    if (value != defaults.at(name)) json[name] = value;
  }
  return json.dump();
}

Event ParseJsonLine(const std::string& line) {
  try {
    const Json json = Json::parse(line);
    Event event;
    event.at = Time(json.at("at_us").get<Time::rep>());
    const std::string kind = json.at("kind");
    std::size_t index = 0;
    while (index < kNames.size() && kind != kNames[index]) ++index;
    if (index == kNames.size()) throw std::runtime_error("kind: unknown: '" + kind + "'");
    event.kind = static_cast<Event::Kind>(index);
    VisitFields(event, [&](const char* name, auto& value) {
      const auto it = json.find(name);
      if (it == json.end()) return;
      if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Time>) {
        value = Time(it->template get<Time::rep>());
      } else {
        it->get_to(value);
      }
    });
    return event;
  } catch (const Json::exception& error) {
    throw std::runtime_error(std::string("not a trace event: ") + error.what());
  }
}

}  // namespace oxbowspread::trace
