// Parser for the client command MSG.PUT. Independent of sockets.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "journal/entry.hpp"

namespace oxbowspread::client {

// The command is malformed. The text is sent to the client.
class InvalidCommand : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses "MSG.PUT zeros id names-and-values body". The first argument is not used. The names and values are a
// comma-separated list of name=value. `now` is Unix time. Throws InvalidCommand.
journal::Message ParsePut(std::vector<std::string> command, journal::Time now);

}  // namespace oxbowspread::client
