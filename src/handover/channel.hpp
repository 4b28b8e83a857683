// Transport for handover packets and descriptors: a Unix-domain socket in the state folder. The packets are
// defined in packets.hpp.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "handover/packets.hpp"
#include "net/loop.hpp"

namespace oxbowspread::handover {

using Timeout = std::chrono::milliseconds;

// A received packet with the descriptor that was sent with it.
struct Received {
  Packet packet;
  int fd = -1;  // owned by the receiver; -1 if none
};

// One end of a connection between two relay processes. Owns its descriptor.
class Channel {
 public:
  explicit Channel(int fd);
  // Connects to the process that serves from that state folder. Returns nothing if no process listens there.
  static std::optional<Channel> Connect(const std::string& folder);
  ~Channel() { Close(); }
  Channel(Channel&& other) noexcept;
  Channel& operator=(Channel&&) = delete;

  // Sends a packet, with a descriptor unless `fd` is -1. The caller keeps ownership of the descriptor. Blocks
  // for up to 150 ms. Returns false if the peer has closed the connection or does not read.
  bool Send(const Packet& packet, int fd = -1);
  // Receives the next packet within the timeout. Returns nothing if none arrived; if ended() is true then, no
  // more packets can follow.
  std::optional<Received> Receive(Timeout timeout);
  bool ended() const { return ended_; }
  int fd() const { return fd_; }
  void Close();

 private:
  int fd_;
  bool ended_ = false;
};

// Accepts connections from processes that want to take over. A socket file left by a dead process is
// replaced.
class ChannelListener {
 public:
  using ConnectHandler = std::function<void(Channel channel)>;
  // Listens in that state folder. Throws std::system_error if that is not possible.
  ChannelListener(net::Loop& loop, const std::string& folder, ConnectHandler on_connect);
  ~ChannelListener() { Close(); }
  ChannelListener(const ChannelListener&) = delete;
  ChannelListener& operator=(const ChannelListener&) = delete;
  void Close();

 private:
  void OnIo(ev::io&, int);

  int fd_ = -1;
  std::string path_;
  ConnectHandler on_connect_;
  ev::io io_;
};

}  // namespace oxbowspread::handover
