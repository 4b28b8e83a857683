#include "check/tally.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oxbowspread::check {

using trace::Event;
using trace::Time;
using Kind = Event::Kind;
using namespace std::chrono_literals;

double Quantile(std::vector<double>* values, double share) {
  if (values->empty()) return 0;
  const auto last = static_cast<double>(values->size() - 1);
  const auto at = values->begin() + static_cast<std::ptrdiff_t>(std::lround(share * last));
  std::nth_element(values->begin(), at, values->end());
  return *at;
}

void Tally::RecordDelivery(std::uint64_t message, Time at) {
  Message& m = messages_[message];
  if (m.delivered_at < 0us) m.delivered_at = at;
}

void Tally::Observe(const Event& event) {
  switch (event.kind) {
    case Kind::kMessageDue:
      // Times count from when the message was due, even if the load generator was late.
      messages_[event.message] = {
          event.deadline - scoring_.deadline, Time(-1), Time(-1), event.destination, 0, -1};
      by_destination_[event.destination].asked += 1;
      break;
    case Kind::kSubmitted:
      submissions_[event.id].message = event.message;
      if (Message& m = messages_[event.message]; m.relay < 0) m.relay = event.relay;
      break;
    case Kind::kAccepted: {
      Submission& submission = submissions_[event.id];
      submission.accepted = true;
      Message& m = messages_[submission.message];
      if (m.accepted_at < 0us) m.accepted_at = event.at;
      if (submission.served_at >= 0us) RecordDelivery(submission.message, submission.served_at);
      break;
    }
    case Kind::kRejected:
      counts_.rejected += 1;
      break;
    case Kind::kUnanswered:
      // If the client submits the message again, it uses a new id; what happens to this id no longer counts.
      submissions_[event.id].unanswered = true;
      counts_.unanswered += 1;
      break;
    case Kind::kCalled:
      counts_.calls += 1;
      if (event.new_connection) counts_.new_connections += 1;
      by_destination_[event.destination].calls += 1;
      if (const auto submission = submissions_.find(event.id); submission != submissions_.end()) {
        if (messages_[submission->second.message].calls++ > 0) counts_.repeats += 1;
      }
      break;
    case Kind::kAnswered: {
      if (event.status == 200) {
        Submission& submission = submissions_[event.id];
        if (submission.unanswered) break;
        if (submission.served_at < 0us) submission.served_at = event.at;
        if (submission.accepted) RecordDelivery(submission.message, event.at);
        if (const auto zone = static_cast<std::size_t>(event.zone); event.zone >= 0) {
          if (deliveries_by_zone_.size() <= zone) deliveries_by_zone_.resize(zone + 1);
          deliveries_by_zone_[zone] += 1;
        }
      } else if (event.status == 429 || event.status == 503) {
        counts_.refused_calls += 1;
        if (event.over_limit) counts_.over_limit += 1, RecordOverLimit(event.host, event.at);
        by_destination_[event.destination].refused += 1;
      } else {
        counts_.errors += 1;
        by_destination_[event.destination].errors += 1;
      }
      break;
    }
    case Kind::kConnectionLost:
      counts_.dropped += 1;
      break;
    case Kind::kNoticeReceived: {
      (event.deferred ? counts_.deferred : counts_.undeliverable) += 1;
      const auto submission = submissions_.find(event.id);
      if (submission == submissions_.end() || event.deferred) break;
      const Message& m = messages_[submission->second.message];
      if (m.delivered_at < 0us && event.at - m.due > scoring_.aim) ++late_failures_;
      break;
    }
    case Kind::kHostCollapsed:
      counts_.collapsed_hosts += 1;
      break;
    default:
      break;
  }
}

void Tally::RecordOverLimit(const std::string& host, Time at) {
  const auto limit = scoring_.host_limits.find(host);
  if (limit == scoring_.host_limits.end()) return;
  auto& [last_call_at, calls] = over_limit_calls_[host];
  if (at / 1s != last_call_at / 1s) calls = 0;
  last_call_at = at;
  calls += 1;
  counts_.worst_limit_excess = std::max(counts_.worst_limit_excess, calls / limit->second);
}

double Tally::Worth(const Message& m) const {
  if (m.delivered_at < 0us || m.delivered_at - m.due > scoring_.deadline) return 0;
  const Time delay = m.delivered_at - m.due;
  if (delay <= scoring_.aim) return 1;
  const double aims_over =
      static_cast<double>((delay - scoring_.aim).count()) / static_cast<double>(scoring_.aim.count());
  return std::max(scoring_.late_value, std::pow(0.5, aims_over));
}

Figures Tally::ComputeFigures() const {
  Figures figures = counts_;
  figures.by_destination = by_destination_;
  std::vector<double> accept_ms, deliver_ms;
  // Summed in order of message number, so that floating-point sums are reproducible.
  std::vector<std::uint64_t> numbers;
  numbers.reserve(messages_.size());
  for (const auto& [number, m] : messages_) numbers.push_back(number);
  std::sort(numbers.begin(), numbers.end());
  std::vector<double> asked, worth;
  std::map<int, std::pair<double, double>> by_relay;  // messages, worth
  double total_worth = 0;
  for (const std::uint64_t number : numbers) {
    const Message& m = messages_.at(number);
    figures.asked += 1;
    const double message_worth = Worth(m);
    total_worth += message_worth;
    const auto second = static_cast<std::size_t>(std::max<Time::rep>(0, m.due / 1s));
    if (asked.size() <= second) {
      asked.resize(second + 1);
      worth.resize(second + 1);
    }
    asked[second] += 1;
    worth[second] += message_worth;
    by_relay[m.relay].first += 1;
    by_relay[m.relay].second += message_worth;
    if (m.accepted_at >= 0us) {
      figures.accepted += 1;
      accept_ms.push_back(static_cast<double>((m.accepted_at - m.due).count()) / 1e3);
    }
    if (message_worth > 0) {
      figures.delivered += 1;
      figures.by_destination[m.destination].delivered += 1;
      if (m.delivered_at - m.due <= scoring_.aim) figures.within_aim += 1;
      deliver_ms.push_back(static_cast<double>((m.delivered_at - m.due).count()) / 1e3);
    } else {
      figures.undelivered += 1;
    }
  }
  if (figures.asked == 0) return figures;
  double shares = 0, squared_shares = 0;
  for (const auto& [relay, sum] : by_relay) {
    const double share = sum.second / sum.first;
    shares += share;
    squared_shares += share * share;
  }
  if (squared_shares > 0)
    figures.fairness = shares * shares / squared_shares / static_cast<double>(by_relay.size());
  const auto message_count = static_cast<double>(figures.asked);
  figures.worth_share = total_worth / message_count;
  const auto width =
      std::min(asked.size(), static_cast<std::size_t>(std::max<Time::rep>(1, scoring_.worst_window / 1s)));
  figures.worst_window_share = 1;
  for (std::size_t from = 0; from + width <= asked.size(); ++from) {
    double window_asked = 0, window_worth = 0;
    for (std::size_t i = from; i < from + width; ++i) {
      window_asked += asked[i];
      window_worth += worth[i];
    }
    if (window_asked > 0)
      figures.worst_window_share = std::min(figures.worst_window_share, window_worth / window_asked);
  }
  figures.deductions = (scoring_.over_limit_price * static_cast<double>(figures.over_limit) +
                        scoring_.new_connection_price * static_cast<double>(figures.new_connections) +
                        scoring_.late_failure_price * static_cast<double>(late_failures_)) /
                       message_count;
  for (std::size_t zone = 0; zone < std::min(deliveries_by_zone_.size(), scoring_.zone_fees.size()); ++zone) {
    figures.deductions += scoring_.zone_fees[zone] * deliveries_by_zone_[zone] / message_count;
  }
  figures.service = scoring_.overall_weight * figures.worth_share +
                    (1 - scoring_.overall_weight) * figures.worst_window_share - figures.deductions;
  figures.calls_per_message = static_cast<double>(figures.calls) / message_count;
  figures.accept_p50_ms = Quantile(&accept_ms, 0.5);
  figures.accept_p99_ms = Quantile(&accept_ms, 0.99);
  figures.deliver_p50_ms = Quantile(&deliver_ms, 0.5);
  figures.deliver_p99_ms = Quantile(&deliver_ms, 0.99);
  for (const auto& [name, share] : {std::pair("50", 0.5), std::pair("75", 0.75), std::pair("90", 0.9),
                                    std::pair("95", 0.95), std::pair("99", 0.99), std::pair("99.9", 0.999)}) {
    figures.deliver_ms.emplace_back(name, Quantile(&deliver_ms, share));
  }
  for (std::size_t i = 0; i < asked.size(); ++i) {
    figures.worth_by_second.push_back(asked[i] > 0 ? worth[i] / asked[i] : -1);
  }
  return figures;
}

}  // namespace oxbowspread::check
