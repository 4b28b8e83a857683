// Packets and descriptors over a Unix-domain socket in the lasting folder: the thin driver under record.hpp.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "handover/record.hpp"
#include "net/loop.hpp"

namespace oxbowspread::handover {

using Limit = std::chrono::milliseconds;

struct Received {
  Packet packet;
  int fd = -1;  // the receiver's to close
};

class Channel {
 public:
  explicit Channel(int fd);
  // To the process that serves from that folder; nothing if nobody listens there.
  static std::optional<Channel> Connect(const std::string& folder);
  ~Channel() { Close(); }
  Channel(Channel&& other) noexcept;
  Channel& operator=(Channel&&) = delete;

  // Waits until the system takes it, 150 ms at most; false if the other has gone or takes nothing.
  bool Send(const Packet& packet, int fd = -1);
  // The next packet within the limit. Nothing: none came, and `ended` tells whether none will.
  std::optional<Received> Receive(Limit limit);
  bool ended() const { return ended_; }
  int fd() const { return fd_; }
  void Close();

 private:
  int fd_;
  bool ended_ = false;
};

// Where the next process asks. A socket that a dead one left there is replaced.
class Port {
 public:
  using Asked = std::function<void(Channel channel)>;
  // Throws std::system_error.
  Port(net::Loop& loop, const std::string& folder, Asked asked);
  ~Port() { Close(); }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;
  void Close();

 private:
  void OnIo(ev::io&, int);

  int fd_ = -1;
  std::string path_;
  Asked asked_;
  ev::io io_;
};

}  // namespace oxbowspread::handover
