// Controls one relay of this host. Carries out the actions of the relay's supervise::Supervisor with
// processes, files and the relay's control socket, and passes the results to the supervisor as events.
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
#include "supervise/supervisor.hpp"

namespace oxbowspread::agent {

// Paths of a controller's files and of the relay program.
struct Paths {
  std::string agent_folder;   // the agent's folder, which contains run/ and state/
  std::string relay_program;  // path of the relay's executable
};

// Keeps one relay instance in its desired state. To be used on the loop's thread only.
class RelayController {
 public:
  // Writes an event of the instance to the log and to the history.
  using EventRecorder = std::function<void(const std::string& instance, const std::string& text)>;

  // Searches for an already running relay as soon as the loop runs. The destructor leaves the relay running.
  // `desired` must be in the store already. The loop and the store must outlive the controller.
  // `record_event` is called on the loop's thread.
  RelayController(net::Loop& loop, std::string instance, const Paths& paths, store::Store& store,
                  const supervise::Desired& desired, EventRecorder record_event);

  // Stores and applies a new desired state, which is on disk when the call returns. An empty stamp keeps the
  // present stamp and reload flag. Throws store::Error, without any change, if the state can't be stored.
  void SetDesired(supervise::Desired desired);
  // See supervise::Supervisor::CurrentStatus.
  std::optional<change::InstanceStatus> CurrentStatus() const {
    return supervisor_.CurrentStatus(instance_, net::Loop::Now());
  }
  const supervise::Supervisor& supervisor() const { return supervisor_; }
  // Checks whether the relay's process has exited. To be called after a SIGCHLD; a timer calls it too,
  // because an adopted process is not a child of the agent.
  void CheckAlive();

 private:
  void Step(std::vector<supervise::Event> events);
  void Execute(const supervise::FindProcess&);
  void Execute(const supervise::Spawn& spawn);
  void Execute(const supervise::QueryStatus&);
  void Execute(const supervise::SendCommand& command);
  void Execute(const supervise::SendSignal& signal);
  void Execute(const supervise::RecordEvent& event) { record_event_(instance_, event.text); }
  void QueryLockHolder(std::int64_t holder);
  void Adopt(std::int64_t pid);
  // Writes the process to the store. A failure is only reported: the process can also be found again by its
  // folder lock and its control socket.
  void RecordProcess(std::int64_t pid, bool is_child);
  // Writes the configuration version of the stamp to the file that the relay reads. Throws
  // std::exception if the version is not in the store or the file can't be written.
  void WriteConfig(const std::string& stamp);
  // The relay's state folder: the one set in its configuration, or else the default under state/.
  std::string StateFolder() const;
  // Path of a file of this instance under run/.
  std::string RunPath(const char* ending) const { return paths_.agent_folder + "/run/" + instance_ + ending; }

  net::Loop& loop_;
  std::string instance_;
  Paths paths_;
  store::Store& store_;
  EventRecorder record_event_;
  supervise::Supervisor supervisor_;
  store::RunningProcess running_;
  bool is_child_ = false;  // whether the process was started by this agent and must be reaped
  bool status_pending_ = false;
  std::string reported_obstacle_;  // last reported reason why the search has no result yet
  control::Caller relay_caller_;
  net::Timer step_timer_, liveness_timer_;
};

}  // namespace oxbowspread::agent
