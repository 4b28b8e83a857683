// Server and client of the control protocol. Each request gets one answer; the answers may come in any order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/peer.hpp"

namespace oxbowspread::control {

// Sends the answer to a request. To be called once, by the handler or later. Does nothing if the client has
// disconnected.
using Answer = std::function<void(Json)>;
// Handles a request. The request's "id" is copied into the answer by the server.
using Handler = std::function<void(const Json& request, const Answer& answer)>;

// Listens for control connections and passes their requests to a handler.
class Server {
 public:
  // Listens on a Unix-domain socket that only this user may open. Throws std::system_error.
  Server(net::Loop& loop, const std::string& path, Handler handler);
  // Listens on a TCP address. `filter` creates the filter of each connection. The server sets "from" in each
  // request to the client's authenticated name. `on_refused` is called with the reason when a connection is
  // closed because of an error or a timeout. Throws std::system_error.
  Server(net::Loop& loop, const net::Address& address, std::function<std::unique_ptr<Filter>()> filter,
         Handler handler, std::function<void(const std::string& reason)> on_refused);

 private:
  // A connection that sends no request within this time is closed, so that it doesn't hold a descriptor.
  static constexpr net::Time kFirstRequestTimeout = std::chrono::seconds(3);
  static constexpr std::size_t kMaxSessions = 128;
  struct Session {
    std::unique_ptr<Peer> peer;
    std::unique_ptr<net::Timer> first_request_timer;
  };

  void Accept(int fd);
  void HandleRequest(std::uint64_t session_id, Json request);
  void EndSession(std::uint64_t session_id, const std::string& reason);

  net::Loop& loop_;
  std::function<std::unique_ptr<Filter>()> filter_;
  Handler handler_;
  std::function<void(const std::string&)> on_refused_;
  std::map<std::uint64_t, Session> sessions_;
  std::uint64_t next_session_id_ = 1;
  std::shared_ptr<Server*> self_ = std::make_shared<Server*>(this);
  net::Listener listener_;
};

// The client side. It has one connection, which is opened by the first call, and by the next call after the
// connection was closed.
class Caller {
 public:
  using Connector = std::function<std::unique_ptr<Peer>(Peer::Callbacks)>;
  // Called with the answer, or with null and the reason of the failure.
  using Done = std::function<void(const Json* answer, const std::string& reason)>;

  Caller(net::Loop& loop, Connector connector) : loop_(loop), connector_(std::move(connector)) {}
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Sends a request. The loop calls `done` once within `timeout`, unless the caller is destroyed before.
  void Call(Json request, net::Time timeout, Done done);
  // Closes the connection and fails all pending calls with `reason`. The next call opens a new connection.
  void Disconnect(const std::string& reason);

 private:
  struct PendingCall {
    Done done;
    std::unique_ptr<net::Timer> timeout;
  };
  void Complete(std::int64_t id, const Json* answer, const std::string& reason);

  net::Loop& loop_;
  Connector connector_;
  std::unique_ptr<Peer> peer_;
  std::map<std::int64_t, PendingCall> pending_;
  std::int64_t next_call_id_ = 1;
};

}  // namespace oxbowspread::control
