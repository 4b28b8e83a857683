#include "handover/handover_sender.hpp"

#include <utility>

namespace oxbowspread::handover {

std::vector<Outgoing> HandoverSender::Feed(const Packet& packet) {
  if (const auto* request = std::get_if<HandoverRequest>(&packet);
      request != nullptr && phase_ == Phase::kIdle) {
    if (request->version != kProtocolVersion) {
      return {{Refusal{"the serving process uses handover protocol version " +
                       std::to_string(kProtocolVersion) + ", not " + std::to_string(request->version)},
               -1}};
    }
    if (const auto reason = owner_.RefusalReason()) return {{Refusal{*reason}, -1}};
    return Offer();
  }
  if (std::holds_alternative<OfferAccepted>(packet) && phase_ == Phase::kOffered) {
    phase_ = Phase::kCompleted;
    // The ownership of this process ends before the packet is sent, so that two processes never own the state
    // at the same time.
    owner_.CompleteHandover();
    return {{OwnershipTransferred(), -1}};
  }
  if (const auto* cancel = std::get_if<CancelRequest>(&packet);
      cancel != nullptr && phase_ == Phase::kCompleted) {
    owner_.CancelAttempt(cancel->id);
    return {{CancelConfirmed{cancel->id}, -1}};
  }
  return {};
}

std::vector<Outgoing> HandoverSender::Offer() {
  phase_ = Phase::kOffered;
  const relay::HandoverState state = owner_.PrepareHandover();
  std::vector<Outgoing> outgoing;
  for (StateChunk& chunk : ToChunks(state)) outgoing.push_back({std::move(chunk), -1});
  const std::vector<client::ClientState> clients = owner_.Clients();
  for (const client::ClientState& client : clients) outgoing.push_back({ClientTransfer{client}, client.fd});
  outgoing.push_back({OfferComplete{clients.size()}, owner_.LockFd()});
  return outgoing;
}

void HandoverSender::OnChannelClosed() {
  if (phase_ == Phase::kOffered) phase_ = Phase::kIdle;
  if (phase_ == Phase::kCompleted) owner_.OnReceiverLost();
}

}  // namespace oxbowspread::handover
