// Processes of the system, as little of them as supervision needs.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace oxbowspread::supervise {

// What tells a process from a later one with the same pid: the moment of its start in clock ticks since the
// system's (proc(5), field 22). 0 if there is no such process, or it has ended and only waits to be reaped.
std::uint64_t StartedAt(pid_t pid);

struct Program {
  std::string path;
  std::vector<std::string> arguments;              // after the program's own name
  std::map<std::string, std::string> environment;  // beside the starter's; $ROUTER_... of that are left out
  std::string log;                                 // standard output and error are appended to it
};

// Starts it in a session of its own, with no descriptor of ours but the log: it lives on when we end. The
// pid, or 0 and why not.
pid_t Start(const Program& program, std::string* why);

}  // namespace oxbowspread::supervise
