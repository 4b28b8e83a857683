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

Ran RunToEnd(const std::vector<std::string>& words) {
  int out[2], err[2];
  if (pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
  if (pipe2(err, O_CLOEXEC) != 0) {
    close(out[0]);
    close(out[1]);
    throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
  }
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&files, out[1], 1);
  posix_spawn_file_actions_adddup2(&files, err[1], 2);
  std::vector<std::string> texts = words;
  std::vector<char*> arguments;
  for (std::string& text : texts) arguments.push_back(text.data());
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int code = posix_spawnp(&pid, arguments[0], &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  close(out[1]);
  close(err[1]);
  if (code != 0) {
    close(out[0]);
    close(err[0]);
    throw std::runtime_error(words[0] + ": can't be started: " + std::strerror(code));
  }
  Ran ran;
  std::array<pollfd, 2> from = {{{out[0], POLLIN, 0}, {err[0], POLLIN, 0}}};
  std::array<std::string*, 2> to = {&ran.out, &ran.err};
  while (from[0].fd >= 0 || from[1].fd >= 0) {
    if (poll(from.data(), from.size(), -1) < 0 && errno != EINTR) break;
    for (std::size_t i = 0; i < from.size(); ++i) {
      if (from[i].fd < 0 || (from[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      char buffer[16384];
      const ssize_t n = read(from[i].fd, buffer, sizeof buffer);
      if (n > 0) {
        to[i]->append(buffer, static_cast<std::size_t>(n));
      } else if (n == 0 || errno != EINTR) {
        from[i].fd = -1;
      }
    }
  }
  close(out[0]);
  close(err[0]);
  int status = 0;
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  ran.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return ran;
}

}  // namespace oxbowspread::results
