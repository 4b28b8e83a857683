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

constexpr double kLongest = 1e9;  // seconds; a longer time is a malformed one

Time FromSeconds(double s) { return Time(std::llround(s * 1e6)); }

// One line, split: a name, then name=value pairs; a field of type text runs to the end of the line.
class Line {
 public:
  Line(const std::string& text, std::size_t number) : number_(number) {
    std::string_view rest = text;
    name_ = std::string(Cut(&rest));
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
      fields_[field] = std::string(Cut(&rest));
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
  double NumberOr(const std::string& field, double otherwise) const {
    return Find(field) == nullptr ? otherwise : Number(field);
  }
  Time Seconds(const std::string& field) const {
    const double s = Number(field);
    if (std::abs(s) > kLongest) throw Error(number_, name_ + ": " + field + " is out of range");
    return FromSeconds(s);
  }
  Time SecondsOr(const std::string& field, Time otherwise) const {
    return Find(field) == nullptr ? otherwise : Seconds(field);
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
  int IntegerOr(const std::string& field, int otherwise) const {
    return Find(field) == nullptr ? otherwise : Integer<int>(field);
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
  static std::string_view Cut(std::string_view* rest) {
    const std::size_t space = rest->find(' ');
    const std::string_view part = rest->substr(0, space);
    rest->remove_prefix(space == rest->npos ? rest->size() : space + 1);
    return part;
  }

  std::string name_;
  std::size_t number_;
  std::map<std::string, std::string> fields_;
};

template <typename T>
using Words = std::initializer_list<std::pair<const char*, T>>;

template <typename T>
T Word(const Line& line, const std::string& field, Words<T> words) {
  const std::string& text = line.Text(field);
  for (const auto& [word, value] : words) {
    if (text == word) return value;
  }
  throw Error(line.number(), line.name() + ": unknown " + field + " '" + text + "'");
}

Outcome ReadOutcome(const Line& line) {
  return Word<Outcome>(line, "reason",
                       {{"pass", Outcome::kServed},
                        {"fault", Outcome::kError},
                        {"no_room", Outcome::kRefused},
                        {"too_slow", Outcome::kTimedOut},
                        {"no_route", Outcome::kNoConnection},
                        {"cut", Outcome::kReset},
                        {"undone", Outcome::kCancelled},
                        {"stale_send", Outcome::kNotSent}});
}

std::optional<Allowance> ReadAllowance(const Line& line, const std::vector<std::string>& names) {
  const std::string* row = line.Find("pressure");
  if (row == nullptr || row->empty() || *row == "-") return std::nullopt;
  Allowance allowance;
  bool known = false;
  std::string_view rest = *row;
  for (std::size_t i = 0; !rest.empty(); ++i) {
    const std::size_t comma = rest.find(',');
    const std::string_view part = rest.substr(0, comma);
    rest.remove_prefix(comma == rest.npos ? rest.size() : comma + 1);
    const double value = part.empty() ? 0 : line.ParseNumber("pressure", part);
    if (i >= names.size()) continue;
    if (names[i] == "x0") allowance.left_share = value;
    if (names[i] == "x1") allowance.limit_per_s = value;
    known = known || names[i] == "x0" || names[i] == "x1";
  }
  return known ? std::optional(allowance) : std::nullopt;
}

Time ReadWait(const Line& line, Outcome outcome) {
  if (outcome != Outcome::kRefused || line.Find("wait-ms") == nullptr) return Time(0);
  const double ms = line.Number("wait-ms");
  if (ms < 0 || ms > kLongest * 1e3) throw Error(line.number(), line.name() + ": wait-ms is out of range");
  return FromSeconds(ms / 1e3);
}

std::string FromHex(const Line& line, const std::string& field) {
  const std::string* text = line.Find(field);
  if (text == nullptr || *text == "-") return {};
  std::string bytes;
  for (std::size_t i = 0; i < text->size(); i += 2) {
    unsigned value = 0;
    const char* at = text->data() + i;
    const bool pair = i + 1 < text->size();
    const auto [end, code] = std::from_chars(at, at + (pair ? 2 : 0), value, 16);
    if (!pair || code != std::errc() || end != at + 2) {
      throw Error(line.number(), line.name() + ": " + field + " is not hex bytes");
    }
    bytes.push_back(static_cast<char>(value));
  }
  return bytes;
}

Message ReadMessage(const Line& line) {
  Message m;
  m.id = line.Text("rid");
  m.message_class = line.Integer<int>("category");
  m.tenant = line.IntegerOr("account", -1);
  m.destination = static_cast<DestinationId>(std::llround(line.Number("to-exchange")));
  if (const std::string* key = line.Find("name-key")) m.key = *key;
  m.expires_in = line.Seconds("expires-in-s");
  m.resubmitted = line.Flag("reconnect") || line.Flag("resent");
  return m;
}

AttemptEnded ReadAttemptEnded(const Line& line, const std::vector<std::string>& names) {
  AttemptEnded e;
  e.id = line.Text("rid");
  e.attempt = line.Integer<int>("shot");
  e.endpoint = line.Text("receiver");
  e.outcome = ReadOutcome(line);
  e.latency = line.SecondsOr("delay-seen-s", Time(0));
  e.closed = line.Flag("closed");
  e.retry_after = ReadWait(line, e.outcome);
  e.allowance = ReadAllowance(line, names);
  return e;
}

ProbeEnded ReadProbeEnded(const Line& line, const std::vector<std::string>& names) {
  ProbeEnded e;
  e.endpoint = line.Text("receiver");
  e.outcome = ReadOutcome(line);
  e.latency = line.SecondsOr("delay-seen-s", Time(0));
  e.retry_after = ReadWait(line, e.outcome);
  e.allowance = ReadAllowance(line, names);
  return e;
}

EndpointInfo ReadEndpoint(const Line& line) {
  if (line.name() != "ITEM") throw Error(line.number(), "ITEM expected, not '" + line.name() + "'");
  EndpointInfo e;
  e.id = line.Text("receiver");
  e.destination = line.Integer<DestinationId>("belongs-to");
  e.kind = line.IntegerOr("model", 0);
  e.zone = line.IntegerOr("failure-domain", 0);
  e.weight = line.NumberOr("weight", 1);
  e.lifecycle = Word<Lifecycle>(
      line, "lifecycle",
      {{"up", Lifecycle::kUp}, {"draining", Lifecycle::kDraining}, {"removed", Lifecycle::kRemoved}});
  return e;
}

Time JsonSeconds(const Json& object, const char* key) {
  const double s = object.value(key, 0.0);
  if (!std::isfinite(s) || std::abs(s) > kLongest) {
    throw std::invalid_argument(std::string(key) + " is out of range");
  }
  return FromSeconds(s);
}

MessageClass ReadClass(const Json& j) {
  MessageClass c;
  c.name = j.value("name", "");
  const std::string semantics = j.at("semantics");
  if (semantics == "idempotent") {
    c.semantics = Semantics::kIdempotent;
  } else if (semantics == "deduplicated") {
    c.semantics = Semantics::kDeduplicated;
  } else if (semantics == "at_most_once") {
    c.semantics = Semantics::kAtMostOnce;
  } else {
    throw std::invalid_argument("unknown semantics '" + semantics + "'");
  }
  c.repeats_bound_to_zone = j.value("key-scope", "all") != "all";
  c.ordered = j.value("one-at-a-time", false);
  c.aim = JsonSeconds(j, "goal-time-s");
  c.deadline = JsonSeconds(j, "deadline-s");
  c.repeat_window = JsonSeconds(j, "repeat-window-s");
  c.worth = j.value("worth", 1.0);
  c.late_value = j.value("late-value", 0.0);
  return c;
}

void ReadLimits(const Json& limits, Settings* s) {
  s->max_open = limits.value("max-open", 0);
  s->max_attempts = limits.value("send-cap", 0);
  s->may_cancel = limits.value("cancel", false);
  s->may_probe = limits.value("probing", false);
  s->may_message_peers = limits.value("peers", false);
  s->may_give_retry_after = limits.value("retry-after", false);
  s->max_retry_after = JsonSeconds(limits, "max-retry-after-s");
  s->connect_timeout = JsonSeconds(limits, "connect-timeout-s");
  s->keepalive = JsonSeconds(limits, "keepalive-s");
}

void ReadRules(const Json& rules, Settings* s) {
  s->warm_up_start_share = rules.value("cold-from", 1.0);
  s->warm_up = JsonSeconds(rules, "cold-s");
  s->drain_grace = JsonSeconds(rules, "drain-grace-s");
  s->ask_within = JsonSeconds(rules, "ask-within-s");
  s->order_settle = JsonSeconds(rules, "order-settle-s");
  s->answer_grace = JsonSeconds(rules, "grace-to-answer-s");
  s->fall_multiple = rules.value("fall-multiple", 0.0);
  s->tip_after = JsonSeconds(rules, "tip-after-s");
}

void ReadFamily(const Json& info, std::size_t kinds, Settings* s) {
  s->slots = info.value("calls-out", 0);
  s->decay = info.value("decay", "even") == "by_half" ? Decay::kExponential : Decay::kLinear;
  s->refused_price = std::max(0.0, info.value("refused-price", 0.0));
  s->zone_fee = info.value("carriage", std::vector<double>());
  const auto apart = info.value("kind-apart", std::vector<bool>());
  const auto bundle = info.value("bundle-max", std::vector<int>());
  s->kinds.resize(std::max({kinds, apart.size(), bundle.size()}));
  for (std::size_t i = 0; i < apart.size(); ++i) s->kinds[i].separate_routes = apart[i];
  for (std::size_t i = 0; i < bundle.size(); ++i) s->kinds[i].bundle_max = bundle[i];
}

WeightMeaning ReadWeights(const std::string& word) {
  if (word == "nominal") return WeightMeaning::kNominal;
  return word == "rough" ? WeightMeaning::kRough : WeightMeaning::kNone;
}

// Seconds with six digits, without going over floating point.
void AppendSeconds(const char* name, Time time, std::string* out) {
  char text[48];
  const long long us = time.count();
  const long long size = us < 0 ? -us : us;
  std::snprintf(text, sizeof text, "=%s%lld.%06lld", us < 0 ? "-" : "", size / 1000000, size % 1000000);
  *out += ' ';
  *out += name;
  *out += text;
}

void AppendHex(const std::string& bytes, std::string* out) {
  static constexpr char kDigits[] = "0123456789abcdef";
  if (bytes.empty()) *out += '-';
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    *out += kDigits[byte >> 4];
    *out += kDigits[byte & 15];
  }
}

struct Writer {
  std::string* out;

  void operator()(const Send& a) const {
    *out += "ASSIGN rid=" + a.id + " receiver=" + a.endpoint;
    if (a.timeout.count() != 0) AppendSeconds("give-up-after-s", a.timeout, out);
  }
  void operator()(const Refuse& a) const {
    *out += "BUSY rid=" + a.id;
    if (a.retry_after.count() > 0) AppendSeconds("wait-s", a.retry_after, out);
  }
  void operator()(const Fail& a) const { *out += "DROP_REQUEST rid=" + a.id; }
  void operator()(const Cancel& a) const {
    *out += "ABANDON rid=" + a.id + " shot=" + std::to_string(a.attempt);
  }
  void operator()(const Probe& a) const { *out += "CHECK receiver=" + a.endpoint; }
  void operator()(const CloseIdle& a) const { *out += "DROP_CONNS receiver=" + a.endpoint; }
  void operator()(const SubscribeToList&) const { *out += "LISTEN enable=1"; }
  void operator()(const FetchList&) const { *out += "QUERY_ALL"; }
  void operator()(const SendToPeers& a) const {
    *out += "SAY target=* payload=";
    AppendHex(a.bytes, out);
  }
  void operator()(const SetTimer& a) const {
    *out += "AFTER handle=" + a.token;
    AppendSeconds("time-s", a.at, out);
  }
  void operator()(const Log& a) const { *out += "RECORD reason-text=" + a.text; }
};

}  // namespace

Settings ParseSettings(std::string_view json, std::vector<std::string>* report_fields) {
  try {
    const Json facts = Json::parse(json);
    const Json none = Json::object();
    Settings s;
    s.senders = facts.value("balancers", 1);
    s.rank = facts.value("rank", 0);
    for (const Json& j : facts.at("services")) s.classes.push_back(ReadClass(j));
    for (const Json& j : facts.value("projects", Json::array())) {
      s.tenants.push_back({j.value("name", ""), j.value("quota-rps", 0.0)});
    }
    const Json models = facts.value("models", Json::array());
    ReadFamily(facts.value("family-info", none), models.size(), &s);
    for (std::size_t i = 0; i < models.size(); ++i) s.kinds[i].name = models[i];
    ReadLimits(facts.value("limits", none), &s);
    ReadRules(facts.value("invariants", none), &s);
    s.weights = ReadWeights(facts.value("weights", "none"));
    s.over_quota_worth_factor = facts.value("over-share-worth", 1.0);
    s.must_request_list = facts.value("discovery", "push") == "ask";
    s.tick = JsonSeconds(facts, "tick-s");
    const Json report = facts.value("report", none);
    *report_fields = report.value("fields", std::vector<std::string>());
    for (const std::string& field : *report_fields) s.reports_allowance |= field == "x0" || field == "x1";
    return s;
  } catch (const Json::exception& e) {
    throw std::invalid_argument(std::string("the settings can't be read: ") + e.what());
  }
}

bool Reader::GetLine(std::string* text) {
  if (!std::getline(in_, *text)) return false;
  ++line_;
  if (!text->empty() && text->back() == '\r') text->pop_back();
  return true;
}

std::vector<EndpointInfo> Reader::ReadLedger(std::size_t count) {
  std::vector<EndpointInfo> items;
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    if (!GetLine(&text)) throw Error(line_, "the input ends inside a LEDGER");
    items.push_back(ReadEndpoint(Line(text, line_)));
  }
  return items;
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
  const auto add = [&](auto what) {
    if (instance.empty()) throw Error(line_, "an event before any AT");
    batch->items.push_back({instance, line_, std::move(what)});
  };
  const auto fields = [&]() -> const std::vector<std::string>& { return report_fields_[instance]; };
  while (true) {
    if (!GetLine(&text)) throw Error(line_, "the input ends inside a batch");
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
      } catch (const std::invalid_argument& e) {
        throw Error(line_, std::string("LAUNCH: ") + e.what());
      }
      add(std::move(launch));
    } else if (name == "LEDGER") {
      const auto ref = line.Integer<std::int64_t>("ref");
      ledgers_[ref] = ReadLedger(line.Integer<std::size_t>("items"));
    } else if (name == "VIEW") {
      ListUpdate update;
      update.scope = Word<ListScope>(line, "scope",
                                     {{"changes", ListScope::kChanges},
                                      {"all", ListScope::kAll},
                                      {"remembered", ListScope::kRemembered},
                                      {"refused", ListScope::kFailed}});
      if (update.scope != ListScope::kFailed) {
        update.revision = line.Integer<std::int64_t>("revision");
        const auto ledger = ledgers_.find(line.Integer<std::int64_t>("ref"));
        if (ledger == ledgers_.end()) throw Error(line_, "VIEW of a list that was never given");
        update.endpoints = ledger->second;
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
      add(Event(ReadAttemptEnded(line, fields())));
    } else if (name == "PROBED") {
      add(Event(ReadProbeEnded(line, fields())));
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
