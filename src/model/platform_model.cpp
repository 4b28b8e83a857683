#include "model/platform_model.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace oxbowspread::model {
namespace {

using Kind = trace::Event::Kind;
using namespace std::chrono_literals;

constexpr Time kClientTimeout = 400ms;  // for the answer to a submission
constexpr Time kWaitAfterLastDeadline = 3s;
constexpr Time kHeartbeatInterval = 2s;   // of a watch while nothing changes
constexpr Time kListQueueTimeout = 2s;    // a call for the list that has waited this long is refused
constexpr Time kRepeatAnswerDelay = 5ms;  // of a host that has served the key before
constexpr Time kMaxRetryAfter = 2s;       // limit of a client's wait, whatever Retry-After the relay sends

Time Seconds(double seconds) { return Time(static_cast<Time::rep>(std::llround(seconds * 1e6))); }

std::string RandomHex(std::uint64_t seed, std::string_view name) {
  RandomStream random(seed, name);
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random.UniformBelow(~0ull)));
  return text;
}

}  // namespace

PlatformModel::PlatformModel(const Scenario& scenario, const Day& day, TraceSink sink)
    : scenario_(scenario),
      day_(day),
      sink_(std::move(sink)),
      list_lag_(day.list_lag),
      client_random_(day.seed, "clients"),
      network_random_(day.seed, "network"),
      host_random_(day.seed, "hosts") {
  const Scenario::Partners& partners = scenario_.partners;
  for (std::size_t h = 0; h < day_.hosts.size(); ++h) {
    const Host& host = day_.hosts[h];
    simulated_hosts_.emplace_back(host, partners.collapse_load_factor, partners.collapse_after);
    listening_.push_back(host.present_at_start);
    connections_.push_back(0);
    if (!host.present_at_start) continue;
    host_by_address_[host.address] = h;
    list_changes_.push_back(MakeEntry(h, ListEntry::State::kReady));
  }
  published_ = list_changes_.size();
  relays_.resize(static_cast<std::size_t>(day_.relays));
  for (RelayState& relay : relays_) relay.sent_version = published_;
  messages_.reserve(day_.arrivals.size());
  last_deadline_ = day_.length;
  if (!day_.arrivals.empty()) Schedule(day_.arrivals.front().due, TaskKind::kArrival, 0);
  for (std::size_t t = 0; t < day_.scheduled_events.size(); ++t)
    Schedule(day_.scheduled_events[t].at, TaskKind::kScheduledEvent, t);
  Schedule(kHeartbeatInterval, TaskKind::kHeartbeat, 0);
}

trace::Event PlatformModel::MakeEvent(Kind kind) const {
  trace::Event event;
  event.at = now_;
  event.kind = kind;
  return event;
}

trace::Event PlatformModel::MakeEvent(Kind kind, const Call& call) const {
  trace::Event event = MakeEvent(kind);
  const Host& host = day_.hosts[call.host];
  event.id = call.id;
  event.relay = call.relay;
  event.host = host.id;
  event.destination = host.partner;
  event.zone = host.zone;
  return event;
}

void PlatformModel::Schedule(Time at, TaskKind kind, std::uint64_t subject) {
  tasks_.push({std::max(at, now_), next_order_++, kind, subject});
}

Time PlatformModel::wake_at() const {
  if (done_) return Time::max();
  const Time end = last_deadline_ + kWaitAfterLastDeadline;
  return tasks_.empty() ? end : std::min(tasks_.top().at, end);
}

std::vector<Effect> PlatformModel::Step(Time now, const std::vector<Input>& inputs) {
  now_ = std::max(now_, now);
  if (!done_) {
    for (const Input& input : inputs) Handle(input);
    while (!tasks_.empty() && tasks_.top().at <= now_) {
      const Task task = tasks_.top();
      tasks_.pop();
      Execute(task);
    }
    const bool all_started = messages_.size() == day_.arrivals.size() && now_ >= day_.length;
    if ((all_started && pending_ == 0) || now_ >= last_deadline_ + kWaitAfterLastDeadline) {
      done_ = true;
      sink_(MakeEvent(Kind::kEnd));
    }
  }
  return std::exchange(effects_, {});
}

void PlatformModel::Execute(const Task& task) {
  switch (task.kind) {
    case TaskKind::kArrival:
      return StartMessage(task.subject);
    case TaskKind::kScheduledEvent:
      return Execute(day_.scheduled_events[task.subject]);
    case TaskKind::kResubmit:
      return Submit(task.subject);
    case TaskKind::kSubmissionTimeout: {
      const auto it = submissions_.find(task.subject);
      if (it == submissions_.end()) return;
      effects_.push_back(AbandonSubmission{task.subject, it->second.relay});
      return Handle(SubmissionAnswered{task.subject, SubmissionAnswered::Result::kConnectionLost, Time(0)});
    }
    case TaskKind::kCallArrives:
      return DeliverCallToHost(task.subject);
    case TaskKind::kCallAnswered:
      return FinishCall(task.subject);
    case TaskKind::kPublish:
      for (std::size_t v = published_; v < task.subject; ++v) {
        trace::Event event = MakeEvent(Kind::kHostChanged);
        event.host = list_changes_[v].id;
        event.up = list_changes_[v].state == ListEntry::State::kReady;
        sink_(event);
      }
      published_ = std::max<std::size_t>(published_, task.subject);
      for (int r = 0; r < day_.relays; ++r) {
        const RelayState& relay = relays_[static_cast<std::size_t>(r)];
        if (relay.watch_call != 0 && !relay.watch_silent) SendListChanges(r);
      }
      return;
    case TaskKind::kHeartbeat:
      return SendHeartbeats();
    case TaskKind::kServeListQueue:
      return ServeListQueue();
    case TaskKind::kRefuseList: {
      const ListRequested request = delayed_refusals_.extract(task.subject).mapped();
      effects_.push_back(RefuseList{request.relay, request.call});
      return;
    }
    case TaskKind::kStartRelay:
      effects_.push_back(StartRelay{static_cast<int>(task.subject)});
      return;
  }
}

void PlatformModel::Handle(const Input& input) {
  if (const auto* up = std::get_if<RelayUp>(&input)) {
    RelayState& relay = relays_[static_cast<std::size_t>(up->relay)];
    relay.up = relay.in_rotation = true;
    trace::Event event = MakeEvent(Kind::kReady);
    event.relay = up->relay;
    sink_(event);
  } else if (const auto* down = std::get_if<RelayDown>(&input)) {
    RelayState& relay = relays_[static_cast<std::size_t>(down->relay)];
    relay.up = relay.stopped = false;
    relay.watch_call = 0;
    for (QueuedListCall& queued : list_queue_) {
      if (queued.request.relay == down->relay) queued.caller_exited = true;
    }
    relay.detected_down_at =
        now_ + Seconds(network_random_.UniformIn(scenario_.network.failure_detection_delay));
    trace::Event event = MakeEvent(Kind::kExited);
    event.relay = down->relay;
    sink_(event);
    if (relay.downtime_s >= 0)
      Schedule(now_ + Seconds(relay.downtime_s), TaskKind::kStartRelay,
               static_cast<std::uint64_t>(down->relay));
  } else if (const auto* answered = std::get_if<SubmissionAnswered>(&input)) {
    Handle(*answered);
  } else if (const auto* received = std::get_if<CallReceived>(&input)) {
    Handle(*received);
  } else if (const auto* dropped = std::get_if<CallDropped>(&input)) {
    // The host continues: the call may still take effect, but no one receives its answer.
    const auto it = calls_.find(dropped->call);
    if (it == calls_.end()) return;
    sink_(MakeEvent(Kind::kConnectionLost, it->second));
    DeliverCallToHost(dropped->call);  // a call that is still in transit arrives as well
    calls_.erase(dropped->call);
  } else if (const auto* notice = std::get_if<NoticeReceived>(&input)) {
    Handle(*notice);
  } else if (const auto* ended = std::get_if<ListCallEnded>(&input)) {
    RelayState& relay = relays_[static_cast<std::size_t>(ended->relay)];
    if (relay.watch_call == ended->call) relay.watch_call = 0;
  } else if (const auto* request = std::get_if<ListRequested>(&input)) {
    Handle(*request);
  }
}

// ---- clients ----

void PlatformModel::StartMessage(std::uint64_t arrival_index) {
  const Arrival& arrival = day_.arrivals[arrival_index];
  lateness_ = std::max(lateness_, now_ - arrival.due);
  Message message;
  message.due = arrival.due;
  message.deadline = arrival.due + Seconds(scenario_.relay.deadline);
  message.destination = arrival.partner;
  message.local_relay = arrival.local_relay;
  message.key = RandomHex(day_.seed, "key-" + std::to_string(arrival_index));
  RandomStream random(day_.seed, "client-" + std::to_string(arrival_index));
  const double retries = random.UniformIn(scenario_.traffic.retries);
  message.retries = static_cast<int>(retries);
  last_deadline_ = std::max(last_deadline_, message.deadline);
  messages_.push_back(std::move(message));
  ++pending_;
  trace::Event event = MakeEvent(Kind::kMessageDue);
  event.message = arrival_index;
  event.destination = arrival.partner;
  event.deadline = messages_.back().deadline;
  sink_(event);
  Submit(arrival_index);
  if (arrival_index + 1 < day_.arrivals.size())
    Schedule(day_.arrivals[arrival_index + 1].due, TaskKind::kArrival, arrival_index + 1);
}

// Round robin over the relays in the load balancer's rotation; over all of them if none is in it.
int PlatformModel::PickRelay() {
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const std::size_t r = (next_relay_ + i) % relays_.size();
    RelayState& relay = relays_[r];
    const bool answers = relay.up && !relay.stopped;
    if (!answers && relay.in_rotation && now_ >= relay.detected_down_at) relay.in_rotation = false;
    if (!relay.in_rotation) continue;
    next_relay_ = r + 1;
    return static_cast<int>(r);
  }
  return static_cast<int>(next_relay_++ % relays_.size());
}

void PlatformModel::Submit(std::uint64_t number) {
  Message& message = messages_[number];
  if (message.ended) return;
  if (now_ >= message.deadline) return EndMessage(number);
  const std::uint64_t submission = ++submission_count_;
  SubmitMessage submit;
  submit.submission = submission;
  submit.relay = message.local_relay >= 0 ? message.local_relay : PickRelay();
  submit.id = RandomHex(day_.seed, "id-" + std::to_string(submission));
  submit.key = message.key;
  submit.time_left = message.deadline - now_;
  submit.destination = message.destination;
  submit.refused_before = message.refused_before;
  submit.lost_before = message.lost_before;
  submissions_[submission] = {number, submit.relay, submit.id};
  submission_states_[submit.id].message = number;
  trace::Event event = MakeEvent(Kind::kSubmitted);
  event.message = number;
  event.id = submit.id;
  event.relay = submit.relay;
  event.destination = message.destination;
  event.deadline = message.deadline;
  sink_(event);
  effects_.push_back(std::move(submit));
  Schedule(now_ + kClientTimeout, TaskKind::kSubmissionTimeout, submission);
}

void PlatformModel::Handle(const SubmissionAnswered& answered) {
  const auto it = submissions_.find(answered.submission);
  if (it == submissions_.end()) return;
  const Submission submission = it->second;
  submissions_.erase(it);
  SubmissionState& state = submission_states_[submission.id];
  trace::Event event = MakeEvent(Kind::kAccepted);
  event.id = submission.id;
  event.relay = submission.relay;
  event.message = submission.message;
  switch (answered.result) {
    case SubmissionAnswered::Result::kAccepted:
      sink_(event);
      state.accepted = true;
      if (state.delivered || state.noticed) EndMessage(submission.message);
      return;
    case SubmissionAnswered::Result::kRejected:
      event.kind = Kind::kRejected;
      event.retry_after = answered.retry_after;
      sink_(event);
      submission_states_.erase(submission.id);
      return HandleRejection(submission.message, answered.retry_after);
    case SubmissionAnswered::Result::kConnectionLost:
      event.kind = Kind::kUnanswered;
      sink_(event);
      state.abandoned = true;
      messages_[submission.message].lost_before = true;
      return ResubmitAfter(submission.message,
                           Seconds(client_random_.UniformIn(scenario_.traffic.resubmit_delay)));
  }
}

void PlatformModel::HandleRejection(std::uint64_t number, Time retry_after) {
  Message& message = messages_[number];
  if (message.retries <= 0) return EndMessage(number);
  --message.retries;
  message.refused_before = true;
  Time wait =
      Seconds(client_random_.UniformIn(scenario_.traffic.backoff) * std::pow(2.0, message.refusals++));
  if (retry_after > 0us && client_random_.Bernoulli(day_.retry_after_compliance))
    wait = std::min(retry_after, Time(kMaxRetryAfter));
  ResubmitAfter(number, wait);
}

void PlatformModel::ResubmitAfter(std::uint64_t number, Time delay) {
  if (now_ + delay >= messages_[number].deadline) return EndMessage(number);
  Schedule(now_ + delay, TaskKind::kResubmit, number);
}

void PlatformModel::EndMessage(std::uint64_t number) {
  Message& message = messages_[number];
  if (std::exchange(message.ended, true)) return;
  --pending_;
  trace::Event event = MakeEvent(Kind::kAbandoned);
  event.message = number;
  sink_(event);
}

void PlatformModel::Handle(const NoticeReceived& notice) {
  trace::Event event = MakeEvent(Kind::kNoticeReceived);
  event.id = notice.id;
  event.relay = notice.relay;
  event.deferred = notice.deferred;
  event.retry_after = notice.retry_after;
  sink_(event);
  const auto it = submission_states_.find(notice.id);
  if (it == submission_states_.end()) return;
  SubmissionState& state = it->second;
  if (std::exchange(state.noticed, true) || state.abandoned || !state.accepted || state.delivered) return;
  notice.deferred ? HandleRejection(state.message, notice.retry_after) : EndMessage(state.message);
}

// ---- endpoints ----

std::vector<std::string> PlatformModel::Addresses() const {
  std::vector<std::string> all;
  for (const auto& [address, host] : host_by_address_) all.push_back(address);
  return all;
}

bool PlatformModel::Connect(const std::string& address) {
  const auto it = host_by_address_.find(address);
  if (it == host_by_address_.end() || !listening_[it->second]) return false;
  const int max_connections = scenario_.partners.max_connections;
  if (max_connections > 0 && connections_[it->second] >= max_connections) return false;
  connections_[it->second] += 1;
  return true;
}

void PlatformModel::Disconnect(const std::string& address) {
  const auto it = host_by_address_.find(address);
  if (it != host_by_address_.end() && connections_[it->second] > 0) connections_[it->second] -= 1;
}

void PlatformModel::Handle(const CallReceived& received) {
  const auto host = host_by_address_.find(received.address);
  if (host == host_by_address_.end()) {
    effects_.push_back(CloseCallConnection{received.call});
    return;
  }
  Call call;
  call.relay = received.relay;
  call.host = host->second;
  call.id = received.id;
  call.key = received.key;
  call.first_on_connection = received.first_on_connection;
  call.over_connection_limit = received.over_connection_limit;
  trace::Event event = MakeEvent(Kind::kCalled, call);
  event.new_connection = received.first_on_connection;
  sink_(event);
  Time delay_to_host = Seconds(network_random_.UniformIn(scenario_.network.one_way));
  if (received.first_on_connection) {
    delay_to_host += Seconds(2 * network_random_.UniformIn(scenario_.network.handshake_round_trips) *
                             network_random_.UniformIn(scenario_.network.one_way));
  }
  calls_.emplace(received.call, std::move(call));
  Schedule(now_ + delay_to_host, TaskKind::kCallArrives, received.call);
}

// The call reaches its host, which starts or refuses it.
void PlatformModel::DeliverCallToHost(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end() || it->second.answering) return;
  Call& call = it->second;
  call.answering = true;
  const std::string execution_key = call.key + "@" + std::to_string(day_.hosts[call.host].partner) + "/" +
                                    std::to_string(day_.hosts[call.host].zone);
  const Time window = Seconds(scenario_.relay.repeat_window);
  while (!executions_by_age_.empty() && executions_by_age_.front().first + window < now_) {
    execution_times_.erase(executions_by_age_.front().second);
    executions_by_age_.pop();
  }
  const Time delay_back = Seconds(network_random_.UniformIn(scenario_.network.one_way));
  const auto state = submission_states_.find(call.id);
  if (state != submission_states_.end() &&
      messages_[state->second.message].destination != day_.hosts[call.host].partner) {
    call.status = 400;
    return Schedule(now_ + delay_back, TaskKind::kCallAnswered, number);
  }
  if (call.over_connection_limit) {
    call.status = 503;
    return Schedule(now_ + delay_back, TaskKind::kCallAnswered, number);
  }
  if (execution_times_.count(execution_key) > 0) {
    call.status = 200;
    return Schedule(now_ + kRepeatAnswerDelay + delay_back, TaskKind::kCallAnswered, number);
  }
  const SimulatedHost::CallResult result = simulated_hosts_[call.host].HandleCall(now_, host_random_);
  call.status = result.status;
  call.retry_after = result.retry_after;
  call.over_limit = result.over_limit;
  if (result.collapsed) {
    trace::Event event = MakeEvent(Kind::kHostCollapsed);
    event.host = day_.hosts[call.host].id;
    sink_(event);
  }
  if (result.status == 200 && !call.key.empty()) {
    execution_times_[execution_key] = now_;
    executions_by_age_.emplace(now_, execution_key);
  }
  Schedule(result.answer_at + delay_back, TaskKind::kCallAnswered, number);
}

void PlatformModel::FinishCall(std::uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = std::move(it->second);
  calls_.erase(it);
  trace::Event event = MakeEvent(Kind::kAnswered, call);
  event.status = call.status;
  event.retry_after = call.retry_after;
  event.over_limit = call.over_limit;
  sink_(event);
  effects_.push_back(AnswerCall{number, call.status, call.retry_after});
  if (call.status != 200) return;
  const auto state = submission_states_.find(call.id);
  if (state == submission_states_.end() || std::exchange(state->second.delivered, true)) return;
  if (state->second.accepted && !state->second.abandoned) EndMessage(state->second.message);
}

// ---- faults ----

void PlatformModel::Execute(const ScheduledEvent& scheduled) {
  const auto index = static_cast<std::size_t>(std::max(0, scheduled.index));
  trace::Event event;
  switch (scheduled.kind) {
    case ScheduledEvent::Kind::kKillRelay:
      relays_[index].downtime_s = -1;
      if (relays_[index].up) effects_.push_back(KillRelay{scheduled.index});
      return;
    case ScheduledEvent::Kind::kStartRelay:
      effects_.push_back(StartRelay{scheduled.index});
      return;
    case ScheduledEvent::Kind::kTerminateRelay:
      if (!relays_[index].up) return;
      relays_[index].downtime_s = scheduled.value;
      event = MakeEvent(Kind::kTerminating);
      event.relay = scheduled.index;
      sink_(event);
      effects_.push_back(TerminateRelay{scheduled.index});
      return;
    case ScheduledEvent::Kind::kStopRelay:
      if (!relays_[index].up) return;
      relays_[index].stopped = true;
      relays_[index].detected_down_at =
          now_ + Seconds(network_random_.UniformIn(scenario_.network.failure_detection_delay));
      effects_.push_back(StopRelay{scheduled.index});
      event = MakeEvent(Kind::kSuspended);
      event.relay = scheduled.index;
      return sink_(event);
    case ScheduledEvent::Kind::kContinueRelay:
      if (!std::exchange(relays_[index].stopped, false)) return;
      relays_[index].in_rotation = relays_[index].up;
      effects_.push_back(ContinueRelay{scheduled.index});
      event = MakeEvent(Kind::kReady);
      event.relay = scheduled.index;
      return sink_(event);
    case ScheduledEvent::Kind::kStartOutage:
      if (!listening_[index]) return;
      simulated_hosts_[index].StartOutage(now_, scheduled.value, scheduled.until);
      event = MakeEvent(Kind::kHostOutage);
      event.host = day_.hosts[index].id;
      return sink_(event);
    case ScheduledEvent::Kind::kEndOutage:
      if (!listening_[index]) return;
      simulated_hosts_[index].EndOutage(now_);
      event = MakeEvent(Kind::kHostRecovered);
      event.host = day_.hosts[index].id;
      return sink_(event);
    case ScheduledEvent::Kind::kDrainHost:
      return AddListChange(index, ListEntry::State::kTerminating);
    case ScheduledEvent::Kind::kRemoveHost: {
      listening_[index] = false;
      host_by_address_.erase(day_.hosts[index].address);
      effects_.push_back(HostDown{day_.hosts[index].address});
      std::vector<std::uint64_t> broken_calls;
      for (const auto& [number, call] : calls_) {
        if (call.host == index) broken_calls.push_back(number);
      }
      std::sort(broken_calls.begin(), broken_calls.end());
      for (const std::uint64_t number : broken_calls) {
        sink_(MakeEvent(Kind::kConnectionLost, calls_.at(number)));
        effects_.push_back(CloseCallConnection{number});
        calls_.erase(number);
      }
      return AddListChange(index, ListEntry::State::kGone);
    }
    case ScheduledEvent::Kind::kAddHost:
      listening_[index] = true;
      host_by_address_[day_.hosts[index].address] = index;
      effects_.push_back(HostUp{day_.hosts[index].address});
      return AddListChange(index, ListEntry::State::kReady);
    case ScheduledEvent::Kind::kSetListLag:
      list_lag_ = day_.list_lag + Seconds(scheduled.value);
      return;
    case ScheduledEvent::Kind::kDiscoveryDown:
    case ScheduledEvent::Kind::kDiscoverySilent:
    case ScheduledEvent::Kind::kDiscoverySlow:
    case ScheduledEvent::Kind::kDiscoveryOverloaded:
    case ScheduledEvent::Kind::kDiscoveryRecovered:
      return SetDiscoveryState(scheduled);
    case ScheduledEvent::Kind::kTruncateList:
      relays_[index].truncate_next = true;
      return;
    case ScheduledEvent::Kind::kMoveDiscovery:
      if (relays_[index].up) effects_.push_back(MoveDiscovery{scheduled.index});
      return;
    case ScheduledEvent::Kind::kSignals:
      if (relays_[index].up)
        effects_.push_back(SignalRelay{scheduled.index, static_cast<int>(scheduled.value)});
      return;
    case ScheduledEvent::Kind::kIdleClients:
      effects_.push_back(SetIdleClients{scheduled.index, static_cast<int>(scheduled.value)});
      return;
    case ScheduledEvent::Kind::kStoppedClients:
      effects_.push_back(SetStoppedClients{scheduled.index, static_cast<int>(scheduled.value)});
      return;
  }
}

// ---- discovery ----

ListEntry PlatformModel::MakeEntry(std::size_t number, ListEntry::State state) const {
  const Host& host = day_.hosts[number];
  return {host.id, host.address, host.zone, host.kind, host.partner, state, host.weight};
}

void PlatformModel::AddListChange(std::size_t host, ListEntry::State state) {
  list_changes_.push_back(MakeEntry(host, state));
  last_publish_ = std::max(last_publish_, now_ + list_lag_);
  Schedule(last_publish_, TaskKind::kPublish, list_changes_.size());
}

SendList PlatformModel::KnownList(int relay) const {
  SendList list;
  list.relay = relay;
  list.full = true;
  const std::size_t version = relays_[static_cast<std::size_t>(relay)].sent_version;
  list.version = static_cast<std::int64_t>(version);
  std::map<std::string, ListEntry> all;
  for (std::size_t v = 0; v < version; ++v) {
    const ListEntry& entry = list_changes_[v];
    if (entry.state == ListEntry::State::kGone) {
      all.erase(entry.id);
    } else {
      all[entry.id] = entry;
    }
  }
  for (auto& [id, entry] : all) list.entries.push_back(std::move(entry));
  return list;
}

void PlatformModel::SendListChanges(int number) {
  RelayState& relay = relays_[static_cast<std::size_t>(number)];
  SendList list;
  list.relay = number;
  list.call = relay.watch_call;
  list.version = static_cast<std::int64_t>(published_);
  if (relay.sent_version < published_ && std::exchange(relay.truncate_next, false)) {
    list.entries.assign(list_changes_.begin() + static_cast<std::ptrdiff_t>(relay.sent_version),
                        list_changes_.begin() + static_cast<std::ptrdiff_t>(published_));
    relay.watch_call = 0;
    effects_.push_back(TruncateList{std::move(list)});
    return;
  }
  for (std::size_t v = relay.sent_version; v < published_; ++v) {
    list.entries.push_back(list_changes_[v]);
    trace::Event event = MakeEvent(Kind::kHostAnnounced);
    event.relay = number;
    event.host = list_changes_[v].id;
    event.up = list_changes_[v].state == ListEntry::State::kReady;
    sink_(event);
  }
  relay.sent_version = published_;
  effects_.push_back(std::move(list));
}

void PlatformModel::Handle(const ListRequested& request) {
  switch (discovery_) {
    case DiscoveryState::kUp:
      return AnswerList(request);
    case DiscoveryState::kDown:
      delayed_refusals_[++delayed_refusal_count_] = request;
      return Schedule(now_ + refusal_delay_, TaskKind::kRefuseList, delayed_refusal_count_);
    case DiscoveryState::kOverloaded:
      if (!network_random_.Bernoulli(refused_share_)) return AnswerList(request);
      effects_.push_back(RefuseList{request.relay, request.call});
      return;
    case DiscoveryState::kSilent:
      return;
    case DiscoveryState::kSlow:
      list_queue_.push_back({now_, request});
      list_free_at_ = std::max(list_free_at_, now_);
      if (list_queue_.size() == 1)
        Schedule(list_free_at_ + Seconds(list_call_time_s_), TaskKind::kServeListQueue, 0);
      return;
  }
}

// Serves one call at a time. Refusing a call takes no time: one that has waited for too long, or one whose
// process has exited. Answering the latter would count as announcing the list to the relay's next process.
void PlatformModel::ServeListQueue() {
  while (!list_queue_.empty()) {
    const QueuedListCall& queued = list_queue_.front();
    if (!queued.caller_exited && now_ - queued.since < kListQueueTimeout) break;
    effects_.push_back(RefuseList{queued.request.relay, queued.request.call});
    list_queue_.pop_front();
  }
  if (list_queue_.empty()) return;
  const ListRequested request = list_queue_.front().request;
  list_queue_.pop_front();
  list_free_at_ = now_;
  AnswerList(request);
  if (!list_queue_.empty()) Schedule(now_ + Seconds(list_call_time_s_), TaskKind::kServeListQueue, 0);
}

void PlatformModel::AnswerList(const ListRequested& request) {
  RelayState& relay = relays_[static_cast<std::size_t>(request.relay)];
  relay.watch_call = request.call;
  relay.watch_silent = false;
  if (request.known_version > 0) {
    relay.sent_version = std::min<std::size_t>(static_cast<std::size_t>(request.known_version), published_);
    return SendListChanges(request.relay);
  }
  relay.sent_version = published_;
  SendList list = KnownList(request.relay);
  list.call = request.call;
  for (const ListEntry& entry : list.entries) {
    trace::Event event = MakeEvent(Kind::kHostAnnounced);
    event.relay = request.relay;
    event.host = entry.id;
    event.up = entry.state == ListEntry::State::kReady;
    sink_(event);
  }
  effects_.push_back(std::move(list));
}

void PlatformModel::SendHeartbeats() {
  Schedule(now_ + kHeartbeatInterval, TaskKind::kHeartbeat, 0);
  for (int r = 0; r < day_.relays; ++r) {
    const RelayState& relay = relays_[static_cast<std::size_t>(r)];
    if (relay.watch_call != 0 && !relay.watch_silent) effects_.push_back(SendHeartbeat{r, relay.watch_call});
  }
}

// Discovery counts as unreachable while it is down or silent. Watches that became silent never recover.
void PlatformModel::SetDiscoveryState(const ScheduledEvent& scheduled) {
  using EventKind = ScheduledEvent::Kind;
  discovery_ = scheduled.kind == EventKind::kDiscoveryDown         ? DiscoveryState::kDown
               : scheduled.kind == EventKind::kDiscoverySilent     ? DiscoveryState::kSilent
               : scheduled.kind == EventKind::kDiscoverySlow       ? DiscoveryState::kSlow
               : scheduled.kind == EventKind::kDiscoveryOverloaded ? DiscoveryState::kOverloaded
                                                                   : DiscoveryState::kUp;
  list_call_time_s_ = refused_share_ = scheduled.value;
  refusal_delay_ = Seconds(scheduled.value);
  if (discovery_ != DiscoveryState::kSlow) {
    for (const QueuedListCall& queued : std::exchange(list_queue_, {})) {
      effects_.push_back(RefuseList{queued.request.relay, queued.request.call});
    }
  }
  for (int r = 0; r < day_.relays; ++r) {
    RelayState& relay = relays_[static_cast<std::size_t>(r)];
    if (relay.watch_call == 0) continue;
    if (discovery_ == DiscoveryState::kSilent) relay.watch_silent = true;
    if (discovery_ != DiscoveryState::kDown) continue;
    effects_.push_back(RefuseList{r, relay.watch_call});
    relay.watch_call = 0;
  }
  trace::Event event = MakeEvent(Kind::kDiscoveryReachable);
  event.up = discovery_ != DiscoveryState::kDown && discovery_ != DiscoveryState::kSilent;
  sink_(event);
}

}  // namespace oxbowspread::model
