#include "relay_harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "standin/settings.hpp"

namespace oxbowspread::testing {
namespace {

int RemainingMs(Clock::time_point until) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::max<long>(0, remaining));
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

// ---- sockets ----

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

Socket Socket::Listen(int backlog) {
  Socket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(0);
  REQUIRE(bind(result.fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  REQUIRE(listen(result.fd_, backlog) == 0);
  return result;
}

Socket Socket::Connect(int port) {
  Socket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Loopback(port);
  if (connect(result.fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) result.Close();
  return result;
}

Socket Socket::Accept(std::chrono::milliseconds limit) const {
  pollfd poll_entry{fd_, POLLIN, 0};
  if (poll(&poll_entry, 1, static_cast<int>(limit.count())) <= 0) return Socket();
  return Socket(accept(fd_, nullptr, nullptr));
}

int Socket::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void Socket::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

void Socket::SetReceiveBufferSize(int buffer_bytes) const {
  setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
}

void Socket::SetMaxSegmentSize(int max_bytes) const {
  setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &max_bytes, sizeof max_bytes);
}

void Socket::Reset() {
  const linger abort_on_close{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
  Close();
}

void Socket::Send(const std::string& bytes) const {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t count = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (count <= 0) return;
    at += static_cast<std::size_t>(count);
  }
}

bool Socket::IsClosed() const {
  char byte = 0;
  return fd_ < 0 || recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK);
}

void Socket::WaitUntilAcknowledged() const {
  const auto until = Clock::now() + 5s;
  int unacknowledged_bytes = 1;
  while (ioctl(fd_, SIOCOUTQ, &unacknowledged_bytes) == 0 && unacknowledged_bytes > 0 && Clock::now() < until)
    poll(nullptr, 0, 1);
  REQUIRE(unacknowledged_bytes == 0);
}

std::string Socket::Receive(std::chrono::milliseconds limit, bool* ended, int* error) const {
  pollfd poll_entry{fd_, POLLIN, 0};
  if (poll(&poll_entry, 1, static_cast<int>(limit.count())) <= 0) return {};
  char bytes[65536];
  const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
  if (count <= 0 && ended != nullptr) *ended = true;
  if (error != nullptr) *error = count < 0 ? errno : 0;
  return std::string(bytes, static_cast<std::size_t>(std::max<ssize_t>(0, count)));
}

// ---- stub services ----

StubServices::StubServices() : discovery_(Socket::Listen()) {}

void StubServices::AddHost(const std::string& id, int destination, const std::string& zone,
                           int receive_buffer) {
  Socket& listener = listeners_[id] = Socket::Listen();
  if (receive_buffer > 0) listener.SetReceiveBufferSize(receive_buffer);
  hosts_[id] = {{"id", id},
                {"addr", "127.0.0.1:" + std::to_string(listener.port())},
                {"zone", zone},
                {"kind", "partner"},
                {"cell", destination},
                {"state", "Ready"},
                {"weight", 50},
                {"started_ms", 0},
                {"unheard_of", {1}}};
}

void StubServices::SetState(const std::string& id, const std::string& state) {
  hosts_[id]["state"] = state;
  PushChange({{"version", ++version_}, {"full", false}, {"servers", {hosts_[id]}}});
}

void StubServices::SetStateWithoutPush(const std::string& id, const std::string& state) {
  hosts_[id]["state"] = state;
  ++version_;
}

int StubServices::open_watches() const {
  return static_cast<int>(std::count_if(peers_.begin(), peers_.end(), [](const Peer& peer) {
    return peer.watch && !peer.at_old_address && peer.socket.fd() >= 0;
  }));
}

void StubServices::PushChange(const nlohmann::json& change) {
  for (Peer& peer : peers_) {
    if (peer.watch && !peer.at_old_address) SendChunk(peer.socket, change.dump() + "\n");
  }
}

void StubServices::PushChunk(const std::string& text) {
  for (Peer& peer : peers_) {
    if (peer.watch && !peer.at_old_address) SendChunk(peer.socket, text);
  }
}

void StubServices::CloseWatches() {
  for (Peer& peer : peers_) {
    if (std::exchange(peer.watch, false)) peer.socket.Close();
  }
}

void StubServices::WaitUntilPushesDelivered() const {
  for (const Peer& peer : peers_) {
    if (peer.watch && !peer.at_old_address && peer.socket.fd() >= 0) peer.socket.WaitUntilAcknowledged();
  }
}

void StubServices::SetPort(const std::string& id, int port) {
  hosts_[id]["addr"] = "127.0.0.1:" + std::to_string(port);
}

void StubServices::MoveDiscovery() {
  for (Peer& peer : peers_) peer.at_old_address = peer.at_old_address || peer.host.empty();
  discovery_ = Socket::Listen();
}

void StubServices::PushChangeToOldAddress(const nlohmann::json& change) {
  for (Peer& peer : peers_) {
    if (peer.watch && peer.at_old_address) SendChunk(peer.socket, change.dump() + "\n");
  }
}

void StubServices::CloseDiscovery() {
  for (Peer& peer : peers_) {
    if (!peer.host.empty() || peer.socket.fd() < 0) continue;
    peer.watch = false;
    peer.socket.Reset();
  }
  discovery_.Close();
}

void StubServices::StopHost(const std::string& id) { listeners_.erase(id); }

nlohmann::json StubServices::List() const {
  nlohmann::json servers = nlohmann::json::array();
  for (const auto& [id, host] : hosts_) servers.push_back(host);
  return {{"version", version_}, {"full", true}, {"servers", servers}};
}

void StubServices::SendChunk(const Socket& socket, const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  socket.Send(out.str());
}

void StubServices::ServeOnce(std::chrono::milliseconds limit) {
  if (discovery_heartbeats && Clock::now() - last_heartbeat_at_ > 2s) {
    last_heartbeat_at_ = Clock::now();
    for (Peer& peer : peers_) {
      if (peer.watch && !peer.at_old_address) SendChunk(peer.socket, "\n");
    }
  }
  SendDueRefusals();
  AnswerQueuedWatches();
  std::vector<pollfd> polls{{discovery_.fd(), static_cast<short>(discovery_accepts ? POLLIN : 0), 0}};
  std::vector<std::string> names;
  for (const auto& [id, listener] : listeners_) {
    names.push_back(id);
    polls.push_back({listener.fd(), POLLIN, 0});
  }
  const std::size_t first_peer = polls.size();
  for (const Peer& peer : peers_) polls.push_back({peer.socket.fd(), POLLIN, 0});
  poll(polls.data(), polls.size(),
       static_cast<int>(std::min<std::chrono::milliseconds>(limit, 100ms).count()));
  std::size_t at = first_peer;
  for (auto it = peers_.begin(); it != peers_.end(); ++at) {
    Peer& peer = *it++;
    if (polls[at].revents == 0) continue;
    bool ended = false;
    peer.bytes += peer.socket.Receive(0ms, &ended);
    while (ReadRequest(peer)) {
    }
    if (ended) peer.socket.Close();
  }
  for (std::size_t i = 0; i < first_peer; ++i) {
    if ((polls[i].revents & POLLIN) == 0) continue;
    peers_.push_back(
        {Socket(accept(polls[i].fd, nullptr, nullptr)), i == 0 ? "" : names[i - 1], "", false, false});
    host_of_[&peers_.back().socket] = peers_.back().host;
    host_connections_ += i > 0;
    if (i > 0) last_connected_host_ = names[i - 1];
  }
}

bool StubServices::ReadRequest(Peer& peer) {
  const std::size_t head_end = peer.bytes.find("\r\n\r\n");
  if (head_end == peer.bytes.npos) return false;
  HttpRequest request;
  request.connection = &peer.socket;
  std::istringstream head(peer.bytes.substr(0, head_end));
  std::getline(head, request.line);
  request.line.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(": ");
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    request.headers[name] = line.substr(colon + 2);
  }
  const auto length = request.headers.find("content-length");
  const std::size_t body = length == request.headers.end() ? 0 : std::stoul(length->second);
  if (peer.bytes.size() < head_end + 4 + body) return false;
  request.body = peer.bytes.substr(head_end + 4, body);
  peer.bytes.erase(0, head_end + 4 + body);
  if (peer.at_old_address) {
    notices_at_old_address += request.line.find("/v1/outcomes") != request.line.npos;
  } else if (peer.host.empty()) {
    HandleDiscoveryRequest(peer, request);
  } else {
    calls_.push_back(std::move(request));
  }
  return true;
}

void StubServices::HandleDiscoveryRequest(Peer& peer, const HttpRequest& request) {
  if (request.line.find("/v1/outcomes") != request.line.npos) {
    peer.socket.Send("HTTP/1.1 " + std::to_string(notice_status) + " X\r\nContent-Length: 0\r\n\r\n");
    notices_refused += notice_status != 204;
    std::istringstream lines(request.body);
    for (std::string line; notice_status == 204 && std::getline(lines, line);) {
      const auto notice = nlohmann::json::parse(line);
      notices[notice.at("id")] = notice;
    }
    return;
  }
  watch_requests += 1;
  if (discovery_silent) return;
  if (discovery_refuses) {
    refusals_.emplace_back(Clock::now() + discovery_refusal_delay, &peer);
    return SendDueRefusals();
  }
  if (discovery_time_per_request == 0ms) return AnswerWatch(peer);
  if (queued_watches_.empty()) next_answer_at_ = Clock::now() + discovery_time_per_request;
  queued_watches_.push_back(&peer);
}

void StubServices::AnswerWatch(Peer& peer) {
  peer.watch = true;
  peer.socket.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  SendChunk(peer.socket, discovery_sends_only_heartbeats ? "\n" : List().dump() + "\n");
  if (!discovery_ends_watches) return;
  peer.socket.Send("0\r\n\r\n");
  peer.watch = false;
}

void StubServices::SendDueRefusals() {
  while (!refusals_.empty() && refusals_.front().first <= Clock::now()) {
    refusals_.front().second->socket.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    refusals_.pop_front();
  }
}

void StubServices::AnswerQueuedWatches() {
  while (!queued_watches_.empty() && Clock::now() >= next_answer_at_) {
    Peer* const peer = queued_watches_.front();
    queued_watches_.pop_front();
    next_answer_at_ += discovery_time_per_request;
    if (peer->socket.fd() >= 0) AnswerWatch(*peer);
  }
}

HttpRequest StubServices::NextCall(std::chrono::milliseconds limit) {
  WaitUntil([this] { return !calls_.empty(); }, limit);
  HttpRequest call = calls_.front();
  calls_.erase(calls_.begin());
  return call;
}

bool StubServices::CallArrivesWithin(std::chrono::milliseconds limit) {
  const auto until = Clock::now() + limit;
  while (calls_.empty() && RemainingMs(until) > 0) ServeOnce(std::chrono::milliseconds(RemainingMs(until)));
  return !calls_.empty();
}

void StubServices::Answer(const HttpRequest& call, const std::string& status, const std::string& headers) {
  call.connection->Send("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 2\r\n\r\nok");
}

void StubServices::WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
  const auto until = Clock::now() + limit;
  while (!condition()) {
    if (RemainingMs(until) == 0) FAIL("the awaited condition did not become true in time");
    ServeOnce(std::chrono::milliseconds(RemainingMs(until)));
  }
}

nlohmann::json StubServices::WaitForNotice(const std::string& id) {
  WaitUntil([&] { return notices.count(id) > 0; });
  return notices.at(id);
}

// ---- the process ----

RelayProcess::RelayProcess(StubServices& stubs) : stubs_(stubs) {
  char name[] = "/tmp/oxbowspread-XXXXXX";
  folder_ = mkdtemp(name);
  state_ = folder_ + "/state";
  std::filesystem::create_directory(state_);
  port_reservation_ = Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  setsockopt(port_reservation_.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in any_port = Loopback(0);
  REQUIRE(bind(port_reservation_.fd(), reinterpret_cast<const sockaddr*>(&any_port), sizeof any_port) == 0);
  port_ = port_reservation_.port();
  config = {{"name", "n1"},
            {"listen", "127.0.0.1:" + std::to_string(port_)},
            {"discovery", "127.0.0.1:" + std::to_string(stubs.discovery_port())},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}},
            {"settings", nlohmann::json::parse(standin::kSettings)}};
}

RelayProcess::~RelayProcess() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  if (output_fd_ >= 0) close(output_fd_);
  std::filesystem::remove_all(folder_);
}

void RelayProcess::Spawn() {
  std::ofstream(folder_ + "/config.json") << config.dump();
  int pipe_fds[2];
  REQUIRE(pipe2(pipe_fds, O_CLOEXEC) == 0);
  pid_ = fork();
  if (pid_ != 0) {
    close(pipe_fds[1]);
    if (output_fd_ >= 0) close(output_fd_);
    output_fd_ = pipe_fds[0];
    fcntl(output_fd_, F_SETFL, O_NONBLOCK);
    return;
  }
  dup2(pipe_fds[1], 1);
  dup2(pipe_fds[1], 2);
  if (inherited_listener != nullptr) {
    dup2(inherited_listener->fd(), 5);
    fcntl(5, F_SETFD, 0);
    setenv("ROUTER_LISTEN_FD", "5", 1);
  }
  if (in_child) in_child();
  setenv("ROUTER_CONFIG", (folder_ + "/config.json").c_str(), 1);
  setenv("ROUTER_STATE", state_.c_str(), 1);
  for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
  std::vector<char*> words{program.data()};
  for (std::string& argument : arguments) words.push_back(argument.data());
  words.push_back(nullptr);
  execv(program.c_str(), words.data());
  _exit(127);
}

void RelayProcess::Start() {
  config["known"] = stubs_.List();
  Spawn();
  const std::size_t before = log_.size();
  const auto until = Clock::now() + 10s;
  while (log().find(": serving", before) == std::string::npos) {
    pollfd poll_entry{output_fd_, POLLIN, 0};
    if (poll(&poll_entry, 1, RemainingMs(until)) <= 0 || (poll_entry.revents & POLLIN) == 0)
      FAIL("the relay did not start: " + log());
  }
  Client client(*this);
  REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
}

void RelayProcess::WaitForLog(const std::string& text) {
  stubs_.WaitUntil([&] { return log().find(text) != std::string::npos; });
}

void RelayProcess::Signal(int number) const { kill(pid_, number); }

void RelayProcess::Suspend() {
  Signal(SIGSTOP);
  WaitUntilSuspended();
}

void RelayProcess::WaitUntilSuspended() {
  int status = 0;
  REQUIRE(waitpid(pid_, &status, WUNTRACED) == pid_);
  REQUIRE(WIFSTOPPED(status));
}

void RelayProcess::Reload(const std::string& text) const {
  std::ofstream(folder_ + "/config.json") << text;
  Signal(SIGHUP);
}

int RelayProcess::WaitForExit() {
  int status = 0;
  stubs_.WaitUntil([&] { return waitpid(pid_, &status, WNOHANG) == pid_; });
  return MarkExited(status);
}

int RelayProcess::MarkExited(int status) {
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string RelayProcess::RunToExit(int* code) {
  Spawn();
  *code = WaitForExit();
  return log();
}

long RelayProcess::DrainMs() {
  const std::size_t at = log().rfind("drain_ms=");
  REQUIRE(at != std::string::npos);
  return std::stol(log_.substr(at + 9));
}

const std::string& RelayProcess::log() {
  char bytes[4096];
  for (ssize_t count = 0; (count = read(output_fd_, bytes, sizeof bytes)) > 0;) {
    log_.append(bytes, static_cast<std::size_t>(count));
  }
  return log_;
}

// ---- clients ----

void Client::Put(const std::string& id, const std::string& body, int deadline_ms,
                 const std::string& attributes) const {
  socket_.Send(PutCommand(id, body, deadline_ms, attributes));
}

std::string Client::PutCommand(const std::string& id, const std::string& body, int deadline_ms,
                               const std::string& attributes, const std::string& class_name) {
  const std::string all_attributes = "c=" + class_name + ",d=" + std::to_string(deadline_ms) + attributes;
  std::string command = "*5\r\n";
  for (const std::string& part :
       {std::string("MSG.PUT"), std::string("0000000000000000"), id, all_attributes, body}) {
    command += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
  }
  return command;
}

std::string Client::ReadLine() {
  const auto until = Clock::now() + 5s;
  bool ended = false;
  std::size_t end = 0;
  while ((end = bytes_.find("\r\n")) == bytes_.npos) {
    if (ended || RemainingMs(until) == 0) return {};
    bytes_ += socket_.Receive(std::chrono::milliseconds(RemainingMs(until)), &ended, &error_);
  }
  const std::string line = bytes_.substr(0, end);
  bytes_.erase(0, end + 2);
  return line;
}

bool Client::AnsweredOrReset() {
  const std::string line = ReadLine();
  return line == "+OK" || line.substr(0, 5) == "-BUSY" || was_reset();
}

std::string Client::Ask(const std::string& command) {
  socket_.Send(command);
  return ReadLine();
}

std::map<std::string, long> Client::Counters() {
  const std::string head = Ask("*1\r\n$4\r\nINFO\r\n");
  REQUIRE(head.substr(0, 1) == "$");
  const std::size_t size = std::stoul(head.substr(1)) + 2;
  while (bytes_.size() < size) bytes_ += socket_.Receive(5s);
  std::istringstream text(bytes_.substr(0, size - 2));
  bytes_.erase(0, size);
  std::map<std::string, long> counters;
  for (std::string line; std::getline(text, line);) {
    const std::size_t equals = line.find('=');
    counters[line.substr(0, equals)] = std::strtol(line.c_str() + equals + 1, nullptr, 10);
  }
  return counters;
}

}  // namespace oxbowspread::testing
