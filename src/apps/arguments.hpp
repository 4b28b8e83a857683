// What all programs do with their arguments.
#pragma once

#include <CLI/CLI.hpp>
#include <iostream>
#include <optional>

namespace oxbowspread::apps {

constexpr int kBadInput = 2;  // exit code: wrong arguments, or a file that can't be used; nothing was changed

// Reads them into what `app` is bound to. Nothing if the program is to go on; else its exit code, with the
// help or the version on standard output, or one line that names the fault on standard error.
inline std::optional<int> Parse(CLI::App& app, const char* program, int argc, char** argv) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);
    std::cerr << program << ": " << e.what() << "\n";
    return kBadInput;
  }
  return std::nullopt;
}

}  // namespace oxbowspread::apps
