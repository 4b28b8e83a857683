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

std::string FormatResponse(const char* status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + std::string(status) + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string FormatChunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class HttpServer::Session final : public net::Connection::Handler {
 public:
  Session(HttpServer& server, std::uint64_t number, int fd)
      : server_(server),
        number_(number),
        parser_([this](Request request) { server_.handler_(number_, request); }),
        connection_(server.loop_, fd, *this) {}
  bool Write(const std::string& bytes) { return connection_.Send(bytes); }
  bool IsClosed() const { return connection_.ClosedByPeer(); }
  void Close() { connection_.Close(); }

 private:
  void OnBytes(proto::RingBuffer& received) override {
    while (!received.empty()) {
      const std::string_view front = received.Front();
      const bool valid = parser_.Feed(front);
      received.Consume(front.size());
      if (!valid) return server_.Remove(number_);
    }
  }
  void OnClosed() override {
    if (server_.on_closed_) server_.on_closed_(number_);
    server_.Remove(number_);
  }

  HttpServer& server_;
  std::uint64_t number_;
  HttpRequestParser parser_;
  net::Connection connection_;
};

HttpServer::HttpServer(net::Loop& loop, int port, Handler handler, ClosedHandler on_closed)
    : loop_(loop),
      handler_(std::move(handler)),
      on_closed_(std::move(on_closed)),
      port_(port != 0 ? port : FreePort()) {
  listener_ = std::make_unique<net::Listener>(
      loop, *net::ParseAddress("127.0.0.1:" + std::to_string(port_)), [this](int fd) {
        const std::uint64_t number = next_number_++;
        sessions_[number] = std::make_unique<Session>(*this, number, fd);
      });
}

HttpServer::~HttpServer() = default;

bool HttpServer::Write(std::uint64_t connection, const std::string& bytes) {
  const auto it = sessions_.find(connection);
  return it != sessions_.end() && it->second->Write(bytes);
}

bool HttpServer::IsClosed(std::uint64_t connection) const {
  const auto it = sessions_.find(connection);
  return it == sessions_.end() || it->second->IsClosed();
}

void HttpServer::Remove(std::uint64_t number) {
  const auto it = sessions_.find(number);
  if (it == sessions_.end()) return;
  it->second->Close();
  loop_.DestroyLater(std::move(it->second));
  sessions_.erase(it);
}

StubPlatform::StubPlatform(net::Loop& loop, MessageTracker& tracker, const PlatformOptions& options)
    : loop_(loop),
      tracker_(tracker),
      options_(options),
      random_state_(options.seed),
      discovery_(
          loop, options.discovery_port,
          [this](std::uint64_t connection, const Request& request) { OnDiscovery(connection, request); }),
      answer_timer_(loop, [this] { AnswerDueCalls(); }),
      heartbeat_timer_(loop, [this] { SendHeartbeats(); }) {
  for (int i = 0; i < options_.hosts; ++i) {
    hosts_.push_back(
        std::make_unique<HttpServer>(loop, 0, [this, i](std::uint64_t connection, const Request& request) {
          OnCall(static_cast<std::size_t>(i), connection, request);
        }));
  }
  SendHeartbeats();
}

std::string StubPlatform::ListJson() const {
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

void StubPlatform::OnDiscovery(std::uint64_t connection, const Request& request) {
  if (request.target == "/v1/outcomes") {
    std::istringstream lines(request.body);
    for (std::string line; std::getline(lines, line);) {
      const auto notice = nlohmann::json::parse(line, nullptr, false);
      if (notice.is_object()) tracker_.RecordNotice(notice.value("id", ""), notice.value("status", ""));
    }
    discovery_.Write(connection, FormatResponse("204 No Content"));
  } else if (request.target.find("watch=1") != std::string::npos) {
    watches_.push_back(connection);
    discovery_.Write(
        connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + FormatChunk(ListJson() + "\n"));
  } else {
    discovery_.Write(connection, FormatResponse("200 OK", ListJson()));
  }
}

void StubPlatform::SendHeartbeats() {
  std::erase_if(watches_,
                [this](std::uint64_t watch) { return !discovery_.Write(watch, FormatChunk("\n")); });
  heartbeat_timer_.After(2s);
}

void StubPlatform::OnCall(std::size_t host, std::uint64_t connection, const Request& request) {
  if (down_) {
    hosts_[host]->Write(connection, FormatResponse("503 Shut"));
    return;
  }
  random_state_ = random_state_ * 6364136223846793005u + 1442695040888963407u;
  const auto spread = static_cast<std::uint64_t>(options_.latency_spread.count()) + 1;
  const net::Time delay =
      options_.latency + net::Time(static_cast<net::Time::rep>((random_state_ >> 33) % spread));
  pending_calls_.emplace(net::Loop::Now() + delay, PendingCall{host, connection, request});
  answer_timer_.At(pending_calls_.begin()->first);
}

void StubPlatform::AnswerDueCalls() {
  while (!pending_calls_.empty() && pending_calls_.begin()->first <= net::Loop::Now()) {
    const PendingCall call = std::move(pending_calls_.begin()->second);
    pending_calls_.erase(pending_calls_.begin());
    // The call is executed here, whether or not the relay still waits for the answer.
    tracker_.RecordDelivery(call.request.Header("x-request-id"), call.request.Header("idempotency-key"),
                            net::Loop::Now());
    hosts_[call.host]->Write(call.connection, FormatResponse("200 OK", "ok"));
  }
  if (!pending_calls_.empty()) answer_timer_.At(pending_calls_.begin()->first);
}

}  // namespace oxbowspread::standin
