// The platform for a script of the review: discovery, one endpoint and the receiver of notices.
//
//   platform DISCOVERY_PORT DESTINATION MODE_FILE LOG_FILE
//
// Lists one endpoint, s-1, for the destination. The first word of the mode file says what the endpoint does
// with a call: `ok` answers 200 after 50 ms, `hang` reads it and never answers. Each notice is answered 204.
// The log has a line `SECONDS WHAT ID` for each call, each delivery and each notice.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <list>
#include <string>
#include <vector>

namespace {

struct Peer {
  int fd = -1;
  bool is_endpoint = false, is_watch = false, ended = false;
  std::string bytes;
  double answer_at = 0, next_line_at = 0;  // of a call, and of a watch
  std::string id;                          // of the call that is open
};

FILE* log_file = nullptr;

double Now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void Log(const char* what, const std::string& id) {
  std::fprintf(log_file, "%.3f %s %s\n", Now(), what, id.c_str());
}

int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 64) != 0)
    std::exit(2);
  return fd;
}

int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void Write(Peer& peer, const std::string& text) {
  if (send(peer.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
    peer.ended = true;
}

void WriteChunk(Peer& peer, const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  Write(peer, size + text + "\r\n");
}

std::string Header(const std::string& head, const char* name) {
  std::size_t at = 0;
  while ((at = head.find("\r\n", at)) != head.npos) {
    at += 2;
    const std::size_t colon = head.find(':', at);
    if (colon == head.npos) break;
    if (strcasecmp(head.substr(at, colon - at).c_str(), name) != 0) continue;
    const std::size_t end = head.find("\r\n", colon);
    std::string value = head.substr(colon + 1, end - colon - 1);
    while (!value.empty() && value[0] == ' ') value.erase(0, 1);
    return value;
  }
  return {};
}

// Takes one whole request from the peer's bytes. Returns false if there is none.
bool TakeRequest(Peer& peer, std::string* head, std::string* body) {
  const std::size_t end = peer.bytes.find("\r\n\r\n");
  if (end == peer.bytes.npos) return false;
  *head = peer.bytes.substr(0, end + 2);
  const std::size_t size = std::strtoul(Header(*head, "Content-Length").c_str(), nullptr, 10);
  if (peer.bytes.size() < end + 4 + size) return false;
  *body = peer.bytes.substr(end + 4, size);
  peer.bytes.erase(0, end + 4 + size);
  return true;
}

void LogNotices(const std::string& body) {
  std::size_t at = 0;
  while ((at = body.find("\"id\":\"", at)) != body.npos) {
    at += 6;
    Log("notice", body.substr(at, body.find('"', at) - at));
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  signal(SIGPIPE, SIG_IGN);
  log_file = std::fopen(argv[4], "a");
  if (log_file == nullptr) return 2;
  setvbuf(log_file, nullptr, _IOLBF, 0);
  const int discovery = Listen(std::atoi(argv[1])), endpoint = Listen(0);
  const std::string list = R"({"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:)" +
                           std::to_string(PortOf(endpoint)) +
                           R"(","zone":"north-room","kind":"partner","cell":)" + argv[2] +
                           R"(,"state":"Ready","weight":100.0,"started_ms":0}]})" + "\n";
  std::list<Peer> peers;
  while (true) {
    std::vector<pollfd> polls = {{discovery, POLLIN, 0}, {endpoint, POLLIN, 0}};
    for (const Peer& peer : peers) polls.push_back({peer.fd, POLLIN, 0});
    poll(polls.data(), polls.size(), 10);
    for (const int listener : {discovery, endpoint}) {
      while (true) {
        Peer peer;
        peer.fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (peer.fd < 0) break;
        const int on = 1;
        setsockopt(peer.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        peer.is_endpoint = listener == endpoint;
        peers.push_back(std::move(peer));
      }
    }
    for (auto it = peers.begin(); it != peers.end();) {
      Peer& peer = *it;
      char buffer[16384];
      const ssize_t count = recv(peer.fd, buffer, sizeof buffer, 0);
      if (count > 0) peer.bytes.append(buffer, static_cast<std::size_t>(count));
      if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) peer.ended = true;
      std::string head, body;
      while (peer.answer_at == 0 && !peer.is_watch && peer.id.empty() && TakeRequest(peer, &head, &body)) {
        if (peer.is_endpoint) {
          peer.id = Header(head, "X-Request-ID");
          std::string mode;
          std::ifstream(argv[3]) >> mode;
          Log(mode == "hang" ? "call-hangs" : "call", peer.id);
          if (mode != "hang") peer.answer_at = Now() + 0.05;
        } else if (head.rfind("POST", 0) == 0) {
          LogNotices(body);
          Write(peer, "HTTP/1.1 204 No Content\r\n\r\n");
        } else {
          Write(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          WriteChunk(peer, list);
          peer.is_watch = true;
          peer.next_line_at = Now() + 2;
        }
      }
      if (peer.answer_at > 0 && Now() >= peer.answer_at && !peer.ended) {
        Write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        Log("delivered", peer.id);
        peer.answer_at = 0;
        peer.id.clear();
      }
      if (peer.is_watch && Now() >= peer.next_line_at && !peer.ended) {
        WriteChunk(peer, "\n");
        peer.next_line_at = Now() + 2;
      }
      if (peer.ended) {
        close(peer.fd);
        it = peers.erase(it);
      } else {
        ++it;
      }
    }
  }
}
