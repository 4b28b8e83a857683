// The floor below a relay's cost: reads a message, writes three records, calls the next host of its
// destination, and answers, with the relay's own loop, rings and parsers. Decides nothing, keeps no promise,
// and is started in a relay's place by `oxbowlab run --relay` to see what the system calls alone cost.
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "client/command.hpp"
#include "net/connection.hpp"
#include "net/loop.hpp"
#include "proto/resp.hpp"

namespace {

using namespace oxbowspread;

constexpr std::size_t kRecord = 48;  // of an attempt's begin, and of an end
constexpr off_t kMostFile = 2'000'000;

class Floor;

class Line final : public net::Connection::User {
 public:
  Line(Floor& floor, int destination, const net::Address& to);
  void Call(std::string text);
  bool open() const { return connection_ != nullptr; }

 private:
  void OnConnected() override { connection_->Send(text_); }
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override;

  Floor& floor_;
  int destination_;
  std::unique_ptr<net::Connection> connection_;
  std::string text_;
};

class Client final : public net::Connection::User {
 public:
  Client(Floor& floor, net::Loop& loop, int fd) : floor_(floor), connection_(loop, fd, *this) {}
  void Say(const char* text) { connection_.Send(text); }

 private:
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override;

  Floor& floor_;
  proto::RespParser parser_;
  net::Connection connection_;
};

class Floor {
 public:
  explicit Floor(const nlohmann::json& config)
      : file_(open((config.at("state").get<std::string>() + "/floor").c_str(), O_RDWR | O_CREAT | O_CLOEXEC,
                   0600)),
        end_(loop, SIGTERM, [this] { loop.Stop(); }) {
    for (const auto& server : config.at("known").at("servers")) {
      hosts_[server.at("cell")].push_back(*net::ParseAddress(server.at("addr").get<std::string>()));
    }
    listener_ = std::make_unique<net::Listener>(
        loop, *net::ParseAddress(config.at("listen").get<std::string>()), [this](int fd) {
          auto client = std::make_unique<Client>(*this, loop, fd);
          Client* const made = client.get();
          clients_[made] = std::move(client);
        });
  }

  void Write(std::size_t bytes) {
    const std::string record(bytes, 'r');
    if (lseek(file_, 0, SEEK_CUR) > kMostFile) lseek(file_, 0, SEEK_SET);
    if (write(file_, record.data(), record.size()) < 0) std::cerr << "floor: a record was not written\n";
  }

  void Put(std::vector<std::string> command, Client& from) {
    const journal::Message a = client::ParsePut(std::move(command), net::Loop::UnixNow());
    Write(a.body.size() + 100);
    from.Say("+OK\r\n");
    Write(kRecord);
    std::string text =
        "POST /inbox HTTP/1.1\r\nHost: floor\r\nX-Request-ID: " + a.id + "\r\nIdempotency-Key: " + a.key +
        "\r\nX-Timeout: 1500m\r\nContent-Length: " + std::to_string(a.body.size()) + "\r\n\r\n" + a.body;
    const int destination = static_cast<int>(a.destination);
    auto& idle = idle_[destination];
    if (!idle.empty()) {
      Line* const line = idle.back();
      idle.pop_back();
      return line->Call(std::move(text));
    }
    const auto& hosts = hosts_.at(destination);
    auto line = std::make_unique<Line>(*this, destination, hosts[next_++ % hosts.size()]);
    if (!line->open()) return;
    Line* const made = line.get();
    lines_[made] = std::move(line);
    made->Call(std::move(text));
  }

  void Answered(Line& line, int destination) {
    Write(kRecord);
    idle_[destination].push_back(&line);
  }
  void Gone(Line& line, int destination) {
    std::erase(idle_[destination], &line);
    loop.Dispose(std::move(lines_.at(&line)));
    lines_.erase(&line);
  }
  void Gone(Client& client) {
    loop.Dispose(std::move(clients_.at(&client)));
    clients_.erase(&client);
  }

  net::Loop loop;

 private:
  int file_;
  net::Signal end_;
  std::unique_ptr<net::Listener> listener_;
  std::map<int, std::vector<net::Address>> hosts_;
  std::map<int, std::vector<Line*>> idle_;
  std::map<Line*, std::unique_ptr<Line>> lines_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  std::size_t next_ = 0;
};

Line::Line(Floor& floor, int destination, const net::Address& to)
    : floor_(floor), destination_(destination), connection_(net::Connection::Open(floor.loop, to, *this)) {}

void Line::Call(std::string text) {
  text_ = std::move(text);
  if (connection_->connected()) connection_->Send(text_);
}

// The stand-ins' answers come whole and have no body.
void Line::OnBytes(proto::RingBuffer& in) {
  in.Consume(in.size());
  floor_.Answered(*this, destination_);
}

void Line::OnClosed() { floor_.Gone(*this, destination_); }

void Client::OnBytes(proto::RingBuffer& in) {
  while (!in.empty()) {
    in.Consume(parser_.Feed(in.Front()));
    if (parser_.state() != proto::RespParser::State::kCommand) continue;
    std::vector<std::string> command = parser_.Take();
    if (command[0] == "PING") {
      Say("+PONG\r\n");
    } else {
      floor_.Put(std::move(command), *this);
    }
  }
}

void Client::OnClosed() { floor_.Gone(*this); }

}  // namespace

int main() {
  try {
    const char* const path = std::getenv("ROUTER_CONFIG");
    std::ifstream file(path != nullptr ? path : "");
    Floor floor(nlohmann::json::parse(file));
    floor.loop.Run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "oxbowfloor: " << e.what() << "\n";
    return 1;
  }
}
