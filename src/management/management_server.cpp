#include "management/management_server.hpp"

#include <utility>

namespace oxbowspread::management {

// An operator's connection, which is closed after its answer.
struct ManagementServer::Client final : net::Connection::Handler {
  Client(ManagementServer& owner, int fd, std::uint64_t client_number)
      : server(owner),
        number(client_number),
        connection(owner.loop_, fd, *this, kBufferBytes),
        timeout(owner.loop_, [this] {
          SendLine("error no complete line within 3 s");
          server.Remove(*this);
        }) {
    connection.Prioritize();
    timeout.After(kCommandTimeout);
  }
  void OnBytes(proto::RingBuffer& received) override {
    while (!received.empty() && reader.state() == CommandReader::State::kIncomplete)
      received.Consume(reader.Feed(received.Front()));
    // Discards what follows the line: closing a socket with unread bytes would reset the connection.
    received.Consume(received.size());
    if (reader.state() == CommandReader::State::kIncomplete) return;
    std::optional<std::string> error;
    if (reader.state() == CommandReader::State::kInvalid) {
      error = reader.error();
    } else {
      error = server.handler_(reader.command());
    }
    SendLine(error ? "error " + *error : "done");
    server.Remove(*this);
  }
  void OnClosed() override { server.Remove(*this); }
  void SendLine(const std::string& line) { connection.Send(line + "\n"); }

  static constexpr std::size_t kBufferBytes = 4096;
  ManagementServer& server;
  std::uint64_t number;
  net::Connection connection;
  net::Timer timeout;
  CommandReader reader;
};

ManagementServer::ManagementServer(net::Loop& loop, const net::Address& address, Handler handler)
    : loop_(loop), handler_(std::move(handler)), listener_(loop, address, [this](int fd) { Accept(fd); }) {
  listener_.Prioritize();
}

ManagementServer::~ManagementServer() = default;

void ManagementServer::Accept(int fd) {
  if (clients_.size() >= kMaxClients) Remove(*clients_.begin()->second);
  const std::uint64_t number = next_number_++;
  clients_[number] = std::make_unique<Client>(*this, fd, number);
}

void ManagementServer::Remove(Client& client) {
  const auto it = clients_.find(client.number);
  if (it == clients_.end()) return;
  client.timeout.Stop();
  client.connection.Close();
  loop_.DestroyLater(std::move(it->second));
  clients_.erase(it);
}

}  // namespace oxbowspread::management
