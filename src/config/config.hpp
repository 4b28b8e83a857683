// The one place where configuration is read, checked and given defaults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "wheathub/decide.hpp"

namespace oxbowspread::config {

// Names the key at fault, in words for the operator.
class Error : public std::runtime_error {
 public:
  Error(const std::string& key, const std::string& what) : std::runtime_error(key + ": " + what) {}
};

struct Config {
  std::string name;
  std::string listen;     // address:port, loopback or the relay's own
  std::string discovery;  // address:port
  std::string state;      // the folder that lasts
  int listen_fd = -1;     // the clients' listening socket, held by the platform; -1: none
  std::string mgmt;       // address:port of the operators' door; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::size_t disk_bytes = 3'000'000;  // limits.disk_mb, which may be a fraction
  std::string known;                   // discovery's list as last had, as JSON text
  std::string text;                    // the whole file, to hold the next one against
  wheathub::Settings settings;
  std::vector<std::string> zones;  // their names, in the settings' order

  // Shares of the descriptors. Clients hold a third for requests, and some more may be about to leave; lines
  // to endpoints get half; the rest is for the journal, the loop, discovery and notices, and a reserve.
  static constexpr std::size_t kOwnDescriptors = 16;
  static constexpr std::size_t kDoorDescriptors = 18;  // where there is a door: set apart for it
  std::size_t shared() const { return sockets - kOwnDescriptors - (mgmt.empty() ? 0 : kDoorDescriptors); }
  std::size_t most_clients() const { return shared() * 2 / 5; }
  std::size_t most_lines() const { return shared() / 2; }
};

// From the file that $ROUTER_CONFIG names; the other $ROUTER_ variables fill in and win. Throws Error.
Config FromEnvironment();
// The same file read anew beside the running configuration: as whole as that, else it is turned down. The
// environment is as old as the process, so the file's `discovery` wins over $ROUTER_DISCOVERY now. Throws
// Error.
Config Reread(const Config& running);
// The keys in which two configurations differ and that only a restart can change.
std::vector<std::string> NeedingRestart(const Config& running, const Config& next);
// From the file's text, without the variables. Throws Error.
Config FromText(const std::string& text);
// The same, as a file that stands for itself: what a relay could not work with throws as well.
Config Checked(const std::string& text);

}  // namespace oxbowspread::config
