#include "lead/lead.hpp"

#include <algorithm>
#include <array>

namespace oxbowspread::lead {
namespace {

using Json = nlohmann::json;
constexpr std::array kKinds = {"claim", "promise", "deny", "keep", "kept"};

Json RegisterJson(const Register& r, bool value) {
  Json json = {{"epoch", r.epoch}, {"seq", r.seq}};
  if (value) json["value"] = r.value;
  return json;
}
Register RegisterFrom(const Json& json) {
  return {json.at("epoch"), json.at("seq"), json.value("value", std::string())};
}

}  // namespace

Json ToJson(const Durable& d) {
  return {{"promised", d.promised}, {"to", d.promised_to}, {"kept", RegisterJson(d.kept, true)}};
}
Durable DurableFrom(const Json& json) {
  return {json.at("promised"), json.at("to"), RegisterFrom(json.at("kept"))};
}

Json ToJson(const Message& m) {
  return {{"kind", kKinds[static_cast<std::size_t>(m.kind)]},
          {"epoch", m.epoch},
          {"round", m.round},
          {"has_value", m.has_value},
          {"kept", RegisterJson(m.kept, m.has_value)}};
}
Message MessageFrom(const Json& json) {
  Message m;
  const std::string kind = json.at("kind");
  const auto it = std::find(kKinds.begin(), kKinds.end(), kind);
  if (it == kKinds.end()) throw Json::other_error::create(500, "kind: unknown", &json);
  m.kind = static_cast<Message::Kind>(it - kKinds.begin());
  m.epoch = json.at("epoch");
  m.round = json.at("round");
  m.has_value = json.at("has_value");
  m.kept = RegisterFrom(json.at("kept"));
  return m;
}

Lead::Lead(std::string self, std::vector<std::string> members, Timing timing, Durable durable,
           std::uint64_t dice)
    : self_(std::move(self)),
      members_(std::move(members)),
      timing_(timing),
      durable_(std::move(durable)),
      dice_(dice),
      seen_(durable_.promised) {}

Time Lead::ClaimAt(Time now) {
  dice_ = dice_ * 6364136223846793005u + 1442695040888963407u;
  const auto spread = static_cast<std::uint64_t>(timing_.claim_after.count()) / 2 + 1;
  return now + timing_.claim_after + Time(static_cast<Time::rep>((dice_ >> 33) % spread));
}

// The moment up to which most agents are known to follow: by when they were asked, never by when they
// answered.
Time Lead::LeaseEnd() const {
  std::vector<Time> times;
  for (const auto& [member, at] : answered_) times.push_back(at);
  if (times.size() + 1 < most()) return Time::min() / 2;
  if (most() == 1) return Time::max();
  std::sort(times.rbegin(), times.rend());
  return times[most() - 2] + timing_.lease;
}

std::string Lead::leader(Time now) const {
  if (Leading(now)) return self_;
  return now - heard_ < timing_.lease && durable_.promised_to != self_ ? durable_.promised_to : std::string();
}

std::vector<Action> Lead::Step(Time now, const std::vector<Event>& events) {
  std::vector<Action> actions;
  if (!std::exchange(started_, true)) {
    // One that stands alone leads at once; others first listen whether somebody does.
    claim_at_ = members_.size() == 1 ? now : ClaimAt(now);
  }
  // Before any event: a leader that was stopped past its lease must not act on what piled up meanwhile.
  if (role_ == Role::kLeader && now >= LeaseEnd()) Follow(now, &actions, "most agents are silent");
  for (const Event& event : events) {
    if (const auto* propose = std::get_if<Propose>(&event)) {
      if (!Leading(now)) continue;
      wanted_ = {durable_.promised, wanted_.seq + 1, propose->value};
      Keep(&actions);
      Beat(now, &actions);
      continue;
    }
    const Got& got = std::get<Got>(event);
    if (std::find(members_.begin(), members_.end(), got.from) == members_.end()) continue;
    const Message& m = got.message;
    seen_ = std::max(seen_, m.epoch);
    switch (m.kind) {
      case Message::Kind::kClaim:
      case Message::Kind::kKeep: {
        const Message answer = Answer(now, got.from, m, &actions);
        actions.push_back(Send{got.from, answer});
        break;
      }
      case Message::Kind::kDeny:
        if (m.epoch > durable_.promised && role_ != Role::kFollower) {
          Follow(now, &actions, "epoch " + std::to_string(m.epoch) + " was promised to another");
        }
        break;
      case Message::Kind::kPromise:
        if (role_ != Role::kClaimant || m.epoch != durable_.promised) break;
        promises_[got.from] = m.kept;
        if (const auto asked = asked_.find(m.round); asked != asked_.end()) {
          answered_[got.from] = asked->second;
        }
        if (promises_.size() >= most()) TakeLead(now, &actions);
        break;
      case Message::Kind::kKept: {
        if (role_ != Role::kLeader || m.epoch != durable_.promised) break;
        if (const auto asked = asked_.find(m.round); asked != asked_.end()) {
          Time& at = answered_.try_emplace(got.from, Time::min() / 2).first->second;
          at = std::max(at, asked->second);
        }
        if (m.kept.epoch == durable_.promised) has_[got.from] = std::max(has_[got.from], m.kept.seq);
        Keep(&actions);
        break;
      }
    }
  }
  if (role_ != Role::kLeader && now >= claim_at_) Claim(now, &actions);
  if (role_ == Role::kLeader && now >= beat_at_) Beat(now, &actions);
  wake_at_ = role_ == Role::kLeader ? beat_at_ : claim_at_;
  return actions;
}

Message Lead::Answer(Time now, const std::string& from, const Message& m, std::vector<Action>* actions) {
  Message answer{Message::Kind::kDeny, durable_.promised, m.round, false, {}};
  if (m.kind == Message::Kind::kClaim) {
    const bool led = now - heard_ < timing_.lease && durable_.promised_to != from;
    if (m.epoch <= durable_.promised || led || Leading(now)) return answer;
    if (role_ != Role::kFollower) Follow(now, actions, "promised epoch " + std::to_string(m.epoch));
    durable_.promised = m.epoch;
    durable_.promised_to = from;
    actions->push_back(Persist{durable_});
    claim_at_ = ClaimAt(now);
    return {Message::Kind::kPromise, m.epoch, m.round, true, durable_.kept};
  }
  if (m.epoch < durable_.promised || (m.epoch == durable_.promised && durable_.promised_to != from))
    return answer;
  if (role_ != Role::kFollower) Follow(now, actions, from + " leads in epoch " + std::to_string(m.epoch));
  bool changed = m.epoch > durable_.promised;
  durable_.promised = m.epoch;
  durable_.promised_to = from;
  if (m.has_value && durable_.kept.OlderThan(m.kept)) {
    durable_.kept = m.kept;
    changed = true;
  }
  if (changed) actions->push_back(Persist{durable_});
  heard_ = now;
  claim_at_ = ClaimAt(now);
  return {Message::Kind::kKept, m.epoch, m.round, false, {durable_.kept.epoch, durable_.kept.seq, {}}};
}

void Lead::Claim(Time now, std::vector<Action>* actions) {
  role_ = Role::kClaimant;
  led_ = false;
  durable_.promised = std::max(seen_, durable_.promised) + 1;
  durable_.promised_to = self_;
  seen_ = durable_.promised;
  promises_.clear();
  answered_.clear();
  has_.clear();
  asked_.clear();
  actions->push_back(Persist{durable_});
  promises_[self_] = durable_.kept;
  claim_at_ = ClaimAt(now);
  asked_[++round_] = now;
  for (const std::string& member : members_) {
    if (member == self_) continue;
    actions->push_back(Send{member, {Message::Kind::kClaim, durable_.promised, round_, false, {}}});
  }
  if (promises_.size() >= most()) TakeLead(now, actions);
}

void Lead::TakeLead(Time now, std::vector<Action>* actions) {
  role_ = Role::kLeader;
  Register youngest;
  for (const auto& [member, kept] : promises_) {
    if (youngest.OlderThan(kept)) youngest = kept;
  }
  wanted_ = {durable_.promised, youngest.seq + 1, youngest.value};
  told_kept_ = wanted_.seq;
  Keep(actions);
  Beat(now, actions);
}

// The register at this agent, and whether most have it.
void Lead::Keep(std::vector<Action>* actions) {
  if (durable_.kept.OlderThan(wanted_)) {
    durable_.kept = wanted_;
    actions->push_back(Persist{durable_});
    has_[self_] = wanted_.seq;
  }
  const auto count =
      std::count_if(has_.begin(), has_.end(), [&](const auto& h) { return h.second >= wanted_.seq; });
  if (static_cast<std::size_t>(count) < most()) return;
  if (!std::exchange(led_, true)) {
    actions->push_back(Leads{durable_.promised, wanted_.value});
  } else if (told_kept_ < wanted_.seq) {
    told_kept_ = wanted_.seq;
    actions->push_back(ValueKept{wanted_.seq});
  }
}

void Lead::Beat(Time now, std::vector<Action>* actions) {
  beat_at_ = now + timing_.beat;
  asked_[++round_] = now;
  while (asked_.size() > 64) asked_.erase(asked_.begin());
  for (const std::string& member : members_) {
    if (member == self_) continue;
    const bool lacks = has_[member] < wanted_.seq;
    Message keep{Message::Kind::kKeep, durable_.promised, round_, lacks, wanted_};
    actions->push_back(Send{member, keep});
  }
}

void Lead::Follow(Time now, std::vector<Action>* actions, const std::string& why) {
  const bool led = role_ == Role::kLeader && led_;
  role_ = Role::kFollower;
  led_ = false;
  claim_at_ = ClaimAt(now);
  if (led) actions->push_back(Stopped{why});
}

}  // namespace oxbowspread::lead
