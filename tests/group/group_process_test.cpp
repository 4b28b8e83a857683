// Tests of faults and of operator commands of a group, with agents, relays and oxbowctl as separate
// processes.
#include <signal.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "change/record.hpp"
#include "group_harness.hpp"
#include "tls/keys.hpp"

namespace oxbowspread::testing {
namespace {

std::map<std::string, pid_t> RelayPids(const GroupHarness& harness) {
  std::map<std::string, pid_t> all;
  for (const auto& [name, pids] : harness.RelayProcesses()) all[name] = pids.front();
  return all;
}

std::string StringField(const Json& object, const char* key) { return control::TextOf(object, key); }

TEST_CASE("a rolling restart under load gives every instance a new process and loses no message") {
  GroupHarness harness;
  harness.StartAll();
  harness.load->Start();
  const auto before = RelayPids(harness);
  REQUIRE(harness.StartChange("restart").value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "done");
  const auto after = RelayPids(harness);
  for (const auto& [name, pid] : before) CHECK(after.at(name) != pid);
  CHECK(harness.FindInconsistency().empty());
  const standin::Totals totals = harness.StopLoadAndWait();
  CHECK(totals.accepted == totals.delivered);
  CHECK(totals.lost == 0);
  CHECK(totals.ended_twice == 0);
  CHECK(totals.rejected + totals.unanswered == 0);
}

// Guards against a failure of the random kill test (seeds 113 and 477): a new leader that had no status of
// every instance yet rejected the change.
TEST_CASE("a new leader starts a change that is requested right after its election") {
  GroupHarness harness;
  harness.StartAll();
  harness.SignalAgent(harness.Leader(), SIGKILL);
  for (const std::string& name : harness.site.agents) {
    if (!harness.IsAgentRunning(name)) harness.StartAgent(name);
  }
  const net::Time deadline = net::Loop::Now() + 20s;
  Json answer = {{"leader", ""}};
  for (std::size_t i = 0; answer.contains("leader") && net::Loop::Now() < deadline; ++i) {
    const auto response = harness.AskAgent(
        harness.site.agents[i % 3],
        {{"op", "begin"}, {"kind", "restart"}, {"by", "test"}, {"instances", harness.site.instances}});
    // A successful answer describes the started change and also contains the leader, so "ok" is checked
    // first.
    if (response && (response->value("ok", false) || !response->contains("leader"))) {
      answer = *response;
      break;
    }
  }
  INFO(answer.dump());
  CHECK(answer.value("ok", false));
  CHECK(answer.contains("change"));
}

TEST_CASE("killed agents leave their relays running and restarted agents adopt them") {
  GroupHarness harness;
  harness.StartAll();
  const auto before = RelayPids(harness);
  for (const std::string& name : harness.site.agents) harness.SignalAgent(name, SIGKILL);
  harness.RunFor(500ms);
  CHECK(RelayPids(harness) == before);
  harness.StartAll();
  CHECK(RelayPids(harness) == before);
  CHECK(harness.FindInconsistency().empty());
}

TEST_CASE(
    "a running relay that is missing from the store is found by its lock and control socket and adopted") {
  GroupHarness harness;
  harness.StartAll();
  const auto before = RelayPids(harness);
  for (const std::string& name : harness.site.agents) {
    harness.SignalAgent(name, SIGKILL);
    std::filesystem::remove(harness.folder + "/" + name + "/agent.db");
    std::filesystem::remove(harness.folder + "/" + name + "/agent.db-journal");
  }
  harness.StartAll();
  CHECK(RelayPids(harness) == before);
}

TEST_CASE("a change resumes from disk after all agents and relays are killed") {
  GroupHarness harness;
  harness.StartAll();
  harness.load->Start();
  REQUIRE(harness.StartChange("restart").value("ok", false));
  const std::string id = StringField(harness.GetChange().at("change"), "change");
  harness.RunFor(2s);
  for (const std::string& name : harness.site.agents) harness.SignalAgent(name, SIGKILL);
  for (const auto& [name, pids] : harness.RelayProcesses()) {
    for (const pid_t pid : pids) kill(pid, SIGKILL);
  }
  harness.StartAll();
  REQUIRE(harness.WaitUntilFinished());
  CHECK(StringField(harness.GetChange().at("change"), "change") == id);
  CHECK(harness.ChangeState() == "done");
  CHECK(harness.WaitUntil([&] { return harness.FindInconsistency().empty(); }));
  const standin::Totals totals = harness.StopLoadAndWait();
  CHECK(totals.lost == 0);
  CHECK(totals.ended_twice == 0);
}

TEST_CASE("a leader suspended for longer than its lease is replaced and is fenced when it resumes") {
  GroupHarness harness;
  harness.StartAll();
  const std::string old_leader = harness.Leader();
  REQUIRE(harness.StartChange("restart").value("ok", false));
  harness.RunFor(600ms);
  harness.SignalAgent(old_leader, SIGSTOP);
  std::string next;
  REQUIRE(harness.WaitUntil([&] {
    for (const std::string& name : harness.site.agents) {
      if (name == old_leader) continue;
      const auto answer = harness.AskAgent(name, {{"op", "local"}});
      if (answer && StringField(*answer, "leader") == name) next = name;
    }
    return !next.empty();
  }));
  harness.RunFor(500ms);
  harness.SignalAgent(old_leader, SIGCONT);
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "done");
  CHECK(harness.WaitUntil([&] { return harness.FindInconsistency().empty(); }));
  // The log of the old leader shows that it lost the leadership, and it has promised the new leader's epoch.
  const std::string log = harness.AgentLog(old_leader);
  CHECK(log.find("lost the leadership") != log.npos);
  const auto epoch = harness.AskAgent(next, {{"op", "local"}})->at("epoch");
  CHECK(harness.AskAgent(old_leader, {{"op", "local"}})->at("epoch") == epoch);
}

TEST_CASE("an order of an older epoch is rejected and counted and changes nothing") {
  GroupHarness harness;
  harness.StartAll();
  const auto before = RelayPids(harness);
  // The order is sent with an agent's key, like the order of a replaced leader.
  const tls::Identity as_agent(harness.folder + "/keys", harness.site.agents[0]);
  const std::string target_agent = harness.site.agents[1];
  const std::string log = harness.AgentLog(target_agent);
  const auto address = [&] {
    std::ifstream file(harness.site.group_file);
    std::string text((std::istreambuf_iterator<char>(file)), {});
    const std::size_t at = text.find('"', text.find("name: " + target_agent));
    return text.substr(at + 1, text.find('"', at + 1) - at - 1);
  }();
  control::Caller caller(harness.loop, [&](control::Peer::Callbacks callbacks) {
    return control::Peer::ConnectTcp(harness.loop, *net::ParseAddress(address),
                                     as_agent.NewClientSession(target_agent), std::move(callbacks));
  });
  Json answer;
  caller.Call({{"op", "order"},
               {"epoch", 0},
               {"instance", "n2"},
               {"want", "paused"},
               {"stamp", ""},
               {"reload", false}},
              2s, [&](const Json* response, const std::string&) {
                if (response != nullptr) answer = *response;
                harness.loop.Stop();
              });
  harness.loop.Run();
  CHECK(StringField(answer, "error").find("fenced: epoch") == 0);
  CHECK(harness.AskAgent(target_agent, {{"op", "local"}})->at("fenced_orders") == 1);
  harness.RunFor(500ms);
  CHECK(harness.AllServing());
  CHECK(RelayPids(harness) == before);
}

TEST_CASE("one invalid configuration rejects the whole change before any instance is changed") {
  GroupHarness harness;
  harness.StartAll();
  const auto before = RelayPids(harness);
  Json good = harness.ConfigOf("n1"), bad = harness.ConfigOf("n4");
  good["limits"]["disk_mb"] = 4;
  bad["limits"]["sockets"] = 2;
  const Json answer = harness.StartReconfiguration({{"n1", good}, {"n4", bad}});
  CHECK(StringField(answer, "error").find("n4: limits.sockets: must be at least 48") == 0);
  CHECK_FALSE(harness.GetChange().contains("change"));
  CHECK(RelayPids(harness) == before);
}

TEST_CASE(
    "a configuration that a relay can't start with is rolled back and the other instances stay unchanged") {
  HarnessOptions options;
  options.limits += "  least_sample: 20\n";
  GroupHarness harness(options);
  harness.StartAll();
  harness.load->Start();
  const auto before = RelayPids(harness);
  // The test process listens on this port: the configuration is valid, but the relay can't listen.
  const int port = standin::FreePort();
  net::Listener port_holder(harness.loop, *net::ParseAddress("127.0.0.1:" + std::to_string(port)),
                            [](int fd) { close(fd); });
  Json bad = harness.ConfigOf("n1");
  bad["listen"] = "127.0.0.1:" + std::to_string(port);
  REQUIRE(harness.StartReconfiguration({{"n1", bad}}).value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "rolled-back");
  CHECK(StringField(harness.GetChange().at("change"), "why")
            .find("n1: does not start up: it exited with code 1") == 0);
  CHECK(harness.WaitUntil([&] { return harness.FindInconsistency().empty(); }));
  const auto after = RelayPids(harness);
  for (const char* name : {"n2", "n3", "n4", "n5"}) CHECK(after.at(name) == before.at(name));
  const standin::Totals totals = harness.StopLoadAndWait();
  CHECK(totals.lost == 0);
  CHECK(totals.ended_twice == 0);
}

TEST_CASE("a configuration that makes its relay reject messages is rolled back") {
  HarnessOptions options;
  options.load_rate_per_s = 200;
  options.limits =
      "  observe_for: 2s\n  watch_for: 2s\n  settle_within: 4s\n  least_sample: 20\n  refused_rise: 0.05\n";
  GroupHarness harness(options);
  harness.StartAll();
  harness.load->Start();
  const auto before = RelayPids(harness);
  Json bad = harness.ConfigOf("n1");
  bad["settings"]["limits"]["max-open"] = 1;
  REQUIRE(harness.StartReconfiguration({{"n1", bad}}).value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "rolled-back");
  CHECK(StringField(harness.GetChange().at("change"), "why").find("n1: refused ") == 0);
  CHECK(harness.WaitUntil([&] { return harness.FindInconsistency().empty(); }));
  const auto after = RelayPids(harness);
  for (const char* name : {"n2", "n3", "n4", "n5"}) CHECK(after.at(name) == before.at(name));
  CHECK(harness.StopLoadAndWait().lost == 0);
}

// Restarts one instance once per stage and kills its relay or its agent while the change is at that stage.
// Each change has to end as done, applied once, with a consistent group.
void KillAtEachStage(bool kill_agent) {
  GroupHarness harness;
  harness.StartAll();
  harness.load->Start();
  const std::string agent = harness.site.agent_of[1];
  for (const char* stage : {"waiting", "pausing", "turning", "watching", "done"}) {
    INFO("killed at stage " << stage);
    REQUIRE(harness.StartChange("restart", {"n2"}).value("ok", false));
    const auto at_stage = [&] {
      const Json answer = harness.GetChange();
      return answer.contains("change") &&
             StringField(answer.at("change").at("targets").at(0), "stage") == stage;
    };
    // If a stage ends before it is observed, the process is killed at a later stage. The expected result is
    // the same.
    harness.WaitUntil([&] { return at_stage() || harness.ChangeState() == "done"; });
    if (kill_agent) {
      harness.SignalAgent(agent, SIGKILL);
      harness.RunFor(200ms);
      harness.StartAgent(agent);
    } else if (const pid_t pid = harness.RelayPid("n2"); pid > 0) {
      kill(pid, SIGKILL);
    }
    REQUIRE(harness.WaitUntilFinished());
    CHECK(harness.ChangeState() == "done");
    REQUIRE(harness.WaitUntil([&] { return harness.FindInconsistency().empty(); }));
    const std::string id = StringField(harness.GetChange().at("change"), "change");
    CHECK(StringField(harness.InstanceStatuses().at("n2"), "stamp").find("@" + id + ".1") !=
          std::string::npos);
    harness.RunFor(500ms);
  }
  const standin::Totals totals = harness.StopLoadAndWait();
  CHECK(totals.lost == 0);
  CHECK(totals.ended_twice == 0);
}

TEST_CASE("a relay killed at each stage of its change ends with the change applied") {
  KillAtEachStage(false);
}
TEST_CASE("an agent killed at each stage of its instance's change resumes from its store") {
  KillAtEachStage(true);
}

TEST_CASE("the JSON log of an agent has one object per line with instance and change and step") {
  HarnessOptions options;
  options.agents = 1;
  options.instances = 2;
  options.limits = "  observe_for: 200ms\n  watch_for: 200ms\n";
  GroupHarness harness(options);
  harness.StartAgent(harness.site.agents[0], {"--json"});
  REQUIRE(harness.WaitUntil([&] { return harness.AllServing() && !harness.Leader().empty(); }));
  REQUIRE(harness.StartChange("restart", {"n1"}).value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  std::istringstream lines(harness.AgentLog(harness.site.agents[0]));
  std::set<std::string> steps;
  for (std::string line; std::getline(lines, line);) {
    const Json json = Json::parse(line, nullptr, false);
    REQUIRE(json.is_object());
    if (StringField(json, "instance") == "n1" && !StringField(json, "change").empty())
      steps.insert(StringField(json, "step"));
  }
  CHECK(steps == std::set<std::string>{"pausing", "turning", "watching", "done"});
}

TEST_CASE("a reload reconfigures the running process and a rollback restores the previous configuration") {
  GroupHarness harness;
  harness.StartAll();
  const auto before = RelayPids(harness);
  const std::string first = StringField(harness.InstanceStatuses().at("n2"), "stamp");
  Json next = harness.ConfigOf("n2");
  next["limits"]["sockets"] = 400;
  REQUIRE(harness.StartReconfiguration({{"n2", next}}).value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "done");
  const std::string second = StringField(harness.InstanceStatuses().at("n2"), "stamp");
  CHECK(oxbowspread::change::VersionOf(second) != oxbowspread::change::VersionOf(first));
  REQUIRE(harness.StartChange("rollback").value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(oxbowspread::change::VersionOf(StringField(harness.InstanceStatuses().at("n2"), "stamp")) ==
        oxbowspread::change::VersionOf(first));
  CHECK(RelayPids(harness) == before);
}

TEST_CASE(
    "a group file edited during a change is loaded after the change and an invalid one is never loaded") {
  GroupHarness harness;
  harness.StartAll();
  REQUIRE(harness.StartChange("restart").value("ok", false));
  std::ifstream in(harness.site.group_file);
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::ofstream(harness.site.group_file) << text + "  least_sample: 77\n";
  const std::string leader = harness.Leader();
  REQUIRE(harness.WaitUntil(
      [&] { return harness.AgentLog(leader).find("has not finished yet") != std::string::npos; }));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "done");
  REQUIRE(harness.WaitUntil(
      [&] { return harness.AgentLog(leader).find("group file loaded") != std::string::npos; }));
  CHECK(harness.ChangeState() == "done");  // the leader still reports the change
  std::ofstream(harness.site.group_file) << text + "  least_sample: none\n";
  REQUIRE(harness.WaitUntil(
      [&] { return harness.AgentLog(leader).find("limits.least_sample: must be") != std::string::npos; }));
  CHECK(harness.AllServing());
}

TEST_CASE("a state folder locked by an unresponsive process is reported and no second relay is started") {
  GroupHarness harness;
  harness.StartAll();
  const std::string agent = harness.site.agent_of[0];
  harness.SignalAgent(agent, SIGKILL);
  const std::string n1 = harness.site.instances[0];
  const pid_t pid = harness.RelayPid(n1);
  // The suspended relay keeps the lock of its folder and does not answer, like a relay that hangs.
  kill(pid, SIGSTOP);
  std::filesystem::remove(harness.folder + "/" + agent + "/agent.db");
  std::filesystem::remove(harness.folder + "/" + agent + "/agent.db-journal");
  harness.StartAgent(agent);
  REQUIRE(harness.WaitUntil([&] {
    return harness.AgentLog(agent).find("process " + std::to_string(pid) +
                                        " holds its state folder and does not answer") != std::string::npos;
  }));
  CHECK(harness.RelayProcesses().at(n1).size() == 1);
  CHECK(harness.InstanceStatuses().count(n1) == 0);  // its state is unknown: neither running nor down
  kill(pid, SIGCONT);
  CHECK(harness.WaitUntil([&] { return harness.FindInconsistency().empty(); }));
  CHECK(harness.RelayPid(n1) == pid);
}

TEST_CASE("an agent with a full store rejects new data and its relays keep running") {
  HarnessOptions options;
  options.agents = 1;
  options.instances = 2;
  options.limits = "  observe_for: 200ms\n  watch_for: 200ms\n";
  GroupHarness harness(options);
  harness.StartAgent(harness.site.agents[0], {"--store-kb", "96"});
  REQUIRE(harness.WaitUntil([&] { return harness.AllServing() && !harness.Leader().empty(); }));
  const auto before = RelayPids(harness);
  std::string error;
  for (int i = 0; i < 40 && error.empty(); ++i) {
    Json config = harness.ConfigOf("n1");
    config["padding"] = std::string(8000, static_cast<char>('a' + i % 26)) + std::to_string(i);
    const Json answer = harness.AskLeader({{"op", "offer"}, {"instance", "n1"}, {"text", config.dump()}});
    error = StringField(answer, "error");
  }
  CHECK(error.find("full") != std::string::npos);
  harness.RunFor(500ms);
  CHECK(harness.AllServing());
  CHECK(RelayPids(harness) == before);
}

TEST_CASE(
    "a second agent on a folder exits with code 3 and an agent with invalid arguments exits with code 2") {
  GroupHarness harness;
  harness.StartAll();
  const auto before = RelayPids(harness);
  const auto run = [&](const std::string& arguments) {
    const int status = std::system(
        (std::string(OXBOWAGENT) + " " + arguments + " >" + harness.folder + "/out 2>&1").c_str());
    std::ifstream file(harness.folder + "/out");
    return std::pair(WEXITSTATUS(status), std::string((std::istreambuf_iterator<char>(file)), {}));
  };
  const std::string name = harness.site.agents[0], own_arguments = " --relay " OXBOWSPREAD " --name " + name;
  const auto second =
      run("--group " + harness.site.group_file + own_arguments + " --folder " + harness.folder + "/" + name);
  CHECK(second.first == 3);
  CHECK(second.second.find("is held by process " + std::to_string(harness.agent_pid(name))) !=
        std::string::npos);
  const auto unknown_agent =
      run("--group " + harness.site.group_file + " --relay " OXBOWSPREAD " --name nobody --folder " +
          harness.folder + "/other");
  CHECK(unknown_agent.first == 2);
  CHECK(unknown_agent.second.find("agents: none is named 'nobody'") != std::string::npos);
  CHECK(run("--name x").first == 2);
  CHECK(RelayPids(harness) == before);
}

TEST_CASE("a connection with another group's key is refused and logged and counted and changes nothing") {
  GroupHarness harness;
  harness.StartAll();
  const std::string agent = harness.site.agents[0];
  const std::string other_keys = harness.folder + "/otherkeys";
  tls::CreateGroupKey(other_keys, "other", 10);
  tls::IssueMemberKey(other_keys, "operator", 86400);
  std::ifstream in(harness.site.group_file);
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const std::string foreign_group_file = harness.folder + "/foreign.yaml";
  std::ofstream(foreign_group_file) << text.replace(text.find("keys: keys"), 10, "keys: otherkeys");
  std::string output;
  const int exit_code = harness.RunOxbowctl({"--group", foreign_group_file, "restart", "--all"}, &output);
  CHECK(exit_code != 0);
  const auto local = harness.AskAgent(agent, {{"op", "local"}});
  REQUIRE(local);
  CHECK(local->at("refused_connections").get<int>() > 0);
  CHECK(harness.AgentLog(agent).find("refused a connection: no TLS 1.3 with a member of the group") !=
        std::string::npos);
  CHECK_FALSE(harness.GetChange().contains("change"));
}

TEST_CASE("a member's key is rotated without a restart of the group") {
  GroupHarness harness;
  harness.StartAll();
  const std::string agent = harness.site.agents[1];
  const Json before = *harness.AskAgent(agent, {{"op", "local"}});
  std::string output;
  REQUIRE(harness.RunOxbowctl({"keys", "rotate", harness.folder + "/keys", agent}, &output) == 0);
  std::string status_output;
  REQUIRE(harness.WaitUntil([&] {
    // Opens a new connection, for which the agent checks its key files.
    harness.RunOxbowctl({"status", "--json"}, &status_output);
    return harness.AskAgent(agent, {{"op", "local"}})->at("certificate") != before.at("certificate");
  }));
  REQUIRE(harness.StartChange("restart", {"n2"}).value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "done");
}

TEST_CASE("a leader that was suspended queries the agents again before it reports one out of reach") {
  HarnessOptions options;
  options.limits.replace(options.limits.find("belief_age: 1500ms"), 18, "belief_age: 500ms");
  GroupHarness harness(options);
  harness.StartAll();
  // A new leader may answer that it is not ready yet. After a completed change the leader is no longer new.
  REQUIRE(harness.StartChange("restart", {"n1", "n2", "n3"}).value("ok", false));
  REQUIRE(harness.WaitUntilFinished());
  std::string leader;
  REQUIRE(harness.WaitUntil([&] { return !(leader = harness.Leader()).empty(); }));
  // The leader is suspended for longer than a status stays valid and for less than its lease, with the
  // request in its receive buffer. When it resumes, its statuses of the other agents have expired although
  // those agents were reachable all the time.
  harness.SignalAgent(leader, SIGSTOP);
  net::Timer resume_timer(harness.loop, [&] { harness.SignalAgent(leader, SIGCONT); });
  resume_timer.After(800ms);
  std::optional<Json> answer;
  harness.SendRequest(
      leader, {{"op", "begin"}, {"kind", "restart"}, {"by", "test"}, {"instances", harness.site.instances}},
      &answer);
  REQUIRE(harness.WaitUntil([&] { return answer.has_value(); }));
  INFO(answer->dump());
  // A leader whose lease expired meanwhile answers that it does not lead. That answer gives no information
  // about the other agents.
  CHECK((answer->value("ok", false) || answer->contains("leader")));
  CHECK(StringField(*answer, "error").find("out of reach") == std::string::npos);
  if (answer->value("ok", false)) {
    REQUIRE(harness.WaitUntilFinished());
    CHECK(harness.ChangeState() == "done");
  }
}

TEST_CASE("a restart is rejected when the agent of some of its instances does not answer") {
  GroupHarness harness;
  harness.StartAll();
  const std::string leader = harness.Leader();
  const auto other = std::find_if(harness.site.agents.begin(), harness.site.agents.end(),
                                  [&](const std::string& name) { return name != leader; });
  harness.SignalAgent(*other, SIGSTOP);
  const Json request = {{"op", "begin"},
                        {"kind", "restart"},
                        {"by", "test"},
                        {"dry_run", true},
                        {"instances", harness.site.instances}};
  std::optional<Json> answer;
  // Until the statuses of the agent's instances expire, the leader may accept the change, which then waits.
  REQUIRE(harness.WaitUntil([&] {
    const std::string leader_now = harness.Leader();
    answer.reset();
    if (!leader_now.empty()) harness.SendRequest(leader_now, request, &answer);
    const bool answered = leader_now.empty() || harness.WaitUntil([&] { return answer.has_value(); });
    return answered && answer && !answer->value("ok", false) && !answer->contains("leader");
  }));
  CHECK(StringField(*answer, "error").find("is unknown: its agent is out of reach") != std::string::npos);
  CHECK_FALSE(harness.GetChange().contains("change"));
  harness.SignalAgent(*other, SIGCONT);
}

TEST_CASE(
    "a start request whose answer is lost with the leader is known to the next leader and starts one "
    "change") {
  GroupHarness harness;
  harness.StartAll();
  const std::string leader = harness.Leader();
  REQUIRE_FALSE(leader.empty());
  std::vector<std::string> others;
  for (const std::string& name : harness.site.agents) {
    if (name != leader) others.push_back(name);
  }
  // Only the leader has the record of the change, so the change is not committed and the leader can't confirm
  // it.
  for (const std::string& name : others) harness.SignalAgent(name, SIGSTOP);
  const Json request = {
      {"op", "begin"}, {"kind", "restart"}, {"by", "test"}, {"instances", {"n1", "n2"}}, {"request", "mine"}};
  std::optional<Json> lost_answer;
  harness.SendRequest(leader, request, &lost_answer);
  // This request follows on the same connection. The leader reports the committed state, which has no change.
  const auto meanwhile = harness.AskAgent(leader, {{"op", "change"}});
  REQUIRE(meanwhile);
  INFO(meanwhile->dump());
  CHECK_FALSE(meanwhile->contains("change"));
  REQUIRE(harness.WaitUntil([&] { return lost_answer.has_value(); }));
  CHECK_FALSE(lost_answer->value("ok", false));
  REQUIRE(lost_answer->contains("leader"));
  harness.SignalAgent(others[0], SIGCONT);
  // Two of three agents are a majority: the next leader has received the record of the old leader.
  std::optional<Json> repeated_answer, other_answer;
  Json other_request = request;
  other_request["request"] = "another's";
  other_request["dry_run"] = true;
  REQUIRE(harness.WaitUntil([&] {
    std::string next;
    for (const std::string& name : {leader, others[0]}) {
      const auto local = harness.AskAgent(name, {{"op", "local"}});
      if (local && StringField(*local, "leader") == name) next = name;
    }
    if (next.empty()) return false;
    harness.SignalAgent(others[1], SIGCONT);
    repeated_answer.reset();
    other_answer.reset();
    harness.SendRequest(next, request, &repeated_answer);
    harness.SendRequest(next, other_request, &other_answer);  // follows on the same connection
    const bool both_answered = harness.WaitUntil([&] { return repeated_answer && other_answer; });
    // Without a leader, or with one that has no statuses of its instances yet, both requests have to be
    // retried.
    return both_answered &&
           (repeated_answer->value("ok", false) ||
            StringField(*repeated_answer, "error").find("not finished yet") != std::string::npos);
  }));
  INFO(repeated_answer->dump());
  REQUIRE(repeated_answer->value("ok", false));
  const std::string id = StringField(repeated_answer->at("change"), "change");
  CHECK(StringField(*other_answer, "error").find("change " + id + " ") == 0);
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "done");
  CHECK(StringField(harness.GetChange().at("change"), "change") == id);
}

TEST_CASE("oxbowctl commands print their results and exit with the expected codes") {
  GroupHarness harness;
  harness.StartAll();
  std::string output;
  // Checks the exit code; the output of oxbowctl is shown with a failed check.
  const auto check_exit_code = [&](const std::vector<std::string>& arguments, int expected_code) {
    const int exit_code = harness.RunOxbowctl(arguments, &output);
    INFO("oxbowctl " << arguments.front() << " printed: " << output);
    CHECK(exit_code == expected_code);
  };
  check_exit_code({"group", "check"}, 0);
  CHECK(output.find("3 agents, 5 instances, can be used") != output.npos);
  check_exit_code({"status"}, 0);
  CHECK(output.find("n5") != output.npos);
  CHECK(output.find("serving") != output.npos);
  check_exit_code({"status", "--json"}, 0);
  CHECK(Json::parse(output).size() == 5);
  check_exit_code({"show", "n3"}, 0);
  check_exit_code({"restart", "--all", "--dry-run"}, 0);
  CHECK(output.find("n1        restart") != output.npos);
  CHECK_FALSE(harness.GetChange().contains("change"));
  check_exit_code({"restart", "n9"}, 2);
  CHECK(output == "oxbowctl: name instances, or --all\n");
  check_exit_code({"dance"}, 2);
  check_exit_code({"drain", "--all", "--no-wait"}, 1);
  CHECK(output.find("refused: would leave 5 instances out of service") != output.npos);
  check_exit_code({"change", "pause"}, 1);
  check_exit_code({"apply"}, 0);
  CHECK(output.find("nothing differs") != output.npos);
  check_exit_code({"drain", "n1"}, 0);
  CHECK(StringField(harness.InstanceStatuses().at("n1"), "phase") == "paused");
  check_exit_code({"resume", "n1"}, 0);
  CHECK(harness.AllServing());
  check_exit_code({"restart", "--all", "--no-wait"}, 0);
  const std::string id = StringField(harness.GetChange().at("change"), "change");
  check_exit_code({"drain", "n2"}, 1);
  CHECK(output.find("refused: change " + id + " (restart by operator) has not finished yet") != output.npos);
  check_exit_code({"change", "abort"}, 0);
  REQUIRE(harness.WaitUntilFinished());
  CHECK(harness.ChangeState() == "aborted");
  check_exit_code({"history", "--most", "500"}, 0);
  CHECK(output.find(id + ": aborted: by an operator") != output.npos);
  for (const std::string& name : harness.site.agents) harness.SignalAgent(name, SIGKILL);
  check_exit_code({"status"}, 3);
  CHECK(output.find("unknown") != output.npos);
}

}  // namespace
}  // namespace oxbowspread::testing
