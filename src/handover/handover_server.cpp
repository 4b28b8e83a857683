#include "handover/handover_server.hpp"

#include <unistd.h>

#include <utility>

namespace oxbowspread::handover {

HandoverServer::HandoverServer(net::Loop& loop, const std::string& folder, HandoverSender::Owner& owner)
    : loop_(loop), sender_(owner), io_(loop.ref()), timeout_timer_(loop, [this] { CloseChannel(); }) {
  io_.set<HandoverServer, &HandoverServer::OnIo>(this);
  listener_.emplace(loop, folder, [this](Channel channel) { OnConnect(std::move(channel)); });
}

void HandoverServer::OnConnect(Channel channel) {
  if (channel_) return;  // one handover at a time: another process is disconnected and has to try again
  channel_.emplace(std::move(channel));
  io_.start(channel_->fd(), ev::READ);
  timeout_timer_.After(kRequestTimeout);
}

void HandoverServer::OnIo(ev::io&, int) {
  if (!channel_) return;
  if (const auto received = channel_->Receive(Timeout(0))) {
    if (received->fd >= 0) close(received->fd);
    Feed(received->packet);
  }
  if (channel_ && channel_->ended()) CloseChannel();
}

void HandoverServer::Feed(const Packet& packet) {
  if (const auto* result = std::get_if<CommandResult>(&packet)) command_result_ = *result;
  const std::vector<Outgoing> outgoing = sender_.Feed(packet);
  if (completed()) {
    // This process must stop listening before the packet is sent, because the receiver listens at the same
    // path as soon as it has received the packet.
    timeout_timer_.Stop();
    listener_.reset();
  }
  for (const Outgoing& next : outgoing) {
    if (!channel_->Send(next.packet, next.fd)) return CloseChannel();
  }
  while (const std::optional<Outgoing> next = sender_.NextOfOffer()) {
    if (!channel_->Send(next->packet, next->fd)) return CloseChannel();
  }
  if (sender_.phase() == HandoverSender::Phase::kOffered) {
    // Nothing else may be processed here until the receiver has accepted the offer or failed to.
    const auto answer = channel_->Receive(kOfferTimeout);
    if (!answer || !std::holds_alternative<OfferAccepted>(answer->packet)) return CloseChannel();
    Feed(answer->packet);
  }
}

void HandoverServer::CloseChannel() {
  io_.stop();
  timeout_timer_.Stop();
  channel_.reset();
  sender_.OnChannelClosed();
}

void HandoverServer::SendAttemptEnded(const std::string& id, const relay::AttemptResult& result) {
  if (channel_ && !channel_->Send(AttemptEnded{id, result})) CloseChannel();
}

std::optional<std::string> HandoverServer::ForwardCommand(const std::string& command,
                                                          const std::string& argument) {
  const std::string no_answer = "another process has taken over and does not answer";
  command_result_.reset();
  if (!channel_ || !channel_->Send(handover::OperatorCommand{command, argument})) return no_answer;
  const net::Time until = net::Loop::Now() + kCommandTimeout;
  while (!command_result_ && channel_ && net::Loop::Now() < until) {
    const auto received = channel_->Receive(Timeout(20));
    if (received) Feed(received->packet);
    if (channel_ && channel_->ended()) CloseChannel();
  }
  if (!command_result_) return no_answer;
  return command_result_->error.empty() ? std::nullopt : std::optional(command_result_->error);
}

}  // namespace oxbowspread::handover
