// Handover server of the process that serves: listens for a process that wants to take over, hands over to
// it, and exchanges packets with it afterwards.
#pragma once

#include <optional>
#include <string>

#include "handover/channel.hpp"
#include "handover/handover_sender.hpp"
#include "net/loop.hpp"

namespace oxbowspread::handover {

// Runs HandoverSender over a Channel.
class HandoverServer {
 public:
  // Listens in the state folder. `owner` must outlast this object. Throws std::system_error if it can't
  // listen; no other function of this class throws.
  HandoverServer(net::Loop& loop, const std::string& folder, HandoverSender::Owner& owner);

  // Whether the state has been handed over.
  bool completed() const { return sender_.phase() == HandoverSender::Phase::kCompleted; }
  // Reports the result of an attempt that ended here. Only valid after the handover.
  void SendAttemptEnded(const std::string& id, const relay::AttemptResult& result);
  // Forwards an operator command that arrived here to the process that took over, and waits for its answer.
  // Returns nothing on success, otherwise the error. Only valid after the handover.
  std::optional<std::string> ForwardCommand(const std::string& command, const std::string& argument);

 private:
  // Maximum time until the receiver accepts the offer. This process serves nothing during that time, and
  // clients wait 400 ms for an answer.
  static constexpr Timeout kOfferTimeout{350};
  static constexpr Timeout kCommandTimeout{500};
  static constexpr net::Time kRequestTimeout = std::chrono::seconds(2);

  void OnConnect(Channel channel);
  void OnIo(ev::io&, int);
  void Feed(const Packet& packet);
  void CloseChannel();

  net::Loop& loop_;
  HandoverSender sender_;
  std::optional<Channel> channel_;
  std::optional<CommandResult> command_result_;
  ev::io io_;
  net::Timer timeout_timer_;
  std::optional<ChannelListener> listener_;
};

}  // namespace oxbowspread::handover
