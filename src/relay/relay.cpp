#include "relay/relay.hpp"

#include <algorithm>
#include <iostream>
#include <utility>
#include <variant>

namespace oxbowspread::relay {
namespace {

using namespace std::chrono_literals;
using Room = journal::FolderBudget::Room;
using wheathub::Outcome;

// Retry-after time sent to a client whose message is rejected without consulting the decision module.
constexpr Time kDefaultRetryAfter = 1s;

bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kRefused && outcome != Outcome::kNoConnection && outcome != Outcome::kNotSent;
}

// Time from the first submission of a message to its deadline, by its class; 0 if the class is not recorded.
Time ClassDeadline(const journal::Message& message) {
  return message.class_settings ? message.class_settings->deadline : Time(0);
}

}  // namespace

Relay::Relay(wheathub::Settings settings, std::uint64_t seed, journal::Journal& journal, const Ports& ports,
             Counters& counters)
    : classes_(settings.classes),
      settings_(MergeClasses(std::move(settings), classes_, journal)),
      decider_(settings_, seed),
      journal_(journal),
      ports_(ports),
      counters_(counters) {
  for (const std::string& host : journal_.excluded_hosts()) table_.ExcludeHost(host);
  counters_.hosts_excluded = journal_.excluded_hosts().size();
}

// Messages accepted by an earlier process keep the class that they had then, even if the current settings do
// not contain it.
wheathub::Settings Relay::MergeClasses(wheathub::Settings settings, ClassRegistry& classes,
                                       const journal::Journal& journal) {
  for (const auto& [id, entry] : journal.entries()) {
    if (entry.message.class_settings && !entry.ending) classes.FindOrAdd(*entry.message.class_settings);
  }
  settings.classes = classes.all();
  settings.must_request_list = false;  // lists arrive without a request: see Execute(SubscribeToList)
  return settings;
}

void Relay::UpdateSettings(wheathub::Settings settings) {
  wheathub::Decider(settings, 0);  // throws if the settings can't be used, before anything has changed
  std::set<int> used_classes;
  for (const auto& [id, message] : held_) used_classes.insert(message.class_index);
  for (const auto& [id, pending] : pending_) used_classes.insert(ClassIndexOf(pending.message));
  classes_.SetCurrent(settings.classes, used_classes);
  settings.classes = classes_.all();
  settings.must_request_list = false;
  settings_ = settings;
  Queue(wheathub::NewSettings{std::move(settings)});
}

int Relay::ClassIndexOf(const journal::Message& message) {
  if (message.class_settings) return classes_.FindOrAdd(*message.class_settings);
  return classes_.IndexOf(message.class_name);
}

bool Relay::RequiresKey(const std::string& class_name) const {
  const int class_index = classes_.IndexOf(class_name);
  return class_index >= 0 && classes_.at(class_index).semantics == wheathub::Semantics::kDeduplicated;
}

void Relay::Queue(wheathub::Event event) {
  if (events_.empty()) first_event_at_ = ports_.clock.Now();
  events_.push_back(std::move(event));
  ScheduleStep();
}

// Schedules the next step: queued events wait until a tick has passed since the last step, and a timer of the
// module may be due before any event arrives.
void Relay::ScheduleStep() {
  if (sending_stopped_) return;
  Time next = Time::max();
  if (!timers_.empty()) next = timers_.begin()->first;
  if (!events_.empty()) next = std::min(next, ports_.clock.Now());
  if (next != Time::max()) ports_.clock.WakeAt(std::max(next, last_step_at_ + settings_.tick));
}

void Relay::Recover(const RoutingChange& last_known, const HandoverState* handed_over_state) {
  std::map<std::string, Time> started_at;  // start times, by message id
  if (handed_over_state == nullptr) {
    RoutingChanged(last_known);
  } else {
    RoutingChange routing_table = handed_over_state->routing_table;
    for (const InFlightAttempt& attempt : handed_over_state->in_flight) {
      started_at[attempt.id] = attempt.started_at;
      const journal::Entry* entry = journal_.Find(attempt.id);
      const bool is_listed = std::any_of(routing_table.hosts.begin(), routing_table.hosts.end(),
                                         [&](const Host& host) { return host.info.id == attempt.host; });
      if (entry == nullptr || !entry->open_attempt || is_listed) continue;
      // The decision module needs the host of every attempt in its list, even one that is no longer listed.
      Host removed_host;
      removed_host.info = {attempt.host,
                           entry->message.destination,
                           0,
                           entry->open_attempt->zone,
                           1,
                           wheathub::Lifecycle::kRemoved};
      routing_table.hosts.push_back(removed_host);
    }
    RoutingChanged(routing_table);
    for (const wheathub::LearnedState& learned_state : handed_over_state->learned_states)
      Queue(learned_state);
    for (const EndedMessage& ended : handed_over_state->ended_messages)
      ended_messages_.Add(ended, ports_.clock.Now());
  }
  for (const auto& [id, entry] : journal_.entries()) {
    if (entry.ending) {
      counters_.recovered_notices += 1;
      ports_.notices.Post(id, *entry.ending);
      continue;
    }
    counters_.recovered += 1;
    wheathub::Message message = MakeMessageEvent(entry);
    message.history.recovered = true;
    if (const auto it = started_at.find(id); it != started_at.end() && entry.open_attempt) {
      message.history.in_flight = true;
      message.history.since_sent = ports_.clock.Now() - it->second;
      // The deadline has passed, and the attempt in flight may have run the message.
      if (message.expires_in <= Time(0)) message.history.may_have_run = true;
      in_flight_[{id, entry.attempts - 1}] = {entry.open_attempt->host, it->second, true};
    }
    const bool is_unattempted = entry.attempts == 0 && 2 * message.expires_in >= ClassDeadline(entry.message);
    counters_.recovered_unattempted += is_unattempted;
    held_[id] = {ports_.clock.Now() + message.expires_in, entry.attempts, message.message_class,
                 is_unattempted};
    Queue(message);
  }
  ProcessEvents();
}

wheathub::Message Relay::MakeMessageEvent(const journal::Entry& entry) {
  const journal::Message& message = entry.message;
  wheathub::Message event;
  event.id = message.id;
  event.message_class = ClassIndexOf(message);
  event.destination = message.destination;
  event.expires_in = message.deadline - ports_.clock.UnixNow();
  event.resubmitted = message.resubmitted;
  event.history.sends = entry.attempts;
  event.history.last_endpoint = entry.last_host;
  if (entry.first_uncertain) {
    event.history.may_have_run = true;
    event.history.since_first_uncertain =
        std::max(Time(0), ports_.clock.UnixNow() - entry.first_uncertain->started_at);
    event.history.first_uncertain_zone = entry.first_uncertain->zone;
  }
  return event;
}

// ---- clients ----

void Relay::Submit(journal::Message message, Client& client) {
  counters_.messages += 1;
  const std::string id = message.id;
  if (journal_.Find(id) != nullptr) {
    // The message is already accepted. The client submitted it again because its connection had ended.
    counters_.duplicates += 1;
    client.OnAccepted();
    return;
  }
  if (const EndedMessage* const ended = ended_messages_.Find(id, ports_.clock.Now()))
    return AnswerEnded(*ended, client);
  if (const auto it = pending_.find(id); it != pending_.end()) {
    it->second.clients.push_back(&client);
    return;
  }
  const auto max_held = static_cast<std::size_t>(std::max(0, settings_.max_open));
  const bool is_full = sending_stopped_ || (max_held > 0 && held_.size() + pending_.size() >= max_held);
  const int class_index = classes_.IndexOf(message.class_name);
  if (class_index >= 0) message.class_settings = classes_.at(class_index);
  const Room room = is_full ? Room::kNone : journal_.RoomFor(message);
  if (room == Room::kNone) {
    (is_full ? counters_.rejected_at_limit : counters_.rejected_by_journal) += 1;
    client.OnRejected(kDefaultRetryAfter);
    return;
  }
  const Time deadline = ports_.clock.Now() + (message.deadline - ports_.clock.UnixNow());
  PendingMessage& pending = pending_[id] = {std::move(message), {&client}, deadline, {}};
  if (room == Room::kFree) PassToDecider(pending);
}

void Relay::AnswerEnded(const EndedMessage& ended, Client& client) {
  counters_.duplicates += 1;
  if (client.OnAccepted() && ended.ending) ports_.notices.Post(ended.id, *ended.ending);
}

void Relay::PassToDecider(PendingMessage& pending) {
  pending.reservation.emplace(journal_.Reserve(pending.message));
  journal::Entry entry;
  entry.message = pending.message;
  Queue(MakeMessageEvent(entry));
}

// A message waits only while another one has a reservation, and each step ends all reservations, so it waits
// for as many steps as it takes to answer the messages before it.
void Relay::AdmitWaiting() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingMessage& pending = it->second;
    const Room room = pending.reservation ? Room::kAfterPending : journal_.RoomFor(pending.message);
    if (room == Room::kFree) PassToDecider(pending);
    if (room == Room::kNone) {
      counters_.rejected_by_journal += 1;
      Reject(pending, kDefaultRetryAfter);
      it = pending_.erase(it);
    } else {
      ++it;
    }
  }
}

void Relay::Reject(const PendingMessage& pending, Time retry_after) {
  for (Client* client : pending.clients) client->OnRejected(retry_after);
}

// Rejects all pending messages, because a client whose connection is closed without an answer loses its
// message. Cancels the attempts that are still waiting for their connection, because they might not end
// before the process exits.
void Relay::StopSending() {
  if (std::exchange(sending_stopped_, true)) return;
  for (const auto& [id, pending] : std::exchange(pending_, {})) Reject(pending, kDefaultRetryAfter);
  CancelUnwritten();
}

void Relay::CancelUnwritten() {
  std::vector<AttemptId> unwritten;
  for (const auto& [attempt, state] : in_flight_) {
    if (!state.written) unwritten.push_back(attempt);
  }
  for (const AttemptId& attempt : unwritten) {
    ports_.endpoints.CancelAttempt(attempt);
    AttemptEnded(attempt, {Outcome::kNotSent, false, Time(0)});
  }
}

void Relay::Withdraw(Client& client) {
  for (auto it = pending_.begin(); it != pending_.end(); ++it) {
    auto& waiting_clients = it->second.clients;
    if (std::erase(waiting_clients, &client) == 0 || !waiting_clients.empty()) continue;
    // The client disconnected before the answer, so the queued message must not reach the decision module.
    counters_.withdrawn += 1;
    std::erase_if(events_, [&](const wheathub::Event& event) {
      const auto* message = std::get_if<wheathub::Message>(&event);
      return message != nullptr && message->id == it->first;
    });
    const bool had_reservation = it->second.reservation.has_value();
    pending_.erase(it);
    if (had_reservation) AdmitWaiting();
    return;
  }
}

void Relay::AnswerPending(const std::vector<wheathub::Action>& actions) {
  std::map<std::string, Time> retry_after_by_id;
  for (const auto& action : actions) {
    const auto* refuse = std::get_if<wheathub::Refuse>(&action);
    if (refuse != nullptr && pending_.count(refuse->id) > 0)
      retry_after_by_id[refuse->id] = refuse->retry_after;
  }
  for (auto& [id, pending] : std::exchange(pending_, {})) {
    const auto it = retry_after_by_id.find(id);
    if (!pending.reservation) {
      pending_[id] = std::move(pending);
    } else if (it != retry_after_by_id.end()) {
      counters_.rejected_by_decider += 1;
      Reject(pending, it->second);
      pending.reservation.reset();
    } else if (!AcceptPending(pending)) {
      // The message was not accepted, so the decision module must drop it. A Send that the module has already
      // returned for it is not executed.
      Queue(wheathub::Withdrawn{id});
    }
  }
  AdmitWaiting();
}

bool Relay::AcceptPending(PendingMessage& pending) {
  const journal::Message& message = pending.message;
  if (!journal_.Accept(message, std::move(*pending.reservation))) {
    counters_.rejected_by_journal += 1;
    Reject(pending, kDefaultRetryAfter);
    return false;
  }
  bool is_any_client_connected = false;
  for (Client* client : pending.clients)
    is_any_client_connected = client->OnAccepted() || is_any_client_connected;
  if (!is_any_client_connected) {
    counters_.withdrawn += 1;
    journal_.Close(message.id);
    return false;
  }
  counters_.accepted += 1;
  held_[message.id] = {pending.deadline, 0, ClassIndexOf(message), false};
  return true;
}

// ---- handover and steps ----

HandoverState Relay::PrepareHandover() {
  while (!pending_.empty()) Step(ports_.clock.Now());
  HandoverState handover_state;
  handover_state.routing_table = table_.Listed();
  handover_state.learned_states = decider_.learned_states();
  handover_state.ended_messages = ended_messages_.All();
  for (const auto& [attempt, attempt_state] : in_flight_) {
    if (!attempt_state.written) continue;
    const auto held = held_.find(attempt.id);
    const Time deadline = held == held_.end() ? Time(0) : held->second.deadline;
    handover_state.in_flight.push_back({attempt.id, attempt_state.host, attempt_state.started_at, deadline});
  }
  CancelUnwritten();
  return handover_state;
}

void Relay::CompleteHandover(ResultListener listener) {
  sending_stopped_ = true;
  result_listener_ = std::move(listener);
  journal_.Release();
  events_.clear();
  held_.clear();
}

AttemptId Relay::FindAttempt(const std::string& id) const {
  const auto it = in_flight_.lower_bound({id, 0});
  return it == in_flight_.end() || it->first.id != id ? AttemptId{id, -1} : it->first;
}

void Relay::CancelHandedOver(const std::string& id) {
  const AttemptId attempt = FindAttempt(id);
  if (!handed_over() || in_flight_.erase(attempt) == 0) return;
  ports_.endpoints.CancelAttempt(attempt);
}

void Relay::ProcessEvents() {
  if (sending_stopped_) return;
  const Time now = ports_.clock.Now();
  if (now < last_step_at_ + settings_.tick) return ScheduleStep();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    events_.push_back(wheathub::TimerDue{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  if (events_.empty()) return ScheduleStep();
  Step(now);
  ScheduleStep();
}

void Relay::Step(Time now) {
  counters_.steps += 1;
  if (first_event_at_ > Time(0)) {
    const auto delay_us = static_cast<std::uint64_t>((now - first_event_at_).count());
    counters_.longest_step_delay_us = std::max(counters_.longest_step_delay_us, delay_us);
  }
  first_event_at_ = Time(0);
  last_step_at_ = now;
  const std::vector<wheathub::Event> events = std::exchange(events_, {});
  const std::vector<wheathub::Action> actions = decider_.Step(now, events);
  AnswerPending(actions);
  for (const auto& action : actions)
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  const auto duration_us = static_cast<std::uint64_t>((ports_.clock.Now() - now).count());
  counters_.longest_step_us = std::max(counters_.longest_step_us, duration_us);
}

void Relay::Execute(const wheathub::SetTimer& timer) { timers_.emplace(timer.at, timer.token); }

void Relay::Execute(const wheathub::Log& log) {
  (ports_.log != nullptr ? *ports_.log : std::cout) << "module: " << log.text << std::endl;
}

// Probes are calls without a message from a client, which the platform does not accept; the settings never
// enable them.
void Relay::Execute(const wheathub::Probe& probe) {
  Queue(wheathub::ProbeEnded{probe.endpoint, Outcome::kNotSent, Time(0), Time(0), std::nullopt});
}

// ---- attempts ----

AttemptRequest Relay::MakeAttemptRequest(const wheathub::Send& send, const HeldMessage& held) const {
  const journal::Entry& entry = *journal_.Find(send.id);
  const Time now = ports_.clock.Now();
  AttemptRequest request;
  request.attempt = {send.id, held.send_count};
  request.host = send.endpoint;
  request.key = entry.message.key;
  request.body = entry.message.body;
  request.timeout_at = held.deadline;
  if (send.timeout > Time(0)) request.timeout_at = std::min(request.timeout_at, now + send.timeout);
  request.write_deadline = held.deadline;
  const wheathub::MessageClass& message_class = classes_.at(held.class_index);
  if (entry.first_uncertain && message_class.semantics == wheathub::Semantics::kDeduplicated) {
    // The module observes the repeat window when it decides to send. The write deadline also enforces it when
    // opening the connection takes a long time.
    const Time since_first_uncertain = ports_.clock.UnixNow() - entry.first_uncertain->started_at;
    request.write_deadline =
        std::min(request.write_deadline, now - since_first_uncertain + message_class.repeat_window);
  }
  return request;
}

void Relay::Execute(const wheathub::Send& send) {
  const auto it = held_.find(send.id);
  if (it == held_.end()) {
    wheathub::AttemptEnded ended{
        .id = send.id, .endpoint = send.endpoint, .outcome = Outcome::kNotSent, .reported_limit = {}};
    ended.message_ended = true;
    return Queue(std::move(ended));
  }
  counters_.attempts += 1;
  AttemptRequest request = MakeAttemptRequest(send, it->second);
  it->second.send_count += 1;
  in_flight_[request.attempt] = {send.endpoint, ports_.clock.Now(), false};
  ports_.endpoints.StartAttempt(std::move(request));
}

bool Relay::RecordAttemptStart(const AttemptId& attempt, const std::string& host, int zone) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end() || sending_stopped_) return false;
  it->second.written = journal_.BeginAttempt(attempt.id, {host, zone, ports_.clock.UnixNow()});
  return it->second.written;
}

void Relay::CountOutcome(const AttemptResult& result) {
  switch (result.outcome) {
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

// The outcome is recorded immediately, even if no further step of the decision module follows.
void Relay::AttemptEnded(const AttemptId& attempt, const AttemptResult& result) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return;
  const AttemptState attempt_state = it->second;
  in_flight_.erase(it);
  CountOutcome(result);
  if (handed_over()) return result_listener_(attempt.id, result);
  const bool message_ended = result.ends_message || result.outcome == Outcome::kServed;
  if (message_ended && journal_.Find(attempt.id) != nullptr) {
    const auto held = held_.find(attempt.id);
    const bool is_served = result.outcome == Outcome::kServed;
    // A client counts the deadline from the time at which it sent the message, which is up to kClientTimeout
    // before the relay read it. A delivery in the last kClientTimeout before the deadline may therefore be
    // late for the client, and is reported as undeliverable.
    const bool may_be_late =
        held != held_.end() && ports_.clock.Now() >= held->second.deadline - kClientTimeout;
    counters_.delivered += is_served;
    const std::optional<journal::Ending> ending =
        is_served && may_be_late ? std::optional(journal::Ending{false, 0}) : std::nullopt;
    if (is_served && held != held_.end())
      ended_messages_.Add({attempt.id, held->second.deadline, ending}, ports_.clock.Now());
    if (held != held_.end()) held_.erase(held);
    if (ending) {
      RecordAndNotify(attempt.id, *ending);
    } else {
      journal_.Close(attempt.id);
    }
  } else if (attempt_state.written) {
    journal_.EndAttempt(attempt.id, MayHaveRun(result.outcome));
  }
  wheathub::AttemptEnded ended;
  ended.id = attempt.id;
  ended.attempt = attempt.number;
  ended.endpoint = attempt_state.host;
  ended.outcome = result.outcome;
  ended.latency = ports_.clock.Now() - attempt_state.started_at;
  ended.message_ended = message_ended;
  ended.retry_after = result.retry_after;
  Queue(std::move(ended));
}

void Relay::Execute(const wheathub::Cancel& cancel) {
  const AttemptId attempt{cancel.id, cancel.attempt};
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return;  // the end of the attempt is already queued for the module
  const bool written = it->second.written;
  if (!ports_.endpoints.CancelAttempt(attempt)) return;
  // If the response had already arrived, CancelAttempt has processed it and this call does nothing.
  AttemptEnded(attempt, {written ? Outcome::kCancelled : Outcome::kNotSent, false, Time(0)});
}

// ---- endings ----

void Relay::EndUndelivered(const std::string& id, const journal::Ending& ending) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  if (const journal::Entry* const entry = journal_.Find(id)) {
    // Counts a recovered message that was never attempted although more than a tenth of its class's deadline
    // is left, and any message that certainly has not run and ends with more than 30 % left.
    const Time remaining = it->second.deadline - ports_.clock.Now();
    const Time class_deadline = ClassDeadline(entry->message);
    counters_.ended_unattempted +=
        it->second.unattempted && entry->attempts == 0 && 10 * remaining > class_deadline;
    const bool is_early = 10 * remaining > 3 * class_deadline;
    counters_.returned_early += is_early && !entry->first_uncertain;
    if (entry->first_uncertain) ended_messages_.Add({id, it->second.deadline, ending}, ports_.clock.Now());
  }
  held_.erase(it);
  (ending.deferred ? counters_.deferred : counters_.undeliverable) += 1;
  RecordAndNotify(id, ending);
}

void Relay::RecordAndNotify(const std::string& id, const journal::Ending& ending) {
  journal_.RecordEnding(id, ending);
  ports_.notices.Post(id, ending);
}

void Relay::Execute(const wheathub::Refuse& refuse) {
  EndUndelivered(refuse.id,
                 {true, std::chrono::duration_cast<std::chrono::milliseconds>(refuse.retry_after).count()});
}

void Relay::Execute(const wheathub::Fail& fail) { EndUndelivered(fail.id, {false, 0}); }

void Relay::NoticeAccepted(const std::string& id) {
  counters_.notices_accepted += 1;
  journal_.Close(id);
}

// ---- routing table ----

void Relay::RoutingChanged(const RoutingChange& change) {
  counters_.list_changes += 1;
  PublishRouting(table_.Apply(change));
}

// The update is queued before the change is applied to the transport, because the transport may then report
// waits for the hosts, and the module ignores waits for hosts that it has not received.
void Relay::PublishRouting(const RoutingChange& change) {
  wheathub::ListUpdate update;
  update.scope = change.scope;
  update.revision = change.revision;
  for (const Host& host : change.hosts) {
    update.endpoints.push_back(host.info);
    known_destinations_.insert(host.info.destination);
  }
  Queue(std::move(update));
  ports_.endpoints.ApplyRoutingChange(change);
}

void Relay::DelayHost(const std::string& host, Time until) {
  Queue(wheathub::RetryAfterReceived{host, until});
}

void Relay::SetListValidUntil(Time valid_until) {
  ports_.endpoints.SetListValidUntil(valid_until);
  Queue(wheathub::ListValidity{valid_until});
}

std::optional<std::string> Relay::ExcludeHost(const std::string& host) {
  if (!table_.IsListed(host) && !table_.IsExcluded(host)) return "host " + host + " is not listed";
  if (!journal_.ExcludeHost(host))
    return "it can't be recorded: too many hosts are excluded, or the disk is full";
  PublishRouting(table_.ExcludeHost(host));
  counters_.hosts_excluded = journal_.excluded_hosts().size();
  return std::nullopt;
}

std::optional<std::string> Relay::IncludeHost(const std::string& host) {
  if (!table_.IsListed(host) && !table_.IsExcluded(host))
    return "host " + host + " is neither listed nor excluded";
  if (!journal_.IncludeHost(host)) return "it can't be recorded: the disk is full";
  PublishRouting(table_.IncludeHost(host));
  counters_.hosts_excluded = journal_.excluded_hosts().size();
  return std::nullopt;
}

void Relay::StaleRoutingReceived(const RoutingChange& older) {
  const RoutingChange change = table_.ApplyStale(older);
  if (!change.hosts.empty()) PublishRouting(change);
}

}  // namespace oxbowspread::relay
