#include "tracer.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ptrace.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

namespace oxbowspread::testing {

Tracer::Tracer(World& world, pid_t pid) : world_(world), pid_(pid) {
  REQUIRE(ptrace(PTRACE_SEIZE, pid_, nullptr, PTRACE_O_TRACESYSGOOD) == 0);
  REQUIRE(ptrace(PTRACE_INTERRUPT, pid_, nullptr, nullptr) == 0);
  held_ = true;
  int status = 0;
  Await(&status);
  REQUIRE(WIFSTOPPED(status));
}

void Tracer::Await(int* status) {
  const auto until = Clock::now() + 8s;
  while (waitpid(pid_, status, WNOHANG) != pid_) {
    if (Clock::now() > until) FAIL("the traced process does not stop");
    world_.ServeFor(1ms);
  }
}

void Tracer::Until(const std::function<bool(const Call&)>& wanted) {
  Call call;
  while (true) {
    REQUIRE(ptrace(PTRACE_SYSCALL, pid_, nullptr, std::exchange(signal_, 0)) == 0);
    int status = 0;
    Await(&status);
    if (!WIFSTOPPED(status)) held_ = false;
    REQUIRE(WIFSTOPPED(status));
    const int stop = WSTOPSIG(status);
    if ((status >> 16) != 0) continue;  // a stop of tracing itself
    if (stop != (SIGTRAP | 0x80)) {
      signal_ = stop;
      continue;
    }
    __ptrace_syscall_info info{};
    REQUIRE(ptrace(PTRACE_GET_SYSCALL_INFO, pid_, sizeof info, &info) > 0);
    if (info.op == PTRACE_SYSCALL_INFO_ENTRY) {
      call = {static_cast<long>(info.entry.nr), static_cast<int>(info.entry.args[0]), false, 0};
    } else if (info.op == PTRACE_SYSCALL_INFO_EXIT) {
      call.done = true;
      call.result = info.exit.rval;
      if (call.number == SYS_openat) call.fd = static_cast<int>(call.result);
    }
    if (wanted(call)) return;
  }
}

void Tracer::UntilJournalled(int records) {
  Until([&](const Call& call) {
    const bool written = call.number == SYS_write && call.done && call.result > 0;
    if (written && FileOf(call.fd).ends_with("/journal")) records -= 1;
    return records == 0;
  });
}

void Tracer::UntilReceivedFrom(int port) {
  Until([&](const Call& call) {
    return call.number == SYS_recvfrom && call.done && call.result > 1 && PeerOf(call.fd) == port;
  });
}

void Tracer::UntilWaiting(const std::function<bool()>& holds) {
  Until([&](const Call& call) {
    bool waits = call.number == SYS_epoll_pwait;
#ifdef SYS_epoll_wait
    waits = waits || call.number == SYS_epoll_wait;
#endif
    return waits && !call.done && holds();
  });
}

void Tracer::Detach() {
  if (std::exchange(held_, false)) ptrace(PTRACE_DETACH, pid_, nullptr, signal_);
}

std::string Tracer::FileOf(int fd) const {
  char path[512] = {};
  const std::string link = "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(fd);
  const ssize_t size = readlink(link.c_str(), path, sizeof path - 1);
  return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : std::string();
}

// By the system's table: "socket:[inode]" of the descriptor, and the peer of that inode.
int Tracer::PeerOf(int fd) const {
  const std::string file = FileOf(fd);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    unsigned peer = 0;
    unsigned long inode = 0;
    const int found =
        std::sscanf(line.c_str(), " %*d: %*x:%*x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu", &peer, &inode);
    if (found == 2 && file == "socket:[" + std::to_string(inode) + "]") return static_cast<int>(peer);
  }
  return 0;
}

}  // namespace oxbowspread::testing
