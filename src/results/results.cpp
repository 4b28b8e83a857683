#include "results/results.hpp"

#include <cmath>
#include <limits>
#include <set>
#include <sstream>

namespace oxbowspread::results {
namespace {

constexpr const char* kSchema = R"(
  CREATE TABLE IF NOT EXISTS played (label TEXT NOT NULL, scenario TEXT NOT NULL, text TEXT NOT NULL,
    variant TEXT NOT NULL, seed TEXT NOT NULL, driver TEXT NOT NULL, report TEXT NOT NULL,
    PRIMARY KEY (label, scenario, text, variant, seed, driver)) WITHOUT ROWID;
)";

sqlite::Statement& BindKey(sqlite::Statement& statement, const Key& key) {
  return statement.Bind(key.label)
      .Bind(key.scenario)
      .Bind(key.scenario_version)
      .Bind(key.variant)
      .Bind(std::to_string(key.seed))
      .Bind(key.driver);
}

std::string QuoteForCsv(const std::string& text) {
  if (text.find_first_of(",\"\n") == text.npos) return text;
  std::string quoted = "\"";
  for (const char c : text) quoted += c == '"' ? "\"\"" : std::string(1, c);
  return quoted + "\"";
}

}  // namespace

double Row::Number(const std::string& path) const {
  const Json::json_pointer pointer("/" + path);
  if (!report.contains(pointer) || !report.at(pointer).is_number())
    return std::numeric_limits<double>::quiet_NaN();
  return report.at(pointer).get<double>();
}

bool Row::clean() const {
  return report.value("breaches", Json::array()).empty() && report.value("crash", "").empty() &&
         report.value("spoilt", "").empty();
}

ResultStore::ResultStore(const std::string& path) : database_(path, {"results", 1, kSchema, 0, false}) {}

bool ResultStore::Contains(const Key& key) {
  sqlite::Statement statement(
      database_,
      "SELECT 1 FROM played WHERE label = ? AND scenario = ? AND text = ? AND variant = ? AND "
      "seed = ? AND driver = ?");
  return BindKey(statement, key).Step();
}

void ResultStore::Put(const Row& row) {
  sqlite::Statement statement(database_, "INSERT OR REPLACE INTO played VALUES (?, ?, ?, ?, ?, ?, ?)");
  BindKey(statement, row.key).Bind(row.report.dump()).Step();
}

std::vector<Row> ResultStore::ReadAll() {
  std::vector<Row> rows;
  sqlite::Statement statement(
      database_,
      "SELECT label, scenario, text, variant, seed, driver, report FROM played ORDER BY label, "
      "scenario, text, variant, length(seed), seed, driver");
  while (statement.Step()) {
    Row row;
    row.key = {statement.Text(0),
               statement.Text(1),
               statement.Text(2),
               statement.Text(3),
               std::stoull(statement.Text(4)),
               statement.Text(5)};
    row.report = Json::parse(statement.Text(6));
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string ToCsv(const std::vector<Row>& rows) {
  std::vector<std::string> columns;
  std::set<std::string> seen;
  for (const Row& row : rows) {
    const Json figures = row.report.value("figures", Json::object());
    for (const auto& [name, value] : figures.items()) {
      if (value.is_number() && seen.insert(name).second) columns.push_back(name);
    }
  }
  std::ostringstream csv;
  csv << "label,scenario,variant,seed,driver,clean";
  for (const std::string& name : columns) csv << "," << name;
  csv << "\n";
  for (const Row& row : rows) {
    csv << QuoteForCsv(row.key.label) << "," << QuoteForCsv(row.key.scenario) << ","
        << QuoteForCsv(row.key.variant) << "," << row.key.seed << "," << row.key.driver << ","
        << (row.clean() ? 1 : 0);
    for (const std::string& name : columns) {
      const double value = row.Number("figures/" + name);
      csv << ",";
      if (!std::isnan(value)) csv << value;
    }
    csv << "\n";
  }
  return csv.str();
}

}  // namespace oxbowspread::results
