// Sending side of a handover as a state machine without I/O: it is fed packets, returns the packets to send,
// and tells its owner when to give up ownership.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "handover/packets.hpp"

namespace oxbowspread::handover {

struct Outgoing {
  Packet packet;
  int fd = -1;  // sent with the packet; stays owned by the sender; -1 if none
};

// State machine of the process that hands over.
class HandoverSender {
 public:
  // The process that hands over.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Returns why no handover is possible now; nothing if one is.
    virtual std::optional<std::string> RefusalReason() const = 0;
    // Answers all waiting clients and returns the state. Until CompleteHandover the process must go on as if
    // nothing had happened.
    virtual relay::HandoverState PrepareHandover() = 0;
    virtual std::vector<client::ClientState> Clients() const = 0;
    // Descriptor of the lock of the state folder; stays owned by the process.
    virtual int LockFd() const = 0;
    // The receiver owns everything except the attempts in flight.
    virtual void CompleteHandover() = 0;
    // Cancels an attempt in flight without reporting its result.
    virtual void CancelAttempt(const std::string& id) = 0;
    // The process that took over has gone.
    virtual void OnReceiverLost() = 0;
  };

  enum class Phase {
    kIdle,     // no request received
    kOffered,  // everything is sent, but this process remains the owner whatever happens
    kCompleted
  };

  // `owner` must outlast this object.
  explicit HandoverSender(Owner& owner) : owner_(owner) {}

  // Processes a packet and returns the packets to send, in order. Unexpected packets are ignored.
  std::vector<Outgoing> Feed(const Packet& packet);
  // The channel has ended or timed out.
  void OnChannelClosed();
  Phase phase() const { return phase_; }

 private:
  std::vector<Outgoing> Offer();

  Owner& owner_;
  Phase phase_ = Phase::kIdle;
};

}  // namespace oxbowspread::handover
