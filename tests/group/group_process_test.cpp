// Agents, relays and oxbowctl as processes: the hard cases one by one.
#include <signal.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "change/record.hpp"
#include "rig.hpp"
#include "tls/keys.hpp"

namespace oxbowspread::testing {
namespace {

std::map<std::string, pid_t> Pids(const GroupRig& rig) {
  std::map<std::string, pid_t> all;
  for (const auto& [name, pids] : rig.Relays()) all[name] = pids.front();
  return all;
}

std::string Text(const Json& j, const char* key) { return control::TextOf(j, key); }

TEST_CASE("a rolling restart under load gives every instance a new process and loses nothing") {
  GroupRig rig;
  rig.StartAll();
  rig.load->Start();
  const auto before = Pids(rig);
  REQUIRE(rig.Begin("restart").value("ok", false));
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "done");
  const auto after = Pids(rig);
  for (const auto& [name, pid] : before) CHECK(after.at(name) != pid);
  CHECK(rig.Disagreement().empty());
  const standin::Totals t = rig.Settle();
  CHECK(t.accepted == t.delivered);
  CHECK(t.lost == 0);
  CHECK(t.ended_twice == 0);
  CHECK(t.rejected + t.unanswered == 0);
}

// Seeds 113 and 477 of the long table: the leader had not heard of every instance yet, and refused.
TEST_CASE("a change asked for in the first moment of a new leader is begun, not refused") {
  GroupRig rig;
  rig.StartAll();
  rig.Signal(rig.Leader(), SIGKILL);
  for (const std::string& name : rig.site.agents) {
    if (!rig.AgentRuns(name)) rig.StartAgent(name);
  }
  const net::Time until = net::Loop::Now() + 20s;
  Json answer = {{"leader", ""}};
  for (std::size_t i = 0; answer.contains("leader") && net::Loop::Now() < until; ++i) {
    const auto got =
        rig.Ask(rig.site.agents[i % 3],
                {{"op", "begin"}, {"kind", "restart"}, {"by", "test"}, {"instances", rig.site.instances}});
    // TellChange names the leader too; a change in the answer is the one that was begun.
    if (got && (got->value("ok", false) || !got->contains("leader"))) {
      answer = *got;
      break;
    }
  }
  INFO(answer.dump());
  CHECK(answer.value("ok", false));
  CHECK(answer.contains("change"));
}

TEST_CASE("agents that are killed leave their relays running, and the next ones adopt them") {
  GroupRig rig;
  rig.StartAll();
  const auto before = Pids(rig);
  for (const std::string& name : rig.site.agents) rig.Signal(name, SIGKILL);
  rig.Run(500ms);
  CHECK(Pids(rig) == before);
  rig.StartAll();
  CHECK(Pids(rig) == before);
  CHECK(rig.Disagreement().empty());
}

TEST_CASE("one that runs without a word in the store is adopted by its lock and control socket") {
  GroupRig rig;
  rig.StartAll();
  const auto before = Pids(rig);
  for (const std::string& name : rig.site.agents) {
    rig.Signal(name, SIGKILL);
    std::filesystem::remove(rig.folder + "/" + name + "/agent.db");
    std::filesystem::remove(rig.folder + "/" + name + "/agent.db-journal");
  }
  rig.StartAll();
  CHECK(Pids(rig) == before);
}

TEST_CASE("everything is killed in the middle of a change and goes on from disk") {
  GroupRig rig;
  rig.StartAll();
  rig.load->Start();
  REQUIRE(rig.Begin("restart").value("ok", false));
  const std::string id = Text(rig.Change().at("change"), "change");
  rig.Run(2s);
  for (const std::string& name : rig.site.agents) rig.Signal(name, SIGKILL);
  for (const auto& [name, pids] : rig.Relays()) {
    for (const pid_t pid : pids) kill(pid, SIGKILL);
  }
  rig.StartAll();
  REQUIRE(rig.UntilOver());
  CHECK(Text(rig.Change().at("change"), "change") == id);
  CHECK(rig.ChangeState() == "done");
  CHECK(rig.Until([&] { return rig.Disagreement().empty(); }));
  const standin::Totals t = rig.Settle();
  CHECK(t.lost == 0);
  CHECK(t.ended_twice == 0);
}

TEST_CASE("a coordinator stopped past every bound is replaced, and fenced when it comes back") {
  GroupRig rig;
  rig.StartAll();
  const std::string old = rig.Leader();
  REQUIRE(rig.Begin("restart").value("ok", false));
  rig.Run(600ms);
  rig.Signal(old, SIGSTOP);
  std::string next;
  REQUIRE(rig.Until([&] {
    for (const std::string& name : rig.site.agents) {
      if (name == old) continue;
      const auto answer = rig.Ask(name, {{"op", "local"}});
      if (answer && Text(*answer, "leader") == name) next = name;
    }
    return !next.empty();
  }));
  rig.Run(500ms);
  rig.Signal(old, SIGCONT);
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "done");
  CHECK(rig.Until([&] { return rig.Disagreement().empty(); }));
  // By its own log it led before, and never after it came back in the old epoch.
  const std::string log = rig.AgentLog(old);
  CHECK(log.find("leads no more") != log.npos);
  const auto epoch = rig.Ask(next, {{"op", "local"}})->at("epoch");
  CHECK(rig.Ask(old, {{"op", "local"}})->at("epoch") == epoch);
}

TEST_CASE("an order of an older epoch is refused, counted, and changes nothing") {
  GroupRig rig;
  rig.StartAll();
  const auto before = Pids(rig);
  // By a member with an agent's own key, as a replaced coordinator would give it.
  const tls::Identity as_agent(rig.folder + "/keys", rig.site.agents[0]);
  const std::string to = rig.site.agents[1];
  const std::string log = rig.AgentLog(to);
  const auto address = [&] {
    std::ifstream file(rig.site.group_file);
    std::string text((std::istreambuf_iterator<char>(file)), {});
    const std::size_t at = text.find('"', text.find("name: " + to));
    return text.substr(at + 1, text.find('"', at + 1) - at - 1);
  }();
  control::Caller caller(rig.loop, [&](control::Peer::Callbacks calls) {
    return control::Peer::ConnectTcp(rig.loop, *net::ParseAddress(address), as_agent.NewClientSession(to),
                                     std::move(calls));
  });
  Json answer;
  caller.Call({{"op", "order"},
               {"epoch", 0},
               {"instance", "n2"},
               {"want", "paused"},
               {"stamp", ""},
               {"reload", false}},
              2s, [&](const Json* got, const std::string&) {
                if (got != nullptr) answer = *got;
                rig.loop.Stop();
              });
  rig.loop.Run();
  CHECK(Text(answer, "error").find("fenced: epoch") == 0);
  CHECK(rig.Ask(to, {{"op", "local"}})->at("fenced_orders") == 1);
  rig.Run(500ms);
  CHECK(rig.AllServe());
  CHECK(Pids(rig) == before);
}

TEST_CASE("a configuration that can't be used is refused whole, before anything is changed") {
  GroupRig rig;
  rig.StartAll();
  const auto before = Pids(rig);
  Json good = rig.ConfigOf("n1"), bad = rig.ConfigOf("n4");
  good["limits"]["disk_mb"] = 4;
  bad["limits"]["sockets"] = 2;
  const Json answer = rig.Apply({{"n1", good}, {"n4", bad}});
  CHECK(Text(answer, "error").find("n4: limits.sockets: must be at least 48") == 0);
  CHECK_FALSE(rig.Change().contains("change"));
  CHECK(Pids(rig) == before);
}

TEST_CASE("a configuration that doesn't come up is rolled back, and the rest is never touched") {
  RigOptions o;
  o.limits += "  least_sample: 20\n";
  GroupRig rig(o);
  rig.StartAll();
  rig.load->Start();
  const auto before = Pids(rig);
  // A port that this process holds: the file is good, the relay can't listen.
  const int port = standin::FreePort();
  net::Listener taken(rig.loop, *net::ParseAddress("127.0.0.1:" + std::to_string(port)),
                      [](int fd) { close(fd); });
  Json bad = rig.ConfigOf("n1");
  bad["listen"] = "127.0.0.1:" + std::to_string(port);
  REQUIRE(rig.Apply({{"n1", bad}}).value("ok", false));
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "rolled-back");
  CHECK(Text(rig.Change().at("change"), "why").find("n1: does not come up: it ended with code 1") == 0);
  CHECK(rig.Until([&] { return rig.Disagreement().empty(); }));
  const auto after = Pids(rig);
  for (const char* name : {"n2", "n3", "n4", "n5"}) CHECK(after.at(name) == before.at(name));
  const standin::Totals t = rig.Settle();
  CHECK(t.lost == 0);
  CHECK(t.ended_twice == 0);
}

TEST_CASE("a configuration that comes up and refuses what it is asked fails its gate and is rolled back") {
  RigOptions o;
  o.rate = 200;
  o.limits =
      "  observe_for: 2s\n  watch_for: 2s\n  settle_within: 4s\n  least_sample: 20\n  refused_rise: 0.05\n";
  GroupRig rig(o);
  rig.StartAll();
  rig.load->Start();
  const auto before = Pids(rig);
  Json bad = rig.ConfigOf("n1");
  bad["settings"]["limits"]["max-open"] = 1;
  REQUIRE(rig.Apply({{"n1", bad}}).value("ok", false));
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "rolled-back");
  CHECK(Text(rig.Change().at("change"), "why").find("n1: refused ") == 0);
  CHECK(rig.Until([&] { return rig.Disagreement().empty(); }));
  const auto after = Pids(rig);
  for (const char* name : {"n2", "n3", "n4", "n5"}) CHECK(after.at(name) == before.at(name));
  CHECK(rig.Settle().lost == 0);
}

// Of one instance: whoever is killed while it is at a stage, it ends turned, once, and known.
void KillAtEachStage(bool agent) {
  GroupRig rig;
  rig.StartAll();
  rig.load->Start();
  const std::string keeper = rig.site.agent_of[1];
  for (const char* stage : {"waiting", "pausing", "turning", "watching", "done"}) {
    INFO("killed while " << stage);
    REQUIRE(rig.Begin("restart", {"n2"}).value("ok", false));
    const auto at_stage = [&] {
      const Json answer = rig.Change();
      return answer.contains("change") && Text(answer.at("change").at("targets").at(0), "stage") == stage;
    };
    // A stage that is over before it is seen has been killed in a later one: the end is the same.
    rig.Until([&] { return at_stage() || rig.ChangeState() == "done"; });
    if (agent) {
      rig.Signal(keeper, SIGKILL);
      rig.Run(200ms);
      rig.StartAgent(keeper);
    } else if (const pid_t pid = rig.RelayPid("n2"); pid > 0) {
      kill(pid, SIGKILL);
    }
    REQUIRE(rig.UntilOver());
    CHECK(rig.ChangeState() == "done");
    REQUIRE(rig.Until([&] { return rig.Disagreement().empty(); }));
    const std::string id = Text(rig.Change().at("change"), "change");
    CHECK(Text(rig.Beliefs().at("n2"), "stamp").find("@" + id + ".1") != std::string::npos);
    rig.Run(500ms);
  }
  const standin::Totals t = rig.Settle();
  CHECK(t.lost == 0);
  CHECK(t.ended_twice == 0);
}

TEST_CASE("a relay killed at each stage of its change ends turned and known") { KillAtEachStage(false); }
TEST_CASE("the agent killed at each stage of its instance's change goes on from its store") {
  KillAtEachStage(true);
}

TEST_CASE("the agent's log is one JSON object a line where asked, with instance, change and step") {
  RigOptions o;
  o.agents = 1;
  o.instances = 2;
  o.limits = "  observe_for: 200ms\n  watch_for: 200ms\n";
  GroupRig rig(o);
  rig.StartAgent(rig.site.agents[0], {"--json"});
  REQUIRE(rig.Until([&] { return rig.AllServe() && !rig.Leader().empty(); }));
  REQUIRE(rig.Begin("restart", {"n1"}).value("ok", false));
  REQUIRE(rig.UntilOver());
  std::istringstream lines(rig.AgentLog(rig.site.agents[0]));
  std::set<std::string> steps;
  for (std::string line; std::getline(lines, line);) {
    const Json json = Json::parse(line, nullptr, false);
    REQUIRE(json.is_object());
    if (Text(json, "instance") == "n1" && !Text(json, "change").empty()) steps.insert(Text(json, "step"));
  }
  CHECK(steps == std::set<std::string>{"pausing", "turning", "watching", "done"});
}

TEST_CASE("a reload changes the running process, and rollback brings the old configuration back") {
  GroupRig rig;
  rig.StartAll();
  const auto before = Pids(rig);
  const std::string first = Text(rig.Beliefs().at("n2"), "stamp");
  Json next = rig.ConfigOf("n2");
  next["limits"]["sockets"] = 400;
  REQUIRE(rig.Apply({{"n2", next}}).value("ok", false));
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "done");
  const std::string second = Text(rig.Beliefs().at("n2"), "stamp");
  CHECK(oxbowspread::change::VersionOf(second) != oxbowspread::change::VersionOf(first));
  REQUIRE(rig.Begin("rollback").value("ok", false));
  REQUIRE(rig.UntilOver());
  CHECK(oxbowspread::change::VersionOf(Text(rig.Beliefs().at("n2"), "stamp")) ==
        oxbowspread::change::VersionOf(first));
  CHECK(Pids(rig) == before);
}

TEST_CASE("the group file is edited in the middle of a change: taken up after it, and a bad one never") {
  GroupRig rig;
  rig.StartAll();
  REQUIRE(rig.Begin("restart").value("ok", false));
  std::ifstream in(rig.site.group_file);
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::ofstream(rig.site.group_file) << text + "  least_sample: 77\n";
  const std::string leader = rig.Leader();
  REQUIRE(rig.Until([&] { return rig.AgentLog(leader).find("is not over yet") != std::string::npos; }));
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "done");
  REQUIRE(rig.Until([&] { return rig.AgentLog(leader).find("group file taken up") != std::string::npos; }));
  CHECK(rig.ChangeState() == "done");  // still told by whoever leads
  std::ofstream(rig.site.group_file) << text + "  least_sample: none\n";
  REQUIRE(rig.Until(
      [&] { return rig.AgentLog(leader).find("limits.least_sample: must be") != std::string::npos; }));
  CHECK(rig.AllServe());
}

TEST_CASE("a state folder held by a stranger is named, and no second relay is started for it") {
  GroupRig rig;
  rig.StartAll();
  const std::string agent = rig.site.agent_of[0];
  rig.Signal(agent, SIGKILL);
  const std::string n1 = rig.site.instances[0];
  const pid_t pid = rig.RelayPid(n1);
  // It holds its folder and says nothing: stopped, as one that hangs.
  kill(pid, SIGSTOP);
  std::filesystem::remove(rig.folder + "/" + agent + "/agent.db");
  std::filesystem::remove(rig.folder + "/" + agent + "/agent.db-journal");
  rig.StartAgent(agent);
  REQUIRE(rig.Until([&] {
    return rig.AgentLog(agent).find("process " + std::to_string(pid) +
                                    " holds its state folder and does not answer") != std::string::npos;
  }));
  CHECK(rig.Relays().at(n1).size() == 1);
  CHECK(rig.Beliefs().count(n1) == 0);  // unknown, neither up nor down
  kill(pid, SIGCONT);
  CHECK(rig.Until([&] { return rig.Disagreement().empty(); }));
  CHECK(rig.RelayPid(n1) == pid);
}

TEST_CASE("an agent whose store is full refuses what it can't keep, and its relays run on") {
  RigOptions o;
  o.agents = 1;
  o.instances = 2;
  o.limits = "  observe_for: 200ms\n  watch_for: 200ms\n";
  GroupRig rig(o);
  rig.StartAgent(rig.site.agents[0], {"--store-kb", "96"});
  REQUIRE(rig.Until([&] { return rig.AllServe() && !rig.Leader().empty(); }));
  const auto before = Pids(rig);
  std::string error;
  for (int i = 0; i < 40 && error.empty(); ++i) {
    Json config = rig.ConfigOf("n1");
    config["padding"] = std::string(8000, static_cast<char>('a' + i % 26)) + std::to_string(i);
    const Json answer = rig.AskLeader({{"op", "offer"}, {"instance", "n1"}, {"text", config.dump()}});
    error = Text(answer, "error");
  }
  CHECK(error.find("full") != std::string::npos);
  rig.Run(500ms);
  CHECK(rig.AllServe());
  CHECK(Pids(rig) == before);
}

TEST_CASE(
    "a second agent on the same folder ends with code 3, one with a bad file with 2, and nothing changes") {
  GroupRig rig;
  rig.StartAll();
  const auto before = Pids(rig);
  const auto run = [&](const std::string& words) {
    const int status =
        std::system((std::string(OXBOWAGENT) + " " + words + " >" + rig.folder + "/out 2>&1").c_str());
    std::ifstream file(rig.folder + "/out");
    return std::pair(WEXITSTATUS(status), std::string((std::istreambuf_iterator<char>(file)), {}));
  };
  const std::string name = rig.site.agents[0], own = " --relay " OXBOWSPREAD " --name " + name;
  const auto second = run("--group " + rig.site.group_file + own + " --folder " + rig.folder + "/" + name);
  CHECK(second.first == 3);
  CHECK(second.second.find("is held by process " + std::to_string(rig.agent_pid(name))) != std::string::npos);
  const auto stranger = run("--group " + rig.site.group_file +
                            " --relay " OXBOWSPREAD " --name nobody --folder " + rig.folder + "/other");
  CHECK(stranger.first == 2);
  CHECK(stranger.second.find("agents: none is named 'nobody'") != std::string::npos);
  CHECK(run("--name x").first == 2);
  CHECK(Pids(rig) == before);
}

TEST_CASE("plain text and strangers' keys are refused, logged and counted, and the group serves on") {
  GroupRig rig;
  rig.StartAll();
  const std::string agent = rig.site.agents[0];
  const std::string other = rig.folder + "/otherkeys";
  tls::CreateGroupKey(other, "other", 10);
  tls::IssueMemberKey(other, "operator", 86400);
  std::ifstream in(rig.site.group_file);
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const std::string foreign = rig.folder + "/foreign.yaml";
  std::ofstream(foreign) << text.replace(text.find("keys: keys"), 10, "keys: otherkeys");
  std::string output;
  const int code = rig.Ctl({"--group", foreign, "restart", "--all"}, &output);
  CHECK(code != 0);
  const auto local = rig.Ask(agent, {{"op", "local"}});
  REQUIRE(local);
  CHECK(local->at("refused_connections").get<int>() > 0);
  CHECK(rig.AgentLog(agent).find("refused a connection: no TLS 1.3 with a member of the group") !=
        std::string::npos);
  CHECK_FALSE(rig.Change().contains("change"));
}

TEST_CASE("a member's key is rotated while the group runs, with no restart") {
  GroupRig rig;
  rig.StartAll();
  const std::string agent = rig.site.agents[1];
  const Json before = *rig.Ask(agent, {{"op", "local"}});
  std::string output;
  REQUIRE(rig.Ctl({"keys", "rotate", rig.folder + "/keys", agent}, &output) == 0);
  std::string out2;
  REQUIRE(rig.Until([&] {
    rig.Ctl({"status", "--json"}, &out2);  // a new connection, at which the files are looked at
    return rig.Ask(agent, {{"op", "local"}})->at("certificate") != before.at("certificate");
  }));
  REQUIRE(rig.Begin("restart", {"n2"}).value("ok", false));
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "done");
}

TEST_CASE("a leader that was held up itself asks again before it calls an agent out of reach") {
  RigOptions o;
  o.limits.replace(o.limits.find("belief_age: 1500ms"), 18, "belief_age: 500ms");
  GroupRig rig(o);
  rig.StartAll();
  // A whole change, after which nobody is a new leader any more, who may ask for patience.
  REQUIRE(rig.Begin("restart", {"n1", "n2", "n3"}).value("ok", false));
  REQUIRE(rig.UntilOver());
  std::string leader;
  REQUIRE(rig.Until([&] { return !(leader = rig.Leader()).empty(); }));
  // Stopped for longer than a belief lasts and less than its lease, with the request in its buffer: when it
  // goes on, all that it knows of the others is old, and the others were there all the time.
  rig.Signal(leader, SIGSTOP);
  net::Timer go_on(rig.loop, [&] { rig.Signal(leader, SIGCONT); });
  go_on.After(800ms);
  std::optional<Json> answer;
  rig.Send(leader, {{"op", "begin"}, {"kind", "restart"}, {"by", "test"}, {"instances", rig.site.instances}},
           &answer);
  REQUIRE(rig.Until([&] { return answer.has_value(); }));
  INFO(answer->dump());
  // One that lost its lease over it says that it doesn't lead, which is no word on the others.
  CHECK((answer->value("ok", false) || answer->contains("leader")));
  CHECK(Text(*answer, "error").find("out of reach") == std::string::npos);
  if (answer->value("ok", false)) {
    REQUIRE(rig.UntilOver());
    CHECK(rig.ChangeState() == "done");
  }
}

TEST_CASE("an agent that doesn't answer is out of reach, and a restart of its instances is refused") {
  GroupRig rig;
  rig.StartAll();
  const std::string leader = rig.Leader();
  const auto other = std::find_if(rig.site.agents.begin(), rig.site.agents.end(),
                                  [&](const std::string& name) { return name != leader; });
  rig.Signal(*other, SIGSTOP);
  const Json begin = {{"op", "begin"},
                      {"kind", "restart"},
                      {"by", "test"},
                      {"dry_run", true},
                      {"instances", rig.site.instances}};
  std::optional<Json> answer;
  // Until it is no longer believed, a change may begin, and then waits.
  REQUIRE(rig.Until([&] {
    const std::string leads = rig.Leader();
    answer.reset();
    if (!leads.empty()) rig.Send(leads, begin, &answer);
    const bool came = leads.empty() || rig.Until([&] { return answer.has_value(); });
    return came && answer && !answer->value("ok", false) && !answer->contains("leader");
  }));
  CHECK(Text(*answer, "error").find("is unknown: its agent is out of reach") != std::string::npos);
  CHECK_FALSE(rig.Change().contains("change"));
  rig.Signal(*other, SIGCONT);
}

TEST_CASE("a begin whose answer is lost with the leader is known to the next and begun once") {
  GroupRig rig;
  rig.StartAll();
  const std::string leader = rig.Leader();
  REQUIRE_FALSE(leader.empty());
  std::vector<std::string> others;
  for (const std::string& name : rig.site.agents) {
    if (name != leader) others.push_back(name);
  }
  // Nobody but the leader has the change on record, so it can't say that it was taken.
  for (const std::string& name : others) rig.Signal(name, SIGSTOP);
  const Json begin = {
      {"op", "begin"}, {"kind", "restart"}, {"by", "test"}, {"instances", {"n1", "n2"}}, {"request", "mine"}};
  std::optional<Json> lost;
  rig.Send(leader, begin, &lost);
  // Behind it on the same connection: the leader tells what most have, which is no change.
  const auto meanwhile = rig.Ask(leader, {{"op", "change"}});
  REQUIRE(meanwhile);
  INFO(meanwhile->dump());
  CHECK_FALSE(meanwhile->contains("change"));
  REQUIRE(rig.Until([&] { return lost.has_value(); }));
  CHECK_FALSE(lost->value("ok", false));
  REQUIRE(lost->contains("leader"));
  rig.Signal(others[0], SIGCONT);
  // Most are two of three: whoever leads next has been told what the old leader has.
  std::optional<Json> again, another;
  Json stranger = begin;
  stranger["request"] = "another's";
  stranger["dry_run"] = true;
  REQUIRE(rig.Until([&] {
    std::string next;
    for (const std::string& name : {leader, others[0]}) {
      const auto local = rig.Ask(name, {{"op", "local"}});
      if (local && Text(*local, "leader") == name) next = name;
    }
    if (next.empty()) return false;
    rig.Signal(others[1], SIGCONT);
    again.reset();
    another.reset();
    rig.Send(next, begin, &again);
    rig.Send(next, stranger, &another);  // behind it on the same connection
    const bool both = rig.Until([&] { return again && another; });
    // Without a leader, or with one that has yet to hear of its instances, both are told to come again.
    return both &&
           (again->value("ok", false) || Text(*again, "error").find("not over yet") != std::string::npos);
  }));
  INFO(again->dump());
  REQUIRE(again->value("ok", false));
  const std::string id = Text(again->at("change"), "change");
  CHECK(Text(*another, "error").find("change " + id + " ") == 0);
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "done");
  CHECK(Text(rig.Change().at("change"), "change") == id);
}

TEST_CASE("oxbowctl shows, plans, refuses and changes, each with its exit code") {
  GroupRig rig;
  rig.StartAll();
  std::string out;
  // The code it ends with; what it said stands beside a failed check.
  const auto check = [&](const std::vector<std::string>& words, int code) {
    const int got = rig.Ctl(words, &out);
    INFO("oxbowctl " << words.front() << " said: " << out);
    CHECK(got == code);
  };
  check({"group", "check"}, 0);
  CHECK(out.find("3 agents, 5 instances, can be used") != out.npos);
  check({"status"}, 0);
  CHECK(out.find("n5") != out.npos);
  CHECK(out.find("serving") != out.npos);
  check({"status", "--json"}, 0);
  CHECK(Json::parse(out).size() == 5);
  check({"show", "n3"}, 0);
  check({"restart", "--all", "--dry-run"}, 0);
  CHECK(out.find("n1        restart") != out.npos);
  CHECK_FALSE(rig.Change().contains("change"));
  check({"restart", "n9"}, 2);
  CHECK(out == "oxbowctl: name instances, or --all\n");
  check({"dance"}, 2);
  check({"drain", "--all", "--no-wait"}, 1);
  CHECK(out.find("refused: would leave 5 instances out") != out.npos);
  check({"change", "pause"}, 1);
  check({"apply"}, 0);
  CHECK(out.find("nothing differs") != out.npos);
  check({"drain", "n1"}, 0);
  CHECK(Text(rig.Beliefs().at("n1"), "phase") == "paused");
  check({"resume", "n1"}, 0);
  CHECK(rig.AllServe());
  check({"restart", "--all", "--no-wait"}, 0);
  const std::string id = Text(rig.Change().at("change"), "change");
  check({"drain", "n2"}, 1);
  CHECK(out.find("refused: change " + id + " (restart by operator) is not over yet") != out.npos);
  check({"change", "abort"}, 0);
  REQUIRE(rig.UntilOver());
  CHECK(rig.ChangeState() == "aborted");
  check({"history", "--most", "500"}, 0);
  CHECK(out.find(id + ": aborted: by an operator") != out.npos);
  for (const std::string& name : rig.site.agents) rig.Signal(name, SIGKILL);
  check({"status"}, 3);
  CHECK(out.find("unknown") != out.npos);
}

}  // namespace
}  // namespace oxbowspread::testing
