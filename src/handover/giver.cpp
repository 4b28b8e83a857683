#include "handover/giver.hpp"

#include <utility>

namespace oxbowspread::handover {

std::vector<Outgoing> Giver::Feed(const Packet& packet) {
  if (const auto* ask = std::get_if<Ask>(&packet); ask != nullptr && phase_ == Phase::kResting) {
    if (ask->version != kVersion) {
      return {{No{"it speaks version " + std::to_string(kVersion) + " of the handover, not " +
                  std::to_string(ask->version)},
               -1}};
    }
    if (const auto why = owner_.Unable()) return {{No{*why}, -1}};
    return Offer();
  }
  if (std::holds_alternative<Taken>(packet) && phase_ == Phase::kOffered) {
    phase_ = Phase::kGiven;
    // Before the word: at no moment do two own it.
    owner_.Given();
    return {{Yours(), -1}};
  }
  if (const auto* cut = std::get_if<Cut>(&packet); cut != nullptr && phase_ == Phase::kGiven) {
    owner_.CutAttempt(cut->id);
    return {{IsCut{cut->id}, -1}};
  }
  return {};
}

std::vector<Outgoing> Giver::Offer() {
  phase_ = Phase::kOffered;
  const relay::Estate estate = owner_.Freeze();
  std::vector<Outgoing> all;
  for (EstatePiece& piece : Pieces(estate)) all.push_back({std::move(piece), -1});
  const std::vector<client::Passed> clients = owner_.Clients();
  for (const client::Passed& client : clients) all.push_back({ClientPassed{client}, client.fd});
  all.push_back({Offered{clients.size()}, owner_.LockFd()});
  return all;
}

void Giver::Lost() {
  if (phase_ == Phase::kOffered) phase_ = Phase::kResting;
  if (phase_ == Phase::kGiven) owner_.Orphaned();
}

}  // namespace oxbowspread::handover
