#include "standin/site.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <filesystem>
#include <fstream>

#include "standin/settings.hpp"
#include "tls/keys.hpp"

namespace oxbowspread::standin {
// The port stays bound until this process ends or has reserved kMaxReserved later ports. Meanwhile the system
// doesn't choose it as the local port of a connection, but a process that listens with SO_REUSEADDR, as all
// of the relay's programs do, can use it.
int FreePort() {
  static std::deque<int> reserved;
  constexpr std::size_t kMaxReserved = 1000;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  socklen_t size = sizeof address;
  bind(fd, reinterpret_cast<const sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  reserved.push_back(fd);
  if (reserved.size() > kMaxReserved) {
    close(reserved.front());
    reserved.pop_front();
  }
  return ntohs(address.sin_port);
}

nlohmann::json RelayConfig(const std::string& name, const std::string& listen, int discovery_port) {
  nlohmann::json settings = nlohmann::json::parse(kSettings);
  settings["family-info"]["calls-out"] = 64;  // enough for the load generator
  settings["limits"]["max-open"] = 2000;
  return {{"name", name},
          {"listen", listen},
          {"discovery", "127.0.0.1:" + std::to_string(discovery_port)},
          {"state", ""},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"memory_mb", 192}, {"sockets", 512}, {"disk_mb", 3}}},
          {"settings", settings}};
}

Site MakeSite(const SiteOptions& options) {
  Site site;
  const std::string& folder = options.folder;
  std::filesystem::create_directories(folder);
  site.group_file = folder + "/group.yaml";
  std::ofstream yaml(site.group_file);
  yaml << "group: standin\nkeys: keys\nagents:\n";
  tls::CreateGroupKey(folder + "/keys", "standin", 30);
  tls::IssueMemberKey(folder + "/keys", "operator", 30 * 86400);
  for (int i = 0; i < options.agents; ++i) {
    const std::string name = "host-" + std::string(1, static_cast<char>('a' + i));
    tls::IssueMemberKey(folder + "/keys", name, 30 * 86400);
    yaml << "  - {name: " << name << ", address: \"127.0.0.1:" << FreePort() << "\"}\n";
    site.agents.push_back(name);
  }
  yaml << "instances:\n";
  for (int i = 0; i < options.instances; ++i) {
    const std::string name = "n" + std::to_string(i + 1);
    const std::string listen = "127.0.0.1:" + std::to_string(FreePort());
    const std::string agent = site.agents[static_cast<std::size_t>(i) % site.agents.size()];
    nlohmann::json config = RelayConfig(name, listen, options.discovery_port);
    config["state"] = folder + "/" + agent + "/state/" + name;
    std::ofstream(folder + "/" + name + ".json") << config.dump(2) << "\n";
    yaml << "  - {name: " << name << ", agent: " << agent << ", config: " << name
         << ".json, capacity: " << options.capacity << "}\n";
    site.instances.push_back(name);
    site.relays.push_back(listen);
    site.agent_of.push_back(agent);
  }
  if (!options.limits.empty()) yaml << "limits:\n" << options.limits;
  yaml.close();
  if (!yaml) throw std::runtime_error(site.group_file + ": can't be written");
  return site;
}

}  // namespace oxbowspread::standin
