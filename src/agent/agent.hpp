// The agent of a host: keeps its relays, takes part in choosing who leads, and, when it leads, runs the
// group's change. Thin: what is decided is decided by lead::LeaderElection, change::Engine and
// supervise::Keeper.
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
  std::string name;    // of this agent, as the group file has it
  std::string folder;  // its own
  std::string relay;   // the relay's program
  bool json_log = false;
  int store_kb = 16 * 1024;
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
  void Leave(const std::string& why);

 private:
  using Json = control::Json;
  struct Reply {
    std::function<void(bool led)> send;
  };
  // What a step of the engine leads to, in order; a Keep holds up what is behind it.
  struct Queued {
    std::variant<change::Action, Reply> what;
    std::uint64_t seq = 0;
  };

  // ---- requests; `from` is the certificate's name, empty at the local socket ----
  void Handle(const Json& request, const control::Answer& answer);
  Json Local();
  Json LeadMessage(const std::string& from, const Json& request);
  Json TakeOrder(const std::string& from, const Json& request);
  Json TakeOffer(const Json& request);
  Json TellHistory(const Json& request);
  Json TellChange();
  // `deaf`: the agents that didn't answer when looked for again; null if none was yet.
  void BeginChange(const Json& request, const control::Answer& answer,
                   const std::set<std::string>* deaf = nullptr);
  void Offer(const Json& request, const control::Answer& answer);
  void Launch(change::Spec spec, const Json& request, const control::Answer& answer);
  Json Plan(const change::Spec& spec);
  void SayWord(const Json& request, const control::Answer& answer);
  Json NotLeading();

  // ---- leading ----
  void StepLead(const std::vector<lead::Event>& events, const std::string& asker = {}, Json* reply = nullptr);
  void StepEngine(std::vector<change::Event> events);
  void Drain();
  void AnswerWhenKept(const control::Answer& answer);
  void LeadNoMore();
  void GiveOrder(const change::Order& order);
  void Gather();
  // Asks these agents for their instances once more, and goes on with those that didn't answer.
  void LookAgain(const std::set<std::string>& agents,
                 const std::function<void(const std::set<std::string>& deaf)>& then);
  void TakeLocal(const Json& answer, net::Time asked);

  void AskAgent(const std::string& name, Json request, control::Caller::Done done,
                net::Time limit = std::chrono::seconds(1));
  void KeepHands();
  void LookAtGroup();
  void CheckKeys();
  change::ClockReading NowMoment() const;
  std::optional<change::Record> KeptRecord() const;
  void Note(const std::string& change, const std::string& instance, const std::string& text,
            const std::string& step = {});

  net::Loop& loop_;
  Options options_;
  group::Group group_;
  std::string group_text_, group_refused_;
  Log log_;
  std::unique_ptr<store::Store> store_;
  std::optional<tls::Identity> identity_;
  std::map<std::string, std::unique_ptr<Hand>> hands_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
  std::optional<lead::LeaderElection> lead_;
  std::optional<change::Engine> engine_;
  std::optional<change::Record> on_record_;  // what most have of the engine's, while this one leads
  lead::Epoch leads_in_ = 0;
  net::Time leads_since_{0};
  std::deque<Queued> queue_;
  std::map<std::string, std::string> wanted_;  // version that each instance is to run by, as its agent says
  std::map<std::string, bool> asking_;         // agents whose word on their instances is under way
  std::uint64_t refused_connections_ = 0, fenced_ = 0;
  std::string keys_fault_;
  net::Timer lead_wake_, gather_, group_look_;
  net::Signal child_;
  std::unique_ptr<control::Server> local_, remote_;
};

}  // namespace oxbowspread::agent
