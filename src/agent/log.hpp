// The agent's log by spdlog: a line of text, or one JSON object a line, with the same fields.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace oxbowspread::agent {

class Log {
 public:
  Log(std::string agent, bool json);
  // Empty fields are left out.
  void Write(spdlog::level::level_enum level, const std::string& change, const std::string& instance,
             const std::string& text, const std::string& step = {});

 private:
  std::string agent_;
  bool json_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace oxbowspread::agent
