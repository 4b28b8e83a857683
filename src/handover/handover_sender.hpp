// Sending side of a handover as a state machine without I/O: it processes received packets, returns the
// packets to send, and calls its owner when the ownership of the state ends.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "handover/packets.hpp"

namespace oxbowspread::handover {

// A packet to send, with the descriptor to send with it.
struct Outgoing {
  Packet packet;
  int fd = -1;  // sent with the packet; stays owned by the sender; -1 if none
};

// State machine of the process that hands over.
class HandoverSender {
 public:
  // Access to the state of the process that hands over.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Returns why no handover is possible now; nothing if one is.
    virtual std::optional<std::string> RefusalReason() const = 0;
    // Answers all waiting clients and returns the state. Until CompleteHandover is called, the process must
    // be able to continue to serve.
    virtual relay::HandoverState PrepareHandover() = 0;
    // Returns the connected clients. Their descriptors stay owned by the process.
    virtual std::vector<const client::Client*> Clients() const = 0;
    // Returns the descriptor of the lock of the state folder. It stays owned by the process.
    virtual int LockFd() const = 0;
    // Called when the receiver has accepted the offer: it now owns everything except the attempts in flight.
    virtual void CompleteHandover() = 0;
    // Cancels an attempt in flight without reporting its result.
    virtual void CancelAttempt(const std::string& id) = 0;
    // Called when the connection to the process that took over has ended.
    virtual void OnReceiverLost() = 0;
  };

  enum class Phase {
    kIdle,      // no request received
    kOffered,   // everything is sent, but this process remains the owner until the receiver accepts
    kCompleted  // the receiver is the owner
  };

  // `owner` must outlast this object.
  explicit HandoverSender(Owner& owner) : owner_(owner) {}

  // Processes a packet and returns the packets to send, in order. Unexpected packets are ignored.
  std::vector<Outgoing> Feed(const Packet& packet);
  // Returns the next packet of an offer, to be sent after those that Feed returned. Returns nothing if there
  // is none. A packet holds a copy of a part of the state, so that only one copy exists at a time. No client
  // may be served before all packets of the offer were returned or the channel was closed.
  std::optional<Outgoing> NextOfOffer();
  // Must be called when the channel has ended or timed out. Withdraws an offer that was not accepted.
  void OnChannelClosed();
  Phase phase() const { return phase_; }

 private:
  // The parts of an offer that are still to be sent.
  struct Offer {
    std::deque<StateChunk> chunks;
    std::vector<const client::Client*> clients;
    std::size_t sent_clients = 0;
  };

  void StartOffer();

  Owner& owner_;
  Phase phase_ = Phase::kIdle;
  std::optional<Offer> offer_;
};

}  // namespace oxbowspread::handover
