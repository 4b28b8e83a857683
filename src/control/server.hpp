// Server and client of the control protocol: one answer for each request, in any order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/peer.hpp"

namespace oxbowspread::control {

// Sends the answer to a request. Called once, during the handler or later. Does nothing if the client has
// disconnected.
using Answer = std::function<void(Json)>;
// Handles a request. The request's "id" is copied into the answer by the server.
using Handler = std::function<void(const Json& request, const Answer& answer)>;

// Listens for control connections and passes their requests to a handler.
class Server {
 public:
  // Listens at a Unix-domain socket that only this user may open. Throws std::system_error.
  Server(net::Loop& loop, const std::string& path, Handler handler);
  // Listens at a TCP address. Each connection gets a filter of its own, and each request gets the client's
  // authenticated name as "from". `on_refused` is called with the reason when a connection is closed for an
  // error or a timeout. Throws std::system_error.
  Server(net::Loop& loop, const net::Address& address, std::function<std::unique_ptr<Filter>()> filter,
         Handler handler, std::function<void(const std::string& why)> on_refused);

 private:
  // A connection that sends no request within this time is closed, so that it doesn't hold a descriptor.
  static constexpr net::Time kFirstRequestTimeout = std::chrono::seconds(3);
  static constexpr std::size_t kMaxSessions = 128;
  struct Session {
    std::unique_ptr<Peer> peer;
    std::unique_ptr<net::Timer> first_request_timer;
    bool has_requested = false;
  };

  void Accept(int fd);
  void HandleRequest(std::uint64_t session_id, Json request);
  void EndSession(std::uint64_t session_id, const std::string& why);

  net::Loop& loop_;
  std::function<std::unique_ptr<Filter>()> filter_;
  Handler handler_;
  std::function<void(const std::string&)> on_refused_;
  std::map<std::uint64_t, Session> sessions_;
  std::uint64_t next_session_id_ = 1;
  std::shared_ptr<Server*> self_ = std::make_shared<Server*>(this);
  net::Listener listener_;
};

// Client side: one connection, opened by the first call and again by the next call after it has ended.
class Caller {
 public:
  using Connector = std::function<std::unique_ptr<Peer>(Peer::Callbacks)>;
  // Gets the answer, or null and the reason of the failure.
  using Done = std::function<void(const Json* answer, const std::string& why)>;

  Caller(net::Loop& loop, Connector connector) : loop_(loop), connector_(std::move(connector)) {}
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Sends a request. `done` is called once, from the loop, within `limit`; never after this is destroyed.
  void Call(Json request, net::Time limit, Done done);
  // Closes the connection and fails all pending calls with `why`. The next call opens a new connection.
  void Disconnect(const std::string& why);

 private:
  struct PendingCall {
    Done done;
    std::unique_ptr<net::Timer> timeout;
  };
  void Complete(std::int64_t id, const Json* answer, const std::string& why);

  net::Loop& loop_;
  Connector connector_;
  std::unique_ptr<Peer> peer_;
  std::map<std::int64_t, PendingCall> pending_;
  std::int64_t next_call_id_ = 1;
};

}  // namespace oxbowspread::control
