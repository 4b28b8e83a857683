// The configuration of a relay: the JSON file that $ROUTER_CONFIG names, and the other $ROUTER_ environment
// variables. Only this module reads and validates them and sets defaults.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "wheathub/decide.hpp"

namespace oxbowspread::config {

// An invalid or missing value. The message starts with the key or environment variable that causes the error.
class Error : public std::runtime_error {
 public:
  Error(const std::string& key, const std::string& what) : std::runtime_error(key + ": " + what) {}
};

// A parsed configuration. Limits that are missing in the file keep the defaults below.
struct Config {
  std::string name;
  std::string listen;     // address:port for clients: a loopback address or the address of the relay
  std::string discovery;  // address:port of the discovery service
  std::string state;      // folder for the durable state
  int listen_fd = -1;     // inherited listening socket for clients; -1: the relay opens its own
  std::string mgmt;       // address:port of the management listener; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;          // maximum number of descriptors
  std::size_t disk_bytes = 3'000'000;  // from limits.disk_mb, which may be fractional
  std::string last_known_list;         // the last known routing table, as JSON text
  std::string file_text;               // the whole file, for comparison with a reloaded one
  // A line of text for each missing key of the settings that rules rest on, with the default.
  std::vector<std::string> defaulted_rule_keys;
  wheathub::Settings settings;
  std::vector<std::string> zones;  // zone names by index, like `settings.zone_fee`

  // Shares of the descriptors. Clients need a third of them for requests, and further connections may be in
  // the process of closing, so the share of clients is two fifths. The share of endpoint connections is one
  // half. kReservedDescriptors and the remainder are for the journal, the event loop, discovery, notices and
  // a reserve.
  static constexpr std::size_t kBytesPerMb = 1'000'000;
  static constexpr std::size_t kReservedDescriptors = 16;
  static constexpr std::size_t kManagementDescriptors = 18;  // reserved if `mgmt` is set
  std::size_t shareable_descriptors() const {
    return sockets - kReservedDescriptors - (mgmt.empty() ? 0 : kManagementDescriptors);
  }
  std::size_t max_clients() const { return shareable_descriptors() * 2 / 5; }
  std::size_t max_endpoint_connections() const { return shareable_descriptors() / 2; }
  // Limit of the state folder. Its files count as memory, and the bodies of held messages take as much again.
  std::size_t max_state_bytes() const { return std::min(disk_bytes, memory_mb * kBytesPerMb / 8); }
  // Share of the memory for commands of clients that are incomplete or not answered yet. During a handover
  // two processes hold them, and share the limit.
  std::size_t client_receive_bytes() const { return memory_mb * kBytesPerMb / 16; }
};

// Reads the file that $ROUTER_CONFIG names. The other $ROUTER_ variables override values of the file. Lowers
// `sockets` to the descriptor limit of the system. Throws Error.
Config LoadFromEnvironment();
// Reads the same file again while `running` is in use. Every key of the running file except a few optional
// ones must be present with the same type. Zones and kinds keep the indexes that they have in `running`. The
// environment dates from the start of the process, so the `discovery` value of the file takes precedence over
// $ROUTER_DISCOVERY in a reload. Throws Error.
Config Reload(const Config& running);
// Returns the keys that differ between the configurations and that take effect only after a restart.
std::vector<std::string> KeysNeedingRestart(const Config& running, const Config& next);
// Parses the text of a configuration file without reading the environment. Throws Error.
Config Parse(const std::string& text);
// Parses the text and also requires all values that a relay needs, including those that the environment could
// supply. Throws Error.
Config ParseAndValidate(const std::string& text);

}  // namespace oxbowspread::config
