#include "agent/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace oxbowspread::agent {

Log::Log(std::string agent, bool json)
    : agent_(std::move(agent)),
      json_(json),
      logger_(std::make_shared<spdlog::logger>(agent_, std::make_shared<spdlog::sinks::stdout_sink_st>())) {
  logger_->set_pattern(json ? "%v" : "%Y-%m-%d %H:%M:%S.%e %l %v");
  logger_->flush_on(spdlog::level::info);
}

void Log::Write(spdlog::level::level_enum level, const std::string& change, const std::string& instance,
                const std::string& text, const std::string& step) {
  if (!json_) {
    const std::string fields =
        (change.empty() ? "" : " change=" + change) + (instance.empty() ? "" : " instance=" + instance);
    logger_->log(level, "{}:{} {}", agent_, fields, text);
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto name = spdlog::level::to_string_view(level);
  nlohmann::json line = {{"unix_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
                         {"level", std::string(name.data(), name.size())},
                         {"agent", agent_},
                         {"text", text}};
  if (!change.empty()) line["change"] = change;
  if (!instance.empty()) line["instance"] = instance;
  if (!step.empty()) line["step"] = step;
  logger_->log(level, "{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace oxbowspread::agent
