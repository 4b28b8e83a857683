#include "election/leader_election.hpp"

#include <algorithm>
#include <array>

namespace oxbowspread::election {
namespace {

using Json = nlohmann::json;
// Names of Message::Kind in the order of its enumerators; part of the protocol between agents.
constexpr std::array kKinds = {"claim", "promise", "deny", "keep", "kept"};

Json RegisterToJson(const Register& content, bool with_value) {
  Json json = {{"epoch", content.epoch}, {"seq", content.seq}};
  if (with_value) json["value"] = content.value;
  return json;
}
Register RegisterFromJson(const Json& json) {
  return {json.at("epoch"), json.at("seq"), json.value("value", std::string())};
}

}  // namespace

Json ToJson(const DurableState& durable) {
  return {{"promised", durable.promised_epoch},
          {"to", durable.promised_to},
          {"kept", RegisterToJson(durable.accepted, true)}};
}
DurableState DurableStateFromJson(const Json& json) {
  return {json.at("promised"), json.at("to"), RegisterFromJson(json.at("kept"))};
}

Json ToJson(const Message& message) {
  return {{"kind", kKinds[static_cast<std::size_t>(message.kind)]},
          {"epoch", message.epoch},
          {"round", message.round},
          {"has_value", message.has_value},
          {"kept", RegisterToJson(message.content, message.has_value)}};
}
Message MessageFromJson(const Json& json) {
  Message message;
  const std::string kind = json.at("kind");
  const auto it = std::find(kKinds.begin(), kKinds.end(), kind);
  if (it == kKinds.end()) throw Json::other_error::create(500, "kind: unknown", &json);
  message.kind = static_cast<Message::Kind>(it - kKinds.begin());
  message.epoch = json.at("epoch");
  message.round = json.at("round");
  message.has_value = json.at("has_value");
  message.content = RegisterFromJson(json.at("kept"));
  return message;
}

LeaderElection::LeaderElection(std::string self, std::vector<std::string> members, Timing timing,
                               DurableState durable, std::uint64_t random_state)
    : self_(std::move(self)),
      members_(std::move(members)),
      timing_(timing),
      durable_(std::move(durable)),
      random_state_(random_state),
      highest_epoch_(durable_.promised_epoch) {}

Time LeaderElection::NextElection(Time now) {
  // A linear congruential generator, so that the same seed gives the same delays.
  random_state_ = random_state_ * 6364136223846793005u + 1442695040888963407u;
  const auto max_delay = static_cast<std::uint64_t>(timing_.election_timeout.count()) / 2 + 1;
  return now + timing_.election_timeout + Time(static_cast<Time::rep>((random_state_ >> 33) % max_delay));
}

// The time until which a majority of agents certainly follows this one. It is computed from the times at
// which the requests were sent, not from those at which the answers arrived, because the lease that an agent
// grants may start at any time in between.
Time LeaderElection::LeaseEnd() const {
  std::vector<Time> times;
  for (const auto& [member, sent_at] : answered_request_sent_at_) times.push_back(sent_at);
  if (times.size() + 1 < majority()) return Time::min() / 2;
  if (majority() == 1) return Time::max();
  std::sort(times.rbegin(), times.rend());
  return times[majority() - 2] + timing_.lease;
}

std::string LeaderElection::leader(Time now) const {
  if (IsLeader(now)) return self_;
  return now - leader_heard_at_ < timing_.lease && durable_.promised_to != self_ ? durable_.promised_to
                                                                                 : std::string();
}

std::vector<Action> LeaderElection::Step(Time now, const std::vector<Event>& events) {
  std::vector<Action> actions;
  if (!std::exchange(started_, true)) {
    // The only member of a group leads at once. In a larger group an agent first waits for a leader's
    // message.
    election_at_ = members_.size() == 1 ? now : NextElection(now);
  }
  // Checked before any event: a leader whose process was suspended past its lease must not act on the
  // messages that arrived meanwhile.
  if (role_ == Role::kLeader && now >= LeaseEnd())
    BecomeFollower(now, &actions, "no majority of agents answered within the lease");
  for (const Event& event : events) {
    if (const auto* propose = std::get_if<Propose>(&event)) {
      if (!IsLeader(now)) continue;
      proposal_ = {durable_.promised_epoch, proposal_.seq + 1, propose->value};
      AcceptProposal(&actions);
      SendHeartbeats(now, &actions);
      continue;
    }
    const MessageReceived& received = std::get<MessageReceived>(event);
    if (std::find(members_.begin(), members_.end(), received.from) == members_.end()) continue;
    const Message& message = received.message;
    highest_epoch_ = std::max(highest_epoch_, message.epoch);
    switch (message.kind) {
      case Message::Kind::kPrepare:
      case Message::Kind::kAccept: {
        const Message answer = AnswerRequest(now, received.from, message, &actions);
        actions.push_back(Send{received.from, answer});
        break;
      }
      case Message::Kind::kReject:
        if (message.epoch > durable_.promised_epoch && role_ != Role::kFollower) {
          BecomeFollower(now, &actions,
                         "epoch " + std::to_string(message.epoch) + " was promised to another agent");
        }
        break;
      case Message::Kind::kPromise:
        if (role_ != Role::kCandidate || message.epoch != durable_.promised_epoch) break;
        promises_[received.from] = message.content;
        if (const auto sent = round_sent_at_.find(message.round); sent != round_sent_at_.end()) {
          answered_request_sent_at_[received.from] = sent->second;
        }
        if (promises_.size() >= majority()) AssumeLeadership(now, &actions);
        break;
      case Message::Kind::kAccepted: {
        if (role_ != Role::kLeader || message.epoch != durable_.promised_epoch) break;
        if (const auto sent = round_sent_at_.find(message.round); sent != round_sent_at_.end()) {
          Time& sent_at = answered_request_sent_at_.try_emplace(received.from, Time::min() / 2).first->second;
          sent_at = std::max(sent_at, sent->second);
        }
        if (message.content.epoch == durable_.promised_epoch)
          accepted_seq_[received.from] = std::max(accepted_seq_[received.from], message.content.seq);
        AcceptProposal(&actions);
        break;
      }
    }
  }
  if (role_ != Role::kLeader && now >= election_at_) StartElection(now, &actions);
  if (role_ == Role::kLeader && now >= heartbeat_at_) SendHeartbeats(now, &actions);
  wake_at_ = role_ == Role::kLeader ? heartbeat_at_ : election_at_;
  return actions;
}

Message LeaderElection::AnswerRequest(Time now, const std::string& from, const Message& message,
                                      std::vector<Action>* actions) {
  Message answer{Message::Kind::kReject, durable_.promised_epoch, message.round, false, {}};
  if (message.kind == Message::Kind::kPrepare) {
    const bool other_leads = now - leader_heard_at_ < timing_.lease && durable_.promised_to != from;
    if (message.epoch <= durable_.promised_epoch || other_leads || IsLeader(now)) return answer;
    if (role_ != Role::kFollower)
      BecomeFollower(now, actions, "promised epoch " + std::to_string(message.epoch));
    durable_.promised_epoch = message.epoch;
    durable_.promised_to = from;
    actions->push_back(Persist{durable_});
    election_at_ = NextElection(now);
    return {Message::Kind::kPromise, message.epoch, message.round, true, durable_.accepted};
  }
  if (message.epoch < durable_.promised_epoch ||
      (message.epoch == durable_.promised_epoch && durable_.promised_to != from))
    return answer;
  if (role_ != Role::kFollower)
    BecomeFollower(now, actions, from + " leads in epoch " + std::to_string(message.epoch));
  bool changed = message.epoch > durable_.promised_epoch;
  durable_.promised_epoch = message.epoch;
  durable_.promised_to = from;
  if (message.has_value && durable_.accepted.OlderThan(message.content)) {
    durable_.accepted = message.content;
    changed = true;
  }
  if (changed) actions->push_back(Persist{durable_});
  leader_heard_at_ = now;
  election_at_ = NextElection(now);
  return {Message::Kind::kAccepted,
          message.epoch,
          message.round,
          false,
          {durable_.accepted.epoch, durable_.accepted.seq, {}}};
}

void LeaderElection::StartElection(Time now, std::vector<Action>* actions) {
  role_ = Role::kCandidate;
  leadership_announced_ = false;
  durable_.promised_epoch = std::max(highest_epoch_, durable_.promised_epoch) + 1;
  durable_.promised_to = self_;
  highest_epoch_ = durable_.promised_epoch;
  promises_.clear();
  answered_request_sent_at_.clear();
  accepted_seq_.clear();
  round_sent_at_.clear();
  actions->push_back(Persist{durable_});
  promises_[self_] = durable_.accepted;
  election_at_ = NextElection(now);
  round_sent_at_[++round_] = now;
  for (const std::string& member : members_) {
    if (member == self_) continue;
    actions->push_back(Send{member, {Message::Kind::kPrepare, durable_.promised_epoch, round_, false, {}}});
  }
  if (promises_.size() >= majority()) AssumeLeadership(now, actions);
}

void LeaderElection::AssumeLeadership(Time now, std::vector<Action>* actions) {
  role_ = Role::kLeader;
  Register newest;
  for (const auto& [member, accepted] : promises_) {
    if (newest.OlderThan(accepted)) newest = accepted;
  }
  proposal_ = {durable_.promised_epoch, newest.seq + 1, newest.value};
  reported_committed_seq_ = proposal_.seq;
  AcceptProposal(actions);
  SendHeartbeats(now, actions);
}

void LeaderElection::AcceptProposal(std::vector<Action>* actions) {
  if (durable_.accepted.OlderThan(proposal_)) {
    durable_.accepted = proposal_;
    actions->push_back(Persist{durable_});
    accepted_seq_[self_] = proposal_.seq;
  }
  const auto count = std::count_if(accepted_seq_.begin(), accepted_seq_.end(),
                                   [&](const auto& entry) { return entry.second >= proposal_.seq; });
  if (static_cast<std::size_t>(count) < majority()) return;
  if (!std::exchange(leadership_announced_, true)) {
    actions->push_back(BecameLeader{durable_.promised_epoch, proposal_.value});
  } else if (reported_committed_seq_ < proposal_.seq) {
    reported_committed_seq_ = proposal_.seq;
    actions->push_back(ValueCommitted{proposal_.seq});
  }
}

void LeaderElection::SendHeartbeats(Time now, std::vector<Action>* actions) {
  heartbeat_at_ = now + timing_.heartbeat_interval;
  round_sent_at_[++round_] = now;
  // Answers to requests older than the last 64 rounds no longer extend the lease.
  while (round_sent_at_.size() > 64) round_sent_at_.erase(round_sent_at_.begin());
  for (const std::string& member : members_) {
    if (member == self_) continue;
    const bool lacks_value = accepted_seq_[member] < proposal_.seq;
    Message request{Message::Kind::kAccept, durable_.promised_epoch, round_, lacks_value, proposal_};
    actions->push_back(Send{member, request});
  }
}

void LeaderElection::BecomeFollower(Time now, std::vector<Action>* actions, const std::string& reason) {
  const bool was_leader = role_ == Role::kLeader && leadership_announced_;
  role_ = Role::kFollower;
  leadership_announced_ = false;
  election_at_ = NextElection(now);
  if (was_leader) actions->push_back(LostLeadership{reason});
}

}  // namespace oxbowspread::election
