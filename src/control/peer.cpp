#include "control/peer.hpp"

namespace oxbowspread::control {
namespace {
constexpr std::size_t kRing = kMostFrame + (1u << 20);
}  // namespace

Peer::Peer(net::Loop& loop, int fd, std::unique_ptr<Filter> filter, Calls calls)
    : Peer(std::move(filter), std::move(calls)) {
  connection_ = std::make_unique<net::Connection>(loop, fd, *this, kRing);
  if (filter_) connection_->Send(filter_->Begin());
}

std::unique_ptr<Peer> Peer::ToTcp(net::Loop& loop, const net::Address& to, std::unique_ptr<Filter> filter,
                                  Calls calls) {
  std::unique_ptr<Peer> peer(new Peer(std::move(filter), std::move(calls)));
  peer->connection_ = net::Connection::Open(loop, to, *peer, kRing);
  return peer->connection_ ? std::move(peer) : nullptr;
}

std::unique_ptr<Peer> Peer::ToUnix(net::Loop& loop, const std::string& path, Calls calls) {
  std::unique_ptr<Peer> peer(new Peer(nullptr, std::move(calls)));
  peer->connection_ = net::Connection::OpenUnix(loop, path, *peer, kRing);
  return peer->connection_ ? std::move(peer) : nullptr;
}

void Peer::OnConnected() {
  if (filter_) connection_->Send(filter_->Begin());
  Flush();
}

void Peer::Send(const Json& object) {
  if (over_) return;
  waiting_ += Frame(object);
  Flush();
}

void Peer::Flush() {
  if (over_ || waiting_.empty() || (filter_ && !filter_->open())) return;
  const std::string plain = std::exchange(waiting_, {});
  // A connection that takes no more is lost; its end is told from the loop.
  connection_->Send(filter_ ? filter_->Seal(plain) : plain);
}

void Peer::OnBytes(proto::RingBuffer& in) {
  std::string plain, reply;
  bool good = true;
  while (!in.empty() && good) {
    const std::string_view front = in.Front();
    if (filter_) {
      good = filter_->Feed(front, &plain, &reply);
    } else {
      plain += front;
    }
    in.Consume(front.size());
  }
  if (!reply.empty()) connection_->Send(reply);
  if (!good) return Lose(filter_->error());
  Flush();
  reader_.Feed(plain);
  while (!over_) {
    auto object = reader_.Next();
    if (!object) break;
    calls_.frame(std::move(*object));
  }
  if (!over_ && !reader_.error().empty()) Lose(reader_.error());
}

void Peer::Close() {
  over_ = true;
  if (connection_) connection_->Close();
}

void Peer::Lose(const std::string& why) {
  if (over_) return;
  Close();
  calls_.closed(why);
}

}  // namespace oxbowspread::control
