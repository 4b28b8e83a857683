#include "handover/new_process.hpp"

#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace oxbowspread::handover {
namespace {

using namespace std::chrono_literals;

constexpr Timeout kPacketTimeout = 1s;  // maximum time until the next packet of the old process
constexpr auto kPollInterval = 20ms;    // interval between attempts to lock the folder
// Time after the deadline of a message during which the result from the old process is still awaited, because
// that result is more precise than a timeout.
constexpr net::Time kOldProcessGrace = 30ms;

// Closes all descriptors that were received.
void CloseAll(const HandoverReceiver& receiver) {
  for (const client::ClientState& client : receiver.client_states()) close(client.fd);
  if (receiver.lock_fd() >= 0) close(receiver.lock_fd());
}

// Requests the state of the old process. Returns nothing if that process has exited, has ended the exchange
// or was too slow; it has not transferred its ownership then. Throws HandoverRefused.
std::optional<StartupState> RequestHandover(Channel& channel) {
  HandoverReceiver receiver;
  if (!channel.Send(HandoverRequest{kProtocolVersion, getpid()})) return std::nullopt;
  while (receiver.phase() < HandoverReceiver::Phase::kOwner) {
    auto received = channel.Receive(kPacketTimeout);
    if (!received) break;
    const auto answer = receiver.Feed(std::move(received->packet), received->fd);
    if (answer && !channel.Send(*answer)) break;
  }
  if (receiver.phase() != HandoverReceiver::Phase::kOwner) {
    CloseAll(receiver);
    if (receiver.phase() == HandoverReceiver::Phase::kRefused)
      throw HandoverRefused(receiver.refusal_reason());
    return std::nullopt;
  }
  return StartupState{std::make_unique<journal::FolderLock>(receiver.lock_fd()), std::move(channel),
                      receiver.state(), receiver.TakeClientStates()};
}

}  // namespace

std::set<std::string> StartupState::InFlightIds() const {
  std::set<std::string> ids;
  for (const relay::InFlightAttempt& attempt : handover_state.in_flight) ids.insert(attempt.id);
  return ids;
}

StartupState AcquireState(const std::string& folder, Timeout timeout) {
  const net::Time until = net::Loop::Now() + timeout;
  // A refusal is kept until the timeout, because the old process may exit or be able to hand over before it.
  std::optional<HandoverRefused> refused;
  while (true) {
    try {
      StartupState startup_state;
      startup_state.folder_lock = std::make_unique<journal::FolderLock>(folder);
      return startup_state;
    } catch (const journal::FolderLocked&) {
      if (net::Loop::Now() >= until && refused) throw *refused;
      if (net::Loop::Now() >= until) throw;
    }
    if (auto channel = Channel::Connect(folder)) {
      try {
        if (auto state = RequestHandover(*channel)) return std::move(*state);
      } catch (const HandoverRefused& error) {
        refused = error;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

TakeoverTransport::TakeoverTransport(net::Loop& loop, relay::EndpointTransport& local,
                                     RetryAfterHandler on_retry_after, CommandHandler on_command)
    : local_(local),
      on_retry_after_(std::move(on_retry_after)),
      on_command_(std::move(on_command)),
      io_(loop.ref()),
      overdue_timer_(loop, [this] { EndOverdueAttempts(); }) {
  io_.set<TakeoverTransport, &TakeoverTransport::OnIo>(this);
}

void TakeoverTransport::TakeOver(Channel channel, const std::vector<relay::InFlightAttempt>& in_flight) {
  channel_.emplace(std::move(channel));
  for (const relay::InFlightAttempt& attempt : in_flight)
    remote_attempts_[attempt.id] = {attempt.host, attempt.message_deadline};
  io_.start(channel_->fd(), ev::READ);
  ScheduleOverdueCheck();
}

void TakeoverTransport::OnIo(ev::io&, int) {
  if (!channel_) return;
  if (auto received = channel_->Receive(Timeout(0))) {
    if (received->fd >= 0) close(received->fd);
    Feed(received->packet);
  }
  if (channel_ && channel_->ended()) OnChannelClosed();
}

void TakeoverTransport::Feed(const Packet& packet) {
  if (const auto* ended = std::get_if<AttemptEnded>(&packet))
    return EndRemoteAttempt(ended->id, ended->result);
  if (const auto* cancelled = std::get_if<CancelConfirmed>(&packet)) {
    return EndRemoteAttempt(cancelled->id, {wheathub::Outcome::kCancelled, false, relay::Time(0)});
  }
  if (const auto* request = std::get_if<OperatorCommand>(&packet)) {
    if (channel_) channel_->Send(handover::CommandResult{on_command_(request->command, request->argument)});
  }
}

void TakeoverTransport::EndRemoteAttempt(const std::string& id, const relay::AttemptResult& result) {
  const auto it = remote_attempts_.find(id);
  if (it == remote_attempts_.end()) return;
  const std::string host = it->second.host;
  remote_attempts_.erase(it);
  if (result.retry_after > relay::Time(0)) on_retry_after_(host, result.retry_after);
  relay_->AttemptEnded(relay_->FindAttempt(id), result);
}

// The old process ends its attempts at the deadlines of their messages. If it can't because it is suspended,
// this process ends them as timed out. The messages have ended by then and are not attempted again.
void TakeoverTransport::EndOverdueAttempts() {
  const net::Time now = net::Loop::Now();
  std::vector<std::string> overdue;
  for (const auto& [id, attempt] : remote_attempts_) {
    if (attempt.message_deadline > net::Time(0) && attempt.message_deadline + kOldProcessGrace <= now)
      overdue.push_back(id);
  }
  for (const std::string& id : overdue)
    EndRemoteAttempt(id, {wheathub::Outcome::kTimedOut, false, relay::Time(0)});
  ScheduleOverdueCheck();
}

void TakeoverTransport::ScheduleOverdueCheck() {
  net::Time next = net::Time::max();
  for (const auto& [id, attempt] : remote_attempts_) {
    if (attempt.message_deadline > net::Time(0)) next = std::min(next, attempt.message_deadline);
  }
  if (next < net::Time::max()) overdue_timer_.At(next + kOldProcessGrace);
}

// The old process has exited without reporting the results of these attempts, so they may have run.
void TakeoverTransport::OnChannelClosed() {
  io_.stop();
  channel_.reset();
  while (!remote_attempts_.empty()) {
    EndRemoteAttempt(std::string(remote_attempts_.begin()->first),
                     {wheathub::Outcome::kReset, false, relay::Time(0)});
  }
}

// Only a confirmation from the old process, or its exit, shows that the attempt's connection is closed. Until
// then the attempt stays in flight, no matter how long that takes, because a suspended process keeps its
// connections open. The next attempt of the message must not start, and no other attempt may use the slot.
bool TakeoverTransport::CancelAttempt(const relay::AttemptId& attempt) {
  if (remote_attempts_.count(attempt.id) == 0) return local_.CancelAttempt(attempt);
  if (channel_) channel_->Send(handover::CancelRequest{attempt.id});
  return false;
}

}  // namespace oxbowspread::handover
