// Helpers of tests that replace the relay's configuration file.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "relay_harness.hpp"

namespace oxbowspread::testing {

// Returns the MSG.PUT command of a message of that class for destination 7.
inline std::string PutOfClass(const std::string& id, const std::string& class_name) {
  return Client::PutCommand(id, "hello", 8000, ",k=key-" + id + ",dest=7", class_name);
}

// Reloads the relay with that text as its file and returns the log line about the result, without the relay's
// name: "reloaded, ..." or "reload refused: KEY: ...".
inline std::string ReloadAndReadLog(StubServices& stubs, RelayProcess& relay, const std::string& text) {
  const std::size_t before = relay.log().size();
  relay.Reload(text);
  std::size_t start = std::string::npos, end = std::string::npos;
  stubs.WaitUntil([&] {
    start = std::min(relay.log().find(": reloaded", before), relay.log().find(": reload refused", before));
    if (start != std::string::npos) end = relay.log().find('\n', start);
    return end != std::string::npos;
  });
  return relay.log().substr(start + 2, end - start - 2);
}

}  // namespace oxbowspread::testing
