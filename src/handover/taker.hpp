// The taking side up to the moment at which all is its own: fed packets, says what to answer. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "handover/record.hpp"

namespace oxbowspread::handover {

class Taker {
 public:
  enum class Phase {
    kAsked,      // no word yet
    kReceiving,  // pieces and clients come
    kReady,      // all is here and read, nothing of it is owned
    kOwner,
    kRefused  // the other goes on; `why` says so
  };

  // A packet with the descriptor beside it, or -1; what to answer, if anything. What doesn't belong here ends
  // in kRefused.
  std::optional<Packet> Feed(Packet packet, int fd);

  Phase phase() const { return phase_; }
  const std::string& why() const { return why_; }
  // Once owner. Descriptors are the caller's to close from the first Feed on, whatever the phase ends in.
  const relay::Estate& estate() const { return estate_; }
  const std::vector<client::Passed>& clients() const { return clients_; }
  int lock_fd() const { return lock_fd_; }

 private:
  std::optional<Packet> Refuse(const std::string& why);

  Phase phase_ = Phase::kAsked;
  std::string why_, bytes_;
  relay::Estate estate_;
  std::vector<client::Passed> clients_;
  int lock_fd_ = -1;
};

}  // namespace oxbowspread::handover
