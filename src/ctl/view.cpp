#include "ctl/view.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace oxbowspread::ctl {
namespace {

using control::Json;
using control::NumberOf;
using control::TextOf;

std::string Version(const std::string& stamp) { return stamp.substr(0, stamp.find('@')); }

std::string LocalTime(std::int64_t unix_ms, const char* form) {
  const std::time_t t = unix_ms / 1000;
  std::tm local{};
  localtime_r(&t, &local);
  char text[64];
  std::strftime(text, sizeof text, form, &local);
  return text;
}

}  // namespace

std::string Table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

Json StatusOf(const group::Group& group, const std::map<std::string, Answered>& answers,
              std::int64_t belief_age_ms) {
  std::map<std::string, Json> told;
  for (const auto& [agent, answered] : answers) {
    if (!answered.answer) continue;
    for (const Json& one : answered.answer->value("instances", Json::array()))
      told[TextOf(one, "instance")] = one;
  }
  Json all = Json::array();
  for (const group::Instance& i : group.instances) {
    Json row = {{"instance", i.name}, {"agent", i.agent}, {"known", false}, {"phase", "unknown"}};
    if (const auto it = told.find(i.name); it != told.end()) {
      const Json& one = it->second;
      row["wanted"] = Version(TextOf(one, "wanted_stamp"));
      row["want"] = TextOf(one, "want");
      row["deaths"] = NumberOf(one, "deaths");
      const std::int64_t age = NumberOf(one, "age_ms", -1);
      if (one.contains("belief") && age <= belief_age_ms) {
        const Json& b = one.at("belief");
        row["known"] = true;
        row["age_ms"] = age;
        row["phase"] = TextOf(b, "phase");
        row["version"] = Version(TextOf(b, "stamp"));
        row["stamp"] = TextOf(b, "stamp");
        for (const char* key : {"held", "asked", "refused", "ended", "failed", "pid"})
          row[key] = NumberOf(b, key);
        row["settled"] = b.value("settled", false);
        row["fault"] = TextOf(b, "fault");
      }
    } else if (const auto agent = answers.find(i.agent); agent != answers.end() && !agent->second.answer) {
      row["fault"] = "its agent: " + agent->second.why;
    }
    all.push_back(std::move(row));
  }
  return all;
}

std::string StatusTable(const Json& status) {
  std::vector<std::vector<std::string>> rows = {
      {"INSTANCE", "AGENT", "PHASE", "HELD", "ASKED", "REFUSED", "VERSION", "PID", "DEATHS", "AGE", "NOTE"}};
  for (const Json& one : status) {
    const bool known = one.value("known", false);
    const auto number = [&](const char* key) { return known ? std::to_string(NumberOf(one, key)) : "-"; };
    std::string note = TextOf(one, "fault");
    if (note.empty() && known && TextOf(one, "version") != TextOf(one, "wanted"))
      note = "wants " + TextOf(one, "wanted");
    rows.push_back({TextOf(one, "instance"), TextOf(one, "agent"), TextOf(one, "phase"), number("held"),
                    number("asked"), number("refused"), known ? TextOf(one, "version") : "-", number("pid"),
                    one.contains("deaths") ? std::to_string(NumberOf(one, "deaths")) : "-",
                    known ? number("age_ms") + "ms" : "-", note});
  }
  return Table(rows);
}

std::string AgentTable(const group::Group& group, const std::map<std::string, Answered>& answers) {
  std::vector<std::vector<std::string>> rows = {
      {"AGENT", "EPOCH", "LEADER", "CERTIFICATE UNTIL", "REFUSED", "FENCED", "NOTE"}};
  for (const auto& [name, answered] : answers) {
    if (!answered.answer) {
      rows.push_back({name, "-", "-", "-", "-", "-", "no answer: " + answered.why});
      continue;
    }
    const Json& a = *answered.answer;
    std::string note = TextOf(a, "group_fault").empty() ? "" : "group file: " + TextOf(a, "group_fault");
    if (!TextOf(a, "keys_fault").empty()) note += (note.empty() ? "" : "; ") + TextOf(a, "keys_fault");
    try {
      if (group::VersionOfText(group::ReadFile(group.path)) != TextOf(a, "group") && note.empty()) {
        note = "has another group file than " + group.path;
      }
    } catch (const group::Error&) {
    }
    const std::int64_t until = NumberOf(a, "certificate_until");
    rows.push_back({TextOf(a, "agent"), std::to_string(NumberOf(a, "epoch")), TextOf(a, "leader"),
                    until != 0 ? LocalTime(until * 1000, "%Y-%m-%d") : "-",
                    std::to_string(NumberOf(a, "refused_connections")),
                    std::to_string(NumberOf(a, "fenced_orders")), note});
  }
  return Table(rows);
}

std::string ProgressLine(const Json& answer) {
  if (!answer.contains("change")) return "no change so far";
  const Json& c = answer.at("change");
  int done = 0, all = 0;
  std::string now;
  for (const Json& t : c.at("targets")) {
    const std::string stage = TextOf(t, "stage");
    ++all;
    done += stage == "done" || stage == "undone";
    if (stage == "pausing" || stage == "turning" || stage == "watching") {
      now += (now.empty() ? ": " : ", ") + TextOf(t, "instance") + " " +
             (t.value("undo", false) ? "back, " : "") + stage;
    }
  }
  std::string line = TextOf(c, "kind") + " " + TextOf(c, "change") + " " + TextOf(c, "state") + " " +
                     std::to_string(done) + "/" + std::to_string(all) + now;
  const std::string held = TextOf(answer, "held_back"), why = TextOf(c, "why");
  if (!held.empty()) line += " (held back: " + held + ")";
  if (!why.empty()) line += " (" + why + ")";
  return line;
}

std::string ChangeTable(const Json& answer) {
  std::string text = ProgressLine(answer) + "\n";
  if (!answer.contains("change")) return text;
  std::vector<std::vector<std::string>> rows = {{"INSTANCE", "STAGE", "FROM", "TO", "DEATHS", "NOTE"}};
  for (const Json& t : answer.at("change").at("targets")) {
    rows.push_back({TextOf(t, "instance"), (t.value("undo", false) ? "back: " : "") + TextOf(t, "stage"),
                    TextOf(t, "from"), TextOf(t, "to"), std::to_string(NumberOf(t, "deaths")),
                    TextOf(t, "note")});
  }
  return text + Table(rows);
}

std::string PlanTable(const Json& plan) {
  if (plan.value("nothing", false)) return "nothing differs: no change is needed\n";
  std::vector<std::vector<std::string>> rows = {{"INSTANCE", "HOW", "JUST NOW"}};
  for (const Json& line : plan.at("plan")) {
    const std::string now = TextOf(line, "now");
    rows.push_back(
        {TextOf(line, "instance"), TextOf(line, "how"), now.empty() ? "could begin" : "held back: " + now});
  }
  char rate[64];
  std::snprintf(rate, sizeof rate, "the group is asked %.0f messages a second\n", plan.value("rate", 0.0));
  return Table(rows) + rate;
}

std::string HistoryLine(const Json& h) {
  const std::int64_t at = NumberOf(h, "unix_ms");
  char ms[8];
  std::snprintf(ms, sizeof ms, ".%03d", static_cast<int>(at % 1000));
  std::string line = LocalTime(at, "%Y-%m-%d %H:%M:%S") + ms + " " + TextOf(h, "agent");
  if (!TextOf(h, "change").empty()) line += " " + TextOf(h, "change");
  if (!TextOf(h, "instance").empty()) line += " " + TextOf(h, "instance");
  return line + ": " + TextOf(h, "text");
}

}  // namespace oxbowspread::ctl
