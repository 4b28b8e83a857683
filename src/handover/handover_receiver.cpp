#include "handover/handover_receiver.hpp"

#include <stdexcept>
#include <utility>

namespace oxbowspread::handover {

std::optional<Packet> HandoverReceiver::Refuse(const std::string& refusal_reason) {
  phase_ = Phase::kRefused;
  refusal_reason_ = refusal_reason;
  return std::nullopt;
}

std::optional<Packet> HandoverReceiver::Feed(Packet packet, int fd) {
  if (const auto* refusal = std::get_if<Refusal>(&packet)) return Refuse(refusal->reason);
  if (phase_ == Phase::kReady && std::holds_alternative<OwnershipTransferred>(packet)) {
    phase_ = Phase::kOwner;
    return std::nullopt;
  }
  if (phase_ != Phase::kRequested && phase_ != Phase::kReceiving) return Refuse("unexpected handover packet");
  phase_ = Phase::kReceiving;
  if (const auto* chunk = std::get_if<StateChunk>(&packet)) {
    state_bytes_ += chunk->bytes;
    return std::nullopt;
  }
  if (auto* transfer = std::get_if<ClientTransfer>(&packet); transfer != nullptr && fd >= 0) {
    transfer->client.fd = fd;
    clients_.push_back(std::move(transfer->client));
    return std::nullopt;
  }
  const auto* offered = std::get_if<OfferComplete>(&packet);
  if (offered == nullptr || fd < 0) return Refuse("unexpected handover packet");
  lock_fd_ = fd;
  if (offered->clients != clients_.size())
    return Refuse("the number of transferred clients does not match the offer");
  try {
    state_ = FromChunks(std::exchange(state_bytes_, {}));
  } catch (const std::invalid_argument& e) {
    return Refuse(std::string("the handover state can't be parsed: ") + e.what());
  }
  phase_ = Phase::kReady;
  return OfferAccepted();
}

}  // namespace oxbowspread::handover
