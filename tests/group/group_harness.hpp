// Test harness that runs a whole group: the real agents and relays as separate processes, with stand-ins for
// all other services inside the test process.
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

// Size, load and limits of the group under test.
struct HarnessOptions {
  int instances = 5, agents = 3;
  double load_rate_per_s = 60;
  // The "limits" section of the group file, as YAML lines.
  std::string limits =
      "  most_out: 2\n  batch: 2\n  observe_for: 500ms\n  watch_for: 300ms\n  settle_within: 4s\n"
      "  ready_within: 20s\n  belief_age: 1500ms\n  most_deaths: 100\n";
  std::uint64_t seed = 1;
};

// Owns the group's temporary folder and its agent processes. Functions that wait run the event loop.
class GroupHarness {
 public:
  explicit GroupHarness(const HarnessOptions& options = {});
  // Kills each agent and relay of the group by its process id, then removes the folder.
  ~GroupHarness();
  GroupHarness(const GroupHarness&) = delete;
  GroupHarness& operator=(const GroupHarness&) = delete;

  // Starts an agent process with the usual and the extra arguments. Its output is appended to NAME.log in the
  // folder.
  void StartAgent(const std::string& name, std::vector<std::string> extra_arguments = {});
  // Starts all agents and waits until all instances serve and one agent leads.
  void StartAll();
  // Sends the signal to the agent; after SIGKILL and SIGTERM waits for its exit.
  void SignalAgent(const std::string& agent, int signal_number);
  // Whether the agent's process runs. Reaps the process if it has exited.
  bool IsAgentRunning(const std::string& name);
  pid_t agent_pid(const std::string& name) const { return agent_pids_.at(name); }

  // Runs the loop until the condition holds; returns false if it does not hold within the timeout.
  bool WaitUntil(const std::function<bool()>& condition, net::Time timeout = 30s);
  // Runs the event loop for the duration.
  void RunFor(net::Time duration);

  // Sends a request to the agent and waits; returns no value if the agent does not answer within 2 s.
  std::optional<Json> AskAgent(const std::string& agent, const Json& request);
  // Sends a request without waiting. If a response arrives while the loop runs, it is stored in `answer`,
  // which has to outlive the request.
  void SendRequest(const std::string& agent, const Json& request, std::optional<Json>* answer);
  // Sends the request to the leader, which it finds by asking the agents in turn. Returns an error answer if
  // no leader answers within the timeout.
  Json AskLeader(const Json& request, net::Time timeout = 20s);
  // Name of the agent that leads; empty if none does.
  std::string Leader();
  // Starts a change of all instances, or of the given ones. Each call has its own request id, so that a
  // request that is repeated after a lost answer starts the change only once.
  Json StartChange(const std::string& kind, std::vector<std::string> instances = {});
  // Starts a reconfiguration with these configurations. The other instances get their configuration on disk.
  Json StartReconfiguration(const std::map<std::string, Json>& configs);
  Json GetChange() { return AskLeader({{"op", "change"}}); }
  // State of the latest change; empty if there is none.
  std::string ChangeState();
  // Waits until the latest change is in a final state; returns false on timeout.
  bool WaitUntilFinished(net::Time timeout = 60s);
  // Status of each instance as its agent reports it; an instance whose state is unknown has no entry.
  std::map<std::string, Json> InstanceStatuses();
  bool AllServing();

  // Ids of the group's live relay processes by instance. More than one id means that the instance runs twice.
  std::map<std::string, std::vector<pid_t>> RelayProcesses() const;
  // Id of the instance's first relay process; 0 if none runs.
  pid_t RelayPid(const std::string& instance) const;
  // First inconsistency between agents, relay processes, folder locks and control sockets; empty if all
  // agree.
  std::string FindInconsistency();
  // The instance's configuration on disk.
  Json ConfigOf(const std::string& instance) const;
  // Stops the load, waits until no message is pending or the timeout has passed, and returns the totals.
  standin::Totals StopLoadAndWait(net::Time timeout = 25s);
  std::string AgentLog(const std::string& name) const;
  // Runs oxbowctl and returns its exit code, or -1 if a signal terminated it. `output` is set to its standard
  // output and standard error.
  int RunOxbowctl(const std::vector<std::string>& arguments, std::string* output);

  standin::Site site;
  std::string folder;
  net::Loop loop;
  standin::MessageTracker tracker;
  std::unique_ptr<standin::StubPlatform> platform;
  std::unique_ptr<standin::LoadGenerator> load;

 private:
  std::map<std::string, pid_t> agent_pids_;
  int request_count_ = 0;
  std::optional<tls::Identity> identity_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
};

}  // namespace oxbowspread::testing
