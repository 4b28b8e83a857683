// The agent's log on standard output, written with spdlog as lines of text or as one JSON object per line.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace oxbowspread::agent {

// A log with the name of the agent in each line. Not thread-safe.
class Log {
 public:
  Log(std::string agent, bool json);
  // Writes one line without the empty fields. The text format has no `step`.
  void Write(spdlog::level::level_enum level, const std::string& change, const std::string& instance,
             const std::string& text, const std::string& step = {});

 private:
  std::string agent_;
  bool json_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace oxbowspread::agent
