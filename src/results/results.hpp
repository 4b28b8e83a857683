// Stores the results of simulated days in one SQLite file, so that an interrupted sweep can continue and two
// labels can be compared.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sqlite/database.hpp"

namespace oxbowspread::results {

using Json = nlohmann::ordered_json;

// Identifies a day and what ran it.
struct Key {
  std::string label;             // the operator's name for what was tested, such as a program's version
  std::string scenario;          // name
  std::string scenario_version;  // hash of the scenario's text, on which the day depends
  std::string variant;  // settings that override the scenario's, "traffic.load=0.9 relay.slots=1"; may be
                        // empty
  std::uint64_t seed = 0;
  std::string driver;  // "sim" or "run"

  auto operator<=>(const Key&) const = default;
};

// The result of one run.
struct Row {
  Key key;
  Json report;  // as printed by `oxbowlab sim --json`

  // Returns the number at a path of the report such as "figures/service"; NaN if there is none.
  double Number(const std::string& path) const;
  bool clean() const;  // no rule broken, no crash, and the run was valid
};

// The file of results.
class ResultStore {
 public:
  // Creates the file if it doesn't exist. Throws sqlite::Error.
  explicit ResultStore(const std::string& path);

  // All of these throw sqlite::Error; ReadAll also throws nlohmann's exceptions on a report that is not JSON.
  bool Contains(const Key& key);
  void Put(const Row& row);  // replaces an earlier row of the same key
  // In the order of their keys.
  std::vector<Row> ReadAll();

 private:
  sqlite::Database database_;
};

// One line per row after a line of column names: the key, then all plain numbers of `figures`.
std::string ToCsv(const std::vector<Row>& rows);

}  // namespace oxbowspread::results
