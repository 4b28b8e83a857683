// Writes the files of a small installation on loopback: group file, relay configurations, keys.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace oxbowspread::standin {

struct SiteOptions {
  std::string folder;
  int instances = 5;
  int agents = 3;
  int discovery_port = 0;
  double capacity = 400;  // of each instance, messages per second
  std::string limits;     // YAML lines of the group file's `limits`, each indented by two spaces
};

// The installation that was written.
struct Site {
  std::string group_file;
  std::vector<std::string> agents, instances;  // names
  std::vector<std::string> relays;             // address:port, by index of `instances`
  std::vector<std::string> agent_of;           // name of the agent, by index of `instances`
};

// Writes all files, with free ports. Throws std::runtime_error.
Site MakeSite(const SiteOptions& options);
// Returns the configuration of one relay. Tests of `apply` change it and write it again.
nlohmann::json RelayConfig(const std::string& name, const std::string& listen, int discovery_port);
// Returns a free port on loopback. It stays reserved for the process that will listen on it.
int FreePort();

}  // namespace oxbowspread::standin
