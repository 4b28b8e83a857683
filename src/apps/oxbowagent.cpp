// oxbowagent: supervises the relays of one host and carries out the group's changes with the other agents.
//
// Exit codes: 0 terminated by SIGTERM or SIGINT; 2 invalid input or another error; 3 another process holds
// the lock of the agent's folder.
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>

#include "agent/agent.hpp"
#include "apps/arguments.hpp"
#include "journal/folder_lock.hpp"

namespace {
using namespace oxbowspread;
using apps::kExitBadInput;
constexpr int kExitFolderLocked = 3;
}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "oxbowagent: supervises the relays of one host and carries out a group's changes with the other "
      "agents"};
  agent::Options options;
  app.add_option("--group", options.group_file, "the group file, YAML")->required()->envname("OXBOW_GROUP");
  app.add_option("--name", options.name, "this agent's name in the group file")->required();
  app.add_option("--folder", options.folder, "folder for this agent's durable state")->required();
  app.add_option("--relay", options.relay_program,
                 "path of the relay's executable; by default oxbowspread in the folder of this program");
  app.add_option("--store-kb", options.max_store_kb, "size limit of the store in KiB")
      ->check(CLI::Range(64, 1 << 20));
  app.add_flag("--json", options.json_log, "log one JSON object per line");
  app.set_version_flag("--version", std::string("oxbowagent " OXBOWSPREAD_VERSION));
  if (const auto code = apps::Parse(app, "oxbowagent", argc, argv)) return *code;
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  try {
    if (options.relay_program.empty()) {
      options.relay_program =
          (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "oxbowspread").string();
    }
    if (access(options.relay_program.c_str(), X_OK) != 0) {
      throw std::runtime_error("--relay: " + options.relay_program + " can't be run");
    }
    options.folder = std::filesystem::absolute(options.folder).lexically_normal().string();
    options.relay_program = std::filesystem::absolute(options.relay_program).string();
    std::filesystem::create_directories(options.folder);
    const journal::FolderLock lock(options.folder);
    net::Loop loop;
    agent::Agent agent(loop, options);
    const auto shut_down = [&](const char* reason) {
      agent.RecordShutdown(reason);
      loop.Stop();
    };
    net::Signal term(loop, SIGTERM, [&] { shut_down("SIGTERM"); });
    net::Signal interrupt(loop, SIGINT, [&] { shut_down("SIGINT"); });
    loop.Run();
  } catch (const journal::FolderLocked& e) {
    std::cerr << "oxbowagent: " << e.what() << "\n";
    return kExitFolderLocked;
  } catch (const std::exception& e) {
    std::cerr << "oxbowagent: " << e.what() << "\n";
    return kExitBadInput;
  }
  return 0;
}
