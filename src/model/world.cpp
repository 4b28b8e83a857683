#include "model/world.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace oxbowspread::model {
namespace {

using Kind = trace::Event::Kind;
using namespace std::chrono_literals;

constexpr Time kAnswerWithin = 400ms;  // a client waits so long for the answer to a hand-in
constexpr Time kAfterTheEnd = 3s;
constexpr Time kBeatEach = 2s;         // of a watch while nothing changes
constexpr Time kListWaitsMost = 2s;    // of a call for the list, until it is refused
constexpr Time kRepeatAnswered = 5ms;  // a host that knows the key
constexpr Time kMostComeAgain = 2s;    // the longest told wait that a client follows

Time Seconds(double s) { return Time(static_cast<Time::rep>(std::llround(s * 1e6))); }

std::string Hex(std::uint64_t seed, std::string_view name) {
  Dice dice(seed, name);
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(dice.Below(~0ull)));
  return text;
}

}  // namespace

World::World(const Scenario& scenario, const Day& day, Sink sink)
    : scenario_(scenario),
      day_(day),
      sink_(std::move(sink)),
      lag_(day.list_lag),
      clients_(day.seed, "clients"),
      network_(day.seed, "network"),
      hosts_(day.seed, "hosts") {
  const Scenario::Partners& p = scenario_.partners;
  for (std::size_t h = 0; h < day_.hosts.size(); ++h) {
    const Host& host = day_.hosts[h];
    routes_.emplace_back(host, p.fall_multiple, p.fall);
    standing_.push_back(host.from_start);
    connections_.push_back(0);
    if (!host.from_start) continue;
    at_address_[host.address] = h;
    changes_.push_back(EntryOf(h, ListEntry::State::kReady));
  }
  published_ = changes_.size();
  relays_.resize(static_cast<std::size_t>(day_.relays));
  for (RelayState& relay : relays_) relay.told = published_;
  messages_.reserve(day_.arrivals.size());
  last_until_ = day_.length;
  if (!day_.arrivals.empty()) Add(day_.arrivals.front().due, Todo::kArrival, 0);
  for (std::size_t t = 0; t < day_.turns.size(); ++t) Add(day_.turns[t].at, Todo::kTurn, t);
  Add(kBeatEach, Todo::kBeat, 0);
}

trace::Event World::EventOf(Kind kind) const {
  trace::Event event;
  event.at = now_;
  event.kind = kind;
  return event;
}

trace::Event World::EventOf(Kind kind, const Call& call) const {
  trace::Event event = EventOf(kind);
  const Host& host = day_.hosts[call.host];
  event.id = call.id;
  event.relay = call.relay;
  event.host = host.id;
  event.destination = host.partner;
  event.zone = host.zone;
  return event;
}

void World::Add(Time at, Todo what, std::uint64_t subject) {
  due_.push({std::max(at, now_), order_++, what, subject});
}

Time World::wake_at() const {
  if (done_) return Time::max();
  const Time end = last_until_ + kAfterTheEnd;
  return due_.empty() ? end : std::min(due_.top().at, end);
}

std::vector<Effect> World::Step(Time now, const std::vector<Input>& inputs) {
  now_ = std::max(now_, now);
  if (!done_) {
    for (const Input& input : inputs) Take(input);
    while (!due_.empty() && due_.top().at <= now_) {
      const Due due = due_.top();
      due_.pop();
      Do(due);
    }
    const bool all_asked = messages_.size() == day_.arrivals.size() && now_ >= day_.length;
    if ((all_asked && pending_ == 0) || now_ >= last_until_ + kAfterTheEnd) {
      done_ = true;
      sink_(EventOf(Kind::kEnd));
    }
  }
  return std::exchange(effects_, {});
}

void World::Do(const Due& due) {
  switch (due.what) {
    case Todo::kArrival:
      return Ask(due.subject);
    case Todo::kTurn:
      return Do(day_.turns[due.subject]);
    case Todo::kHandAgain:
      return HandTo(due.subject);
    case Todo::kHandDue: {
      const auto it = hands_.find(due.subject);
      if (it == hands_.end()) return;
      effects_.push_back(LeaveHand{due.subject, it->second.relay});
      return Take(Answered{due.subject, Answered::What::kBroken, Time(0)});
    }
    case Todo::kCallComes:
      return Comes(due.subject);
    case Todo::kCallAnswered:
      return Finish(due.subject);
    case Todo::kPublish:
      for (std::size_t v = published_; v < due.subject; ++v) {
        trace::Event event = EventOf(Kind::kHostChanged);
        event.host = changes_[v].id;
        event.up = changes_[v].state == ListEntry::State::kReady;
        sink_(event);
      }
      published_ = std::max<std::size_t>(published_, due.subject);
      for (int r = 0; r < day_.relays; ++r) {
        const RelayState& relay = relays_[static_cast<std::size_t>(r)];
        if (relay.watch != 0 && !relay.watch_silent) Tell(r);
      }
      return;
    case Todo::kBeat:
      return Beat();
    case Todo::kListTurn:
      return ServeListQueue();
    case Todo::kListRefused: {
      const ListWanted wanted = refused_later_.extract(due.subject).mapped();
      effects_.push_back(RefuseList{wanted.relay, wanted.call});
      return;
    }
    case Todo::kStart:
      effects_.push_back(StartRelay{static_cast<int>(due.subject)});
      return;
  }
}

void World::Take(const Input& input) {
  if (const auto* up = std::get_if<RelayUp>(&input)) {
    RelayState& relay = relays_[static_cast<std::size_t>(up->relay)];
    relay.up = relay.believed = true;
    trace::Event event = EventOf(Kind::kReady);
    event.relay = up->relay;
    sink_(event);
  } else if (const auto* down = std::get_if<RelayDown>(&input)) {
    RelayState& relay = relays_[static_cast<std::size_t>(down->relay)];
    relay.up = relay.stopped = false;
    relay.watch = 0;
    relay.notice_at = now_ + Seconds(network_.In(scenario_.network.front_notices));
    trace::Event event = EventOf(Kind::kExited);
    event.relay = down->relay;
    sink_(event);
    if (relay.down >= 0)
      Add(now_ + Seconds(relay.down), Todo::kStart, static_cast<std::uint64_t>(down->relay));
  } else if (const auto* answered = std::get_if<Answered>(&input)) {
    Take(*answered);
  } else if (const auto* called = std::get_if<Called>(&input)) {
    Take(*called);
  } else if (const auto* dropped = std::get_if<Dropped>(&input)) {
    // Its host works on: it may run yet, only nobody hears of it.
    const auto it = calls_.find(dropped->call);
    if (it == calls_.end()) return;
    sink_(EventOf(Kind::kConnectionLost, it->second));
    Comes(dropped->call);  // also one that is still on its way gets there
    calls_.erase(dropped->call);
  } else if (const auto* noticed = std::get_if<Noticed>(&input)) {
    Take(*noticed);
  } else if (const auto* ended = std::get_if<WatchEnded>(&input)) {
    RelayState& relay = relays_[static_cast<std::size_t>(ended->relay)];
    if (relay.watch == ended->call) relay.watch = 0;
  } else if (const auto* wanted = std::get_if<ListWanted>(&input)) {
    Take(*wanted);
  }
}

// ---- clients ----

void World::Ask(std::uint64_t arrival) {
  const Arrival& a = day_.arrivals[arrival];
  lateness_ = std::max(lateness_, now_ - a.due);
  Message m;
  m.due = a.due;
  m.until = a.due + Seconds(scenario_.relay.deadline);
  m.destination = a.partner;
  m.beside = a.relay;
  m.key = Hex(day_.seed, "key-" + std::to_string(arrival));
  Dice dice(day_.seed, "client-" + std::to_string(arrival));
  const double retries = dice.In(scenario_.traffic.retries);
  m.retries = static_cast<int>(retries);
  last_until_ = std::max(last_until_, m.until);
  messages_.push_back(std::move(m));
  ++pending_;
  trace::Event event = EventOf(Kind::kMessageDue);
  event.message = arrival;
  event.destination = a.partner;
  event.deadline = messages_.back().until;
  sink_(event);
  HandTo(arrival);
  if (arrival + 1 < day_.arrivals.size()) Add(day_.arrivals[arrival + 1].due, Todo::kArrival, arrival + 1);
}

// In turn over those that the front believes up; all, where it believes none.
int World::PickRelay() {
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const std::size_t r = (next_relay_ + i) % relays_.size();
    RelayState& relay = relays_[r];
    const bool answers = relay.up && !relay.stopped;
    if (!answers && relay.believed && now_ >= relay.notice_at) relay.believed = false;
    if (!relay.believed) continue;
    next_relay_ = r + 1;
    return static_cast<int>(r);
  }
  return static_cast<int>(next_relay_++ % relays_.size());
}

void World::HandTo(std::uint64_t number) {
  Message& m = messages_[number];
  if (m.over) return;
  if (now_ >= m.until) return Over(number);
  const std::uint64_t hand = ++hands_made_;
  HandIn in;
  in.hand = hand;
  in.relay = m.beside >= 0 ? m.beside : PickRelay();
  in.id = Hex(day_.seed, "id-" + std::to_string(hand));
  in.key = m.key;
  in.left = m.until - now_;
  in.destination = m.destination;
  in.refused_before = m.refused_before;
  in.died_before = m.died_before;
  hands_[hand] = {number, in.relay, in.id};
  ids_[in.id].message = number;
  trace::Event event = EventOf(Kind::kSubmitted);
  event.message = number;
  event.id = in.id;
  event.relay = in.relay;
  event.destination = m.destination;
  event.deadline = m.until;
  sink_(event);
  effects_.push_back(std::move(in));
  Add(now_ + kAnswerWithin, Todo::kHandDue, hand);
}

void World::Take(const Answered& answered) {
  const auto it = hands_.find(answered.hand);
  if (it == hands_.end()) return;
  const Hand hand = it->second;
  hands_.erase(it);
  Id& id = ids_[hand.id];
  trace::Event event = EventOf(Kind::kAccepted);
  event.id = hand.id;
  event.relay = hand.relay;
  event.message = hand.message;
  switch (answered.what) {
    case Answered::What::kTaken:
      sink_(event);
      id.taken = true;
      if (id.delivered || id.noticed) Over(hand.message);
      return;
    case Answered::What::kTurnedAway:
      event.kind = Kind::kRejected;
      event.retry_after = answered.come_again;
      sink_(event);
      ids_.erase(hand.id);
      return Refused(hand.message, answered.come_again);
    case Answered::What::kBroken:
      event.kind = Kind::kUnanswered;
      sink_(event);
      id.left = true;
      messages_[hand.message].died_before = true;
      return Again(hand.message, Seconds(clients_.In(scenario_.traffic.again)));
  }
}

void World::Refused(std::uint64_t number, Time come_again) {
  Message& m = messages_[number];
  if (m.retries <= 0) return Over(number);
  --m.retries;
  m.refused_before = true;
  Time wait = Seconds(clients_.In(scenario_.traffic.backoff) * std::pow(2.0, m.refusals++));
  if (come_again > 0us && clients_.Happens(day_.honour)) wait = std::min(come_again, Time(kMostComeAgain));
  Again(number, wait);
}

void World::Again(std::uint64_t number, Time after) {
  if (now_ + after >= messages_[number].until) return Over(number);
  Add(now_ + after, Todo::kHandAgain, number);
}

void World::Over(std::uint64_t number) {
  Message& m = messages_[number];
  if (std::exchange(m.over, true)) return;
  --pending_;
  trace::Event event = EventOf(Kind::kAbandoned);
  event.message = number;
  sink_(event);
}

void World::Take(const Noticed& noticed) {
  trace::Event event = EventOf(Kind::kNoticeReceived);
  event.id = noticed.id;
  event.relay = noticed.relay;
  event.deferred = noticed.deferred;
  event.retry_after = noticed.again;
  sink_(event);
  const auto it = ids_.find(noticed.id);
  if (it == ids_.end()) return;
  Id& id = it->second;
  if (std::exchange(id.noticed, true) || id.left || !id.taken || id.delivered) return;
  noticed.deferred ? Refused(id.message, noticed.again) : Over(id.message);
}

// ---- endpoints ----

std::vector<std::string> World::Addresses() const {
  std::vector<std::string> all;
  for (const auto& [address, host] : at_address_) all.push_back(address);
  return all;
}

bool World::Connect(const std::string& address) {
  const auto it = at_address_.find(address);
  if (it == at_address_.end() || !standing_[it->second]) return false;
  const int most = scenario_.partners.connections;
  if (most > 0 && connections_[it->second] >= most) return false;
  connections_[it->second] += 1;
  return true;
}

void World::Disconnect(const std::string& address) {
  const auto it = at_address_.find(address);
  if (it != at_address_.end() && connections_[it->second] > 0) connections_[it->second] -= 1;
}

void World::Take(const Called& called) {
  const auto at = at_address_.find(called.address);
  if (at == at_address_.end()) {
    effects_.push_back(BreakCall{called.call});
    return;
  }
  Call call;
  call.relay = called.relay;
  call.host = at->second;
  call.id = called.id;
  call.key = called.key;
  call.fresh = called.fresh;
  call.crowded = called.crowded;
  trace::Event event = EventOf(Kind::kCalled, call);
  event.new_connection = called.fresh;
  sink_(event);
  Time way = Seconds(network_.In(scenario_.network.one_way));
  if (called.fresh) {
    way += Seconds(2 * network_.In(scenario_.network.handshake) * network_.In(scenario_.network.one_way));
  }
  calls_.emplace(called.call, std::move(call));
  Add(now_ + way, Todo::kCallComes, called.call);
}

// A host begins on it, or turns it away.
void World::Comes(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end() || it->second.answering) return;
  Call& call = it->second;
  call.answering = true;
  const std::string effect = call.key + "@" + std::to_string(day_.hosts[call.host].partner) + "/" +
                             std::to_string(day_.hosts[call.host].zone);
  const Time window = Seconds(scenario_.relay.window);
  while (!effects_old_.empty() && effects_old_.front().first + window < now_) {
    effects_had_.erase(effects_old_.front().second);
    effects_old_.pop();
  }
  const Time back = Seconds(network_.In(scenario_.network.one_way));
  const auto id = ids_.find(call.id);
  if (id != ids_.end() && messages_[id->second.message].destination != day_.hosts[call.host].partner) {
    call.status = 400;
    return Add(now_ + back, Todo::kCallAnswered, number);
  }
  if (call.crowded) {
    call.status = 503;
    return Add(now_ + back, Todo::kCallAnswered, number);
  }
  if (effects_had_.count(effect) > 0) {
    call.status = 200;
    return Add(now_ + kRepeatAnswered + back, Todo::kCallAnswered, number);
  }
  const Route::Verdict verdict = routes_[call.host].Arrive(now_, hosts_);
  call.status = verdict.status;
  call.wait = verdict.wait;
  call.over_limit = verdict.over_limit;
  if (verdict.tips) {
    trace::Event event = EventOf(Kind::kHostCollapsed);
    event.host = day_.hosts[call.host].id;
    sink_(event);
  }
  if (verdict.status == 200 && !call.key.empty()) {
    effects_had_[effect] = now_;
    effects_old_.emplace(now_, effect);
  }
  Add(verdict.answer_at + back, Todo::kCallAnswered, number);
}

void World::Finish(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = std::move(it->second);
  calls_.erase(it);
  trace::Event event = EventOf(Kind::kAnswered, call);
  event.status = call.status;
  event.retry_after = call.wait;
  event.over_limit = call.over_limit;
  sink_(event);
  effects_.push_back(AnswerCall{number, call.status, call.wait});
  if (call.status != 200) return;
  const auto id = ids_.find(call.id);
  if (id == ids_.end() || std::exchange(id->second.delivered, true)) return;
  if (id->second.taken && !id->second.left) Over(id->second.message);
}

// ---- what goes wrong ----

void World::Do(const Turn& turn) {
  const auto index = static_cast<std::size_t>(std::max(0, turn.index));
  trace::Event event;
  switch (turn.kind) {
    case Turn::Kind::kKill:
      relays_[index].down = -1;
      if (relays_[index].up) effects_.push_back(KillRelay{turn.index});
      return;
    case Turn::Kind::kStart:
      effects_.push_back(StartRelay{turn.index});
      return;
    case Turn::Kind::kTerminate:
      if (!relays_[index].up) return;
      relays_[index].down = turn.value;
      event = EventOf(Kind::kTerminating);
      event.relay = turn.index;
      sink_(event);
      effects_.push_back(TerminateRelay{turn.index});
      return;
    case Turn::Kind::kStop:
      if (!relays_[index].up) return;
      relays_[index].stopped = true;
      relays_[index].notice_at = now_ + Seconds(network_.In(scenario_.network.front_notices));
      effects_.push_back(StopRelay{turn.index});
      event = EventOf(Kind::kSuspended);
      event.relay = turn.index;
      return sink_(event);
    case Turn::Kind::kContinue:
      if (!std::exchange(relays_[index].stopped, false)) return;
      relays_[index].believed = relays_[index].up;
      effects_.push_back(ContinueRelay{turn.index});
      event = EventOf(Kind::kReady);
      event.relay = turn.index;
      return sink_(event);
    case Turn::Kind::kOutage:
      if (!standing_[index]) return;
      routes_[index].Outage(now_, turn.value, turn.until);
      event = EventOf(Kind::kHostOutage);
      event.host = day_.hosts[index].id;
      return sink_(event);
    case Turn::Kind::kBack:
      if (!standing_[index]) return;
      routes_[index].Back(now_);
      event = EventOf(Kind::kHostRecovered);
      event.host = day_.hosts[index].id;
      return sink_(event);
    case Turn::Kind::kDrain:
      return ListChanged(index, ListEntry::State::kTerminating);
    case Turn::Kind::kGone: {
      standing_[index] = false;
      at_address_.erase(day_.hosts[index].address);
      effects_.push_back(HostDown{day_.hosts[index].address});
      std::vector<std::uint64_t> broken;
      for (const auto& [number, call] : calls_) {
        if (call.host == index) broken.push_back(number);
      }
      std::sort(broken.begin(), broken.end());
      for (const std::uint64_t number : broken) {
        sink_(EventOf(Kind::kConnectionLost, calls_.at(number)));
        effects_.push_back(BreakCall{number});
        calls_.erase(number);
      }
      return ListChanged(index, ListEntry::State::kGone);
    }
    case Turn::Kind::kAdd:
      standing_[index] = true;
      at_address_[day_.hosts[index].address] = index;
      effects_.push_back(HostUp{day_.hosts[index].address});
      return ListChanged(index, ListEntry::State::kReady);
    case Turn::Kind::kLag:
      lag_ = day_.list_lag + Seconds(turn.value);
      return;
    case Turn::Kind::kDiscoveryDown:
    case Turn::Kind::kDiscoverySilent:
    case Turn::Kind::kDiscoverySlow:
    case Turn::Kind::kDiscoveryCrowded:
    case Turn::Kind::kDiscoveryBack:
      return Discovery(turn);
    case Turn::Kind::kBreakList:
      relays_[index].break_next = true;
      return;
    case Turn::Kind::kMoveDiscovery:
      if (relays_[index].up) effects_.push_back(MoveDiscovery{turn.index});
      return;
    case Turn::Kind::kSignals:
      if (relays_[index].up) effects_.push_back(SignalRelay{turn.index, static_cast<int>(turn.value)});
      return;
    case Turn::Kind::kIdleClients:
      effects_.push_back(IdleClients{turn.index, static_cast<int>(turn.value)});
      return;
  }
}

// ---- discovery ----

ListEntry World::EntryOf(std::size_t number, ListEntry::State state) const {
  const Host& host = day_.hosts[number];
  return {host.id, host.address, host.zone, host.kind, host.partner, state, host.weight};
}

void World::ListChanged(std::size_t host, ListEntry::State state) {
  changes_.push_back(EntryOf(host, state));
  last_publish_ = std::max(last_publish_, now_ + lag_);
  Add(last_publish_, Todo::kPublish, changes_.size());
}

TellList World::Known(int relay) const {
  TellList list;
  list.relay = relay;
  list.full = true;
  const std::size_t version = relays_[static_cast<std::size_t>(relay)].told;
  list.version = static_cast<std::int64_t>(version);
  std::map<std::string, ListEntry> all;
  for (std::size_t v = 0; v < version; ++v) {
    const ListEntry& entry = changes_[v];
    if (entry.state == ListEntry::State::kGone) {
      all.erase(entry.id);
    } else {
      all[entry.id] = entry;
    }
  }
  for (auto& [id, entry] : all) list.entries.push_back(std::move(entry));
  return list;
}

void World::Tell(int number) {
  RelayState& relay = relays_[static_cast<std::size_t>(number)];
  TellList list;
  list.relay = number;
  list.call = relay.watch;
  list.version = static_cast<std::int64_t>(published_);
  if (relay.told < published_ && std::exchange(relay.break_next, false)) {
    list.entries.assign(changes_.begin() + static_cast<std::ptrdiff_t>(relay.told),
                        changes_.begin() + static_cast<std::ptrdiff_t>(published_));
    relay.watch = 0;
    effects_.push_back(BreakList{std::move(list)});
    return;
  }
  for (std::size_t v = relay.told; v < published_; ++v) {
    list.entries.push_back(changes_[v]);
    trace::Event event = EventOf(Kind::kHostAnnounced);
    event.relay = number;
    event.host = changes_[v].id;
    event.up = changes_[v].state == ListEntry::State::kReady;
    sink_(event);
  }
  relay.told = published_;
  effects_.push_back(std::move(list));
}

void World::Take(const ListWanted& wanted) {
  switch (discovery_) {
    case Service::kWorks:
      return AnswerList(wanted);
    case Service::kDown:
      refused_later_[++refused_later_count_] = wanted;
      return Add(now_ + refuses_after_, Todo::kListRefused, refused_later_count_);
    case Service::kCrowded:
      if (!network_.Happens(refused_share_)) return AnswerList(wanted);
      effects_.push_back(RefuseList{wanted.relay, wanted.call});
      return;
    case Service::kSilent:
      return;
    case Service::kSlow:
      list_queue_.emplace_back(now_, wanted);
      list_free_at_ = std::max(list_free_at_, now_);
      if (list_queue_.size() == 1) Add(list_free_at_ + Seconds(list_call_), Todo::kListTurn, 0);
      return;
  }
}

// One call after the other; one that has waited for too long is refused at no cost.
void World::ServeListQueue() {
  while (!list_queue_.empty() && now_ - list_queue_.front().first >= kListWaitsMost) {
    effects_.push_back(RefuseList{list_queue_.front().second.relay, list_queue_.front().second.call});
    list_queue_.pop_front();
  }
  if (list_queue_.empty()) return;
  const ListWanted wanted = list_queue_.front().second;
  list_queue_.pop_front();
  list_free_at_ = now_;
  AnswerList(wanted);
  if (!list_queue_.empty()) Add(now_ + Seconds(list_call_), Todo::kListTurn, 0);
}

void World::AnswerList(const ListWanted& wanted) {
  RelayState& relay = relays_[static_cast<std::size_t>(wanted.relay)];
  relay.watch = wanted.call;
  relay.watch_silent = false;
  if (wanted.from > 0) {
    relay.told = std::min<std::size_t>(static_cast<std::size_t>(wanted.from), published_);
    return Tell(wanted.relay);
  }
  relay.told = published_;
  TellList list = Known(wanted.relay);
  list.call = wanted.call;
  for (const ListEntry& entry : list.entries) {
    trace::Event event = EventOf(Kind::kHostAnnounced);
    event.relay = wanted.relay;
    event.host = entry.id;
    event.up = entry.state == ListEntry::State::kReady;
    sink_(event);
  }
  effects_.push_back(std::move(list));
}

void World::Beat() {
  Add(now_ + kBeatEach, Todo::kBeat, 0);
  for (int r = 0; r < day_.relays; ++r) {
    const RelayState& relay = relays_[static_cast<std::size_t>(r)];
    if (relay.watch != 0 && !relay.watch_silent) effects_.push_back(BeatWatch{r, relay.watch});
  }
}

// While it is down or silent it can't be reached; watches that it has left silent stay so for good.
void World::Discovery(const Turn& turn) {
  using TurnKind = Turn::Kind;
  discovery_ = turn.kind == TurnKind::kDiscoveryDown      ? Service::kDown
               : turn.kind == TurnKind::kDiscoverySilent  ? Service::kSilent
               : turn.kind == TurnKind::kDiscoverySlow    ? Service::kSlow
               : turn.kind == TurnKind::kDiscoveryCrowded ? Service::kCrowded
                                                          : Service::kWorks;
  list_call_ = refused_share_ = turn.value;
  refuses_after_ = Seconds(turn.value);
  if (discovery_ != Service::kSlow) {
    for (const auto& [since, wanted] : std::exchange(list_queue_, {})) {
      effects_.push_back(RefuseList{wanted.relay, wanted.call});
    }
  }
  for (int r = 0; r < day_.relays; ++r) {
    RelayState& relay = relays_[static_cast<std::size_t>(r)];
    if (relay.watch == 0) continue;
    if (discovery_ == Service::kSilent) relay.watch_silent = true;
    if (discovery_ != Service::kDown) continue;
    effects_.push_back(RefuseList{r, relay.watch});
    relay.watch = 0;
  }
  trace::Event event = EventOf(Kind::kDiscoveryReachable);
  event.up = discovery_ != Service::kDown && discovery_ != Service::kSilent;
  sink_(event);
}

}  // namespace oxbowspread::model
