// Stands in for the clients and the load balancer before the relays. Messages come at a fixed rate, whatever
// the results of earlier ones (open loop). Each is submitted to a relay that the load balancer considers up,
// and resubmitted as the platform's clients do.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/client_connection.hpp"
#include "standin/message_tracker.hpp"

namespace oxbowspread::standin {

// Times are in microseconds.
struct LoadOptions {
  std::vector<std::string> relays;  // address:port
  double rate = 200;                // messages per second
  net::Time deadline{8'000'000};
  net::Time answer_timeout{400'000};
  int max_submissions = 3;  // per message, including rejected and unanswered ones
  // How long the load balancer skips a relay that refused a connection.
  net::Time relay_skip_time{1'000'000};
  std::size_t body_bytes = 200;
};

// Submits the messages and records their results in the tracker.
class LoadGenerator final : public ClientConnection::Owner {
 public:
  // Loop and tracker must outlive it. Throws std::bad_optional_access if the address of a relay is invalid.
  LoadGenerator(net::Loop& loop, MessageTracker& tracker, const LoadOptions& options);
  ~LoadGenerator() override;
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Start();
  // Stops creating messages. Submissions that wait for an answer still get it.
  void Stop() {
    timer_.Stop();
    stopping_ = true;
  }
  // Whether every message so far was accepted or given up by its client.
  bool idle() const { return pending_ == 0; }
  // Longest delay between a message's due time and its submission: the generator's own share of every
  // measured time.
  net::Time lateness() const { return lateness_; }

 private:
  struct Submission {
    std::uint64_t message = 0;
    int number = 1;
    std::string id;
    bool repeated = false;  // on a second connection, since the first was closed before the request was read
  };

  struct ConnectionState {
    std::unique_ptr<ClientConnection> connection;
    std::size_t relay = 0;
    Submission submission;  // the latest, while the connection is not idle
  };

  void OnTick();
  void Submit(Submission submission);
  void ResubmitAfter(const Submission& submission, net::Time delay, MessageTracker::GiveUpReason reason);
  void OnAnswer(ClientConnection& connection, const std::string& answer) override;
  void OnLost(ClientConnection& connection, const ClientConnection::Loss& loss) override;
  std::string FormatCommand(const Submission& submission) const;

  net::Loop& loop_;
  MessageTracker& tracker_;
  LoadOptions options_;
  std::vector<net::Address> addresses_;
  std::vector<net::Time> skipped_until_;  // by relay
  std::map<ClientConnection*, ConnectionState> connections_;
  std::multimap<net::Time, Submission> resubmissions_;
  net::Time started_at_{0}, lateness_{0};
  std::uint64_t message_count_ = 0, id_count_ = 0;
  std::size_t next_relay_ = 0, pending_ = 0;
  bool stopping_ = false;
  std::string run_id_;  // prefix of the message ids, which differs from run to run
  net::Timer timer_, resubmission_timer_;
};

}  // namespace oxbowspread::standin
