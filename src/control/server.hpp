// Answers requests on control connections, and makes them: one answer for each request, in any order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/peer.hpp"

namespace oxbowspread::control {

// Called once, now or later; does nothing when whoever asked has left.
using Answer = std::function<void(Json)>;
// A request carries its asker's "id", which the answer carries again.
using Handler = std::function<void(const Json& request, const Answer& answer)>;

class Server {
 public:
  // At a Unix-domain socket only this user may open. Throws std::system_error.
  Server(net::Loop& loop, const std::string& path, Handler handler);
  // At a TCP address, each connection through a filter; the request gets the other side's proven name as
  // "from". `refused` hears why a connection was turned away. Throws std::system_error.
  Server(net::Loop& loop, const net::Address& address, std::function<std::unique_ptr<Filter>()> filter,
         Handler handler, std::function<void(const std::string& why)> refused);

 private:
  // One that never gets to ask, or asks nothing more, gives its place up.
  static constexpr net::Time kFirstWithin = std::chrono::seconds(3);
  static constexpr std::size_t kMost = 128;
  struct Seat {
    std::unique_ptr<Peer> peer;
    std::unique_ptr<net::Timer> silent;
    bool asked = false;
  };

  void Accept(int fd);
  void Ask(std::uint64_t number, Json request);
  void Leave(std::uint64_t number, const std::string& why);

  net::Loop& loop_;
  std::function<std::unique_ptr<Filter>()> filter_;
  Handler handler_;
  std::function<void(const std::string&)> refused_;
  std::map<std::uint64_t, Seat> seats_;
  std::uint64_t next_ = 1;
  std::shared_ptr<Server*> self_ = std::make_shared<Server*>(this);
  net::Listener listener_;
};

// The asking side: one connection, opened when needed and again after it ended.
class Caller {
 public:
  using Open = std::function<std::unique_ptr<Peer>(Peer::Calls)>;
  // An answer, or nothing and why.
  using Done = std::function<void(const Json* answer, const std::string& why)>;

  Caller(net::Loop& loop, Open open) : loop_(loop), open_(std::move(open)) {}
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // `done` comes once, from the loop, within `limit`, unless this is destroyed before.
  void Call(Json request, net::Time limit, Done done);
  // Ends the connection; what is out fails. The next call opens a new one.
  void Hang(const std::string& why);

 private:
  struct Out {
    Done done;
    std::unique_ptr<net::Timer> late;
  };
  void Finish(std::int64_t id, const Json* answer, const std::string& why);

  net::Loop& loop_;
  Open open_;
  std::unique_ptr<Peer> peer_;
  std::map<std::int64_t, Out> out_;
  std::int64_t next_ = 1;
};

}  // namespace oxbowspread::control
