#include "standin/stopped_clients.hpp"

#include <algorithm>
#include <utility>

namespace oxbowspread::standin {
namespace {

constexpr std::size_t kBodyBytes = 64 * 1024, kUnsentBytes = 10;
constexpr std::size_t kMaxConnectsAtOnce = 10;  // so that the stand-ins on the same thread are not delayed

std::string IncompleteRequest() {
  const std::string request =
      RespCommand({"MSG.PUT", "0000000000000000", "stopped", "c=outbound,d=8000,k=stopped,dest=0",
                   std::string(kBodyBytes, 'x')});
  return request.substr(0, request.size() - kUnsentBytes);
}

}  // namespace

void StoppedClients::SetCount(std::size_t count) {
  count_ = count;
  while (connections_.size() > count_) Remove(*connections_.back());
}

void StoppedClients::Replenish() {
  static const std::string kRequest = IncompleteRequest();
  for (std::size_t i = 0; i < kMaxConnectsAtOnce && connections_.size() < count_; ++i) {
    auto connection = std::make_unique<ClientConnection>(loop_, *this, address_, net::Time(0));
    if (!connection->opened()) return;
    connection->Send(kRequest);
    connections_.push_back(std::move(connection));
  }
}

void StoppedClients::Remove(ClientConnection& connection) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& owned) { return owned.get() == &connection; });
  if (it == connections_.end()) return;
  connection.Close();
  loop_.DestroyLater(std::move(*it));
  connections_.erase(it);
}

}  // namespace oxbowspread::standin
