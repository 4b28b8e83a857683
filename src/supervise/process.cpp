#include "supervise/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <sstream>

extern char** environ;

namespace oxbowspread::supervise {
namespace {
// A longer log is renamed to *.old before the next start, which replaces an earlier *.old file.
constexpr off_t kMaxLogBytes = 4 << 20;
}  // namespace

std::uint64_t ProcessStartTicks(pid_t pid) {
  std::string stat_line;
  std::getline(std::ifstream("/proc/" + std::to_string(pid) + "/stat"), stat_line);
  const std::size_t name_end = stat_line.rfind(')');  // the name itself may contain spaces and parentheses
  if (name_end == stat_line.npos) return 0;
  std::istringstream fields(stat_line.substr(name_end + 1));
  std::string state, skipped;
  fields >> state;
  if (state == "Z" || state == "X") return 0;
  for (int i = 4; i < 22; ++i) fields >> skipped;
  std::uint64_t start_ticks = 0;
  fields >> start_ticks;
  return start_ticks;
}

pid_t SpawnProcess(const Program& program, std::string* reason) {
  struct stat log_status {};
  if (stat(program.log_path.c_str(), &log_status) == 0 && log_status.st_size > kMaxLogBytes) {
    rename(program.log_path.c_str(), (program.log_path + ".old").c_str());
  }
  std::vector<std::string> environment_entries;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    if (std::strncmp(*entry, "ROUTER_", 7) != 0) environment_entries.emplace_back(*entry);
  }
  for (const auto& [name, value] : program.environment) environment_entries.push_back(name + "=" + value);
  std::vector<std::string> argument_values = {program.path};
  argument_values.insert(argument_values.end(), program.arguments.begin(), program.arguments.end());
  const auto pointers = [](std::vector<std::string>& texts) {
    std::vector<char*> result;
    for (std::string& text : texts) result.push_back(text.data());
    result.push_back(nullptr);
    return result;
  };
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&file_actions, 1, program.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&file_actions, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSID | POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  sigset_t no_signals, all_signals;
  sigemptyset(&no_signals);
  sigfillset(&all_signals);
  posix_spawnattr_setsigmask(&attributes, &no_signals);
  posix_spawnattr_setsigdefault(&attributes, &all_signals);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, program.path.c_str(), &file_actions, &attributes,
                                pointers(argument_values).data(), pointers(environment_entries).data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&file_actions);
  if (error == 0) return pid;
  *reason = program.path + ": " + std::strerror(error);
  return 0;
}

}  // namespace oxbowspread::supervise
