#include "control/peer.hpp"

namespace oxbowspread::control {
namespace {
constexpr std::size_t kReceiveBufferBytes = kMaxFrameBytes + (1u << 20);
}  // namespace

Peer::Peer(net::Loop& loop, int fd, std::unique_ptr<Filter> filter, Callbacks callbacks)
    : Peer(std::move(filter), std::move(callbacks)) {
  connection_ = std::make_unique<net::Connection>(loop, fd, *this, kReceiveBufferBytes);
  if (filter_) connection_->Send(filter_->Begin());
}

std::unique_ptr<Peer> Peer::ConnectTcp(net::Loop& loop, const net::Address& address,
                                       std::unique_ptr<Filter> filter, Callbacks callbacks) {
  std::unique_ptr<Peer> peer(new Peer(std::move(filter), std::move(callbacks)));
  peer->connection_ = net::Connection::Open(loop, address, *peer, kReceiveBufferBytes);
  return peer->connection_ ? std::move(peer) : nullptr;
}

std::unique_ptr<Peer> Peer::ConnectUnix(net::Loop& loop, const std::string& path, Callbacks callbacks) {
  std::unique_ptr<Peer> peer(new Peer(nullptr, std::move(callbacks)));
  peer->connection_ = net::Connection::OpenUnix(loop, path, *peer, kReceiveBufferBytes);
  return peer->connection_ ? std::move(peer) : nullptr;
}

void Peer::OnConnected() {
  if (filter_) connection_->Send(filter_->Begin());
  Flush();
}

void Peer::Send(const Json& object) {
  if (closed_) return;
  unsent_ += EncodeFrame(object);
  Flush();
}

void Peer::Flush() {
  if (closed_ || unsent_.empty() || (filter_ && !filter_->open())) return;
  const std::string plain = std::exchange(unsent_, {});
  // A connection that can't take the bytes has failed; the loop reports that through OnClosed().
  connection_->Send(filter_ ? filter_->Seal(plain) : plain);
}

void Peer::OnBytes(proto::RingBuffer& received) {
  std::string plain, reply;
  bool valid = true;
  while (!received.empty() && valid) {
    const std::string_view front = received.Front();
    if (filter_) {
      valid = filter_->Feed(front, &plain, &reply);
    } else {
      plain += front;
    }
    received.Consume(front.size());
  }
  if (!reply.empty()) connection_->Send(reply);
  if (!valid) return Fail(filter_->error());
  Flush();
  reader_.Feed(plain);
  while (!closed_) {
    auto object = reader_.Next();
    if (!object) break;
    callbacks_.on_frame(std::move(*object));
  }
  if (!closed_ && !reader_.error().empty()) Fail(reader_.error());
}

void Peer::Close() {
  closed_ = true;
  if (connection_) connection_->Close();
}

void Peer::Fail(const std::string& reason) {
  if (closed_) return;
  Close();
  callbacks_.on_closed(reason);
}

}  // namespace oxbowspread::control
