#include "group_harness.hpp"

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

standin::SiteOptions MakeSiteOptions(const std::string& folder, const HarnessOptions& harness_options,
                                     int discovery_port) {
  standin::SiteOptions site_options;
  site_options.folder = folder;
  site_options.instances = harness_options.instances;
  site_options.agents = harness_options.agents;
  site_options.discovery_port = discovery_port;
  site_options.limits = harness_options.limits;
  return site_options;
}

std::string MakeTemporaryFolder() {
  char name[] = "/tmp/oxgrp-XXXXXX";  // short, because the path of a control socket has at most 107 bytes
  return mkdtemp(name);
}

}  // namespace

GroupHarness::GroupHarness(const HarnessOptions& options) : folder(MakeTemporaryFolder()) {
  signal(SIGPIPE, SIG_IGN);
  standin::PlatformOptions platform_options;
  platform_options.seed = options.seed;
  platform = std::make_unique<standin::StubPlatform>(loop, tracker, platform_options);
  site = standin::MakeSite(MakeSiteOptions(folder, options, platform->discovery_port()));
  standin::LoadOptions load_options;
  load_options.relays = site.relays;
  load_options.rate = options.load_rate_per_s;
  load = std::make_unique<standin::LoadGenerator>(loop, tracker, load_options);
  identity_.emplace(folder + "/keys", "operator");
  for (const group::Agent& agent : group::Read(site.group_file).agents) {
    callers_[agent.name] = std::make_unique<control::Caller>(
        loop, [this, name = agent.name,
               address = *net::ParseAddress(agent.address)](control::Peer::Callbacks callbacks) {
          return control::Peer::ConnectTcp(loop, address, identity_->NewClientSession(name),
                                           std::move(callbacks));
        });
  }
}

GroupHarness::~GroupHarness() {
  for (const auto& [name, pid] : agent_pids_) {
    if (pid <= 0) continue;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  // An agent may have been killed while it started a relay, so a relay process may appear a little later.
  for (int empty_scans = 0; empty_scans < 3;) {
    const auto relays = RelayProcesses();
    empty_scans = relays.empty() ? empty_scans + 1 : 0;
    for (const auto& [instance, pids] : relays) {
      for (const pid_t pid : pids) kill(pid, SIGKILL);
    }
    usleep(10'000);
  }
  std::filesystem::remove_all(folder);
}

void GroupHarness::StartAgent(const std::string& name, std::vector<std::string> extra_arguments) {
  std::vector<std::string> arguments = {OXBOWAGENT, "--group",           site.group_file, "--name",   name,
                                        "--folder", folder + "/" + name, "--relay",       OXBOWSPREAD};
  arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
  std::vector<char*> argv;
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  const std::string log_path = folder + "/" + name + ".log";
  posix_spawn_file_actions_addopen(&file_actions, 1, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&file_actions, 1, 2);
  // Each agent gets its own process group. A process group that becomes orphaned while one of its members is
  // stopped gets SIGHUP (POSIX, _exit). In a shared process group this terminated the test process without a
  // message when the parent shell exited while an agent was stopped.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
  posix_spawnattr_setpgroup(&attributes, 0);
  pid_t pid = 0;
  REQUIRE(posix_spawn(&pid, OXBOWAGENT, &file_actions, &attributes, argv.data(), environ) == 0);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&file_actions);
  agent_pids_[name] = pid;
}

void GroupHarness::StartAll() {
  for (const std::string& name : site.agents) StartAgent(name);
  REQUIRE(WaitUntil([this] { return AllServing() && !Leader().empty(); }));
}

void GroupHarness::SignalAgent(const std::string& agent, int signal_number) {
  const pid_t pid = agent_pids_.at(agent);
  if (pid <= 0) return;
  kill(pid, signal_number);
  if (signal_number != SIGKILL && signal_number != SIGTERM) return;
  waitpid(pid, nullptr, 0);
  agent_pids_[agent] = 0;
  callers_.at(agent)->Disconnect("agent exited");
}

bool GroupHarness::IsAgentRunning(const std::string& name) {
  const auto it = agent_pids_.find(name);
  if (it == agent_pids_.end() || it->second <= 0) return false;
  if (waitpid(it->second, nullptr, WNOHANG) == it->second) it->second = 0;
  return it->second > 0;
}

void GroupHarness::RunFor(net::Time duration) {
  net::Timer stop_timer(loop, [this] { loop.Stop(); });
  stop_timer.After(duration);
  loop.Run();
}

bool GroupHarness::WaitUntil(const std::function<bool()>& condition, net::Time timeout) {
  const net::Time deadline = net::Loop::Now() + timeout;
  while (!condition()) {
    if (net::Loop::Now() >= deadline) return false;
    RunFor(50ms);
  }
  return true;
}

std::optional<Json> GroupHarness::AskAgent(const std::string& agent, const Json& request) {
  std::optional<Json> answer;
  callers_.at(agent)->Call(request, 2s, [&](const Json* response, const std::string&) {
    if (response != nullptr) answer = *response;
    loop.Stop();
  });
  loop.Run();
  return answer;
}

void GroupHarness::SendRequest(const std::string& agent, const Json& request, std::optional<Json>* answer) {
  callers_.at(agent)->Call(request, 20s, [answer](const Json* response, const std::string&) {
    if (response != nullptr) *answer = *response;
  });
}

Json GroupHarness::AskLeader(const Json& request, net::Time timeout) {
  const net::Time deadline = net::Loop::Now() + timeout;
  std::string next = site.agents.front();
  for (std::size_t i = 0;; ++i) {
    const auto answer = AskAgent(next, request);
    // Every agent answers `change` from its own record, but only the leader's record is certainly the latest.
    if (answer && !answer->value("ok", false) && !answer->contains("leader")) return *answer;
    const std::string leader = answer ? control::TextOf(*answer, "leader") : "";
    if (answer && answer->value("ok", false) && (!answer->contains("leader") || leader == next))
      return *answer;
    if (net::Loop::Now() >= deadline) return control::ErrorAnswer("no leader answered within the timeout");
    next = !leader.empty() && leader != next ? leader : site.agents[i % site.agents.size()];
    RunFor(50ms);
  }
}

std::string GroupHarness::Leader() {
  for (const std::string& name : site.agents) {
    const auto answer = AskAgent(name, {{"op", "local"}});
    if (answer && control::TextOf(*answer, "leader") == name) return name;
  }
  return {};
}

Json GroupHarness::StartChange(const std::string& kind, std::vector<std::string> instances) {
  if (instances.empty()) instances = site.instances;
  return AskLeader({{"op", "begin"},
                    {"kind", kind},
                    {"by", "test"},
                    {"instances", instances},
                    {"request", "test " + std::to_string(++request_count_)}});
}

Json GroupHarness::ConfigOf(const std::string& instance) const {
  return Json::parse(group::ReadFile(folder + "/" + instance + ".json"));
}

Json GroupHarness::StartReconfiguration(const std::map<std::string, Json>& configs) {
  Json all = Json::object();
  for (const std::string& name : site.instances) all[name] = group::ReadFile(folder + "/" + name + ".json");
  for (const auto& [name, config] : configs) all[name] = config.dump();
  return AskLeader({{"op", "begin"},
                    {"kind", "reconfigure"},
                    {"by", "test"},
                    {"configs", all},
                    {"request", "test " + std::to_string(++request_count_)}});
}

std::string GroupHarness::ChangeState() {
  const Json answer = GetChange();
  return answer.contains("change") ? control::TextOf(answer.at("change"), "state") : std::string();
}

bool GroupHarness::WaitUntilFinished(net::Time timeout) {
  const std::set<std::string> final_states = {"done", "aborted", "rolled-back", "failed"};
  return WaitUntil([&] { return final_states.count(ChangeState()) > 0; }, timeout);
}

std::map<std::string, Json> GroupHarness::InstanceStatuses() {
  std::map<std::string, Json> all;
  for (const std::string& name : site.agents) {
    const auto answer = AskAgent(name, {{"op", "local"}});
    if (!answer) continue;
    for (const Json& instance : answer->value("instances", Json::array())) {
      if (instance.contains("belief")) all[instance.at("instance")] = instance.at("belief");
    }
  }
  return all;
}

bool GroupHarness::AllServing() {
  const auto statuses = InstanceStatuses();
  return statuses.size() == site.instances.size() &&
         std::all_of(statuses.begin(), statuses.end(),
                     [](const auto& entry) { return entry.second.at("phase") == "serving"; });
}

std::map<std::string, std::vector<pid_t>> GroupHarness::RelayProcesses() const {
  std::map<std::string, std::vector<pid_t>> all;
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    const std::string name = entry.path().filename();
    if (name.find_first_not_of("0123456789") != name.npos) continue;
    std::ifstream file(entry.path() / "cmdline");
    std::string program, argument;
    std::getline(file, program, '\0');
    if (program != OXBOWSPREAD || supervise::ProcessStartTicks(std::stoi(name)) == 0) continue;
    while (std::getline(file, argument, '\0')) {
      if (argument.rfind(folder + "/", 0) != 0) continue;
      all[std::filesystem::path(argument).stem()].push_back(std::stoi(name));
    }
  }
  return all;
}

pid_t GroupHarness::RelayPid(const std::string& instance) const {
  const auto relays = RelayProcesses();
  const auto it = relays.find(instance);
  return it == relays.end() ? 0 : it->second.front();
}

std::string GroupHarness::FindInconsistency() {
  const auto relays = RelayProcesses();
  const auto statuses = InstanceStatuses();
  for (std::size_t i = 0; i < site.instances.size(); ++i) {
    const std::string& name = site.instances[i];
    const auto processes = relays.find(name);
    if (processes == relays.end()) return name + ": no process";
    if (processes->second.size() != 1)
      return name + ": " + std::to_string(processes->second.size()) + " processes";
    const auto instance_status = statuses.find(name);
    if (instance_status == statuses.end()) return name + ": its agent reports no status";
    if (instance_status->second.at("pid") != processes->second.front())
      return name + ": its agent reports another process id";
    if (instance_status->second.at("phase") != "serving")
      return name + ": " + instance_status->second.at("phase").get<std::string>();
    const auto holder = journal::FolderLock::HolderOf(folder + "/" + site.agent_of[i] + "/state/" + name);
    if (!holder || *holder != processes->second.front())
      return name + ": its state folder is locked by another process or by none";
  }
  if (relays.size() != site.instances.size()) return "a relay process runs for an unknown instance";
  return {};
}

standin::Totals GroupHarness::StopLoadAndWait(net::Time timeout) {
  load->Stop();
  WaitUntil([this] { return load->idle() && tracker.PendingIds().empty(); }, timeout);
  return tracker.ComputeTotals();
}

std::string GroupHarness::AgentLog(const std::string& name) const {
  std::ifstream file(folder + "/" + name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int GroupHarness::RunOxbowctl(const std::vector<std::string>& arguments, std::string* output) {
  std::string command = std::string(OXBOWCTL);
  if (arguments.front() != "--group") command += " --group " + site.group_file;
  for (const std::string& argument : arguments) command += " '" + argument + "'";
  std::FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
  char bytes[4096];
  output->clear();
  for (std::size_t n = 0; (n = fread(bytes, 1, sizeof bytes, pipe)) > 0;) output->append(bytes, n);
  const int status = pclose(pipe);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace oxbowspread::testing
