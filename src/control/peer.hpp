// One end of a control connection. It exchanges frames over a stream, encrypted by a TLS filter on untrusted
// networks.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/frame.hpp"
#include "net/connection.hpp"

namespace oxbowspread::control {

// Translates between the bytes on the wire and those of the frames, for example by TLS. No I/O.
class Filter {
 public:
  virtual ~Filter() = default;
  // Returns the bytes to send before anything else.
  virtual std::string Begin() = 0;
  // Consumes all of `wire`. Appends decoded bytes to `plain` and bytes that must be sent back to `reply`.
  // Returns false if the connection must be closed after sending `reply`; error() is then the reason.
  virtual bool Feed(std::string_view wire, std::string* plain, std::string* reply) = 0;
  // Whether the handshake is complete, with both sides authenticated. Seal() may be called only then.
  virtual bool open() const = 0;
  // Returns the wire bytes for `plain`.
  virtual std::string Seal(std::string_view plain) = 0;
  // The authenticated name of the other side; empty until open().
  virtual std::string peer() const = 0;
  virtual std::string error() const = 0;
};

// A control connection that sends and receives JSON objects. All callbacks are called by the loop.
class Peer final : public net::Connection::Handler {
 public:
  struct Callbacks {
    std::function<void(Json)> on_frame;
    // Called once, and not after Close(). `reason` is empty if the other side closed the connection normally.
    std::function<void(const std::string& reason)> on_closed;
  };

  // Uses an accepted connection and owns its descriptor. `filter` may be null; frames that are sent before it
  // is open are queued.
  Peer(net::Loop& loop, int fd, std::unique_ptr<Filter> filter, Callbacks callbacks);
  // Connect to an address or to a Unix-domain socket. Return null if the attempt fails at once; a later
  // failure is reported by `on_closed`.
  static std::unique_ptr<Peer> ConnectTcp(net::Loop& loop, const net::Address& address,
                                          std::unique_ptr<Filter> filter, Callbacks callbacks);
  static std::unique_ptr<Peer> ConnectUnix(net::Loop& loop, const std::string& path, Callbacks callbacks);

  void Send(const Json& object);
  void Close();
  // The name in the other side's certificate; empty without a filter or until it is open.
  std::string name() const { return filter_ && filter_->open() ? filter_->peer() : std::string(); }

 private:
  Peer(std::unique_ptr<Filter> filter, Callbacks callbacks)
      : filter_(std::move(filter)), callbacks_(std::move(callbacks)) {}
  void OnConnected() override;
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override { Fail({}); }
  void Flush();
  void Fail(const std::string& reason);

  std::unique_ptr<Filter> filter_;
  Callbacks callbacks_;
  FrameReader reader_;
  std::string unsent_;  // frames that wait until the filter is open
  bool closed_ = false;
  std::unique_ptr<net::Connection> connection_;
};

}  // namespace oxbowspread::control
