// Non-blocking stream sockets on the event loop. A connection reads into one ring buffer and writes from
// another; its handler interprets the bytes.
//
// Within one round of the loop, readable connections are served before timers, new clients and connections
// that have just been established: a response that has arrived is handled before its timeout, and an update
// of the routing table before a call that depends on it.
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
// Parses "IPv4:port", such as "127.0.0.1:80". Returns an empty value if the text has another form.
std::optional<Address> ParseAddress(std::string_view text);
// Returns the address in the form that ParseAddress accepts.
std::string FormatAddress(const Address& address);

// One stream socket with its receive and send buffers. Owns the descriptor; the handler must outlive it.
class Connection {
 public:
  // Called from the loop, from ReadNow and from Resume, never from Send or Close.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void OnConnected() {}
    virtual void OnBytes(proto::RingBuffer& received) = 0;  // consumes what it can parse
    virtual void OnClosed() = 0;  // by the peer or a socket error; not called for Close()
  };

  static constexpr std::size_t kBufferBytes = 128 * 1024;

  // Limits of the two buffers, in bytes.
  struct BufferLimits {
    std::size_t receive = kBufferBytes, send = kBufferBytes;
  };

  // Takes ownership of an accepted, non-blocking socket. `buffer_limit` is in bytes, for each direction.
  Connection(Loop& loop, int fd, Handler& handler, std::size_t buffer_limit = kBufferBytes)
      : Connection(loop, fd, handler, BufferLimits{buffer_limit, buffer_limit}) {}
  Connection(Loop& loop, int fd, Handler& handler, const BufferLimits& limits);
  // Starts to connect. Returns null if no socket could be created. Later failures are reported through
  // OnClosed.
  static std::unique_ptr<Connection> Open(Loop& loop, const Address& to, Handler& handler,
                                          std::size_t buffer_limit = kBufferBytes);
  // Does the same for a Unix-domain socket. Also returns null if the path is too long for a socket address.
  static std::unique_ptr<Connection> OpenUnix(Loop& loop, const std::string& path, Handler& handler,
                                              std::size_t buffer_limit = kBufferBytes);
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Queues the bytes and writes as many of them as the socket accepts immediately. Returns false if the
  // connection is closed or fails, or if the send buffer has no room for all of the bytes.
  bool Send(std::string_view bytes);
  // Returns whether all queued bytes have been passed to the kernel.
  bool flushed() const { return out_.empty(); }
  bool connected() const { return fd_ >= 0 && !connecting_; }
  // Returns whether the connection is open and the kernel has neither unread bytes nor an end of stream for
  // it.
  bool IsIdle() const;
  // Number of received bytes that the handler has not consumed, and of bytes in the kernel that were not
  // read.
  std::size_t buffered_bytes() const { return in_.size(); }
  std::size_t unread_bytes() const;
  // Returns whether the peer has closed the connection, even if the loop has not reported that yet.
  bool ClosedByPeer() const;
  void Close();
  // Reads the bytes that have arrived without waiting for the loop. May call the handler. Used immediately
  // before an operation is timed out or cancelled, in case its response has already arrived.
  void ReadNow();
  // Closes only the sending direction, so that all sent bytes reach the peer: closing a socket that has
  // unread bytes would reset the connection and discard data in transit. Bytes received afterwards are not
  // read. OnClosed follows once the peer has closed its direction too; the caller must call Close if that
  // takes too long. Returns false and does nothing if bytes are still to be written or the connection is
  // closed.
  bool ShutdownSending();
  // The state that another process needs to continue the connection: the descriptor, which stays owned by
  // this object until Close, the received bytes that were not consumed, and the bytes that are still to be
  // written.
  struct HandoverState {
    int fd = -1;
    std::string received, unsent;
  };
  HandoverState handover_state() const;
  // Fills the buffers from the HandoverState of another process. Resume passes `received` to the handler.
  void Restore(std::string_view received, std::string_view unsent);
  // Passes the bytes that the handler has not consumed to it again.
  void Resume();
  // Makes the loop serve this connection before all other sockets that are ready in the same round.
  void Prioritize();

 private:
  static std::unique_ptr<Connection> Start(Loop& loop, int fd, const sockaddr* to, socklen_t size,
                                           Handler& handler, std::size_t buffer_limit);
  void OnIo(ev::io& io, int events);
  void OnWritable();
  void OnReadable();
  void OnReadableAfterShutdown();
  bool Flush();
  void UpdateWatcher();
  void CloseAndNotify();

  Loop& loop_;
  Handler& handler_;
  int fd_;
  bool connecting_ = false;
  bool broken_ = false;         // a socket operation failed; the loop will report it through OnClosed
  bool send_shutdown_ = false;  // ShutdownSending was called: nothing more is sent or read
  bool prioritized_ = false;
  proto::RingBuffer in_, out_;
  ev::io io_;
};

// Listening socket that passes each accepted descriptor to a callback, which takes ownership of it.
class Listener {
 public:
  using AcceptHandler = std::function<void(int fd)>;
  // Throws std::system_error if the address can't be bound.
  Listener(Loop& loop, const Address& address, AcceptHandler accept_handler);
  // Listens on a Unix-domain socket that only this user may open. A socket file left by a dead process is
  // replaced. If another process still accepts connections there, or the file is not a socket, throws
  // std::system_error and changes nothing.
  Listener(Loop& loop, const std::string& path, AcceptHandler accept_handler);
  // Listens on a duplicate of a listening socket; the caller keeps `fd`. Throws std::system_error if `fd` is
  // not a listening socket.
  Listener(Loop& loop, int fd, AcceptHandler accept_handler);
  // Throws std::system_error if `fd` is not a listening socket.
  static void CheckListening(int fd);
  ~Listener() { Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Makes the loop serve this listener before all other sockets, like Connection::Prioritize.
  void Prioritize();
  void Pause() { io_.stop(); }
  // Accepts up to `max_count` clients that have already connected, because Close would reset them.
  void AcceptPending(int max_count);
  void Resume();
  void Close();

 private:
  void OnIo(ev::io&, int);

  void Start();

  int fd_;
  std::string path_;  // of a Unix-domain socket; the file is removed by Close
  int spare_fd_;      // closed temporarily when descriptors run out, to accept and close a waiting client
  AcceptHandler accept_handler_;
  ev::io io_;
};

}  // namespace oxbowspread::net
