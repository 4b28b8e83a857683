// One side of a control connection: frames over a stream, through a filter where the stream is not trusted.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/frame.hpp"
#include "net/connection.hpp"

namespace oxbowspread::control {

// What stands between the bytes on the wire and those of the frames, such as TLS. Fed bytes; knows no socket.
class Filter {
 public:
  virtual ~Filter() = default;
  // What is to be written first of all.
  virtual std::string Begin() = 0;
  // Takes all of `wire`; appends what it meant to `plain` and what must be answered to `reply`. False: the
  // connection must be closed after `reply`, and error() says why.
  virtual bool Feed(std::string_view wire, std::string* plain, std::string* reply) = 0;
  // Both sides know each other; before that nothing may be sealed.
  virtual bool open() const = 0;
  virtual std::string Seal(std::string_view plain) = 0;
  // Who the other side has proved to be; empty before open().
  virtual std::string peer() const = 0;
  virtual std::string error() const = 0;
};

class Peer final : public net::Connection::Handler {
 public:
  struct Calls {
    std::function<void(Json)> frame;
    // Once, and not after Close(); `why` is empty where the other side simply ended it.
    std::function<void(const std::string& why)> closed;
  };

  // Both take a filter or none. Frames sent before the filter is open wait for it.
  Peer(net::Loop& loop, int fd, std::unique_ptr<Filter> filter, Calls calls);
  static std::unique_ptr<Peer> ToTcp(net::Loop& loop, const net::Address& to, std::unique_ptr<Filter> filter,
                                     Calls calls);
  static std::unique_ptr<Peer> ToUnix(net::Loop& loop, const std::string& path, Calls calls);

  void Send(const Json& object);
  void Close();
  // Who it is by its certificate; empty without a filter or before it is open.
  std::string name() const { return filter_ && filter_->open() ? filter_->peer() : std::string(); }

 private:
  Peer(std::unique_ptr<Filter> filter, Calls calls) : filter_(std::move(filter)), calls_(std::move(calls)) {}
  void OnConnected() override;
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override { Lose({}); }
  void Flush();
  void Lose(const std::string& why);

  std::unique_ptr<Filter> filter_;
  Calls calls_;
  FrameReader reader_;
  std::string waiting_;  // plain, until the filter is open
  bool over_ = false;
  std::unique_ptr<net::Connection> connection_;
};

}  // namespace oxbowspread::control
