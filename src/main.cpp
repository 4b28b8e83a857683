// oxbowspread: one relay. Wires the parts together and walks them through their phases.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>

#include "acquirer/acquirer.hpp"
#include "config/config.hpp"
#include "issuer/issuer.hpp"
#include "journal/journal.hpp"
#include "net/loop.hpp"
#include "notice/notice.hpp"
#include "relay/phase.hpp"
#include "relay/relay.hpp"
#include "routing/discovery.hpp"

namespace {

using namespace std::chrono_literals;
using namespace oxbowspread;
using relay::Phase;

// From SIGTERM; SIGKILL comes 3.7 s after it at the earliest.
constexpr net::Time kDoorOpen = 500ms;   // new connections keep coming for up to 400 ms
constexpr net::Time kSettleAt = 3100ms;  // nothing new is sent from then on
constexpr net::Time kStopAt = 3550ms;    // what is still out is left to the next life
constexpr net::Time kLookEach = 20ms;    // whether all is done

class WallClock final : public relay::Clock {
 public:
  explicit WallClock(net::Loop& loop) : timer_(loop, [this] { relay_->Turn(); }) {}
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  relay::Time Now() const override { return net::Loop::Now(); }
  relay::Time UnixNow() const override { return net::Loop::UnixNow(); }
  void WakeAt(relay::Time moment) override { timer_.At(moment); }

 private:
  net::Timer timer_;
  relay::Relay* relay_ = nullptr;
};

net::Address AddressOf(const char* key, const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!address) throw config::Error(key, "must be an IPv4 address and port, not '" + text + "'");
  return *address;
}

class Program {
 public:
  explicit Program(const config::Config& c)
      : config_(c),
        phases_([this](Phase phase) { Entered(phase); }),
        discovery_address_(AddressOf("discovery", c.discovery)),
        journal_(c.state, c.disk_bytes),
        clock_(loop_),
        issuer_(loop_, {c.most_lines(), c.settings.connect_timeout, c.settings.keepalive}, counters_),
        discovery_(loop_, discovery_address_, c.discovery, NamesOf(c), counters_),
        notices_(loop_, discovery_address_, c.discovery, counters_),
        relay_(c.settings, c.seed, journal_, {clock_, issuer_, discovery_, notices_}, counters_),
        end_(loop_, SIGTERM, [this] { phases_.Enter(Phase::kDraining); }),
        interrupt_(loop_, SIGINT, [this] { phases_.Enter(Phase::kDraining); }),
        report_(loop_, SIGUSR1, [this] { Report(); }),
        reload_(loop_, SIGHUP, [this] { Reload(); }),
        step_(loop_, [this] { Look(); }) {
    clock_.Attach(relay_);
    issuer_.Attach(relay_);
    discovery_.Attach(relay_);
    notices_.Attach(relay_);
    counters_.journal_cut_bytes = journal_.cut_bytes();
  }

  void Run() {
    phases_.Enter(Phase::kRecovering);
    phases_.Enter(Phase::kServing);
    loop_.Run();
    Report();
  }

 private:
  static routing::Names NamesOf(const config::Config& c) {
    routing::Names names{c.zones, {}};
    for (const auto& kind : c.settings.kinds) names.kinds.push_back(kind.name);
    return names;
  }

  void Entered(Phase phase) {
    // Who reads "serving" connects: it is written when that works.
    if (phase != Phase::kServing) std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
    switch (phase) {
      case Phase::kStarting:
        break;
      case Phase::kRecovering: {
        relay::RoutingChange known =
            routing::ReadList(config_.known, NamesOf(config_)).value_or(relay::RoutingChange());
        known.scope = wheathub::ListScope::kRemembered;
        discovery_.Known(known.revision);
        relay_.Recover(known);
        std::cout << config_.name << ": " << counters_.recovered << " authorisations and "
                  << counters_.recovered_notices << " notices owed, " << journal_.cut_bytes()
                  << " torn bytes cut" << std::endl;
        break;
      }
      case Phase::kServing:
        // Not before: whoever can connect is answered, and a PING must mean that all is ready.
        acquirers_.emplace(loop_, AddressOf("listen", config_.listen), config_.most_clients(), relay_,
                           counters_, [this] { return Text(); });
        std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
        break;
      case Phase::kDraining:
        asked_at_ = net::Loop::Now();
        step_.After(kDoorOpen);
        break;
      case Phase::kSettling:
        relay_.Settle();
        if (acquirers_) acquirers_->SendAway();
        break;
      case Phase::kStopped:
        loop_.Stop();
        break;
    }
  }

  // After SIGTERM: the door, then the last sends, then the end, or as soon as nothing is owed and nobody
  // asks.
  void Look() {
    const net::Time since = net::Loop::Now() - asked_at_;
    drain_ms_ = since / 1ms;
    if (!std::exchange(door_closed_, true)) acquirers_->CloseDoor();
    if (since >= kSettleAt) phases_.Enter(Phase::kSettling);
    const net::Time quiet = net::Loop::Now() - std::max(asked_at_, acquirers_->quiet_since());
    const bool empty = relay_.done() && relay_.out() == 0 && quiet >= kDoorOpen;
    const bool settled = phases_.now() == Phase::kSettling && relay_.out() == 0;
    if (empty || settled || since >= kStopAt) return phases_.Enter(Phase::kStopped);
    step_.After(kLookEach);
  }

  // A file that can't be used must not end what runs: the running configuration stays, and the log tells why.
  void Reload() {
    try {
      config::Config next = config::Reread(config_);
      const net::Address discovery = AddressOf("discovery", next.discovery);
      for (const std::string& key : config::NeedingRestart(config_, next)) {
        std::cout << config_.name << ": reload: " << key << " stays as it is until a restart" << std::endl;
      }
      const std::string old = std::exchange(config_.discovery, next.discovery);
      config_.sockets = next.sockets;
      counters_.reloads += 1;
      std::cout << config_.name << ": reloaded, discovery at " << config_.discovery << std::endl;
      issuer_.SetMostLines(config_.most_lines());
      if (acquirers_) acquirers_->SetMost(config_.most_clients());
      if (old == config_.discovery) return;
      discovery_.MoveTo(discovery, config_.discovery);
      notices_.MoveTo(discovery, config_.discovery);
    } catch (const std::exception& e) {
      counters_.reloads_refused += 1;
      std::cerr << config_.name << ": reload refused: " << e.what() << std::endl;
    }
  }

  std::string Text() const {
    return "phase=" + std::string(relay::NameOf(phases_.now())) + "\nheld=" + std::to_string(relay_.held()) +
           "\nout=" + std::to_string(relay_.out()) +
           "\njournal_bytes=" + std::to_string(journal_.file_bytes()) +
           "\ndrain_ms=" + std::to_string(drain_ms_) + "\n" + counters_.Text();
  }
  void Report() const { std::cout << Text() << std::flush; }

  config::Config config_;
  relay::Counters counters_;
  net::Loop loop_;
  relay::Phases phases_;
  net::Address discovery_address_;
  journal::Journal journal_;
  WallClock clock_;
  issuer::Issuer issuer_;
  routing::Discovery discovery_;
  notice::Poster notices_;
  relay::Relay relay_;
  std::optional<acquirer::Acquirers> acquirers_;
  net::Signal end_, interrupt_, report_, reload_;
  net::Timer step_;
  net::Time asked_at_{0};
  std::int64_t drain_ms_ = 0;
  bool door_closed_ = false;
};

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  net::Signal::HoldBack(SIGHUP);  // a reload asked for while the program starts
  try {
    Program(config::FromEnvironment()).Run();
  } catch (const std::exception& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
