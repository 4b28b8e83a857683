// Runs a program to its end and collects its output.
#pragma once

#include <string>
#include <vector>

namespace oxbowspread::results {

// The exit code and the output of a process that has ended.
struct ProcessResult {
  int exit_code = -1;  // -1: ended by a signal
  std::string out, err;
};

// `command` begins with the program's name, which is looked up in $PATH. Blocks; may be called from several
// threads. Throws std::runtime_error if the program can't be started.
ProcessResult RunProcess(const std::vector<std::string>& command);

}  // namespace oxbowspread::results
