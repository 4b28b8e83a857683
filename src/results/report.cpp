#include "results/report.hpp"

#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "results/child.hpp"

namespace oxbowspread::results {
namespace {

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// Quotes a text for gnuplot. The terminal option "noenhanced" keeps gnuplot from interpreting markup in it.
std::string QuoteForGnuplot(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    if (c != '\n') quoted += c;
  }
  return quoted + "\"";
}

std::string FormatFixed(double value, int digits) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string SeriesName(const Key& key) {
  std::string name = key.label + (key.variant.empty() ? "" : " " + key.variant);
  return name + " @" + key.driver;
}

std::ostringstream ChartHeader(const std::string& title, const char* x, const char* y) {
  std::ostringstream script;
  script << "set terminal svg size 900,380 noenhanced font 'sans,12'\n"
         << "set title " << QuoteForGnuplot(title) << "\nset xlabel '" << x << "'\nset ylabel '" << y << "'\n"
         << "set grid ytics lc rgb '#dddddd'\nset key outside right top\nset border 3\nset tics nomirror\n";
  return script;
}

using BySeries = std::map<std::string, std::vector<const Row*>>;
using ByScenario = std::map<std::string, BySeries>;

ByScenario GroupRows(const std::vector<Row>& rows) {
  ByScenario rows_by_scenario;
  for (const Row& row : rows) rows_by_scenario[row.key.scenario][SeriesName(row.key)].push_back(&row);
  return rows_by_scenario;
}

// Appends one data block per series and the plot command.
void AppendPlots(std::ostringstream* script,
                 const std::map<std::string, std::vector<std::pair<double, double>>>& series,
                 const char* style) {
  if (series.empty()) return;
  int count = 0;
  for (const auto& [name, points] : series) {
    *script << "$d" << count++ << " << EOD\n";
    for (const auto& [x, y] : points) *script << x << " " << y << "\n";
    *script << "EOD\n";
  }
  *script << "plot ";
  count = 0;
  for (const auto& [name, points] : series) {
    *script << (count > 0 ? ", " : "") << "$d" << count << " using 1:2 " << style << " title "
            << QuoteForGnuplot(name);
    ++count;
  }
  *script << "\n";
}

Chart ServiceChart(const ByScenario& rows_by_scenario) {
  std::ostringstream script = ChartHeader("Service by scenario, one point per seed", "", "service");
  script << "set xtics rotate by -30 (";
  int x = 0;
  for (const auto& [scenario, series] : rows_by_scenario)
    script << (x > 0 ? ", " : "") << QuoteForGnuplot(scenario) << " " << x, ++x;
  script << ")\nset xrange [-0.6:" << x << "]\n";
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  x = 0;
  for (const auto& [scenario, series] : rows_by_scenario) {
    int count = 0;
    for (const auto& [name, rows] : series) {
      for (const Row* row : rows) points[name].emplace_back(x + 0.12 * count, row->Number("figures/service"));
      ++count;
    }
    ++x;
  }
  AppendPlots(&script, points, "with points pt 7 ps 0.6");
  return {"Service", "service", script.str()};
}

// The delivered share of the worth over time, for the first seed of each series. Marks the scheduled events.
Chart OverTimeChart(const std::string& scenario, const BySeries& series) {
  const std::uint64_t seed = series.begin()->second.front()->key.seed;
  std::ostringstream script =
      ChartHeader(scenario + ", seed " + std::to_string(seed) +
                      ": share of the worth that was delivered, by when messages were due",
                  "s", "share");
  script << "set yrange [0:1.05]\n";
  std::set<std::pair<double, std::string>> marks;
  for (const Json& event : series.begin()->second.front()->report.value("turns", Json::array())) {
    marks.emplace(std::floor(event.value("at_s", 0.0)), event.value("what", ""));
  }
  int height = 0;
  for (const auto& [at, what] : marks) {
    script << "set arrow from " << at << ",0 to " << at << ",1.05 nohead lc rgb '#bbbbbb' dt 2\n";
    script << "set label " << QuoteForGnuplot(what) << " at " << at << ","
           << FormatFixed(0.05 + 0.06 * (height++ % 6), 2) << " font ',9' textcolor rgb '#888888'\n";
  }
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [name, rows] : series) {
    double at = 0;
    for (const Json& share : rows.front()->report["figures"].value("worth_by_second", Json::array())) {
      if (share.get<double>() >= 0) points[name].emplace_back(at, share.get<double>());
      at += 1;
    }
  }
  AppendPlots(&script, points, "with lines lw 2");
  return {scenario + " over time", "time-" + scenario, script.str()};
}

Chart LatencyChart(const std::string& scenario, const BySeries& series) {
  std::ostringstream script =
      ChartHeader(scenario + ": time until delivery by percentile, mean of the seeds", "percentile", "ms");
  script << "set logscale y\nset xtics (";
  constexpr const char* kNames[] = {"50", "75", "90", "95", "99", "99.9"};
  for (int i = 0; i < 6; ++i) script << (i > 0 ? ", " : "") << "'" << kNames[i] << "' " << i;
  script << ")\nset xrange [-0.3:5.3]\n";
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [name, rows] : series) {
    for (int i = 0; i < 6; ++i) {
      double sum = 0;
      int count = 0;
      for (const Row* row : rows) {
        const double value = row->Number("figures/deliver_ms/" + std::string(kNames[i]));
        if (!std::isnan(value) && value > 0) sum += value, ++count;
      }
      if (count > 0) points[name].emplace_back(i, sum / count);
    }
  }
  AppendPlots(&script, points, "with linespoints pt 7 lw 2");
  return {scenario + " latency", "latency-" + scenario, script.str()};
}

Chart PartnersChart(const std::string& scenario, const BySeries& series) {
  const auto& [name, rows] = *series.begin();
  std::ostringstream script =
      ChartHeader(scenario + ", " + name + ": calls and refused calls per message, by partner",
                  "partner, the busiest first", "per message");
  std::map<int, std::array<double, 3>> sums;
  for (const Row* row : rows) {
    for (const Json& partner_figures : row->report["figures"].value("partners", Json::array())) {
      auto& sum = sums[partner_figures.value("partner", 0)];
      sum[0] += partner_figures.value("asked", 0.0);
      sum[1] += partner_figures.value("calls", 0.0);
      sum[2] += partner_figures.value("refused", 0.0);
    }
  }
  script << "set style fill solid 0.7\nset boxwidth 0.4\n";
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [partner, sum] : sums) {
    if (sum[0] <= 0) continue;
    points["calls"].emplace_back(partner - 0.2, sum[1] / sum[0]);
    points["refused"].emplace_back(partner + 0.2, sum[2] / sum[0]);
  }
  AppendPlots(&script, points, "with boxes");
  return {scenario + " by partner", "partners-" + scenario, script.str()};
}

// Appends charts of the figures over a setting, from the variants that set this setting to a number and no
// other.
void AppendVariantCharts(const std::vector<Row>& rows, std::vector<Chart>* charts) {
  std::map<std::string, std::map<std::string, std::map<double, std::vector<const Row*>>>> by_key;
  for (const Row& row : rows) {
    const std::size_t equals = row.key.variant.find('=');
    if (equals == std::string::npos || row.key.variant.find(' ') != std::string::npos) continue;
    char* end = nullptr;
    const std::string number_text = row.key.variant.substr(equals + 1);
    const double x = std::strtod(number_text.c_str(), &end);
    if (end == number_text.c_str()) continue;
    by_key[row.key.variant.substr(0, equals)][row.key.scenario + " " + row.key.label + " @" + row.key.driver]
          [x]
              .push_back(&row);
  }
  const std::vector<std::pair<const char*, const char*>> figures = {
      {"figures/service", "service"},
      {"cpu_us_a_message", "us of CPU per message"},
      {"peak_kb", "peak memory of a relay, kB"}};
  for (const auto& [key, series] : by_key) {
    for (const auto& [path, what] : figures) {
      std::map<std::string, std::vector<std::pair<double, double>>> points;
      for (const auto& [name, values] : series) {
        for (const auto& [x, rows_of_value] : values) {
          double sum = 0;
          int count = 0;
          for (const Row* row : rows_of_value) {
            const double value = row->Number(path);
            if (!std::isnan(value) && value > 0) sum += value, ++count;
          }
          if (count > 0) points[name].emplace_back(x, sum / count);
        }
      }
      bool has_curve = false;
      for (const auto& [name, curve] : points) has_curve = has_curve || curve.size() > 1;
      if (!has_curve) continue;
      std::ostringstream script = ChartHeader(std::string(what) + " against " + key, key.c_str(), what);
      AppendPlots(&script, points, "with linespoints pt 7 lw 2");
      charts->push_back({std::string(what) + " against " + key,
                         "curve-" + key + "-" + std::to_string(charts->size()), script.str()});
    }
  }
}

std::string FormatTable(const ByScenario& rows_by_scenario) {
  std::ostringstream table;
  table << "<table><tr><th>scenario<th>series<th>days<th>mean service<th>lowest<th>delivered %<th>calls per "
           "message"
           "<th>refused calls per message<th>rejections per message<th>broken rules, crashes, invalid</tr>\n";
  for (const auto& [scenario, series] : rows_by_scenario) {
    for (const auto& [name, rows] : series) {
      double service = 0, min_service = 1, messages_due = 0, delivered = 0, calls = 0, refused = 0,
             rejected = 0;
      int unclean_days = 0;
      for (const Row* row : rows) {
        const double value = row->Number("figures/service");
        service += value;
        min_service = std::min(min_service, value);
        messages_due += row->Number("figures/asked");
        delivered += row->Number("figures/delivered");
        calls += row->Number("figures/calls");
        refused += row->Number("figures/refused_calls");
        rejected += row->Number("figures/turned_away");
        if (!row->clean()) ++unclean_days;
      }
      const double message_count = std::max(messages_due, 1.0);
      table << "<tr><td>" << EscapeHtml(scenario) << "<td>" << EscapeHtml(name) << "<td>" << rows.size()
            << "<td>" << FormatFixed(service / static_cast<double>(rows.size()), 3) << "<td>"
            << FormatFixed(min_service, 3) << "<td>" << FormatFixed(100 * delivered / message_count, 2)
            << "<td>" << FormatFixed(calls / message_count, 3) << "<td>"
            << FormatFixed(refused / message_count, 3) << "<td>" << FormatFixed(rejected / message_count, 4)
            << "<td" << (unclean_days > 0 ? " class=bad>" : ">") << unclean_days << "</tr>\n";
    }
  }
  table << "</table>\n";
  return table.str();
}

}  // namespace

std::vector<Chart> MakeCharts(const std::vector<Row>& rows) {
  std::vector<Chart> charts;
  const ByScenario rows_by_scenario = GroupRows(rows);
  if (rows_by_scenario.empty()) return charts;
  charts.push_back(ServiceChart(rows_by_scenario));
  AppendVariantCharts(rows, &charts);
  for (const auto& [scenario, series] : rows_by_scenario) {
    charts.push_back(OverTimeChart(scenario, series));
    charts.push_back(LatencyChart(scenario, series));
    charts.push_back(PartnersChart(scenario, series));
  }
  return charts;
}

std::string FormatPage(const std::vector<Row>& rows, const std::vector<Chart>& charts,
                       const std::vector<std::string>& svg) {
  std::ostringstream page;
  page << "<!DOCTYPE html>\n<html lang=en><meta charset=utf-8><title>Results of simulated days</title>\n"
          "<style>body{font:15px sans-serif;margin:2em auto;max-width:960px}table{border-collapse:collapse}"
          "td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}td:nth-child(-n+2),th:nth-child(-n+2)"
          "{text-align:left}.bad{background:#fbb}svg{max-width:100%}</style>\n<h1>Results of simulated "
          "days</h1>\n<p>"
       << rows.size() << " days.</p>\n"
       << FormatTable(GroupRows(rows));
  for (std::size_t i = 0; i < charts.size() && i < svg.size(); ++i) {
    page << "<h2>" << EscapeHtml(charts[i].title) << "</h2>\n"
         << svg[i].substr(std::min(svg[i].size(), svg[i].find("<svg"))) << "\n";
  }
  page << "</html>\n";
  return page.str();
}

std::string RenderSvg(const Chart& chart) {
  const std::string path =
      (std::filesystem::temp_directory_path() / ("oxbowlab-chart-" + std::to_string(getpid()) + ".gp"))
          .string();
  std::ofstream(path) << chart.script;
  const ProcessResult result = RunProcess({"gnuplot", path});
  std::filesystem::remove(path);
  if (result.exit_code != 0 || result.out.find("<svg") == std::string::npos) {
    throw std::runtime_error("gnuplot: " + chart.name + ": " +
                             result.err.substr(0, result.err.find('\n', 1)));
  }
  return result.out;
}

}  // namespace oxbowspread::results
