#include "door/door.hpp"

#include <utility>

namespace oxbowspread::door {

struct Door::Caller final : net::Connection::Handler {
  Caller(Door& d, int fd, std::uint64_t n)
      : door(d), number(n), connection(d.loop_, fd, *this, kRing), late(d.loop_, [this] {
          Say("error no whole line within 3 s");
          door.Leave(*this);
        }) {
    connection.Prioritize();
    late.After(kWithin);
  }
  void OnBytes(proto::RingBuffer& in) override {
    while (!in.empty() && reader.state() == CallReader::State::kMore) in.Consume(reader.Feed(in.Front()));
    in.Consume(in.size());  // what follows is nobody's; left unread it would turn the close into a reset
    if (reader.state() == CallReader::State::kMore) return;
    std::optional<std::string> why;
    if (reader.state() == CallReader::State::kBad) {
      why = reader.error();
    } else {
      why = door.handler_(reader.call());
    }
    Say(why ? "error " + *why : "done");
    door.Leave(*this);
  }
  void OnClosed() override { door.Leave(*this); }
  void Say(const std::string& line) { connection.Send(line + "\n"); }

  static constexpr std::size_t kRing = 4096;
  Door& door;
  std::uint64_t number;
  net::Connection connection;
  net::Timer late;
  CallReader reader;
};

Door::Door(net::Loop& loop, const net::Address& address, Handler handler)
    : loop_(loop), handler_(std::move(handler)), listener_(loop, address, [this](int fd) { Accept(fd); }) {
  listener_.Prioritize();
}

Door::~Door() = default;

void Door::Accept(int fd) {
  if (callers_.size() >= kMost) Leave(*callers_.begin()->second);
  const std::uint64_t number = next_++;
  callers_[number] = std::make_unique<Caller>(*this, fd, number);
}

void Door::Leave(Caller& caller) {
  const auto it = callers_.find(caller.number);
  if (it == callers_.end()) return;
  caller.late.Stop();
  caller.connection.Close();
  loop_.DestroyLater(std::move(it->second));
  callers_.erase(it);
}

}  // namespace oxbowspread::door
