#include "check/checker.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oxbowspread::check {
namespace {

using Kind = Event::Kind;
using namespace std::chrono_literals;

constexpr Time kRetention = 60s;  // after the deadline; later events of the id count as unknown

std::string Seconds(Time t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6f s", static_cast<double>(t.count()) / 1e6);
  return text;
}

std::string RelayName(int relay) { return "relay " + std::to_string(relay); }

}  // namespace

void Checker::ReportBreach(const Event& event, const char* rule, const std::string& id,
                           const std::string& events) {
  breaches_.push_back({event.at, rule, id, events});
}

void Checker::Observe(const Event& event) {
  if (event.at < now_) {
    ReportBreach(event, "trace", event.id,
                 std::string(trace::NameOf(event.kind)) + " at " + Seconds(event.at) +
                     " follows an event at " + Seconds(now_));
    return;
  }
  now_ = event.at;
  CheckOverdue(now_);
  switch (event.kind) {
    case Kind::kSubmitted: {
      Submission& submission = submissions_[event.id];
      submission.relay = event.relay;
      submission.destination = event.destination;
      submission.deadline = event.deadline;
      // Registered here rather than on acceptance, so that rejected submissions are removed too.
      expiry_queue_.emplace_back(event.deadline, event.id);
      break;
    }
    case Kind::kAccepted: {
      const auto it = submissions_.find(event.id);
      if (it == submissions_.end())
        return ReportBreach(event, "unknown-message", event.id, "accepted, but never submitted");
      it->second.accepted_at = event.at;
      if (!it->second.delivered && !it->second.notice_received) {
        ExpectEnd(event.id, it->second, it->second.deadline + rules_.end_grace + rules_.slack);
      }
      break;
    }
    case Kind::kUnanswered:
      if (const auto it = submissions_.find(event.id); it != submissions_.end()) it->second.unanswered = true;
      break;
    case Kind::kCalled:
      return OnCalled(event);
    case Kind::kAnswered:
    case Kind::kConnectionLost:
      return OnCallEnded(event);
    case Kind::kNoticeReceived:
      return OnNoticeReceived(event);
    case Kind::kHostAnnounced: {
      auto& not_up_since = GetRelay(event.relay).not_up_since;
      if (event.up) {
        not_up_since.erase(event.host);
      } else {
        not_up_since.emplace(event.host, event.at);
      }
      break;
    }
    case Kind::kReady:
      return OnReady(event);
    case Kind::kTerminating:
      GetRelay(event.relay).terminated = true;
      [[fallthrough]];
    case Kind::kSuspended:
      GetRelay(event.relay).ready = false;
      GetRelay(event.relay).restarting = true;
      break;
    case Kind::kExited:
      return OnExited(event);
    case Kind::kHostOutage:
      hosts_[event.host].outage = true;
      break;
    case Kind::kHostRecovered:
      hosts_[event.host].outage = false;
      hosts_[event.host].cold = true;
      break;
    case Kind::kHostCollapsed:
      return OnHostCollapsed(event);
    case Kind::kHostChanged:
    case Kind::kDiscoveryReachable:
      return discovery_.Observe(event);
    case Kind::kEnd:
      run_ended_ = true;
      break;
    case Kind::kMessageDue:
    case Kind::kRejected:
    case Kind::kAbandoned:
      break;
  }
}

void Checker::ExpectEnd(const std::string& id, Submission& submission, Time due) {
  submission.end_expected_by = due;
  expected_ends_.emplace(due, id);
}

void Checker::ClearExpectedEnd(const std::string& id, Submission& submission) {
  if (submission.end_expected_by < 0us) return;
  expected_ends_.erase({submission.end_expected_by, id});
  submission.end_expected_by = Time(-1);
}

void Checker::OnCalled(const Event& event) {
  ++calls_;
  Relay& relay = GetRelay(event.relay);
  Host& host = hosts_[event.host];
  if (host.outage || host.cold) {
    host.recent_calls.push_back({event.at, relay.seen_failing.count(event.host) > 0});
    while (host.recent_calls.front().at < event.at - rules_.collapse_after) host.recent_calls.pop_front();
  }
  CheckDrain(event, relay);
  if (const auto it = relay.host_waits.find(event.host);
      it != relay.host_waits.end() && event.at < it->second.until &&
      event.at > it->second.received_at + rules_.retry_after_grace + rules_.slack) {
    ReportBreach(event, "wait", event.id,
                 RelayName(event.relay) + " received at " + Seconds(it->second.received_at) +
                     " a Retry-After of " + event.host + " until " + Seconds(it->second.until) +
                     ", and called it at " + Seconds(event.at));
  }
  const auto it = submissions_.find(event.id);
  if (it == submissions_.end()) {
    return ReportBreach(event, "unknown-message", event.id,
                        event.host + " was called for an id that no client submitted");
  }
  Submission& submission = it->second;
  ++submission.attempts;
  if (event.destination != submission.destination) {
    ReportBreach(event, "wrong-destination", event.id,
                 "for destination " + std::to_string(submission.destination) + ", but called " + event.host +
                     " of destination " + std::to_string(event.destination));
  }
  if (submission.attempts > rules_.max_attempts) {
    ReportBreach(event, "attempts", event.id, "called " + std::to_string(submission.attempts) + " times");
  }
  if (!submission.open_calls.empty()) {
    ReportBreach(event, "two-legs", event.id,
                 "called at " + event.host + " while another call is open at " +
                     submission.open_calls.front().host + " since " +
                     Seconds(submission.open_calls.front().at));
  }
  if (submission.notice_received) {
    ReportBreach(event, "after-end", event.id,
                 "called at " + event.host + " although its end had been reported; it ended at " +
                     Seconds(submission.ended_at));
  }
  if (submission.may_have_run) {
    const bool outside_window =
        event.at > submission.may_have_run_since + rules_.repeat_window + rules_.slack;
    const bool other_zone = rules_.repeats_bound_to_zone && event.zone != submission.may_have_run_zone;
    if (rules_.semantics == Rules::Semantics::kAtMostOnce ||
        (rules_.semantics == Rules::Semantics::kDeduplicated && (outside_window || other_zone))) {
      ReportBreach(event, "repeat", event.id,
                   "may have run in zone " + std::to_string(submission.may_have_run_zone) + " since " +
                       Seconds(submission.may_have_run_since) + ", and was repeated in zone " +
                       std::to_string(event.zone) + " at " + Seconds(event.at));
    }
  }
  submission.open_calls.push_back({event.host, event.at, event.zone});
}

void Checker::CheckDrain(const Event& event, const Relay& relay) {
  const Time grace = rules_.drain_grace + rules_.slack;
  if (const auto it = relay.not_up_since.find(event.host);
      it != relay.not_up_since.end() && event.at > it->second + grace) {
    return ReportBreach(event, "drain", event.id,
                        RelayName(event.relay) + " received the announcement at " + Seconds(it->second) +
                            " that " + event.host + " is not up, and called it at " + Seconds(event.at));
  }
  const auto changed_at = discovery_.NotUpSince(event.host);
  if (!changed_at || !discovery_.reachable()) return;
  const Time announced_by =
      discovery_.EarliestAnnouncement(*changed_at, relay.up_since) + rules_.max_announcement_delay;
  if (event.at <= announced_by + grace) return;
  ReportBreach(event, "drain", event.id,
               RelayName(event.relay) + " should have received the announcement by " + Seconds(announced_by) +
                   " that " + event.host + " is not up, which discovery's list contained at " +
                   Seconds(*changed_at) + ", and called it at " + Seconds(event.at));
}

void Checker::RecordPossibleExecution(Submission& submission, const OpenCall& call) {
  if (submission.may_have_run && submission.may_have_run_since <= call.at) return;
  submission.may_have_run = true;
  submission.may_have_run_since = call.at;
  submission.may_have_run_zone = call.zone;
}

void Checker::OnCallEnded(const Event& event) {
  const bool answered = event.kind == Kind::kAnswered;
  // A call that is answered with one of these statuses did not run: it was refused (429, 503) or not
  // forwarded (504), or its message was closed already (410).
  const bool never_ran =
      answered && (event.status == 429 || event.status == 503 || event.status == 504 || event.status == 410);
  Relay& relay = GetRelay(event.relay);
  if (answered && event.retry_after > 0us) {
    Wait& wait = relay.host_waits[event.host];
    if (event.at + event.retry_after > wait.until) wait = {event.at, event.at + event.retry_after};
  }
  if (hosts_[event.host].outage && (!answered || event.status != 200)) relay.seen_failing.insert(event.host);
  const auto it = submissions_.find(event.id);
  if (it == submissions_.end()) return;
  Submission& submission = it->second;
  const auto call = std::find_if(submission.open_calls.begin(), submission.open_calls.end(),
                                 [&](const OpenCall& open) { return open.host == event.host; });
  if (call == submission.open_calls.end()) return;
  const OpenCall ended_call = *call;
  submission.open_calls.erase(call);
  if (!never_ran) RecordPossibleExecution(submission, ended_call);
  if (answered && event.status == 200) {
    submission.delivered = true;
    if (submission.ended_at < 0us) submission.ended_at = event.at;
    ClearExpectedEnd(event.id, submission);
  }
}

void Checker::OnNoticeReceived(const Event& event) {
  const auto it = submissions_.find(event.id);
  if (it == submissions_.end()) {
    return ReportBreach(event, "unknown-message", event.id,
                        "a notice reported the end of an id that no client submitted");
  }
  Submission& submission = it->second;
  if (submission.notice_received && submission.deferred != event.deferred) {
    ReportBreach(event, "two-ends", event.id,
                 std::string("ended as ") + (submission.deferred ? "deferred" : "undeliverable") + " at " +
                     Seconds(submission.ended_at) + " and as " +
                     (event.deferred ? "deferred" : "undeliverable") + " at " + Seconds(event.at));
  }
  const bool repeats_restricted =
      rules_.semantics == Rules::Semantics::kAtMostOnce ||
      (rules_.semantics == Rules::Semantics::kDeduplicated && rules_.repeats_bound_to_zone);
  if (event.deferred && repeats_restricted && !submission.delivered &&
      (submission.may_have_run || !submission.open_calls.empty())) {
    ReportBreach(event, "refused-after-risk", event.id,
                 "deferred at " + Seconds(event.at) + " although it may have run since " +
                     Seconds(submission.may_have_run ? submission.may_have_run_since
                                                     : submission.open_calls.front().at));
  }
  if (!submission.notice_received) {
    submission.notice_received = true;
    submission.deferred = event.deferred;
    if (submission.ended_at < 0us) submission.ended_at = event.at;
  }
  ClearExpectedEnd(event.id, submission);
}

// A kReady event also follows when a suspended process continues. It is the same process, so the time in
// which it must learn of a drain does not start again; and if it got SIGTERM meanwhile, it has yet to
// restart. No notice of a relay is overdue from SIGTERM until 1.5 s after that restart.
void Checker::OnReady(const Event& event) {
  Relay& relay = GetRelay(event.relay);
  if (!std::exchange(relay.running, true)) relay.up_since = event.at;
  if (relay.terminated) return;
  relay.ready = true;
  relay.ready_at = event.at;
}

// The calls that break with the process are reported by events of their hosts. The waits and announcements
// that it had received are lost.
void Checker::OnExited(const Event& event) {
  Relay& relay = GetRelay(event.relay);
  relay.ready = relay.running = relay.terminated = false;
  relay.restarting = true;
  relay.host_waits.clear();
  relay.not_up_since.clear();
  relay.seen_failing.clear();
}

void Checker::OnHostCollapsed(const Event& event) {
  Host& host = hosts_[event.host];
  std::size_t informed = 0, total = 0;
  for (const RecentCall& call : host.recent_calls) {
    if (call.at < event.at - rules_.collapse_after) continue;
    ++total;
    if (call.relay_saw_failure) ++informed;
  }
  if (total == 0 || static_cast<double>(informed) < rules_.informed_call_share * static_cast<double>(total))
    return;
  ReportBreach(event, "push-over", event.host,
               std::to_string(informed) + " of " + std::to_string(total) +
                   " calls before its collapse came from relays that had seen it fail");
}

void Checker::CheckOverdue(Time now) {
  while (!expected_ends_.empty() && expected_ends_.begin()->first < now) {
    const auto [due, id] = *expected_ends_.begin();
    Submission& submission = submissions_.at(id);
    ClearExpectedEnd(id, submission);
    const Relay& relay = GetRelay(submission.relay);
    const Time excused_until = (relay.ready ? relay.ready_at : now) + rules_.restart_grace + rules_.slack;
    if (relay.restarting && excused_until >= now) {
      ExpectEnd(id, submission, excused_until);  // checked again after the restart grace
      continue;
    }
    Event event;
    event.at = now;
    ReportBreach(event, "lost", id,
                 "accepted by " + RelayName(submission.relay) + " at " + Seconds(submission.accepted_at) +
                     ", its deadline was " + Seconds(submission.deadline) + ", and no end was reported by " +
                     Seconds(due));
  }
  while (!expiry_queue_.empty() && expiry_queue_.front().first + kRetention < now) {
    const std::string id = std::move(expiry_queue_.front().second);
    expiry_queue_.pop_front();
    const auto it = submissions_.find(id);
    if (it == submissions_.end()) continue;
    if (it->second.end_expected_by >= 0us) {
      expiry_queue_.emplace_back(now, id);
    } else {
      submissions_.erase(it);
    }
  }
}

void Checker::Finish() {
  if (!run_ended_) {
    undecided_ = expected_ends_.size();
    return;
  }
  // A run ends after the last deadline, so every message whose end is still missing is lost.
  for (const auto& [due, id] : expected_ends_) {
    Event event;
    event.at = now_;
    ReportBreach(event, "lost", id,
                 "accepted, and no end was reported before the run's end at " + Seconds(now_));
  }
  expected_ends_.clear();
}

}  // namespace oxbowspread::check
