#include "wheathub/list_subscription.hpp"

#include <algorithm>
#include <utility>

namespace wheathub {

using Time = ListSubscription::Time;

ListSubscription::ListSubscription(const Options& options, std::uint64_t seed)
    : options_(options), random_(seed) {}

std::vector<ListSubscription::Call> ListSubscription::Step(Time now, std::span<const Event> events) {
  for (const Event& event : events) {
    std::visit([&](const auto& typed_event) { On(now, typed_event); }, event);
  }
  return std::exchange(new_calls_, {});
}

void ListSubscription::On(Time now, const Started& started) {
  const bool at_once = started.at_once || options_.pushed_by_agent;
  alarm_ = now + (at_once ? Time(0) : RandomBetween(Time(0), SpreadTime()));
  if (alarm_ <= now) MakeCall(now);
}

void ListSubscription::On(Time now, const Received& received) {
  if (RemoveOpen(received.call)) {
    subscription_ = received.call;
    open_calls_.clear();
  }
  if (received.call != subscription_) return;
  last_received_at_ = now;
  const Time silent_after = kSilenceTimeout + RandomBetween(Time(0), std::min(SpreadTime(), kSilenceJitter));
  alarm_ = options_.failures_are_reported ? Time::max() : now + silent_after;
}

void ListSubscription::On(Time now, const Failed& failed) {
  if (failed.call == 0) return;
  if (failed.call == subscription_) {
    subscription_ = 0;
    if (open_calls_.empty()) PlanAfterFailure(now, true);
    return;
  }
  const bool was_open = RemoveOpen(failed.call);
  // If an older call fails, the alarm of the newest one stays. If the subscription was taken to be silent but
  // has delivered something since the call started, no other call is needed.
  const bool newest = failed.call == last_number_;
  const bool received_since = subscription_ != 0 && last_received_at_ >= last_call_at_;
  if (was_open && newest && !received_since) PlanAfterFailure(now, false);
}

void ListSubscription::On(Time now, const Moved&) {
  subscription_ = 0;
  open_calls_.clear();
  MakeCall(now);
}

void ListSubscription::On(Time now, const Elapsed&) {
  if (now >= alarm_) MakeCall(now);
}

void ListSubscription::MakeCall(Time now) {
  Call call{++last_number_, std::nullopt};
  if (open_calls_.size() >= kMaxOpenCalls) {
    // If calls are answered in order, the oldest one is answered next, unless it never gets an answer.
    const bool oldest_hangs = now - open_calls_.front().started > kMaxOpenTime;
    const auto replaced = oldest_hangs ? open_calls_.begin() : open_calls_.end() - 1;
    call.replaced_call = replaced->number;
    open_calls_.erase(replaced);
  }
  open_calls_.push_back({call.number, now});
  last_call_at_ = now;
  const Time answer_within = options_.pushed_by_agent ? kAgentAnswerTimeout : kAnswerTimeout;
  alarm_ = options_.failures_are_reported ? Time::max() : now + answer_within;
  new_calls_.push_back(call);
}

void ListSubscription::PlanAfterFailure(Time now, bool subscription_ended) {
  const bool by_agent = options_.pushed_by_agent;
  const Time interval = by_agent ? RandomBetween(kAgentMinCallInterval, kAgentMaxCallInterval)
                                 : RandomBetween(kMinCallInterval, kMaxCallInterval);
  const Time pause = by_agent ? kAgentRetryPause : kRetryPause;
  // All senders lose their subscriptions at the same moment, so their next calls are spread. Calls that
  // failed were spread already.
  const Time spread = subscription_ended ? RandomBetween(Time(0), SpreadTime()) : Time(0);
  alarm_ = std::max(last_call_at_ + interval, now + pause + spread);
}

bool ListSubscription::RemoveOpen(CallNumber call) {
  return std::erase_if(open_calls_, [call](const OpenCall& open) { return open.number == call; }) > 0;
}

Time ListSubscription::SpreadTime() const {
  if (options_.pushed_by_agent) return Time(0);
  return std::min(kSpreadPerSender * std::max(0, options_.senders - kSendersWithoutSpread), kMaxSpread);
}

// Not a distribution of the standard library: those give different values on different systems.
Time ListSubscription::RandomBetween(Time from, Time to) {
  const double share = static_cast<double>(random_() >> 11) * 0x1p-53;
  return from + Time(static_cast<Time::rep>(share * static_cast<double>((to - from).count())));
}

}  // namespace wheathub
