#include "wire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <utility>

namespace wheathub::wire {
namespace {

using Json = nlohmann::json;

constexpr double kMaxSeconds = 1e9;  // a longer time is rejected as malformed

Time FromSeconds(double seconds) { return Time(std::llround(seconds * 1e6)); }

// One line of input, split into a name and name=value fields. The fields `facts` and `reason-text` extend to
// the end of the line.
class Line {
 public:
  Line(const std::string& text, std::size_t number) : number_(number) {
    std::string_view rest = text;
    name_ = std::string(TakeWord(&rest));
    while (!rest.empty()) {
      const std::size_t equals = rest.find('=');
      if (equals == std::string_view::npos || equals == 0 || rest.substr(0, equals).find(' ') != rest.npos) {
        throw Error(number_, "not a name=value pair: '" + std::string(rest.substr(0, 40)) + "'");
      }
      const std::string field(rest.substr(0, equals));
      rest.remove_prefix(equals + 1);
      if (field == "facts" || field == "reason-text") {
        fields_[field] = std::string(rest);
        break;
      }
      fields_[field] = std::string(TakeWord(&rest));
    }
  }

  const std::string& name() const { return name_; }
  std::size_t number() const { return number_; }
  const std::string* Find(const std::string& field) const {
    const auto it = fields_.find(field);
    return it == fields_.end() ? nullptr : &it->second;
  }
  const std::string& Text(const std::string& field) const {
    const std::string* value = Find(field);
    if (value == nullptr || value->empty()) throw Error(number_, name_ + " without " + field);
    return *value;
  }
  double Number(const std::string& field) const { return ParseNumber(field, Text(field)); }
  double NumberOr(const std::string& field, double fallback) const {
    return Find(field) == nullptr ? fallback : Number(field);
  }
  Time Seconds(const std::string& field) const {
    const double seconds = Number(field);
    if (std::abs(seconds) > kMaxSeconds) throw Error(number_, name_ + ": " + field + " is out of range");
    return FromSeconds(seconds);
  }
  Time SecondsOr(const std::string& field, Time fallback) const {
    return Find(field) == nullptr ? fallback : Seconds(field);
  }
  template <typename Int>
  Int Integer(const std::string& field) const {
    const std::string& text = Text(field);
    Int value{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size()) {
      throw Error(number_, name_ + ": " + field + " is not a whole number: '" + text + "'");
    }
    return value;
  }
  int IntegerOr(const std::string& field, int fallback) const {
    return Find(field) == nullptr ? fallback : Integer<int>(field);
  }
  bool Flag(const std::string& field) const {
    const std::string* value = Find(field);
    if (value == nullptr || *value == "0") return false;
    if (*value == "1") return true;
    throw Error(number_, name_ + ": " + field + " is neither 1 nor 0: '" + *value + "'");
  }
  double ParseNumber(const std::string& field, std::string_view text) const {
    double value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
      throw Error(number_, name_ + ": " + field + " is not a number: '" + std::string(text) + "'");
    }
    return value;
  }

 private:
  static std::string_view TakeWord(std::string_view* rest) {
    const std::size_t space = rest->find(' ');
    const std::string_view word = rest->substr(0, space);
    rest->remove_prefix(space == rest->npos ? rest->size() : space + 1);
    return word;
  }

  std::string name_;
  std::size_t number_;
  std::map<std::string, std::string> fields_;
};

template <typename Enum>
using EnumNames = std::initializer_list<std::pair<const char*, Enum>>;

template <typename Enum>
Enum ReadEnum(const Line& line, const std::string& field, EnumNames<Enum> names) {
  const std::string& text = line.Text(field);
  for (const auto& [name, value] : names) {
    if (text == name) return value;
  }
  throw Error(line.number(), line.name() + ": unknown " + field + " '" + text + "'");
}

Outcome ReadOutcome(const Line& line) {
  return ReadEnum<Outcome>(line, "reason",
                           {{"pass", Outcome::kServed},
                            {"fault", Outcome::kError},
                            {"no_room", Outcome::kRefused},
                            {"too_slow", Outcome::kTimedOut},
                            {"no_route", Outcome::kNoConnection},
                            {"cut", Outcome::kReset},
                            {"undone", Outcome::kCancelled},
                            {"stale_send", Outcome::kNotSent}});
}

// The fields `x0` and `x1` of the comma-separated figures hold the unused share of the limit, and the limit.
std::optional<ReportedLimit> ReadReportedLimit(const Line& line, const std::vector<std::string>& names) {
  const std::string* figures = line.Find("pressure");
  if (figures == nullptr || figures->empty() || *figures == "-") return std::nullopt;
  ReportedLimit reported_limit;
  bool reported = false;
  std::string_view rest = *figures;
  for (std::size_t i = 0; !rest.empty(); ++i) {
    const std::size_t comma = rest.find(',');
    const std::string_view figure = rest.substr(0, comma);
    rest.remove_prefix(comma == rest.npos ? rest.size() : comma + 1);
    const double value = figure.empty() ? 0 : line.ParseNumber("pressure", figure);
    if (i >= names.size()) continue;
    if (names[i] == "x0") reported_limit.unused_share = value;
    if (names[i] == "x1") reported_limit.limit_per_s = value;
    reported = reported || names[i] == "x0" || names[i] == "x1";
  }
  return reported ? std::optional(reported_limit) : std::nullopt;
}

Time ReadRetryAfter(const Line& line, Outcome outcome) {
  if (outcome != Outcome::kRefused || line.Find("wait-ms") == nullptr) return Time(0);
  const double wait_ms = line.Number("wait-ms");
  if (wait_ms < 0 || wait_ms > kMaxSeconds * 1e3)
    throw Error(line.number(), line.name() + ": wait-ms is out of range");
  return FromSeconds(wait_ms / 1e3);
}

std::string FromHex(const Line& line, const std::string& field) {
  const std::string* text = line.Find(field);
  if (text == nullptr || *text == "-") return {};
  std::string bytes;
  for (std::size_t i = 0; i < text->size(); i += 2) {
    unsigned value = 0;
    const char* digits = text->data() + i;
    const bool complete = i + 1 < text->size();
    const auto [end, code] = std::from_chars(digits, digits + (complete ? 2 : 0), value, 16);
    if (!complete || code != std::errc() || end != digits + 2) {
      throw Error(line.number(), line.name() + ": " + field + " is not hex bytes");
    }
    bytes.push_back(static_cast<char>(value));
  }
  return bytes;
}

Message ReadMessage(const Line& line) {
  Message message;
  message.id = line.Text("rid");
  message.message_class = line.Integer<int>("category");
  message.tenant = line.IntegerOr("account", -1);
  message.destination = static_cast<DestinationId>(std::llround(line.Number("to-exchange")));
  if (const std::string* key = line.Find("name-key")) message.key = *key;
  message.expires_in = line.Seconds("expires-in-s");
  message.resubmitted = line.Flag("reconnect") || line.Flag("resent");
  return message;
}

AttemptEnded ReadAttemptEnded(const Line& line, const std::vector<std::string>& names) {
  AttemptEnded ended;
  ended.id = line.Text("rid");
  ended.attempt = line.Integer<int>("shot");
  ended.endpoint = line.Text("receiver");
  ended.outcome = ReadOutcome(line);
  ended.latency = line.SecondsOr("delay-seen-s", Time(0));
  ended.message_ended = line.Flag("closed");
  ended.retry_after = ReadRetryAfter(line, ended.outcome);
  ended.reported_limit = ReadReportedLimit(line, names);
  return ended;
}

ProbeEnded ReadProbeEnded(const Line& line, const std::vector<std::string>& names) {
  ProbeEnded ended;
  ended.endpoint = line.Text("receiver");
  ended.outcome = ReadOutcome(line);
  ended.latency = line.SecondsOr("delay-seen-s", Time(0));
  ended.retry_after = ReadRetryAfter(line, ended.outcome);
  ended.reported_limit = ReadReportedLimit(line, names);
  return ended;
}

EndpointInfo ReadEndpoint(const Line& line) {
  if (line.name() != "ITEM") throw Error(line.number(), "ITEM expected, not '" + line.name() + "'");
  EndpointInfo endpoint;
  endpoint.id = line.Text("receiver");
  endpoint.destination = line.Integer<DestinationId>("belongs-to");
  endpoint.kind = line.IntegerOr("model", 0);
  endpoint.zone = line.IntegerOr("failure-domain", 0);
  endpoint.weight = line.NumberOr("weight", 1);
  endpoint.lifecycle = ReadEnum<Lifecycle>(
      line, "lifecycle",
      {{"up", Lifecycle::kUp}, {"draining", Lifecycle::kDraining}, {"removed", Lifecycle::kRemoved}});
  return endpoint;
}

Time JsonSeconds(const Json& object, const char* key) {
  const double seconds = object.value(key, 0.0);
  if (!std::isfinite(seconds) || std::abs(seconds) > kMaxSeconds) {
    throw std::invalid_argument(std::string(key) + " is out of range");
  }
  return FromSeconds(seconds);
}

// A deduplicated class without a scope gets the narrowest one, because a repeat in another zone may run
// again. All endpoints of a message are in the same cell, and those of one zone are some of them.
bool AreRepeatsBoundToZone(const Json& object, Semantics semantics) {
  const std::string default_scope = semantics == Semantics::kDeduplicated ? "zone" : "all";
  return object.value("key-scope", default_scope) != "all";
}

MessageClass ReadClass(const Json& object) {
  MessageClass message_class;
  message_class.name = object.value("name", "");
  const std::string semantics = object.at("semantics");
  if (semantics == "idempotent") {
    message_class.semantics = Semantics::kIdempotent;
  } else if (semantics == "deduplicated") {
    message_class.semantics = Semantics::kDeduplicated;
  } else if (semantics == "at_most_once") {
    message_class.semantics = Semantics::kAtMostOnce;
  } else {
    throw std::invalid_argument("unknown semantics '" + semantics + "'");
  }
  message_class.repeats_bound_to_zone = AreRepeatsBoundToZone(object, message_class.semantics);
  message_class.ordered = object.value("one-at-a-time", false);
  message_class.aim = JsonSeconds(object, "goal-time-s");
  message_class.deadline = JsonSeconds(object, "deadline-s");
  message_class.repeat_window = JsonSeconds(object, "repeat-window-s");
  message_class.worth = object.value("worth", 1.0);
  message_class.late_value = object.value("late-value", 0.0);
  return message_class;
}

void ReadLimits(const Json& limits, Settings* settings) {
  settings->max_open = limits.value("max-open", 0);
  settings->max_attempts = limits.value("send-cap", 0);
  settings->may_cancel = limits.value("cancel", false);
  settings->may_probe = limits.value("probing", false);
  settings->may_message_peers = limits.value("peers", false);
  settings->may_give_retry_after = limits.value("retry-after", false);
  settings->max_retry_after = JsonSeconds(limits, "max-retry-after-s");
  settings->connect_timeout = JsonSeconds(limits, "connect-timeout-s");
  settings->keepalive = JsonSeconds(limits, "keepalive-s");
}

void ReadRules(const Json& rules, Settings* settings) {
  settings->warm_up_start_share = rules.value("cold-from", 1.0);
  settings->warm_up = JsonSeconds(rules, "cold-s");
  settings->drain_grace = JsonSeconds(rules, "drain-grace-s");
  settings->list_request_within = JsonSeconds(rules, "ask-within-s");
  settings->order_settle = JsonSeconds(rules, "order-settle-s");
  settings->answer_grace = JsonSeconds(rules, "grace-to-answer-s");
  settings->collapse_load_factor = rules.value("fall-multiple", 0.0);
  settings->collapse_after = JsonSeconds(rules, "tip-after-s");
}

void ReadDestinationKinds(const Json& info, std::size_t kinds, Settings* settings) {
  settings->slots = info.value("calls-out", 0);
  settings->decay = info.value("decay", "even") == "by_half" ? Decay::kExponential : Decay::kLinear;
  settings->refused_price = std::max(0.0, info.value("refused-price", 0.0));
  settings->zone_fee = info.value("carriage", std::vector<double>());
  const auto separate = info.value("kind-apart", std::vector<bool>());
  const auto bundle_sizes = info.value("bundle-max", std::vector<int>());
  settings->kinds.resize(std::max({kinds, separate.size(), bundle_sizes.size()}));
  for (std::size_t i = 0; i < separate.size(); ++i) settings->kinds[i].separate_routes = separate[i];
  for (std::size_t i = 0; i < bundle_sizes.size(); ++i) settings->kinds[i].bundle_max = bundle_sizes[i];
}

WeightMeaning ReadWeights(const std::string& word) {
  if (word == "nominal") return WeightMeaning::kNominal;
  return word == "rough" ? WeightMeaning::kRough : WeightMeaning::kNone;
}

// Appends a field in seconds with six decimals. Integer arithmetic avoids rounding errors.
void AppendSeconds(const char* name, Time time, std::string* out) {
  char text[48];
  const long long micros = time.count();
  const long long magnitude = micros < 0 ? -micros : micros;
  std::snprintf(text, sizeof text, "=%s%lld.%06lld", micros < 0 ? "-" : "", magnitude / 1000000,
                magnitude % 1000000);
  *out += ' ';
  *out += name;
  *out += text;
}

void AppendHex(const std::string& bytes, std::string* out) {
  static constexpr char kDigits[] = "0123456789abcdef";
  if (bytes.empty()) *out += '-';
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    *out += kDigits[byte >> 4];
    *out += kDigits[byte & 15];
  }
}

// Appends one action to `out`, without the newline.
struct Writer {
  std::string* out;

  void operator()(const Send& action) const {
    *out += "ASSIGN rid=" + action.id + " receiver=" + action.endpoint;
    if (action.timeout.count() != 0) AppendSeconds("give-up-after-s", action.timeout, out);
  }
  void operator()(const Refuse& action) const {
    *out += "BUSY rid=" + action.id;
    if (action.retry_after.count() > 0) AppendSeconds("wait-s", action.retry_after, out);
  }
  void operator()(const Fail& action) const { *out += "DROP_REQUEST rid=" + action.id; }
  void operator()(const Cancel& action) const {
    *out += "ABANDON rid=" + action.id + " shot=" + std::to_string(action.attempt);
  }
  void operator()(const Probe& action) const { *out += "CHECK receiver=" + action.endpoint; }
  void operator()(const CloseIdle& action) const { *out += "DROP_CONNS receiver=" + action.endpoint; }
  void operator()(const SubscribeToList&) const { *out += "LISTEN enable=1"; }
  void operator()(const FetchList&) const { *out += "QUERY_ALL"; }
  void operator()(const SendToPeers& action) const {
    *out += "SAY target=* payload=";
    AppendHex(action.bytes, out);
  }
  void operator()(const SetTimer& action) const {
    *out += "AFTER handle=" + action.token;
    AppendSeconds("time-s", action.at, out);
  }
  void operator()(const Log& action) const { *out += "RECORD reason-text=" + action.text; }
};

}  // namespace

Settings ParseSettings(std::string_view json, std::vector<std::string>* report_fields) {
  try {
    const Json root = Json::parse(json);
    const Json empty_object = Json::object();
    Settings settings;
    settings.senders = root.value("balancers", 1);
    settings.rank = root.value("rank", 0);
    for (const Json& object : root.at("services")) settings.classes.push_back(ReadClass(object));
    for (const Json& object : root.value("projects", Json::array())) {
      settings.tenants.push_back({object.value("name", ""), object.value("quota-rps", 0.0)});
    }
    const Json models = root.value("models", Json::array());
    ReadDestinationKinds(root.value("family-info", empty_object), models.size(), &settings);
    for (std::size_t i = 0; i < models.size(); ++i) settings.kinds[i].name = models[i];
    ReadLimits(root.value("limits", empty_object), &settings);
    ReadRules(root.value("invariants", empty_object), &settings);
    settings.weights = ReadWeights(root.value("weights", "none"));
    settings.over_quota_worth_factor = root.value("over-share-worth", 1.0);
    settings.must_request_list = root.value("discovery", "push") == "ask";
    settings.tick = JsonSeconds(root, "tick-s");
    const Json report = root.value("report", empty_object);
    *report_fields = report.value("fields", std::vector<std::string>());
    for (const std::string& field : *report_fields)
      settings.endpoints_report_limit |= field == "x0" || field == "x1";
    return settings;
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("the settings can't be parsed: ") + error.what());
  }
}

bool Reader::GetLine(std::string* text) {
  if (!std::getline(in_, *text)) return false;
  ++line_;
  if (!text->empty() && text->back() == '\r') text->pop_back();
  return true;
}

std::vector<EndpointInfo> Reader::ReadEndpointList(std::size_t count) {
  std::vector<EndpointInfo> endpoints;
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    if (!GetLine(&text)) throw Error(line_, "the input ends within a LEDGER");
    endpoints.push_back(ReadEndpoint(Line(text, line_)));
  }
  return endpoints;
}

bool Reader::Next(Batch* batch) {
  *batch = Batch();
  std::string text;
  do {
    if (!GetLine(&text)) return false;
  } while (text.empty());
  const Line head(text, line_);
  if (head.name() != "TURN") throw Error(line_, "TURN expected, not '" + head.name() + "'");
  batch->now = head.Seconds("wall-s");
  batch->round = head.Text("round");
  std::string instance;
  const auto add = [&](auto content) {
    if (instance.empty()) throw Error(line_, "an event without an AT before it");
    batch->items.push_back({instance, line_, std::move(content)});
  };
  const auto report_fields = [&]() -> const std::vector<std::string>& { return report_fields_[instance]; };
  while (true) {
    if (!GetLine(&text)) throw Error(line_, "the input ends within a batch");
    const Line line(text, line_);
    const std::string& name = line.name();
    if (name == "FLUSH") return true;
    if (name == "AT") {
      instance = line.Text("i");
    } else if (name == "LAUNCH") {
      Launch launch;
      launch.seed = line.Integer<std::uint64_t>("salt");
      try {
        std::vector<std::string> names;
        launch.settings = ParseSettings(line.Text("facts"), &names);
        report_fields_[instance] = std::move(names);
      } catch (const std::invalid_argument& error) {
        throw Error(line_, std::string("LAUNCH: ") + error.what());
      }
      add(std::move(launch));
    } else if (name == "LEDGER") {
      const auto reference = line.Integer<std::int64_t>("ref");
      endpoint_lists_[reference] = ReadEndpointList(line.Integer<std::size_t>("items"));
    } else if (name == "VIEW") {
      ListUpdate update;
      update.scope = ReadEnum<ListScope>(line, "scope",
                                         {{"changes", ListScope::kChanges},
                                          {"all", ListScope::kAll},
                                          {"remembered", ListScope::kRemembered},
                                          {"refused", ListScope::kFailed}});
      if (update.scope != ListScope::kFailed) {
        update.revision = line.Integer<std::int64_t>("revision");
        const auto endpoint_list = endpoint_lists_.find(line.Integer<std::int64_t>("ref"));
        if (endpoint_list == endpoint_lists_.end())
          throw Error(line_, "VIEW of a list that no LEDGER defined");
        update.endpoints = endpoint_list->second;
      }
      add(Event(std::move(update)));
    } else if (name == "INBOUND") {
      add(Event(ReadMessage(line)));
    } else if (name == "HANGUP") {
      add(Event(Withdrawn{line.Text("rid")}));
    } else if (name == "HEADERS") {
      add(Event(StreamStarted{line.Text("rid"), line.Integer<int>("shot")}));
    } else if (name == "PEER_DATA") {
      add(Event(PeerData{line.Integer<int>("author"), FromHex(line, "payload")}));
    } else if (name == "ATTEMPT_END") {
      add(Event(ReadAttemptEnded(line, report_fields())));
    } else if (name == "PROBED") {
      add(Event(ReadProbeEnded(line, report_fields())));
    } else if (name == "DEADLINE_HIT") {
      add(Event(TimerDue{line.Text("handle")}));
    } else if (name == "TEARDOWN") {
      add(Teardown{});
    } else {
      throw Error(line_, "unknown message '" + name + "'");
    }
  }
}

void Write(const Action& action, std::string* out) {
  std::visit(Writer{out}, action);
  *out += '\n';
}

}  // namespace wheathub::wire
