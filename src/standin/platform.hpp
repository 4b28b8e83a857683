// Stands in for the servers that relays call: discovery with its watch, the receiver of notices, and
// endpoints that answer after a delay. Uses loopback addresses only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.hpp"
#include "standin/message_tracker.hpp"
#include "standin/request.hpp"

namespace oxbowspread::standin {

// An HTTP/1.1 server on one loopback port. Its owner answers each request at once or later.
class HttpServer {
 public:
  using Handler = std::function<void(std::uint64_t connection, const Request& request)>;
  using ClosedHandler = std::function<void(std::uint64_t connection)>;

  // Port 0: any. `on_closed` is called for connections that the peer closed. Throws std::system_error.
  HttpServer(net::Loop& loop, int port, Handler handler, ClosedHandler on_closed = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  int port() const { return port_; }
  // Returns false if the connection is closed.
  bool Write(std::uint64_t connection, const std::string& bytes);
  // Closes the connection without a call to `on_closed`.
  void Close(std::uint64_t connection) { Remove(connection); }
  // Whether the peer has closed the connection, even if `on_closed` has not been called yet.
  bool IsClosed(std::uint64_t connection) const;
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  void Remove(std::uint64_t number);

  net::Loop& loop_;
  Handler handler_;
  ClosedHandler on_closed_;
  int port_ = 0;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
  std::unique_ptr<net::Listener> listener_;
};

// Formats a complete response. `status` is, for example, "200 OK"; each line of `headers` includes its line
// end.
std::string FormatResponse(const char* status, const std::string& body = {}, const std::string& headers = {});
// Formats one chunk of a response with chunked transfer encoding.
std::string FormatChunk(const std::string& text);

// Times are in microseconds; port 0: any.
struct PlatformOptions {
  int discovery_port = 0;
  int hosts = 4;  // half of them in each of two zones, all of destination 7
  net::Time latency{20'000};
  net::Time latency_spread{20'000};  // added at random, up to this
  std::uint64_t seed = 1;
};

// The servers of the platform. Deliveries and notices are recorded in the tracker.
class StubPlatform {
 public:
  // Loop and tracker must outlive it. Throws std::system_error if a port is not available.
  StubPlatform(net::Loop& loop, MessageTracker& tracker, const PlatformOptions& options);
  int discovery_port() const { return discovery_.port(); }
  // While true the hosts answer 503 to every call.
  void SetDown(bool down) { down_ = down; }

 private:
  struct PendingCall {
    std::size_t host;
    std::uint64_t connection;
    Request request;
  };
  void OnDiscovery(std::uint64_t connection, const Request& request);
  void OnCall(std::size_t host, std::uint64_t connection, const Request& request);
  void AnswerDueCalls();
  void SendHeartbeats();
  std::string ListJson() const;

  net::Loop& loop_;
  MessageTracker& tracker_;
  PlatformOptions options_;
  std::uint64_t random_state_;
  bool down_ = false;
  HttpServer discovery_;
  std::vector<std::unique_ptr<HttpServer>> hosts_;
  std::vector<std::uint64_t> watches_;  // connections to discovery with an open watch
  std::multimap<net::Time, PendingCall> pending_calls_;
  net::Timer answer_timer_, heartbeat_timer_;
};

}  // namespace oxbowspread::standin
