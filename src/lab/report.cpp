#include "lab/report.hpp"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

namespace oxbowspread::lab {
namespace {

using Json = nlohmann::ordered_json;

double Seconds(trace::Time t) { return static_cast<double>(t.count()) / 1e6; }

// The name of a scheduled event in the report.
const char* NameOf(const model::ScheduledEvent& event) {
  using Kind = model::ScheduledEvent::Kind;
  switch (event.kind) {
    case Kind::kKillRelay:
      return "relay killed";
    case Kind::kTerminateRelay:
      return "relay restarted";
    case Kind::kStartRelay:
      return "relay started";
    case Kind::kStopRelay:
      return "relay stopped";
    case Kind::kContinueRelay:
      return "relay goes on";
    case Kind::kStartOutage:
      return event.value >= 1 ? "host shuts" : "host fails";
    case Kind::kEndOutage:
      return "host back";
    case Kind::kDrainHost:
      return "host drains";
    case Kind::kRemoveHost:
      return "host gone";
    case Kind::kAddHost:
      return "host added";
    case Kind::kSetListLag:
      return event.value > 0 ? "list behind" : "list back";
    case Kind::kDiscoveryDown:
      return "discovery down";
    case Kind::kDiscoverySilent:
      return "discovery silent";
    case Kind::kDiscoverySlow:
      return "discovery slow";
    case Kind::kDiscoveryOverloaded:
      return "discovery crowded";
    case Kind::kDiscoveryRecovered:
      return "discovery back";
    case Kind::kTruncateList:
      return "change breaks off";
    case Kind::kMoveDiscovery:
      return "discovery moved";
    case Kind::kSignals:
      return "signals";
    case Kind::kIdleClients:
      return event.value > 0 ? "idle clients" : "idle clients leave";
    case Kind::kStoppedClients:
      return event.value > 0 ? "stopped clients" : "stopped clients leave";
  }
  return "";
}

Json FiguresToJson(const check::Figures& figures) {
  Json partners = Json::array();
  for (const auto& [number, counts] : figures.by_destination) {
    partners.push_back({{"partner", number},
                        {"asked", counts.messages_due},
                        {"delivered", counts.delivered},
                        {"calls", counts.calls},
                        {"refused", counts.refused},
                        {"errors", counts.errors}});
  }
  Json latency = Json::object();
  for (const auto& [name, ms] : figures.deliver_ms) latency[name] = ms;
  return {{"service", figures.service_score},
          {"whole", figures.worth_share},
          {"worst_10s", figures.worst_window_share},
          {"prices", figures.deductions},
          {"asked", figures.messages_due},
          {"taken", figures.accepted},
          {"delivered", figures.delivered},
          {"in_aim", figures.within_aim},
          {"undelivered", figures.undelivered},
          {"turned_away", figures.rejected},
          {"unanswered", figures.unanswered},
          {"deferred", figures.deferred},
          {"undeliverable", figures.undeliverable},
          {"calls", figures.calls},
          {"tries", figures.calls_per_message},
          {"repeats", figures.repeats},
          {"fresh", figures.new_connections},
          {"refused_calls", figures.refused_calls},
          {"over_limit", figures.over_limit},
          {"errors", figures.errors},
          {"dropped", figures.dropped},
          {"accept_p50_ms", figures.accept_p50_ms},
          {"accept_p99_ms", figures.accept_p99_ms},
          {"deliver_p50_ms", figures.deliver_p50_ms},
          {"deliver_p99_ms", figures.deliver_p99_ms},
          {"deliver_ms", latency},
          {"worst_over", figures.worst_limit_excess},
          {"fairness", figures.fairness},
          {"fell", figures.collapsed_hosts},
          {"partners", partners},
          {"worth_by_second", figures.worth_by_second}};
}

std::string FormatLine(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string FormatLine(const char* format, ...) {
  std::array<char, 600> text;
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text.data(), text.size(), format, arguments);
  va_end(arguments);
  return std::string(text.data()) + "\n";
}

unsigned long long AsUnsignedLongLong(std::uint64_t n) { return n; }

}  // namespace

Json ToJson(const Outcome& outcome, const model::Day& day, const std::string& scenario) {
  Json report = {{"scenario", scenario}, {"seed", day.seed}, {"figures", FiguresToJson(outcome.figures)}};
  report["breaches"] = Json::array();
  for (const check::Breach& breach : outcome.breaches) {
    report["breaches"].push_back({{"at_us", breach.at.count()},
                                  {"rule", breach.rule},
                                  {"message", breach.message},
                                  {"events", breach.events}});
  }
  report["cut_short"] = outcome.cut_short;
  report["crash"] = outcome.crash;
  report["spoilt"] = outcome.invalid_reason;
  report["length_us"] = outcome.length.count();
  report["late_us"] = outcome.load_lateness.count();
  report["steps"] = outcome.steps;
  report["most_held"] = outcome.max_held_messages;
  report["cpu_us"] = outcome.cpu_time.count();
  report["cpu_us_a_message"] = static_cast<double>(outcome.cpu_time.count()) /
                               std::max(1.0, static_cast<double>(outcome.figures.messages_due));
  report["peak_kb"] = outcome.peak_kb;
  report["peak_memory_kb"] = outcome.peak_memory_kb;
  report["worst_news_us"] = outcome.worst_list_delay.count();
  report["list_calls"] = outcome.list_calls_by_second;
  report["turns"] = Json::array();
  for (const model::ScheduledEvent& event : day.scheduled_events) {
    report["turns"].push_back({{"at_s", Seconds(event.at)}, {"what", NameOf(event)}, {"index", event.index}});
  }
  return report;
}

std::string ToText(const Outcome& outcome, const model::Day& day, const std::string& scenario) {
  const check::Figures& figures = outcome.figures;
  std::string text = FormatLine("%-22s seed %-6llu service %.3f  whole %.3f  worst 10 s %.3f  prices %.3f",
                                scenario.c_str(), AsUnsignedLongLong(day.seed), figures.service_score,
                                figures.worth_share, figures.worst_window_share, figures.deductions);
  text += FormatLine(
      "  asked %llu  taken %llu  delivered %llu  within the aim %llu  turned away %llu  unanswered %llu",
      AsUnsignedLongLong(figures.messages_due), AsUnsignedLongLong(figures.accepted),
      AsUnsignedLongLong(figures.delivered), AsUnsignedLongLong(figures.within_aim),
      AsUnsignedLongLong(figures.rejected), AsUnsignedLongLong(figures.unanswered));
  text += FormatLine(
      "  calls %llu (%.3f per message)  refused %llu, above a limit %llu  errors %llu  dropped %llu  new "
      "connections "
      "%llu",
      AsUnsignedLongLong(figures.calls), figures.calls_per_message, AsUnsignedLongLong(figures.refused_calls),
      AsUnsignedLongLong(figures.over_limit), AsUnsignedLongLong(figures.errors),
      AsUnsignedLongLong(figures.dropped), AsUnsignedLongLong(figures.new_connections));
  text += FormatLine(
      "  accepted p50 %.1f p99 %.1f ms  delivered p50 %.0f p99 %.0f ms  deferred %llu  undeliverable %llu",
      figures.accept_p50_ms, figures.accept_p99_ms, figures.deliver_p50_ms, figures.deliver_p99_ms,
      AsUnsignedLongLong(figures.deferred), AsUnsignedLongLong(figures.undeliverable));
  if (outcome.cpu_time.count() > 0) {
    text += FormatLine("  relays: %.1f us of CPU per message, %.1f MB at most  load late %.1f ms at most",
                       static_cast<double>(outcome.cpu_time.count()) /
                           std::max(1.0, static_cast<double>(figures.messages_due)),
                       static_cast<double>(outcome.peak_kb) / 1024, Seconds(outcome.load_lateness) * 1e3);
  }
  if (!outcome.list_calls_by_second.empty()) {
    std::vector<std::uint64_t> calls = outcome.list_calls_by_second;
    std::sort(calls.begin(), calls.end());
    text += FormatLine("  discovery: median %llu calls per second, %llu at most  list delay %.2f s at most",
                       AsUnsignedLongLong(calls[calls.size() / 2]), AsUnsignedLongLong(calls.back()),
                       Seconds(outcome.worst_list_delay));
  }
  if (!outcome.crash.empty()) text += "  crashed: " + outcome.crash + "\n";
  if (!outcome.invalid_reason.empty()) text += "  invalid: " + outcome.invalid_reason + "\n";
  if (outcome.cut_short) text += "  the trace was cut short\n";
  for (const check::Breach& breach : outcome.breaches) {
    text += FormatLine("  rule broken at %.6f s: ", Seconds(breach.at));
    text.pop_back();
    text += breach.rule + ", " + breach.message + ": " + breach.events + "\n";
  }
  return text;
}

}  // namespace oxbowspread::lab
