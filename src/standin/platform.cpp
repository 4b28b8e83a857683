#include "standin/platform.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

#include "standin/site.hpp"

namespace oxbowspread::standin {
namespace {

using namespace std::chrono_literals;

}  // namespace

std::string Answer(const char* status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + std::string(status) + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class HttpServer::Seat final : public net::Connection::Handler {
 public:
  Seat(HttpServer& server, std::uint64_t number, int fd)
      : server_(server),
        number_(number),
        reader_([this](Request request) { server_.handler_(number_, request); }),
        connection_(server.loop_, fd, *this) {}
  bool Write(const std::string& bytes) { return connection_.Send(bytes); }
  bool Ended() const { return connection_.ClosedByPeer(); }
  void Close() { connection_.Close(); }

 private:
  void OnBytes(proto::RingBuffer& in) override {
    while (!in.empty()) {
      const std::string_view front = in.Front();
      const bool good = reader_.Feed(front);
      in.Consume(front.size());
      if (!good) return server_.Leave(number_);
    }
  }
  void OnClosed() override {
    if (server_.gone_) server_.gone_(number_);
    server_.Leave(number_);
  }

  HttpServer& server_;
  std::uint64_t number_;
  RequestReader reader_;
  net::Connection connection_;
};

HttpServer::HttpServer(net::Loop& loop, int port, Handler handler, Gone gone)
    : loop_(loop),
      handler_(std::move(handler)),
      gone_(std::move(gone)),
      port_(port != 0 ? port : FreePort()) {
  listener_ = std::make_unique<net::Listener>(loop, *net::ParseAddress("127.0.0.1:" + std::to_string(port_)),
                                              [this](int fd) {
                                                const std::uint64_t number = next_++;
                                                seats_[number] = std::make_unique<Seat>(*this, number, fd);
                                              });
}

HttpServer::~HttpServer() = default;

bool HttpServer::Write(std::uint64_t connection, const std::string& bytes) {
  const auto it = seats_.find(connection);
  return it != seats_.end() && it->second->Write(bytes);
}

bool HttpServer::Ended(std::uint64_t connection) const {
  const auto it = seats_.find(connection);
  return it == seats_.end() || it->second->Ended();
}

void HttpServer::Leave(std::uint64_t number) {
  const auto it = seats_.find(number);
  if (it == seats_.end()) return;
  it->second->Close();
  loop_.DestroyLater(std::move(it->second));
  seats_.erase(it);
}

Platform::Platform(net::Loop& loop, Ledger& ledger, const PlatformOptions& options)
    : loop_(loop),
      ledger_(ledger),
      options_(options),
      dice_(options.seed),
      discovery_(
          loop, options.discovery_port,
          [this](std::uint64_t connection, const Request& request) { OnDiscovery(connection, request); }),
      answer_(loop, [this] { AnswerDue(); }),
      beat_(loop, [this] { Beat(); }) {
  for (int i = 0; i < options_.hosts; ++i) {
    hosts_.push_back(
        std::make_unique<HttpServer>(loop, 0, [this, i](std::uint64_t connection, const Request& request) {
          OnCall(static_cast<std::size_t>(i), connection, request);
        }));
  }
  Beat();
}

std::string Platform::List() const {
  nlohmann::json servers = nlohmann::json::array();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    servers.push_back({{"id", "host-" + std::to_string(i)},
                       {"addr", "127.0.0.1:" + std::to_string(hosts_[i]->port())},
                       {"zone", i % 2 == 0 ? "north-room" : "east-room"},
                       {"kind", "partner"},
                       {"cell", 7},
                       {"state", "Ready"},
                       {"weight", 50},
                       {"started_ms", 0}});
  }
  return nlohmann::json{{"version", 1}, {"full", true}, {"servers", servers}}.dump();
}

void Platform::OnDiscovery(std::uint64_t connection, const Request& request) {
  if (request.target == "/v1/outcomes") {
    std::istringstream lines(request.body);
    for (std::string line; std::getline(lines, line);) {
      const auto notice = nlohmann::json::parse(line, nullptr, false);
      if (notice.is_object()) ledger_.Noticed(notice.value("id", ""), notice.value("status", ""));
    }
    discovery_.Write(connection, Answer("204 No Content"));
  } else if (request.target.find("watch=1") != std::string::npos) {
    watches_.push_back(connection);
    discovery_.Write(connection,
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(List() + "\n"));
  } else {
    discovery_.Write(connection, Answer("200 OK", List()));
  }
}

void Platform::Beat() {
  std::erase_if(watches_, [this](std::uint64_t w) { return !discovery_.Write(w, Chunk("\n")); });
  beat_.After(2s);
}

void Platform::OnCall(std::size_t host, std::uint64_t connection, const Request& request) {
  if (down_) {
    hosts_[host]->Write(connection, Answer("503 Shut"));
    return;
  }
  dice_ = dice_ * 6364136223846793005u + 1442695040888963407u;
  const auto spread = static_cast<std::uint64_t>(options_.latency_spread.count()) + 1;
  const net::Time after = options_.latency + net::Time(static_cast<net::Time::rep>((dice_ >> 33) % spread));
  due_.emplace(net::Loop::Now() + after, Due{host, connection, request});
  answer_.At(due_.begin()->first);
}

void Platform::AnswerDue() {
  while (!due_.empty() && due_.begin()->first <= net::Loop::Now()) {
    const Due due = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    // Its effect happens here, whether or not the relay still listens.
    ledger_.Called(due.request.Header("x-request-id"), due.request.Header("idempotency-key"),
                   net::Loop::Now());
    hosts_[due.host]->Write(due.connection, Answer("200 OK", "ok"));
  }
  if (!due_.empty()) answer_.At(due_.begin()->first);
}

}  // namespace oxbowspread::standin
