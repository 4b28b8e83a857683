#include "wheathub/list_lease.hpp"

#include <algorithm>
#include <utility>

namespace wheathub {

ListLease::Event ListLease::Refused(Time call_started_at, Time now) {
  return now - call_started_at > kImmediateRefusal ? Event(RefusedLate{call_started_at})
                                                   : Event(RefusedImmediately{});
}

ListLease::Time ListLease::Step(Time now, const Event& event) {
  std::visit([&](const auto& typed_event) { On(now, typed_event); }, event);
  return valid_until_;
}

void ListLease::On(Time now, const Inherited& inherited) {
  const bool known = inherited.valid_until > Time(0);
  valid_until_ = std::min(known ? inherited.valid_until : now + kInheritedFor, now + kConfirmedFor);
}

void ListLease::On(Time now, const Started&) {
  valid_until_ = now + kStartedFor;
  outage_possible_ = true;
}

// The start of an outage ends the subscription, so there is no outage while the subscription lasts.
void ListLease::On(Time now, const Confirmed&) {
  valid_until_ = now + kConfirmedFor;
  subscribed_ = true;
  outage_possible_ = false;
}

void ListLease::On(Time now, const Moved&) {
  valid_until_ = std::min(valid_until_, now + kMovedFor);
  subscribed_ = false;
  outage_possible_ = false;
}

// If the subscription was silent before, its end gives no information about discovery.
void ListLease::On(Time, const SubscriptionEnded&) {
  if (std::exchange(subscribed_, false)) outage_possible_ = true;
}

void ListLease::On(Time, const SubscriptionBroken&) {
  subscribed_ = false;
  outage_possible_ = false;
}

void ListLease::On(Time, const RefusedLate& refused) {
  if (outage_possible_) Extend(refused.call_started_at + kUnreachableFor);
}

void ListLease::Extend(Time until) { valid_until_ = std::max(valid_until_, until); }

}  // namespace wheathub
