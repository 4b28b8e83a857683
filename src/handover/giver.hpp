// The giving side: fed packets, says what to send, and tells its owner when it has to let go. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "handover/record.hpp"

namespace oxbowspread::handover {

struct Outgoing {
  Packet packet;
  int fd = -1;  // beside it; stays the sender's
};

class Giver {
 public:
  // The process round it.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Why it can't give over now; nothing if it can.
    virtual std::optional<std::string> Unable() const = 0;
    // Everybody who waits has been answered; until Given it goes on as if nothing had been.
    virtual relay::Estate Freeze() = 0;
    virtual std::vector<client::Passed> Clients() const = 0;
    virtual int LockFd() const = 0;
    // It owns nothing any more but the attempts that are out.
    virtual void Given() = 0;
    virtual void CutAttempt(const std::string& id) = 0;
    // The process that all was given to has gone.
    virtual void Orphaned() = 0;
  };

  enum class Phase {
    kResting,  // nobody has asked
    kOffered,  // all is told, nothing given: whatever happens now, it stays the owner
    kGiven
  };

  // `owner` must outlast it.
  explicit Giver(Owner& owner) : owner_(owner) {}

  // What to send now, in order. Packets that don't belong here are passed over.
  std::vector<Outgoing> Feed(const Packet& packet);
  // The channel has ended, or took too long.
  void Lost();
  Phase phase() const { return phase_; }

 private:
  std::vector<Outgoing> Offer();

  Owner& owner_;
  Phase phase_ = Phase::kResting;
};

}  // namespace oxbowspread::handover
