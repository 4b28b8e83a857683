// Thin drivers: a connection reads into one ring and writes from another; what the bytes mean is its user's.
// Of what is ready in one round of the loop, what has come on connections goes before timers, new clients and
// connections that come up: an answer that is there is taken before its time-out, a list before a call.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/loop.hpp"
#include "proto/ring_buffer.hpp"

namespace oxbowspread::net {

using Address = sockaddr_in;
// "127.0.0.1:80"; nothing if it isn't one.
std::optional<Address> ParseAddress(std::string_view text);
// The reverse of ParseAddress.
std::string AddressText(const Address& address);

class Connection {
 public:
  // Called from the loop only, never from within the connection's own methods.
  class User {
   public:
    virtual ~User() = default;
    virtual void OnConnected() {}
    virtual void OnBytes(proto::RingBuffer& in) = 0;  // consumes what it can
    virtual void OnClosed() = 0;                      // by the other side; Close() is not told
  };

  static constexpr std::size_t kRing = 128 * 1024;

  // Takes over an accepted socket.
  Connection(Loop& loop, int fd, User& user, std::size_t limit = kRing);
  // Starts to connect; nothing when no socket could be had.
  static std::unique_ptr<Connection> Open(Loop& loop, const Address& to, User& user,
                                          std::size_t limit = kRing);
  // The same to a Unix-domain socket; a path that is too long counts as one that nobody listens at.
  static std::unique_ptr<Connection> OpenUnix(Loop& loop, const std::string& path, User& user,
                                              std::size_t limit = kRing);
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Queues and writes at once what the socket takes; false if the connection is gone or the ring is full.
  bool Send(std::string_view bytes);
  // Whether the last byte has been handed to the system.
  bool flushed() const { return out_.empty(); }
  bool connected() const { return fd_ >= 0 && !connecting_; }
  // Whether the other side has ended it, or sent something, unnoticed so far.
  bool Quiet() const;
  // Whether the other side has ended it, though the loop has not told so yet.
  bool Ended() const;
  void Close();
  // Takes at once what has come, as the loop would have: the user may be called. For the moment before
  // something is ended for want of it.
  void ReadNow();
  // Ends it so that what was sent reaches the other side: a close over unread bytes would reset the
  // connection and take that with it. What still comes is left unread. OnClosed follows when the other side
  // has ended it too; whoever calls this calls Close if that takes too long. True if it is under way; false,
  // and nothing done, where not all is written or the connection is gone.
  bool EndSending();
  // What another process needs to go on with it: its descriptor, which stays this one's until Close, what
  // came and was not consumed, and what is still to be written.
  struct Rest {
    int fd = -1;
    std::string in, out;
  };
  Rest rest() const;
  // As another process left it; `in` is offered by Resume.
  void TakeUp(std::string_view in, std::string_view out);
  // Offers again what the user left unread.
  void Resume();
  // Served before other sockets that are ready in the same round of the loop.
  void First();

 private:
  static std::unique_ptr<Connection> Start(Loop& loop, int fd, const sockaddr* to, socklen_t size, User& user,
                                           std::size_t limit);
  void OnIo(ev::io& io, int events);
  void OnWritable();
  void OnReadable();
  void OnReadableAtEnd();
  bool Flush();
  void Watch();
  void Lose();

  Loop& loop_;
  User& user_;
  int fd_;
  bool connecting_ = false;
  bool broken_ = false;
  bool ending_ = false;  // nothing more is sent or read
  bool first_ = false;
  proto::RingBuffer in_, out_;
  ev::io io_;
};

class Listener {
 public:
  using Accepted = std::function<void(int fd)>;
  // Throws std::system_error if the address can't be had.
  Listener(Loop& loop, const Address& address, Accepted accepted);
  // At a Unix-domain socket that only this user may open. A file that a dead process left there is replaced;
  // where somebody still answers, or where no socket stands, it throws and changes nothing.
  Listener(Loop& loop, const std::string& path, Accepted accepted);
  // At a socket that somebody else has bound and listens at, and keeps. Throws std::system_error if it is no
  // such socket.
  Listener(Loop& loop, int fd, Accepted accepted);
  // The same check, without listening.
  static void Check(int fd);
  ~Listener() { Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // As Connection::First.
  void First();
  void Pause() { io_.stop(); }
  // Takes those that have connected already, so many at most: Close would reset them.
  void AcceptWaiting(int most);
  void Resume();
  void Close();

 private:
  void OnIo(ev::io&, int);

  void Start();

  int fd_;
  std::string path_;  // of a Unix-domain socket, removed with it
  int spare_;         // given up for a moment when descriptors run out, to turn a client away
  Accepted accepted_;
  ev::io io_;
};

}  // namespace oxbowspread::net
