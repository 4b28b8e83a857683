// A group as processes: agents and relays of the real programs, with stand-ins for all else in this process.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/server.hpp"
#include "standin/load.hpp"
#include "standin/platform.hpp"
#include "standin/site.hpp"
#include "tls/session.hpp"

namespace oxbowspread::testing {

using control::Json;
using namespace std::chrono_literals;

struct RigOptions {
  int instances = 5, agents = 3;
  double rate = 60;
  std::string limits =
      "  most_out: 2\n  batch: 2\n  observe_for: 500ms\n  watch_for: 300ms\n  settle_within: 4s\n"
      "  ready_within: 20s\n  belief_age: 1500ms\n  most_deaths: 100\n";
  std::uint64_t seed = 1;
};

class GroupRig {
 public:
  explicit GroupRig(const RigOptions& options = {});
  // Ends every process that was started from its folder, by id.
  ~GroupRig();
  GroupRig(const GroupRig&) = delete;
  GroupRig& operator=(const GroupRig&) = delete;

  void StartAgent(const std::string& name, std::vector<std::string> more = {});
  void StartAll();  // and waits until all instances serve and somebody leads
  void Signal(const std::string& agent, int number);
  bool AgentRuns(const std::string& name);
  pid_t agent_pid(const std::string& name) const { return agents_.at(name); }

  // Runs the loop until it holds; false if it doesn't within the limit.
  bool Until(const std::function<bool()>& holds, net::Time limit = 30s);
  void Run(net::Time span);

  // An agent's answer; nothing if it gives none.
  std::optional<Json> Ask(const std::string& agent, const Json& request);
  // Without waiting; the answer, if one comes, is in `answer` while the loop runs.
  void Send(const std::string& agent, const Json& request, std::optional<Json>* answer);
  // By whoever leads, found by asking around.
  Json AskLeader(const Json& request, net::Time limit = 20s);
  std::string Leader();
  // Under a name of its own: one that is asked twice, its answer lost, is begun once.
  Json Begin(const std::string& kind, std::vector<std::string> instances = {});
  Json Apply(const std::map<std::string, Json>& configs);  // the others as they are on disk
  Json Change() { return AskLeader({{"op", "change"}}); }
  std::string ChangeState();
  bool UntilOver(net::Time limit = 60s);
  // instance -> what its agent says of it; nothing of one that is unknown.
  std::map<std::string, Json> Beliefs();
  bool AllServe();

  // Relay processes of this group that are alive, by instance; more than one id is a second copy.
  std::map<std::string, std::vector<pid_t>> Relays() const;
  pid_t RelayPid(const std::string& instance) const;
  // Why it is in no known state: agents, processes, locks and control sockets disagree. Empty if all agree.
  std::string Disagreement();
  Json ConfigOf(const std::string& instance) const;
  // Stops the load and waits until nothing is owed; gives the sums.
  standin::Totals Settle(net::Time limit = 25s);
  std::string AgentLog(const std::string& name) const;
  int Ctl(const std::vector<std::string>& words, std::string* output);

  standin::Site site;
  std::string folder;
  net::Loop loop;
  standin::MessageTracker ledger;
  std::unique_ptr<standin::StubPlatform> platform;
  std::unique_ptr<standin::LoadGenerator> load;

 private:
  std::map<std::string, pid_t> agents_;
  int requests_ = 0;
  std::optional<tls::Identity> identity_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
};

}  // namespace oxbowspread::testing
