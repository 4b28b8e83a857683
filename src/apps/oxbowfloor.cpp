// oxbowfloor: the baseline for a relay's processing cost. For each message it reads the command, writes three
// records, answers, and calls the next host of the destination, with the relay's own event loop, ring buffers
// and parsers. It makes no decisions and gives no delivery guarantees. `oxbowlab run --relay` starts it
// instead of a relay to measure what the system calls alone cost.
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "client/put_command.hpp"
#include "net/connection.hpp"
#include "net/loop.hpp"
#include "proto/resp.hpp"

namespace {

using namespace oxbowspread;

constexpr std::size_t kAttemptRecordBytes = 48;  // size of the record of an attempt's start, and of its end
constexpr off_t kMaxFileBytes = 2'000'000;

class BaselineRelay;

// One HTTP connection to a host.
class HostConnection final : public net::Connection::Handler {
 public:
  HostConnection(BaselineRelay& relay, int destination, const net::Address& address);
  void Call(std::string request);
  bool open() const { return connection_ != nullptr; }

 private:
  void OnConnected() override { connection_->Send(request_); }
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override;

  BaselineRelay& relay_;
  int destination_;
  std::unique_ptr<net::Connection> connection_;
  std::string request_;
};

// One client connection.
class Client final : public net::Connection::Handler {
 public:
  Client(BaselineRelay& relay, net::Loop& loop, int fd) : relay_(relay), connection_(loop, fd, *this) {}
  void Send(const char* text) { connection_.Send(text); }

 private:
  void OnBytes(proto::RingBuffer& received) override;
  void OnClosed() override;

  BaselineRelay& relay_;
  proto::RespParser parser_;
  net::Connection connection_;
};

// Listens for clients and calls the hosts of the configuration's `known` list.
class BaselineRelay {
 public:
  explicit BaselineRelay(const nlohmann::json& config)
      : file_(open((config.at("state").get<std::string>() + "/floor").c_str(), O_RDWR | O_CREAT | O_CLOEXEC,
                   0600)),
        terminate_signal_(loop, SIGTERM, [this] { loop.Stop(); }) {
    for (const auto& server : config.at("known").at("servers")) {
      hosts_[server.at("cell")].push_back(*net::ParseAddress(server.at("addr").get<std::string>()));
    }
    listener_ = std::make_unique<net::Listener>(
        loop, *net::ParseAddress(config.at("listen").get<std::string>()), [this](int fd) {
          auto client = std::make_unique<Client>(*this, loop, fd);
          Client* const created = client.get();
          clients_[created] = std::move(client);
        });
  }

  void WriteRecord(std::size_t bytes) {
    const std::string record(bytes, 'r');
    if (lseek(file_, 0, SEEK_CUR) > kMaxFileBytes) lseek(file_, 0, SEEK_SET);
    if (write(file_, record.data(), record.size()) < 0) std::cerr << "oxbowfloor: a record was not written\n";
  }

  void HandlePut(std::vector<std::string> command, Client& client) {
    const journal::Message message = client::ParsePut(std::move(command), net::Loop::UnixNow());
    WriteRecord(message.body.size() + 100);
    client.Send("+OK\r\n");
    WriteRecord(kAttemptRecordBytes);
    std::string request = "POST /inbox HTTP/1.1\r\nHost: floor\r\nX-Request-ID: " + message.id +
                          "\r\nIdempotency-Key: " + message.key +
                          "\r\nX-Timeout: 1500m\r\nContent-Length: " + std::to_string(message.body.size()) +
                          "\r\n\r\n" + message.body;
    const int destination = static_cast<int>(message.destination);
    auto& idle_connections = idle_connections_[destination];
    if (!idle_connections.empty()) {
      HostConnection* const connection = idle_connections.back();
      idle_connections.pop_back();
      return connection->Call(std::move(request));
    }
    const auto& hosts = hosts_.at(destination);
    auto connection =
        std::make_unique<HostConnection>(*this, destination, hosts[next_host_++ % hosts.size()]);
    if (!connection->open()) return;
    HostConnection* const created = connection.get();
    host_connections_[created] = std::move(connection);
    created->Call(std::move(request));
  }

  void OnAnswer(HostConnection& connection, int destination) {
    WriteRecord(kAttemptRecordBytes);
    idle_connections_[destination].push_back(&connection);
  }
  void Remove(HostConnection& connection, int destination) {
    std::erase(idle_connections_[destination], &connection);
    loop.DestroyLater(std::move(host_connections_.at(&connection)));
    host_connections_.erase(&connection);
  }
  void Remove(Client& client) {
    loop.DestroyLater(std::move(clients_.at(&client)));
    clients_.erase(&client);
  }

  net::Loop loop;

 private:
  int file_;
  net::Signal terminate_signal_;
  std::unique_ptr<net::Listener> listener_;
  std::map<int, std::vector<net::Address>> hosts_;
  std::map<int, std::vector<HostConnection*>> idle_connections_;
  std::map<HostConnection*, std::unique_ptr<HostConnection>> host_connections_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  std::size_t next_host_ = 0;
};

HostConnection::HostConnection(BaselineRelay& relay, int destination, const net::Address& address)
    : relay_(relay),
      destination_(destination),
      connection_(net::Connection::Open(relay.loop, address, *this)) {}

void HostConnection::Call(std::string request) {
  request_ = std::move(request);
  if (connection_->connected()) connection_->Send(request_);
}

// The stand-in endpoints send each answer in one piece and without a body.
void HostConnection::OnBytes(proto::RingBuffer& received) {
  received.Consume(received.size());
  relay_.OnAnswer(*this, destination_);
}

void HostConnection::OnClosed() { relay_.Remove(*this, destination_); }

void Client::OnBytes(proto::RingBuffer& received) {
  while (!received.empty()) {
    received.Consume(parser_.Feed(received.Front()));
    if (parser_.state() != proto::RespParser::State::kCommand) continue;
    std::vector<std::string> command = parser_.TakeCommand();
    if (command[0] == "PING") {
      Send("+PONG\r\n");
    } else {
      relay_.HandlePut(std::move(command), *this);
    }
  }
}

void Client::OnClosed() { relay_.Remove(*this); }

}  // namespace

int main() {
  try {
    const char* const path = std::getenv("ROUTER_CONFIG");
    std::ifstream file(path != nullptr ? path : "");
    BaselineRelay relay(nlohmann::json::parse(file));
    relay.loop.Run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "oxbowfloor: " << e.what() << "\n";
    return 1;
  }
}
