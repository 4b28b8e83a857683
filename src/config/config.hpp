// The relay's configuration: the JSON file that $ROUTER_CONFIG names and the $ROUTER_ environment variables.
// It is read, validated and given its defaults here and nowhere else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "wheathub/decide.hpp"

namespace oxbowspread::config {

// An invalid or missing value. The message starts with the key (or environment variable) at fault.
class Error : public std::runtime_error {
 public:
  Error(const std::string& key, const std::string& what) : std::runtime_error(key + ": " + what) {}
};

// A parsed configuration. Limits that the file leaves out keep the defaults below.
struct Config {
  std::string name;
  std::string listen;     // address:port for clients: a loopback address or the relay's own
  std::string discovery;  // address:port of the discovery service
  std::string state;      // folder for the durable state
  int listen_fd = -1;     // inherited listening socket for clients; -1: the relay opens its own
  std::string mgmt;       // address:port of the management listener; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::size_t disk_bytes = 3'000'000;  // from limits.disk_mb, which may be fractional
  std::string last_known_list;         // the last known routing table, as JSON text
  std::string file_text;               // the whole file; a reload is compared with it
  wheathub::Settings settings;
  std::vector<std::string> zones;  // zone names, in the order of the settings

  // How the descriptors are shared out. Clients use a third for requests, and more connections may be about
  // to close, so clients get two fifths. Endpoint connections get half. kReservedDescriptors and the rest
  // are for the journal, the event loop, discovery and notices, and a reserve.
  static constexpr std::size_t kReservedDescriptors = 16;
  static constexpr std::size_t kManagementDescriptors = 18;  // set aside when `mgmt` is set
  std::size_t shareable_descriptors() const {
    return sockets - kReservedDescriptors - (mgmt.empty() ? 0 : kManagementDescriptors);
  }
  std::size_t max_clients() const { return shareable_descriptors() * 2 / 5; }
  std::size_t max_endpoint_connections() const { return shareable_descriptors() / 2; }
};

// Reads the file that $ROUTER_CONFIG names. The other $ROUTER_ variables override values of the file. Lowers
// `sockets` to what the system allows. Throws Error.
Config LoadFromEnvironment();
// Reads the same file again while `running` is in use. Every key of the running file except a few optional
// ones must be present with the same type. The environment dates from the start of the process, so here the
// file's `discovery` takes precedence over $ROUTER_DISCOVERY. Throws Error.
Config Reload(const Config& running);
// Returns the keys that differ between the configurations and that only a restart can change.
std::vector<std::string> KeysNeedingRestart(const Config& running, const Config& next);
// Parses the text of a configuration file without looking at the environment. Throws Error.
Config Parse(const std::string& text);
// Parses the text and also requires all values that a relay can't run without, which the environment would
// otherwise supply. Throws Error.
Config ParseAndValidate(const std::string& text);

}  // namespace oxbowspread::config
