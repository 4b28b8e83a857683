// The results of played days, kept in one SQLite file, so that a sweep that was broken off goes on where it
// stood and two labels can be compared.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sqlite/database.hpp"

namespace oxbowspread::results {

using Json = nlohmann::ordered_json;

// Which day was played, by what.
struct Key {
  std::string label;     // the operators' own name for what was tried, such as a program's version
  std::string scenario;  // its name
  std::string text;      // version of its text: another text is another day
  std::string variant;   // settings laid over it, "traffic.load=0.9 relay.slots=1"; empty: none
  std::uint64_t seed = 0;
  std::string driver;  // "sim" or "run"

  auto operator<=>(const Key&) const = default;
};

struct Row {
  Key key;
  Json report;  // as `oxbowlab sim --json` tells it

  // A number in it by a path such as "figures/service". NaN where there is none.
  double Number(const std::string& path) const;
  bool clean() const;  // no rule broken, no crash, not spoilt
};

class Results {
 public:
  // Makes the file if it isn't there. Throws sqlite::Error.
  explicit Results(const std::string& path);

  // All of these throw sqlite::Error; All also nlohmann's exceptions on a report that is no JSON.
  bool Has(const Key& key);
  void Put(const Row& row);  // in place of an earlier one of that key
  // In the order of their keys.
  std::vector<Row> All();

 private:
  sqlite::Database database_;
};

// One line a row, the first with the columns' names: the key, then all plain numbers of `figures`.
std::string ToCsv(const std::vector<Row>& rows);

}  // namespace oxbowspread::results
