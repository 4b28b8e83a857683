// Reads typed values from YAML files with yaml-cpp. Every error text is one line with the file, the line and
// the key.
#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <set>
#include <stdexcept>
#include <string>

namespace oxbowspread::yaml {

using Time = std::chrono::microseconds;

// An unreadable or invalid file. The text has the form "FILE:LINE: KEY: REASON", or "FILE: REASON" if the
// file can't be read.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads typed values from one file. Error texts have `prefix`, such as "limits.", before the key. The methods
// that read a value return the value of `key` in `map`, or `default_value` if the key is absent. They throw
// Error if the value is of the wrong type or out of range.
class Reader {
 public:
  explicit Reader(std::string path) : path_(std::move(path)) {}

  // Parses the whole file. Throws Error if it can't be read or is not YAML.
  YAML::Node Load() const;

  // Throws Error with the line of `mark`, the key and the fault.
  [[noreturn]] void Fail(const YAML::Mark& mark, const std::string& key, const std::string& fault) const;
  // Throws Error if `map` is not a mapping, has a key that is not in `keys`, or has a key twice.
  void AllowOnlyKeys(const YAML::Node& map, const std::string& where,
                     const std::set<std::string>& keys) const;
  // Returns an empty string if the key is absent and not required.
  std::string Text(const YAML::Node& map, const char* key, const std::string& prefix, bool required) const;
  // `min` and `max` are allowed values.
  double Number(const YAML::Node& map, const char* key, const std::string& prefix, double min, double max,
                double default_value) const;
  int Integer(const YAML::Node& map, const char* key, const std::string& prefix, int min, int max,
              int default_value) const;
  // A number with the unit ms, s or m, such as "250ms", "20s" or "3m"; at most one day.
  Time Duration(const YAML::Node& map, const char* key, const std::string& prefix, Time default_value) const;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace oxbowspread::yaml
