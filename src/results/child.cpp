#include "results/child.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <stdexcept>

extern char** environ;

namespace oxbowspread::results {

ProcessResult RunProcess(const std::vector<std::string>& command) {
  int out[2], err[2];
  if (pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
  if (pipe2(err, O_CLOEXEC) != 0) {
    close(out[0]);
    close(out[1]);
    throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
  }
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&file_actions, out[1], 1);
  posix_spawn_file_actions_adddup2(&file_actions, err[1], 2);
  std::vector<std::string> argument_strings = command;
  std::vector<char*> arguments;
  for (std::string& argument : argument_strings) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int spawn_error = posix_spawnp(&pid, arguments[0], &file_actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&file_actions);
  close(out[1]);
  close(err[1]);
  if (spawn_error != 0) {
    close(out[0]);
    close(err[0]);
    throw std::runtime_error(command[0] + ": can't be started: " + std::strerror(spawn_error));
  }
  ProcessResult result;
  std::array<pollfd, 2> pipes = {{{out[0], POLLIN, 0}, {err[0], POLLIN, 0}}};
  std::array<std::string*, 2> outputs = {&result.out, &result.err};
  while (pipes[0].fd >= 0 || pipes[1].fd >= 0) {
    if (poll(pipes.data(), pipes.size(), -1) < 0 && errno != EINTR) break;
    for (std::size_t i = 0; i < pipes.size(); ++i) {
      if (pipes[i].fd < 0 || (pipes[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      char buffer[16384];
      const ssize_t size = read(pipes[i].fd, buffer, sizeof buffer);
      if (size > 0) {
        outputs[i]->append(buffer, static_cast<std::size_t>(size));
      } else if (size == 0 || errno != EINTR) {
        pipes[i].fd = -1;
      }
    }
  }
  close(out[0]);
  close(err[0]);
  int status = 0;
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

}  // namespace oxbowspread::results
