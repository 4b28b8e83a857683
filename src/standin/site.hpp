// A whole small installation on loopback, as files: group file, relay configurations, keys.
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
  double capacity = 400;  // of each instance, messages a second
  std::string limits;     // YAML lines of the group file's `limits`, each indented by two blanks
};

struct Site {
  std::string group_file;
  std::vector<std::string> agents, instances;  // names
  std::vector<std::string> relays;             // address:port, beside instances
  std::vector<std::string> agent_of;           // beside instances
};

// Writes all of it, with free ports. Throws std::runtime_error.
Site MakeSite(const SiteOptions& options);
// The relay's configuration; to be changed and written again for tests of `apply`.
nlohmann::json RelayConfig(const std::string& name, const std::string& listen, int discovery_port);
int FreePort();  // on loopback, and kept free for whoever is to listen there

}  // namespace oxbowspread::standin
