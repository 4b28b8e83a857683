// Test harness that runs the relay as a child process. The test itself provides the relay's clients,
// endpoints and discovery service, on ephemeral loopback ports. It uses one thread and no sleeps: every wait
// is for an event, up to a time limit.
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
  Socket Accept(std::chrono::milliseconds limit) const;  // fd() of the result is -1 if nobody connected
  int fd() const { return fd_; }
  int port() const;
  void Close();
  // Sets the size in bytes of the receive buffer of all connections that this listener accepts.
  void SetReceiveBufferSize(int buffer_bytes) const;
  // Sets the maximum TCP segment size in bytes, which limits the number of bytes in flight.
  void SetMaxSegmentSize(int max_bytes) const;
  void Reset();  // closes the connection with a TCP reset
  void Send(const std::string& bytes) const;
  bool IsClosed() const;               // whether either side has closed it
  void WaitUntilAcknowledged() const;  // waits until the peer's kernel has received all sent bytes
  // Waits up to the limit and returns the received bytes; empty if there were none. Sets *ended if the peer
  // has closed the connection, and *error to the errno of a failed read, or to 0.
  std::string Receive(std::chrono::milliseconds limit, bool* ended = nullptr, int* error = nullptr) const;

 private:
  int fd_ = -1;
};

// A request that a stub endpoint or the stub discovery service received.
struct HttpRequest {
  std::string line;                            // the request line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  Socket* connection = nullptr;  // on which it arrived and is answered

  // The id of the message; empty if the request has none.
  std::string id() const { return headers.count("x-request-id") ? headers.at("x-request-id") : ""; }
};

// Stubs of everything that the relay connects to: endpoints by host id, and the discovery service. The test
// answers the calls to endpoints. The stub discovery answers watch requests with its list and then pushes
// changes on the same response.
class StubServices {
 public:
  StubServices();

  // Adds a host of that destination, listed as Ready. A `receive_buffer` of 0 bytes stands for the system's
  // default.
  void AddHost(const std::string& id, int destination, const std::string& zone = "north-room",
               int receive_buffer = 0);
  void SetState(const std::string& id, const std::string& state);  // also pushes the change to open watches
  // Changes the list without pushing the change.
  void SetStateWithoutPush(const std::string& id, const std::string& state);
  void PushChunk(const std::string& text);        // sends the text to the open watches as one HTTP chunk
  void CloseWatches();                            // closes the connections of the open watches
  void WaitUntilPushesDelivered() const;          // waits until the relay's kernel has all pushed bytes
  void PushChange(const nlohmann::json& change);  // to open watches; does not change the list
  void SetPort(const std::string& id, int port);  // lists the host at this port
  void StopHost(const std::string& id);           // refuses connections from now on
  nlohmann::json ListEntry(const std::string& id) const { return hosts_.at(id); }
  nlohmann::json List() const;
  int discovery_port() const { return discovery_.port(); }
  // Moves discovery to a new port. The old port accepts no more connections, and its open watches receive
  // nothing except by PushChangeToOldAddress.
  void MoveDiscovery();
  // Ends discovery: resets its connections and refuses new ones.
  void CloseDiscovery();
  // Pushes a change to the watches at previous addresses of discovery.
  void PushChangeToOldAddress(const nlohmann::json& change);

  // Waits for the next call to any host and returns it. Fails the test if none arrives within the limit.
  HttpRequest NextCall(std::chrono::milliseconds limit = 5s);
  // Whether a call arrives within the limit. The next NextCall returns that call.
  bool CallArrivesWithin(std::chrono::milliseconds limit);
  // Answers a call with that status code and reason, and with header lines that each end in CRLF.
  void Answer(const HttpRequest& call, const std::string& status, const std::string& headers = "");
  std::string HostOf(const HttpRequest& call) const { return host_of_.at(call.connection); }
  int connections_to_hosts() const { return host_connections_; }
  // The id of the host to which the relay connected last.
  const std::string& last_connected_host() const { return last_connected_host_; }

  // Serves until the condition is true. Fails the test if that takes longer than the limit.
  void WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit = 8s);
  // Serves the events of one poll, which waits up to the limit, but no longer than 100 ms.
  void ServeFor(std::chrono::milliseconds limit) { ServeOnce(limit); }
  // Waits for the notice about that message and returns it.
  nlohmann::json WaitForNotice(const std::string& id);

  std::map<std::string, nlohmann::json> notices;  // by message id
  int notice_status = 204;                        // the answer to posted notices
  int notices_refused = 0;                        // requests with notices that were not answered with 204
  int notices_at_old_address = 0;                 // requests with notices to a previous address of discovery
  int watch_requests = 0;                         // watch requests received
  int open_watches() const;                       // watches that were answered and have not ended
  bool discovery_heartbeats = true;
  bool discovery_silent = false;                         // reads requests and never answers them
  bool discovery_refuses = false;                        // answers each watch request with 503
  std::chrono::milliseconds discovery_refusal_delay{0};  // time between the request and the 503
  bool discovery_accepts = true;  // false: connections stay in the listen backlog and are not accepted
  bool discovery_sends_only_heartbeats = false;  // answers 200, then empty lines and never a list
  bool discovery_ends_watches = false;           // ends each watch after its first list
  // If not 0, discovery answers watch requests one by one and takes this time for each, also for requests
  // whose connection has been closed.
  std::chrono::milliseconds discovery_time_per_request{0};

 private:
  // A connection of the relay to a stub.
  struct Peer {
    Socket socket;
    std::string host;             // the stub endpoint's id; empty for discovery
    std::string bytes;            // received and not yet parsed
    bool watch = false;           // an answered watch request that has not ended
    bool at_old_address = false;  // connected to a previous address of discovery
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

// One relay process with its temporary folder. The destructor kills the process and removes the folder. The
// process's log is kept in memory.
class RelayProcess {
 public:
  explicit RelayProcess(StubServices& stubs);
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  std::string program = OXBOWSPREAD;
  nlohmann::json config;  // written to the configuration file by Spawn
  std::map<std::string, std::string> environment;
  std::vector<std::string> arguments;
  std::function<void()> in_child;  // called in the child after the fork, for example for setrlimit

  void Start();  // starts the program and returns when it answers PING
  void Signal(int number) const;
  // Sends SIGSTOP and waits until the process is suspended. After Resume the process finds everything that
  // has arrived meanwhile at once.
  void Suspend();
  void WaitUntilSuspended();
  void Resume() const { Signal(SIGCONT); }
  void Reload(const std::string& text) const;  // replaces the configuration file and sends SIGHUP
  int WaitForExit();                           // returns the exit code, or minus the signal number
  // Records that the process has exited with that waitpid() status. Returns the same as WaitForExit.
  int MarkExited(int status);
  // Runs a program that is expected to exit soon, for example because it can't start. Sets *code to its exit
  // code and returns its output.
  std::string RunToExit(int* code);
  // The listening socket for clients, which the process inherits as descriptor 5. If null, the process opens
  // one itself.
  const Socket* inherited_listener = nullptr;
  int port() const { return inherited_listener != nullptr ? inherited_listener->port() : port_; }
  void Spawn();  // starts the program without waiting for it
  void WaitForLog(const std::string& text);
  // Uses the state folder of another process.
  void UseStateFolder(const std::string& state) { state_ = state; }
  const std::string& state() const { return state_; }
  const std::string& folder() const { return folder_; }
  pid_t pid() const { return pid_; }
  const std::string& log();  // the standard output and standard error so far
  long DrainMs();            // after the exit: the logged time from SIGTERM to its last drain check, in ms

 private:
  StubServices& stubs_;
  std::string folder_, state_, log_;
  Socket port_reservation_;  // bound without listening, so that no other process gets the port
  int output_fd_ = -1;       // read end of the pipe for the process's output
  int port_ = 0;
  pid_t pid_ = -1;
};

// A client connection to a relay.
class Client {
 public:
  explicit Client(const RelayProcess& relay) : socket_(Socket::Connect(relay.port())) {}
  // Returns the bytes of a MSG.PUT command. `attributes` is appended to the attributes for class and
  // deadline.
  static std::string PutCommand(const std::string& id, const std::string& body, int deadline_ms,
                                const std::string& attributes, const std::string& class_name = "outbound");
  // Sends a MSG.PUT command.
  void Put(const std::string& id, const std::string& body = "hello", int deadline_ms = 8000,
           const std::string& attributes = ",k=key1,dest=7") const;
  // Returns the next line of an answer; empty if the connection was closed or no line arrived within 5 s.
  std::string ReadLine();
  // Whether the connection was reset, which happens if the relay closes it with unread bytes. A real client
  // then sends its message again.
  bool was_reset() const { return error_ != 0; }
  // Reads a line. Returns whether it answers MSG.PUT with +OK or -BUSY, or the connection was reset without
  // an answer.
  bool AnsweredOrReset();
  // Sends a command and returns the first line of its answer.
  std::string Ask(const std::string& command);
  // Sends INFO and returns the relay's counters by name.
  std::map<std::string, long> Counters();
  Socket& socket() { return socket_; }

 private:
  Socket socket_;
  std::string bytes_;
  int error_ = 0;
};

}  // namespace oxbowspread::testing
