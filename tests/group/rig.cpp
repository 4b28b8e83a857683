#include "rig.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "group/group.hpp"
#include "journal/folder_lock.hpp"
#include "supervise/process.hpp"

namespace oxbowspread::testing {
namespace {

standin::SiteOptions SiteOf(const std::string& folder, const RigOptions& o, int discovery_port) {
  standin::SiteOptions s;
  s.folder = folder;
  s.instances = o.instances;
  s.agents = o.agents;
  s.discovery_port = discovery_port;
  s.limits = o.limits;
  return s;
}

std::string Fresh() {
  char name[] = "/tmp/oxgrp-XXXXXX";  // short: control sockets' paths have 107 bytes
  return mkdtemp(name);
}

}  // namespace

GroupRig::GroupRig(const RigOptions& options) : folder(Fresh()) {
  signal(SIGPIPE, SIG_IGN);
  standin::PlatformOptions p;
  p.seed = options.seed;
  platform = std::make_unique<standin::StubPlatform>(loop, ledger, p);
  site = standin::MakeSite(SiteOf(folder, options, platform->discovery_port()));
  standin::LoadOptions l;
  l.relays = site.relays;
  l.rate = options.rate;
  load = std::make_unique<standin::LoadGenerator>(loop, ledger, l);
  identity_.emplace(folder + "/keys", "operator");
  for (const group::Agent& a : group::Read(site.group_file).agents) {
    callers_[a.name] = std::make_unique<control::Caller>(
        loop, [this, name = a.name, address = *net::ParseAddress(a.address)](control::Peer::Callbacks calls) {
          return control::Peer::ConnectTcp(loop, address, identity_->NewClientSession(name),
                                           std::move(calls));
        });
  }
}

GroupRig::~GroupRig() {
  for (const auto& [name, pid] : agents_) {
    if (pid <= 0) continue;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  // A relay that an agent was starting in that moment may come a little later.
  for (int quiet = 0; quiet < 3;) {
    const auto relays = Relays();
    quiet = relays.empty() ? quiet + 1 : 0;
    for (const auto& [instance, pids] : relays) {
      for (const pid_t pid : pids) kill(pid, SIGKILL);
    }
    usleep(10'000);
  }
  std::filesystem::remove_all(folder);
}

void GroupRig::StartAgent(const std::string& name, std::vector<std::string> more) {
  std::vector<std::string> words = {OXBOWAGENT, "--group",           site.group_file, "--name",   name,
                                    "--folder", folder + "/" + name, "--relay",       OXBOWSPREAD};
  words.insert(words.end(), more.begin(), more.end());
  std::vector<char*> argv;
  for (std::string& w : words) argv.push_back(w.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string log = folder + "/" + name + ".log";
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  // In a process group of its own. A group that becomes orphaned with a stopped member gets SIGHUP (POSIX,
  // _exit): when the shell above ended while an agent was stopped, this process was ended with no word.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
  posix_spawnattr_setpgroup(&attributes, 0);
  pid_t pid = 0;
  REQUIRE(posix_spawn(&pid, OXBOWAGENT, &files, &attributes, argv.data(), environ) == 0);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
  agents_[name] = pid;
}

void GroupRig::StartAll() {
  for (const std::string& name : site.agents) StartAgent(name);
  REQUIRE(Until([this] { return AllServe() && !Leader().empty(); }));
}

void GroupRig::Signal(const std::string& agent, int number) {
  const pid_t pid = agents_.at(agent);
  if (pid <= 0) return;
  kill(pid, number);
  if (number != SIGKILL && number != SIGTERM) return;
  waitpid(pid, nullptr, 0);
  agents_[agent] = 0;
  callers_.at(agent)->Disconnect("ended");
}

bool GroupRig::AgentRuns(const std::string& name) {
  const auto it = agents_.find(name);
  if (it == agents_.end() || it->second <= 0) return false;
  if (waitpid(it->second, nullptr, WNOHANG) == it->second) it->second = 0;
  return it->second > 0;
}

void GroupRig::Run(net::Time span) {
  net::Timer over(loop, [this] { loop.Stop(); });
  over.After(span);
  loop.Run();
}

bool GroupRig::Until(const std::function<bool()>& holds, net::Time limit) {
  const net::Time until = net::Loop::Now() + limit;
  while (!holds()) {
    if (net::Loop::Now() >= until) return false;
    Run(50ms);
  }
  return true;
}

std::optional<Json> GroupRig::Ask(const std::string& agent, const Json& request) {
  std::optional<Json> answer;
  callers_.at(agent)->Call(request, 2s, [&](const Json* got, const std::string&) {
    if (got != nullptr) answer = *got;
    loop.Stop();
  });
  loop.Run();
  return answer;
}

void GroupRig::Send(const std::string& agent, const Json& request, std::optional<Json>* answer) {
  callers_.at(agent)->Call(request, 20s, [answer](const Json* got, const std::string&) {
    if (got != nullptr) *answer = *got;
  });
}

Json GroupRig::AskLeader(const Json& request, net::Time limit) {
  const net::Time until = net::Loop::Now() + limit;
  std::string next = site.agents.front();
  for (std::size_t i = 0;; ++i) {
    const auto answer = Ask(next, request);
    // `change` is answered by any agent from its own record; only the leader's is the latest.
    if (answer && !answer->value("ok", false) && !answer->contains("leader")) return *answer;
    const std::string leader = answer ? control::TextOf(*answer, "leader") : "";
    if (answer && answer->value("ok", false) && (!answer->contains("leader") || leader == next))
      return *answer;
    if (net::Loop::Now() >= until) return control::ErrorAnswer("no leader in time");
    next = !leader.empty() && leader != next ? leader : site.agents[i % site.agents.size()];
    Run(50ms);
  }
}

std::string GroupRig::Leader() {
  for (const std::string& name : site.agents) {
    const auto answer = Ask(name, {{"op", "local"}});
    if (answer && control::TextOf(*answer, "leader") == name) return name;
  }
  return {};
}

Json GroupRig::Begin(const std::string& kind, std::vector<std::string> instances) {
  if (instances.empty()) instances = site.instances;
  return AskLeader({{"op", "begin"},
                    {"kind", kind},
                    {"by", "test"},
                    {"instances", instances},
                    {"request", "test " + std::to_string(++requests_)}});
}

Json GroupRig::ConfigOf(const std::string& instance) const {
  return Json::parse(group::ReadFile(folder + "/" + instance + ".json"));
}

Json GroupRig::Apply(const std::map<std::string, Json>& configs) {
  Json all = Json::object();
  for (const std::string& name : site.instances) all[name] = group::ReadFile(folder + "/" + name + ".json");
  for (const auto& [name, config] : configs) all[name] = config.dump();
  return AskLeader({{"op", "begin"},
                    {"kind", "reconfigure"},
                    {"by", "test"},
                    {"configs", all},
                    {"request", "test " + std::to_string(++requests_)}});
}

std::string GroupRig::ChangeState() {
  const Json answer = Change();
  return answer.contains("change") ? control::TextOf(answer.at("change"), "state") : std::string();
}

bool GroupRig::UntilOver(net::Time limit) {
  const std::set<std::string> over = {"done", "aborted", "rolled-back", "failed"};
  return Until([&] { return over.count(ChangeState()) > 0; }, limit);
}

std::map<std::string, Json> GroupRig::Beliefs() {
  std::map<std::string, Json> all;
  for (const std::string& name : site.agents) {
    const auto answer = Ask(name, {{"op", "local"}});
    if (!answer) continue;
    for (const Json& one : answer->value("instances", Json::array())) {
      if (one.contains("belief")) all[one.at("instance")] = one.at("belief");
    }
  }
  return all;
}

bool GroupRig::AllServe() {
  const auto beliefs = Beliefs();
  return beliefs.size() == site.instances.size() &&
         std::all_of(beliefs.begin(), beliefs.end(),
                     [](const auto& b) { return b.second.at("phase") == "serving"; });
}

std::map<std::string, std::vector<pid_t>> GroupRig::Relays() const {
  std::map<std::string, std::vector<pid_t>> all;
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    const std::string name = entry.path().filename();
    if (name.find_first_not_of("0123456789") != name.npos) continue;
    std::ifstream file(entry.path() / "cmdline");
    std::string program, word;
    std::getline(file, program, '\0');
    if (program != OXBOWSPREAD || supervise::ProcessStartTicks(std::stoi(name)) == 0) continue;
    while (std::getline(file, word, '\0')) {
      if (word.rfind(folder + "/", 0) != 0) continue;
      all[std::filesystem::path(word).stem()].push_back(std::stoi(name));
    }
  }
  return all;
}

pid_t GroupRig::RelayPid(const std::string& instance) const {
  const auto relays = Relays();
  const auto it = relays.find(instance);
  return it == relays.end() ? 0 : it->second.front();
}

std::string GroupRig::Disagreement() {
  const auto relays = Relays();
  const auto beliefs = Beliefs();
  for (std::size_t i = 0; i < site.instances.size(); ++i) {
    const std::string& name = site.instances[i];
    const auto it = relays.find(name);
    if (it == relays.end()) return name + ": no process";
    if (it->second.size() != 1) return name + ": " + std::to_string(it->second.size()) + " processes";
    const auto belief = beliefs.find(name);
    if (belief == beliefs.end()) return name + ": unknown to its agent";
    if (belief->second.at("pid") != it->second.front())
      return name + ": its agent believes in another process";
    if (belief->second.at("phase") != "serving")
      return name + ": " + belief->second.at("phase").get<std::string>();
    const auto holder = journal::FolderLock::HolderOf(folder + "/" + site.agent_of[i] + "/state/" + name);
    if (!holder || *holder != it->second.front())
      return name + ": its folder is held by another process, or none";
  }
  if (relays.size() != site.instances.size()) return "a process that no agent keeps";
  return {};
}

standin::Totals GroupRig::Settle(net::Time limit) {
  load->Stop();
  Until([this] { return load->idle() && ledger.PendingIds().empty(); }, limit);
  return ledger.ComputeTotals();
}

std::string GroupRig::AgentLog(const std::string& name) const {
  std::ifstream file(folder + "/" + name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int GroupRig::Ctl(const std::vector<std::string>& words, std::string* output) {
  std::string command = std::string(OXBOWCTL);
  if (words.front() != "--group") command += " --group " + site.group_file;
  for (const std::string& w : words) command += " '" + w + "'";
  std::FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
  char bytes[4096];
  output->clear();
  for (std::size_t n = 0; (n = fread(bytes, 1, sizeof bytes, pipe)) > 0;) output->append(bytes, n);
  const int status = pclose(pipe);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace oxbowspread::testing
