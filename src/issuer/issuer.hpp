// The issuer side: a pool of lines for each issuer host, and the calls on them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "issuer/line.hpp"
#include "net/loop.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::issuer {

class Issuer final : public relay::IssuerSide, private Line::Owner {
 public:
  struct Limits {
    std::size_t most_lines = 256;
    net::Time connect_timeout{0};
    net::Time keepalive{0};
  };

  Issuer(net::Loop& loop, const Limits& limits, relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }

  void SetMostLines(std::size_t most) { limits_.most_lines = most; }

  void Adopt(const relay::RoutingChange& change) override;
  void Begin(relay::LegOrder order) override;
  void Cut(const relay::LegId& leg) override;
  void CloseIdle(const std::string& host) override;

 private:
  struct Host {
    std::string address;
    net::Address to{};
    bool known = false;  // the address can be read, and no other host has taken it over
    int zone = 0;
    bool ready = false, gone = false;
    net::Time unready_since{0};
    net::Time told_at{0}, wait_until{0};
    std::vector<std::unique_ptr<Line>> lines;
  };

  std::optional<std::string> OnWritable(Line& line) override;
  void OnEnd(Line& line, const relay::LegEnd& end) override;
  void OnFree(Line& line) override;
  void OnLost(Line& line) override;
  void OnSpoilt() override { counters_.answers_spoilt += 1; }

  void Adopt(const relay::Host& host);
  bool MayWrite(const Host& host, const relay::LegOrder& order, net::Time now) const;
  Line* FreeLine(Host& host);
  Line* NewLine(const std::string& id, Host& host);
  bool CloseLongestIdle();
  void TakeAddress(const std::string& id, Host& host);
  void CloseIdle(Host& host);
  void Remove(Host& host, Line& line);
  void Fail(const relay::LegOrder& order, wheathub::Outcome outcome);
  void Sweep();

  net::Loop& loop_;
  Limits limits_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  std::map<std::string, Host> hosts_;
  std::map<relay::LegId, Line*> out_;
  std::multimap<net::Time, std::pair<std::string, Line*>> connecting_;
  std::size_t lines_ = 0;
  std::vector<std::pair<relay::LegId, wheathub::Outcome>> failed_;
  net::Timer failed_timer_;
  net::Timer sweep_timer_;
};

}  // namespace oxbowspread::issuer
