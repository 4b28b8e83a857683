// Command-line parsing that all programs share.
#pragma once

#include <CLI/CLI.hpp>
#include <iostream>
#include <optional>

namespace oxbowspread::apps {

constexpr int kExitBadInput = 2;  // exit code: invalid arguments or an unusable file; nothing was changed

// Parses the arguments into the variables that are bound to `app`. Returns nothing if the program should go
// on, otherwise its exit code, after printing the help or version to standard output or a one-line error to
// standard error.
inline std::optional<int> Parse(CLI::App& app, const char* program, int argc, char** argv) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);
    std::cerr << program << ": " << e.what() << "\n";
    return kExitBadInput;
  }
  return std::nullopt;
}

}  // namespace oxbowspread::apps
