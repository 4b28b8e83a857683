// The agent's log on standard output, written by spdlog: lines of text, or one JSON object per line.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace oxbowspread::agent {

// A log whose lines carry the name of the agent. Not thread-safe.
class Log {
 public:
  Log(std::string agent, bool json);
  // Writes one line; empty fields are left out. The text format has no `step`.
  void Write(spdlog::level::level_enum level, const std::string& change, const std::string& instance,
             const std::string& text, const std::string& step = {});

 private:
  std::string agent_;
  bool json_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace oxbowspread::agent
