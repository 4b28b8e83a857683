#include "control/server.hpp"

#include <unistd.h>

#include <utility>
#include <vector>

namespace oxbowspread::control {

Server::Server(net::Loop& loop, const std::string& path, Handler handler)
    : loop_(loop), handler_(std::move(handler)), listener_(loop, path, [this](int fd) { Accept(fd); }) {}

Server::Server(net::Loop& loop, const net::Address& address, std::function<std::unique_ptr<Filter>()> filter,
               Handler handler, std::function<void(const std::string&)> refused)
    : loop_(loop),
      filter_(std::move(filter)),
      handler_(std::move(handler)),
      refused_(std::move(refused)),
      listener_(loop, address, [this](int fd) { Accept(fd); }) {}

void Server::Accept(int fd) {
  if (seats_.size() >= kMost) {
    close(fd);
    return;
  }
  const std::uint64_t number = next_++;
  Seat& seat = seats_[number];
  seat.silent =
      std::make_unique<net::Timer>(loop_, [this, number] { Leave(number, "asked nothing in time"); });
  seat.silent->After(kFirstWithin);
  seat.peer =
      std::make_unique<Peer>(loop_, fd, filter_ ? filter_() : nullptr,
                             Peer::Calls{[this, number](Json request) { Ask(number, std::move(request)); },
                                         [this, number](const std::string& why) { Leave(number, why); }});
}

void Server::Ask(std::uint64_t number, Json request) {
  const auto it = seats_.find(number);
  if (it == seats_.end()) return;
  it->second.asked = true;
  it->second.silent->Stop();
  request["from"] = it->second.peer->name();
  const Json id = request.value("id", Json());
  const std::weak_ptr<Server*> self = self_;
  handler_(request, [self, number, id](Json answer) {
    const auto server = self.lock();
    if (!server) return;
    const auto seat = (*server)->seats_.find(number);
    if (seat == (*server)->seats_.end()) return;
    answer["id"] = id;
    seat->second.peer->Send(answer);
  });
}

void Server::Leave(std::uint64_t number, const std::string& why) {
  const auto it = seats_.find(number);
  if (it == seats_.end()) return;
  if (!why.empty() && refused_) refused_(why);
  it->second.peer->Close();
  loop_.DestroyLater(std::move(it->second.peer));
  loop_.DestroyLater(std::move(it->second.silent));
  seats_.erase(it);
}

// ---- the asking side ----

Caller::~Caller() {
  if (peer_) peer_->Close();
}

void Caller::Call(Json request, net::Time limit, Done done) {
  const std::int64_t id = next_++;
  Out& out = out_[id];
  out.done = std::move(done);
  out.late = std::make_unique<net::Timer>(loop_, [this] { Hang("no answer in time"); });
  out.late->After(limit);
  if (!peer_) {
    peer_ = open_({[this](Json answer) { Finish(NumberOf(answer, "id", -1), &answer, {}); },
                   [this](const std::string& why) { Hang(why.empty() ? "the connection ended" : why); }});
  }
  if (!peer_) {
    out.late = std::make_unique<net::Timer>(loop_, [this, id] { Finish(id, nullptr, "can't connect"); });
    out.late->After(net::Time(0));
    return;
  }
  request["id"] = id;
  peer_->Send(request);
}

void Caller::Hang(const std::string& why) {
  if (peer_) {
    peer_->Close();
    loop_.DestroyLater(std::move(peer_));
  }
  std::vector<std::int64_t> all;
  for (const auto& [id, out] : out_) all.push_back(id);
  for (const std::int64_t id : all) Finish(id, nullptr, why);
}

void Caller::Finish(std::int64_t id, const Json* answer, const std::string& why) {
  const auto it = out_.find(id);
  if (it == out_.end()) return;
  Out out = std::move(it->second);
  out_.erase(it);
  out.late->Stop();
  loop_.DestroyLater(std::move(out.late));
  out.done(answer, why);
}

}  // namespace oxbowspread::control
