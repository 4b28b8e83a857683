#include "handover/taker.hpp"

#include <stdexcept>
#include <utility>

namespace oxbowspread::handover {

std::optional<Packet> Taker::Refuse(const std::string& why) {
  phase_ = Phase::kRefused;
  why_ = why;
  return std::nullopt;
}

std::optional<Packet> Taker::Feed(Packet packet, int fd) {
  if (const auto* no = std::get_if<No>(&packet)) return Refuse(no->why);
  if (phase_ == Phase::kReady && std::holds_alternative<Yours>(packet)) {
    phase_ = Phase::kOwner;
    return std::nullopt;
  }
  if (phase_ != Phase::kAsked && phase_ != Phase::kReceiving) return Refuse("a packet out of turn");
  phase_ = Phase::kReceiving;
  if (const auto* piece = std::get_if<EstatePiece>(&packet)) {
    bytes_ += piece->bytes;
    return std::nullopt;
  }
  if (auto* passed = std::get_if<ClientPassed>(&packet); passed != nullptr && fd >= 0) {
    passed->client.fd = fd;
    clients_.push_back(std::move(passed->client));
    return std::nullopt;
  }
  const auto* offered = std::get_if<Offered>(&packet);
  if (offered == nullptr || fd < 0) return Refuse("a packet out of turn");
  lock_fd_ = fd;
  if (offered->clients != clients_.size()) return Refuse("clients are missing");
  try {
    estate_ = FromPieces(bytes_);
  } catch (const std::invalid_argument& e) {
    return Refuse(std::string("the estate can't be read: ") + e.what());
  }
  phase_ = Phase::kReady;
  return Taken();
}

}  // namespace oxbowspread::handover
