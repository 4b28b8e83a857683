#include "standin/ledger.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace oxbowspread::standin {

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

std::string Ledger::KeyOf(std::uint64_t message) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(message));
  return text;
}

void Ledger::Due(std::uint64_t message, Time now) { messages_[message].due = now; }

void Ledger::HandIn(std::uint64_t message, const std::string& id) {
  messages_[message].ids.insert(id);
  ids_[id].message = message;
}

void Ledger::Taken(const std::string& id, Time now) {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return;
  it->second.taken = true;
  Message& m = messages_[it->second.message];
  if (!m.taken) m.taken_at = now;
  m.taken = true;
}

void Ledger::GivenUp(std::uint64_t message, End end) {
  Message& m = messages_[message];
  (end == End::kRefused ? m.refused : m.unanswered) = true;
}

bool Ledger::Called(const std::string& id, const std::string& key, Time now) {
  const std::uint64_t message = std::strtoull(key.c_str(), nullptr, 16);
  Message& m = messages_[message];
  ids_[id].message = message;
  ids_[id].delivered = true;
  if (m.effects > 0) {
    ++repeats_;
    return false;
  }
  m.effects = 1;
  m.delivered_at = now;
  return true;
}

void Ledger::Noticed(const std::string& id, const std::string& status) {
  Id& known = ids_[id];
  known.noticed_after = known.noticed_after || known.delivered;
  known.notices.insert(status);
}

std::vector<std::string> Ledger::Owed() const {
  std::vector<std::string> owed;
  for (const auto& [id, known] : ids_) {
    if (known.taken && !known.delivered && known.notices.empty()) owed.push_back(id);
  }
  return owed;
}

Totals Ledger::Sum(Time since) const {
  Totals t;
  t.repeats = repeats_;
  for (const auto& [number, m] : messages_) {
    if (m.due < since) continue;
    ++t.asked;
    t.handed_in_again += m.ids.size() > 1 ? static_cast<std::int64_t>(m.ids.size()) - 1 : 0;
    t.answered_twice += m.effects > 1;
    if (!m.taken) {
      t.refused += m.refused;
      t.unanswered += m.unanswered;
      continue;
    }
    ++t.taken;
    t.accept_ms.push_back(static_cast<double>((m.taken_at - m.due).count()) * 1e-3);
    if (m.effects > 0) {
      ++t.delivered;
      t.deliver_ms.push_back(static_cast<double>((m.delivered_at - m.due).count()) * 1e-3);
    } else {
      ++t.failed;
    }
  }
  for (const auto& [id, known] : ids_) {
    const auto message = messages_.find(known.message);
    if (message != messages_.end() && message->second.due < since) continue;
    t.answered_twice += known.notices.size() > 1;
    t.noticed_after += known.noticed_after;
  }
  t.lost = static_cast<std::int64_t>(Owed().size());
  t.failed = std::max<std::int64_t>(0, t.failed - t.lost);
  return t;
}

}  // namespace oxbowspread::standin
