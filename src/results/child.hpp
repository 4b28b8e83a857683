// One program run to its end, its output taken.
#pragma once

#include <string>
#include <vector>

namespace oxbowspread::results {

struct Ran {
  int exit_code = -1;  // -1: it ended by a signal
  std::string out, err;
};

// `words` begin with the program's name, looked for in $PATH. Blocks; may be called from many threads. Throws
// std::runtime_error where it can't be started.
Ran RunToEnd(const std::vector<std::string>& words);

}  // namespace oxbowspread::results
