#include "tracer.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ptrace.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

namespace oxbowspread::testing {
namespace {

constexpr long kEpollWaits[] = {
    SYS_epoll_pwait,
#ifdef SYS_epoll_pwait2
    SYS_epoll_pwait2,
#endif
#ifdef SYS_epoll_wait
    SYS_epoll_wait,
#endif
};
constexpr long kPolls[] = {
    SYS_ppoll,
#ifdef SYS_poll
    SYS_poll,
#endif
};
constexpr long kRenames[] = {
    SYS_renameat2,
#ifdef SYS_renameat
    SYS_renameat,
#endif
#ifdef SYS_rename
    SYS_rename,
#endif
};

}  // namespace

bool Tracer::Call::WaitsInEpoll() const { return std::ranges::count(kEpollWaits, number) > 0; }
bool Tracer::Call::WaitsForEvents() const { return WaitsInEpoll() || std::ranges::count(kPolls, number) > 0; }
bool Tracer::Call::RenamesFile() const { return std::ranges::count(kRenames, number) > 0; }

Tracer::Tracer(StubServices& stubs, pid_t pid) : stubs_(stubs), pid_(pid) {
  REQUIRE(ptrace(PTRACE_SEIZE, pid_, nullptr, PTRACE_O_TRACESYSGOOD) == 0);
  REQUIRE(ptrace(PTRACE_INTERRUPT, pid_, nullptr, nullptr) == 0);
  attached_ = true;
  int status = 0;
  WaitForStop(&status);
  REQUIRE(WIFSTOPPED(status));
}

void Tracer::WaitForStop(int* status) {
  const auto until = Clock::now() + 8s;
  while (waitpid(pid_, status, WNOHANG) != pid_) {
    if (Clock::now() > until) FAIL("the traced process did not stop in time");
    stubs_.ServeFor(1ms);
  }
}

void Tracer::RunUntil(const std::function<bool(const Call&)>& wanted) {
  Call call;
  while (true) {
    REQUIRE(ptrace(PTRACE_SYSCALL, pid_, nullptr, std::exchange(pending_signal_, 0)) == 0);
    int status = 0;
    WaitForStop(&status);
    if (!WIFSTOPPED(status)) attached_ = false;
    REQUIRE(WIFSTOPPED(status));
    const int stop_signal = WSTOPSIG(status);
    if ((status >> 16) != 0) continue;  // a ptrace event, neither a system call nor a signal
    if (stop_signal != (SIGTRAP | 0x80)) {
      pending_signal_ = stop_signal;
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

void Tracer::RunUntilJournalWrites(int records) {
  RunUntil([&](const Call& call) {
    const bool written = call.number == SYS_write && call.done && call.result > 0;
    if (written && FileOf(call.fd).ends_with("/journal")) records -= 1;
    return records == 0;
  });
}

void Tracer::RunUntilReceivedFrom(int port) {
  RunUntil([&](const Call& call) {
    return call.number == SYS_recvfrom && call.done && call.result > 1 && RemotePortOf(call.fd) == port;
  });
}

void Tracer::RunUntilWaiting(const std::function<bool()>& condition) {
  RunUntil([&](const Call& call) { return call.WaitsInEpoll() && !call.done && condition(); });
}

void Tracer::Detach() {
  if (std::exchange(attached_, false)) ptrace(PTRACE_DETACH, pid_, nullptr, pending_signal_);
}

std::string Tracer::FileOf(int fd) const {
  char path[512] = {};
  const std::string link = "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(fd);
  const ssize_t size = readlink(link.c_str(), path, sizeof path - 1);
  return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : std::string();
}

// Finds the socket's inode in the kernel's table of TCP connections.
int Tracer::RemotePortOf(int fd) const {
  const std::string file = FileOf(fd);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    unsigned remote_port = 0;
    unsigned long inode = 0;
    const int parsed_fields = std::sscanf(
        line.c_str(), " %*d: %*x:%*x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu", &remote_port, &inode);
    if (parsed_fields == 2 && file == "socket:[" + std::to_string(inode) + "]")
      return static_cast<int>(remote_port);
  }
  return 0;
}

}  // namespace oxbowspread::testing
