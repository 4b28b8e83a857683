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

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

// In gnuplot's double quotes, nothing of it taken for markup ("noenhanced").
std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    if (c != '\n') out += c;
  }
  return out + "\"";
}

std::string Fixed(double value, int digits) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string SeriesOf(const Key& key) {
  std::string name = key.label + (key.variant.empty() ? "" : " " + key.variant);
  return name + " @" + key.driver;
}

std::ostringstream Begin(const std::string& title, const char* x, const char* y) {
  std::ostringstream s;
  s << "set terminal svg size 900,380 noenhanced font 'sans,12'\n"
    << "set title " << Quoted(title) << "\nset xlabel '" << x << "'\nset ylabel '" << y << "'\n"
    << "set grid ytics lc rgb '#dddddd'\nset key outside right top\nset border 3\nset tics nomirror\n";
  return s;
}

using BySeries = std::map<std::string, std::vector<const Row*>>;
using ByScenario = std::map<std::string, BySeries>;

ByScenario Grouped(const std::vector<Row>& rows) {
  ByScenario all;
  for (const Row& row : rows) all[row.key.scenario][SeriesOf(row.key)].push_back(&row);
  return all;
}

// One block of points for each series.
void Blocks(std::ostringstream* s,
            const std::map<std::string, std::vector<std::pair<double, double>>>& series, const char* with) {
  if (series.empty()) return;
  int n = 0;
  for (const auto& [name, points] : series) {
    *s << "$d" << n++ << " << EOD\n";
    for (const auto& [x, y] : points) *s << x << " " << y << "\n";
    *s << "EOD\n";
  }
  *s << "plot ";
  n = 0;
  for (const auto& [name, points] : series) {
    *s << (n > 0 ? ", " : "") << "$d" << n << " using 1:2 " << with << " title " << Quoted(name);
    ++n;
  }
  *s << "\n";
}

Chart Service(const ByScenario& all) {
  std::ostringstream s = Begin("Service by scenario, one point a seed", "", "service");
  s << "set xtics rotate by -30 (";
  int x = 0;
  for (const auto& [scenario, series] : all) s << (x > 0 ? ", " : "") << Quoted(scenario) << " " << x, ++x;
  s << ")\nset xrange [-0.6:" << x << "]\n";
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  x = 0;
  for (const auto& [scenario, series] : all) {
    int n = 0;
    for (const auto& [name, rows] : series) {
      for (const Row* row : rows) points[name].emplace_back(x + 0.12 * n, row->Number("figures/service"));
      ++n;
    }
    ++x;
  }
  Blocks(&s, points, "with points pt 7 ps 0.6");
  return {"Service", "service", s.str()};
}

// Of the first seed of each series; what went wrong is marked.
Chart OverTime(const std::string& scenario, const BySeries& series) {
  const std::uint64_t seed = series.begin()->second.front()->key.seed;
  std::ostringstream s = Begin(scenario + ", seed " + std::to_string(seed) +
                                   ": worth delivered of what was asked for, by when it was due",
                               "s", "share");
  s << "set yrange [0:1.05]\n";
  std::set<std::pair<double, std::string>> marks;
  for (const Json& turn : series.begin()->second.front()->report.value("turns", Json::array())) {
    marks.emplace(std::floor(turn.value("at_s", 0.0)), turn.value("what", ""));
  }
  int height = 0;
  for (const auto& [at, what] : marks) {
    s << "set arrow from " << at << ",0 to " << at << ",1.05 nohead lc rgb '#bbbbbb' dt 2\n";
    s << "set label " << Quoted(what) << " at " << at << "," << Fixed(0.05 + 0.06 * (height++ % 6), 2)
      << " font ',9' textcolor rgb '#888888'\n";
  }
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [name, rows] : series) {
    double at = 0;
    for (const Json& share : rows.front()->report["figures"].value("worth_by_second", Json::array())) {
      if (share.get<double>() >= 0) points[name].emplace_back(at, share.get<double>());
      at += 1;
    }
  }
  Blocks(&s, points, "with lines lw 2");
  return {scenario + " over time", "time-" + scenario, s.str()};
}

Chart Latency(const std::string& scenario, const BySeries& series) {
  std::ostringstream s =
      Begin(scenario + ": delivered within, by percentile, mean of the seeds", "percentile", "ms");
  s << "set logscale y\nset xtics (";
  constexpr const char* kNames[] = {"50", "75", "90", "95", "99", "99.9"};
  for (int i = 0; i < 6; ++i) s << (i > 0 ? ", " : "") << "'" << kNames[i] << "' " << i;
  s << ")\nset xrange [-0.3:5.3]\n";
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [name, rows] : series) {
    for (int i = 0; i < 6; ++i) {
      double sum = 0;
      int n = 0;
      for (const Row* row : rows) {
        const double v = row->Number("figures/deliver_ms/" + std::string(kNames[i]));
        if (!std::isnan(v) && v > 0) sum += v, ++n;
      }
      if (n > 0) points[name].emplace_back(i, sum / n);
    }
  }
  Blocks(&s, points, "with linespoints pt 7 lw 2");
  return {scenario + " latency", "latency-" + scenario, s.str()};
}

Chart Partners(const std::string& scenario, const BySeries& series) {
  const auto& [name, rows] = *series.begin();
  std::ostringstream s =
      Begin(scenario + ", " + name + ": calls a message and refused calls a message, by partner",
            "partner, the busiest first", "a message");
  std::map<int, std::array<double, 3>> sums;
  for (const Row* row : rows) {
    for (const Json& p : row->report["figures"].value("partners", Json::array())) {
      auto& sum = sums[p.value("partner", 0)];
      sum[0] += p.value("asked", 0.0);
      sum[1] += p.value("calls", 0.0);
      sum[2] += p.value("refused", 0.0);
    }
  }
  s << "set style fill solid 0.7\nset boxwidth 0.4\n";
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const auto& [partner, sum] : sums) {
    if (sum[0] <= 0) continue;
    points["calls"].emplace_back(partner - 0.2, sum[1] / sum[0]);
    points["refused"].emplace_back(partner + 0.2, sum[2] / sum[0]);
  }
  Blocks(&s, points, "with boxes");
  return {scenario + " by partner", "partners-" + scenario, s.str()};
}

// Where the variants differ in one number only: figures against it.
void Curves(const std::vector<Row>& rows, std::vector<Chart>* charts) {
  std::map<std::string, std::map<std::string, std::map<double, std::vector<const Row*>>>> by_key;
  for (const Row& row : rows) {
    const std::size_t equals = row.key.variant.find('=');
    if (equals == std::string::npos || row.key.variant.find(' ') != std::string::npos) continue;
    char* end = nullptr;
    const std::string value = row.key.variant.substr(equals + 1);
    const double x = std::strtod(value.c_str(), &end);
    if (end == value.c_str()) continue;
    by_key[row.key.variant.substr(0, equals)][row.key.scenario + " " + row.key.label + " @" + row.key.driver]
          [x]
              .push_back(&row);
  }
  const std::vector<std::pair<const char*, const char*>> kFigures = {
      {"figures/service", "service"},
      {"cpu_us_a_message", "us of CPU a message"},
      {"peak_kb", "peak memory of a relay, kB"}};
  for (const auto& [key, series] : by_key) {
    for (const auto& [path, what] : kFigures) {
      std::map<std::string, std::vector<std::pair<double, double>>> points;
      for (const auto& [name, values] : series) {
        for (const auto& [x, same] : values) {
          double sum = 0;
          int n = 0;
          for (const Row* row : same) {
            const double v = row->Number(path);
            if (!std::isnan(v) && v > 0) sum += v, ++n;
          }
          if (n > 0) points[name].emplace_back(x, sum / n);
        }
      }
      bool many = false;
      for (const auto& [name, all] : points) many = many || all.size() > 1;
      if (!many) continue;
      std::ostringstream s = Begin(std::string(what) + " against " + key, key.c_str(), what);
      Blocks(&s, points, "with linespoints pt 7 lw 2");
      charts->push_back({std::string(what) + " against " + key,
                         "curve-" + key + "-" + std::to_string(charts->size()), s.str()});
    }
  }
}

std::string Table(const ByScenario& all) {
  std::ostringstream t;
  t << "<table><tr><th>scenario<th>what<th>days<th>service<th>least<th>delivered %<th>tries a message"
       "<th>refused calls a message<th>turned away a message<th>broken rules, crashes, spoilt</tr>\n";
  for (const auto& [scenario, series] : all) {
    for (const auto& [name, rows] : series) {
      double service = 0, least = 1, asked = 0, delivered = 0, calls = 0, refused = 0, turned = 0;
      int bad = 0;
      for (const Row* row : rows) {
        const double v = row->Number("figures/service");
        service += v;
        least = std::min(least, v);
        asked += row->Number("figures/asked");
        delivered += row->Number("figures/delivered");
        calls += row->Number("figures/calls");
        refused += row->Number("figures/refused_calls");
        turned += row->Number("figures/turned_away");
        if (!row->clean()) ++bad;
      }
      const double most = std::max(asked, 1.0);
      t << "<tr><td>" << Escaped(scenario) << "<td>" << Escaped(name) << "<td>" << rows.size() << "<td>"
        << Fixed(service / static_cast<double>(rows.size()), 3) << "<td>" << Fixed(least, 3) << "<td>"
        << Fixed(100 * delivered / most, 2) << "<td>" << Fixed(calls / most, 3) << "<td>"
        << Fixed(refused / most, 3) << "<td>" << Fixed(turned / most, 4) << "<td"
        << (bad > 0 ? " class=bad>" : ">") << bad << "</tr>\n";
    }
  }
  t << "</table>\n";
  return t.str();
}

}  // namespace

std::vector<Chart> ChartsOf(const std::vector<Row>& rows) {
  std::vector<Chart> charts;
  const ByScenario all = Grouped(rows);
  if (all.empty()) return charts;
  charts.push_back(Service(all));
  Curves(rows, &charts);
  for (const auto& [scenario, series] : all) {
    charts.push_back(OverTime(scenario, series));
    charts.push_back(Latency(scenario, series));
    charts.push_back(Partners(scenario, series));
  }
  return charts;
}

std::string Page(const std::vector<Row>& rows, const std::vector<Chart>& charts,
                 const std::vector<std::string>& svg) {
  std::ostringstream page;
  page << "<!DOCTYPE html>\n<html lang=en><meta charset=utf-8><title>Played days</title>\n"
          "<style>body{font:15px sans-serif;margin:2em auto;max-width:960px}table{border-collapse:collapse}"
          "td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}td:nth-child(-n+2),th:nth-child(-n+2)"
          "{text-align:left}.bad{background:#fbb}svg{max-width:100%}</style>\n<h1>Played days</h1>\n<p>"
       << rows.size() << " days.</p>\n"
       << Table(Grouped(rows));
  for (std::size_t i = 0; i < charts.size() && i < svg.size(); ++i) {
    page << "<h2>" << Escaped(charts[i].title) << "</h2>\n"
         << svg[i].substr(std::min(svg[i].size(), svg[i].find("<svg"))) << "\n";
  }
  page << "</html>\n";
  return page.str();
}

std::string Draw(const Chart& chart) {
  const std::string path =
      (std::filesystem::temp_directory_path() / ("oxbowlab-chart-" + std::to_string(getpid()) + ".gp"))
          .string();
  std::ofstream(path) << chart.script;
  const Ran ran = RunToEnd({"gnuplot", path});
  std::filesystem::remove(path);
  if (ran.exit_code != 0 || ran.out.find("<svg") == std::string::npos) {
    throw std::runtime_error("gnuplot: " + chart.name + ": " + ran.err.substr(0, ran.err.find('\n', 1)));
  }
  return ran.out;
}

}  // namespace oxbowspread::results
