#include "wheathub/list_lease.hpp"

#include <algorithm>
#include <utility>

namespace wheathub {

ListLease::Event ListLease::Refused(Time begun, Time now) {
  return now - begun > kAtOnce ? Event(RefusedLate{begun}) : Event(RefusedAtOnce{});
}

ListLease::Time ListLease::Step(Time now, const Event& event) {
  std::visit([&](const auto& e) { On(now, e); }, event);
  return valid_until_;
}

void ListLease::On(Time now, const Inherited& inherited) {
  const bool told = inherited.valid_until > Time(0);
  valid_until_ = std::min(told ? inherited.valid_until : now + kInheritedFor, now + kConfirmedFor);
}

void ListLease::On(Time now, const Started&) {
  valid_until_ = now + kStartedFor;
  outage_possible_ = true;
}

// That an outage began is seen by a subscription that ends, so none is known of while one stands.
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

// One that was silent before tells nothing by its end.
void ListLease::On(Time, const SubscriptionEnded&) {
  if (std::exchange(subscribed_, false)) outage_possible_ = true;
}

void ListLease::On(Time, const SubscriptionBroken&) {
  subscribed_ = false;
  outage_possible_ = false;
}

void ListLease::On(Time, const RefusedLate& refused) {
  if (outage_possible_) Extend(refused.begun + kUnreachableFor);
}

void ListLease::Extend(Time until) { valid_until_ = std::max(valid_until_, until); }

}  // namespace wheathub
