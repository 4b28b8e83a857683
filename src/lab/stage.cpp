#include "lab/stage.hpp"

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
#include "standin/client_line.hpp"
#include "standin/platform.hpp"
#include "standin/site.hpp"
#include "supervise/process.hpp"

namespace oxbowspread::lab {
namespace {

using namespace std::chrono_literals;
using model::Time;
using Json = nlohmann::json;

constexpr Time kLookEach = 10ms;  // at processes
constexpr Time kReadyWithin = 20s;
constexpr Time kKillAfter = 3700ms;    // after SIGTERM
constexpr Time kOldPlaceFor = 1500ms;  // a discovery that has moved keeps its connections
// Connections to one place of discovery are counted from here on, so that no two places share a number.
constexpr std::uint64_t kCallsOfPlace = 1'000'000;

class Stage final : public standin::ClientConnection::Owner {
 public:
  Stage(const model::Scenario& scenario, const model::Day& day, const StageOptions& options)
      : scenario_(scenario),
        day_(day),
        options_(options),
        witness_(RulesOf(scenario), TermsOf(scenario, day), options.trace),
        world_(scenario, day, [this](const trace::Event& event) { witness_.See(event); }),
        body_(static_cast<std::size_t>(scenario.traffic.body_bytes), 'b'),
        turn_(loop_, [this] { Turn(); }),
        look_(loop_, [this] { Look(); }),
        second_(loop_, [this] { CountSecond(); }) {
    std::filesystem::remove_all(options_.folder);
    std::filesystem::create_directories(options_.folder);
    for (const std::string& address : world_.Addresses()) HostStands(address);
    relays_.resize(static_cast<std::size_t>(day.relays));
    for (std::size_t r = 0; r < relays_.size(); ++r) {
      Relay& relay = relays_[r];
      relay.listen = "127.0.0.1:" + std::to_string(standin::FreePort());
      relay.address = *net::ParseAddress(relay.listen);
      AddPlace(r);
    }
  }

  ~Stage() override {
    for (const Relay& relay : relays_) {
      if (relay.pid <= 0) continue;
      kill(relay.pid, SIGKILL);
      waitpid(relay.pid, nullptr, 0);
    }
  }

  Outcome Run() {
    for (std::size_t r = 0; r < relays_.size(); ++r) Start(static_cast<int>(r));
    ready_until_ = net::Loop::Now() + kReadyWithin;
    look_.After(kLookEach);
    second_.After(1s);
    loop_.Run();
    witness_.Conclude(&outcome_);
    outcome_.lateness = world_.lateness();
    if (outcome_.spoilt.empty() && outcome_.lateness > options_.most_late) {
      outcome_.spoilt = "the load was up to " + std::to_string(outcome_.lateness / 1ms) + " ms late";
    }
    if (outcome_.clean()) std::filesystem::remove_all(options_.folder);
    return outcome_;
  }

 private:
  // One address of discovery, as that relay alone reaches it.
  struct Place {
    std::unique_ptr<standin::HttpServer> server;
    Time closes_at{0};  // once it has moved
  };
  struct Relay {
    std::string listen;
    net::Address address{};
    std::vector<Place> places;  // the last one counts
    Json config;                // of this life
    int signals = 0;            // still to be sent
    std::vector<std::unique_ptr<standin::ClientConnection>> idle_clients;
    std::set<std::uint64_t> answered;  // connections with a watch that has begun
    pid_t pid = 0;
    int lives = 0;
    bool answers = false;
    bool pinging = false;
    bool expected = false;  // its end
    Time kill_at{0};
  };
  struct HostAt {
    std::unique_ptr<standin::HttpServer> server;
    std::map<std::uint64_t, std::uint64_t> calls;  // connection to the call that is out on it, 0: none
  };
  struct Seat {
    std::unique_ptr<standin::ClientConnection> line;
    int relay = 0;
    std::uint64_t hand = 0;  // 0: a PING
    bool again = false;      // sent once more, as the first connection was closed unread
    std::string request;
  };

  Time Day() const { return net::Loop::Now() - begun_; }
  bool begun() const { return begun_ > 0us; }

  // ---- the world's turns ----

  void Tell(model::Input input) {
    inputs_.push_back(std::move(input));
    if (begun()) turn_.After(Time(0));
  }

  void Turn() {
    if (!begun() || ended_) return;
    do {
      const std::vector<model::Input> inputs = std::exchange(inputs_, {});
      for (const model::Effect& effect : world_.Step(Day(), inputs)) {
        std::visit([this](const auto& e) { Do(e); }, effect);
      }
    } while (!inputs_.empty());
    if (world_.done()) return End();
    turn_.After(std::max(Time(0), world_.wake_at() - Day()));
  }

  void End() {
    outcome_.length = Day();
    ended_ = true;
    for (Relay& relay : relays_) {
      if (relay.pid <= 0 || relay.expected) continue;
      relay.expected = true;
      relay.kill_at = net::Loop::Now() + kKillAfter;
      kill(relay.pid, SIGTERM);
      kill(relay.pid, SIGCONT);  // where it was stopped
    }
  }

  void Spoil(const std::string& why) {
    if (outcome_.spoilt.empty()) outcome_.spoilt = why;
    ended_ = true;
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

  void AddPlace(std::size_t r) {
    std::vector<Place>& places = relays_[r].places;
    const std::uint64_t before = places.size() * kCallsOfPlace;
    Place place;
    place.server = std::make_unique<standin::HttpServer>(
        loop_, 0,
        [this, r, before](std::uint64_t connection, const standin::Request& request) {
          OnDiscovery(r, before + connection, request);
        },
        [this, r, before](std::uint64_t connection) {
          Tell(model::WatchEnded{static_cast<int>(r), before + connection});
        });
    places.push_back(std::move(place));
  }
  static standin::HttpServer* PlaceOf(Relay& relay, std::uint64_t call) {
    return relay.places.at(call / kCallsOfPlace).server.get();
  }
  void WriteTo(int number, std::uint64_t call, const std::string& bytes) {
    standin::HttpServer* const server = PlaceOf(relays_[static_cast<std::size_t>(number)], call);
    if (server != nullptr) server->Write(call % kCallsOfPlace, bytes);
  }
  void CloseCall(int number, std::uint64_t call) {
    standin::HttpServer* const server = PlaceOf(relays_[static_cast<std::size_t>(number)], call);
    if (server != nullptr) server->Close(call % kCallsOfPlace);
  }
  std::string FolderOf(int number) const { return options_.folder + "/n" + std::to_string(number + 1); }
  void WriteConfig(int number) {
    Relay& relay = relays_[static_cast<std::size_t>(number)];
    relay.config["discovery"] = "127.0.0.1:" + std::to_string(relay.places.back().server->port());
    const std::string file = FolderOf(number) + "/config.json";
    std::ofstream(file + ".new") << relay.config.dump();
    std::filesystem::rename(file + ".new", file);
  }

  void Start(int number) {
    Relay& relay = relays_[static_cast<std::size_t>(number)];
    if (relay.pid > 0) return;
    const std::string name = "n" + std::to_string(number + 1), folder = FolderOf(number);
    std::filesystem::create_directories(folder + "/state");
    std::ostringstream seed;
    seed << std::hex << SeedOf(day_, number, relay.lives++);
    relay.config = {{"name", name},
                    {"listen", relay.listen},
                    {"state", folder + "/state"},
                    {"seed", seed.str()},
                    {"limits",
                     {{"memory_mb", scenario_.relay.memory_mb},
                      {"sockets", scenario_.relay.sockets},
                      {"disk_mb", scenario_.relay.disk_mb}}},
                    {"known", ListJson(world_.KnownList(number), scenario_, ports_)},
                    {"settings", Json::parse(SettingsOf(scenario_, day_, number))}};
    WriteConfig(number);
    supervise::Program program;
    program.path = options_.relay;
    program.environment["ROUTER_CONFIG"] = folder + "/config.json";
    program.log = folder + "/log";
    std::string why;
    relay.expected = relay.answers = false;
    relay.kill_at = Time(0);
    relay.pid = supervise::Start(program, &why);
    if (relay.pid <= 0) throw std::runtime_error(options_.relay + ": " + why);
  }

  void Ping(int number) {
    relays_[static_cast<std::size_t>(number)].pinging = true;
    AskOn(NewLine(number), 0, standin::RespCommand({"PING"}));
  }

  void Look() {
    look_.After(kLookEach);
    if (!starts_.empty() && !ended_) {
      Start(starts_.front());
      starts_.pop_front();
    }
    const Time now = net::Loop::Now();
    bool all_ready = true, all_gone = true;
    for (std::size_t r = 0; r < relays_.size(); ++r) {
      Relay& relay = relays_[r];
      int status = 0;
      rusage used{};
      if (relay.pid > 0 && wait4(relay.pid, &status, WNOHANG, &used) == relay.pid) Gone(r, status, used);
      if (relay.pid > 0 && relay.expected && relay.kill_at > 0us && now >= relay.kill_at) {
        kill(relay.pid, SIGKILL);
        relay.kill_at = Time(0);
      }
      if (relay.pid > 0 && !relay.answers && !relay.pinging) Ping(static_cast<int>(r));
      if (relay.pid > 0 && relay.signals > 0) kill(relay.pid, relay.signals-- % 2 == 0 ? SIGHUP : SIGUSR1);
      ClosePlaces(r, now);
      all_ready = all_ready && relay.answers;
      all_gone = all_gone && relay.pid <= 0;
    }
    if (ended_) {
      if (all_gone) loop_.Stop();
      return;
    }
    if (!begun() && all_ready) {
      begun_ = now;
      turn_.After(Time(0));
    } else if (!begun() && now > ready_until_) {
      Spoil("not all relays were ready within 20 s");
    }
  }

  // Whoever has a watch there is told of nothing any more.
  void ClosePlaces(std::size_t r, Time now) {
    Relay& relay = relays_[r];
    for (std::size_t i = 0; i < relay.places.size(); ++i) {
      Place& place = relay.places[i];
      if (place.server == nullptr || place.closes_at == 0us || now < place.closes_at) continue;
      loop_.DestroyLater(std::move(place.server));
      for (const std::uint64_t call : relay.answered) {
        if (call / kCallsOfPlace == i) Tell(model::WatchEnded{static_cast<int>(r), call});
      }
    }
  }

  void Gone(std::size_t r, int status, const rusage& used) {
    Relay& relay = relays_[r];
    relay.pid = 0;
    relay.signals = 0;
    relay.answers = false;
    const auto micro = [](const timeval& t) { return Time(t.tv_sec * 1'000'000 + t.tv_usec); };
    outcome_.cpu += micro(used.ru_utime) + micro(used.ru_stime);
    outcome_.peak_kb = std::max(outcome_.peak_kb, static_cast<std::uint64_t>(used.ru_maxrss));
    const bool clean = relay.expected && (WIFSIGNALED(status) || WEXITSTATUS(status) == 0);
    if (!clean && outcome_.crash.empty()) {
      outcome_.crash = "n" + std::to_string(r + 1) +
                       (WIFSIGNALED(status) ? " ended by signal " + std::to_string(WTERMSIG(status))
                                            : " exited with " + std::to_string(WEXITSTATUS(status)));
    }
    if (!begun()) return Spoil("a relay ended before the day began: " + outcome_.crash);
    Tell(model::RelayDown{static_cast<int>(r)});
  }

  void Do(const model::KillRelay& order) {
    Relay& relay = relays_[static_cast<std::size_t>(order.relay)];
    if (relay.pid <= 0) return;
    relay.expected = true;
    kill(relay.pid, SIGKILL);
  }
  void Do(const model::TerminateRelay& order) {
    Relay& relay = relays_[static_cast<std::size_t>(order.relay)];
    if (relay.pid <= 0) return;
    relay.expected = true;
    relay.kill_at = net::Loop::Now() + kKillAfter;
    kill(relay.pid, SIGTERM);
  }
  // One at each look: several at once would hold all stand-ins up.
  void Do(const model::StartRelay& order) { starts_.push_back(order.relay); }
  void Do(const model::StopRelay& order) { Signal(order.relay, SIGSTOP); }
  void Do(const model::ContinueRelay& order) { Signal(order.relay, SIGCONT); }
  void Signal(int number, int signal) {
    const pid_t pid = relays_[static_cast<std::size_t>(number)].pid;
    if (pid > 0) kill(pid, signal);
  }

  void Do(const model::MoveDiscovery& move) {
    Relay& relay = relays_[static_cast<std::size_t>(move.relay)];
    relay.places.back().closes_at = net::Loop::Now() + kOldPlaceFor;
    AddPlace(static_cast<std::size_t>(move.relay));
    if (relay.pid <= 0) return;
    WriteConfig(move.relay);
    kill(relay.pid, SIGHUP);
  }
  void Do(const model::SignalRelay& order) {
    relays_[static_cast<std::size_t>(order.relay)].signals = order.count;
  }
  void Do(const model::SetIdleClients& order) {
    Relay& relay = relays_[static_cast<std::size_t>(order.relay)];
    for (auto& line : relay.idle_clients) {
      line->Close();
      loop_.DestroyLater(std::move(line));
    }
    relay.idle_clients.clear();
    for (int i = 0; i < order.count; ++i) {
      relay.idle_clients.push_back(
          std::make_unique<standin::ClientConnection>(loop_, idle_owner_, relay.address, Time(0)));
    }
  }

  // ---- clients ----

  // Whatever becomes of clients that say nothing is their relay's affair.
  class IdleOwner final : public standin::ClientConnection::Owner {
    void OnAnswer(standin::ClientConnection&, const std::string&) override {}
    void OnLost(standin::ClientConnection&, const standin::ClientConnection::Loss&) override {}
  };

  standin::ClientConnection* NewLine(int relay) {
    auto line = std::make_unique<standin::ClientConnection>(
        loop_, *this, relays_[static_cast<std::size_t>(relay)].address, Time(0));
    if (!line->opened()) return nullptr;
    standin::ClientConnection* const opened = line.get();
    lines_[opened] = {std::move(line), relay, 0, false, {}};
    return opened;
  }

  void AskOn(standin::ClientConnection* line, std::uint64_t hand, std::string request) {
    if (line == nullptr) return Spoil("no socket for a client");
    Seat& seat = lines_.at(line);
    seat.hand = hand;
    seat.request = request;
    if (hand > 0) at_[hand] = line;
    line->Send(std::move(request));
  }

  void Do(const model::SubmitMessage& in) {
    relay_of_[in.id] = in.relay;
    const auto left = std::max<std::int64_t>(1, in.time_left / 1ms);
    const std::string values = "c=outbound,d=" + std::to_string(left) + ",k=" + in.key +
                               ",dest=" + std::to_string(in.destination) + (in.refused_before ? ",r=1" : "") +
                               (in.lost_before ? ",again=1" : "");
    std::string request = standin::RespCommand({"MSG.PUT", "0000000000000000", in.id, values, body_});
    for (auto& [line, seat] : lines_) {
      if (seat.relay == in.relay && seat.line->idle() && !seat.request.empty()) {
        seat.again = false;
        return AskOn(line, in.submission, std::move(request));
      }
    }
    AskOn(NewLine(in.relay), in.submission, std::move(request));
  }
  void Do(const model::AbandonSubmission& leave) {
    const auto it = at_.find(leave.submission);
    if (it == at_.end()) return;
    standin::ClientConnection* const line = it->second;
    at_.erase(it);
    Drop(*line);
  }

  void Drop(standin::ClientConnection& line) {
    const auto it = lines_.find(&line);
    if (it == lines_.end()) return;
    line.Close();
    loop_.DestroyLater(std::move(it->second.line));
    lines_.erase(it);
  }

  void OnAnswer(standin::ClientConnection& line, const std::string& answer) override {
    Seat& seat = lines_.at(&line);
    const std::uint64_t hand = std::exchange(seat.hand, 0);
    if (hand == 0) {
      Relay& relay = relays_[static_cast<std::size_t>(seat.relay)];
      relay.pinging = false;
      if (answer == "+PONG" && !std::exchange(relay.answers, true)) Tell(model::RelayUp{seat.relay});
      return;
    }
    at_.erase(hand);
    using Result = model::SubmissionAnswered::Result;
    if (answer[0] == '+' || answer[0] == '$')
      return Tell(model::SubmissionAnswered{hand, Result::kAccepted, Time(0)});
    if (answer.rfind("-BUSY", 0) == 0) {
      const Time wait(answer.size() > 6 ? std::atoll(answer.c_str() + 6) * 1000 : 0);
      return Tell(model::SubmissionAnswered{hand, Result::kRejected, wait});
    }
    // An error is final for its client; nothing of ours is malformed, so it is told.
    if (outcome_.crash.empty()) outcome_.crash = "a relay answered " + answer;
    Tell(model::SubmissionAnswered{hand, Result::kRejected, Time(0)});
  }

  void OnLost(standin::ClientConnection& line, const standin::ClientConnection::Loss& loss) override {
    const Seat& seat = lines_.at(&line);
    const int relay = seat.relay;
    const std::uint64_t hand = seat.hand;
    const bool once_more = loss.request_pending && hand > 0 && loss.request_unread && !seat.again;
    std::string request = seat.request;
    at_.erase(hand);
    Drop(line);
    if (hand == 0 && loss.request_pending)
      relays_[static_cast<std::size_t>(relay)].pinging = false;  // not up yet
    if (ended_ || hand == 0 || !loss.request_pending) return;
    if (once_more) {
      standin::ClientConnection* const next = NewLine(relay);
      if (next != nullptr) lines_.at(next).again = true;
      return AskOn(next, hand, std::move(request));
    }
    Tell(model::SubmissionAnswered{hand, model::SubmissionAnswered::Result::kConnectionLost, Time(0)});
  }

  // ---- endpoints ----

  void HostStands(const std::string& address) {
    HostAt& host = hosts_[address];
    const auto port = ports_.find(address);
    host.calls.clear();
    host.server = std::make_unique<standin::HttpServer>(
        loop_, port == ports_.end() ? 0 : port->second,
        [this, address](std::uint64_t connection, const standin::Request& request) {
          OnCall(address, connection, request);
        },
        [this, address](std::uint64_t connection) { OnLineGone(address, connection); });
    ports_[address] = host.server->port();
  }
  void Do(const model::HostUp& up) { HostStands(up.address); }
  void Do(const model::HostDown& down) {
    HostAt& host = hosts_[down.address];
    for (const auto& [connection, call] : host.calls) calls_.erase(call);
    host.calls.clear();
    loop_.DestroyLater(std::move(host.server));
  }

  void OnCall(const std::string& address, std::uint64_t connection, const standin::Request& request) {
    HostAt& host = hosts_.at(address);
    if (request.method != "POST" || request.target != "/inbox") {
      if (outcome_.crash.empty()) outcome_.crash = "a relay called " + request.method + " " + request.target;
      host.server->Write(connection, standin::FormatResponse("400 Bad Request"));
      return;
    }
    const auto [seat, fresh] = host.calls.emplace(connection, 0);
    const bool crowded = fresh && !world_.Connect(address);
    const std::uint64_t call = ++calls_made_;
    seat->second = call;
    calls_[call] = {address, connection};
    const std::string id = request.Header("x-request-id");
    EndBefore(id);
    call_of_[id] = call;
    const auto relay = relay_of_.find(id);
    Tell(model::CallReceived{call, relay == relay_of_.end() ? -1 : relay->second, address, id,
                             request.Header("idempotency-key"), fresh, crowded});
    if (crowded) host.calls.erase(connection);  // no seat is given back for it
  }

  // A call that its relay ended before this one may be told later: another socket, the same round of the
  // loop.
  void EndBefore(const std::string& id) {
    const auto before = call_of_.find(id);
    const auto it = before == call_of_.end() ? calls_.end() : calls_.find(before->second);
    if (it == calls_.end()) return;
    const auto [address, connection] = it->second;
    const HostAt& host = hosts_.at(address);
    if (host.server && host.server->IsClosed(connection)) OnLineGone(address, connection);
  }

  void OnLineGone(const std::string& address, std::uint64_t connection) {
    HostAt& host = hosts_.at(address);
    const auto it = host.calls.find(connection);
    if (it == host.calls.end()) return;
    const std::uint64_t call = it->second;
    host.calls.erase(it);
    world_.Disconnect(address);
    if (calls_.erase(call) > 0) Tell(model::CallDropped{call});
  }

  void Do(const model::AnswerCall& answer) {
    const auto it = calls_.find(answer.call);
    if (it == calls_.end()) return;
    const auto [address, connection] = it->second;
    calls_.erase(it);
    HostAt& host = hosts_.at(address);
    if (const auto seat = host.calls.find(connection); seat != host.calls.end()) seat->second = 0;
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
  void Do(const model::CloseCallConnection& broken) {
    const auto it = calls_.find(broken.call);
    if (it == calls_.end()) return;
    const auto [address, connection] = it->second;
    calls_.erase(it);
    HostAt& host = hosts_.at(address);
    host.calls.erase(connection);
    if (host.server) host.server->Close(connection);
  }

  // ---- discovery and the platform ----

  void OnDiscovery(std::size_t r, std::uint64_t connection, const standin::Request& request) {
    const int number = static_cast<int>(r);
    if (request.target == "/v1/outcomes") {
      std::istringstream lines(request.body);
      for (std::string line; std::getline(lines, line);) {
        const Json notice = Json::parse(line, nullptr, false);
        if (!notice.is_object()) continue;
        Tell(model::NoticeReceived{number, notice.value("id", ""), notice.value("status", "") == "deferred",
                                   Time(notice.value("again_ms", std::int64_t{0}) * 1000)});
      }
      WriteTo(number, connection, standin::FormatResponse("204 No Content"));
    } else {
      ++list_calls_;
      const std::size_t from = request.target.find("from=");
      const bool known = request.target.find("watch=1") != std::string::npos && from != std::string::npos;
      Tell(model::ListRequested{number, connection,
                                known ? std::atoll(request.target.c_str() + from + 5) : 0});
    }
  }

  void Do(const model::SendList& list) {
    Relay& relay = relays_[static_cast<std::size_t>(list.relay)];
    if (relay.answered.insert(list.call).second) {
      WriteTo(list.relay, list.call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    WriteTo(list.relay, list.call, ChunkOf(list));
  }
  void Do(const model::TruncateList& broken) {
    const model::SendList& list = broken.list;
    const std::string whole = ChunkOf(list);
    WriteTo(list.relay, list.call, whole.substr(0, whole.size() / 2));
    CloseCall(list.relay, list.call);
  }
  std::string ChunkOf(const model::SendList& list) const {
    return standin::FormatChunk(ListJson(list, scenario_, ports_).dump() + "\n");
  }
  void Do(const model::RefuseList& refused) {
    Relay& relay = relays_[static_cast<std::size_t>(refused.relay)];
    const bool watch = relay.answered.count(refused.call) > 0;
    if (!watch) WriteTo(refused.relay, refused.call, standin::FormatResponse("503 Service Unavailable"));
    CloseCall(refused.relay, refused.call);
  }
  void Do(const model::SendHeartbeat& beat) { WriteTo(beat.relay, beat.call, standin::FormatChunk("\n")); }

  void CountSecond() {
    second_.After(1s);
    if (begun() && !ended_) outcome_.list_calls.push_back(std::exchange(list_calls_, 0));
  }

  const model::Scenario& scenario_;
  const model::Day& day_;
  const StageOptions& options_;
  Witness witness_;
  model::PlatformModel world_;
  std::string body_;
  net::Loop loop_;
  net::Timer turn_, look_, second_;
  std::uint64_t list_calls_ = 0;  // in this second
  Time begun_{0}, ready_until_{0};
  bool ended_ = false;
  Outcome outcome_;
  std::vector<model::Input> inputs_;
  IdleOwner idle_owner_;
  std::vector<Relay> relays_;
  std::deque<int> starts_;            // relays to be started
  std::map<std::string, int> ports_;  // by the model's address
  std::map<std::string, HostAt> hosts_;
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> calls_;  // address and connection
  std::uint64_t calls_made_ = 0;
  std::map<std::string, std::uint64_t> call_of_;  // the last one, by the message's id
  std::map<std::string, int> relay_of_;           // an id was handed to
  std::map<standin::ClientConnection*, Seat> lines_;
  std::map<std::uint64_t, standin::ClientConnection*> at_;  // hands that wait for their answer
};

}  // namespace

Outcome Play(const model::Scenario& scenario, const model::Day& day, const StageOptions& options) {
  return Stage(scenario, day, options).Run();
}

}  // namespace oxbowspread::lab
