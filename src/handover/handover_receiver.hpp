// Receiving side of a handover, up to the transfer of ownership, as a state machine without I/O: it processes
// received packets and returns the answers to send.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "handover/packets.hpp"

namespace oxbowspread::handover {

// State machine of the process that takes over.
class HandoverReceiver {
 public:
  enum class Phase {
    kRequested,  // request sent, nothing received
    kReceiving,  // receiving state chunks and clients
    kReady,      // everything has been received and parsed, but nothing is owned yet
    kOwner,      // the sender has transferred the ownership
    kRefused     // the sender continues to serve; see refusal_reason()
  };

  // Processes a packet with its descriptor, or -1; returns the answer to send, if any. An unexpected packet
  // leads to kRefused.
  std::optional<Packet> Feed(Packet packet, int fd);

  Phase phase() const { return phase_; }
  const std::string& refusal_reason() const { return refusal_reason_; }
  // The received state, which may be used only in phase kOwner. The caller owns the descriptors of the
  // clients and of the lock in any phase.
  const relay::HandoverState& state() const { return state_; }
  const std::vector<client::ClientState>& client_states() const { return clients_; }
  std::vector<client::ClientState> TakeClientStates() { return std::move(clients_); }
  int lock_fd() const { return lock_fd_; }

 private:
  std::optional<Packet> Refuse(const std::string& refusal_reason);

  Phase phase_ = Phase::kRequested;
  std::string refusal_reason_, state_bytes_;
  relay::HandoverState state_;
  std::vector<client::ClientState> clients_;
  int lock_fd_ = -1;
};

}  // namespace oxbowspread::handover
