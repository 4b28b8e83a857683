#include "yaml/reader.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace oxbowspread::yaml {

YAML::Node Reader::Load() const {
  try {
    return YAML::LoadFile(path_);
  } catch (const YAML::BadFile&) {
    throw Error(path_ + ": can't be read");
  } catch (const YAML::ParserException& e) {
    Fail(e.mark, "YAML", e.msg);
  }
}

void Reader::Fail(const YAML::Mark& mark, const std::string& key, const std::string& fault) const {
  const std::string line = mark.line >= 0 ? ":" + std::to_string(mark.line + 1) : "";
  throw Error(path_ + line + ": " + key + ": " + fault);
}

void Reader::AllowOnlyKeys(const YAML::Node& map, const std::string& where,
                           const std::set<std::string>& keys) const {
  if (!map.IsMap()) Fail(map.Mark(), where, "must be a mapping");
  std::set<std::string> seen;
  for (const auto& pair : map) {
    const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
    if (keys.count(key) == 0)
      Fail(pair.first.Mark(), where.empty() ? key : where + "." + key, "is not a known key");
    if (!seen.insert(key).second) Fail(pair.first.Mark(), key, "appears twice");
  }
}

std::string Reader::Text(const YAML::Node& map, const char* key, const std::string& prefix,
                         bool required) const {
  const YAML::Node node = map[key];
  if (!node) {
    if (required) Fail(map.Mark(), prefix + key, "is missing");
    return {};
  }
  if (!node.IsScalar() || node.Scalar().empty())
    Fail(node.Mark(), prefix + key, "must be a non-empty string");
  return node.Scalar();
}

double Reader::Number(const YAML::Node& map, const char* key, const std::string& prefix, double min,
                      double max, double default_value) const {
  const YAML::Node node = map[key];
  if (!node) return default_value;
  double value = NAN;
  if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !(value >= min && value <= max)) {
    std::ostringstream range;
    range << "must be a number from " << min << " to " << max;
    Fail(node.Mark(), prefix + key, range.str());
  }
  return value;
}
int Reader::Integer(const YAML::Node& map, const char* key, const std::string& prefix, int min, int max,
                    int default_value) const {
  const double value = Number(map, key, prefix, min, max, default_value);
  if (value != std::floor(value)) Fail(map[key].Mark(), prefix + key, "must be a whole number");
  return static_cast<int>(value);
}

Time Reader::Duration(const YAML::Node& map, const char* key, const std::string& prefix,
                      Time default_value) const {
  const YAML::Node node = map[key];
  if (!node) return default_value;
  const std::string text = node.IsScalar() ? node.Scalar() : "";
  std::size_t end = 0;
  double value = -1;
  try {
    value = std::stod(text, &end);
  } catch (const std::exception&) {
  }
  const std::string unit = text.substr(std::min(end, text.size()));
  const double factor = unit == "ms" ? 1e3 : unit == "s" ? 1e6 : unit == "m" ? 6e7 : 0;
  if (!(value >= 0) || factor == 0 || value * factor > 8.64e10) {
    Fail(node.Mark(), prefix + key, "must be a duration such as 250ms, 20s or 3m, not '" + text + "'");
  }
  return Time(static_cast<Time::rep>(value * factor));
}

}  // namespace oxbowspread::yaml
