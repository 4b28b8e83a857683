// The agent of a host: keeps its relays, takes part in choosing who leads, and, when it leads, runs the
// group's change. Thin: what is decided is decided by lead::Lead, change::Engine and supervise::Supervisor.
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

#include "agent/hand.hpp"
#include "agent/log.hpp"
#include "change/engine.hpp"
#include "control/server.hpp"
#include "group/group.hpp"
#include "lead/lead.hpp"
#include "store/store.hpp"
#include "tls/session.hpp"

namespace oxbowspread::agent {

struct Options {
  std::string group_file;
  std::string name;           // of this agent, as the group file has it
  std::string folder;         // its own
  std::string relay_program;  // the relay's program
  bool json_log = false;
  int max_store_kb = 16 * 1024;
};

// One per process. It is destroyed after its loop has ended, and leaves all relays running.
class Agent {
 public:
  // Reads the group file, opens store and sockets, and begins to keep its instances as soon as the loop runs.
  // The loop must outlive it. Throws, in one line that names the fault: group::Error, store::Error,
  // config::Error of an instance's file, std::runtime_error of the keys, std::system_error of a socket;
  // nothing was started then.
  Agent(net::Loop& loop, const Options& options);
  // Writes in log and history that the agent ends and why; to be called before the loop is stopped.
  void RecordShutdown(const std::string& reason);

 private:
  using Json = control::Json;
  struct Reply {
    std::function<void(bool leading)> send;
  };
  // What a step of the engine leads to, in order; a Keep holds up what is behind it.
  struct Queued {
    std::variant<change::Action, Reply> content;
    std::uint64_t seq = 0;
  };

  // ---- requests; `from` is the certificate's name, empty at the local socket ----
  void HandleRequest(const Json& request, const control::Answer& answer);
  Json LocalStatus();
  Json HandleLeadMessage(const std::string& from, const Json& request);
  Json HandleOrder(const std::string& from, const Json& request);
  Json HandleOffer(const Json& request);
  Json HistoryAnswer(const Json& request);
  Json ChangeAnswer();
  // `deaf`: the agents that didn't answer when looked for again; null if none was yet.
  void BeginChange(const Json& request, const control::Answer& answer,
                   const std::set<std::string>* unreachable = nullptr);
  void OfferConfigs(const Json& request, const control::Answer& answer);
  void StartChange(change::Spec spec, const Json& request, const control::Answer& answer);
  Json DescribePlan(const change::Spec& spec);
  void HandleChangeCommand(const Json& request, const control::Answer& answer);
  Json NotLeadingAnswer();

  // ---- leading ----
  void StepLead(const std::vector<lead::Event>& events, const std::string& sender = {},
                Json* reply = nullptr);
  void StepEngine(std::vector<change::Event> events);
  void ProcessQueue();
  void AnswerWhenStored(const control::Answer& answer);
  void StopLeading();
  void SendOrder(const change::Order& order);
  void CollectStatus();
  // Asks these agents for their instances once more, and goes on with those that didn't answer.
  void RecheckAgents(const std::set<std::string>& agents,
                     const std::function<void(const std::set<std::string>& unreachable)>& then);
  void ApplyLocalStatus(const Json& answer, net::Time requested_at);

  void CallAgent(const std::string& name, Json request, control::Caller::Done done,
                 net::Time limit = std::chrono::seconds(1));
  void UpdateControllers();
  void CheckGroupFile();
  void RefreshKeys();
  change::Moment CurrentMoment() const;
  std::optional<change::Record> StoredRecord() const;
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
  std::optional<lead::Lead> lead_;
  std::optional<change::Engine> engine_;
  std::optional<change::Record> stored_record_;  // what most have of the engine's, while this one leads
  lead::Epoch leading_epoch_ = 0;
  net::Time leading_since_{0};
  std::deque<Queued> queue_;
  std::map<std::string, std::string>
      desired_versions_;  // version that each instance is to run by, as its agent says
  std::map<std::string, bool> status_requested_;  // agents whose word on their instances is under way
  std::uint64_t refused_connections_ = 0, fenced_orders_ = 0;
  std::string keys_fault_;
  net::Timer lead_timer_, collect_timer_, group_file_timer_;
  net::Signal child_signal_;
  std::unique_ptr<control::Server> local_server_, remote_server_;
};

}  // namespace oxbowspread::agent
