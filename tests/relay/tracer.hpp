// Stops a relay process at a chosen system call (with ptrace), so that a test can send it a signal at exactly
// that point.
#pragma once

#include <functional>
#include <string>

#include "relay_harness.hpp"

namespace oxbowspread::testing {

// Traces a process from construction to Detach() or destruction.
class Tracer {
 public:
  // A system call at its entry (`done` is false) or its exit.
  struct Call {
    long number = -1;
    int fd = -1;  // the first argument; for a completed openat, the new descriptor
    bool done = false;
    long result = 0;

    // Each architecture has other system calls for the same purpose. WaitsForEvents includes WaitsInEpoll.
    bool WaitsInEpoll() const;
    bool WaitsForEvents() const;
    bool RenamesFile() const;
  };

  // Attaches to the process and stops it until the first RunUntil. `stubs` is served during all waits.
  Tracer(StubServices& stubs, pid_t pid);
  ~Tracer() { Detach(); }
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  // Lets the process run to the first system call for which `wanted` returns true, and stops it there. Fails
  // the test if the process exits before that.
  void RunUntil(const std::function<bool(const Call&)>& wanted);
  // Runs until that number of further journal records has been written.
  void RunUntilJournalWrites(int records);
  // Runs until bytes have been received on a connection that the process opened to that port.
  void RunUntilReceivedFrom(int port);
  // Runs until the process is about to wait in epoll while the condition is true.
  void RunUntilWaiting(const std::function<bool()>& condition);
  // Ends the tracing; the process continues to run.
  void Detach();
  std::string FileOf(int fd) const;  // path of a descriptor's file, or "socket:[inode]"

 private:
  int RemotePortOf(int fd) const;  // the remote port of a socket; 0 if unknown
  void WaitForStop(int* status);

  StubServices& stubs_;
  pid_t pid_;
  bool attached_ = false;
  int pending_signal_ = 0;  // received while stopped, to be delivered to the process next
};

}  // namespace oxbowspread::testing
