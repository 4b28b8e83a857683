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
constexpr off_t kMostLog = 4 << 20;  // a longer one starts anew; the old one is kept beside it once
}  // namespace

std::uint64_t StartedAt(pid_t pid) {
  std::string line;
  std::getline(std::ifstream("/proc/" + std::to_string(pid) + "/stat"), line);
  const std::size_t name_end = line.rfind(')');  // a name may hold anything, spaces and brackets too
  if (name_end == line.npos) return 0;
  std::istringstream fields(line.substr(name_end + 1));
  std::string state, skipped;
  fields >> state;
  if (state == "Z" || state == "X") return 0;
  for (int i = 4; i < 22; ++i) fields >> skipped;
  std::uint64_t started = 0;
  fields >> started;
  return started;
}

pid_t Start(const Program& program, std::string* why) {
  struct stat s {};
  if (stat(program.log.c_str(), &s) == 0 && s.st_size > kMostLog) {
    rename(program.log.c_str(), (program.log + ".old").c_str());
  }
  std::vector<std::string> texts;
  for (char** e = environ; *e != nullptr; ++e) {
    if (std::strncmp(*e, "ROUTER_", 7) != 0) texts.emplace_back(*e);
  }
  for (const auto& [name, value] : program.environment) texts.push_back(name + "=" + value);
  std::vector<std::string> words = {program.path};
  words.insert(words.end(), program.arguments.begin(), program.arguments.end());
  const auto pointers = [](std::vector<std::string>& all) {
    std::vector<char*> p;
    for (std::string& text : all) p.push_back(text.data());
    p.push_back(nullptr);
    return p;
  };
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, program.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSID | POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  sigset_t none, all;
  sigemptyset(&none);
  sigfillset(&all);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setsigdefault(&attributes, &all);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, program.path.c_str(), &files, &attributes, pointers(words).data(),
                                pointers(texts).data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
  if (error == 0) return pid;
  *why = program.path + ": " + std::strerror(error);
  return 0;
}

}  // namespace oxbowspread::supervise
