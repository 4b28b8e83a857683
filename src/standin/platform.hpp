// Stand-ins for what the relays call: discovery with its watch, the platform's notices, and endpoints that
// answer after a while. Loopback only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.hpp"
#include "standin/ledger.hpp"
#include "standin/request.hpp"

namespace oxbowspread::standin {

// A server of HTTP/1.1 on one loopback port, its answers given now or later.
class HttpServer {
 public:
  using Handler = std::function<void(std::uint64_t connection, const Request& request)>;
  using Gone = std::function<void(std::uint64_t connection)>;

  // Port 0: any. `gone` is told of connections that the other side ended. Throws std::system_error.
  HttpServer(net::Loop& loop, int port, Handler handler, Gone gone = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  int port() const { return port_; }
  // False if the connection has gone.
  bool Write(std::uint64_t connection, const std::string& bytes);
  // Ends it; `gone` is not told.
  void Close(std::uint64_t connection) { Leave(connection); }
  // Whether the other side has ended it, though `gone` has not been told so yet.
  bool Ended(std::uint64_t connection) const;
  std::size_t connections() const { return seats_.size(); }

 private:
  class Seat;
  void Leave(std::uint64_t number);

  net::Loop& loop_;
  Handler handler_;
  Gone gone_;
  int port_ = 0;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Seat>> seats_;
  std::unique_ptr<net::Listener> listener_;
};

// A whole answer; `status` as in "200 OK", each line of `headers` with its end.
std::string Answer(const char* status, const std::string& body = {}, const std::string& headers = {});
// One chunk of an answer that stays open.
std::string Chunk(const std::string& text);

// Spans in microseconds; port 0: any.
struct PlatformOptions {
  int discovery_port = 0;
  int hosts = 4;  // half in each of two rooms, all of destination 7
  net::Time latency{20'000};
  net::Time latency_spread{20'000};
  std::uint64_t seed = 1;
};

class Platform {
 public:
  // Loop and ledger must outlive it. Throws std::system_error where a port can't be had.
  Platform(net::Loop& loop, Ledger& ledger, const PlatformOptions& options);
  int discovery_port() const { return discovery_.port(); }
  // While true the hosts answer 503 to everything.
  void SetDown(bool down) { down_ = down; }

 private:
  struct Due {
    std::size_t host;
    std::uint64_t connection;
    Request request;
  };
  void OnDiscovery(std::uint64_t connection, const Request& request);
  void OnCall(std::size_t host, std::uint64_t connection, const Request& request);
  void AnswerDue();
  void Beat();
  std::string List() const;

  net::Loop& loop_;
  Ledger& ledger_;
  PlatformOptions options_;
  std::uint64_t dice_;
  bool down_ = false;
  HttpServer discovery_;
  std::vector<std::unique_ptr<HttpServer>> hosts_;
  std::vector<std::uint64_t> watches_;
  std::multimap<net::Time, Due> due_;
  net::Timer answer_, beat_;
};

}  // namespace oxbowspread::standin
