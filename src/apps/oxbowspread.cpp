// The program oxbowspread: one relay process. Creates and connects the components, and runs them through the
// phases from start to exit.
#include <malloc.h>
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
#include "client/client_server.hpp"
#include "config/config.hpp"
#include "config/index_names.hpp"
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
// Blocks of this size, such as large bodies, are returned to the system as soon as they are freed.
constexpr int kMmapThresholdBytes = 32 * 1024;
// A new process must be ready 6 s after its start, and the old process may need some time before it can hand
// over.
constexpr handover::Timeout kTakeoverTimeout = 5s;

static_assert(config::Config::kManagementDescriptors == management::ManagementServer::kDescriptors,
              "the configuration must reserve as many descriptors as the management listener uses");

// Exit codes. Any other failure to start has exit code 1.
using apps::kExitBadInput;
constexpr int kExitFolderLocked = 3;  // another process has locked the state folder

// Command-line options, all optional.
struct Options {
  char** argv = nullptr;  // as passed to main, for a restart with execv
  std::string control;    // path of the control socket; empty: none
  std::string stamp;      // opaque text that `status` returns, so that the caller can identify this process
};

// Returns the most resident memory that this process has used so far; 0 if the system does not tell.
long PeakMemoryKb() {
  constexpr std::string_view kLabel = "VmHWM:";
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kLabel)) return std::strtol(line.c_str() + kLabel.size(), nullptr, 10);
  }
  return 0;
}

// Implements the clock and wake-up timer of the relay core on the event loop.
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

// Parses the address that `key` of the configuration contains. Throws config::Error if it is invalid.
net::Address RequireAddress(const char* key, const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!address) throw config::Error(key, "must be an IPv4 address and port, not '" + text + "'");
  return *address;
}

// Owns all components of the relay process and handles phase changes, signals and operator commands.
class RelayProcess final : public handover::HandoverSender::Owner {
 public:
  RelayProcess(const config::Config& config, Options options, handover::StartupState startup_state)
      : options_(std::move(options)),
        startup_state_(std::move(startup_state)),
        journal_(config.state, config.max_state_bytes(), startup_state_.InFlightIds()),
        config_(WithIndexesOf(journal_, config)),
        phases_([this](Phase phase) { OnPhase(phase); }),
        discovery_address_(RequireAddress("discovery", config_.discovery)),
        clock_(loop_),
        endpoint_pool_(loop_, PoolLimitsOf(config_), counters_),
        transport_(
            loop_, endpoint_pool_,
            [this](const std::string& host, relay::Time wait) {
              endpoint_pool_.RecordRetryAfter(host, wait);
            },
            [this](const std::string& name, const std::string& argument) {
              return HandleManagementCommand({name, argument}).value_or("");
            }),
        discovery_(loop_, {discovery_address_, config_.discovery}, NamesOf(config_), counters_),
        notices_(loop_, discovery_address_, config_.discovery, counters_),
        relay_(config_.settings, config_.seed, journal_, {clock_, transport_, notices_}, counters_),
        terminate_signal_(loop_, SIGTERM, [this] { OnTerminate(); }),
        interrupt_signal_(loop_, SIGINT, [this] { OnTerminate(); }),
        report_signal_(loop_, SIGUSR1, [this] { PrintCounters(); }),
        reload_signal_(loop_, SIGHUP, [this] { Reload(); }),
        progress_timer_(loop_, [this] { CheckProgress(); }) {
    clock_.Attach(relay_);
    endpoint_pool_.Attach(relay_);
    transport_.Attach(relay_);
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
  // Returns the configuration with the indexes under which an earlier process recorded attempts, and records
  // the indexes of new names. If that fails, the messages in the journal are delivered nevertheless.
  static config::Config WithIndexesOf(journal::Journal& journal, config::Config config) {
    config::KeepIndexes(journal.index_names(), &config);
    if (!journal.RecordIndexNames(config::IndexNamesOf(config)))
      std::cerr << config.name << ": settings.zones: can't be recorded in the state folder" << std::endl;
    return config;
  }

  static routing::ZoneAndKindNames NamesOf(const config::Config& config) {
    const config::IndexNames names = config::IndexNamesOf(config);
    return {names.zones, names.kinds};
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

  // Each transferred state is freed as soon as its client holds it, so that both exist for one client only.
  void RestoreClients() {
    for (client::ClientState& client : startup_state_.clients)
      clients_->RestoreClient(std::exchange(client, {}));
    std::vector<client::ClientState>().swap(startup_state_.clients);
  }

  void OnPhase(Phase phase) {
    // Other processes connect once the log contains "serving", so kServing is logged below, after the
    // listener is open.
    if (phase != Phase::kServing) std::cout << config_.name << ": " << relay::NameOf(phase) << std::endl;
    switch (phase) {
      case Phase::kStarting:
        break;
      case Phase::kRecovering: {
        relay::RoutingChange last_known = routing::ParseHostList(config_.last_known_list, NamesOf(config_))
                                              .value_or(routing::HostList())
                                              .change;
        last_known.scope = wheathub::ListScope::kRemembered;
        const bool is_takeover = startup_state_.channel.has_value();
        discovery_.SetKnownRevision(is_takeover ? startup_state_.handover_state.routing_table.revision
                                                : last_known.revision);
        if (is_takeover)
          transport_.TakeOver(std::move(*startup_state_.channel), startup_state_.handover_state.in_flight);
        relay_.Recover(last_known, is_takeover ? &startup_state_.handover_state : nullptr);
        endpoint_pool_.RestoreWaits(startup_state_.handover_state);
        std::optional<wheathub::ListLease::Inherited> lease;
        if (is_takeover) lease = {startup_state_.handover_state.list_valid_until};
        discovery_.Start(ListOptionsOf(config_), ~config_.seed, lease);
        if (is_takeover) {
          std::cout << config_.name << ": took over " << startup_state_.clients.size() << " clients and "
                    << startup_state_.handover_state.in_flight.size()
                    << " attempts that continue in the old process" << std::endl;
        }
        std::cout << config_.name << ": " << counters_.recovered << " messages and "
                  << counters_.recovered_notices << " notices recovered from the journal, "
                  << journal_.truncated_bytes() << " bytes of incomplete records cut" << std::endl;
        break;
      }
      case Phase::kServing:
        // The listener is opened only now, because a client that can connect is answered, and the answer PONG
        // must mean that the relay is ready.
        if (clients_) {
          clients_->StartListening();
        } else {
          clients_.emplace(
              loop_, RequireAddress("listen", config_.listen), config_.listen_fd,
              client::ClientServer::Limits{config_.max_clients(), config_.client_receive_bytes()}, relay_,
              counters_, [this] { return CountersText(); });
          RestoreClients();
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

  // Runs periodically after SIGTERM and during an operator's drain. Closes the listener, then stops new
  // attempts, then ends the process. Once no work is left and clients have been idle for kKeepAccepting, the
  // remaining steps follow without their delays.
  void CheckProgress() {
    if (phases_.current() == Phase::kServing) return;  // an operator has resumed the service
    if (phases_.current() == Phase::kHandedOver) return CheckHandedOver();
    const net::Time elapsed = net::Loop::Now() - drain_started_at_;
    drain_ms_ = elapsed / 1ms;
    if (!std::exchange(listener_closed_, true)) clients_->StopListening();
    if (phases_.current() == Phase::kPaused) return CheckPaused(elapsed);
    const net::Time idle_time = net::Loop::Now() - std::max(drain_started_at_, clients_->idle_since());
    const bool is_idle = relay_.done() && relay_.in_flight_count() == 0 && idle_time >= kKeepAccepting;
    if (is_idle || elapsed >= kStopSendingAfter) phases_.Enter(Phase::kSettling);
    // Waits until all clients have disconnected, at most until kExitAfter, so that requests that have begun
    // are still answered and the answers are written.
    const bool is_settled = phases_.current() == Phase::kSettling && relay_.in_flight_count() == 0 &&
                            clients_->client_count() == 0;
    if (is_settled || elapsed >= kExitAfter) return FinishAndStop();
    progress_timer_.After(kPollInterval);
  }

  // Ends the process. First reads the endpoint responses that have already arrived, so that they are
  // recorded. They may still be unread, because timers run before reads after the process was suspended.
  void FinishAndStop() {
    endpoint_pool_.ReadNow();
    phases_.Enter(Phase::kStopped);
  }

  // Check during an operator's drain. Clients are disconnected as before an exit, but held messages keep
  // their full deadline.
  void CheckPaused(net::Time elapsed) {
    const net::Time idle_time = net::Loop::Now() - std::max(drain_started_at_, clients_->idle_since());
    if (elapsed >= kStopSendingAfter || idle_time >= kKeepAccepting) {
      clients_closing_ = true;
      // Repeated at each check, because a client that was awaiting an answer may be idle now.
      clients_->CloseWhenIdle();
    }
    progress_timer_.After(kPausedCheckInterval);
  }
  // Returns whether a drain is complete: no client can submit messages, and no work is left.
  bool settled() const {
    return phases_.current() == Phase::kPaused && clients_closing_ && clients_->client_count() == 0 &&
           relay_.done() && relay_.in_flight_count() == 0;
  }

  // ---- handover to the next process ----

  // Allows another process to request a handover. If that fails, the relay runs without this feature.
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
    handover_state.host_waits = endpoint_pool_.HostWaits();
    handover_state.address_waits = endpoint_pool_.AddressWaits();
    handover_state.list_valid_until = discovery_.list_valid_until();
    return handover_state;
  }
  std::vector<const client::Client*> Clients() const override { return clients_->OpenClients(); }
  int LockFd() const override { return startup_state_.folder_lock->fd(); }
  void CompleteHandover() override {
    relay_.CompleteHandover([this](const std::string& id, const relay::AttemptResult& result) {
      handover_->SendAttemptEnded(id, result);
    });
    clients_.reset();
    discovery_.Stop();
    notices_.Stop();
    endpoint_pool_.CloseAllIdle();
    control_server_.reset();
    startup_state_.folder_lock->Release();
    phases_.Enter(Phase::kHandedOver);
  }
  void CancelAttempt(const std::string& id) override { relay_.CancelHandedOver(id); }
  // Called when the process that took over has exited, so that no process serves. Restarts this process from
  // the journal, unless it has received SIGTERM or SIGINT.
  void OnReceiverLost() override {
    if (exit_deadline_ > net::Time(0)) return;
    std::cerr << config_.name << ": the process that took over has exited: restarting from the journal"
              << std::endl;
    execv("/proc/self/exe", options_.argv);
    std::cerr << config_.name << ": cannot execute /proc/self/exe" << std::endl;
    phases_.Enter(Phase::kStopped);
  }
  // Handles SIGTERM and SIGINT. After a handover, only the attempts that are still in flight here delay the
  // exit.
  void OnTerminate() {
    if (phases_.current() == Phase::kHandedOver && exit_deadline_ == net::Time(0))
      exit_deadline_ = net::Loop::Now() + kExitAfter;
    phases_.Enter(Phase::kDraining);
  }
  void CheckHandedOver() {
    const bool is_overdue = exit_deadline_ > net::Time(0) && net::Loop::Now() >= exit_deadline_;
    if (is_overdue || relay_.in_flight_count() == 0) return FinishAndStop();
    progress_timer_.After(kPollInterval);
  }

  // ---- management commands ----

  // Returns an empty value if the command succeeded, otherwise the error.
  std::optional<std::string> HandleManagementCommand(const management::Command& command) {
    const bool needs_host = command.name == "exclude" || command.name == "include";
    if (command.name != "readyz" && !needs_host)
      return "unknown command " + command.name + ": expected readyz, exclude ID or include ID";
    if (needs_host == command.argument.empty())
      return command.name + (needs_host ? " needs the id of a host" : " accepts no argument");
    if (!needs_host) {
      if (phases_.current() == Phase::kServing) return std::nullopt;
      return std::string(relay::NameOf(phases_.current()));
    }
    if (phases_.current() == Phase::kHandedOver)
      return handover_->ForwardCommand(command.name, command.argument);
    const bool is_exclude = command.name == "exclude";
    const auto error =
        is_exclude ? relay_.ExcludeHost(command.argument) : relay_.IncludeHost(command.argument);
    std::cout << config_.name << ": " << command.name << " " << command.argument << ": "
              << error.value_or("done") << std::endl;
    return error;
  }

  // ---- requests over the control socket ----

  // Returns the answer to a request: the status, or an error.
  control::Json HandleControlRequest(const control::Json& request) {
    const std::string op = control::TextOf(request, "op");
    if (op == "status") return Status();
    if (op == "reload") {
      if (const auto error = Reload()) return control::ErrorAnswer(*error);
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
                            {"clients", clients_ ? clients_->client_count() : 0},
                            {"held", relay_.held_count()},
                            {"out", relay_.in_flight_count()}};
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

  // Reads and applies the configuration file again. If it can't be used, the running configuration stays in
  // force, and the error is logged and returned.
  std::optional<std::string> Reload() {
    if (phases_.current() == Phase::kHandedOver) return "has handed over";
    try {
      config::Config new_config = config::Reload(config_);
      const net::Address discovery_address = RequireAddress("discovery", new_config.discovery);
      // Attempts are recorded with the indexes of their zones.
      if (!journal_.RecordIndexNames(config::IndexNamesOf(new_config)))
        throw config::Error("settings.zones", "can't be recorded in the state folder");
      relay_.UpdateSettings(new_config.settings);  // throws before anything has changed
      for (const std::string& key : config::KeysNeedingRestart(config_, new_config)) {
        std::cout << config_.name << ": reload: " << key << " stays as it is until a restart" << std::endl;
      }
      const std::string old_discovery = std::exchange(config_.discovery, new_config.discovery);
      config_.sockets = new_config.sockets;
      config_.file_text = new_config.file_text;
      config_.settings = new_config.settings;
      config_.zones = new_config.zones;
      discovery_.SetNames(NamesOf(config_));
      discovery_.SetOptions(ListOptionsOf(config_));
      counters_.reloads += 1;
      std::cout << config_.name << ": reloaded, discovery at " << config_.discovery << std::endl;
      endpoint_pool_.SetLimits(PoolLimitsOf(config_));
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
           "\nheld=" + std::to_string(relay_.held_count()) +
           "\nout=" + std::to_string(relay_.in_flight_count()) +
           "\njournal_bytes=" + std::to_string(journal_.budget().file_bytes()) +
           "\njournal_reserved_bytes=" + std::to_string(journal_.budget().recorded_bytes()) +
           "\njournal_pending_bytes=" + std::to_string(journal_.budget().pending_bytes()) +
           "\njournal_rewrites=" + std::to_string(journal_.rewrites()) +
           "\nfolder_peak_bytes=" + std::to_string(journal_.budget().peak_bytes()) +
           "\nclient_bytes=" + std::to_string(clients_ ? clients_->receive_budget().reserved_bytes() : 0) +
           "\nclient_peak_bytes=" + std::to_string(clients_ ? clients_->receive_budget().peak_bytes() : 0) +
           "\ndrain_ms=" + std::to_string(drain_ms_) +
           "\nlist_age_ms=" + std::to_string(discovery_.time_since_received() / 1ms) + "\n" +
           counters_.Text();
  }
  void PrintCounters() const {
    std::cout << CountersText() << "memory_peak_kb=" << PeakMemoryKb() << "\n" << std::flush;
  }

  Options options_;
  // The folder lock, and the state that another process handed over, which is applied up to kServing.
  handover::StartupState startup_state_;
  journal::Journal journal_;
  config::Config config_;
  relay::Counters counters_;
  net::Loop loop_;
  relay::PhaseMachine phases_;
  net::Address discovery_address_;
  LoopClock clock_;
  endpoint::Pool endpoint_pool_;
  handover::TakeoverTransport transport_;
  routing::DiscoveryClient discovery_;
  notice::HttpNoticeSender notices_;
  relay::Relay relay_;
  std::optional<client::ClientServer> clients_;
  net::Signal terminate_signal_, interrupt_signal_, report_signal_, reload_signal_;
  net::Timer progress_timer_;
  net::Time drain_started_at_{0};
  net::Time exit_deadline_{0};  // latest time of the exit after a handover; 0: no signal to exit was received
  std::int64_t drain_ms_ = 0;   // time since the start of the drain, as of the last check
  bool listener_closed_ = false;
  bool clients_closing_ = false;  // clients are disconnected when idle, during an operator's drain
  std::optional<control::Server> control_server_;
  std::optional<management::ManagementServer> management_;
  std::optional<handover::HandoverServer> handover_;
};

// Locks the state folder, or takes over from the process that has locked it. Before a handover it checks
// everything that could prevent this process from starting, because no process would serve if it failed
// afterwards.
handover::StartupState LockOrTakeOver(const config::Config& config) {
  if (config.listen_fd < 0) {
    handover::StartupState startup_state;
    startup_state.folder_lock = std::make_unique<journal::FolderLock>(config.state);
    return startup_state;
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

// Checks a configuration file without starting a relay. Prints one line and returns the exit code.
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
  CLI::App app{"oxbowspread: one relay. Reads its configuration from the file that $ROUTER_CONFIG names."};
  Options options;
  std::string file_to_check;
  app.add_option("--control", options.control,
                 "listen for oxbowctl and oxbowagent at this Unix-domain socket");
  app.add_option("--stamp", options.stamp, "text that the `status` request of the control socket returns");
  app.add_option("--check-config", file_to_check,
                 "check this configuration file and exit without starting a relay");
  app.set_version_flag("--version", std::string("oxbowspread " OXBOWSPREAD_VERSION));
  if (const auto code = apps::Parse(app, "oxbowspread", argc, argv)) return *code;
  if (!file_to_check.empty()) return CheckConfig(file_to_check);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  std::signal(SIGPIPE, SIG_IGN);
  // Signals for a reload or a report that arrive during the start stay pending until the process is ready for
  // them.
  net::Signal::Block(SIGHUP);
  net::Signal::Block(SIGUSR1);
  try {
    options.argv = argv;
    const config::Config config = config::LoadFromEnvironment();
    for (const std::string& line : config.defaulted_rule_keys)
      std::cout << config.name << ": " << line << std::endl;
    // SIGTERM and SIGINT cause an orderly shutdown from here on. They end a process that waits for a handover
    // immediately, because it has no work to finish.
    if (config.listen_fd < 0) net::Signal::Block(SIGTERM);
    if (config.listen_fd < 0) net::Signal::Block(SIGINT);
    RelayProcess(config, options, LockOrTakeOver(config)).Run();
  } catch (const journal::FolderLocked& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return kExitFolderLocked;
  } catch (const std::exception& e) {
    std::cerr << "oxbowspread: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
