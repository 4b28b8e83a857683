// oxbowspread: one relay. Wires the parts together and walks them through their phases.
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

#include "apps/arguments.hpp"
#include "client/clients.hpp"
#include "config/config.hpp"
#include "control/server.hpp"
#include "door/door.hpp"
#include "endpoint/pool.hpp"
#include "handover/new_process.hpp"
#include "handover/old_process.hpp"
#include "journal/folder_lock.hpp"
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

using relay::kDoorOpen;
using relay::kLookEach;
using relay::kSettleAt;
using relay::kStopAt;
constexpr net::Time kPausedLookEach = 100ms;
// A new process is wanted ready 6 s after its start; the old one may be a moment from being able to give
// over.
constexpr handover::Limit kTakeWithin = 5s;

static_assert(config::Config::kDoorDescriptors == management::ManagementServer::kDescriptors,
              "set apart as many as the door takes");

// Exit codes. 1: something that can't work, by README's rule for the start.
using apps::kBadInput;
constexpr int kFolderLocked = 3;  // another process holds the state folder

// What operators add on the command line; all of it is off by default.
struct Options {
  char** argv = nullptr;  // as started
  std::string control;    // path of the control socket
  std::string stamp;      // opaque; told again by `status`, so that whoever started it knows it again
};

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

class Program final : public handover::Giver::Owner {
 public:
  Program(const config::Config& c, Options options, handover::Start start)
      : config_(c),
        options_(std::move(options)),
        start_(std::move(start)),
        phases_([this](Phase phase) { Entered(phase); }),
        discovery_address_(AddressOf("discovery", c.discovery)),
        journal_(c.state, c.disk_bytes, start_.StillOut()),
        clock_(loop_),
        endpoints_(loop_, LimitsOf(c), counters_),
        attempts_(
            loop_, endpoints_,
            [this](const std::string& host, relay::Time wait) { endpoints_.RecordRetryAfter(host, wait); },
            [this](const std::string& word, const std::string& argument) {
              return Operate({word, argument}).value_or("");
            }),
        discovery_(loop_, {discovery_address_, c.discovery}, NamesOf(c), counters_),
        notices_(loop_, discovery_address_, c.discovery, counters_),
        relay_(c.settings, c.seed, journal_, {clock_, attempts_, notices_}, counters_),
        end_(loop_, SIGTERM, [this] { AskedToEnd(); }),
        interrupt_(loop_, SIGINT, [this] { AskedToEnd(); }),
        report_(loop_, SIGUSR1, [this] { Report(); }),
        reload_(loop_, SIGHUP, [this] { Reload(); }),
        step_(loop_, [this] { Look(); }) {
    clock_.Attach(relay_);
    endpoints_.Attach(relay_);
    attempts_.Attach(relay_);
    discovery_.Attach(relay_);
    notices_.Attach(relay_);
    counters_.journal_cut_bytes = journal_.cut_bytes();
    if (!config_.mgmt.empty()) {
      door_.emplace(loop_, AddressOf("mgmt", config_.mgmt),
                    [this](const management::Command& call) { return Operate(call); });
    }
    if (!options_.control.empty()) {
      control_.emplace(
          loop_, options_.control,
          [this](const control::Json& request, const control::Answer& answer) { answer(Command(request)); });
    }
  }

  void Run() {
    loop_.StartPeriodicPolling();
    phases_.Enter(Phase::kRecovering);
    phases_.Enter(Phase::kServing);
    loop_.Run();
    Report();
  }

 private:
  static routing::ZoneAndKindNames NamesOf(const config::Config& c) {
    routing::ZoneAndKindNames names{c.zones, {}};
    for (const auto& kind : c.settings.kinds) names.kinds.push_back(kind.name);
    return names;
  }

  static wheathub::ListSubscription::Options ListOptionsOf(const config::Config& c) {
    return {.pushed = !c.settings.list_must_be_asked_for,
            .senders = c.settings.senders,
            .failures_are_told = false};
  }

  static endpoint::Pool::Limits LimitsOf(const config::Config& c) {
    std::vector<bool> apart;
    for (const auto& kind : c.settings.kinds) apart.push_back(kind.routes_apart);
    return {c.most_lines(), c.settings.connect_timeout, c.settings.keepalive, apart};
  }

  void Entered(Phase phase) {
    // Who reads "serving" connects: it is written when that works.
    if (phase != Phase::kServing) std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
    switch (phase) {
      case Phase::kStarting:
        break;
      case Phase::kRecovering: {
        relay::RoutingChange known =
            routing::ParseHostList(config_.known, NamesOf(config_)).value_or(routing::HostList()).change;
        known.scope = wheathub::ListScope::kRemembered;
        const bool taken = start_.channel.has_value();
        discovery_.SetKnownRevision(taken ? start_.estate.table.revision : known.revision);
        if (taken) attempts_.TakeOver(std::move(*start_.channel), start_.estate.out);
        relay_.Recover(known, taken ? &start_.estate : nullptr);
        endpoints_.RestoreWaits(start_.estate);
        std::optional<wheathub::ListLease::Inherited> lease;
        if (taken) lease = {start_.estate.list_valid_until};
        discovery_.Start(ListOptionsOf(config_), ~config_.seed, lease);
        if (taken) {
          std::cout << config_.name << ": took over " << start_.clients.size() << " clients and "
                    << start_.estate.out.size() << " attempts that go on in the old process" << std::endl;
        }
        std::cout << config_.name << ": " << counters_.recovered << " messages and "
                  << counters_.recovered_notices << " notices owed, " << journal_.cut_bytes()
                  << " torn bytes cut" << std::endl;
        break;
      }
      case Phase::kServing:
        // Not before: whoever can connect is answered, and a PING must mean that all is ready.
        if (clients_) {
          clients_->OpenDoor();
        } else {
          clients_.emplace(loop_, AddressOf("listen", config_.listen), config_.listen_fd,
                           config_.most_clients(), relay_, counters_, [this] { return Text(); });
          for (const client::Passed& client : start_.clients) clients_->TakeUp(client);
          start_.clients.clear();
          if (config_.listen_fd >= 0) OpenHandover();
        }
        std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
        break;
      case Phase::kPaused:
        door_closed_ = sent_away_ = false;
        [[fallthrough]];
      case Phase::kDraining:
        asked_at_ = net::Loop::Now();
        step_.After(kDoorOpen);
        break;
      case Phase::kSettling:
        relay_.Settle();
        if (clients_) clients_->SendAway();
        break;
      case Phase::kGiven:
        step_.After(kLookEach);
        break;
      case Phase::kStopped:
        loop_.Stop();
        break;
    }
  }

  // After SIGTERM: the door, then the last sends, then the end; as soon as nothing is owed and nobody asks,
  // all but the door without waiting.
  void Look() {
    if (phases_.now() == Phase::kServing) return;  // resumed
    if (phases_.now() == Phase::kGiven) return LookGiven();
    const net::Time since = net::Loop::Now() - asked_at_;
    drain_ms_ = since / 1ms;
    if (!std::exchange(door_closed_, true)) clients_->CloseDoor();
    if (phases_.now() == Phase::kPaused) return LookPaused(since);
    const net::Time quiet = net::Loop::Now() - std::max(asked_at_, clients_->quiet_since());
    const bool empty = relay_.done() && relay_.out() == 0 && quiet >= kDoorOpen;
    if (empty || since >= kSettleAt) phases_.Enter(Phase::kSettling);
    // What a client has begun is answered, and its answer reaches it: both take no longer than it does.
    const bool settled = phases_.now() == Phase::kSettling && relay_.out() == 0 && clients_->clients() == 0;
    if (settled || since >= kStopAt) return End();
    step_.After(kLookEach);
  }

  // An answer that has come by now is on record: after a stop of the process timers are called before reads.
  void End() {
    endpoints_.ReadNow();
    phases_.Enter(Phase::kStopped);
  }

  // An operator's drain: clients leave as at the end, but nothing hurries what is held.
  void LookPaused(net::Time since) {
    const net::Time quiet = net::Loop::Now() - std::max(asked_at_, clients_->quiet_since());
    if (since >= kSettleAt || quiet >= kDoorOpen) {
      sent_away_ = true;
      clients_->SendAway();  // again and again: one that was asking may rest by now
    }
    step_.After(kPausedLookEach);
  }
  // Nobody can hand anything in, and nothing is owed any more.
  bool settled() const {
    return phases_.now() == Phase::kPaused && sent_away_ && clients_->clients() == 0 && relay_.done() &&
           relay_.out() == 0;
  }

  // ---- handover to the next process ----

  // Without it no other process can take over, which is no reason not to serve.
  void OpenHandover() {
    try {
      old_.emplace(loop_, config_.state, *this);
    } catch (const std::exception& e) {
      std::cerr << config_.name << ": no handover can be asked for: " << e.what() << std::endl;
    }
  }
  std::optional<std::string> Unable() const override {
    if (phases_.now() == Phase::kServing) return std::nullopt;
    return "the process that has it is " + std::string(relay::NameOf(phases_.now()));
  }
  relay::Estate Freeze() override {
    relay::Estate estate = relay_.Freeze();
    estate.waits = endpoints_.HostWaits();
    estate.address_waits = endpoints_.AddressWaits();
    estate.list_valid_until = discovery_.list_valid_until();
    return estate;
  }
  std::vector<client::Passed> Clients() const override { return clients_->passed(); }
  int LockFd() const override { return start_.lock->fd(); }
  void Given() override {
    relay_.Given([this](const std::string& id, const relay::AttemptEnd& end) { old_->Tell(id, end); });
    clients_.reset();
    discovery_.Stop();
    notices_.Stop();
    endpoints_.CloseAllIdle();
    control_.reset();
    start_.lock->Release();
    phases_.Enter(Phase::kGiven);
  }
  void CutAttempt(const std::string& id) override { relay_.CutGiven(id); }
  // Nobody serves any more, unless the platform wanted this process to end: it begins anew, from the journal.
  void Orphaned() override {
    if (end_by_ > net::Time(0)) return;
    std::cerr << config_.name << ": the process that took over has gone: starting anew" << std::endl;
    execv("/proc/self/exe", options_.argv);
    std::cerr << config_.name << ": can't start anew" << std::endl;
    phases_.Enter(Phase::kStopped);
  }
  void AskedToEnd() {
    if (phases_.now() == Phase::kGiven && end_by_ == net::Time(0)) end_by_ = net::Loop::Now() + kStopAt;
    phases_.Enter(Phase::kDraining);
  }
  void LookGiven() {
    const bool late = end_by_ > net::Time(0) && net::Loop::Now() >= end_by_;
    if (late || relay_.out() == 0) return End();
    step_.After(kLookEach);
  }

  // ---- the operators' door ----

  std::optional<std::string> Operate(const management::Command& call) {
    const bool takes_host = call.name == "exclude" || call.name == "include";
    if (call.name != "readyz" && !takes_host)
      return "no call " + call.name + ": readyz, exclude ID, include ID";
    if (takes_host == call.argument.empty())
      return call.name + (takes_host ? " takes a host's id" : " takes nothing");
    if (!takes_host) {
      if (phases_.now() == Phase::kServing) return std::nullopt;
      return std::string(relay::NameOf(phases_.now()));
    }
    if (phases_.now() == Phase::kGiven) return old_->Operate(call.name, call.argument);
    const bool out = call.name == "exclude";
    const auto why = out ? relay_.TakeOut(call.argument) : relay_.PutBack(call.argument);
    std::cout << config_.name << ": " << call.name << " " << call.argument << ": " << why.value_or("done")
              << std::endl;
    return why;
  }

  // ---- the control socket ----

  control::Json Command(const control::Json& request) {
    const std::string op = control::TextOf(request, "op");
    if (op == "status") return Status();
    if (op == "reload") {
      if (const auto why = Reload()) return control::Fault(*why);
      if (request.contains("stamp")) options_.stamp = control::TextOf(request, "stamp");
    } else if (op == "drain") {
      if (phases_.now() > Phase::kPaused) return control::Fault("is ending already");
      if (phases_.now() < Phase::kServing) return control::Fault("is not serving yet");
      phases_.Enter(Phase::kPaused);
    } else if (op == "resume") {
      if (phases_.now() > Phase::kPaused) return control::Fault("is ending already");
      try {
        phases_.Resume();
      } catch (const std::exception& e) {
        phases_.Enter(Phase::kPaused);
        return control::Fault("listen: " + config_.listen + ": " + e.what());
      }
    } else if (op == "stop") {
      phases_.Enter(Phase::kDraining);
    } else {
      return control::Fault("op: unknown: '" + op + "'");
    }
    return Status();
  }

  control::Json Status() const {
    control::Json status = {{"ok", true},
                            {"name", config_.name},
                            {"pid", getpid()},
                            {"phase", relay::NameOf(phases_.now())},
                            {"settled", settled()},
                            {"stamp", options_.stamp},
                            {"state", config_.state},
                            {"listen", config_.listen},
                            {"clients", clients_ ? clients_->clients() : 0},
                            {"held", relay_.held()},
                            {"out", relay_.out()}};
    const relay::Counters& c = counters_;
    status["counters"] = {{"authorisations", c.messages},
                          {"taken_on", c.taken_on},
                          {"busy", c.busy_by_module + c.busy_full + c.busy_journal},
                          {"delivered", c.delivered},
                          {"undeliverable", c.undeliverable},
                          {"deferred", c.deferred},
                          {"recovered", c.recovered},
                          {"reloads", c.reloads}};
    return status;
  }

  // A file that can't be used must not end what runs: the running configuration stays, and the log tells why.
  std::optional<std::string> Reload() {
    if (phases_.now() == Phase::kGiven) return "is given over";
    try {
      config::Config next = config::Reread(config_);
      const net::Address discovery = AddressOf("discovery", next.discovery);
      relay_.Renew(next.settings);  // throws before anything has changed
      for (const std::string& key : config::NeedingRestart(config_, next)) {
        std::cout << config_.name << ": reload: " << key << " stays as it is until a restart" << std::endl;
      }
      const std::string old = std::exchange(config_.discovery, next.discovery);
      config_.sockets = next.sockets;
      config_.text = next.text;
      config_.settings = next.settings;
      config_.zones = next.zones;
      discovery_.SetNames(NamesOf(config_));
      discovery_.SetOptions(ListOptionsOf(config_));
      counters_.reloads += 1;
      std::cout << config_.name << ": reloaded, discovery at " << config_.discovery << std::endl;
      endpoints_.SetLimits(LimitsOf(config_));
      if (clients_) clients_->SetMost(config_.most_clients());
      if (old == config_.discovery) return std::nullopt;
      discovery_.SetServer({discovery, config_.discovery});
      notices_.SetServer(discovery, config_.discovery);
    } catch (const std::exception& e) {
      counters_.reloads_refused += 1;
      std::cerr << config_.name << ": reload refused: " << e.what() << std::endl;
      return e.what();
    }
    return std::nullopt;
  }

  std::string Text() const {
    return "phase=" + std::string(relay::NameOf(phases_.now())) + "\nheld=" + std::to_string(relay_.held()) +
           "\nout=" + std::to_string(relay_.out()) +
           "\njournal_bytes=" + std::to_string(journal_.file_bytes()) +
           "\ndrain_ms=" + std::to_string(drain_ms_) +
           "\nlist_age_ms=" + std::to_string(discovery_.time_since_received() / 1ms) + "\n" +
           counters_.Text();
  }
  void Report() const { std::cout << Text() << std::flush; }

  config::Config config_;
  Options options_;
  handover::Start start_;  // the lock, and what was taken over until it is taken up
  relay::Counters counters_;
  net::Loop loop_;
  relay::Phases phases_;
  net::Address discovery_address_;
  journal::Journal journal_;
  WallClock clock_;
  endpoint::Pool endpoints_;
  handover::Attempts attempts_;
  routing::DiscoveryClient discovery_;
  notice::HttpNoticeSender notices_;
  relay::Relay relay_;
  std::optional<client::Clients> clients_;
  net::Signal end_, interrupt_, report_, reload_;
  net::Timer step_;
  net::Time asked_at_{0};
  net::Time end_by_{0};  // once given over and asked to end; 0: not asked
  std::int64_t drain_ms_ = 0;
  bool door_closed_ = false;
  bool sent_away_ = false;
  std::optional<control::Server> control_;
  std::optional<management::ManagementServer> door_;
  std::optional<handover::OldProcess> old_;
};

// The folder, and all that the process which has it gives over. What this one could fail by is tried before.
handover::Start TakeStart(const config::Config& c) {
  if (c.listen_fd < 0) {
    handover::Start start;
    start.lock = std::make_unique<journal::FolderLock>(c.state);
    return start;
  }
  try {
    net::Listener::CheckListening(c.listen_fd);
  } catch (const std::system_error& e) {
    throw config::Error("ROUTER_LISTEN_FD", "descriptor " + std::to_string(c.listen_fd) + ": " + e.what());
  }
  AddressOf("discovery", c.discovery);
  if (!c.mgmt.empty()) {
    net::Loop loop;
    net::Listener(loop, AddressOf("mgmt", c.mgmt), [](int fd) { close(fd); });
  }
  return handover::Take(c.state, kTakeWithin);
}

// What the file says, without starting anything: 0, or 2 and one line.
int CheckConfig(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  try {
    if (!file) throw config::Error("config", "can't read " + path);
    const config::Config c = config::Checked(text.str());
    AddressOf("listen", c.listen);
    AddressOf("discovery", c.discovery);
  } catch (const std::exception& e) {
    std::cerr << "oxbowspread: " << path << ": " << e.what() << "\n";
    return kBadInput;
  }
  std::cout << path << ": can be used\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"oxbowspread: one relay. Started without arguments it takes all from $ROUTER_CONFIG."};
  Options options;
  std::string check;
  app.add_option("--control", options.control,
                 "listen for oxbowctl and oxbowagent at this Unix-domain socket");
  app.add_option("--stamp", options.stamp, "told again by the control socket's status");
  app.add_option("--check-config", check, "check this configuration file, start nothing");
  app.set_version_flag("--version", std::string("oxbowspread " OXBOWSPREAD_VERSION));
  if (const auto code = apps::Parse(app, "oxbowspread", argc, argv)) return *code;
  if (!check.empty()) return CheckConfig(check);
  std::signal(SIGPIPE, SIG_IGN);
  // A reload or a report asked for while the program starts.
  net::Signal::Block(SIGHUP);
  net::Signal::Block(SIGUSR1);
  try {
    options.argv = argv;
    const config::Config c = config::FromEnvironment();
    // An end asked for from here on is one like any other; a process that waits for what another gives over
    // ends at once.
    if (c.listen_fd < 0) net::Signal::Block(SIGTERM);
    if (c.listen_fd < 0) net::Signal::Block(SIGINT);
    Program(c, options, TakeStart(c)).Run();
  } catch (const journal::FolderLocked& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return kFolderLocked;
  } catch (const std::exception& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
