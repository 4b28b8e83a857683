// The endpoint side: a pool of lines for each endpoint, and the calls on them.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "endpoint/hosts.hpp"
#include "endpoint/line.hpp"
#include "net/loop.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::endpoint {

class Pool final : public relay::EndpointTransport, private Line::Owner {
 public:
  struct Limits {
    std::size_t most_lines = 256;
    net::Time connect_timeout{0};
    net::Time keepalive{0};
    std::vector<bool> routes_apart;  // by kind: see Hosts::SetKinds
  };

  Pool(net::Loop& loop, const Limits& limits, relay::Counters& counters);
  void Attach(relay::Relay& relay) { relay_ = &relay; }

  void SetLimits(const Limits& limits);

  // What hosts told this process, for the next one, and what they told the last one.
  std::vector<relay::HostWait> Waits() const;
  void TakeWaits(const relay::HandoverState& estate);
  std::vector<relay::AddressWait> AddressWaits() const;
  // Another process's call to that host was answered with a wait.
  void ToldWait(const std::string& host, net::Time wait);
  // Takes at once what has come of answers to calls that are out.
  void ReadNow();
  // No line rests here any more; those with calls go on.
  void CloseAllIdle();

  void ApplyRoutingChange(const relay::RoutingChange& change) override;
  void StartAttempt(relay::AttemptRequest order) override;
  bool CancelAttempt(const relay::AttemptId& attempt) override;
  void CloseIdle(const std::string& host) override;
  void SetListValidUntil(net::Time moment) override { hosts_.ListValidUntil(moment); }

 private:
  using Lines = std::vector<std::unique_ptr<Line>>;

  std::optional<std::string> OnWritable(Line& line) override;
  void OnEnd(Line& line, const relay::AttemptId& attempt, const relay::AttemptResult& end) override;
  void OnFree(Line& line) override;
  void OnLost(Line& line) override;
  void OnSpoilt() override { counters_.invalid_responses += 1; }

  void TellWaits(const std::vector<std::string>& hosts);
  Line* FreeLine(const Lines& lines) const;
  Line* NewLine(const std::string& id, const Host& host);
  bool CloseLongestIdle();
  void Remove(Line& line);
  // Neither connecting nor idle any more, as far as the two lists know.
  void Unlist(Line& line);
  void Fail(const relay::AttemptRequest& order, wheathub::Outcome outcome);
  void Sweep();

  net::Loop& loop_;
  Limits limits_;
  relay::Counters& counters_;
  relay::Relay* relay_ = nullptr;
  Hosts hosts_;
  std::map<std::string, Lines> pools_;  // by host; none is empty
  std::map<relay::AttemptId, Line*> out_;
  // Those that connect, by when they must have, and those that are idle, by since when: with thousands of
  // lines none is looked for among all.
  std::set<std::pair<net::Time, Line*>> connecting_, idle_;
  std::map<Line*, net::Time> connect_by_;
  std::size_t lines_ = 0;
  std::vector<std::pair<relay::AttemptId, wheathub::Outcome>> failed_;
  net::Timer failed_timer_;
  net::Timer sweep_timer_;
};

}  // namespace oxbowspread::endpoint
