#include "relay/relay.hpp"

#include <algorithm>
#include <iostream>
#include <utility>
#include <variant>

namespace oxbowspread::relay {
namespace {

using namespace std::chrono_literals;
using wheathub::Outcome;

constexpr Time kComeAgain = 1s;  // told to a client where the module had no say

bool MayHaveRun(Outcome o) {
  return o != Outcome::kRefused && o != Outcome::kNoConnection && o != Outcome::kNotSent;
}

// What a message of its class has, from when it was first handed in.
Time WholeTimeOf(const journal::Message& a) { return a.rules ? a.rules->deadline : Time(0); }

}  // namespace

Relay::Relay(wheathub::Settings settings, std::uint64_t seed, journal::Journal& journal, const Sides& sides,
             Counters& counters)
    : classes_(settings.classes),
      settings_(Merged(std::move(settings), classes_, journal)),
      decider_(settings_, seed),
      journal_(journal),
      sides_(sides),
      counters_(counters) {
  for (const std::string& host : journal_.out()) table_.TakeOut(host);
  counters_.hosts_out = journal_.out().size();
}

// What an earlier life took on keeps the class that it had then, even if the settings don't hold it any more.
wheathub::Settings Relay::Merged(wheathub::Settings settings, Classes& classes,
                                 const journal::Journal& journal) {
  for (const auto& [id, entry] : journal.entries()) {
    if (entry.message.rules && !entry.ending) classes.NumberOf(*entry.message.rules);
  }
  settings.classes = classes.all();
  settings.must_request_list = false;  // not by the module: see Do(SubscribeToList)
  return settings;
}

void Relay::Renew(wheathub::Settings settings) {
  wheathub::Decider(settings, 0);  // throws, before anything has changed
  std::set<int> held;
  for (const auto& [id, h] : held_) held.insert(h.message_class);
  for (const auto& [id, fresh] : fresh_) held.insert(ClassOf(fresh.message));
  classes_.Renew(settings.classes, held);
  settings.classes = classes_.all();
  settings.must_request_list = false;
  settings_ = settings;
  Queue(wheathub::NewSettings{std::move(settings)});
}

int Relay::ClassOf(const journal::Message& message) {
  if (message.rules) return classes_.NumberOf(*message.rules);
  return classes_.Current(message.class_name);
}

bool Relay::NeedsKey(const std::string& class_name) const {
  const int c = classes_.Current(class_name);
  return c >= 0 && classes_.at(c).semantics == wheathub::Semantics::kDeduplicated;
}

void Relay::Queue(wheathub::Event event) {
  if (events_.empty()) first_event_ = sides_.clock.Now();
  events_.push_back(std::move(event));
  Wake();
}

// Events wait for the rest of their tick; a timer of the module may be due earlier than any event comes.
void Relay::Wake() {
  if (settled_) return;
  Time next = Time::max();
  if (!timers_.empty()) next = timers_.begin()->first;
  if (!events_.empty()) next = std::min(next, sides_.clock.Now());
  if (next != Time::max()) sides_.clock.WakeAt(std::max(next, last_turn_ + settings_.tick));
}

void Relay::Recover(const RoutingChange& known, const Estate* taken) {
  std::map<std::string, Time> out;  // since when
  if (taken == nullptr) {
    RoutingChanged(known);
  } else {
    RoutingChange table = taken->table;
    for (const AttemptOut& attempt : taken->out) {
      out[attempt.id] = attempt.begun;
      const journal::Entry* entry = journal_.Find(attempt.id);
      const bool listed = std::any_of(table.hosts.begin(), table.hosts.end(),
                                      [&](const Host& h) { return h.info.id == attempt.host; });
      if (entry == nullptr || !entry->open || listed) continue;
      // The module must know the host of every attempt, also one that has left the list.
      Host gone;
      gone.info = {
          attempt.host, entry->message.destination, 0, entry->open->zone, 1, wheathub::Lifecycle::kRemoved};
      table.hosts.push_back(gone);
    }
    RoutingChanged(table);
    for (const wheathub::Belief& belief : taken->beliefs) Queue(belief);
  }
  for (const auto& [id, entry] : journal_.entries()) {
    if (entry.ending) {
      counters_.recovered_notices += 1;
      sides_.notices.Post(id, *entry.ending);
      continue;
    }
    counters_.recovered += 1;
    wheathub::Message message = MessageOf(entry);
    message.history.recovered = true;
    if (const auto it = out.find(id); it != out.end() && entry.open) {
      message.history.in_flight = true;
      message.history.since_sent = sides_.clock.Now() - it->second;
      // Its time is up, and it can't be said that it never ran.
      if (message.expires_in <= Time(0)) message.history.may_have_run = true;
      out_[{id, entry.attempts - 1}] = {entry.open->host, it->second, true};
    }
    const bool untried = entry.attempts == 0 && 2 * message.expires_in >= WholeTimeOf(entry.message);
    counters_.recovered_untried += untried;
    held_[id] = {sides_.clock.Now() + message.expires_in, entry.attempts, message.message_class, untried};
    Queue(message);
  }
  Turn();
}

wheathub::Message Relay::MessageOf(const journal::Entry& entry) {
  const journal::Message& a = entry.message;
  wheathub::Message m;
  m.id = a.id;
  m.message_class = ClassOf(a);
  m.destination = a.destination;
  m.expires_in = a.ends_at - sides_.clock.UnixNow();
  m.resubmitted = a.again;
  m.history.sends = entry.attempts;
  m.history.last_endpoint = entry.last_host;
  if (entry.first_risk) {
    m.history.may_have_run = true;
    m.history.since_risk = std::max(Time(0), sides_.clock.UnixNow() - entry.first_risk->at);
    m.history.risk_zone = entry.first_risk->zone;
  }
  return m;
}

// ---- the clients ----

void Relay::Submit(journal::Message message, Client& from) {
  counters_.messages += 1;
  const std::string id = message.id;
  if (journal_.Find(id) != nullptr) {
    // Handed in once more because its connection ended: it is taken on already.
    counters_.known_again += 1;
    from.TakenOn();
    return;
  }
  if (const auto it = fresh_.find(id); it != fresh_.end()) {
    it->second.from.push_back(&from);
    return;
  }
  const auto most = static_cast<std::size_t>(std::max(0, settings_.max_open));
  const bool full = settled_ || (most > 0 && held_.size() + fresh_.size() >= most);
  const bool no_room = !journal_.CanHold(message.body.size());
  if (full || no_room) {
    (full ? counters_.busy_full : counters_.busy_journal) += 1;
    from.Refused(kComeAgain);
    return;
  }
  const int c = classes_.Current(message.class_name);
  if (c >= 0) message.rules = classes_.at(c);
  journal::Entry entry;
  entry.message = message;
  wheathub::Message event = MessageOf(entry);
  event.expires_in = message.ends_at - sides_.clock.UnixNow();
  fresh_[id] = {std::move(message), {&from}, sides_.clock.Now() + event.expires_in};
  Queue(std::move(event));
}

// Whoever is not taken on by now hears so: a connection that ends without an answer loses the message. An
// attempt that still waits for its connection is taken back: written now it might not end before the process
// does.
void Relay::Settle() {
  if (std::exchange(settled_, true)) return;
  for (const auto& [id, fresh] : std::exchange(fresh_, {})) {
    for (Client* from : fresh.from) from->Refused(kComeAgain);
  }
  TakeBackUnwritten();
}

void Relay::TakeBackUnwritten() {
  std::vector<AttemptId> unwritten;
  for (const auto& [attempt, out] : out_) {
    if (!out.written) unwritten.push_back(attempt);
  }
  for (const AttemptId& attempt : unwritten) {
    sides_.endpoints.Cut(attempt);
    AttemptEnded(attempt, {Outcome::kNotSent, false, Time(0)});
  }
}

void Relay::Withdraw(Client& from) {
  for (auto it = fresh_.begin(); it != fresh_.end(); ++it) {
    auto& waiting = it->second.from;
    if (std::erase(waiting, &from) == 0 || !waiting.empty()) continue;
    // Gone before it was answered: the module has not seen it yet and never will.
    counters_.withdrawn += 1;
    std::erase_if(events_, [&](const wheathub::Event& event) {
      const auto* message = std::get_if<wheathub::Message>(&event);
      return message != nullptr && message->id == it->first;
    });
    fresh_.erase(it);
    return;
  }
}

void Relay::AnswerFresh(const std::vector<wheathub::Action>& actions) {
  std::map<std::string, Time> refused;
  for (const auto& action : actions) {
    const auto* refuse = std::get_if<wheathub::Refuse>(&action);
    if (refuse != nullptr && fresh_.count(refuse->id) > 0) refused[refuse->id] = refuse->retry_after;
  }
  for (const auto& [id, fresh] : std::exchange(fresh_, {})) {
    const auto it = refused.find(id);
    if (it != refused.end()) {
      counters_.busy_by_module += 1;
      for (Client* from : fresh.from) from->Refused(it->second);
    } else if (!TakeOn(fresh)) {
      // The module has it, nobody else: it must forget it, and what it sends now is not sent.
      Queue(wheathub::Withdrawn{id});
    }
  }
}

bool Relay::TakeOn(const Fresh& fresh) {
  const journal::Message& a = fresh.message;
  if (!journal_.Accept(a)) {
    counters_.busy_journal += 1;
    for (Client* from : fresh.from) from->Refused(kComeAgain);
    return false;
  }
  bool heard = false;
  for (Client* from : fresh.from) heard = from->TakenOn() || heard;
  if (!heard) {
    counters_.withdrawn += 1;
    journal_.Close(a.id);
    return false;
  }
  counters_.taken_on += 1;
  held_[a.id] = {fresh.ends_at, 0, ClassOf(a), false};
  return true;
}

// ---- turns ----

Estate Relay::Freeze() {
  if (!fresh_.empty()) Step(sides_.clock.Now());
  Estate all;
  all.table = table_.Listed();
  all.beliefs = decider_.beliefs();
  for (const auto& [attempt, out] : out_) {
    if (!out.written) continue;
    const auto held = held_.find(attempt.id);
    const Time ends_at = held == held_.end() ? Time(0) : held->second.ends_at;
    all.out.push_back({attempt.id, out.host, out.begun, ends_at});
  }
  TakeBackUnwritten();
  return all;
}

void Relay::Given(Told told) {
  settled_ = true;
  told_ = std::move(told);
  journal_.Release();
  events_.clear();
  held_.clear();
}

AttemptId Relay::AttemptOf(const std::string& id) const {
  const auto it = out_.lower_bound({id, 0});
  return it == out_.end() || it->first.id != id ? AttemptId{id, -1} : it->first;
}

void Relay::CutGiven(const std::string& id) {
  const AttemptId attempt = AttemptOf(id);
  if (!given() || out_.erase(attempt) == 0) return;
  sides_.endpoints.Cut(attempt);
}

void Relay::Turn() {
  if (settled_) return;
  const Time now = sides_.clock.Now();
  if (now < last_turn_ + settings_.tick) return Wake();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    events_.push_back(wheathub::TimerDue{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  if (events_.empty()) return Wake();
  Step(now);
  Wake();
}

void Relay::Step(Time now) {
  counters_.turns += 1;
  if (first_event_ > Time(0)) {
    const auto late = static_cast<std::uint64_t>((now - first_event_).count());
    counters_.latest_turn_us = std::max(counters_.latest_turn_us, late);
  }
  first_event_ = Time(0);
  last_turn_ = now;
  const std::vector<wheathub::Event> events = std::exchange(events_, {});
  const std::vector<wheathub::Action> actions = decider_.Step(now, events);
  AnswerFresh(actions);
  for (const auto& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
  const auto took = static_cast<std::uint64_t>((sides_.clock.Now() - now).count());
  counters_.longest_turn_us = std::max(counters_.longest_turn_us, took);
}

void Relay::Do(const wheathub::SetTimer& timer) { timers_.emplace(timer.at, timer.token); }

void Relay::Do(const wheathub::Log& log) {
  (sides_.log != nullptr ? *sides_.log : std::cout) << "module: " << log.text << std::endl;
}

// Probes are calls that no client handed in, which the platform doesn't take; the settings never allow them.
void Relay::Do(const wheathub::Probe& probe) {
  Queue(wheathub::ProbeEnded{probe.endpoint, Outcome::kNotSent, Time(0), Time(0), std::nullopt});
}

// ---- attempts ----

AttemptOrder Relay::OrderOf(const wheathub::Send& send, const Held& held) const {
  const journal::Entry& entry = *journal_.Find(send.id);
  const Time now = sides_.clock.Now();
  AttemptOrder order;
  order.attempt = {send.id, held.sends};
  order.host = send.endpoint;
  order.key = entry.message.key;
  order.body = entry.message.body;
  order.give_up_at = held.ends_at;
  if (send.timeout > Time(0)) order.give_up_at = std::min(order.give_up_at, now + send.timeout);
  order.write_before = held.ends_at;
  const wheathub::MessageClass& c = classes_.at(held.message_class);
  if (entry.first_risk && c.semantics == wheathub::Semantics::kDeduplicated) {
    // The module keeps to the window when it sends; a connection that takes its time must not slip past it.
    const Time since = sides_.clock.UnixNow() - entry.first_risk->at;
    order.write_before = std::min(order.write_before, now - since + c.repeat_window);
  }
  return order;
}

void Relay::Do(const wheathub::Send& send) {
  const auto it = held_.find(send.id);
  if (it == held_.end()) {
    wheathub::AttemptEnded ended{
        .id = send.id, .endpoint = send.endpoint, .outcome = Outcome::kNotSent, .allowance = {}};
    ended.closed = true;
    return Queue(std::move(ended));
  }
  counters_.attempts += 1;
  AttemptOrder order = OrderOf(send, it->second);
  it->second.sends += 1;
  out_[order.attempt] = {send.endpoint, sides_.clock.Now(), false};
  sides_.endpoints.Begin(std::move(order));
}

bool Relay::AttemptWriting(const AttemptId& attempt, const std::string& host, int zone) {
  const auto it = out_.find(attempt);
  if (it == out_.end() || settled_) return false;
  it->second.written = journal_.BeginAttempt(attempt.id, {host, zone, sides_.clock.UnixNow()});
  return it->second.written;
}

void Relay::Count(const AttemptEnd& end) {
  switch (end.outcome) {
    case Outcome::kServed:
      counters_.served += 1;
      break;
    case Outcome::kError:
      counters_.errors += 1;
      break;
    case Outcome::kRefused:
      counters_.refused += 1;
      break;
    case Outcome::kTimedOut:
      counters_.timed_out += 1;
      break;
    case Outcome::kNoConnection:
      counters_.no_connection += 1;
      break;
    case Outcome::kReset:
      counters_.reset += 1;
      break;
    case Outcome::kCancelled:
      counters_.cancelled += 1;
      break;
    case Outcome::kNotSent:
      counters_.not_sent += 1;
      break;
  }
}

// The outcome is on record at once, also when the module is not asked any more.
void Relay::AttemptEnded(const AttemptId& attempt, const AttemptEnd& end) {
  const auto it = out_.find(attempt);
  if (it == out_.end()) return;
  const Out out = it->second;
  out_.erase(it);
  Count(end);
  if (given()) return told_(attempt.id, end);
  const bool over = end.over || end.outcome == Outcome::kServed;
  if (over && journal_.Find(attempt.id) != nullptr) {
    const auto held = held_.find(attempt.id);
    const bool served = end.outcome == Outcome::kServed;
    // A client counts a message's time from when it sent it, up to kClientWaits before it was read here: what
    // is delivered in the last of its time may be late by that count.
    const bool late = held != held_.end() && sides_.clock.Now() >= held->second.ends_at - kClientWaits;
    counters_.delivered += served;
    if (held != held_.end()) held_.erase(held);
    if (served && late) {
      TellEnd(attempt.id, {false, 0});
    } else {
      journal_.Close(attempt.id);
    }
  } else if (out.written) {
    journal_.EndAttempt(attempt.id, MayHaveRun(end.outcome));
  }
  wheathub::AttemptEnded ended;
  ended.id = attempt.id;
  ended.attempt = attempt.number;
  ended.endpoint = out.host;
  ended.outcome = end.outcome;
  ended.latency = sides_.clock.Now() - out.begun;
  ended.closed = over;
  ended.retry_after = end.told_wait;
  Queue(std::move(ended));
}

void Relay::Do(const wheathub::Cancel& cancel) {
  const AttemptId attempt{cancel.id, cancel.attempt};
  const auto it = out_.find(attempt);
  if (it == out_.end()) return;  // its end is on the way to the module
  const bool written = it->second.written;
  if (!sides_.endpoints.Cut(attempt)) return;
  // What had come of it by then was taken first, and may have ended it.
  AttemptEnded(attempt, {written ? Outcome::kCancelled : Outcome::kNotSent, false, Time(0)});
}

// ---- ends ----

void Relay::End(const std::string& id, const journal::Ending& ending) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  if (const journal::Entry* const entry = journal_.Find(id)) {
    const Time left = it->second.ends_at - sides_.clock.Now();
    const Time whole = WholeTimeOf(entry->message);
    counters_.given_up_untried += it->second.untried && entry->attempts == 0 && 10 * left > whole;
    const bool early = 10 * left > 3 * whole;
    counters_.returned_early += early && !entry->first_risk;
  }
  held_.erase(it);
  (ending.deferred ? counters_.deferred : counters_.undeliverable) += 1;
  TellEnd(id, ending);
}

void Relay::TellEnd(const std::string& id, const journal::Ending& ending) {
  journal_.End(id, ending);
  sides_.notices.Post(id, ending);
}

void Relay::Do(const wheathub::Refuse& refuse) {
  End(refuse.id, {true, std::chrono::duration_cast<std::chrono::milliseconds>(refuse.retry_after).count()});
}

void Relay::Do(const wheathub::Fail& fail) { End(fail.id, {false, 0}); }

void Relay::NoticeTaken(const std::string& id) {
  counters_.notices_taken += 1;
  journal_.Close(id);
}

// ---- the routing table ----

void Relay::RoutingChanged(const RoutingChange& change) {
  counters_.list_changes += 1;
  Tell(table_.Adopt(change));
}

// The module hears of the hosts first: adopting them may tell what binds them.
void Relay::Tell(const RoutingChange& change) {
  wheathub::ListUpdate update;
  update.scope = change.scope;
  update.revision = change.revision;
  for (const Host& host : change.hosts) {
    update.endpoints.push_back(host.info);
    named_.insert(host.info.destination);
  }
  Queue(std::move(update));
  sides_.endpoints.Adopt(change);
}

void Relay::HostToldWait(const std::string& host, Time until) {
  Queue(wheathub::RetryAfterReceived{host, until});
}

void Relay::ListValidUntil(Time moment) {
  sides_.endpoints.ListValidUntil(moment);
  Queue(wheathub::ListValidity{moment});
}

std::optional<std::string> Relay::TakeOut(const std::string& host) {
  if (!table_.Lists(host) && !table_.IsOut(host)) return "no host " + host + " is listed";
  if (!journal_.TakeOut(host))
    return "it can't be put on record: too many hosts are out, or the disk is full";
  Tell(table_.TakeOut(host));
  counters_.hosts_out = journal_.out().size();
  return std::nullopt;
}

std::optional<std::string> Relay::PutBack(const std::string& host) {
  if (!table_.Lists(host) && !table_.IsOut(host)) return "no host " + host + " is listed or out";
  if (!journal_.PutBack(host)) return "it can't be put on record: the disk is full";
  Tell(table_.PutBack(host));
  counters_.hosts_out = journal_.out().size();
  return std::nullopt;
}

void Relay::RoutingBehind(const RoutingChange& older) {
  const RoutingChange withheld = table_.Withhold(older);
  if (!withheld.hosts.empty()) Tell(withheld);
}

}  // namespace oxbowspread::relay
