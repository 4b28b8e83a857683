#include "change/engine.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oxbowspread::change {
namespace {

constexpr Time kOrderAgain = std::chrono::seconds(2);  // while nothing shows that it was carried out
constexpr Time kWindow = std::chrono::seconds(10);     // of which rate and shares are taken

std::string Percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f%%", share * 100);
  return text;
}
std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f", value);
  return text;
}
std::string Seconds(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(span.count()) * 1e-6);
  return text;
}

}  // namespace

Engine::Engine(std::vector<Member> members, Limits limits) : limits_(std::move(limits)) {
  for (Member& m : members) known_[m.instance].capacity = m.capacity;
}

std::vector<Action> Engine::Step(const Moment& now, const std::vector<Event>& events) {
  if (!observing_since_) observing_since_ = now.now;
  changed_ = false;
  orders_.clear();
  tells_.clear();
  for (const Event& event : events) Take(now, event);
  if (record_ && !Over(record_->state)) {
    held_back_.clear();
    for (std::size_t i = 0; i < work_.size(); ++i) Advance(now, i);
    BeginNext(now);
    EndIfOver(now);
  }
  std::vector<Action> actions;
  if (changed_) actions.push_back(Keep{*record_});
  std::move(orders_.begin(), orders_.end(), std::back_inserter(actions));
  std::move(tells_.begin(), tells_.end(), std::back_inserter(actions));
  return actions;
}

void Engine::Take(const Moment& now, const Event& event) {
  if (const auto* heard = std::get_if<Heard>(&event)) {
    Hear(heard->belief);
  } else if (const auto* begin = std::get_if<Begin>(&event)) {
    if (!Objection(begin->spec).empty()) return;
    record_ = Record{begin->spec, State::kRunning, {}, std::vector<Progress>(begin->spec.targets.size())};
    work_.assign(begin->spec.targets.size(), Work{});
    changed_ = true;
    Note({}, std::string(NameOf(begin->spec.kind)) + " of " + std::to_string(work_.size()) +
                 " instances begun by " + begin->spec.by);
  } else if (const auto* on = std::get_if<Continue>(&event)) {
    record_ = on->record;
    work_.assign(record_->spec.targets.size(), Work{});
    for (Work& work : work_) work.since = now.now;
    changed_ = true;
    if (!Over(record_->state)) Note({}, "taken over");
  } else if (const auto* say = std::get_if<Say>(&event)) {
    if (!record_ || Over(record_->state)) return;
    switch (say->word) {
      case Word::kHold:
        if (record_->state == State::kRunning) SetState(State::kHeld, "by an operator");
        break;
      case Word::kGoOn:
        if (record_->state == State::kHeld) SetState(State::kRunning, {});
        break;
      case Word::kAbort:
        if (record_->state != State::kRollingBack) SetState(State::kAborting, "by an operator");
        break;
      case Word::kRollBack:
        RollBack(now, "by an operator");
        break;
    }
  } else if (const auto* refused = std::get_if<Refused>(&event)) {
    for (std::size_t i = 0; i < work_.size(); ++i) {
      const bool meant =
          record_->spec.targets[i].instance == refused->instance && StampOf(i) == refused->stamp;
      if (meant && Active(i) && !Over(record_->state)) Fail(now, i, "refused: " + refused->why);
    }
  }
}

void Engine::Hear(const Belief& belief) {
  const auto it = known_.find(belief.instance);
  if (it == known_.end()) return;
  Known& known = it->second;
  if (known.belief && known.belief->at >= belief.at) return;
  known.belief = belief;
  auto& samples = known.samples;
  if (!samples.empty() && samples.back().pid != belief.pid) samples.clear();
  samples.push_back({belief.at, belief.pid, belief.counts});
  while (samples.size() > 2 && samples.back().at - samples[1].at >= kWindow) samples.pop_front();
}

const Belief* Engine::Fresh(Time now, const std::string& instance) const {
  const auto it = known_.find(instance);
  if (it == known_.end() || !it->second.belief) return nullptr;
  return now - it->second.belief->at <= limits_.belief_age ? &*it->second.belief : nullptr;
}

// An instance that isn't heard of any more counts with what it was asked last: its clients are still there.
double Engine::Rate() const {
  double rate = 0;
  for (const auto& [name, known] : known_) {
    if (known.samples.size() < 2) continue;
    const Sample &first = known.samples.front(), &last = known.samples.back();
    const double seconds = static_cast<double>((last.at - first.at).count()) * 1e-6;
    if (seconds > 0) rate += static_cast<double>(last.counts.asked - first.counts.asked) / seconds;
  }
  return rate;
}

Engine::Share Engine::ShareOf(const Counts& from, const Counts& to) const {
  Share share;
  share.asked = to.asked - from.asked;
  share.ended = to.ended - from.ended;
  const auto of = [](std::int64_t part, std::int64_t all) {
    return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0.0;
  };
  share.refused = of(to.refused - from.refused, share.asked);
  share.failed = of(to.failed - from.failed, share.ended);
  return share;
}

bool Engine::Frozen(const Moment& now, std::string* which) const {
  for (const Freeze& f : limits_.freezes) {
    const bool over_night = f.until <= f.from;
    const auto on = [&](int day) { return (f.days >> (static_cast<unsigned>(day + 7) % 7) & 1u) != 0; };
    const bool in = over_night ? (on(now.weekday) && now.minute >= f.from) ||
                                     (on(now.weekday - 1) && now.minute < f.until)
                               : on(now.weekday) && now.minute >= f.from && now.minute < f.until;
    if (!in) continue;
    *which = f.text;
    return true;
  }
  return false;
}

std::string Engine::Objection(const Spec& spec) const {
  if (record_ && !Over(record_->state)) {
    return "change " + record_->spec.id + " (" + NameOf(record_->spec.kind) + " by " + record_->spec.by +
           ") is not over yet";
  }
  if (spec.targets.empty()) return "names no instance";
  for (const Target& t : spec.targets) {
    if (known_.count(t.instance) == 0) return "the group has no instance '" + t.instance + "'";
    const auto same = [&](const Target& other) { return other.instance == t.instance; };
    if (std::count_if(spec.targets.begin(), spec.targets.end(), same) > 1)
      return t.instance + " is named twice";
  }
  if (spec.kind == Kind::kDrain && static_cast<int>(spec.targets.size()) > limits_.most_out) {
    return "would leave " + std::to_string(spec.targets.size()) + " instances out, and the limits allow " +
           std::to_string(limits_.most_out);
  }
  return {};
}

std::string Engine::HeldBackBy(const Moment& now, const std::string& instance) const {
  std::string freeze;
  if (Frozen(now, &freeze)) return "frozen: " + freeze;
  return Guard(now, instance);
}

// Whether the rest can do without it. One that serves nobody costs nothing to take.
std::string Engine::Guard(const Moment& now, const std::string& instance) const {
  const Belief* own = Fresh(now.now, instance);
  if (own == nullptr) return instance + " is unknown";
  if (own->phase != Belief::Phase::kServing) return {};
  int out = 0;
  double capacity = 0;
  bool all_told = true;
  std::string who;
  for (const auto& [name, known] : known_) {
    if (name == instance) continue;
    const Belief* b = Fresh(now.now, name);
    const bool taken = BeingTaken(name);  // whatever was seen of it last
    if (b == nullptr || b->phase != Belief::Phase::kServing || taken) {
      ++out;
      const char* how = b == nullptr ? "unknown" : taken ? "being turned" : NameOf(b->phase);
      who += (who.empty() ? "" : ", ") + name + " " + how;
      continue;
    }
    capacity += known.capacity;
    all_told = all_told && known.capacity > 0;
  }
  if (out + 1 > limits_.most_out) {
    return "at most " + std::to_string(limits_.most_out) + " may be out" + (who.empty() ? "" : ": " + who);
  }
  const double rate = Rate();
  if (all_told && rate > limits_.headroom * capacity) {
    return "the rest can carry " + Number(limits_.headroom * capacity) + " messages a second and is asked " +
           Number(rate);
  }
  return {};
}

bool Engine::Active(std::size_t i) const {
  const Stage stage = record_->progress[i].stage;
  return stage == Stage::kPausing || stage == Stage::kTurning || stage == Stage::kWatching;
}

bool Engine::AnyStamp(std::size_t i) const {
  const Kind kind = record_->spec.kind;
  const Progress& p = record_->progress[i];
  return kind == Kind::kResume || (p.undo && (kind == Kind::kDrain || !p.turned));
}

bool Engine::BeingTaken(const std::string& instance) const {
  if (!record_ || Over(record_->state)) return false;
  for (std::size_t i = 0; i < work_.size(); ++i) {
    const Stage stage = record_->progress[i].stage;
    if (record_->spec.targets[i].instance != instance) continue;
    return stage == Stage::kPausing || (stage == Stage::kTurning && !record_->spec.targets[i].reload);
  }
  return false;
}

std::string Engine::StampOf(std::size_t i) const {
  const Target& t = record_->spec.targets[i];
  const bool undo = record_->progress[i].undo;
  return change::StampOf(undo ? t.from : t.to,
                         record_->spec.id + "." + std::to_string(i + 1) + (undo ? "u" : ""));
}

void Engine::Note(const std::string& instance, const std::string& text, const std::string& step) {
  tells_.push_back(Tell{instance, step, text});
}

void Engine::SetState(State state, const std::string& why) {
  record_->state = state;
  record_->why = why;
  changed_ = true;
  Note({}, std::string(NameOf(state)) + (why.empty() ? "" : ": " + why));
}

void Engine::Enter(const Moment& now, std::size_t i, Stage stage, const std::string& note) {
  Progress& p = record_->progress[i];
  p.stage = stage;
  p.note = note;
  p.turned = p.turned || (stage == Stage::kTurning && !p.undo);
  Work& work = work_[i];
  work.since = now.now;
  work.ordered = Time::min() / 2;
  work.pid = 0;
  changed_ = true;
  const std::string step = std::string(p.undo ? "back: " : "") + NameOf(stage);
  Note(record_->spec.targets[i].instance, step + (note.empty() ? "" : ": " + note), step);
  if (stage == Stage::kPausing || stage == Stage::kTurning) Give(now, i);
}

// What its stage asks of the instance, told again while nothing shows that it was heard.
void Engine::Give(const Moment& now, std::size_t i) {
  Work& work = work_[i];
  if (now.now - work.ordered < kOrderAgain) return;
  work.ordered = now.now;
  const Target& t = record_->spec.targets[i];
  const Kind kind = record_->spec.kind;
  Order order{t.instance, Want::kServing, StampOf(i), t.reload && kind == Kind::kReconfigure};
  if (record_->progress[i].stage == Stage::kPausing) {
    order.want = Want::kPaused;
    order.stamp.clear();  // by whatever it runs by now
    order.reload = false;
  } else if (AnyStamp(i)) {
    order.stamp.clear();
  }
  orders_.push_back(order);
}

void Engine::Advance(const Moment& now, std::size_t i) {
  if (!Active(i)) return;
  const std::string& instance = record_->spec.targets[i].instance;
  const Belief* belief = Fresh(now.now, instance);
  Work& work = work_[i];
  if (belief == nullptr) {
    // Unknown is neither up nor down: nothing is decided, and no time limit runs against it.
    if (!work.unknown_since) work.unknown_since = now.now;
    held_back_ = instance + " is unknown since " + Seconds(now.now - *work.unknown_since);
    Give(now, i);
    return;
  }
  if (work.unknown_since) work.since += now.now - *std::exchange(work.unknown_since, std::nullopt);
  switch (record_->progress[i].stage) {
    case Stage::kPausing:
      return AdvancePausing(now, i, *belief);
    case Stage::kTurning:
      return AdvanceTurning(now, i, *belief);
    case Stage::kWatching:
      return AdvanceWatching(now, i, *belief);
    default:
      return;
  }
}

void Engine::AdvancePausing(const Moment& now, std::size_t i, const Belief& belief) {
  const bool drain = record_->spec.kind == Kind::kDrain;
  const bool late = now.now - work_[i].since >= limits_.settle_within;
  const bool empty = belief.phase == Belief::Phase::kPaused && belief.settled;
  if (drain) {
    if (empty) return Enter(now, i, Stage::kDone);
    if (late && belief.phase == Belief::Phase::kPaused) {
      return Enter(now, i, Stage::kDone, std::to_string(belief.held) + " still held");
    }
    return Give(now, i);
  }
  // One that died meanwhile is out already: turning it is the way to have it back.
  if (belief.phase == Belief::Phase::kDown) return Enter(now, i, Stage::kTurning, "was down");
  if (empty) return Enter(now, i, Stage::kTurning);
  if (late) return Enter(now, i, Stage::kTurning, std::to_string(belief.held) + " left to the journal");
  Give(now, i);
}

void Engine::AdvanceTurning(const Moment& now, std::size_t i, const Belief& belief) {
  const bool undo = record_->progress[i].undo;
  const bool any_stamp = AnyStamp(i);
  const std::string stamp = StampOf(i);
  if (belief.phase == Belief::Phase::kServing && (any_stamp || belief.stamp == stamp)) {
    if (undo) return Enter(now, i, Stage::kUndone);
    if (any_stamp) return Enter(now, i, Stage::kDone);
    Enter(now, i, Stage::kWatching);
    work_[i].from = belief.counts;
    work_[i].pid = belief.pid;
    return;
  }
  if (!belief.fault.empty() && belief.fault_stamp == stamp) return Fail(now, i, belief.fault);
  if (now.now - work_[i].since >= limits_.ready_within) {
    return Fail(now, i, "not ready within " + Seconds(limits_.ready_within));
  }
  Give(now, i);
}

void Engine::AdvanceWatching(const Moment& now, std::size_t i, const Belief& belief) {
  Work& work = work_[i];
  Progress& progress = record_->progress[i];
  if (belief.stamp != StampOf(i)) {
    if (belief.phase != Belief::Phase::kServing) return;  // on its way up again
    return Fail(now, i, "runs by another order: " + belief.stamp);
  }
  if (!belief.fault.empty() && belief.fault_stamp == belief.stamp) return Fail(now, i, belief.fault);
  if (work.pid != 0 && belief.pid != work.pid && belief.pid != 0) {
    ++progress.deaths;
    changed_ = true;
    if (progress.deaths > limits_.most_deaths) {
      return Fail(now, i, "died " + std::to_string(progress.deaths) + " times while it was watched");
    }
    work.pid = 0;
  }
  if (belief.phase != Belief::Phase::kServing) {
    if (now.now - work.since >= limits_.ready_within + limits_.watch_for) {
      return Fail(now, i, "not ready again within " + Seconds(limits_.ready_within));
    }
    return;
  }
  if (work.pid == 0) {  // the watch begins anew
    work.pid = belief.pid;
    work.from = belief.counts;
    work.since = now.now;
    return;
  }
  if (now.now - work.since < limits_.watch_for) return;
  const Share after = ShareOf(work.from, belief.counts);
  if (after.asked >= limits_.least_sample && after.refused > work.before.refused + limits_.refused_rise) {
    return Fail(now, i,
                "refused " + Percent(after.refused) + " of " + std::to_string(after.asked) + ", before " +
                    Percent(work.before.refused));
  }
  if (after.ended >= limits_.least_sample && after.failed > work.before.failed + limits_.failed_rise) {
    return Fail(now, i,
                "did not deliver " + Percent(after.failed) + " of " + std::to_string(after.ended) +
                    ", before " + Percent(work.before.failed));
  }
  Enter(now, i, Stage::kDone);
}

void Engine::Fail(const Moment& now, std::size_t i, const std::string& why) {
  const Target& t = record_->spec.targets[i];
  if (record_->progress[i].undo) {
    Enter(now, i, Stage::kFailed, why);
    return;
  }
  if (record_->spec.kind == Kind::kReconfigure) {
    record_->progress[i].note = why;
    return RollBack(now, t.instance + ": " + why);
  }
  Enter(now, i, Stage::kFailed, why);
  // There is nothing to go back to, and what befell this one may befall the next.
  if (record_->state == State::kRunning || record_->state == State::kHeld) {
    SetState(State::kAborting, t.instance + ": " + why);
  }
}

void Engine::RollBack(const Moment& now, const std::string& why) {
  if (record_->state == State::kRollingBack) return;
  SetState(State::kRollingBack, why);
  for (std::size_t i = 0; i < work_.size(); ++i) {
    Progress& p = record_->progress[i];
    if (p.stage == Stage::kWaiting || record_->spec.kind == Kind::kResume) continue;
    const bool was_active = Active(i);
    p.undo = true;
    p.deaths = 0;
    // One that is out comes back first and at once; the others wait for their turn.
    if (was_active && p.stage != Stage::kWatching) {
      Enter(now, i, Stage::kTurning, p.note);
    } else {
      p.stage = Stage::kWaiting;
    }
    changed_ = true;
  }
}

void Engine::BeginNext(const Moment& now) {
  const bool back = record_->state == State::kRollingBack;
  if (!back && record_->state != State::kRunning) return;
  int active = 0;
  for (std::size_t i = 0; i < work_.size(); ++i) active += Active(i);
  for (std::size_t k = 0; k < work_.size() && active < limits_.batch; ++k) {
    const std::size_t i = back ? work_.size() - 1 - k : k;
    Progress& p = record_->progress[i];
    if (p.stage != Stage::kWaiting || p.undo != back) continue;
    const Target& t = record_->spec.targets[i];
    const Kind kind = record_->spec.kind;
    // What doesn't take an instance out needs no guard, and what gives one back least of all.
    const bool reload = kind == Kind::kReconfigure && t.reload;
    const bool gives_back = AnyStamp(i);
    std::string why;
    if (!gives_back) {
      std::string freeze;
      if (!back && Frozen(now, &freeze)) {
        why = "frozen: " + freeze;
      } else if (!back && now.now - *observing_since_ < limits_.observe_for) {
        why = "observing the group for " + Seconds(limits_.observe_for);
      } else if (Fresh(now.now, t.instance) == nullptr) {
        why = t.instance + " is unknown";
      } else if (!reload) {
        why = Guard(now, t.instance);
        if (!why.empty()) why = t.instance + " waits: " + why;
      }
    }
    if (!why.empty()) {
      held_back_ = why;
      return;  // in order: the next may only be taken when this one was
    }
    const auto& samples = known_.at(t.instance).samples;
    if (samples.size() >= 2) work_[i].before = ShareOf(samples.front().counts, samples.back().counts);
    Enter(now, i, reload || gives_back ? Stage::kTurning : Stage::kPausing);
    ++active;
  }
}

void Engine::EndIfOver(const Moment&) {
  bool open = false, failed = false;
  for (std::size_t i = 0; i < work_.size(); ++i) {
    const Progress& p = record_->progress[i];
    open = open || Active(i) ||
           (p.stage == Stage::kWaiting && p.undo == (record_->state == State::kRollingBack));
    failed = failed || p.stage == Stage::kFailed;
  }
  switch (record_->state) {
    case State::kRunning:
    case State::kHeld:
      if (!open) SetState(failed ? State::kFailed : State::kDone, record_->why);
      break;
    case State::kAborting: {
      bool active = false;
      for (std::size_t i = 0; i < work_.size(); ++i) active = active || Active(i);
      if (!active) SetState(failed ? State::kFailed : State::kAborted, record_->why);
      break;
    }
    case State::kRollingBack:
      if (!open) SetState(failed ? State::kFailed : State::kRolledBack, record_->why);
      break;
    default:
      break;
  }
}

}  // namespace oxbowspread::change
