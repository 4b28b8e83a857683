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

// Parses "MSG.PUT key id fields body". The key, which consists of zeros, is not used. `fields` is a
// comma-separated list of name=value pairs. `now` is Unix time; the deadline is computed from it. Throws
// InvalidCommand.
journal::Message ParsePut(std::vector<std::string> command, journal::Time now);

}  // namespace oxbowspread::client
