// Leader election among the agents of a group, and one replicated register (the record of the group's change)
// that survives a change of the leader. It is a state machine without I/O or a clock of its own: the caller
// passes in messages and times and carries out the returned actions.
//
// The protocol is single-register Paxos with a leader lease. A candidate asks the agents to promise an epoch.
// An agent promises each epoch to one candidate only and then rejects all older epochs. A candidate with
// promises of a majority takes the newest register among the promises and proposes it under its own epoch. It
// leads only after a majority has accepted that register. Any two majorities share an agent, so a committed
// value is never lost. A leader that was replaced can commit nothing more, and agents that promised the newer
// epoch refuse its orders. A leader also steps down by itself when no majority has answered within the lease.
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

namespace oxbowspread::election {

// Microseconds of the monotonic clock.
using Time = std::chrono::microseconds;
using Epoch = std::uint64_t;

// The replicated value and its version, ordered by epoch and then by sequence number.
struct Register {
  Epoch epoch = 0;
  std::uint64_t seq = 0;
  std::string value;

  bool OlderThan(const Register& other) const {
    return std::pair(epoch, seq) < std::pair(other.epoch, other.seq);
  }
};

// State that an agent must have on disk before it sends any message that depends on it.
struct DurableState {
  // Highest epoch that this agent has promised, and the member to which it did.
  Epoch promised_epoch = 0;
  std::string promised_to;
  // Newest register that this agent has accepted.
  Register accepted;
};

nlohmann::json ToJson(const DurableState& durable);
// Throws nlohmann::json::exception if a field is missing or of the wrong type.
DurableState DurableStateFromJson(const nlohmann::json& json);

// A request between two agents, or the answer to one.
struct Message {
  enum class Kind {
    // Request: promise `epoch` to the sender.
    kPrepare,
    // Answer: the epoch is promised; `content` is the register that the sender has accepted.
    kPromise,
    // Answer: the epoch is promised to another member, or another member leads. `epoch` is the highest epoch
    // that the sender has promised.
    kReject,
    // Request: accept `content`. Without a value, the request is only the leader's heartbeat.
    kAccept,
    // Answer: the sender has accepted everything up to `content.seq`.
    kAccepted,
  };
  Kind kind = Kind::kPrepare;
  Epoch epoch = 0;
  // Number of the sender's request, repeated in the answer.
  std::uint64_t round = 0;
  bool has_value = false;
  Register content;
};

nlohmann::json ToJson(const Message& message);
// Throws nlohmann::json::exception if a field is missing, of the wrong type, or the kind is unknown.
Message MessageFromJson(const nlohmann::json& json);

// Intervals and timeouts of the protocol.
struct Timing {
  // Time between two heartbeats of a leader.
  Time heartbeat_interval{300'000};
  // A leader steps down when no majority has answered for this long, and a follower promises no other
  // candidate an epoch for this long after it heard from the leader.
  Time lease{1'500'000};
  // A follower that has heard from no leader for this long starts an election. A random delay of up to half
  // of it is added, so that the members rarely become candidates at the same time.
  Time election_timeout{2'500'000};
};

// ---- events ----

struct MessageReceived {
  std::string from;
  Message message;
};
// Proposes a new value for the register. Ignored unless this agent leads.
struct Propose {
  std::string value;
};
using Event = std::variant<MessageReceived, Propose>;

// ---- actions, to be carried out in order ----

// Writes the state to disk. Later actions must wait until it is on disk and are dropped if the write fails.
struct Persist {
  DurableState durable;
};
// Sends the message to the member `to`.
struct Send {
  std::string to;
  Message message;
};
// This agent has become the leader; `value` is the register's value.
struct BecameLeader {
  Epoch epoch = 0;
  std::string value;
};
// This agent no longer leads.
struct LostLeadership {
  std::string reason;
};
// A majority has accepted the proposal with this sequence number.
struct ValueCommitted {
  std::uint64_t seq = 0;
};
using Action = std::variant<Persist, Send, BecameLeader, LostLeadership, ValueCommitted>;

// The election and the register as seen by one agent. Not thread-safe.
class LeaderElection {
 public:
  // `members` includes `self`. `random_state` seeds the random delay of elections and may be any number.
  LeaderElection(std::string self, std::vector<std::string> members, Timing timing, DurableState durable,
                 std::uint64_t random_state);

  // Processes the events and the timers that are due. `now` must not decrease. To be called again at
  // wake_at() at the latest. Ignores messages from senders that are not members. Never fails.
  std::vector<Action> Step(Time now, const std::vector<Event>& events);
  Time wake_at() const { return wake_at_; }

  // Whether this agent leads and may send orders. The lease is checked on each call, so the result is correct
  // even if the process was suspended since the last step.
  bool IsLeader(Time now) const {
    return role_ == Role::kLeader && leadership_announced_ && now < LeaseEnd();
  }
  Epoch epoch() const { return durable_.promised_epoch; }
  // Name of the leader as far as this agent knows; empty if it has heard from none within the lease.
  std::string leader(Time now) const;
  const DurableState& durable() const { return durable_; }
  // Sequence number of the last Propose.
  std::uint64_t proposed_seq() const { return proposal_.seq; }

 private:
  enum class Role { kFollower, kCandidate, kLeader };

  Message AnswerRequest(Time now, const std::string& from, const Message& message,
                        std::vector<Action>* actions);
  void StartElection(Time now, std::vector<Action>* actions);
  void AssumeLeadership(Time now, std::vector<Action>* actions);
  void SendHeartbeats(Time now, std::vector<Action>* actions);
  // Accepts the proposal at this agent. Reports the leadership or the commit once a majority has accepted it.
  void AcceptProposal(std::vector<Action>* actions);
  void BecomeFollower(Time now, std::vector<Action>* actions, const std::string& reason);
  Time LeaseEnd() const;
  std::size_t majority() const { return members_.size() / 2 + 1; }
  Time NextElection(Time now);

  std::string self_;
  std::vector<std::string> members_;
  Timing timing_;
  DurableState durable_;
  std::uint64_t random_state_;
  Role role_ = Role::kFollower;
  // Whether BecameLeader was returned in this epoch.
  bool leadership_announced_ = false;
  Time election_at_{0}, heartbeat_at_{0}, wake_at_{0};
  // When the leader to which the epoch is promised was last heard from.
  Time leader_heard_at_{Time::min() / 2};
  bool started_ = false;
  std::uint64_t round_ = 0;
  // When the requests of each round were sent.
  std::map<std::uint64_t, Time> round_sent_at_;
  // For each member, when the newest request that it has answered was sent.
  std::map<std::string, Time> answered_request_sent_at_;
  // Sequence number of the register that each member has accepted in this epoch.
  std::map<std::string, std::uint64_t> accepted_seq_;
  std::map<std::string, Register> promises_;
  // The leader's register, whether or not a majority has accepted it yet.
  Register proposal_;
  std::uint64_t reported_committed_seq_ = 0;
  // Highest epoch seen in any message.
  Epoch highest_epoch_ = 0;
};

}  // namespace oxbowspread::election
