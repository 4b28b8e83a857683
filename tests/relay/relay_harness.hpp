// Runs the relay as a process, with the test as its clients, endpoints and discovery service on ephemeral
// loopback ports. One thread and no sleeps: every wait is for an event, up to a time limit.
#pragma once

#include <signal.h>
#include <sys/types.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace oxbowspread::testing {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

// A TCP socket over loopback that closes itself.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  static Socket Listen(int backlog = 64);
  static Socket Connect(int port);
  Socket Accept(std::chrono::milliseconds limit) const;  // fd() is -1 if nobody connected
  int fd() const { return fd_; }
  int port() const;
  void Close();
  void SetReceiveBufferSize(int receive_buffer) const;  // in bytes; of connections that it accepts
  void SetMaxSegmentSize(int max_bytes) const;          // in bytes; limits what is in flight
  void Reset();                                         // closes the connection with a TCP reset
  void Send(const std::string& bytes) const;
  bool IsClosed() const;               // whether either side has closed it
  void WaitUntilAcknowledged() const;  // until the peer's kernel has all sent bytes
  // Returns the bytes received within the limit; empty if there were none. Sets *ended if the other side
  // closed the connection, and *error to the errno of a failed read, or 0.
  std::string Receive(std::chrono::milliseconds limit, bool* ended = nullptr, int* error = nullptr) const;

 private:
  int fd_ = -1;
};

// A request that a stub endpoint or stub discovery received.
struct HttpRequest {
  std::string line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  Socket* from = nullptr;

  std::string id() const { return headers.count("x-request-id") ? headers.at("x-request-id") : ""; }
};

// Stubs of everything that the relay connects to: endpoints by host id, and the discovery service. Calls to
// endpoints wait until the test answers them. Discovery answers watch requests with its list and then pushes
// changes on the same response.
class StubServices {
 public:
  StubServices();

  // Adds a host of destination `cell`, listed as Ready.
  void AddHost(const std::string& id, int cell, const std::string& zone = "north-room",
               int receive_buffer = 0);
  void SetState(const std::string& id, const std::string& state);  // also pushes the change to open watches
  // Changes the list without pushing the change.
  void SetStateWithoutPush(const std::string& id, const std::string& state);
  void PushChunk(const std::string& text);        // as one chunk, to open watches
  void CloseWatches();                            // closes their connections
  void WaitUntilPushesDelivered() const;          // until the relay's kernel has all pushed bytes
  void PushChange(const nlohmann::json& change);  // to open watches; the list stays
  void SetPort(const std::string& id, int port);  // lists the host at this port
  void StopHost(const std::string& id);           // refuses connections from now on
  nlohmann::json ListEntry(const std::string& id) const { return hosts_.at(id); }
  nlohmann::json List() const;
  int discovery_port() const { return discovery_.port(); }
  // Moves discovery to a new port. The old port accepts nothing more, and its open watches receive nothing
  // more.
  void MoveDiscovery();
  // Ends discovery: resets its connections and refuses new ones.
  void CloseDiscovery();
  // Pushes a change to the watches at addresses that discovery has left.
  void PushChangeToOldAddress(const nlohmann::json& change);

  // Waits for the next call to any host; fails the test if none arrives in time.
  HttpRequest NextCall(std::chrono::milliseconds limit = 5s);
  // Whether a call arrives within the limit. NextCall still returns it.
  bool CallArrivesWithin(std::chrono::milliseconds limit);
  void Answer(const HttpRequest& call, const std::string& status, const std::string& headers = "");
  std::string HostOf(const HttpRequest& call) const { return host_of_.at(call.from); }
  int connections_to_hosts() const { return host_connections_; }
  // The host to which the relay connected last.
  const std::string& last_connected_host() const { return last_connected_host_; }

  // Serves until the condition holds, or fails the test.
  void WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit = 8s);
  // Serves the events of one poll, which waits up to the limit.
  void ServeFor(std::chrono::milliseconds limit) { ServeOnce(limit); }
  nlohmann::json WaitForNotice(const std::string& id);

  std::map<std::string, nlohmann::json> notices;  // by message id
  int notice_status = 204;                        // the answer to posted notices
  int notices_refused = 0;
  int notices_at_old_address = 0;  // posted to an address that discovery has left
  int watch_requests = 0;          // watch requests received
  int open_watches() const;        // watches that were answered and have not ended
  bool discovery_heartbeats = true;
  bool discovery_silent = false;                         // reads requests and never answers them
  bool discovery_refuses = false;                        // answers each watch request with 503
  std::chrono::milliseconds discovery_refusal_delay{0};  // time between the request and the 503
  bool discovery_accepts = true;                 // false: connections are established but never accepted
  bool discovery_sends_only_heartbeats = false;  // answers 200, then empty lines and never a list
  bool discovery_ends_watches = false;           // ends each watch after its first list
  std::chrono::milliseconds discovery_time_per_request{0};  // answers requests one by one, abandoned ones too

 private:
  struct Peer {
    Socket socket;
    std::string host;   // the stub endpoint's id; empty: discovery
    std::string bytes;  // received and not yet parsed
    bool watch = false;
    bool at_old_address = false;  // at an address that discovery has left
  };

  void ServeOnce(std::chrono::milliseconds limit);
  bool ReadRequest(Peer& peer);
  void HandleDiscoveryRequest(Peer& peer, const HttpRequest& request);
  void AnswerWatch(Peer& peer);
  void AnswerQueuedWatches();
  void SendDueRefusals();
  static void SendChunk(const Socket& socket, const std::string& text);

  Socket discovery_;
  std::map<std::string, Socket> listeners_;
  std::list<Peer> peers_;
  std::list<Socket> closed_sockets_;  // kept, so that `from` of a call stays valid
  std::map<const Socket*, std::string> host_of_;
  std::vector<HttpRequest> calls_;
  std::list<Peer*> queued_watches_;                          // watch requests that wait for their answer
  std::list<std::pair<Clock::time_point, Peer*>> refusals_;  // 503 answers by the time when they are due
  Clock::time_point next_answer_at_ = Clock::now();
  std::map<std::string, nlohmann::json> hosts_;
  Clock::time_point last_heartbeat_at_ = Clock::now();
  int version_ = 1;
  int host_connections_ = 0;
  std::string last_connected_host_;
};

// One relay process with its folders, which are removed with this object. Its log is kept in memory.
class RelayProcess {
 public:
  explicit RelayProcess(StubServices& stubs);
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  nlohmann::json config;  // written to the configuration file by Spawn
  std::map<std::string, std::string> environment;
  std::vector<std::string> arguments;
  std::function<void()> in_child;  // called after the fork, such as for setrlimit

  void Start();  // returns once it answers PING
  void Signal(int number) const;
  // Sends SIGSTOP and waits until the process is suspended. On SIGCONT it finds all that arrived meanwhile at
  // once.
  void Suspend();
  void WaitUntilSuspended();
  void Resume() const { Signal(SIGCONT); }
  void Reload(const std::string& text) const;  // replaces the configuration file and sends SIGHUP
  int WaitForExit();                           // returns the exit code, or minus the signal number
  int MarkExited(int status);                  // the same, for a status from the test's own waitpid()
  std::string RunToExit(int* code);            // for one that can't start; returns its output
  // The listening socket for clients, which the process inherits as descriptor 5; null: it opens its own.
  const Socket* inherited_listener = nullptr;
  int port() const { return inherited_listener != nullptr ? inherited_listener->port() : port_; }
  void Spawn();  // starts the program without waiting for it
  void WaitForLog(const std::string& text);
  void UseStateFolder(const std::string& state) { state_ = state; }  // that of another process
  const std::string& state() const { return state_; }
  const std::string& folder() const { return folder_; }
  pid_t pid() const { return pid_; }
  const std::string& log();  // all output so far, of standard output and error
  long DrainMs();            // after the exit: milliseconds from SIGTERM to its last check

 private:
  StubServices& stubs_;
  std::string folder_, state_, log_;
  Socket port_reservation_;  // bound without listening, so that nobody else gets the port
  int output_fd_ = -1;       // read end of the pipe for the process's output
  int port_ = 0;
  pid_t pid_ = -1;
};

// A client connection to a relay.
class Client {
 public:
  explicit Client(const RelayProcess& relay) : socket_(Socket::Connect(relay.port())) {}
  // Returns the bytes of a MSG.PUT command; `ms` is the message's deadline.
  static std::string PutCommand(const std::string& id, const std::string& body, int ms,
                                const std::string& values);
  // Sends MSG.PUT; `values` is appended to the attributes for class and deadline.
  void Put(const std::string& id, const std::string& body = "hello", int ms = 8000,
           const std::string& values = ",k=key1,dest=7") const;
  std::string ReadLine();  // the next line of an answer; empty if the connection was closed
  // Whether the relay closed the connection with unread bytes, which resets it; the client then sends them
  // again.
  bool was_reset() const { return error_ != 0; }
  // Whether the next line answers MSG.PUT with +OK or -BUSY, or the connection was reset without an answer.
  bool AnsweredOrReset();
  // Sends a command and returns the first line of its answer.
  std::string Ask(const std::string& command);
  // The counters that INFO returns, by name.
  std::map<std::string, long> Counters();
  Socket& socket() { return socket_; }

 private:
  std::string Bytes(std::size_t count);

  Socket socket_;
  std::string bytes_;
  int error_ = 0;
};

}  // namespace oxbowspread::testing
