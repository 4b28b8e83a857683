// Stand-ins for the clients and the front before the relays: messages at a fixed rate whatever becomes of
// them (open loop), each handed to a relay that the front believes up, and handed in again as the platform's
// clients do.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/client_line.hpp"
#include "standin/ledger.hpp"

namespace oxbowspread::standin {

// Spans in microseconds, sizes in bytes.
struct LoadOptions {
  std::vector<std::string> relays;  // address:port
  double rate = 200;                // messages a second
  net::Time deadline{8'000'000};
  net::Time answer_within{400'000};
  int tries = 3;                             // of a client, refusals and lost connections together
  net::Time front_notices_after{1'000'000};  // a relay that refuses connections is passed over for so long
  std::size_t body = 200;
};

class Load final : public ClientLine::Owner {
 public:
  // Loop and ledger must outlive it. Throws std::bad_optional_access where a relay's address is none.
  Load(net::Loop& loop, Ledger& ledger, const LoadOptions& options);
  ~Load() override;
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Begin();
  void End() {
    timer_.Stop();
    ending_ = true;
  }  // nothing new; what waits for its answer still gets it
  bool idle() const { return waiting_ == 0; }
  // How late, at most, a message was handed in after it was due: the load's own share of every time measured.
  net::Time lateness() const { return lateness_; }

 private:
  struct Try {
    std::uint64_t message = 0;
    int number = 1;
    std::string id;
    bool repeated = false;  // on a second connection, since the first was closed before it was read
  };

  struct Seat {
    std::unique_ptr<ClientLine> line;
    std::size_t relay = 0;
    Try asking;  // the last, while the line is not free
  };

  void OnTick();
  void HandIn(Try t);
  void Again(const Try& t, net::Time after, Ledger::End end);
  void OnAnswer(ClientLine& line, const std::string& answer) override;
  void OnBreak(ClientLine& line, const ClientLine::Break& how) override;
  std::string Command(const Try& t) const;

  net::Loop& loop_;
  Ledger& ledger_;
  LoadOptions options_;
  std::vector<net::Address> addresses_;
  std::vector<net::Time> passed_over_until_;
  std::map<ClientLine*, Seat> lines_;
  std::multimap<net::Time, Try> later_;
  net::Time begun_{0}, lateness_{0};
  std::uint64_t messages_ = 0, ids_ = 0;
  std::size_t next_relay_ = 0, waiting_ = 0;
  bool ending_ = false;
  std::string run_;  // tells this run's ids from those of others
  net::Timer timer_, later_timer_;
};

}  // namespace oxbowspread::standin
