#include "standin/load.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace oxbowspread::standin {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kTickInterval = 2ms;
}  // namespace

LoadGenerator::LoadGenerator(net::Loop& loop, MessageTracker& tracker, const LoadOptions& options)
    : loop_(loop),
      tracker_(tracker),
      options_(options),
      skipped_until_(options.relays.size()),
      run_id_(std::to_string(getpid()) + "-" + std::to_string(net::Loop::UnixNow().count() % 1'000'000'000)),
      timer_(loop, [this] { OnTick(); }),
      resubmission_timer_(loop, [this] {
        while (!resubmissions_.empty() && resubmissions_.begin()->first <= net::Loop::Now()) {
          const Submission submission = resubmissions_.begin()->second;
          resubmissions_.erase(resubmissions_.begin());
          Submit(submission);
        }
        if (!resubmissions_.empty()) resubmission_timer_.At(resubmissions_.begin()->first);
      }) {
  for (const std::string& relay : options_.relays) addresses_.push_back(net::ParseAddress(relay).value());
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start() {
  started_at_ = net::Loop::Now();
  timer_.After(kTickInterval);
}

void LoadGenerator::OnTick() {
  const net::Time now = net::Loop::Now();
  const double interval_us = 1e6 / options_.rate;
  while (true) {
    const net::Time due =
        started_at_ +
        net::Time(static_cast<net::Time::rep>(static_cast<double>(message_count_) * interval_us));
    if (due > now) break;
    lateness_ = std::max(lateness_, now - due - kTickInterval);
    const std::uint64_t message = ++message_count_;
    tracker_.RecordDue(message, due);
    ++pending_;
    Submit({message, 1, {}, false});
  }
  timer_.After(kTickInterval);
}

// Round robin over the relays that the load balancer considers up; if there is none, it tries one anyway.
void LoadGenerator::Submit(Submission submission) {
  if (!submission.repeated) {
    submission.id = run_id_ + "-" + std::to_string(++id_count_);
    tracker_.RecordSubmission(submission.message, submission.id);
  }
  const net::Time now = net::Loop::Now();
  std::size_t relay = next_relay_;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    relay = next_relay_++ % addresses_.size();
    if (skipped_until_[relay] <= now) break;
  }
  for (auto& [connection, state] : connections_) {
    if (state.relay != relay || !connection->idle()) continue;
    state.submission = submission;
    return connection->Send(FormatCommand(submission));
  }
  auto connection =
      std::make_unique<ClientConnection>(loop_, *this, addresses_[relay], options_.answer_timeout);
  if (!connection->opened())
    return ResubmitAfter(submission, 50ms, MessageTracker::GiveUpReason::kUnanswered);
  ClientConnection* const opened = connection.get();
  connections_[opened] = {std::move(connection), relay, submission};
  opened->Send(FormatCommand(submission));
}

std::string LoadGenerator::FormatCommand(const Submission& submission) const {
  const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(options_.deadline).count();
  const std::string values = "c=outbound,d=" + std::to_string(deadline_ms) +
                             ",k=" + MessageTracker::KeyOf(submission.message) + ",dest=7" +
                             (submission.number > 1 ? ",again=1" : "");
  const std::string body(options_.body_bytes, 'x');
  return RespCommand({"MSG.PUT", "0000000000000000", submission.id, values, body});
}

void LoadGenerator::OnAnswer(ClientConnection& connection, const std::string& answer) {
  const Submission submission = connections_.at(&connection).submission;
  if (answer.rfind("+OK", 0) == 0) {
    tracker_.RecordAccepted(submission.id, net::Loop::Now());
    --pending_;
    return;
  }
  net::Time delay = 100ms;
  if (answer.rfind("-BUSY ", 0) == 0) delay = std::chrono::milliseconds(std::atol(answer.c_str() + 6));
  ResubmitAfter(submission, delay, MessageTracker::GiveUpReason::kRejected);
}

void LoadGenerator::OnLost(ClientConnection& connection, const ClientConnection::Loss& loss) {
  const auto it = connections_.find(&connection);
  const std::size_t relay = it->second.relay;
  Submission submission = it->second.submission;
  connection.Close();
  loop_.DestroyLater(std::move(it->second.connection));
  connections_.erase(it);
  if (!loss.was_connected) skipped_until_[relay] = net::Loop::Now() + options_.relay_skip_time;
  if (!loss.request_pending) return;
  // No relay has read the request, so the same one is sent once more.
  if ((!loss.was_connected || loss.request_unread) && !submission.repeated) {
    submission.repeated = true;
    return Submit(submission);
  }
  ResubmitAfter(submission, 0ms, MessageTracker::GiveUpReason::kUnanswered);
}

void LoadGenerator::ResubmitAfter(const Submission& submission, net::Time delay,
                                  MessageTracker::GiveUpReason reason) {
  if (submission.number >= options_.max_submissions || stopping_) {
    tracker_.RecordGivenUp(submission.message, reason);
    --pending_;
    return;
  }
  resubmissions_.emplace(net::Loop::Now() + delay,
                         Submission{submission.message, submission.number + 1, {}, false});
  resubmission_timer_.At(resubmissions_.begin()->first);
}

}  // namespace oxbowspread::standin
