// One relay of this host: carries out what its keeper says, on processes, files and the relay's control
// socket.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/server.hpp"
#include "group/group.hpp"
#include "net/loop.hpp"
#include "store/store.hpp"
#include "supervise/keeper.hpp"

namespace oxbowspread::agent {

struct Places {
  std::string folder;  // the agent's own: run/ and state/ stand below it
  std::string relay;   // the relay's program
};

class Hand {
 public:
  using Note = std::function<void(const std::string& instance, const std::string& text)>;

  // Looks for a relay that runs already once the loop runs; nothing is thrown or ended here or by the
  // destructor. `desired` must be in the store; loop and store must outlive it. `note` is called from the
  // loop.
  Hand(net::Loop& loop, std::string instance, const Places& places, store::Store& store,
       const supervise::Desired& desired, Note note);

  // On disk when it returns. Throws store::Error, and then nothing has changed. An empty stamp leaves the one
  // there is.
  void Order(supervise::Desired desired);
  std::optional<change::Belief> Tell() const { return keeper_.CurrentBelief(instance_, net::Loop::Now()); }
  const supervise::Supervisor& keeper() const { return keeper_; }
  // The process may have ended: a child of ours told so, or it is time to look.
  void CheckAlive();

 private:
  void Step(std::vector<supervise::Event> events);
  void Do(const supervise::FindProcess&);
  void Do(const supervise::Spawn& spawn);
  void Do(const supervise::QueryStatus&);
  void Do(const supervise::SendCommand& ask);
  void Do(const supervise::SendSignal& signal);
  void Do(const supervise::RecordEvent& note) { note_(instance_, note.text); }
  void LookAtSocket(std::int64_t holder);
  void Adopt(std::int64_t pid);
  // On record as far as the store takes it: lock and control socket speak for it too.
  void Remember(std::int64_t pid, bool child);
  // Writes the configuration that the stamp names where the relay reads it. Throws.
  void WriteConfig(const std::string& stamp);
  std::string StateFolder() const;
  std::string path(const char* ending) const { return places_.folder + "/run/" + instance_ + ending; }

  net::Loop& loop_;
  std::string instance_;
  Places places_;
  store::Store& store_;
  Note note_;
  supervise::Supervisor keeper_;
  store::RunningProcess running_;
  bool child_ = false;
  bool polling_ = false;
  std::string told_;  // what the last look found in the way
  control::Caller relay_;
  net::Timer wake_, alive_;
};

}  // namespace oxbowspread::agent
