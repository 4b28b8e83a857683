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

// Lists the optional fields under their outer names, for writing and for reading.
template <typename E, typename Visit>
void VisitFields(E&& e, Visit visit) {
  visit("message", e.message);
  visit("id", e.id);
  visit("relay", e.relay);
  visit("host", e.host);
  visit("destination", e.destination);
  visit("zone", e.zone);
  visit("until_us", e.deadline);
  visit("wait_us", e.retry_after);
  visit("status", e.status);
  visit("fresh", e.new_connection);
  visit("over_limit", e.over_limit);
  visit("deferred", e.deferred);
  visit("up", e.up);
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
    Event e;
    e.at = Time(json.at("at_us").get<Time::rep>());
    const std::string kind = json.at("kind");
    std::size_t index = 0;
    while (index < kNames.size() && kind != kNames[index]) ++index;
    if (index == kNames.size()) throw std::runtime_error("kind: unknown: '" + kind + "'");
    e.kind = static_cast<Event::Kind>(index);
    VisitFields(e, [&](const char* name, auto& value) {
      const auto it = json.find(name);
      if (it == json.end()) return;
      if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Time>) {
        value = Time(it->template get<Time::rep>());
      } else {
        it->get_to(value);
      }
    });
    return e;
  } catch (const Json::exception& e) {
    throw std::runtime_error(std::string("not a trace event: ") + e.what());
  }
}

}  // namespace oxbowspread::trace
