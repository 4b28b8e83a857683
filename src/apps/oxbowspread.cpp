// oxbowspread: one relay process. Creates the components, connects them and runs them through the phases from
// start to exit.
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
#include "endpoint/pool.hpp"
#include "handover/handover_server.hpp"
#include "handover/new_process.hpp"
#include "journal/folder_lock.hpp"
#include "journal/journal.hpp"
#include "management/management_server.hpp"
#include "net/loop.hpp"
#include "notice/notice.hpp"
#include "relay/phase.hpp"
#include "relay/relay.hpp"
#include "routing/discovery.hpp"

namespace {

using namespace std::chrono_literals;
using namespace oxbowspread;
using relay::Phase;

using relay::kExitAfter;
using relay::kKeepAccepting;
using relay::kPollInterval;
using relay::kStopSendingAfter;
constexpr net::Time kPausedCheckInterval = 100ms;
// A new process must be ready 6 s after its start; the old one may need a moment before it can hand over.
constexpr handover::Timeout kTakeoverTimeout = 5s;

static_assert(config::Config::kManagementDescriptors == management::ManagementServer::kDescriptors,
              "the configuration must reserve as many descriptors as the management listener uses");

// Exit codes, besides 1 for any other failure to start.
using apps::kExitBadInput;
constexpr int kExitFolderLocked = 3;  // another process has locked the state folder

// Command-line options, all optional.
struct Options {
  char** argv = nullptr;  // as passed to main, for a restart in place
  std::string control;    // path of the control socket; empty: none
  std::string stamp;      // opaque; returned by `status`, so that whoever started the process can identify it
};

// Clock and wake-up timer of the relay core, on the event loop.
class LoopClock final : public relay::Clock {
 public:
  explicit LoopClock(net::Loop& loop) : timer_(loop, [this] { relay_->ProcessEvents(); }) {}
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  relay::Time Now() const override { return net::Loop::Now(); }
  relay::Time UnixNow() const override { return net::Loop::UnixNow(); }
  void WakeAt(relay::Time moment) override { timer_.At(moment); }

 private:
  net::Timer timer_;
  relay::Relay* relay_ = nullptr;
};

net::Address RequireAddress(const char* key, const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!address) throw config::Error(key, "must be an IPv4 address and port, not '" + text + "'");
  return *address;
}

// The relay process: owns all components and reacts to phases, signals and operators.
class Program final : public handover::HandoverSender::Owner {
 public:
  Program(const config::Config& config, Options options, handover::StartupState start)
      : config_(config),
        options_(std::move(options)),
        start_(std::move(start)),
        phases_([this](Phase phase) { OnPhase(phase); }),
        discovery_address_(RequireAddress("discovery", config.discovery)),
        journal_(config.state, config.disk_bytes, start_.InFlightIds()),
        clock_(loop_),
        endpoints_(loop_, PoolLimitsOf(config), counters_),
        attempts_(
            loop_, endpoints_,
            [this](const std::string& host, relay::Time wait) { endpoints_.RecordRetryAfter(host, wait); },
            [this](const std::string& word, const std::string& argument) {
              return HandleManagementCommand({word, argument}).value_or("");
            }),
        discovery_(loop_, {discovery_address_, config.discovery}, NamesOf(config), counters_),
        notices_(loop_, discovery_address_, config.discovery, counters_),
        relay_(config.settings, config.seed, journal_, {clock_, attempts_, notices_}, counters_),
        terminate_signal_(loop_, SIGTERM, [this] { OnTerminate(); }),
        interrupt_signal_(loop_, SIGINT, [this] { OnTerminate(); }),
        report_signal_(loop_, SIGUSR1, [this] { PrintCounters(); }),
        reload_signal_(loop_, SIGHUP, [this] { Reload(); }),
        progress_timer_(loop_, [this] { CheckProgress(); }) {
    clock_.Attach(relay_);
    endpoints_.Attach(relay_);
    attempts_.Attach(relay_);
    discovery_.Attach(relay_);
    notices_.Attach(relay_);
    counters_.journal_cut_bytes = journal_.truncated_bytes();
    if (!config_.mgmt.empty()) {
      management_.emplace(
          loop_, RequireAddress("mgmt", config_.mgmt),
          [this](const management::Command& command) { return HandleManagementCommand(command); });
    }
    if (!options_.control.empty()) {
      control_server_.emplace(loop_, options_.control,
                              [this](const control::Json& request, const control::Answer& answer) {
                                answer(HandleControlRequest(request));
                              });
    }
  }

  void Run() {
    loop_.StartPeriodicPolling();
    phases_.Enter(Phase::kRecovering);
    phases_.Enter(Phase::kServing);
    loop_.Run();
    PrintCounters();
  }

 private:
  static routing::ZoneAndKindNames NamesOf(const config::Config& config) {
    routing::ZoneAndKindNames names{config.zones, {}};
    for (const auto& kind : config.settings.kinds) names.kinds.push_back(kind.name);
    return names;
  }

  static wheathub::ListSubscription::Options ListOptionsOf(const config::Config& config) {
    return {.pushed_by_agent = !config.settings.must_request_list,
            .senders = config.settings.senders,
            .failures_are_reported = false};
  }

  static endpoint::Pool::Limits PoolLimitsOf(const config::Config& config) {
    std::vector<bool> separate_routes;
    for (const auto& kind : config.settings.kinds) separate_routes.push_back(kind.separate_routes);
    return {config.max_endpoint_connections(), config.settings.connect_timeout, config.settings.keepalive,
            separate_routes};
  }

  void OnPhase(Phase phase) {
    // Whoever reads "serving" in the log connects, so kServing logs it only once the listener is open.
    if (phase != Phase::kServing) std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
    switch (phase) {
      case Phase::kStarting:
        break;
      case Phase::kRecovering: {
        relay::RoutingChange last_known = routing::ParseHostList(config_.last_known_list, NamesOf(config_))
                                              .value_or(routing::HostList())
                                              .change;
        last_known.scope = wheathub::ListScope::kRemembered;
        const bool takes_over = start_.channel.has_value();
        discovery_.SetKnownRevision(takes_over ? start_.state.routing_table.revision : last_known.revision);
        if (takes_over) attempts_.TakeOver(std::move(*start_.channel), start_.state.in_flight);
        relay_.Recover(last_known, takes_over ? &start_.state : nullptr);
        endpoints_.RestoreWaits(start_.state);
        std::optional<wheathub::ListLease::Inherited> lease;
        if (takes_over) lease = {start_.state.list_valid_until};
        discovery_.Start(ListOptionsOf(config_), ~config_.seed, lease);
        if (takes_over) {
          std::cout << config_.name << ": took over " << start_.clients.size() << " clients and "
                    << start_.state.in_flight.size() << " attempts that go on in the old process"
                    << std::endl;
        }
        std::cout << config_.name << ": " << counters_.recovered << " messages and "
                  << counters_.recovered_notices << " notices recovered from the journal, "
                  << journal_.truncated_bytes() << " bytes of incomplete records cut" << std::endl;
        break;
      }
      case Phase::kServing:
        // Opened only now: a client that can connect is answered, and PONG must mean that the relay is ready.
        if (clients_) {
          clients_->StartListening();
        } else {
          clients_.emplace(loop_, RequireAddress("listen", config_.listen), config_.listen_fd,
                           config_.max_clients(), relay_, counters_, [this] { return CountersText(); });
          for (const client::ClientState& client : start_.clients) clients_->RestoreClient(client);
          start_.clients.clear();
          if (config_.listen_fd >= 0) OfferHandover();
        }
        std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
        break;
      case Phase::kPaused:
        listener_closed_ = clients_closing_ = false;
        [[fallthrough]];
      case Phase::kDraining:
        drain_started_at_ = net::Loop::Now();
        progress_timer_.After(kKeepAccepting);
        break;
      case Phase::kSettling:
        relay_.StopSending();
        if (clients_) clients_->CloseWhenIdle();
        break;
      case Phase::kHandedOver:
        progress_timer_.After(kPollInterval);
        break;
      case Phase::kStopped:
        loop_.Stop();
        break;
    }
  }

  // Periodic check after SIGTERM and during an operator's drain: closes the listener, then stops new
  // attempts, then ends the process. Once no work is left and clients are quiet, the later steps follow
  // without waiting.
  void CheckProgress() {
    if (phases_.current() == Phase::kServing) return;  // resumed
    if (phases_.current() == Phase::kHandedOver) return CheckHandedOver();
    const net::Time elapsed = net::Loop::Now() - drain_started_at_;
    drain_ms_ = elapsed / 1ms;
    if (!std::exchange(listener_closed_, true)) clients_->StopListening();
    if (phases_.current() == Phase::kPaused) return CheckPaused(elapsed);
    const net::Time idle_time = net::Loop::Now() - std::max(drain_started_at_, clients_->idle_since());
    const bool empty = relay_.done() && relay_.in_flight() == 0 && idle_time >= kKeepAccepting;
    if (empty || elapsed >= kStopSendingAfter) phases_.Enter(Phase::kSettling);
    // Waits until all clients have disconnected, at most until kExitAfter: requests that they have begun are
    // still answered, and the answers are still written.
    const bool settled =
        phases_.current() == Phase::kSettling && relay_.in_flight() == 0 && clients_->clients() == 0;
    if (settled || elapsed >= kExitAfter) return FinishAndStop();
    progress_timer_.After(kPollInterval);
  }

  // Ends the process. Reads endpoint answers that have already arrived, so that they are recorded: after the
  // process was suspended, timers run before reads.
  void FinishAndStop() {
    endpoints_.ReadNow();
    phases_.Enter(Phase::kStopped);
  }

  // An operator's drain: clients are disconnected as before an exit, but held messages keep their full time.
  void CheckPaused(net::Time elapsed) {
    const net::Time idle_time = net::Loop::Now() - std::max(drain_started_at_, clients_->idle_since());
    if (elapsed >= kStopSendingAfter || idle_time >= kKeepAccepting) {
      clients_closing_ = true;
      clients_->CloseWhenIdle();  // repeated: a client that was waiting for an answer may be idle by now
    }
    progress_timer_.After(kPausedCheckInterval);
  }
  // Whether a drain is complete: no client can hand in messages, and no work is left.
  bool settled() const {
    return phases_.current() == Phase::kPaused && clients_closing_ && clients_->clients() == 0 &&
           relay_.done() && relay_.in_flight() == 0;
  }

  // ---- handover to the next process ----

  // Lets another process ask for a handover. If that fails, the relay serves without it.
  void OfferHandover() {
    try {
      handover_.emplace(loop_, config_.state, *this);
    } catch (const std::exception& e) {
      std::cerr << config_.name << ": cannot accept handover requests: " << e.what() << std::endl;
    }
  }
  std::optional<std::string> RefusalReason() const override {
    if (phases_.current() == Phase::kServing) return std::nullopt;
    return "the process that holds the state folder is " + std::string(relay::NameOf(phases_.current()));
  }
  relay::HandoverState PrepareHandover() override {
    relay::HandoverState handover_state = relay_.PrepareHandover();
    handover_state.host_waits = endpoints_.HostWaits();
    handover_state.address_waits = endpoints_.AddressWaits();
    handover_state.list_valid_until = discovery_.list_valid_until();
    return handover_state;
  }
  std::vector<client::ClientState> Clients() const override { return clients_->ExportState(); }
  int LockFd() const override { return start_.lock->fd(); }
  void CompleteHandover() override {
    relay_.CompleteHandover([this](const std::string& id, const relay::AttemptResult& end) {
      handover_->SendAttemptEnded(id, end);
    });
    clients_.reset();
    discovery_.Stop();
    notices_.Stop();
    endpoints_.CloseAllIdle();
    control_server_.reset();
    start_.lock->Release();
    phases_.Enter(Phase::kHandedOver);
  }
  void CancelAttempt(const std::string& id) override { relay_.CancelHandedOver(id); }
  // The process that took over has exited, so nobody serves. Restarts this process from the journal, unless
  // the platform has asked it to end.
  void OnReceiverLost() override {
    if (exit_deadline_ > net::Time(0)) return;
    std::cerr << config_.name << ": the process that took over has exited: starting anew" << std::endl;
    execv("/proc/self/exe", options_.argv);
    std::cerr << config_.name << ": cannot start anew from /proc/self/exe" << std::endl;
    phases_.Enter(Phase::kStopped);
  }
  // On SIGTERM or SIGINT. After a handover, only the attempts that are still pending here delay the exit.
  void OnTerminate() {
    if (phases_.current() == Phase::kHandedOver && exit_deadline_ == net::Time(0))
      exit_deadline_ = net::Loop::Now() + kExitAfter;
    phases_.Enter(Phase::kDraining);
  }
  void CheckHandedOver() {
    const bool late = exit_deadline_ > net::Time(0) && net::Loop::Now() >= exit_deadline_;
    if (late || relay_.in_flight() == 0) return FinishAndStop();
    progress_timer_.After(kPollInterval);
  }

  // ---- management commands ----

  std::optional<std::string> HandleManagementCommand(const management::Command& command) {
    const bool takes_host = command.name == "exclude" || command.name == "include";
    if (command.name != "readyz" && !takes_host)
      return "no call " + command.name + ": readyz, exclude ID, include ID";
    if (takes_host == command.argument.empty())
      return command.name + (takes_host ? " takes a host's id" : " takes nothing");
    if (!takes_host) {
      if (phases_.current() == Phase::kServing) return std::nullopt;
      return std::string(relay::NameOf(phases_.current()));
    }
    if (phases_.current() == Phase::kHandedOver)
      return handover_->ForwardCommand(command.name, command.argument);
    const bool excludes = command.name == "exclude";
    const auto why = excludes ? relay_.ExcludeHost(command.argument) : relay_.IncludeHost(command.argument);
    std::cout << config_.name << ": " << command.name << " " << command.argument << ": "
              << why.value_or("done") << std::endl;
    return why;
  }

  // ---- requests over the control socket ----

  control::Json HandleControlRequest(const control::Json& request) {
    const std::string op = control::TextOf(request, "op");
    if (op == "status") return Status();
    if (op == "reload") {
      if (const auto why = Reload()) return control::ErrorAnswer(*why);
      if (request.contains("stamp")) options_.stamp = control::TextOf(request, "stamp");
    } else if (op == "drain") {
      if (phases_.current() > Phase::kPaused) return control::ErrorAnswer("is ending already");
      if (phases_.current() < Phase::kServing) return control::ErrorAnswer("is not serving yet");
      phases_.Enter(Phase::kPaused);
    } else if (op == "resume") {
      if (phases_.current() > Phase::kPaused) return control::ErrorAnswer("is ending already");
      try {
        phases_.Resume();
      } catch (const std::exception& e) {
        phases_.Enter(Phase::kPaused);
        return control::ErrorAnswer("listen: " + config_.listen + ": " + e.what());
      }
    } else if (op == "stop") {
      phases_.Enter(Phase::kDraining);
    } else {
      return control::ErrorAnswer("op: unknown: '" + op + "'");
    }
    return Status();
  }

  control::Json Status() const {
    control::Json status = {{"ok", true},
                            {"name", config_.name},
                            {"pid", getpid()},
                            {"phase", relay::NameOf(phases_.current())},
                            {"settled", settled()},
                            {"stamp", options_.stamp},
                            {"state", config_.state},
                            {"listen", config_.listen},
                            {"clients", clients_ ? clients_->clients() : 0},
                            {"held", relay_.held()},
                            {"out", relay_.in_flight()}};
    const relay::Counters& counters = counters_;
    status["counters"] = {
        {"authorisations", counters.messages},
        {"taken_on", counters.accepted},
        {"busy", counters.rejected_by_decider + counters.rejected_at_limit + counters.rejected_by_journal},
        {"delivered", counters.delivered},
        {"undeliverable", counters.undeliverable},
        {"deferred", counters.deferred},
        {"recovered", counters.recovered},
        {"reloads", counters.reloads}};
    return status;
  }

  // Applies the configuration file again. If it can't be used, the running configuration stays in force and
  // the reason is logged and returned.
  std::optional<std::string> Reload() {
    if (phases_.current() == Phase::kHandedOver) return "is given over";
    try {
      config::Config next = config::Reload(config_);
      const net::Address discovery_address = RequireAddress("discovery", next.discovery);
      relay_.UpdateSettings(next.settings);  // throws before anything has changed
      for (const std::string& key : config::KeysNeedingRestart(config_, next)) {
        std::cout << config_.name << ": reload: " << key << " stays as it is until a restart" << std::endl;
      }
      const std::string old_discovery = std::exchange(config_.discovery, next.discovery);
      config_.sockets = next.sockets;
      config_.file_text = next.file_text;
      config_.settings = next.settings;
      config_.zones = next.zones;
      discovery_.SetNames(NamesOf(config_));
      discovery_.SetOptions(ListOptionsOf(config_));
      counters_.reloads += 1;
      std::cout << config_.name << ": reloaded, discovery at " << config_.discovery << std::endl;
      endpoints_.SetLimits(PoolLimitsOf(config_));
      if (clients_) clients_->SetMaxClients(config_.max_clients());
      if (old_discovery == config_.discovery) return std::nullopt;
      discovery_.SetServer({discovery_address, config_.discovery});
      notices_.SetServer(discovery_address, config_.discovery);
    } catch (const std::exception& e) {
      counters_.reloads_refused += 1;
      std::cerr << config_.name << ": reload refused: " << e.what() << std::endl;
      return e.what();
    }
    return std::nullopt;
  }

  std::string CountersText() const {
    return "phase=" + std::string(relay::NameOf(phases_.current())) +
           "\nheld=" + std::to_string(relay_.held()) + "\nout=" + std::to_string(relay_.in_flight()) +
           "\njournal_bytes=" + std::to_string(journal_.file_bytes()) +
           "\ndrain_ms=" + std::to_string(drain_ms_) +
           "\nlist_age_ms=" + std::to_string(discovery_.time_since_received() / 1ms) + "\n" +
           counters_.Text();
  }
  void PrintCounters() const { std::cout << CountersText() << std::flush; }

  config::Config config_;
  Options options_;
  handover::StartupState start_;  // the folder lock, and the state of another process until it is applied
  relay::Counters counters_;
  net::Loop loop_;
  relay::PhaseMachine phases_;
  net::Address discovery_address_;
  journal::Journal journal_;
  LoopClock clock_;
  endpoint::Pool endpoints_;
  handover::TakeoverTransport attempts_;
  routing::DiscoveryClient discovery_;
  notice::HttpNoticeSender notices_;
  relay::Relay relay_;
  std::optional<client::ClientServer> clients_;
  net::Signal terminate_signal_, interrupt_signal_, report_signal_, reload_signal_;
  net::Timer progress_timer_;
  net::Time drain_started_at_{0};
  net::Time exit_deadline_{0};  // when to exit at the latest after a handover; 0: not asked to exit
  std::int64_t drain_ms_ = 0;
  bool listener_closed_ = false;
  bool clients_closing_ = false;
  std::optional<control::Server> control_server_;
  std::optional<management::ManagementServer> management_;
  std::optional<handover::HandoverServer> handover_;
};

// Locks the state folder, or takes over from the process that has it. Before a handover it checks everything
// that could keep this process from starting, because nobody would serve if it failed afterwards.
handover::StartupState LockOrTakeOver(const config::Config& config) {
  if (config.listen_fd < 0) {
    handover::StartupState start;
    start.lock = std::make_unique<journal::FolderLock>(config.state);
    return start;
  }
  try {
    net::Listener::CheckListening(config.listen_fd);
  } catch (const std::system_error& e) {
    throw config::Error("ROUTER_LISTEN_FD",
                        "descriptor " + std::to_string(config.listen_fd) + ": " + e.what());
  }
  RequireAddress("discovery", config.discovery);
  if (!config.mgmt.empty()) {
    net::Loop loop;
    net::Listener(loop, RequireAddress("mgmt", config.mgmt), [](int fd) { close(fd); });
  }
  return handover::AcquireState(config.state, kTakeoverTimeout);
}

// Checks a configuration file without starting anything. Returns the exit code, after printing one line.
int CheckConfig(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  try {
    if (!file) throw config::Error("config", "can't read " + path);
    const config::Config config = config::ParseAndValidate(text.str());
    RequireAddress("listen", config.listen);
    RequireAddress("discovery", config.discovery);
  } catch (const std::exception& e) {
    std::cerr << "oxbowspread: " << path << ": " << e.what() << "\n";
    return kExitBadInput;
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
  // Signals for a reload or a report that arrive during the start are kept until it is complete.
  net::Signal::Block(SIGHUP);
  net::Signal::Block(SIGUSR1);
  try {
    options.argv = argv;
    const config::Config config = config::LoadFromEnvironment();
    // From here on SIGTERM and SIGINT end the process in order. A process that is waiting for a handover has
    // nothing to finish, so there they end it at once.
    if (config.listen_fd < 0) net::Signal::Block(SIGTERM);
    if (config.listen_fd < 0) net::Signal::Block(SIGINT);
    Program(config, options, LockOrTakeOver(config)).Run();
  } catch (const journal::FolderLocked& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return kExitFolderLocked;
  } catch (const std::exception& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
