#include "lab/report.hpp"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

namespace oxbowspread::lab {
namespace {

using Json = nlohmann::ordered_json;

double Seconds(trace::Time t) { return static_cast<double>(t.count()) / 1e6; }

const char* NameOf(const model::ScheduledEvent& turn) {
  using Kind = model::ScheduledEvent::Kind;
  switch (turn.kind) {
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
      return turn.value >= 1 ? "host shuts" : "host fails";
    case Kind::kEndOutage:
      return "host back";
    case Kind::kDrainHost:
      return "host drains";
    case Kind::kRemoveHost:
      return "host gone";
    case Kind::kAddHost:
      return "host added";
    case Kind::kSetListLag:
      return turn.value > 0 ? "list behind" : "list back";
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
      return turn.value > 0 ? "idle clients" : "idle clients leave";
  }
  return "";
}

Json FiguresOf(const check::Figures& f) {
  Json partners = Json::array();
  for (const auto& [number, d] : f.by_destination) {
    partners.push_back({{"partner", number},
                        {"asked", d.asked},
                        {"delivered", d.delivered},
                        {"calls", d.calls},
                        {"refused", d.refused},
                        {"errors", d.errors}});
  }
  Json latency = Json::object();
  for (const auto& [name, ms] : f.deliver_ms) latency[name] = ms;
  return {{"service", f.service},
          {"whole", f.whole},
          {"worst_10s", f.worst},
          {"prices", f.prices},
          {"asked", f.asked},
          {"taken", f.taken},
          {"delivered", f.delivered},
          {"in_aim", f.in_aim},
          {"undelivered", f.undelivered},
          {"turned_away", f.turned_away},
          {"unanswered", f.left},
          {"deferred", f.deferred},
          {"undeliverable", f.undeliverable},
          {"calls", f.calls},
          {"tries", f.tries},
          {"repeats", f.repeats},
          {"fresh", f.fresh},
          {"refused_calls", f.refused_calls},
          {"over_limit", f.over_limit},
          {"errors", f.errors},
          {"dropped", f.dropped},
          {"accept_p50_ms", f.accept_p50_ms},
          {"accept_p99_ms", f.accept_p99_ms},
          {"deliver_p50_ms", f.deliver_p50_ms},
          {"deliver_p99_ms", f.deliver_p99_ms},
          {"deliver_ms", latency},
          {"worst_over", f.worst_over},
          {"fairness", f.fairness},
          {"fell", f.fell},
          {"partners", partners},
          {"worth_by_second", f.worth_by_second}};
}

std::string Line(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string Line(const char* format, ...) {
  std::array<char, 600> text;
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text.data(), text.size(), format, arguments);
  va_end(arguments);
  return std::string(text.data()) + "\n";
}

unsigned long long U(std::uint64_t n) { return n; }

}  // namespace

Json ReportOf(const Outcome& o, const model::Day& day, const std::string& scenario) {
  Json all = {{"scenario", scenario}, {"seed", day.seed}, {"figures", FiguresOf(o.figures)}};
  all["breaches"] = Json::array();
  for (const check::Breach& b : o.breaches) {
    all["breaches"].push_back(
        {{"at_us", b.at.count()}, {"rule", b.rule}, {"message", b.message}, {"events", b.events}});
  }
  all["cut_short"] = o.cut_short;
  all["crash"] = o.crash;
  all["spoilt"] = o.spoilt;
  all["length_us"] = o.length.count();
  all["late_us"] = o.lateness.count();
  all["steps"] = o.turns;
  all["most_held"] = o.most_held;
  all["cpu_us"] = o.cpu.count();
  all["cpu_us_a_message"] =
      static_cast<double>(o.cpu.count()) / std::max(1.0, static_cast<double>(o.figures.asked));
  all["peak_kb"] = o.peak_kb;
  all["worst_news_us"] = o.worst_news.count();
  all["list_calls"] = o.list_calls;
  all["turns"] = Json::array();
  for (const model::ScheduledEvent& turn : day.scheduled_events) {
    all["turns"].push_back({{"at_s", Seconds(turn.at)}, {"what", NameOf(turn)}, {"index", turn.index}});
  }
  return all;
}

std::string TextOf(const Outcome& o, const model::Day& day, const std::string& scenario) {
  const check::Figures& f = o.figures;
  std::string text = Line("%-22s seed %-6llu service %.3f  whole %.3f  worst 10 s %.3f  prices %.3f",
                          scenario.c_str(), U(day.seed), f.service, f.whole, f.worst, f.prices);
  text +=
      Line("  asked %llu  taken %llu  delivered %llu  within the aim %llu  turned away %llu  unanswered %llu",
           U(f.asked), U(f.taken), U(f.delivered), U(f.in_aim), U(f.turned_away), U(f.left));
  text += Line(
      "  calls %llu (%.3f a message)  refused %llu, above a limit %llu  errors %llu  dropped %llu  new lines "
      "%llu",
      U(f.calls), f.tries, U(f.refused_calls), U(f.over_limit), U(f.errors), U(f.dropped), U(f.fresh));
  text += Line(
      "  accepted p50 %.1f p99 %.1f ms  delivered p50 %.0f p99 %.0f ms  deferred %llu  undeliverable %llu",
      f.accept_p50_ms, f.accept_p99_ms, f.deliver_p50_ms, f.deliver_p99_ms, U(f.deferred),
      U(f.undeliverable));
  if (o.cpu.count() > 0) {
    text += Line("  relays: %.1f us of CPU a message, %.1f MB at most  load late %.1f ms at most",
                 static_cast<double>(o.cpu.count()) / std::max(1.0, static_cast<double>(f.asked)),
                 static_cast<double>(o.peak_kb) / 1024, Seconds(o.lateness) * 1e3);
  }
  if (!o.list_calls.empty()) {
    std::vector<std::uint64_t> calls = o.list_calls;
    std::sort(calls.begin(), calls.end());
    text += Line("  discovery: %llu calls a second in the median, %llu at most  news %.2f s at most",
                 U(calls[calls.size() / 2]), U(calls.back()), Seconds(o.worst_news));
  }
  if (!o.crash.empty()) text += "  crashed: " + o.crash + "\n";
  if (!o.spoilt.empty()) text += "  spoilt: " + o.spoilt + "\n";
  if (o.cut_short) text += "  the stream was cut short\n";
  for (const check::Breach& b : o.breaches) {
    text += Line("  broken at %.6f s: ", Seconds(b.at));
    text.pop_back();
    text += b.rule + ", " + b.message + ": " + b.events + "\n";
  }
  return text;
}

}  // namespace oxbowspread::lab
