#include "model/simulated_host.hpp"

#include <algorithm>
#include <cmath>

namespace oxbowspread::model {
namespace {

using namespace std::chrono_literals;

constexpr double kBurstS = 0.5;  // the token bucket holds this many seconds of the limit
constexpr Time kRefusalDelay = 2ms, kFailureDelay = 30ms;

Time Seconds(double seconds) { return Time(static_cast<Time::rep>(std::llround(seconds * 1e6))); }
double InSeconds(Time time) { return static_cast<double>(time.count()) / 1e6; }

}  // namespace

SimulatedHost::SimulatedHost(const Host& host, double collapse_load_factor, double collapse_after_s)
    : host_(host), collapse_load_factor_(collapse_load_factor), collapse_after_(Seconds(collapse_after_s)) {
  max_tokens_ = tokens_ =
      std::max(2.0, host_.limit * (host_.limit_window_s > 0 ? host_.limit_window_s : kBurstS));
  tokens_at_ =
      host_.limit_window_s > 0 ? Seconds(host_.limit_window_offset_s - host_.limit_window_s) : Time(0);
  for (int i = 0; i < host_.servers; ++i) server_free_at_.push(Time(0));
}

double SimulatedHost::CapacityShare(Time now) const {
  if (warm_up_started_at_ < 0us || host_.warm_up_s <= 0) return 1;
  const double elapsed_share = InSeconds(now - warm_up_started_at_) / host_.warm_up_s;
  return std::min(1.0, host_.warm_up_start_share + (1 - host_.warm_up_start_share) * elapsed_share);
}

void SimulatedHost::StartOutage(Time, double chance, Time until) {
  in_outage_ = true;
  failure_chance_ = chance;
  outage_ends_at_ = until;
}

void SimulatedHost::EndOutage(Time now) {
  in_outage_ = false;
  warm_up_started_at_ = now;
  recent_calls_.clear();
}

SimulatedHost::CallResult SimulatedHost::MakeRefusal(Time now, Time retry_after, bool over_limit,
                                                     RandomStream& random) const {
  CallResult result;
  const bool sends_retry_after = retry_after > 0us && random.Bernoulli(host_.retry_after_chance);
  result.status = sends_retry_after ? 429 : 503;
  result.retry_after = sends_retry_after ? retry_after : Time(0);
  result.answer_at = now + kRefusalDelay;
  result.over_limit = over_limit;
  return result;
}

// A host that is warming up collapses when its calls during the last collapse_after_ exceed
// collapse_load_factor_ x present capacity x collapse_after_, with some slack for random variation.
bool SimulatedHost::RecordCallAndCheckCollapse(Time now) {
  if (warm_up_started_at_ < 0us || CapacityShare(now) >= 1) return false;
  recent_calls_.push_back(now);
  while (recent_calls_.front() < now - collapse_after_) recent_calls_.pop_front();
  const double allowed_calls =
      collapse_load_factor_ * CapacityShare(now) * host_.capacity() * InSeconds(collapse_after_);
  return static_cast<double>(recent_calls_.size()) > allowed_calls + 2 + std::sqrt(allowed_calls);
}

// A limit with fixed windows is refilled at the start of each window. Refused calls that exceeded the limit
// are subtracted from the next window, up to half of the limit. Hosts of the platform's full fleet were
// observed to do so.
void SimulatedHost::RefillTokens(Time now) {
  if (host_.limit_window_s <= 0) {
    tokens_ = std::min(max_tokens_, tokens_ + host_.limit * InSeconds(now - tokens_at_));
    tokens_at_ = now;
    return;
  }
  for (const Time window = Seconds(host_.limit_window_s); tokens_at_ + window <= now; tokens_at_ += window) {
    tokens_ = max_tokens_ + std::min(tokens_, 0.0);
  }
}

Time SimulatedHost::LimitFreeAt(Time now) const {
  if (host_.limit_window_s > 0) return tokens_at_ + Seconds(host_.limit_window_s);
  return now + std::max(Seconds(host_.min_retry_after_s), Seconds((1 - tokens_) / host_.limit));
}

SimulatedHost::CallResult SimulatedHost::RefuseCall(Time now, Time retry_after, bool over_limit,
                                                    RandomStream& random) {
  if (host_.refused_calls_use_limit) {
    tokens_ = std::max(tokens_ - 1, host_.limit_window_s > 0 ? -max_tokens_ / 2 : 0);
  }
  return MakeRefusal(now, retry_after, over_limit, random);
}

SimulatedHost::CallResult SimulatedHost::HandleCall(Time now, RandomStream& random) {
  if (collapsed_) return MakeRefusal(now, Time(0), false, random);
  if (!in_outage_ && RecordCallAndCheckCollapse(now)) {
    collapsed_ = true;
    CallResult result = MakeRefusal(now, Time(0), false, random);
    result.collapsed = true;
    return result;
  }
  if (in_outage_ && failure_chance_ >= 1) return MakeRefusal(now, outage_ends_at_ - now, false, random);
  RefillTokens(now);
  if (tokens_ < 1) return RefuseCall(now, LimitFreeAt(now) - now, true, random);
  while (!queued_starts_.empty() && queued_starts_.front() <= now) queued_starts_.pop_front();
  if (static_cast<double>(queued_starts_.size()) >= host_.max_queued_calls) {
    return RefuseCall(now, std::max(Seconds(host_.min_retry_after_s), queued_starts_.front() - now), false,
                      random);
  }
  tokens_ -= 1;
  CallResult result;
  if (random.Bernoulli(in_outage_ ? failure_chance_ : host_.error_rate)) {
    result.status = 500;
    result.answer_at = now + kFailureDelay;
    return result;
  }
  const Time start = std::max(now, server_free_at_.top());
  server_free_at_.pop();
  if (start > now) queued_starts_.push_back(start);
  result.answer_at =
      start + Seconds(random.LogNormal(host_.service_time_s, host_.service_time_cv) / CapacityShare(start));
  server_free_at_.push(result.answer_at);
  return result;
}

}  // namespace oxbowspread::model
