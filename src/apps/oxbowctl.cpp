// oxbowctl: shows the state of a group of relays and changes the group from the command line.
//
// Exit codes: 0 success; 1 the request was refused or the change did not complete; 2 invalid input; 3 no
// agent could be reached.
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <random>

#include "apps/arguments.hpp"
#include "config/config.hpp"
#include "ctl/client.hpp"
#include "ctl/view.hpp"
#include "tls/keys.hpp"

namespace {

using namespace std::chrono_literals;
using namespace oxbowspread;
using control::Json;

using apps::kExitBadInput;
constexpr int kExitRefused = 1, kExitUnreachable = 3;
// Time to find a leader before a command fails.
constexpr net::Time kLeaderTimeout = 10s;
constexpr net::Time kAnswerTimeout = 2s;

struct Options {
  std::string group_file, as = "operator", socket;
  bool json = false, watch = false, dry_run = false, no_wait = false, all = false, follow = false;
  std::vector<std::string> instances;
  std::string instance, folder, name;
  int max_lines = 50, days = 365;
  // Time after which `status --watch` and `events --follow` end; 0 means never.
  double duration_s = 0;
};

std::string CurrentUser() {
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "uid " + std::to_string(getuid());
}

// Creates the identifier by which the agents recognise a request that is repeated after a lost answer.
std::string NewRequestId() {
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", random(), random());
  return text;
}

// Executes one command. Each public method returns the exit code.
class CommandRunner {
 public:
  explicit CommandRunner(const Options& options)
      : options_(options),
        group_(group::Read(options.group_file)),
        client_(group_, options.as, options.socket) {}

  int ShowStatus() {
    const net::Time end_time = EndTime();
    while (true) {
      const auto responses = AskLocalState();
      const Json status = ctl::StatusOf(group_, responses, group_.limits.max_status_age / 1ms);
      if (options_.json) {
        std::cout << status.dump() << std::endl;
      } else {
        if (options_.watch) std::cout << "\033[H\033[2J";
        std::cout << ctl::StatusTable(status) << "\n" << ctl::AgentTable(group_, responses) << std::flush;
        for (const auto& [name, response] : responses) {
          if (!response.answer || control::TextOf(*response.answer, "leader") != name) continue;
          try {
            const Json change = client_.AskLeader({{"op", "change"}}, kAnswerTimeout);
            std::cout << "\n" << ctl::ProgressLine(change) << std::endl;
          } catch (const ctl::Unreachable& e) {
            std::cout << "\nchange: " << e.what() << std::endl;
          }
        }
      }
      const bool any_answer = std::any_of(responses.begin(), responses.end(),
                                          [](const auto& a) { return a.second.answer.has_value(); });
      if (!options_.watch) return any_answer ? 0 : kExitUnreachable;
      if (options_.duration_s > 0 && net::Loop::Now() >= end_time) return 0;
      client_.Wait(1s);
    }
  }

  int ShowInstance() {
    if (group_.FindInstance(options_.instance) == nullptr)
      throw group::Error("the group has no instance '" + options_.instance + "'");
    const auto responses = AskLocalState();
    for (const Json& entry : ctl::StatusOf(group_, responses, group_.limits.max_status_age / 1ms)) {
      if (control::TextOf(entry, "instance") != options_.instance) continue;
      if (options_.json) {
        std::cout << entry.dump() << "\n";
      } else {
        std::vector<std::vector<std::string>> rows;
        for (const auto& [key, value] : entry.items()) {
          rows.push_back({key, value.is_string() ? value.get<std::string>() : value.dump()});
        }
        std::cout << ctl::Table(rows);
      }
      return entry.value("known", false) ? 0 : kExitUnreachable;
    }
    return kExitUnreachable;
  }

  // Checks the local group file and the configurations that it refers to. Doesn't check whether the agents
  // have the same files.
  int CheckGroupFile() {
    for (const group::Instance& instance : group_.instances) {
      try {
        config::ParseAndValidate(group::ReadFile(instance.config_path));
      } catch (const config::Error& e) {
        throw group::Error(instance.config_path + ": " + e.what());
      }
    }
    std::cout << group_.path << ": " << group_.agents.size() << " agents, " << group_.instances.size()
              << " instances, can be used\n";
    return 0;
  }

  int StartChange(const std::string& kind) {
    Json request = {{"op", "begin"},
                    {"kind", kind},
                    {"by", CurrentUser()},
                    {"dry_run", options_.dry_run},
                    {"request", NewRequestId()}};
    if (kind == "reconfigure") {
      Json configs = Json::object();
      for (const group::Instance& instance : group_.instances) {
        if (!IsSelected(instance.name)) continue;
        const std::string text = group::ReadFile(instance.config_path);
        try {
          config::ParseAndValidate(text);
        } catch (const config::Error& e) {
          throw group::Error(instance.config_path + ": " + e.what());
        }
        configs[instance.name] = text;
      }
      request["configs"] = configs;
    } else if (kind != "rollback") {
      Json names = Json::array();
      for (const group::Instance& instance : group_.instances) {
        if (IsSelected(instance.name)) names.push_back(instance.name);
      }
      if (names.empty()) throw group::Error("name instances, or --all");
      request["instances"] = names;
    }
    for (const std::string& name : options_.instances) {
      if (group_.FindInstance(name) == nullptr)
        throw group::Error("the group has no instance '" + name + "'");
    }
    const Json answer = client_.AskLeader(request, kLeaderTimeout);
    if (answer.contains("plan") || answer.contains("nothing")) {
      std::cout << (options_.json ? answer.dump() + "\n" : ctl::PlanTable(answer));
      return 0;
    }
    if (options_.no_wait) {
      std::cout << (options_.json ? answer.dump() : ctl::ProgressLine(answer)) << std::endl;
      return 0;
    }
    return Follow(control::TextOf(answer.at("change"), "change"));
  }

  int ShowChange() {
    try {
      const Json answer = client_.AskLeader({{"op", "change"}}, kLeaderTimeout);
      std::cout << (options_.json ? answer.dump() + "\n" : ctl::ChangeTable(answer));
      return 0;
    } catch (const ctl::Unreachable& e) {
      if (!e.last_answer()) throw;
      std::cout << (options_.json ? e.last_answer()->dump() + "\n" : ctl::ChangeTable(*e.last_answer()));
      std::cerr << "oxbowctl: " << e.what() << "; shown is the last record of this agent\n";
      return kExitUnreachable;
    }
  }

  int SendOperatorCommand(const std::string& command) {
    const Json answer = client_.AskLeader({{"op", "say"}, {"word", command}}, kLeaderTimeout);
    std::cout << (options_.json ? answer.dump() : ctl::ProgressLine(answer)) << "\n";
    return 0;
  }

  // Prints the histories of all agents in order of time. With --follow, also prints new entries until it is
  // interrupted.
  int ShowHistory() {
    std::map<std::string, std::int64_t> seen;
    const net::Time end_time = EndTime();
    for (bool first = true;; first = false) {
      Json entries = Json::array();
      bool any_answer = false;
      for (const auto& [agent, response] : client_.AskAll(
               [&](const std::string& agent) {
                 return Json{{"op", "history"}, {"most", 1000}, {"after", seen[agent]}};
               },
               kAnswerTimeout)) {
        if (!response.answer) {
          std::cerr << "oxbowctl: " << agent << ": " << response.error << "\n";
          continue;
        }
        any_answer = true;
        for (const Json& entry : response.answer->value("history", Json::array())) {
          seen[agent] = control::NumberOf(entry, "number");
          entries.push_back(entry);
        }
      }
      if (!any_answer && !options_.follow) return kExitUnreachable;
      std::stable_sort(entries.begin(), entries.end(), [](const Json& a, const Json& b) {
        return control::NumberOf(a, "unix_ms") < control::NumberOf(b, "unix_ms");
      });
      const std::size_t max_lines = static_cast<std::size_t>(options_.max_lines);
      const std::size_t skip = first && entries.size() > max_lines ? entries.size() - max_lines : 0;
      for (std::size_t index = skip; index < entries.size(); ++index) {
        std::cout << (options_.json ? entries[index].dump() : ctl::HistoryLine(entries[index])) << "\n";
      }
      std::cout << std::flush;
      if (!options_.follow || (options_.duration_s > 0 && net::Loop::Now() >= end_time)) return 0;
      client_.Wait(500ms);
    }
  }

 private:
  std::map<std::string, ctl::Response> AskLocalState() {
    return client_.AskAll([](const std::string&) { return Json{{"op", "local"}}; }, kAnswerTimeout);
  }
  // The time at which --watch or --follow ends. Without --for it is the current time, which callers must
  // ignore.
  net::Time EndTime() const {
    return net::Loop::Now() +
           std::chrono::duration_cast<net::Time>(std::chrono::duration<double>(options_.duration_s));
  }
  bool IsSelected(const std::string& name) const {
    const auto& named = options_.instances;
    return options_.all || std::find(named.begin(), named.end(), name) != named.end();
  }

  // Prints the progress of the change until it ends. On a terminal it overwrites one line; otherwise it
  // prints a new line for each difference. The change itself does not depend on this command.
  int Follow(const std::string& id) {
    const bool terminal = isatty(1) != 0;
    std::string last;
    while (true) {
      Json answer;
      try {
        answer = client_.AskLeader({{"op", "change"}}, 60s);
      } catch (const ctl::Unreachable& e) {
        std::cerr << "oxbowctl: " << e.what() << "; the change continues without this command\n";
        return kExitUnreachable;
      }
      const Json change = answer.value("change", Json::object());
      const bool same_change = control::TextOf(change, "change") == id;
      const std::string line = options_.json ? answer.dump() : ctl::ProgressLine(answer);
      if (line != last)
        std::cout << (terminal && !options_.json ? "\r\033[K" : "") << line
                  << (terminal && !options_.json ? "" : "\n") << std::flush;
      last = line;
      const std::string state = control::TextOf(change, "state");
      const bool ended = state == "done" || state == "aborted" || state == "rolled-back" || state == "failed";
      if (!same_change || ended) {
        if (terminal && !options_.json) std::cout << "\n";
        if (!same_change)
          std::cerr << "oxbowctl: change " << id << " has ended; the output shows a newer one\n";
        return same_change && state == "done" ? 0 : kExitRefused;
      }
      client_.Wait(300ms);
    }
  }

  const Options& options_;
  group::Group group_;
  ctl::Client client_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"oxbowctl: shows the state of a group of relays and changes the group"};
  Options options;
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", std::string("oxbowctl " OXBOWSPREAD_VERSION));
  app.add_option("--group", options.group_file, "the group file, YAML")->envname("OXBOW_GROUP");
  app.add_option("--as", options.as, "member whose key and certificate are used")
      ->envname("OXBOW_AS")
      ->capture_default_str();
  app.add_option("--socket", options.socket,
                 "connect only to the agent at this Unix-domain socket, without keys")
      ->envname("OXBOW_SOCKET");
  app.add_flag("--json", options.json, "print JSON, one object per line");
  const auto command = [&](CLI::App& parent, const char* name, const char* help) {
    return parent.add_subcommand(name, help);
  };
  const auto add_instance_options = [&](CLI::App* c) {
    c->add_option("instances", options.instances, "by name");
    c->add_flag("--all", options.all, "all instances of the group");
    c->add_flag("--dry-run", options.dry_run, "print the plan and what blocks it, change nothing");
    c->add_flag("--no-wait", options.no_wait, "don't wait for the end of the change");
  };
  CLI::App* const group = command(app, "group", "the group file");
  group->require_subcommand(1);
  CLI::App* const check =
      command(*group, "check", "check the group file and the configurations that it refers to");
  CLI::App* const status = command(app, "status", "show all instances and agents");
  status->add_flag("--watch", options.watch, "repeat every second");
  status->add_option("--for", options.duration_s, "with --watch: stop after this many seconds");
  CLI::App* const show = command(app, "show", "show the known state of one instance");
  show->add_option("instance", options.instance, "by name")->required();
  CLI::App* const apply = command(app, "apply", "apply the current configuration files to the instances");
  CLI::App* const drain =
      command(app, "drain", "accept no new messages, finish the pending ones, keep running");
  CLI::App* const resume = command(app, "resume", "accept new messages again");
  CLI::App* const restart = command(app, "restart", "restart the instances one after the other");
  for (CLI::App* c : {apply, drain, resume, restart}) add_instance_options(c);
  CLI::App* const rollback = command(app, "rollback", "undo the running change, or the last apply");
  rollback->add_flag("--dry-run", options.dry_run, "print the plan and what blocks it, change nothing");
  rollback->add_flag("--no-wait", options.no_wait, "don't wait for the end of the change");
  CLI::App* const change = command(app, "change", "the running change, or the last one");
  change->require_subcommand(1);
  CLI::App* const change_show = command(*change, "show", "show its progress");
  CLI::App* const change_pause = command(*change, "pause", "start no further instance");
  CLI::App* const change_resume = command(*change, "resume", "continue a paused change");
  CLI::App* const change_abort = command(*change, "abort", "finish the instances in progress, then stop");
  CLI::App* const history = command(app, "history", "show past events of all agents");
  history->add_option("--most", options.max_lines, "maximum number of lines")->capture_default_str();
  CLI::App* const events = command(app, "events", "show events as they happen");
  events->add_flag("--follow", options.follow, "until interrupted");
  events->add_option("--for", options.duration_s, "with --follow: stop after this many seconds");
  CLI::App* const keys = command(app, "keys", "the group's keys");
  keys->require_subcommand(1);
  CLI::App* const init = command(*keys, "init", "create a group's own key");
  init->add_option("folder", options.folder, "folder of the group's keys")->required();
  init->add_option("--name", options.name, "name of the group")->required();
  init->add_option("--days", options.days, "days for which the certificate is valid")->capture_default_str();
  CLI::App* const issue = command(*keys, "issue", "create the key of a member, an agent or an operator");
  CLI::App* const rotate =
      command(*keys, "rotate", "replace a member's key; agents load it without a restart");
  for (CLI::App* c : {issue, rotate}) {
    c->add_option("folder", options.folder, "folder of the group's key")->required();
    c->add_option("name", options.name, "name of the member")->required();
    c->add_option("--days", options.days, "days for which the certificate is valid")->capture_default_str();
  }
  if (const auto code = apps::Parse(app, "oxbowctl", argc, argv)) return *code;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (init->parsed()) return tls::CreateGroupKey(options.folder, options.name, options.days), 0;
    if (issue->parsed() || rotate->parsed()) {
      const bool key_exists = access((options.folder + "/" + options.name + ".key").c_str(), F_OK) == 0;
      if (issue->parsed() && key_exists)
        throw group::Error(options.folder + "/" + options.name +
                           ".key: already exists; use rotate to replace it");
      if (rotate->parsed() && !key_exists)
        throw group::Error(options.folder + "/" + options.name +
                           ".key: does not exist; use issue to create it");
      tls::IssueMemberKey(options.folder, options.name, std::int64_t{options.days} * 86400);
      return 0;
    }
    if (options.group_file.empty()) throw group::Error("--group: no group file is given (nor $OXBOW_GROUP)");
    if (check->parsed()) {
      // Any socket name avoids loading the group's keys; no agent is contacted.
      options.socket = "-";
      return CommandRunner(options).CheckGroupFile();
    }
    CommandRunner runner(options);
    if (status->parsed()) return runner.ShowStatus();
    if (show->parsed()) return runner.ShowInstance();
    if (apply->parsed()) {
      if (options.instances.empty()) options.all = true;
      return runner.StartChange("reconfigure");
    }
    if (drain->parsed()) return runner.StartChange("drain");
    if (resume->parsed()) return runner.StartChange("resume");
    if (restart->parsed()) return runner.StartChange("restart");
    if (rollback->parsed()) return runner.StartChange("rollback");
    if (change_show->parsed()) return runner.ShowChange();
    if (change_pause->parsed()) return runner.SendOperatorCommand("pause");
    if (change_resume->parsed()) return runner.SendOperatorCommand("resume");
    if (change_abort->parsed()) return runner.SendOperatorCommand("abort");
    return runner.ShowHistory();
  } catch (const ctl::Refused& e) {
    std::cerr << "oxbowctl: refused: " << e.what() << "\n";
    return kExitRefused;
  } catch (const ctl::Unreachable& e) {
    std::cerr << "oxbowctl: no agent or leader could be reached: " << e.what() << "\n";
    return kExitUnreachable;
  } catch (const std::exception& e) {
    std::cerr << "oxbowctl: " << e.what() << "\n";
    return kExitBadInput;
  }
}
