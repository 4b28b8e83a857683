// The agent of a host. It supervises the host's relays, takes part in the election of the leader and, as the
// leader, carries out the group's change. The agent does only the I/O; the state machines
// election::LeaderElection, change::Engine and supervise::Supervisor make the decisions.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "agent/log.hpp"
#include "agent/relay_controller.hpp"
#include "change/engine.hpp"
#include "control/server.hpp"
#include "election/leader_election.hpp"
#include "group/group.hpp"
#include "store/store.hpp"
#include "tls/session.hpp"

namespace oxbowspread::agent {

// Command-line options of the agent.
struct Options {
  std::string group_file;
  std::string name;           // name of this agent in the group file
  std::string folder;         // folder of this agent, for its store, sockets and default state folders
  std::string relay_program;  // path of the relay's executable
  bool json_log = false;
  int max_store_kb = 16 * 1024;  // size limit of the store in KiB
};

// One per process, used on the loop's thread only. Must be destroyed after its loop has stopped; all relays
// keep running.
class Agent {
 public:
  // Reads the group file, opens the store and the sockets, and supervises its instances as soon as the loop
  // runs. The loop must outlive the agent. Throws group::Error, store::Error, config::Error for an instance's
  // configuration file, std::runtime_error for the keys and std::system_error for a socket. The error texts
  // have one line. If the constructor throws, no relay was started.
  Agent(net::Loop& loop, const Options& options);
  // Writes the reason of the agent's exit to the log and the history. To be called before the loop is
  // stopped.
  void RecordShutdown(const std::string& reason);

 private:
  using Json = control::Json;
  // An answer that is sent after all earlier entries of the queue are carried out. `leading` is false if this
  // agent lost the leadership before.
  struct Reply {
    std::function<void(bool leading)> send;
  };
  // An entry of the queue of engine actions and pending replies, which are carried out in order. A
  // change::PersistRecord blocks the later entries until its record is committed. `seq` is the number of the
  // proposal of the record, 0 before the record is proposed.
  struct QueueEntry {
    std::variant<change::Action, Reply> content;
    std::uint64_t seq = 0;
  };

  // ---- requests; `from` is the name in the caller's certificate, empty for the local socket ----
  void HandleRequest(const Json& request, const control::Answer& answer);
  Json LocalStatus();
  Json HandleElectionMessage(const std::string& from, const Json& request);
  Json HandleOrder(const std::string& from, const Json& request);
  Json HandleOffer(const Json& request);
  Json HistoryAnswer(const Json& request);
  Json ChangeAnswer();
  // `unreachable` lists the agents that did not answer the recheck; null if there was no recheck yet.
  void BeginChange(const Json& request, const control::Answer& answer,
                   const std::set<std::string>* unreachable = nullptr);
  void OfferConfigs(const Json& request, const control::Answer& answer);
  void StartChange(change::Spec spec, const Json& request, const control::Answer& answer);
  Json DescribePlan(const change::Spec& spec);
  void HandleChangeCommand(const Json& request, const control::Answer& answer);
  Json NotLeadingAnswer();

  // ---- leading ----
  void StepElection(const std::vector<election::Event>& events, const std::string& sender = {},
                    Json* reply = nullptr);
  void StepEngine(std::vector<change::Event> events);
  void ProcessQueue();
  void AnswerWhenCommitted(const control::Answer& answer);
  void StopLeading();
  void SendOrder(const change::Order& order);
  void CollectStatus();
  // Requests the status of these agents' instances once more. Then calls `on_complete` with the agents that
  // did not answer.
  void RecheckAgents(const std::set<std::string>& agents,
                     const std::function<void(const std::set<std::string>& unreachable)>& on_complete);
  void ApplyLocalStatus(const Json& answer, net::Time requested_at);

  // Sends a request to the agent, which may be this one. `done` gets null and an error text on failure.
  void CallAgent(const std::string& name, Json request, control::Caller::Done done,
                 net::Time timeout = std::chrono::seconds(1));
  // Creates controllers for new instances of this agent and removes those of instances that are no longer in
  // the group file.
  void UpdateControllers();
  void CheckGroupFile();
  void RefreshKeys();
  change::ClockReading ReadClock() const;
  // The latest record of the change on this agent's disk. It may not be committed.
  std::optional<change::Record> StoredRecord() const;
  // Writes to the log and to the history; empty fields are left out.
  void RecordEvent(const std::string& change, const std::string& instance, const std::string& text,
                   const std::string& step = {});

  net::Loop& loop_;
  Options options_;
  group::Group group_;
  std::string group_text_, group_fault_;
  Log log_;
  std::unique_ptr<store::Store> store_;
  std::optional<tls::Identity> identity_;
  std::map<std::string, std::unique_ptr<RelayController>> controllers_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
  std::optional<election::LeaderElection> election_;
  std::optional<change::Engine> engine_;
  // The latest record that a majority has stored; valid only while this agent leads.
  std::optional<change::Record> committed_record_;
  election::Epoch leading_epoch_ = 0;
  net::Time leading_since_{0};
  std::deque<QueueEntry> queue_;
  // The configuration version of each instance's desired state, by instance.
  std::map<std::string, std::string> desired_versions_;
  std::map<std::string, bool> status_requested_;  // whether a status request is pending, by agent
  std::uint64_t refused_connections_ = 0, fenced_orders_ = 0;
  std::string keys_fault_;
  net::Timer election_timer_, collect_timer_, group_file_timer_;
  net::Signal child_signal_;
  std::unique_ptr<control::Server> local_server_, remote_server_;
};

}  // namespace oxbowspread::agent
