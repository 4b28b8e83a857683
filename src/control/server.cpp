#include "control/server.hpp"

#include <unistd.h>

#include <utility>
#include <vector>

namespace oxbowspread::control {

Server::Server(net::Loop& loop, const std::string& path, Handler handler)
    : loop_(loop), handler_(std::move(handler)), listener_(loop, path, [this](int fd) { Accept(fd); }) {}

Server::Server(net::Loop& loop, const net::Address& address, std::function<std::unique_ptr<Filter>()> filter,
               Handler handler, std::function<void(const std::string&)> on_refused)
    : loop_(loop),
      filter_(std::move(filter)),
      handler_(std::move(handler)),
      on_refused_(std::move(on_refused)),
      listener_(loop, address, [this](int fd) { Accept(fd); }) {}

void Server::Accept(int fd) {
  if (sessions_.size() >= kMaxSessions) {
    close(fd);
    return;
  }
  const std::uint64_t session_id = next_session_id_++;
  Session& session = sessions_[session_id];
  session.first_request_timer = std::make_unique<net::Timer>(
      loop_, [this, session_id] { EndSession(session_id, "sent no request within the timeout"); });
  session.first_request_timer->After(kFirstRequestTimeout);
  session.peer = std::make_unique<Peer>(
      loop_, fd, filter_ ? filter_() : nullptr,
      Peer::Callbacks{[this, session_id](Json request) { HandleRequest(session_id, std::move(request)); },
                      [this, session_id](const std::string& reason) { EndSession(session_id, reason); }});
}

void Server::HandleRequest(std::uint64_t session_id, Json request) {
  const auto it = sessions_.find(session_id);
  if (it == sessions_.end()) return;
  it->second.first_request_timer->Stop();
  request["from"] = it->second.peer->name();
  const Json id = request.value("id", Json());
  const std::weak_ptr<Server*> self = self_;
  handler_(request, [self, session_id, id](Json answer) {
    const auto server = self.lock();
    if (!server) return;
    const auto session = (*server)->sessions_.find(session_id);
    if (session == (*server)->sessions_.end()) return;
    answer["id"] = id;
    session->second.peer->Send(answer);
  });
}

void Server::EndSession(std::uint64_t session_id, const std::string& reason) {
  const auto it = sessions_.find(session_id);
  if (it == sessions_.end()) return;
  if (!reason.empty() && on_refused_) on_refused_(reason);
  it->second.peer->Close();
  loop_.DestroyLater(std::move(it->second.peer));
  loop_.DestroyLater(std::move(it->second.first_request_timer));
  sessions_.erase(it);
}

// ---- client side ----

Caller::~Caller() {
  if (peer_) peer_->Close();
}

void Caller::Call(Json request, net::Time timeout, Done done) {
  const std::int64_t id = next_call_id_++;
  PendingCall& pending = pending_[id];
  pending.done = std::move(done);
  pending.timeout =
      std::make_unique<net::Timer>(loop_, [this] { Disconnect("no answer within the timeout"); });
  pending.timeout->After(timeout);
  if (!peer_) {
    peer_ = connector_({[this](Json answer) { Complete(NumberOf(answer, "id", -1), &answer, {}); },
                        [this](const std::string& reason) {
                          Disconnect(reason.empty() ? "the connection was closed" : reason);
                        }});
  }
  if (!peer_) {
    pending.timeout =
        std::make_unique<net::Timer>(loop_, [this, id] { Complete(id, nullptr, "can't connect"); });
    pending.timeout->After(net::Time(0));
    return;
  }
  request["id"] = id;
  peer_->Send(request);
}

void Caller::Disconnect(const std::string& reason) {
  if (peer_) {
    peer_->Close();
    loop_.DestroyLater(std::move(peer_));
  }
  std::vector<std::int64_t> ids;
  for (const auto& [id, pending] : pending_) ids.push_back(id);
  for (const std::int64_t id : ids) Complete(id, nullptr, reason);
}

void Caller::Complete(std::int64_t id, const Json* answer, const std::string& reason) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  PendingCall pending = std::move(it->second);
  pending_.erase(it);
  pending.timeout->Stop();
  loop_.DestroyLater(std::move(pending.timeout));
  pending.done(answer, reason);
}

}  // namespace oxbowspread::control
