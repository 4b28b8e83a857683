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
    StartOffer();
    return {};
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

void HandoverSender::StartOffer() {
  phase_ = Phase::kOffered;
  const std::vector<StateChunk> chunks = ToChunks(owner_.PrepareHandover());
  offer_ = Offer{{chunks.begin(), chunks.end()}, owner_.Clients(), 0};
}

std::optional<Outgoing> HandoverSender::NextOfOffer() {
  if (!offer_) return std::nullopt;
  if (!offer_->chunks.empty()) {
    Outgoing next{std::move(offer_->chunks.front()), -1};
    offer_->chunks.pop_front();
    return next;
  }
  if (offer_->sent_clients < offer_->clients.size()) {
    client::ClientState state = offer_->clients[offer_->sent_clients++]->ExportState();
    const int fd = state.fd;
    return Outgoing{ClientTransfer{std::move(state)}, fd};
  }
  const std::size_t client_count = offer_->clients.size();
  offer_.reset();
  return Outgoing{OfferComplete{client_count}, owner_.LockFd()};
}

void HandoverSender::OnChannelClosed() {
  offer_.reset();
  if (phase_ == Phase::kOffered) phase_ = Phase::kIdle;
  if (phase_ == Phase::kCompleted) owner_.OnReceiverLost();
}

}  // namespace oxbowspread::handover
