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

class Reader : public yaml::Reader {
 public:
  using yaml::Reader::Reader;

  // A number, or a list of two: from and to.
  void Ranged(const YAML::Node& map, const char* key, const std::string& where, double least, double most,
              Range* to) const {
    const YAML::Node node = map[key];
    if (!node) return;
    const auto one = [&](const YAML::Node& n) {
      double value = NAN;
      if (!n.IsScalar() || !YAML::convert<double>::decode(n, value) || !(value >= least && value <= most)) {
        char text[120];
        std::snprintf(text, sizeof text, "must be a number from %g to %g, or a list of two such", least,
                      most);
        Fail(n.Mark(), where + key, text);
      }
      return value;
    };
    if (!node.IsSequence()) {
      to->low = to->high = one(node);
      return;
    }
    if (node.size() != 2) Fail(node.Mark(), where + key, "must be one number or a list of two");
    const Range read{one(node[0]), one(node[1])};
    if (read.low > read.high) Fail(node.Mark(), where + key, "must not begin above its end");
    *to = read;
  }
  // The same in spans: "5ms", or [5ms, 15ms]. To seconds.
  void Spans(const YAML::Node& map, const char* key, const std::string& where, Range* to) const {
    const YAML::Node node = map[key];
    if (!node) return;
    const auto one = [&](const YAML::Node& n) {
      YAML::Node holder;
      holder[key] = n;
      return static_cast<double>(Duration(holder, key, where, Time(0)).count()) / 1e6;
    };
    if (!node.IsSequence()) {
      to->low = to->high = one(node);
      return;
    }
    if (node.size() != 2) Fail(node.Mark(), where + key, "must be one span or a list of two");
    const Range read{one(node[0]), one(node[1])};
    if (read.low > read.high) Fail(node.Mark(), where + key, "must not begin above its end");
    *to = read;
  }
  void Spanned(const YAML::Node& map, const char* key, const std::string& where, double* seconds) const {
    Range r{*seconds, *seconds};
    Spans(map, key, where, &r);
    *seconds = r.low;
  }
  // A pair of keys: `large` and `small` under one.
  void Kinds(const YAML::Node& map, const char* key, const std::string& where, bool spans, double least,
             double most, Range* to) const {
    const YAML::Node node = map[key];
    if (!node) return;
    constexpr std::array kKinds = {"large", "small"};
    for (std::size_t k = 0; k < kKinds.size(); ++k) {
      if (node.IsMap()) {
        AllowOnlyKeys(node, where + key + ".", {"large", "small"});
        spans ? Spans(node, kKinds[k], where + key + ".", &to[k])
              : Ranged(node, kKinds[k], where + key + ".", least, most, &to[k]);
      } else {
        spans ? Spans(map, key, where, &to[k]) : Ranged(map, key, where, least, most, &to[k]);
      }
    }
  }

  void Traffic(const YAML::Node& node, Scenario::Traffic* t) const {
    if (!node) return;
    AllowOnlyKeys(node, "traffic",
                  {"load", "shape", "swing", "clumps", "clump", "body", "retries", "backoff", "honour",
                   "again", "beside", "times"});
    Ranged(node, "load", "traffic.", 0, 100, &t->load);
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
      t->shape = it->second;
    }
    Ranged(node, "swing", "traffic.", 0, 0.95, &t->swing);
    Ranged(node, "clumps", "traffic.", 0, 1, &t->clumps);
    Spans(node, "clump", "traffic.", &t->clump);
    t->body = Integer(node, "body", "traffic.", 0, 65536, t->body);
    Ranged(node, "retries", "traffic.", 0, 100, &t->retries);
    Spans(node, "backoff", "traffic.", &t->backoff);
    Ranged(node, "honour", "traffic.", 0, 1, &t->honour);
    Spans(node, "again", "traffic.", &t->again);
    t->beside = Number(node, "beside", "traffic.", 0, 1, t->beside);
    Ranged(node, "times", "traffic.", 1, 1000, &t->times);
  }

  void Partners(const YAML::Node& node, Scenario::Partners* p) const {
    if (!node) return;
    AllowOnlyKeys(node, "partners",
                  {"count",         "rate",  "skew",        "hosts",         "large",     "headroom",
                   "least",         "tells", "wait",        "speed",         "spread",    "queue",
                   "spare",         "work",  "work_spread", "errors",        "cold_from", "cold",
                   "fall_multiple", "fall",  "connections", "refused_count", "window"});
    const std::string w = "partners.";
    p->count = Integer(node, "count", w, 1, 100'000, p->count);
    Ranged(node, "rate", w, 0.001, 1e6, &p->rate);
    Ranged(node, "skew", w, 0, 3, &p->skew);
    Ranged(node, "hosts", w, 1, 100, &p->hosts);
    p->large = Number(node, "large", w, 0, 1, p->large);
    Kinds(node, "headroom", w, false, 0.01, 1000, p->headroom);
    Kinds(node, "least", w, false, 0.01, 1e6, p->least);
    Kinds(node, "tells", w, false, 0, 1, p->tells);
    Kinds(node, "wait", w, true, 0, 0, p->wait);
    Kinds(node, "speed", w, false, 0.01, 1000, p->speed);
    Kinds(node, "spread", w, false, 0, 10, p->spread);
    Kinds(node, "queue", w, true, 0, 0, p->queue);
    Ranged(node, "spare", w, 1, 100, &p->spare);
    Spans(node, "work", w, &p->work);
    Ranged(node, "work_spread", w, 0, 10, &p->work_spread);
    Ranged(node, "errors", w, 0, 1, &p->errors);
    Ranged(node, "cold_from", w, 0.01, 1, &p->cold_from);
    Spans(node, "cold", w, &p->cold);
    p->fall_multiple = Number(node, "fall_multiple", w, 1, 1000, p->fall_multiple);
    Spanned(node, "fall", w, &p->fall);
    p->connections = Integer(node, "connections", w, 0, 1'000'000, p->connections);
    Range counted[2] = {};
    Kinds(node, "refused_count", w, false, 0, 1, counted);
    Range window[2] = {};
    Kinds(node, "window", w, true, 0, 0, window);
    for (std::size_t k = 0; k < 2; ++k) {
      p->refused_count[k] = counted[k].high;
      p->window[k] = window[k].high;
    }
  }

  void RelayOf(const YAML::Node& node, Scenario::RelayPart* r) const {
    if (!node) return;
    AllowOnlyKeys(node, "relay",
                  {"slots", "least_slots", "hold", "least_hold", "tick", "deadline", "aim", "window",
                   "disk_mb", "memory_mb", "sockets", "refused_price", "senders_told"});
    const std::string w = "relay.";
    Ranged(node, "slots", w, 0.01, 1000, &r->slots);
    r->least_slots = Integer(node, "least_slots", w, 1, 100'000, r->least_slots);
    Spans(node, "hold", w, &r->hold);
    r->least_hold = Integer(node, "least_hold", w, 1, 1'000'000, r->least_hold);
    Spanned(node, "tick", w, &r->tick);
    Spanned(node, "deadline", w, &r->deadline);
    Spanned(node, "aim", w, &r->aim);
    Spanned(node, "window", w, &r->window);
    r->disk_mb = Number(node, "disk_mb", w, 0.1, 100'000, r->disk_mb);
    r->memory_mb = Integer(node, "memory_mb", w, 16, 100'000, r->memory_mb);
    r->sockets = Integer(node, "sockets", w, 64, 1'000'000, r->sockets);
    r->refused_price = Number(node, "refused_price", w, 0, 1, r->refused_price);
    r->senders_told = Number(node, "senders_told", w, 0.001, 1000, r->senders_told);
    if (r->aim <= 0 || r->deadline < r->aim) {
      Fail(node.Mark(), "relay.deadline", "must not be shorter than relay.aim, which must be above 0s");
    }
  }

  Trouble TroubleOf(const YAML::Node& node) const {
    const std::map<std::string, std::pair<Trouble::Kind, std::set<std::string>>> kinds = {
        {"relays_killed", {Trouble::Kind::kRelaysKilled, {"at", "for", "share"}}},
        {"relays_stopped", {Trouble::Kind::kRelaysStopped, {"at", "for", "share"}}},
        {"relays_rolled", {Trouble::Kind::kRelaysRolled, {"at", "for", "share", "at_once", "down"}}},
        {"list_behind", {Trouble::Kind::kListBehind, {"at", "for", "by"}}},
        {"partners_fail", {Trouble::Kind::kPartnersFail, {"at", "for", "share", "chance"}}},
        {"partners_shut", {Trouble::Kind::kPartnersShut, {"at", "for", "share"}}},
        {"partners_draw", {Trouble::Kind::kPartnersDraw, {"at", "for", "share", "count"}}},
        {"partners_down", {Trouble::Kind::kPartnersDown, {"at", "for", "share"}}},
        {"discovery_down", {Trouble::Kind::kDiscoveryDown, {"at", "for", "refuses_after"}}},
        {"discovery_crowded", {Trouble::Kind::kDiscoveryCrowded, {"at", "for", "share"}}},
        {"lists_broken", {Trouble::Kind::kListsBroken, {"at", "for", "share"}}},
        {"discovery_moved", {Trouble::Kind::kDiscoveryMoved, {"at", "for", "share"}}},
        {"signals", {Trouble::Kind::kSignals, {"at", "for", "share", "count"}}},
        {"idle_clients", {Trouble::Kind::kIdleClients, {"at", "for", "share", "count"}}},
        {"discovery_silent", {Trouble::Kind::kDiscoverySilent, {"at", "for"}}},
        {"discovery_slow", {Trouble::Kind::kDiscoverySlow, {"at", "for", "each"}}},
        {"hosts_replaced", {Trouble::Kind::kHostsReplaced, {"at", "for", "count", "same_address", "drain"}}}};
    if (!node.IsMap() || node.size() != 1) {
      Fail(node.Mark(), "troubles", "each must be one name with its keys, such as relays_killed: {at: 9s}");
    }
    const std::string name = node.begin()->first.IsScalar() ? node.begin()->first.Scalar() : "?";
    const auto kind = kinds.find(name);
    if (kind == kinds.end()) {
      std::string all;
      for (const auto& [n, k] : kinds) all += (all.empty() ? "" : ", ") + n;
      Fail(node.Mark(), "troubles." + name, "must be one of " + all);
    }
    const YAML::Node map = node.begin()->second;
    const std::string where = "troubles." + name + ".";
    AllowOnlyKeys(map, "troubles." + name, kind->second.second);
    Trouble t;
    t.kind = kind->second.first;
    if (!map["at"]) Fail(node.Mark(), where + "at", "is missing");
    if (!map["for"]) Fail(node.Mark(), where + "for", "is missing");
    Spans(map, "at", where, &t.at);
    Spans(map, "for", where, &t.length);
    Ranged(map, "share", where, 0, 1, &t.share);
    Ranged(map, "chance", where, 0, 1, &t.chance);
    Spans(map, "by", where, &t.by);
    Spans(map, "each", where, &t.each);
    Spans(map, "down", where, &t.down);
    Spans(map, "refuses_after", where, &t.refuses_after);
    Spans(map, "drain", where, &t.drain);
    t.count = Integer(map, "count", where, 1, 100'000, t.count);
    t.at_once = Integer(map, "at_once", where, 1, 100'000, t.at_once);
    if (const YAML::Node same = map["same_address"]) {
      if (!same.IsScalar() || !YAML::convert<bool>::decode(same, t.same)) {
        Fail(same.Mark(), where + "same_address", "must be true or false");
      }
    }
    return t;
  }
};

void LayOver(const std::string& set, YAML::Node* root) {
  const std::size_t equals = set.find('=');
  if (equals == std::string::npos || equals == 0) throw Error("--set " + set + ": must be KEY=VALUE");
  YAML::Node at;
  at.reset(*root);
  std::istringstream keys(set.substr(0, equals));
  std::vector<std::string> path;
  for (std::string key; std::getline(keys, key, '.');) path.push_back(key);
  try {
    const YAML::Node value = YAML::Load(set.substr(equals + 1));
    for (std::size_t i = 0; i < path.size(); ++i) {
      YAML::Node next;
      if (at.IsSequence()) {
        std::size_t index = 0;
        const auto [end, error] = std::from_chars(path[i].data(), path[i].data() + path[i].size(), index);
        if (error != std::errc() || *end != '\0' || index >= at.size()) {
          throw Error("--set " + set + ": " + path[i] + ": is no place in that list");
        }
        next.reset(at[index]);
      } else if (!at.IsDefined() || at.IsNull() || at.IsMap()) {
        next.reset(at[path[i]]);
      } else {
        throw Error("--set " + set + ": " + path[i] + ": stands under what holds no keys");
      }
      if (i + 1 == path.size()) next = value;
      at.reset(next);
    }
  } catch (const YAML::Exception& e) {
    throw Error("--set " + set + ": is no YAML: " + e.msg);
  }
}

}  // namespace

Scenario ReadScenario(const std::string& path, const std::vector<std::string>& sets) {
  const Reader r(path);
  YAML::Node root = r.Load();
  for (const std::string& set : sets) LayOver(set, &root);
  Scenario s;
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  char version[20];
  std::snprintf(version, sizeof version, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.str().data(), text.str().size())));
  s.version = version;
  s.name = std::filesystem::path(path).stem().string();
  r.AllowOnlyKeys(root, "",
                  {"about", "length", "relays", "traffic", "partners", "network", "relay", "troubles"});
  s.about = r.Text(root, "about", "", false);
  r.Spans(root, "length", "", &s.length);
  if (s.length.low < 1) r.Fail(root.Mark(), "length", "must be at least 1s");
  s.relays = r.Integer(root, "relays", "", 1, 10'000, s.relays);
  r.Traffic(root["traffic"], &s.traffic);
  r.Partners(root["partners"], &s.partners);
  if (const YAML::Node n = root["network"]) {
    r.AllowOnlyKeys(n, "network", {"one_way", "handshake", "front_notices", "list_lag"});
    r.Spans(n, "one_way", "network.", &s.network.one_way);
    r.Ranged(n, "handshake", "network.", 0, 100, &s.network.handshake);
    r.Spans(n, "front_notices", "network.", &s.network.front_notices);
    r.Spans(n, "list_lag", "network.", &s.network.list_lag);
  }
  r.RelayOf(root["relay"], &s.relay);
  if (const YAML::Node troubles = root["troubles"]) {
    if (!troubles.IsSequence()) r.Fail(troubles.Mark(), "troubles", "must be a list");
    for (const auto& node : troubles) s.troubles.push_back(r.TroubleOf(node));
  }
  return s;
}

}  // namespace oxbowspread::model
