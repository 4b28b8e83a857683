#include "lab/socket_run.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "lab/settings.hpp"
#include "standin/client_connection.hpp"
#include "standin/platform.hpp"
#include "standin/site.hpp"
#include "standin/stopped_clients.hpp"
#include "supervise/process.hpp"
#include "supervise/process_memory.hpp"

namespace oxbowspread::lab {
namespace {

using namespace std::chrono_literals;
using model::Time;
using Json = nlohmann::json;

constexpr Time kPollInterval = 10ms;  // of the relay processes
constexpr Time kReadyTimeout = 20s;
constexpr Time kKillAfter = 3700ms;             // after SIGTERM
constexpr Time kOldDiscoveryLifetime = 1500ms;  // connections to the old address close this long after a move
// The n-th discovery server of a relay adds n times this to the numbers of its connections, so that no two
// servers share a number.
constexpr std::uint64_t kCallsPerDiscoveryServer = 1'000'000;

// One run. Its loop drives the model, the stand-ins and the relay processes.
class SocketRun final : public standin::ClientConnection::Owner {
 public:
  SocketRun(const model::Scenario& scenario, const model::Day& day, const SocketRunOptions& options)
      : scenario_(scenario),
        day_(day),
        options_(options),
        observer_(RulesOf(scenario), ScoringOf(scenario, day), options.trace),
        platform_(scenario, day, [this](const trace::Event& event) { observer_.Observe(event); }),
        body_(static_cast<std::size_t>(scenario.traffic.body_bytes), 'b'),
        platform_timer_(loop_, [this] { StepPlatform(); }),
        poll_timer_(loop_, [this] { PollProcesses(); }),
        second_timer_(loop_, [this] { CountSecond(); }) {
    std::filesystem::remove_all(options_.folder);
    std::filesystem::create_directories(options_.folder);
    for (const std::string& address : platform_.Addresses()) StartHost(address);
    relays_.resize(static_cast<std::size_t>(day.relays));
    for (std::size_t relay_index = 0; relay_index < relays_.size(); ++relay_index) {
      Relay& relay = relays_[relay_index];
      relay.listen = "127.0.0.1:" + std::to_string(standin::FreePort());
      relay.address = *net::ParseAddress(relay.listen);
      relay.stopped_clients = std::make_unique<standin::StoppedClients>(loop_, relay.address);
      AddDiscoveryServer(relay_index);
    }
  }

  ~SocketRun() override {
    for (const Relay& relay : relays_) {
      if (relay.pid <= 0) continue;
      kill(relay.pid, SIGKILL);
      waitpid(relay.pid, nullptr, 0);
    }
  }

  Outcome Run() {
    for (std::size_t relay_index = 0; relay_index < relays_.size(); ++relay_index)
      StartRelay(static_cast<int>(relay_index));
    ready_deadline_ = net::Loop::Now() + kReadyTimeout;
    poll_timer_.After(kPollInterval);
    second_timer_.After(1s);
    loop_.Run();
    observer_.Finish(&outcome_);
    outcome_.load_lateness = platform_.lateness();
    if (outcome_.invalid_reason.empty() && outcome_.load_lateness > options_.max_lateness) {
      outcome_.invalid_reason =
          "the load was up to " + std::to_string(outcome_.load_lateness / 1ms) + " ms late";
    }
    if (outcome_.clean()) std::filesystem::remove_all(options_.folder);
    return outcome_;
  }

 private:
  // A discovery server at one address, which a single relay uses.
  struct DiscoveryServer {
    std::unique_ptr<standin::HttpServer> server;
    Time closes_at{0};  // 0 while this is the current address
  };
  struct Relay {
    std::string listen;
    net::Address address{};
    std::vector<DiscoveryServer> discovery_servers;  // the last one is current
    Json config;                                     // of the current process
    int signals_left = 0;                            // alternately SIGHUP and SIGUSR1, one at each poll
    std::vector<std::unique_ptr<standin::ClientConnection>> idle_clients;
    std::unique_ptr<standin::StoppedClients> stopped_clients;
    std::set<std::uint64_t> open_watches;  // calls for which a response has begun
    pid_t pid = 0;
    int process_count = 0;
    bool ready = false;
    bool pinging = false;
    bool exit_expected = false;  // its process was sent SIGTERM or SIGKILL
    Time kill_at{0};
  };
  struct HostServer {
    std::unique_ptr<standin::HttpServer> server;
    std::map<std::uint64_t, std::uint64_t> calls;  // by connection number: its open call; 0: none
  };
  struct Client {
    std::unique_ptr<standin::ClientConnection> connection;
    int relay = 0;
    std::uint64_t submission = 0;  // 0: a PING
    bool resent = false;  // the request was sent again, since the first connection closed without reading it
    std::string request;
  };

  Time TimeOfRun() const { return net::Loop::Now() - started_at_; }
  bool started() const { return started_at_ > 0us; }

  // ---- steps of the model ----

  void Notify(model::Input input) {
    inputs_.push_back(std::move(input));
    if (started()) platform_timer_.After(Time(0));
  }

  void StepPlatform() {
    if (!started() || run_ended_) return;
    do {
      const std::vector<model::Input> inputs = std::exchange(inputs_, {});
      for (const model::Effect& effect : platform_.Step(TimeOfRun(), inputs)) {
        std::visit([this](const auto& e) { Apply(e); }, effect);
      }
    } while (!inputs_.empty());
    if (platform_.done()) return EndRun();
    platform_timer_.After(std::max(Time(0), platform_.wake_at() - TimeOfRun()));
  }

  void EndRun() {
    outcome_.length = TimeOfRun();
    run_ended_ = true;
    for (Relay& relay : relays_) {
      if (relay.pid <= 0 || relay.exit_expected) continue;
      relay.exit_expected = true;
      relay.kill_at = net::Loop::Now() + kKillAfter;
      kill(relay.pid, SIGTERM);
      kill(relay.pid, SIGCONT);  // in case it is suspended
    }
  }

  void MarkInvalid(const std::string& reason) {
    if (outcome_.invalid_reason.empty()) outcome_.invalid_reason = reason;
    run_ended_ = true;
    loop_.Stop();
  }

  // ---- relays ----

  static Json ListJson(const model::SendList& list, const model::Scenario& scenario,
                       const std::map<std::string, int>& ports) {
    Json servers = Json::array();
    for (const model::ListEntry& e : list.entries) {
      const auto port = ports.find(e.address);
      servers.push_back({{"id", e.id},
                         {"addr", "127.0.0.1:" + std::to_string(port == ports.end() ? 1 : port->second)},
                         {"zone", scenario.zone_names[static_cast<std::size_t>(e.zone)]},
                         {"kind", e.kind == 0 ? "large" : "small"},
                         {"cell", e.destination},
                         {"state", e.state == model::ListEntry::State::kReady         ? "Ready"
                                   : e.state == model::ListEntry::State::kTerminating ? "Terminating"
                                                                                      : "Gone"},
                         {"weight", e.weight},
                         {"started_ms", 0}});
    }
    return {{"version", list.version}, {"full", list.full}, {"servers", servers}};
  }

  void AddDiscoveryServer(std::size_t relay_index) {
    std::vector<DiscoveryServer>& discovery_servers = relays_[relay_index].discovery_servers;
    const std::uint64_t number_offset = discovery_servers.size() * kCallsPerDiscoveryServer;
    DiscoveryServer discovery_server;
    discovery_server.server = std::make_unique<standin::HttpServer>(
        loop_, 0,
        [this, relay_index, number_offset](std::uint64_t connection, const standin::Request& request) {
          OnDiscovery(relay_index, number_offset + connection, request);
        },
        [this, relay_index, number_offset](std::uint64_t connection) {
          Notify(model::ListCallEnded{static_cast<int>(relay_index), number_offset + connection});
        });
    discovery_servers.push_back(std::move(discovery_server));
  }
  static standin::HttpServer* FindServer(Relay& relay, std::uint64_t call) {
    return relay.discovery_servers.at(call / kCallsPerDiscoveryServer).server.get();
  }
  void WriteToCall(int number, std::uint64_t call, const std::string& bytes) {
    standin::HttpServer* const server = FindServer(relays_[static_cast<std::size_t>(number)], call);
    if (server != nullptr) server->Write(call % kCallsPerDiscoveryServer, bytes);
  }
  void CloseCall(int number, std::uint64_t call) {
    standin::HttpServer* const server = FindServer(relays_[static_cast<std::size_t>(number)], call);
    if (server != nullptr) server->Close(call % kCallsPerDiscoveryServer);
  }
  std::string FolderOf(int number) const { return options_.folder + "/n" + std::to_string(number + 1); }
  void WriteConfig(int number) {
    Relay& relay = relays_[static_cast<std::size_t>(number)];
    relay.config["discovery"] = "127.0.0.1:" + std::to_string(relay.discovery_servers.back().server->port());
    const std::string file = FolderOf(number) + "/config.json";
    std::ofstream(file + ".new") << relay.config.dump();
    std::filesystem::rename(file + ".new", file);
  }

  void StartRelay(int number) {
    Relay& relay = relays_[static_cast<std::size_t>(number)];
    if (relay.pid > 0) return;
    const std::string name = "n" + std::to_string(number + 1), folder = FolderOf(number);
    std::filesystem::create_directories(folder + "/state");
    std::ostringstream seed;
    seed << std::hex << RelaySeed(day_, number, relay.process_count++);
    relay.config = {{"name", name},
                    {"listen", relay.listen},
                    {"state", folder + "/state"},
                    {"seed", seed.str()},
                    {"limits",
                     {{"memory_mb", scenario_.relay.memory_mb},
                      {"sockets", scenario_.relay.sockets},
                      {"disk_mb", scenario_.relay.disk_mb}}},
                    {"known", ListJson(platform_.KnownList(number), scenario_, ports_)},
                    {"settings", Json::parse(SettingsOf(scenario_, day_, number))}};
    WriteConfig(number);
    supervise::Program program;
    program.path = options_.relay;
    program.environment["ROUTER_CONFIG"] = folder + "/config.json";
    program.log_path = folder + "/log";
    std::string reason;
    relay.exit_expected = relay.ready = false;
    relay.kill_at = Time(0);
    relay.pid = supervise::SpawnProcess(program, &reason);
    if (relay.pid <= 0) throw std::runtime_error(options_.relay + ": " + reason);
  }

  void Ping(int number) {
    relays_[static_cast<std::size_t>(number)].pinging = true;
    SendRequest(OpenClient(number), 0, standin::RespCommand({"PING"}));
  }

  void PollProcesses() {
    poll_timer_.After(kPollInterval);
    if (!pending_starts_.empty() && !run_ended_) {
      StartRelay(pending_starts_.front());
      pending_starts_.pop_front();
    }
    const Time now = net::Loop::Now();
    bool all_ready = true, all_exited = true;
    for (std::size_t relay_index = 0; relay_index < relays_.size(); ++relay_index) {
      Relay& relay = relays_[relay_index];
      int status = 0;
      rusage usage{};
      if (relay.pid > 0 && wait4(relay.pid, &status, WNOHANG, &usage) == relay.pid)
        OnRelayExit(relay_index, status, usage);
      if (relay.pid > 0 && relay.exit_expected && relay.kill_at > 0us && now >= relay.kill_at) {
        kill(relay.pid, SIGKILL);
        relay.kill_at = Time(0);
      }
      if (relay.pid > 0 && !relay.ready && !relay.pinging) Ping(static_cast<int>(relay_index));
      if (relay.pid > 0 && relay.signals_left > 0)
        kill(relay.pid, relay.signals_left-- % 2 == 0 ? SIGHUP : SIGUSR1);
      CloseMovedServers(relay_index, now);
      if (relay.ready) relay.stopped_clients->Replenish();
      if (options_.check_memory && relay.pid > 0) CheckMemory(relay_index);
      all_ready = all_ready && relay.ready;
      all_exited = all_exited && relay.pid <= 0;
    }
    if (run_ended_) {
      if (all_exited) loop_.Stop();
      return;
    }
    if (!started() && all_ready) {
      started_at_ = now;
      platform_timer_.After(Time(0));
    } else if (!started() && now > ready_deadline_) {
      MarkInvalid("not all relays were ready within 20 s");
    }
  }

  // Closes discovery servers at old addresses, kOldDiscoveryLifetime after the move, and reports their
  // subscriptions as ended.
  void CloseMovedServers(std::size_t relay_index, Time now) {
    Relay& relay = relays_[relay_index];
    for (std::size_t i = 0; i < relay.discovery_servers.size(); ++i) {
      DiscoveryServer& discovery_server = relay.discovery_servers[i];
      if (discovery_server.server == nullptr || discovery_server.closes_at == 0us ||
          now < discovery_server.closes_at)
        continue;
      loop_.DestroyLater(std::move(discovery_server.server));
      for (const std::uint64_t call : relay.open_watches) {
        if (call / kCallsPerDiscoveryServer == i)
          Notify(model::ListCallEnded{static_cast<int>(relay_index), call});
      }
    }
  }

  void OnRelayExit(std::size_t relay_index, int status, const rusage& usage) {
    Relay& relay = relays_[relay_index];
    relay.pid = 0;
    relay.signals_left = 0;
    relay.ready = false;
    const auto to_time = [](const timeval& t) { return Time(t.tv_sec * 1'000'000 + t.tv_usec); };
    outcome_.cpu_time += to_time(usage.ru_utime) + to_time(usage.ru_stime);
    outcome_.peak_kb = std::max(outcome_.peak_kb, static_cast<std::uint64_t>(usage.ru_maxrss));
    const bool clean = relay.exit_expected && (WIFSIGNALED(status) || WEXITSTATUS(status) == 0);
    if (!clean && outcome_.crash.empty()) {
      outcome_.crash = "n" + std::to_string(relay_index + 1) +
                       (WIFSIGNALED(status) ? " ended by signal " + std::to_string(WTERMSIG(status))
                                            : " exited with " + std::to_string(WEXITSTATUS(status)));
    }
    if (!started()) return MarkInvalid("a relay ended before the day began: " + outcome_.crash);
    Notify(model::RelayDown{static_cast<int>(relay_index)});
  }

  void CheckMemory(std::size_t relay_index) {
    const auto limit_kb = static_cast<std::uint64_t>(scenario_.relay.memory_mb) * 1'000'000 / 1024;
    const std::uint64_t used_kb = supervise::MemoryBytes({relays_[relay_index].pid}, options_.relay,
                                                         FolderOf(static_cast<int>(relay_index)) + "/state") /
                                  1024;
    outcome_.peak_memory_kb = std::max(outcome_.peak_memory_kb, used_kb);
    if (used_kb > limit_kb && outcome_.crash.empty()) {
      outcome_.crash = "n" + std::to_string(relay_index + 1) + " used " + std::to_string(used_kb) + " of " +
                       std::to_string(limit_kb) + " kB of memory";
    }
  }

  void Apply(const model::KillRelay& effect) {
    Relay& relay = relays_[static_cast<std::size_t>(effect.relay)];
    if (relay.pid <= 0) return;
    relay.exit_expected = true;
    kill(relay.pid, SIGKILL);
  }
  void Apply(const model::TerminateRelay& effect) {
    Relay& relay = relays_[static_cast<std::size_t>(effect.relay)];
    if (relay.pid <= 0) return;
    relay.exit_expected = true;
    relay.kill_at = net::Loop::Now() + kKillAfter;
    kill(relay.pid, SIGTERM);
  }
  // Started one at each poll: starting several at once would delay all stand-ins.
  void Apply(const model::StartRelay& effect) { pending_starts_.push_back(effect.relay); }
  void Apply(const model::StopRelay& effect) { Signal(effect.relay, SIGSTOP); }
  void Apply(const model::ContinueRelay& effect) { Signal(effect.relay, SIGCONT); }
  void Signal(int number, int signal) {
    const pid_t pid = relays_[static_cast<std::size_t>(number)].pid;
    if (pid > 0) kill(pid, signal);
  }

  void Apply(const model::MoveDiscovery& move) {
    Relay& relay = relays_[static_cast<std::size_t>(move.relay)];
    relay.discovery_servers.back().closes_at = net::Loop::Now() + kOldDiscoveryLifetime;
    AddDiscoveryServer(static_cast<std::size_t>(move.relay));
    if (relay.pid <= 0) return;
    WriteConfig(move.relay);
    kill(relay.pid, SIGHUP);
  }
  void Apply(const model::SignalRelay& effect) {
    relays_[static_cast<std::size_t>(effect.relay)].signals_left = effect.count;
  }
  void Apply(const model::SetStoppedClients& effect) {
    relays_[static_cast<std::size_t>(effect.relay)].stopped_clients->SetCount(
        static_cast<std::size_t>(effect.count));
  }
  void Apply(const model::SetIdleClients& effect) {
    Relay& relay = relays_[static_cast<std::size_t>(effect.relay)];
    for (auto& connection : relay.idle_clients) {
      connection->Close();
      loop_.DestroyLater(std::move(connection));
    }
    relay.idle_clients.clear();
    for (int i = 0; i < effect.count; ++i) {
      relay.idle_clients.push_back(
          std::make_unique<standin::ClientConnection>(loop_, idle_owner_, relay.address, Time(0)));
    }
  }

  // ---- clients ----

  // Idle clients need no handling: the relay decides what happens to their connections.
  class IdleOwner final : public standin::ClientConnection::Owner {
    void OnAnswer(standin::ClientConnection&, const std::string&) override {}
    void OnLost(standin::ClientConnection&, const standin::ClientConnection::Loss&) override {}
  };

  standin::ClientConnection* OpenClient(int relay) {
    auto connection = std::make_unique<standin::ClientConnection>(
        loop_, *this, relays_[static_cast<std::size_t>(relay)].address, Time(0));
    if (!connection->opened()) return nullptr;
    standin::ClientConnection* const opened = connection.get();
    clients_[opened] = {std::move(connection), relay, 0, false, {}};
    return opened;
  }

  void SendRequest(standin::ClientConnection* connection, std::uint64_t submission, std::string request) {
    if (connection == nullptr) return MarkInvalid("no socket for a client");
    Client& client = clients_.at(connection);
    client.submission = submission;
    client.request = request;
    if (submission > 0) waiting_clients_[submission] = connection;
    connection->Send(std::move(request));
  }

  void Apply(const model::SubmitMessage& submit) {
    relay_by_id_[submit.id] = submit.relay;
    const auto time_left_ms = std::max<std::int64_t>(1, submit.time_left / 1ms);
    const std::string values = "c=outbound,d=" + std::to_string(time_left_ms) + ",k=" + submit.key +
                               ",dest=" + std::to_string(submit.destination) +
                               (submit.refused_before ? ",r=1" : "") + (submit.lost_before ? ",again=1" : "");
    std::string request = standin::RespCommand({"MSG.PUT", "0000000000000000", submit.id, values, body_});
    for (auto& [connection, client] : clients_) {
      if (client.relay == submit.relay && client.connection->idle() && !client.request.empty()) {
        client.resent = false;
        return SendRequest(connection, submit.submission, std::move(request));
      }
    }
    SendRequest(OpenClient(submit.relay), submit.submission, std::move(request));
  }
  void Apply(const model::AbandonSubmission& abandoned) {
    const auto it = waiting_clients_.find(abandoned.submission);
    if (it == waiting_clients_.end()) return;
    standin::ClientConnection* const connection = it->second;
    waiting_clients_.erase(it);
    CloseClient(*connection);
  }

  void CloseClient(standin::ClientConnection& connection) {
    const auto it = clients_.find(&connection);
    if (it == clients_.end()) return;
    connection.Close();
    loop_.DestroyLater(std::move(it->second.connection));
    clients_.erase(it);
  }

  void OnAnswer(standin::ClientConnection& connection, const std::string& answer) override {
    Client& client = clients_.at(&connection);
    const std::uint64_t submission = std::exchange(client.submission, 0);
    if (submission == 0) {
      Relay& relay = relays_[static_cast<std::size_t>(client.relay)];
      relay.pinging = false;
      if (answer == "+PONG" && !std::exchange(relay.ready, true)) Notify(model::RelayUp{client.relay});
      return;
    }
    waiting_clients_.erase(submission);
    using Result = model::SubmissionAnswered::Result;
    if (answer[0] == '+' || answer[0] == '$')
      return Notify(model::SubmissionAnswered{submission, Result::kAccepted, Time(0)});
    if (answer.rfind("-BUSY", 0) == 0) {
      const Time wait(answer.size() > 6 ? std::atoll(answer.c_str() + 6) * 1000 : 0);
      return Notify(model::SubmissionAnswered{submission, Result::kRejected, wait});
    }
    // An error answer is final for the client. The commands here are well-formed, so it counts as a failure
    // of the relay.
    if (outcome_.crash.empty()) outcome_.crash = "a relay answered " + answer;
    Notify(model::SubmissionAnswered{submission, Result::kRejected, Time(0)});
  }

  void OnLost(standin::ClientConnection& connection, const standin::ClientConnection::Loss& loss) override {
    const Client& client = clients_.at(&connection);
    const int relay = client.relay;
    const std::uint64_t submission = client.submission;
    const bool resend = loss.request_pending && submission > 0 && loss.request_unread && !client.resent;
    std::string request = client.request;
    waiting_clients_.erase(submission);
    CloseClient(connection);
    if (submission == 0 && loss.request_pending)
      relays_[static_cast<std::size_t>(relay)].pinging = false;  // the relay does not listen yet
    if (run_ended_ || submission == 0 || !loss.request_pending) return;
    if (resend) {
      standin::ClientConnection* const replacement = OpenClient(relay);
      if (replacement != nullptr) clients_.at(replacement).resent = true;
      return SendRequest(replacement, submission, std::move(request));
    }
    Notify(
        model::SubmissionAnswered{submission, model::SubmissionAnswered::Result::kConnectionLost, Time(0)});
  }

  // ---- endpoints ----

  void StartHost(const std::string& address) {
    HostServer& host = hosts_[address];
    const auto port = ports_.find(address);
    host.calls.clear();
    host.server = std::make_unique<standin::HttpServer>(
        loop_, port == ports_.end() ? 0 : port->second,
        [this, address](std::uint64_t connection, const standin::Request& request) {
          OnCall(address, connection, request);
        },
        [this, address](std::uint64_t connection) { OnConnectionClosed(address, connection); });
    ports_[address] = host.server->port();
  }
  void Apply(const model::HostUp& up) { StartHost(up.address); }
  void Apply(const model::HostDown& down) {
    HostServer& host = hosts_[down.address];
    for (const auto& [connection, call] : host.calls) calls_.erase(call);
    host.calls.clear();
    loop_.DestroyLater(std::move(host.server));
  }

  void OnCall(const std::string& address, std::uint64_t connection, const standin::Request& request) {
    HostServer& host = hosts_.at(address);
    if (request.method != "POST" || request.target != "/inbox") {
      if (outcome_.crash.empty()) outcome_.crash = "a relay called " + request.method + " " + request.target;
      host.server->Write(connection, standin::FormatResponse("400 Bad Request"));
      return;
    }
    const auto [open_call, new_connection] = host.calls.emplace(connection, 0);
    const bool over_connection_limit = new_connection && !platform_.Connect(address);
    const std::uint64_t call = ++calls_made_;
    open_call->second = call;
    calls_[call] = {address, connection};
    const std::string id = request.Header("x-request-id");
    EndEarlierCall(id);
    last_call_by_id_[id] = call;
    const auto relay = relay_by_id_.find(id);
    Notify(model::CallReceived{call, relay == relay_by_id_.end() ? -1 : relay->second, address, id,
                               request.Header("idempotency-key"), new_connection, over_connection_limit});
    if (over_connection_limit) host.calls.erase(connection);  // so that no Disconnect follows for it
  }

  // The relay may have closed the connection of an earlier call for this id, and the loop may not have
  // handled this yet, since another socket came first in the same iteration. Reports the end of that call
  // first.
  void EndEarlierCall(const std::string& id) {
    const auto previous = last_call_by_id_.find(id);
    const auto it = previous == last_call_by_id_.end() ? calls_.end() : calls_.find(previous->second);
    if (it == calls_.end()) return;
    const auto [address, connection] = it->second;
    const HostServer& host = hosts_.at(address);
    if (host.server && host.server->IsClosed(connection)) OnConnectionClosed(address, connection);
  }

  void OnConnectionClosed(const std::string& address, std::uint64_t connection) {
    HostServer& host = hosts_.at(address);
    const auto it = host.calls.find(connection);
    if (it == host.calls.end()) return;
    const std::uint64_t call = it->second;
    host.calls.erase(it);
    platform_.Disconnect(address);
    if (calls_.erase(call) > 0) Notify(model::CallDropped{call});
  }

  void Apply(const model::AnswerCall& answer) {
    const auto it = calls_.find(answer.call);
    if (it == calls_.end()) return;
    const auto [address, connection] = it->second;
    calls_.erase(it);
    HostServer& host = hosts_.at(address);
    if (const auto open_call = host.calls.find(connection); open_call != host.calls.end())
      open_call->second = 0;
    std::string headers;
    if (answer.retry_after > 0us) {
      char text[60];
      std::snprintf(text, sizeof text, "Retry-After: %.6f\r\n",
                    static_cast<double>(answer.retry_after.count()) / 1e6);
      headers = text;
    }
    const std::string status = std::to_string(answer.status) + " -";
    if (host.server) host.server->Write(connection, standin::FormatResponse(status.c_str(), {}, headers));
  }
  void Apply(const model::CloseCallConnection& closed) {
    const auto it = calls_.find(closed.call);
    if (it == calls_.end()) return;
    const auto [address, connection] = it->second;
    calls_.erase(it);
    HostServer& host = hosts_.at(address);
    host.calls.erase(connection);
    if (host.server) host.server->Close(connection);
  }

  // ---- discovery and the platform ----

  void OnDiscovery(std::size_t relay_index, std::uint64_t connection, const standin::Request& request) {
    const int number = static_cast<int>(relay_index);
    if (request.target == "/v1/outcomes") {
      std::istringstream lines(request.body);
      for (std::string line; std::getline(lines, line);) {
        const Json notice = Json::parse(line, nullptr, false);
        if (!notice.is_object()) continue;
        Notify(model::NoticeReceived{number, notice.value("id", ""), notice.value("status", "") == "deferred",
                                     Time(notice.value("again_ms", std::int64_t{0}) * 1000)});
      }
      WriteToCall(number, connection, standin::FormatResponse("204 No Content"));
    } else {
      ++list_calls_;
      const std::size_t from = request.target.find("from=");
      const bool known = request.target.find("watch=1") != std::string::npos && from != std::string::npos;
      Notify(model::ListRequested{number, connection,
                                  known ? std::atoll(request.target.c_str() + from + 5) : 0});
    }
  }

  void Apply(const model::SendList& list) {
    Relay& relay = relays_[static_cast<std::size_t>(list.relay)];
    if (relay.open_watches.insert(list.call).second) {
      WriteToCall(list.relay, list.call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    WriteToCall(list.relay, list.call, ChunkOf(list));
  }
  void Apply(const model::TruncateList& broken) {
    const model::SendList& list = broken.list;
    const std::string chunk = ChunkOf(list);
    WriteToCall(list.relay, list.call, chunk.substr(0, chunk.size() / 2));
    CloseCall(list.relay, list.call);
  }
  std::string ChunkOf(const model::SendList& list) const {
    return standin::FormatChunk(ListJson(list, scenario_, ports_).dump() + "\n");
  }
  void Apply(const model::RefuseList& refused) {
    Relay& relay = relays_[static_cast<std::size_t>(refused.relay)];
    const bool watch = relay.open_watches.count(refused.call) > 0;
    if (!watch) WriteToCall(refused.relay, refused.call, standin::FormatResponse("503 Service Unavailable"));
    CloseCall(refused.relay, refused.call);
  }
  void Apply(const model::SendHeartbeat& beat) {
    WriteToCall(beat.relay, beat.call, standin::FormatChunk("\n"));
  }

  void CountSecond() {
    second_timer_.After(1s);
    if (started() && !run_ended_) outcome_.list_calls_by_second.push_back(std::exchange(list_calls_, 0));
  }

  const model::Scenario& scenario_;
  const model::Day& day_;
  const SocketRunOptions& options_;
  EventObserver observer_;
  model::PlatformModel platform_;
  std::string body_;
  net::Loop loop_;
  net::Timer platform_timer_, poll_timer_, second_timer_;
  std::uint64_t list_calls_ = 0;  // in the current second
  Time started_at_{0}, ready_deadline_{0};
  bool run_ended_ = false;
  Outcome outcome_;
  std::vector<model::Input> inputs_;
  IdleOwner idle_owner_;
  std::vector<Relay> relays_;
  std::deque<int> pending_starts_;    // relays to start
  std::map<std::string, int> ports_;  // by address in the model
  std::map<std::string, HostServer> hosts_;
  // Address of the host and connection of each open call.
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> calls_;
  std::uint64_t calls_made_ = 0;
  std::map<std::string, std::uint64_t> last_call_by_id_;  // by submission id
  std::map<std::string, int> relay_by_id_;                // by submission id
  std::map<standin::ClientConnection*, Client> clients_;
  std::map<std::uint64_t, standin::ClientConnection*>
      waiting_clients_;  // by submission that waits for its answer
};

}  // namespace

Outcome RunOnSockets(const model::Scenario& scenario, const model::Day& day,
                     const SocketRunOptions& options) {
  return SocketRun(scenario, day, options).Run();
}

}  // namespace oxbowspread::lab
