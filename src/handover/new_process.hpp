// Handover in the process that takes over: it acquires the state folder, with the state of the old process if
// there is one, and then handles the attempts that continue in the old process like its own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "handover/channel.hpp"
#include "handover/handover_receiver.hpp"
#include "journal/folder_lock.hpp"
#include "net/loop.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::handover {

// What a process acquires at its start: the lock of the state folder, and, unless the folder was free, the
// state of the process that hands over.
struct StartupState {
  std::unique_ptr<journal::FolderLock> folder_lock;
  // Connection to the old process. Empty if the folder was free; the other members are empty then too.
  std::optional<Channel> channel;
  relay::HandoverState handover_state;
  std::vector<client::ClientState> clients;

  // Returns the ids of the messages whose attempts continue in the old process.
  std::set<std::string> InFlightIds() const;
};

// Thrown if the old process refused to hand over.
class HandoverRefused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Locks the folder if it is free, or takes over from the process that holds its lock, within the timeout.
// If neither was possible, throws HandoverRefused if that process has refused, and journal::FolderLocked
// otherwise. Also throws std::system_error.
StartupState AcquireState(const std::string& folder, Timeout timeout);

// Endpoint transport of the process that took over. Runs new attempts through the local transport and
// represents the attempts that continue in the old process.
class TakeoverTransport final : public relay::EndpointTransport {
 public:
  using CommandHandler = std::function<std::string(const std::string& command, const std::string& argument)>;
  using RetryAfterHandler = std::function<void(const std::string& host, relay::Time wait)>;

  // `local` and the attached relay must outlast this object. `on_retry_after` is called when the old process
  // has received a Retry-After. `on_command` executes an operator command that arrived at the old process,
  // and returns an error text or an empty string.
  TakeoverTransport(net::Loop& loop, relay::EndpointTransport& local, RetryAfterHandler on_retry_after,
                    CommandHandler on_command);
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  // Sets the connection to the old process and the attempts that continue there. Must be called before
  // Relay::Recover, which receives the same attempts.
  void TakeOver(Channel channel, const std::vector<relay::InFlightAttempt>& in_flight);

  void ApplyRoutingChange(const relay::RoutingChange& change) override { local_.ApplyRoutingChange(change); }
  void StartAttempt(relay::AttemptRequest request) override { local_.StartAttempt(std::move(request)); }
  bool CancelAttempt(const relay::AttemptId& attempt) override;
  void CloseIdle(const std::string& host) override { local_.CloseIdle(host); }
  void SetListValidUntil(relay::Time valid_until) override { local_.SetListValidUntil(valid_until); }

 private:
  // An attempt in flight in the old process.
  struct RemoteAttempt {
    std::string host;
    relay::Time message_deadline{0};  // 0 if the old process did not send it
  };

  void OnIo(ev::io&, int);
  void Feed(const Packet& packet);
  void EndRemoteAttempt(const std::string& id, const relay::AttemptResult& result);
  void EndOverdueAttempts();
  void ScheduleOverdueCheck();
  void OnChannelClosed();

  relay::EndpointTransport& local_;
  RetryAfterHandler on_retry_after_;
  CommandHandler on_command_;
  relay::Relay* relay_ = nullptr;
  std::optional<Channel> channel_;
  std::map<std::string, RemoteAttempt> remote_attempts_;  // by message id
  ev::io io_;
  net::Timer overdue_timer_;
};

}  // namespace oxbowspread::handover
