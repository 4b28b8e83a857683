// Stand-ins for the cases of this review: clients, endpoints, discovery with the platform's notices, and the
// platform that starts, signals and ends relay processes. All addresses are on the loopback interface and all
// times are those of the real clock. Each connection has a thread of its own, so that a slow peer delays no
// other.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

inline void Sleep(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

// The log of a run: record.txt in the case's folder.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(Clock::now()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", Seconds());
    file_ << stamp << text << "\n" << std::flush;
  }
  double Seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

inline int Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 1024) != 0)
    throw std::runtime_error("can't listen");
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// Returns a port that is free now.
inline int FreePort() {
  int port = 0;
  close(Listen(&port));
  return port;
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Whether the peer has neither closed nor reset the connection.
inline bool IsOpen(int fd) {
  char byte = 0;
  const ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

struct HttpRequest {
  std::string line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// Reads one request. `rest` keeps the bytes that follow it. Returns nothing at the end of the connection.
inline std::optional<HttpRequest> ReadRequest(int fd, std::string* rest) {
  char chunk[65536];
  const auto more = [&] {
    const ssize_t count = recv(fd, chunk, sizeof chunk, 0);
    if (count > 0) rest->append(chunk, static_cast<std::size_t>(count));
    return count > 0;
  };
  std::size_t end = 0;
  while ((end = rest->find("\r\n\r\n")) == rest->npos) {
    if (!more()) return std::nullopt;
  }
  HttpRequest request;
  std::size_t at = rest->find("\r\n");
  request.line = rest->substr(0, at);
  while (at < end) {
    const std::size_t from = at + 2, to = rest->find("\r\n", from);
    const std::string header = rest->substr(from, to - from);
    const std::size_t colon = header.find(':');
    std::string name = header.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    request.headers[name] = header.substr(std::min(header.size(), header.find_first_not_of(' ', colon + 1)));
    at = to;
  }
  const std::size_t length =
      request.headers.count("content-length") > 0 ? std::stoul(request.headers["content-length"]) : 0;
  while (rest->size() < end + 4 + length) {
    if (!more()) return std::nullopt;
  }
  request.body = rest->substr(end + 4, length);
  rest->erase(0, end + 4 + length);
  return request;
}

// Accepts connections on a thread and serves each one on another. Threads are never joined: the process ends
// with _exit.
inline void ServeConnections(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([serve, fd] { serve(fd); }).detach();
    }
  }).detach();
}

// Discovery and the platform's end for notices.
class Platform {
 public:
  explicit Platform(Record& record) : record_(record) {
    ServeConnections(Listen(&port_), [this](int fd) { Serve(fd); });
  }
  int port() const { return port_; }
  // Adds an endpoint to the list that later calls get. `weight` is the rate that it takes, in calls a second.
  void AddHost(const std::string& id, int port, int destination, const std::string& zone,
               double weight = 20) {
    const std::lock_guard lock(mutex_);
    servers_.push_back({{"id", id},
                        {"addr", "127.0.0.1:" + std::to_string(port)},
                        {"zone", zone},
                        {"kind", "partner"},
                        {"cell", destination},
                        {"state", "Ready"},
                        {"weight", weight},
                        {"started_ms", 0}});
  }
  Json List() const {
    const std::lock_guard lock(mutex_);
    return {{"version", 1}, {"full", true}, {"servers", servers_}};
  }
  std::map<std::string, std::string> notices() const {
    const std::lock_guard lock(mutex_);
    return notices_;
  }

 private:
  static std::string Chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void Serve(int fd) {
    std::string rest;
    while (const auto request = ReadRequest(fd, &rest)) {
      if (request->line.rfind("POST /v1/outcomes", 0) == 0) {
        TakeNotices(request->body);
        SendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n");
      } else if (request->line.find("watch=1") != std::string::npos) {
        SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(List().dump() + "\n"));
        while (IsOpen(fd)) {
          Sleep(1s);
          if (!SendAll(fd, Chunk("\n"))) break;
        }
        break;
      } else {
        const std::string body = List().dump();
        SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      }
    }
    close(fd);
  }
  void TakeNotices(const std::string& body) {
    std::size_t from = 0;
    while (from < body.size()) {
      const std::size_t to = std::min(body.size(), body.find('\n', from));
      const Json notice = Json::parse(body.substr(from, to - from));
      record_.Line("notice " + notice.dump());
      const std::lock_guard lock(mutex_);
      notices_.emplace(notice.at("id"), notice.at("status"));
      from = to + 1;
    }
  }

  Record& record_;
  int port_ = 0;
  mutable std::mutex mutex_;
  Json servers_ = Json::array();
  std::map<std::string, std::string> notices_;
};

// One call that an endpoint has received.
struct Call {
  std::string id, host;
  double at = 0;          // when its last byte had come
  int fd = -1;            // its connection
  bool answered = false;  // or its connection was seen to end
};

// All endpoints of a case. `on_call` runs on the connection's thread and returns the answer, or nothing if
// the call is not to be answered.
class Endpoints {
 public:
  using OnCall = std::function<std::string(const Call& call, int calls_of_message)>;

  Endpoints(Record& record, OnCall on_call) : record_(record), on_call_(std::move(on_call)) {}
  // Opens an endpoint and returns its port.
  int Open(const std::string& host) {
    int port = 0;
    ServeConnections(Listen(&port), [this, host](int fd) { Serve(fd, host); });
    return port;
  }
  int count() const {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(calls_.size());
  }
  // Number of calls that came while an earlier call of the same message was out on an open connection.
  int second_copies() const {
    const std::lock_guard lock(mutex_);
    return second_copies_;
  }
  std::map<std::string, int> served() const {
    const std::lock_guard lock(mutex_);
    return served_;
  }
  std::map<std::string, int> calls_by_message() const {
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> result;
    for (const auto& call : calls_) result[call->id] += 1;
    return result;
  }

 private:
  void Serve(int fd, const std::string& host) {
    std::string rest;
    while (const auto request = ReadRequest(fd, &rest)) {
      const auto call = std::make_shared<Call>();
      call->id = request->headers.count("x-request-id") > 0 ? request->headers.at("x-request-id") : "";
      call->host = host;
      call->fd = fd;
      call->at = record_.Seconds();
      int calls_of_message = 1;
      std::vector<std::shared_ptr<Call>> earlier;
      {
        const std::lock_guard lock(mutex_);
        for (const auto& other : calls_) {
          calls_of_message += other->id == call->id;
          if (other->id == call->id && !other->answered) earlier.push_back(other);
        }
        calls_.push_back(call);
      }
      record_.Line("call " + call->id + " at " + host + ", number " + std::to_string(calls_of_message));
      if (!earlier.empty()) {
        // Every limit is 50 ms longer: a connection that ends in that time was not open any more.
        Sleep(50ms);
        for (const auto& other : earlier) CheckStillOpen(*call, *other);
      }
      const std::string answer = on_call_(*call, calls_of_message);
      const std::lock_guard lock(mutex_);
      if (answer.empty()) {
        mutex_.unlock();
        WaitForEnd(fd);
        mutex_.lock();
        record_.Line("call " + call->id + " at " + host + ": its connection has ended");
        call->answered = true;
        break;
      }
      call->answered = true;
      const bool written = IsOpen(fd) && SendAll(fd, answer);
      const std::string first_line = answer.substr(0, answer.find('\r'));
      record_.Line("call " + call->id + " at " + host + ": " + (written ? "answered " : "could not answer ") +
                   first_line);
      if (written && first_line.find(" 200") != std::string::npos) served_[call->id] += 1;
      if (!written) break;
    }
    // The descriptor stays open until the end of the run, so that its number is not used again.
    shutdown(fd, SHUT_RDWR);
  }
  void CheckStillOpen(const Call& call, const Call& other) {
    const std::lock_guard lock(mutex_);
    if (other.answered || !IsOpen(other.fd)) return;
    second_copies_ += 1;
    record_.Line("SECOND COPY of " + call.id + " at " + call.host + ": the call at " + other.host +
                 " is still out on an open connection");
  }
  static void WaitForEnd(int fd) {
    char byte = 0;
    while (recv(fd, &byte, 1, 0) > 0) {
    }
  }

  Record& record_;
  OnCall on_call_;
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<Call>> calls_;
  std::map<std::string, int> served_;
  int second_copies_ = 0;
};

inline const std::string kServed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// The settings of a relay of a small deployment: three relays, two rooms, and one class. A relay has 21 slots
// for calls and holds `max_open` messages.
inline Json Settings(const std::string& semantics, int max_open) {
  return Json::parse(R"({"balancers":3,"rank":0,"discovery":"ask","tick-s":0.005,"weights":"rough",
    "zones":["north-room","east-room"],"models":["partner"],
    "services":[{"name":"outbound","semantics":")" +
                     semantics + R"(","key-scope":"zone","goal-time-s":3,"deadline-s":16,
      "repeat-window-s":10,"worth":1,"late-value":0.5}],
    "family-info":{"calls-out":21,"kind-apart":[true],"bundle-max":[1],"decay":"by_half","carriage":[0,0]},
    "limits":{"cancel":true,"second-copies":false,"send-cap":12,"max-open":)" +
                     std::to_string(max_open) + R"(,"retry-after":true,"max-retry-after-s":2,
      "connect-timeout-s":1.5,"keepalive-s":15},
    "invariants":{"ask-within-s":10,"cold-from":0.23,"cold-s":13,"drain-grace-s":0.25,"fall-multiple":2,
      "grace-to-answer-s":0.02,"tip-after-s":3}})");
}

// One relay as the platform sees it: its folder, its address and its processes.
class Relay {
 public:
  // With `inherits_listener` the platform holds the clients' listening socket as descriptor 5 of each
  // process.
  Relay(Record& record, const Platform& platform, const std::string& folder, Json settings,
        bool inherits_listener)
      : record_(record), folder_(folder), state_(folder + "/state") {
    std::filesystem::create_directories(state_);
    if (inherits_listener) {
      listener_ = Listen(&port_);
    } else {
      port_ = FreePort();
    }
    config_ = {{"name", "n1"},
               {"listen", "127.0.0.1:" + std::to_string(port_)},
               {"discovery", "127.0.0.1:" + std::to_string(platform.port())},
               {"state", state_},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}},
               {"known", platform.List()},
               {"settings", std::move(settings)}};
    WriteConfig();
  }
  ~Relay() {
    for (const pid_t pid : started_) {
      if (ended_.count(pid) > 0) continue;
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  int port() const { return port_; }
  const std::string& state() const { return state_; }
  Json& config() { return config_; }
  // Replaces the configuration file by a rename, so that the relay never reads half of it.
  void WriteConfig() {
    const std::string path = folder_ + "/config.json";
    std::ofstream(path + ".next") << config_.dump();
    std::filesystem::rename(path + ".next", path);
  }

  // Starts a process with the command of the deploy file. `mgmt_port` is 0 if it has no operators' port.
  pid_t Start(int mgmt_port = 0) {
    const std::vector<std::string> variables = {
        "ROUTER_NAME=n1",
        "ROUTER_LISTEN=127.0.0.1:" + std::to_string(port_),
        "ROUTER_DISCOVERY=" + config_["discovery"].get<std::string>(),
        "ROUTER_STATE=" + state_,
        "ROUTER_CONFIG=" + folder_ + "/config.json",
        "TMPDIR=" + folder_,
        "PATH=/usr/bin:/bin",
        listener_ >= 0 ? "ROUTER_LISTEN_FD=5" : "UNUSED_1=",
        mgmt_port > 0 ? "ROUTER_MGMT=127.0.0.1:" + std::to_string(mgmt_port) : "UNUSED_2="};
    std::vector<char*> environment;
    for (const std::string& variable : variables) environment.push_back(const_cast<char*>(variable.c_str()));
    environment.push_back(nullptr);
    const std::string log = folder_ + "/relay.log";
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("can't fork");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if this case is killed, none of its processes is left
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(output, 1);
      dup2(output, 2);
      if (listener_ >= 0 && listener_ != 5) {
        dup2(listener_, 5);
      } else if (listener_ == 5) {
        fcntl(5, F_SETFD, 0);
      }
      const char* const arguments[] = {"/bin/sh", "-c", "exec build/oxbowspread", nullptr};
      execve("/bin/sh", const_cast<char* const*>(arguments), environment.data());
      _exit(127);
    }
    started_.push_back(pid);
    record_.Line("started process " + std::to_string(pid));
    return pid;
  }
  // Waits until the relay answers PING.
  bool WaitUntilReady(std::chrono::milliseconds limit) const {
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
      const int fd = Connect(port_);
      if (fd >= 0) {
        SendAll(fd, "*1\r\n$4\r\nPING\r\n");
        pollfd entry{fd, POLLIN, 0};
        char answer[64] = {};
        const bool ready = poll(&entry, 1, 300) > 0 && recv(fd, answer, sizeof answer, 0) > 0 &&
                           std::string(answer).rfind("+PONG", 0) == 0;
        close(fd);
        if (ready) return true;
      }
      Sleep(10ms);
    }
    return false;
  }
  void Signal(pid_t pid, int number) {
    record_.Line("signal " + std::to_string(number) + " to process " + std::to_string(pid));
    kill(pid, number);
  }
  // Waits for the end of a process. Returns its wait status, or nothing if it runs on.
  std::optional<int> WaitForExit(pid_t pid, std::chrono::milliseconds limit) {
    const auto until = Clock::now() + limit;
    int status = 0;
    do {
      if (waitpid(pid, &status, WNOHANG) == pid) {
        ended_.insert(pid);
        record_.Line("process " + std::to_string(pid) + " has ended, status " + std::to_string(status));
        return status;
      }
      Sleep(2ms);
    } while (Clock::now() < until);
    return std::nullopt;
  }

 private:
  Record& record_;
  std::string folder_, state_;
  int port_ = 0, listener_ = -1;
  Json config_;
  std::vector<pid_t> started_;
  std::set<pid_t> ended_;
};

// Calls the operators' port and returns the answer.
inline std::string AskOperatorsPort(int port, const std::string& line) {
  const int fd = Connect(port);
  if (fd < 0) return {};
  SendAll(fd, line + "\n");
  pollfd entry{fd, POLLIN, 0};
  char answer[256] = {};
  if (poll(&entry, 1, 1000) > 0 && recv(fd, answer, sizeof answer - 1, 0) <= 0) answer[0] = 0;
  close(fd);
  const std::string text = answer;
  return text.substr(0, text.find('\n'));
}

inline std::string PutCommand(const std::string& id, const std::string& body, int deadline_ms,
                              int destination) {
  const std::string values =
      "c=outbound,d=" + std::to_string(deadline_ms) + ",k=" + id + ",dest=" + std::to_string(destination);
  std::string text = "*5\r\n";
  for (const std::string& word : {std::string("MSG.PUT"), std::string("0000000000000000"), id, values, body})
    text += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return text;
}

// Reads one line of an answer. Empty if none came within the limit or the connection ended.
inline std::string ReadLine(int fd, std::chrono::milliseconds limit) {
  const auto until = Clock::now() + limit;
  std::string line;
  while (Clock::now() < until) {
    pollfd entry{fd, POLLIN, 0};
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
    if (poll(&entry, 1, static_cast<int>(left.count()) + 1) <= 0) continue;
    char byte = 0;
    if (recv(fd, &byte, 1, 0) <= 0) return {};
    if (byte == '\n') return line.substr(0, line.size() - 1);
    line += byte;
  }
  return {};
}

// Hands in one message on a new connection, as a client that waits 400 ms for its answer.
inline std::string HandIn(Record& record, int port, const std::string& id, const std::string& body,
                          int deadline_ms, int destination) {
  const int fd = Connect(port);
  if (fd < 0) return {};
  SendAll(fd, PutCommand(id, body, deadline_ms, destination));
  const std::string answer = ReadLine(fd, 400ms);
  record.Line("message " + id + ": answer '" + answer + "'");
  close(fd);
  return answer;
}

// A temporary folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* const base = std::getenv("TMPDIR");
    path_ = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(path_.data()) == nullptr) throw std::runtime_error("can't make a folder");
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline bool IsTroubled() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Runs a case and ends the process with its result. The first argument is the case's folder.
inline int RunCase(int argc, char** argv, const std::function<int(Record&)>& run) {
  if (argc != 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(argv[1]) + "/record.txt");
  int result = 2;
  try {
    result = run(record);
  } catch (const std::exception& e) {
    record.Line(std::string("the case could not run: ") + e.what());
  }
  record.Line("result " + std::to_string(result) +
              (result == 0   ? ": the rule held"
               : result == 1 ? ": the rule was broken"
                             : ": the case could not run"));
  std::printf("result %d\n", result);
  std::fflush(stdout);
  _exit(result);
}

}  // namespace review
