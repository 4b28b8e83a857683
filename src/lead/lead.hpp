// Who runs the group's change, and the one record that must outlast it: a leader by promises of most agents,
// and a register that is kept when most agents have it. No clock, socket or disk: fed messages and moments.
//
// A claimant asks for an epoch; an agent promises each epoch to one claimant, and from then on takes part in
// no older one. With promises of most, the claimant takes over the youngest register among theirs, has it
// kept under its own epoch, and only then leads. Any two majorities share an agent, so a record that was kept
// is never lost, and of two leaders the older can keep nothing more and its orders are refused wherever the
// newer was promised. A leader also stops by itself when most have been silent for the lease.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oxbowspread::lead {

using Time = std::chrono::microseconds;  // monotonic
using Epoch = std::uint64_t;

struct Register {
  Epoch epoch = 0;
  std::uint64_t seq = 0;
  std::string value;

  bool OlderThan(const Register& other) const {
    return std::pair(epoch, seq) < std::pair(other.epoch, other.seq);
  }
};

// What an agent must have on disk before it tells anybody of it.
struct Durable {
  Epoch promised = 0;
  std::string promised_to;
  Register kept;
};

nlohmann::json ToJson(const Durable& durable);
Durable DurableFrom(const nlohmann::json& json);  // throws nlohmann::json::exception

struct Message {
  enum class Kind {
    kClaim,    // may I lead in this epoch?
    kPromise,  // yes, and this is what I have kept
    kDeny,     // no: promised to another, or there is a leader; `epoch` is the highest promised
    kKeep,     // keep this; also the leader's sign of life, then without a value
    kKept,     // I have it up to `kept.seq`
  };
  Kind kind = Kind::kClaim;
  Epoch epoch = 0;
  std::uint64_t round = 0;  // of the sender's question, told again in the answer
  bool has_value = false;
  Register kept;
};

nlohmann::json ToJson(const Message& message);
Message MessageFrom(const nlohmann::json& json);  // throws nlohmann::json::exception

struct Timing {
  Time beat{300'000};     // between signs of life
  Time lease{1'500'000};  // without most agents a leader stops; also, for so long a follower waits for it
  Time claim_after{2'500'000};  // of silence, and up to half as much more by chance
};

struct Got {
  std::string from;
  Message message;
};
struct Propose {
  std::string value;
};  // by whoever leads; passed over otherwise
using Event = std::variant<Got, Propose>;

// In order; what follows a Persist must wait until it is on disk, and is dropped if the disk doesn't take it.
struct Persist {
  Durable durable;
};
struct Send {
  std::string to;
  Message message;
};
struct Leads {
  Epoch epoch = 0;
  std::string value;
};  // from now on, with the register as it stands
struct Stopped {
  std::string why;
};  // leads no more
struct ValueKept {
  std::uint64_t seq = 0;
};  // most have the value of that Propose, counted by seq
using Action = std::variant<Persist, Send, Leads, Stopped, ValueKept>;

class Lead {
 public:
  // `members` holds `self`. `dice` spreads claims and is any number.
  Lead(std::string self, std::vector<std::string> members, Timing timing, Durable durable,
       std::uint64_t dice);

  // `now` never goes back. To be called again at wake_at() at the latest. Messages of who is no member are
  // passed over. Never fails.
  std::vector<Action> Step(Time now, const std::vector<Event>& events);
  Time wake_at() const { return wake_at_; }

  // Whether orders may be given just now: the lease is looked at anew, however long the caller was stopped.
  bool Leading(Time now) const { return role_ == Role::kLeader && led_ && now < LeaseEnd(); }
  Epoch epoch() const { return durable_.promised; }
  // Who leads as far as is known; empty if nobody is heard of.
  std::string leader(Time now) const;
  const Durable& durable() const { return durable_; }
  // The sequence number that the last Propose got.
  std::uint64_t proposed() const { return wanted_.seq; }

 private:
  enum class Role { kFollower, kClaimant, kLeader };

  void Take(Time now, const Got& got);
  Message Answer(Time now, const std::string& from, const Message& message, std::vector<Action>* actions);
  void Claim(Time now, std::vector<Action>* actions);
  void TakeLead(Time now, std::vector<Action>* actions);
  void Beat(Time now, std::vector<Action>* actions);
  void Keep(std::vector<Action>* actions);
  void Follow(Time now, std::vector<Action>* actions, const std::string& why);
  Time LeaseEnd() const;
  std::size_t most() const { return members_.size() / 2 + 1; }
  Time ClaimAt(Time now);

  std::string self_;
  std::vector<std::string> members_;
  Timing timing_;
  Durable durable_;
  std::uint64_t dice_;
  Role role_ = Role::kFollower;
  bool led_ = false;  // Leads has been said in this epoch
  Time claim_at_{0}, beat_at_{0}, wake_at_{0};
  Time heard_{Time::min() / 2};  // the leader that was promised
  bool started_ = false;
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, Time> asked_;       // when each round went out
  std::map<std::string, Time> answered_;      // the youngest round each answered, by when it went out
  std::map<std::string, std::uint64_t> has_;  // the register's seq at each, in this epoch
  std::map<std::string, Register> promises_;
  Register wanted_;  // the leader's register, kept by most or not yet
  std::uint64_t told_kept_ = 0;
  Epoch seen_ = 0;
};

}  // namespace oxbowspread::lead
