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

std::string LocalTime(std::int64_t unix_ms, const char* format) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm local{};
  localtime_r(&seconds, &local);
  char text[64];
  std::strftime(text, sizeof text, format, &local);
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

Json StatusOf(const group::Group& group, const std::map<std::string, Response>& responses,
              std::int64_t max_status_age_ms) {
  std::map<std::string, Json> reported;
  for (const auto& [agent, response] : responses) {
    if (!response.answer) continue;
    for (const Json& entry : response.answer->value("instances", Json::array()))
      reported[TextOf(entry, "instance")] = entry;
  }
  Json all = Json::array();
  for (const group::Instance& instance : group.instances) {
    Json row = {
        {"instance", instance.name}, {"agent", instance.agent}, {"known", false}, {"phase", "unknown"}};
    if (const auto it = reported.find(instance.name); it != reported.end()) {
      const Json& entry = it->second;
      row["wanted"] = Version(TextOf(entry, "wanted_stamp"));
      row["want"] = TextOf(entry, "want");
      row["deaths"] = NumberOf(entry, "deaths");
      const std::int64_t age = NumberOf(entry, "age_ms", -1);
      if (entry.contains("belief") && age <= max_status_age_ms) {
        const Json& instance_status = entry.at("belief");
        row["known"] = true;
        row["age_ms"] = age;
        row["phase"] = TextOf(instance_status, "phase");
        row["version"] = Version(TextOf(instance_status, "stamp"));
        row["stamp"] = TextOf(instance_status, "stamp");
        for (const char* key : {"held", "asked", "refused", "ended", "failed", "pid"})
          row[key] = NumberOf(instance_status, key);
        row["settled"] = instance_status.value("settled", false);
        row["fault"] = TextOf(instance_status, "fault");
      }
    } else if (const auto agent = responses.find(instance.agent);
               agent != responses.end() && !agent->second.answer) {
      row["fault"] = "its agent: " + agent->second.error;
    }
    all.push_back(std::move(row));
  }
  return all;
}

std::string StatusTable(const Json& status) {
  std::vector<std::vector<std::string>> rows = {
      {"INSTANCE", "AGENT", "PHASE", "HELD", "ASKED", "REFUSED", "VERSION", "PID", "DEATHS", "AGE", "NOTE"}};
  for (const Json& entry : status) {
    const bool known = entry.value("known", false);
    const auto number = [&](const char* key) { return known ? std::to_string(NumberOf(entry, key)) : "-"; };
    std::string note = TextOf(entry, "fault");
    if (note.empty() && known && TextOf(entry, "version") != TextOf(entry, "wanted"))
      note = "should run " + TextOf(entry, "wanted");
    rows.push_back({TextOf(entry, "instance"), TextOf(entry, "agent"), TextOf(entry, "phase"), number("held"),
                    number("asked"), number("refused"), known ? TextOf(entry, "version") : "-", number("pid"),
                    entry.contains("deaths") ? std::to_string(NumberOf(entry, "deaths")) : "-",
                    known ? number("age_ms") + "ms" : "-", note});
  }
  return Table(rows);
}

std::string AgentTable(const group::Group& group, const std::map<std::string, Response>& responses) {
  std::vector<std::vector<std::string>> rows = {
      {"AGENT", "EPOCH", "LEADER", "CERTIFICATE UNTIL", "REFUSED", "FENCED", "NOTE"}};
  for (const auto& [name, response] : responses) {
    if (!response.answer) {
      rows.push_back({name, "-", "-", "-", "-", "-", "no answer: " + response.error});
      continue;
    }
    const Json& answer = *response.answer;
    std::string note =
        TextOf(answer, "group_fault").empty() ? "" : "group file: " + TextOf(answer, "group_fault");
    if (!TextOf(answer, "keys_fault").empty())
      note += (note.empty() ? "" : "; ") + TextOf(answer, "keys_fault");
    try {
      if (group::VersionOfText(group::ReadFile(group.path)) != TextOf(answer, "group") && note.empty()) {
        note = "its group file differs from " + group.path;
      }
    } catch (const group::Error&) {
    }
    const std::int64_t until = NumberOf(answer, "certificate_until");
    rows.push_back({TextOf(answer, "agent"), std::to_string(NumberOf(answer, "epoch")),
                    TextOf(answer, "leader"), until != 0 ? LocalTime(until * 1000, "%Y-%m-%d") : "-",
                    std::to_string(NumberOf(answer, "refused_connections")),
                    std::to_string(NumberOf(answer, "fenced_orders")), note});
  }
  return Table(rows);
}

std::string ProgressLine(const Json& answer) {
  if (!answer.contains("change")) return "no change so far";
  const Json& change = answer.at("change");
  int done = 0, total = 0;
  std::string active;
  for (const Json& target : change.at("targets")) {
    const std::string stage = TextOf(target, "stage");
    ++total;
    done += stage == "done" || stage == "undone";
    if (stage == "pausing" || stage == "turning" || stage == "watching") {
      active += (active.empty() ? ": " : ", ") + TextOf(target, "instance") + " " +
                (target.value("undo", false) ? "back, " : "") + stage;
    }
  }
  std::string line = TextOf(change, "kind") + " " + TextOf(change, "change") + " " + TextOf(change, "state") +
                     " " + std::to_string(done) + "/" + std::to_string(total) + active;
  const std::string blocked_reason = TextOf(answer, "held_back"), reason = TextOf(change, "why");
  if (!blocked_reason.empty()) line += " (blocked: " + blocked_reason + ")";
  if (!reason.empty()) line += " (" + reason + ")";
  return line;
}

std::string ChangeTable(const Json& answer) {
  std::string text = ProgressLine(answer) + "\n";
  if (!answer.contains("change")) return text;
  std::vector<std::vector<std::string>> rows = {{"INSTANCE", "STAGE", "FROM", "TO", "DEATHS", "NOTE"}};
  for (const Json& target : answer.at("change").at("targets")) {
    rows.push_back({TextOf(target, "instance"),
                    (target.value("undo", false) ? "back: " : "") + TextOf(target, "stage"),
                    TextOf(target, "from"), TextOf(target, "to"), std::to_string(NumberOf(target, "deaths")),
                    TextOf(target, "note")});
  }
  return text + Table(rows);
}

std::string PlanTable(const Json& plan) {
  if (plan.value("nothing", false)) return "nothing differs: no change is needed\n";
  std::vector<std::vector<std::string>> rows = {{"INSTANCE", "HOW", "NOW"}};
  for (const Json& line : plan.at("plan")) {
    const std::string now = TextOf(line, "now");
    rows.push_back(
        {TextOf(line, "instance"), TextOf(line, "how"), now.empty() ? "can start now" : "blocked: " + now});
  }
  char rate[64];
  std::snprintf(rate, sizeof rate, "the group receives %.0f messages a second\n", plan.value("rate", 0.0));
  return Table(rows) + rate;
}

std::string HistoryLine(const Json& entry) {
  const std::int64_t at = NumberOf(entry, "unix_ms");
  char ms[8];
  std::snprintf(ms, sizeof ms, ".%03d", static_cast<int>(at % 1000));
  std::string line = LocalTime(at, "%Y-%m-%d %H:%M:%S") + ms + " " + TextOf(entry, "agent");
  if (!TextOf(entry, "change").empty()) line += " " + TextOf(entry, "change");
  if (!TextOf(entry, "instance").empty()) line += " " + TextOf(entry, "instance");
  return line + ": " + TextOf(entry, "text");
}

}  // namespace oxbowspread::ctl
