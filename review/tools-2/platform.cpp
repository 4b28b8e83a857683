// The platform for a script of the review: discovery, one endpoint and the receiver of notices.
//
//   platform DISCOVERY_PORT DESTINATION MODE_FILE LOG_FILE [LIST_FILE]
//
// Lists one endpoint, s-1, for the destination, and writes the first list to the list file. The first word of
// the mode file says what the endpoint does with a call: `ok` answers 200 after 50 ms, `slow` after 560 ms,
// and `hang` reads it and never answers. Each notice is answered 204. With `replace` the endpoint is
// replaced: s-1 drains; 2 s later it is gone, and s-2, an endpoint of the next destination, starts at its
// address, and answers as with `slow`. The log has a line `SECONDS WHAT ID` for each call, each delivery and
// each notice.
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

// An entry of the list.
std::string Entry(const std::string& id, int port, int destination, const char* state) {
  return R"({"id":")" + id + R"(","addr":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"north-room","kind":"partner","cell":)" + std::to_string(destination) + R"(,"state":")" +
         state + R"(","weight":100.0,"started_ms":0})";
}

std::string List(int version, bool full, const std::string& entries) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + entries + "]}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5 && argc != 6) return 2;
  signal(SIGPIPE, SIG_IGN);
  log_file = std::fopen(argv[4], "a");
  if (log_file == nullptr) return 2;
  setvbuf(log_file, nullptr, _IOLBF, 0);
  const int discovery = Listen(std::atoi(argv[1])), endpoint = Listen(0);
  const int port = PortOf(endpoint), destination = std::atoi(argv[2]);
  int version = 1;
  std::string entries = Entry("s-1", port, destination, "Ready");
  if (argc == 6) std::ofstream(argv[5]) << List(version, true, entries);
  std::string mode = "ok", host = "s-1";
  double replace_at = 0;
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
    std::ifstream(argv[3]) >> mode;
    std::string change;
    if (mode == "replace" && replace_at == 0) {
      replace_at = Now() + 2;
      entries = change = Entry("s-1", port, destination, "Terminating");
      Log("drains", "s-1");
    } else if (replace_at > 0 && Now() >= replace_at && host == "s-1") {
      host = "s-2";
      entries = Entry("s-2", port, destination + 1, "Ready");
      change = Entry("s-1", port, destination, "Gone") + "," + entries;
      for (Peer& peer : peers) peer.ended = peer.ended || peer.is_endpoint;
      Log("gone", "s-1");
      Log("starts-at-its-address", "s-2");
    }
    version += !change.empty();
    for (Peer& peer : peers) {
      if (peer.is_watch && !change.empty()) WriteChunk(peer, List(version, false, change) + "\n");
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
          const std::string what = mode == "hang" ? "call-hangs" : "call";
          Log((host == "s-1" ? what : what + "-at-s-2").c_str(), peer.id);
          if (mode != "hang") peer.answer_at = Now() + (mode == "ok" ? 0.05 : 0.56);
        } else if (head.rfind("POST", 0) == 0) {
          LogNotices(body);
          Write(peer, "HTTP/1.1 204 No Content\r\n\r\n");
        } else {
          Write(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          WriteChunk(peer, List(version, true, entries) + "\n");
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
