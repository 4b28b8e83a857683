#include "standin/message_tracker.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace oxbowspread::standin {

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

std::string MessageTracker::KeyOf(std::uint64_t message) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(message));
  return text;
}

void MessageTracker::RecordDue(std::uint64_t message, Time now) { messages_[message].due = now; }

void MessageTracker::RecordSubmission(std::uint64_t message, const std::string& id) {
  messages_[message].ids.insert(id);
  submissions_[id].message = message;
}

void MessageTracker::RecordAccepted(const std::string& id, Time now) {
  const auto it = submissions_.find(id);
  if (it == submissions_.end()) return;
  it->second.accepted = true;
  Message& entry = messages_[it->second.message];
  if (!entry.accepted) entry.accepted_at = now;
  entry.accepted = true;
}

void MessageTracker::RecordGivenUp(std::uint64_t message, GiveUpReason reason) {
  Message& entry = messages_[message];
  (reason == GiveUpReason::kRejected ? entry.rejected : entry.unanswered) = true;
}

bool MessageTracker::RecordDelivery(const std::string& id, const std::string& key, Time now) {
  const std::uint64_t message = std::strtoull(key.c_str(), nullptr, 16);
  Message& entry = messages_[message];
  submissions_[id].message = message;
  submissions_[id].delivered = true;
  if (entry.executions > 0) {
    ++duplicate_calls_;
    return false;
  }
  entry.executions = 1;
  entry.delivered_at = now;
  return true;
}

void MessageTracker::RecordNotice(const std::string& id, const std::string& status) {
  Submission& submission = submissions_[id];
  submission.noticed_after_delivery = submission.noticed_after_delivery || submission.delivered;
  submission.notices.insert(status);
}

std::vector<std::string> MessageTracker::PendingIds() const {
  std::vector<std::string> pending;
  for (const auto& [id, submission] : submissions_) {
    if (submission.accepted && !submission.delivered && submission.notices.empty()) pending.push_back(id);
  }
  return pending;
}

Totals MessageTracker::ComputeTotals(Time since) const {
  Totals totals;
  totals.duplicate_calls = duplicate_calls_;
  for (const auto& [number, entry] : messages_) {
    if (entry.due < since) continue;
    ++totals.due;
    totals.resubmitted += entry.ids.size() > 1 ? static_cast<std::int64_t>(entry.ids.size()) - 1 : 0;
    totals.ended_twice += entry.executions > 1;
    if (!entry.accepted) {
      totals.rejected += entry.rejected;
      totals.unanswered += entry.unanswered;
      continue;
    }
    ++totals.accepted;
    totals.accept_ms.push_back(static_cast<double>((entry.accepted_at - entry.due).count()) * 1e-3);
    if (entry.executions > 0) {
      ++totals.delivered;
      totals.deliver_ms.push_back(static_cast<double>((entry.delivered_at - entry.due).count()) * 1e-3);
    } else {
      ++totals.failed;
    }
  }
  for (const auto& [id, submission] : submissions_) {
    const auto message = messages_.find(submission.message);
    if (message != messages_.end() && message->second.due < since) continue;
    totals.ended_twice += submission.notices.size() > 1;
    totals.noticed_after_delivery += submission.noticed_after_delivery;
  }
  totals.lost = static_cast<std::int64_t>(PendingIds().size());
  totals.failed = std::max<std::int64_t>(0, totals.failed - totals.lost);
  return totals;
}

}  // namespace oxbowspread::standin
