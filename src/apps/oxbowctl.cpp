// oxbowctl: shows and changes a group of relays from the command line.
//
// Exit codes: 0 done; 1 refused, or a change that ended short of its aim; 2 bad input; 3 no agent in reach.
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
constexpr int kRefused = 1, kOutOfReach = 3;
constexpr net::Time kPatience = 10s;  // for a leader to be found
constexpr net::Time kAnswerWithin = 2s;

struct Options {
  std::string group_file, as = "operator", socket;
  bool json = false, watch = false, dry_run = false, no_wait = false, all = false, follow = false;
  std::vector<std::string> instances;
  std::string instance, folder, name;
  int most = 50, days = 365;
  double seconds = 0;  // `status --watch`, `events --follow`: end after so long; 0: never
};

std::string User() {
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "uid " + std::to_string(getuid());
}

// By which agents know a request that comes again after its answer was lost.
std::string NewRequest() {
  std::random_device dice;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", dice(), dice());
  return text;
}

class Command {
 public:
  explicit Command(const Options& options)
      : options_(options),
        group_(group::Read(options.group_file)),
        client_(group_, options.as, options.socket) {}

  int Status() {
    const net::Time until = Until();
    while (true) {
      const auto answers = Locals();
      const Json status = ctl::StatusOf(group_, answers, group_.limits.max_belief_age / 1ms);
      if (options_.json) {
        std::cout << status.dump() << std::endl;
      } else {
        if (options_.watch) std::cout << "\033[H\033[2J";
        std::cout << ctl::StatusTable(status) << "\n" << ctl::AgentTable(group_, answers) << std::flush;
        for (const auto& [name, answered] : answers) {
          if (!answered.answer || control::TextOf(*answered.answer, "leader") != name) continue;
          try {
            const Json change = client_.AskLeader({{"op", "change"}}, kAnswerWithin);
            std::cout << "\n" << ctl::ProgressLine(change) << std::endl;
          } catch (const ctl::OutOfReach& e) {
            std::cout << "\nchange: " << e.what() << std::endl;
          }
        }
      }
      const bool any = std::any_of(answers.begin(), answers.end(),
                                   [](const auto& a) { return a.second.answer.has_value(); });
      if (!options_.watch) return any ? 0 : kOutOfReach;
      if (options_.seconds > 0 && net::Loop::Now() >= until) return 0;
      client_.Rest(1s);
    }
  }

  int Show() {
    if (group_.Find(options_.instance) == nullptr)
      throw group::Error("the group has no instance '" + options_.instance + "'");
    const auto answers = Locals();
    for (const Json& one : ctl::StatusOf(group_, answers, group_.limits.max_belief_age / 1ms)) {
      if (control::TextOf(one, "instance") != options_.instance) continue;
      if (options_.json) {
        std::cout << one.dump() << "\n";
      } else {
        std::vector<std::vector<std::string>> rows;
        for (const auto& [key, value] : one.items()) {
          rows.push_back({key, value.is_string() ? value.get<std::string>() : value.dump()});
        }
        std::cout << ctl::Table(rows);
      }
      return one.value("known", false) ? 0 : kOutOfReach;
    }
    return kOutOfReach;
  }

  // The file is read and checked here; whether the agents have the same is theirs to say.
  int Check() {
    for (const group::Instance& i : group_.instances) {
      try {
        config::ParseAndValidate(group::ReadFile(i.config_path));
      } catch (const config::Error& e) {
        throw group::Error(i.config_path + ": " + e.what());
      }
    }
    std::cout << group_.path << ": " << group_.agents.size() << " agents, " << group_.instances.size()
              << " instances, can be used\n";
    return 0;
  }

  int Begin(const std::string& kind) {
    Json request = {{"op", "begin"},
                    {"kind", kind},
                    {"by", User()},
                    {"dry_run", options_.dry_run},
                    {"request", NewRequest()}};
    if (kind == "reconfigure") {
      Json configs = Json::object();
      for (const group::Instance& i : group_.instances) {
        if (!Chosen(i.name)) continue;
        const std::string text = group::ReadFile(i.config_path);
        try {
          config::ParseAndValidate(text);
        } catch (const config::Error& e) {
          throw group::Error(i.config_path + ": " + e.what());
        }
        configs[i.name] = text;
      }
      request["configs"] = configs;
    } else if (kind != "rollback") {
      Json names = Json::array();
      for (const group::Instance& i : group_.instances) {
        if (Chosen(i.name)) names.push_back(i.name);
      }
      if (names.empty()) throw group::Error("name instances, or --all");
      request["instances"] = names;
    }
    for (const std::string& name : options_.instances) {
      if (group_.Find(name) == nullptr) throw group::Error("the group has no instance '" + name + "'");
    }
    const Json answer = client_.AskLeader(request, kPatience);
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

  int ChangeShow() {
    try {
      const Json answer = client_.AskLeader({{"op", "change"}}, kPatience);
      std::cout << (options_.json ? answer.dump() + "\n" : ctl::ChangeTable(answer));
      return 0;
    } catch (const ctl::OutOfReach& e) {
      if (!e.last()) throw;
      std::cout << (options_.json ? e.last()->dump() + "\n" : ctl::ChangeTable(*e.last()));
      std::cerr << "oxbowctl: " << e.what() << "; what was last on record there is shown\n";
      return kOutOfReach;
    }
  }

  int ChangeSay(const std::string& word) {
    const Json answer = client_.AskLeader({{"op", "say"}, {"word", word}}, kPatience);
    std::cout << (options_.json ? answer.dump() : ctl::ProgressLine(answer)) << "\n";
    return 0;
  }

  // All agents' histories by time; with --follow, what is new, until interrupted.
  int History() {
    std::map<std::string, std::int64_t> seen;
    const net::Time until = Until();
    for (bool first = true;; first = false) {
      Json all = Json::array();
      bool any = false;
      for (const auto& [agent, answered] : client_.AskAll(
               [&](const std::string& agent) {
                 return Json{{"op", "history"}, {"most", 1000}, {"after", seen[agent]}};
               },
               kAnswerWithin)) {
        if (!answered.answer) {
          std::cerr << "oxbowctl: " << agent << ": " << answered.why << "\n";
          continue;
        }
        any = true;
        for (const Json& h : answered.answer->value("history", Json::array())) {
          seen[agent] = control::NumberOf(h, "number");
          all.push_back(h);
        }
      }
      if (!any && !options_.follow) return kOutOfReach;
      std::stable_sort(all.begin(), all.end(), [](const Json& a, const Json& b) {
        return control::NumberOf(a, "unix_ms") < control::NumberOf(b, "unix_ms");
      });
      const std::size_t most = static_cast<std::size_t>(options_.most);
      const std::size_t skip = first && all.size() > most ? all.size() - most : 0;
      for (std::size_t i = skip; i < all.size(); ++i) {
        std::cout << (options_.json ? all[i].dump() : ctl::HistoryLine(all[i])) << "\n";
      }
      std::cout << std::flush;
      if (!options_.follow || (options_.seconds > 0 && net::Loop::Now() >= until)) return 0;
      client_.Rest(500ms);
    }
  }

 private:
  std::map<std::string, ctl::Answered> Locals() {
    return client_.AskAll([](const std::string&) { return Json{{"op", "local"}}; }, kAnswerWithin);
  }
  // Of --watch and --follow with --for; now if that isn't given, which then means for ever.
  net::Time Until() const {
    return net::Loop::Now() +
           std::chrono::duration_cast<net::Time>(std::chrono::duration<double>(options_.seconds));
  }
  bool Chosen(const std::string& name) const {
    const auto& named = options_.instances;
    return options_.all || std::find(named.begin(), named.end(), name) != named.end();
  }

  // A line that is written over on a terminal, and a line for each news elsewhere. Ends with the change,
  // which goes on without us.
  int Follow(const std::string& id) {
    const bool terminal = isatty(1) != 0;
    std::string last;
    while (true) {
      Json answer;
      try {
        answer = client_.AskLeader({{"op", "change"}}, 60s);
      } catch (const ctl::OutOfReach& e) {
        std::cerr << "oxbowctl: " << e.what() << "; the change goes on without this command\n";
        return kOutOfReach;
      }
      const Json change = answer.value("change", Json::object());
      const bool same = control::TextOf(change, "change") == id;
      const std::string line = options_.json ? answer.dump() : ctl::ProgressLine(answer);
      if (line != last)
        std::cout << (terminal && !options_.json ? "\r\033[K" : "") << line
                  << (terminal && !options_.json ? "" : "\n") << std::flush;
      last = line;
      const std::string state = control::TextOf(change, "state");
      const bool over = state == "done" || state == "aborted" || state == "rolled-back" || state == "failed";
      if (!same || over) {
        if (terminal && !options_.json) std::cout << "\n";
        if (!same) std::cerr << "oxbowctl: change " << id << " has ended; another one is shown\n";
        return same && state == "done" ? 0 : kRefused;
      }
      client_.Rest(300ms);
    }
  }

  const Options& options_;
  group::Group group_;
  ctl::Client client_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"oxbowctl: shows and changes a group of relays"};
  Options o;
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", std::string("oxbowctl " OXBOWSPREAD_VERSION));
  app.add_option("--group", o.group_file, "the group file, YAML")->envname("OXBOW_GROUP");
  app.add_option("--as", o.as, "whose key and certificate to use")
      ->envname("OXBOW_AS")
      ->capture_default_str();
  app.add_option("--socket", o.socket, "only the agent at this Unix-domain socket, without keys")
      ->envname("OXBOW_SOCKET");
  app.add_flag("--json", o.json, "JSON for programs, an object a line");
  const auto command = [&](CLI::App& at, const char* name, const char* help) {
    return at.add_subcommand(name, help);
  };
  const auto choose = [&](CLI::App* c) {
    c->add_option("instances", o.instances, "by name");
    c->add_flag("--all", o.all, "every instance of the group");
    c->add_flag("--dry-run", o.dry_run, "print the plan with its reasons, change nothing");
    c->add_flag("--no-wait", o.no_wait, "don't follow the change to its end");
  };
  CLI::App* const group = command(app, "group", "the group file");
  group->require_subcommand(1);
  CLI::App* const check = command(*group, "check", "read the group file and all that it names");
  CLI::App* const status = command(app, "status", "every instance and agent");
  status->add_flag("--watch", o.watch, "again each second");
  status->add_option("--for", o.seconds, "with --watch: end after so many seconds");
  CLI::App* const show = command(app, "show", "all that is known of one instance");
  show->add_option("instance", o.instance, "by name")->required();
  CLI::App* const apply = command(app, "apply", "bring instances to what their files say now");
  CLI::App* const drain = command(app, "drain", "take nothing new, finish what is held, stay up");
  CLI::App* const resume = command(app, "resume", "serve again");
  CLI::App* const restart = command(app, "restart", "restart one after the other");
  for (CLI::App* c : {apply, drain, resume, restart}) choose(c);
  CLI::App* const rollback = command(app, "rollback", "undo the running change, or the last apply");
  rollback->add_flag("--dry-run", o.dry_run, "print the plan with its reasons, change nothing");
  rollback->add_flag("--no-wait", o.no_wait, "don't follow the change to its end");
  CLI::App* const change = command(app, "change", "the running change, or the last one");
  change->require_subcommand(1);
  CLI::App* const change_show = command(*change, "show", "how far it has come");
  CLI::App* const change_pause = command(*change, "pause", "begin with no further instance");
  CLI::App* const change_resume = command(*change, "resume", "go on");
  CLI::App* const change_abort = command(*change, "abort", "end what has begun, then stop");
  CLI::App* const history = command(app, "history", "what has happened, of all agents");
  history->add_option("--most", o.most, "lines")->capture_default_str();
  CLI::App* const events = command(app, "events", "the same as it happens");
  events->add_flag("--follow", o.follow, "until interrupted");
  events->add_option("--for", o.seconds, "with --follow: end after so many seconds");
  CLI::App* const keys = command(app, "keys", "the group's keys");
  keys->require_subcommand(1);
  CLI::App* const init = command(*keys, "init", "make a group's own key");
  init->add_option("folder", o.folder, "where")->required();
  init->add_option("--name", o.name, "of the group")->required();
  init->add_option("--days", o.days, "good for so long")->capture_default_str();
  CLI::App* const issue = command(*keys, "issue", "make a member's key: an agent's, or an operator's");
  CLI::App* const rotate =
      command(*keys, "rotate", "replace a member's key; agents take it up by themselves");
  for (CLI::App* c : {issue, rotate}) {
    c->add_option("folder", o.folder, "where the group's key is")->required();
    c->add_option("name", o.name, "of the member")->required();
    c->add_option("--days", o.days, "good for so long")->capture_default_str();
  }
  if (const auto code = apps::Parse(app, "oxbowctl", argc, argv)) return *code;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    if (init->parsed()) return tls::MakeGroup(o.folder, o.name, o.days), 0;
    if (issue->parsed() || rotate->parsed()) {
      const bool there = access((o.folder + "/" + o.name + ".key").c_str(), F_OK) == 0;
      if (issue->parsed() && there)
        throw group::Error(o.folder + "/" + o.name + ".key: is there already; rotate replaces it");
      if (rotate->parsed() && !there)
        throw group::Error(o.folder + "/" + o.name + ".key: is not there; issue makes it");
      tls::Issue(o.folder, o.name, std::int64_t{o.days} * 86400);
      return 0;
    }
    if (o.group_file.empty()) throw group::Error("--group: names no group file (or $OXBOW_GROUP)");
    if (check->parsed()) {
      // Needs neither keys nor agents.
      o.socket = "-";
      return Command(o).Check();
    }
    Command c(o);
    if (status->parsed()) return c.Status();
    if (show->parsed()) return c.Show();
    if (apply->parsed()) {
      if (o.instances.empty()) o.all = true;
      return c.Begin("reconfigure");
    }
    if (drain->parsed()) return c.Begin("drain");
    if (resume->parsed()) return c.Begin("resume");
    if (restart->parsed()) return c.Begin("restart");
    if (rollback->parsed()) return c.Begin("rollback");
    if (change_show->parsed()) return c.ChangeShow();
    if (change_pause->parsed()) return c.ChangeSay("pause");
    if (change_resume->parsed()) return c.ChangeSay("resume");
    if (change_abort->parsed()) return c.ChangeSay("abort");
    return c.History();
  } catch (const ctl::Refused& e) {
    std::cerr << "oxbowctl: refused: " << e.what() << "\n";
    return kRefused;
  } catch (const ctl::OutOfReach& e) {
    std::cerr << "oxbowctl: no agent in reach: " << e.what() << "\n";
    return kOutOfReach;
  } catch (const std::exception& e) {
    std::cerr << "oxbowctl: " << e.what() << "\n";
    return kExitBadInput;
  }
}
