#include "client/client_server.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace oxbowspread::client {
namespace {

using namespace std::chrono_literals;

constexpr int kMaxPendingAccepts = 1024;  // connections accepted when listening stops
// While clients wait for room, the relay checks at this interval whether their commands have arrived.
constexpr net::Time kRoomCheckInterval = 10ms;

}  // namespace

ClientServer::ClientServer(net::Loop& loop, const net::Address& address, int inherited_fd,
                           const Limits& limits, relay::Relay& relay, relay::Counters& counters,
                           Report report)
    : loop_(loop),
      address_(address),
      inherited_fd_(inherited_fd),
      max_clients_(limits.max_clients),
      receive_budget_(limits.receive_bytes),
      room_timer_(loop, [this] { ServeAwaitingRoom(); }),
      relay_(relay),
      counters_(counters),
      report_(std::move(report)) {
  StartListening();
}

std::vector<const Client*> ClientServer::OpenClients() const {
  std::vector<const Client*> open_clients;
  for (const auto& [client, owned] : clients_) {
    if (client->open()) open_clients.push_back(client);
  }
  return open_clients;
}

void ClientServer::RestoreClient(const ClientState& state) {
  counters_.clients += 1;
  auto client = std::make_unique<Client>(loop_, state.fd, *this);
  client->RestoreState(state);
  clients_.emplace(client.get(), std::move(client));
}

void ClientServer::Accept(int fd) {
  // Clients share the descriptors with the endpoint connections and must not use all of them. Idle clients
  // are already evicted at half the limit, before descriptors run out. The clients of the platform together
  // open no more connections than their share, so a connection that stays open without commands prevents
  // others from being served long before the limit of this relay is reached.
  if (clients_.size() >= max_clients_ / 2) EvictClient(Client::RetentionPriority::kIdle);
  if (clients_.size() >= max_clients_ && !EvictClient(Client::RetentionPriority::kReceiving)) {
    counters_.clients_rejected += 1;
    close(fd);
    return;
  }
  counters_.clients += 1;
  idle_since_ = net::Loop::Now();
  auto client = std::make_unique<Client>(loop_, fd, *this);
  clients_.emplace(client.get(), std::move(client));
}

// A flood of connections must not displace active clients. Connections that have not sent a command in time
// are closed first, then idle ones, whose clients reconnect when necessary. Among connections with an
// incomplete command, the one that has not progressed for longest is closed first. A connection that waits
// for its answer is never closed.
bool ClientServer::EvictClient(Client::RetentionPriority highest) {
  const net::Time now = net::Loop::Now();
  std::vector<std::tuple<Client::RetentionPriority, net::Time, Client*>> candidates;
  for (const auto& [client, owned] : clients_) {
    const Client::RetentionPriority priority = client->retention_priority(now);
    if (priority <= highest) candidates.emplace_back(priority, client->priority_since(), client);
  }
  // A connection with unread bytes, in the kernel or in its buffer, is no longer idle.
  const auto is_retained = [](const auto& candidate) {
    return std::get<0>(candidate) != Client::RetentionPriority::kNone && !std::get<2>(candidate)->all_read();
  };
  std::sort(candidates.begin(), candidates.end());
  const auto first = std::find_if_not(candidates.begin(), candidates.end(), is_retained);
  if (first == candidates.end()) return false;
  Client* const evicted = std::get<2>(*first);
  counters_.clients_evicted += 1;
  counters_.clients_evicted_without_command +=
      evicted->retention_priority(now) != Client::RetentionPriority::kIdle;
  evicted->Close();
  Remove(*evicted);
  return true;
}

void ClientServer::AwaitRoom(Client& client) {
  awaiting_room_.push_back(&client);
  counters_.commands_awaiting_room += 1;
  if (!room_timer_.active()) room_timer_.After(kRoomCheckInterval);
}

void ClientServer::StopAwaitingRoom(Client& client) { std::erase(awaiting_room_, &client); }

void ClientServer::ReleaseRoom(std::size_t bytes) {
  receive_budget_.Release(bytes);
  if (!awaiting_room_.empty()) room_timer_.After(net::Time(0));
}

void ClientServer::ServeAwaitingRoom() {
  // A client that continues may answer or close, which changes the list.
  for (Client* const client : std::vector<Client*>(awaiting_room_)) {
    if (std::ranges::count(awaiting_room_, client) > 0) client->RetryReserve();
  }
  if (!awaiting_room_.empty() && !room_timer_.active()) room_timer_.After(kRoomCheckInterval);
}

void ClientServer::Remove(Client& client) {
  const auto it = clients_.find(&client);
  if (it == clients_.end()) return;
  loop_.DestroyLater(std::move(it->second));
  clients_.erase(it);
}

// Only the listener is closed. Clients keep using open connections. Closing these early would move their
// share of the load to the other relays, whose slots are sized for their own share. Connections waiting
// to be accepted would be reset with the listener, so they are accepted first. If another process owns the
// listening socket, they are left for the next process that uses it.
void ClientServer::StopListening() {
  if (listener_ && inherited_fd_ < 0) listener_->AcceptPending(kMaxPendingAccepts);
  listener_.reset();
}

void ClientServer::StartListening() {
  const auto accepted = [this](int fd) { Accept(fd); };
  if (!listener_ && inherited_fd_ >= 0) {
    listener_.emplace(loop_, inherited_fd_, accepted);
  } else if (!listener_) {
    listener_.emplace(loop_, address_, accepted);
  }
  closing_ = false;
}

void ClientServer::CloseWhenIdle() {
  closing_ = true;
  std::vector<Client*> all;
  for (const auto& [client, owned] : clients_) all.push_back(client);
  for (Client* client : all) client->CloseWhenIdle();
}

}  // namespace oxbowspread::client
