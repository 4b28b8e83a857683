// What a client's command says: MSG.PUT with its list of names and values. Knows no socket.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "journal/entry.hpp"

namespace oxbowspread::client {

class BadCommand : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// MSG.PUT zeros id names-and-values body. `now` is Unix time. Throws BadCommand.
journal::Message ReadPut(std::vector<std::string> command, journal::Time now);

}  // namespace oxbowspread::client
