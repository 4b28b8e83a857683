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
  const auto nth = values->begin() + static_cast<std::ptrdiff_t>(std::lround(share * last));
  std::nth_element(values->begin(), nth, values->end());
  return *nth;
}

void Tally::RecordDelivery(std::uint64_t number, Time at) {
  Message& message = messages_[number];
  if (message.delivered_at < 0us) message.delivered_at = at;
}

void Tally::Observe(const Event& event) {
  switch (event.kind) {
    case Kind::kMessageDue:
      // Times count from when the message was due, even if the load generator was late.
      messages_[event.message] = {
          event.deadline - scoring_.deadline, Time(-1), Time(-1), event.destination, 0, -1};
      by_destination_[event.destination].messages_due += 1;
      break;
    case Kind::kSubmitted:
      submissions_[event.id].message = event.message;
      if (Message& message = messages_[event.message]; message.relay < 0) message.relay = event.relay;
      break;
    case Kind::kAccepted: {
      Submission& submission = submissions_[event.id];
      submission.accepted = true;
      Message& message = messages_[submission.message];
      if (message.accepted_at < 0us) message.accepted_at = event.at;
      if (submission.served_at >= 0us) RecordDelivery(submission.message, submission.served_at);
      break;
    }
    case Kind::kRejected:
      counts_.rejected += 1;
      break;
    case Kind::kUnanswered:
      // If the client submits the message again, it uses a new id, and later events of this id don't count.
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
      const Message& message = messages_[submission->second.message];
      if (message.delivered_at < 0us && event.at - message.due > scoring_.aim) ++late_failures_;
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

double Tally::Worth(const Message& message) const {
  if (message.delivered_at < 0us || message.delivered_at - message.due > scoring_.deadline) return 0;
  const Time delay = message.delivered_at - message.due;
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
  for (const auto& [number, message] : messages_) numbers.push_back(number);
  std::sort(numbers.begin(), numbers.end());
  std::vector<double> due_by_second, worth_sum_by_second;
  std::map<int, std::pair<double, double>> by_relay;  // messages, worth
  double total_worth = 0;
  for (const std::uint64_t number : numbers) {
    const Message& message = messages_.at(number);
    figures.messages_due += 1;
    const double message_worth = Worth(message);
    total_worth += message_worth;
    const auto second = static_cast<std::size_t>(std::max<Time::rep>(0, message.due / 1s));
    if (due_by_second.size() <= second) {
      due_by_second.resize(second + 1);
      worth_sum_by_second.resize(second + 1);
    }
    due_by_second[second] += 1;
    worth_sum_by_second[second] += message_worth;
    by_relay[message.relay].first += 1;
    by_relay[message.relay].second += message_worth;
    if (message.accepted_at >= 0us) {
      figures.accepted += 1;
      accept_ms.push_back(static_cast<double>((message.accepted_at - message.due).count()) / 1e3);
    }
    if (message_worth > 0) {
      figures.delivered += 1;
      figures.by_destination[message.destination].delivered += 1;
      if (message.delivered_at - message.due <= scoring_.aim) figures.within_aim += 1;
      deliver_ms.push_back(static_cast<double>((message.delivered_at - message.due).count()) / 1e3);
    } else {
      figures.undelivered += 1;
    }
  }
  if (figures.messages_due == 0) return figures;
  double shares = 0, squared_shares = 0;
  for (const auto& [relay, sum] : by_relay) {
    const double share = sum.second / sum.first;
    shares += share;
    squared_shares += share * share;
  }
  if (squared_shares > 0)
    figures.fairness = shares * shares / squared_shares / static_cast<double>(by_relay.size());
  const auto message_count = static_cast<double>(figures.messages_due);
  figures.worth_share = total_worth / message_count;
  const auto width = std::min(due_by_second.size(),
                              static_cast<std::size_t>(std::max<Time::rep>(1, scoring_.worst_window / 1s)));
  figures.worst_window_share = 1;
  for (std::size_t from = 0; from + width <= due_by_second.size(); ++from) {
    double window_due = 0, window_worth = 0;
    for (std::size_t i = from; i < from + width; ++i) {
      window_due += due_by_second[i];
      window_worth += worth_sum_by_second[i];
    }
    if (window_due > 0)
      figures.worst_window_share = std::min(figures.worst_window_share, window_worth / window_due);
  }
  figures.deductions = (scoring_.over_limit_price * static_cast<double>(figures.over_limit) +
                        scoring_.new_connection_price * static_cast<double>(figures.new_connections) +
                        scoring_.late_failure_price * static_cast<double>(late_failures_)) /
                       message_count;
  for (std::size_t zone = 0; zone < std::min(deliveries_by_zone_.size(), scoring_.zone_fees.size()); ++zone) {
    figures.deductions += scoring_.zone_fees[zone] * deliveries_by_zone_[zone] / message_count;
  }
  figures.service_score = scoring_.overall_weight * figures.worth_share +
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
  for (std::size_t i = 0; i < due_by_second.size(); ++i) {
    figures.worth_by_second.push_back(due_by_second[i] > 0 ? worth_sum_by_second[i] / due_by_second[i] : -1);
  }
  return figures;
}

}  // namespace oxbowspread::check
