// Starts processes and identifies them across reuse of a pid.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace oxbowspread::supervise {

// Start time of the process in clock ticks since the system was booted (field 22 of /proc/PID/stat, see
// proc(5)). Together with the pid it distinguishes a process from a later one with the same pid. Returns 0 if
// there is no such process, or if it has exited and is not reaped yet.
std::uint64_t ProcessStartTicks(pid_t pid);

// A program to start, with its arguments and environment.
struct Program {
  std::string path;
  std::vector<std::string> arguments;  // without the program's name
  // Added to the caller's environment, whose ROUTER_* variables are dropped.
  std::map<std::string, std::string> environment;
  std::string log_path;  // file to which standard output and standard error are appended
};

// Starts the program in a new session, so that it keeps running after the caller has exited. The function
// doesn't close the caller's descriptors, which have to be close-on-exec. Returns the pid, or 0 with an error
// text in `reason`.
pid_t SpawnProcess(const Program& program, std::string* reason);

}  // namespace oxbowspread::supervise
