#include "model/scenario.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace oxbowspread::model {
namespace {

// Reads the parts of a scenario. Keys that are absent leave the defaults as they are.
class Reader : public yaml::Reader {
 public:
  using yaml::Reader::Reader;

  // A number, or a list of two: low and high.
  void ParseRange(const YAML::Node& map, const char* key, const std::string& path_prefix, double min,
                  double max, Range* to) const {
    const YAML::Node node = map[key];
    if (!node) return;
    const auto parse_element = [&](const YAML::Node& element) {
      double value = NAN;
      if (!element.IsScalar() || !YAML::convert<double>::decode(element, value) ||
          !(value >= min && value <= max)) {
        char text[120];
        std::snprintf(text, sizeof text, "must be a number from %g to %g, or a list of two such", min, max);
        Fail(element.Mark(), path_prefix + key, text);
      }
      return value;
    };
    if (!node.IsSequence()) {
      to->low = to->high = parse_element(node);
      return;
    }
    if (node.size() != 2) Fail(node.Mark(), path_prefix + key, "must be one number or a list of two");
    const Range range{parse_element(node[0]), parse_element(node[1])};
    if (range.low > range.high) Fail(node.Mark(), path_prefix + key, "must not begin above its end");
    *to = range;
  }
  // A duration, or a list of two: "5ms" or [5ms, 15ms]. The result is in seconds.
  void ParseDurationRange(const YAML::Node& map, const char* key, const std::string& path_prefix,
                          Range* to) const {
    const YAML::Node node = map[key];
    if (!node) return;
    const auto parse_element = [&](const YAML::Node& element) {
      YAML::Node wrapper;
      wrapper[key] = element;
      return static_cast<double>(Duration(wrapper, key, path_prefix, Time(0)).count()) / 1e6;
    };
    if (!node.IsSequence()) {
      to->low = to->high = parse_element(node);
      return;
    }
    if (node.size() != 2) Fail(node.Mark(), path_prefix + key, "must be one duration or a list of two");
    const Range range{parse_element(node[0]), parse_element(node[1])};
    if (range.low > range.high) Fail(node.Mark(), path_prefix + key, "must not begin above its end");
    *to = range;
  }
  void ParseDuration(const YAML::Node& map, const char* key, const std::string& path_prefix,
                     double* seconds) const {
    Range range{*seconds, *seconds};
    ParseDurationRange(map, key, path_prefix, &range);
    *seconds = range.low;
  }
  // A map with the keys `large` and `small`, or one value for both. `to` has two elements.
  void ParseLargeAndSmall(const YAML::Node& map, const char* key, const std::string& path_prefix,
                          bool durations, double min, double max, Range* to) const {
    const YAML::Node node = map[key];
    if (!node) return;
    constexpr std::array kKindNames = {"large", "small"};
    for (std::size_t k = 0; k < kKindNames.size(); ++k) {
      if (node.IsMap()) {
        AllowOnlyKeys(node, path_prefix + key + ".", {"large", "small"});
        durations ? ParseDurationRange(node, kKindNames[k], path_prefix + key + ".", &to[k])
                  : ParseRange(node, kKindNames[k], path_prefix + key + ".", min, max, &to[k]);
      } else {
        durations ? ParseDurationRange(map, key, path_prefix, &to[k])
                  : ParseRange(map, key, path_prefix, min, max, &to[k]);
      }
    }
  }

  void ParseTraffic(const YAML::Node& node, Scenario::Traffic* traffic) const {
    if (!node) return;
    AllowOnlyKeys(node, "traffic",
                  {"load", "shape", "swing", "clumps", "clump", "body", "retries", "backoff", "honour",
                   "again", "beside", "times"});
    ParseRange(node, "load", "traffic.", 0, 100, &traffic->load);
    const std::string shape = Text(node, "shape", "traffic.", false);
    if (!shape.empty()) {
      const std::map<std::string, Scenario::Traffic::Shape> shapes = {
          {"steady", Scenario::Traffic::Shape::kSteady},
          {"wave", Scenario::Traffic::Shape::kWave},
          {"bursty", Scenario::Traffic::Shape::kBursty},
          {"ramp", Scenario::Traffic::Shape::kRamp}};
      const auto it = shapes.find(shape);
      if (it == shapes.end())
        Fail(node["shape"].Mark(), "traffic.shape", "must be steady, wave, bursty or ramp");
      traffic->shape = it->second;
    }
    ParseRange(node, "swing", "traffic.", 0, 0.95, &traffic->amplitude);
    ParseRange(node, "clumps", "traffic.", 0, 1, &traffic->burst_share);
    ParseDurationRange(node, "clump", "traffic.", &traffic->burst_size);
    traffic->body_bytes = Integer(node, "body", "traffic.", 0, 65536, traffic->body_bytes);
    ParseRange(node, "retries", "traffic.", 0, 100, &traffic->retries);
    ParseDurationRange(node, "backoff", "traffic.", &traffic->backoff);
    ParseRange(node, "honour", "traffic.", 0, 1, &traffic->retry_after_compliance);
    ParseDurationRange(node, "again", "traffic.", &traffic->resubmit_delay);
    traffic->local_client_chance = Number(node, "beside", "traffic.", 0, 1, traffic->local_client_chance);
    ParseRange(node, "times", "traffic.", 1, 1000, &traffic->local_client_factor);
  }

  void ParsePartners(const YAML::Node& node, Scenario::Partners* partners) const {
    if (!node) return;
    AllowOnlyKeys(node, "partners",
                  {"count",         "rate",  "skew",        "hosts",         "large",     "headroom",
                   "least",         "tells", "wait",        "speed",         "spread",    "queue",
                   "spare",         "work",  "work_spread", "errors",        "cold_from", "cold",
                   "fall_multiple", "fall",  "connections", "refused_count", "window"});
    const std::string prefix = "partners.";
    partners->count = Integer(node, "count", prefix, 1, 100'000, partners->count);
    ParseRange(node, "rate", prefix, 0.001, 1e6, &partners->rate_per_partner);
    ParseRange(node, "skew", prefix, 0, 3, &partners->skew);
    ParseRange(node, "hosts", prefix, 1, 100, &partners->hosts_per_partner);
    partners->large_share = Number(node, "large", prefix, 0, 1, partners->large_share);
    ParseLargeAndSmall(node, "headroom", prefix, false, 0.01, 1000, partners->headroom);
    ParseLargeAndSmall(node, "least", prefix, false, 0.01, 1e6, partners->min_limit);
    ParseLargeAndSmall(node, "tells", prefix, false, 0, 1, partners->retry_after_chance);
    ParseLargeAndSmall(node, "wait", prefix, true, 0, 0, partners->min_retry_after);
    ParseLargeAndSmall(node, "speed", prefix, false, 0.01, 1000, partners->speed);
    ParseLargeAndSmall(node, "spread", prefix, false, 0, 10, partners->speed_spread);
    ParseLargeAndSmall(node, "queue", prefix, true, 0, 0, partners->queue_time);
    ParseRange(node, "spare", prefix, 1, 100, &partners->capacity_factor);
    ParseDurationRange(node, "work", prefix, &partners->service_time);
    ParseRange(node, "work_spread", prefix, 0, 10, &partners->service_time_cv);
    ParseRange(node, "errors", prefix, 0, 1, &partners->error_rate);
    ParseRange(node, "cold_from", prefix, 0.01, 1, &partners->warm_up_start_share);
    ParseDurationRange(node, "cold", prefix, &partners->warm_up);
    partners->collapse_load_factor =
        Number(node, "fall_multiple", prefix, 1, 1000, partners->collapse_load_factor);
    ParseDuration(node, "fall", prefix, &partners->collapse_after);
    partners->max_connections = Integer(node, "connections", prefix, 0, 1'000'000, partners->max_connections);
    Range refused_count[2] = {};
    ParseLargeAndSmall(node, "refused_count", prefix, false, 0, 1, refused_count);
    Range window[2] = {};
    ParseLargeAndSmall(node, "window", prefix, true, 0, 0, window);
    for (std::size_t k = 0; k < 2; ++k) {
      partners->refused_calls_use_limit_chance[k] = refused_count[k].high;
      partners->limit_window[k] = window[k].high;
    }
  }

  void ParseRelay(const YAML::Node& node, Scenario::RelaySettings* relay) const {
    if (!node) return;
    AllowOnlyKeys(node, "relay",
                  {"slots", "least_slots", "hold", "least_hold", "tick", "deadline", "aim", "window",
                   "disk_mb", "memory_mb", "sockets", "refused_price", "senders_told"});
    const std::string prefix = "relay.";
    ParseRange(node, "slots", prefix, 0.01, 1000, &relay->slots_factor);
    relay->min_slots = Integer(node, "least_slots", prefix, 1, 100'000, relay->min_slots);
    ParseDurationRange(node, "hold", prefix, &relay->open_messages_time);
    relay->min_open_messages = Integer(node, "least_hold", prefix, 1, 1'000'000, relay->min_open_messages);
    ParseDuration(node, "tick", prefix, &relay->tick);
    ParseDuration(node, "deadline", prefix, &relay->deadline);
    ParseDuration(node, "aim", prefix, &relay->delivery_goal);
    ParseDuration(node, "window", prefix, &relay->repeat_window);
    relay->disk_mb = Number(node, "disk_mb", prefix, 0.1, 100'000, relay->disk_mb);
    relay->memory_mb = Integer(node, "memory_mb", prefix, 16, 100'000, relay->memory_mb);
    relay->sockets = Integer(node, "sockets", prefix, 64, 1'000'000, relay->sockets);
    relay->refused_call_cost = Number(node, "refused_price", prefix, 0, 1, relay->refused_call_cost);
    relay->announced_sender_factor =
        Number(node, "senders_told", prefix, 0.001, 1000, relay->announced_sender_factor);
    if (relay->delivery_goal <= 0 || relay->deadline < relay->delivery_goal) {
      Fail(node.Mark(), "relay.deadline", "must not be shorter than relay.aim, which must be above 0s");
    }
  }

  Fault ParseFault(const YAML::Node& node) const {
    const std::map<std::string, std::pair<Fault::Kind, std::set<std::string>>> kinds = {
        {"relays_killed", {Fault::Kind::kRelaysKilled, {"at", "for", "share"}}},
        {"relays_stopped", {Fault::Kind::kRelaysStopped, {"at", "for", "share"}}},
        {"relays_rolled", {Fault::Kind::kRollingRestart, {"at", "for", "share", "at_once", "down"}}},
        {"list_behind", {Fault::Kind::kListDelayed, {"at", "for", "by"}}},
        {"partners_fail", {Fault::Kind::kZoneFailing, {"at", "for", "share", "chance"}}},
        {"partners_shut", {Fault::Kind::kZoneDown, {"at", "for", "share"}}},
        {"partners_draw", {Fault::Kind::kExtraTraffic, {"at", "for", "share", "count"}}},
        {"partners_down", {Fault::Kind::kPartnersDown, {"at", "for", "share"}}},
        {"discovery_down", {Fault::Kind::kDiscoveryDown, {"at", "for", "refuses_after"}}},
        {"discovery_crowded", {Fault::Kind::kDiscoveryOverloaded, {"at", "for", "share"}}},
        {"lists_broken", {Fault::Kind::kListsTruncated, {"at", "for", "share"}}},
        {"discovery_moved", {Fault::Kind::kDiscoveryMoved, {"at", "for", "share"}}},
        {"signals", {Fault::Kind::kSignals, {"at", "for", "share", "count"}}},
        {"idle_clients", {Fault::Kind::kIdleClients, {"at", "for", "share", "count"}}},
        {"stopped_clients", {Fault::Kind::kStoppedClients, {"at", "for", "share", "count"}}},
        {"discovery_silent", {Fault::Kind::kDiscoverySilent, {"at", "for"}}},
        {"discovery_slow", {Fault::Kind::kDiscoverySlow, {"at", "for", "each"}}},
        {"hosts_replaced", {Fault::Kind::kHostsReplaced, {"at", "for", "count", "same_address", "drain"}}}};
    if (!node.IsMap() || node.size() != 1) {
      Fail(node.Mark(), "troubles", "each must be one name with its keys, such as relays_killed: {at: 9s}");
    }
    const std::string name = node.begin()->first.IsScalar() ? node.begin()->first.Scalar() : "?";
    const auto kind = kinds.find(name);
    if (kind == kinds.end()) {
      std::string all;
      for (const auto& [known_name, known_kind] : kinds) all += (all.empty() ? "" : ", ") + known_name;
      Fail(node.Mark(), "troubles." + name, "must be one of " + all);
    }
    const YAML::Node map = node.begin()->second;
    const std::string path_prefix = "troubles." + name + ".";
    AllowOnlyKeys(map, "troubles." + name, kind->second.second);
    Fault fault;
    fault.kind = kind->second.first;
    if (!map["at"]) Fail(node.Mark(), path_prefix + "at", "is missing");
    if (!map["for"]) Fail(node.Mark(), path_prefix + "for", "is missing");
    ParseDurationRange(map, "at", path_prefix, &fault.at);
    ParseDurationRange(map, "for", path_prefix, &fault.duration);
    ParseRange(map, "share", path_prefix, 0, 1, &fault.share);
    ParseRange(map, "chance", path_prefix, 0, 1, &fault.failure_chance);
    ParseDurationRange(map, "by", path_prefix, &fault.extra_lag);
    ParseDurationRange(map, "each", path_prefix, &fault.time_per_call);
    ParseDurationRange(map, "down", path_prefix, &fault.downtime);
    ParseDurationRange(map, "refuses_after", path_prefix, &fault.refusal_delay);
    ParseDurationRange(map, "drain", path_prefix, &fault.drain_time);
    fault.count = Integer(map, "count", path_prefix, 1, 100'000, fault.count);
    fault.batch_size = Integer(map, "at_once", path_prefix, 1, 100'000, fault.batch_size);
    if (const YAML::Node same_address = map["same_address"]) {
      if (!same_address.IsScalar() || !YAML::convert<bool>::decode(same_address, fault.same_address)) {
        Fail(same_address.Mark(), path_prefix + "same_address", "must be true or false");
      }
    }
    return fault;
  }
};

void ApplyOverride(const std::string& override_text, YAML::Node* root) {
  const std::size_t equals = override_text.find('=');
  if (equals == std::string::npos || equals == 0)
    throw Error("--set " + override_text + ": must be KEY=VALUE");
  YAML::Node node;
  node.reset(*root);
  std::istringstream keys(override_text.substr(0, equals));
  std::vector<std::string> path;
  for (std::string key; std::getline(keys, key, '.');) path.push_back(key);
  try {
    const YAML::Node value = YAML::Load(override_text.substr(equals + 1));
    for (std::size_t i = 0; i < path.size(); ++i) {
      YAML::Node next;
      if (node.IsSequence()) {
        std::size_t index = 0;
        const auto [end, error] = std::from_chars(path[i].data(), path[i].data() + path[i].size(), index);
        if (error != std::errc() || *end != '\0' || index >= node.size()) {
          throw Error("--set " + override_text + ": " + path[i] + ": is not an index of that list");
        }
        next.reset(node[index]);
      } else if (!node.IsDefined() || node.IsNull() || node.IsMap()) {
        next.reset(node[path[i]]);
      } else {
        throw Error("--set " + override_text + ": " + path[i] + ": its parent is not a map");
      }
      if (i + 1 == path.size()) next = value;
      node.reset(next);
    }
  } catch (const YAML::Exception& e) {
    throw Error("--set " + override_text + ": is not valid YAML: " + e.msg);
  }
}

}  // namespace

Scenario ReadScenario(const std::string& path, const std::vector<std::string>& overrides) {
  const Reader reader(path);
  YAML::Node root = reader.Load();
  for (const std::string& override_text : overrides) ApplyOverride(override_text, &root);
  Scenario scenario;
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  char version[20];
  std::snprintf(version, sizeof version, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.str().data(), text.str().size())));
  scenario.version = version;
  scenario.name = std::filesystem::path(path).stem().string();
  reader.AllowOnlyKeys(root, "",
                       {"about", "length", "relays", "traffic", "partners", "network", "relay", "troubles"});
  scenario.description = reader.Text(root, "about", "", false);
  reader.ParseDurationRange(root, "length", "", &scenario.length);
  if (scenario.length.low < 1) reader.Fail(root.Mark(), "length", "must be at least 1s");
  scenario.relays = reader.Integer(root, "relays", "", 1, 10'000, scenario.relays);
  reader.ParseTraffic(root["traffic"], &scenario.traffic);
  reader.ParsePartners(root["partners"], &scenario.partners);
  if (const YAML::Node network = root["network"]) {
    reader.AllowOnlyKeys(network, "network", {"one_way", "handshake", "front_notices", "list_lag"});
    reader.ParseDurationRange(network, "one_way", "network.", &scenario.network.one_way);
    reader.ParseRange(network, "handshake", "network.", 0, 100, &scenario.network.handshake_round_trips);
    reader.ParseDurationRange(network, "front_notices", "network.",
                              &scenario.network.failure_detection_delay);
    reader.ParseDurationRange(network, "list_lag", "network.", &scenario.network.list_lag);
  }
  reader.ParseRelay(root["relay"], &scenario.relay);
  if (const YAML::Node troubles = root["troubles"]) {
    if (!troubles.IsSequence()) reader.Fail(troubles.Mark(), "troubles", "must be a list");
    for (const auto& node : troubles) scenario.faults.push_back(reader.ParseFault(node));
  }
  return scenario;
}

}  // namespace oxbowspread::model
