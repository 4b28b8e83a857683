// What the stand-ins of the review share: a log, listeners and HTTP requests on loopback.
#pragma once

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

// A connection that a relay has opened.
struct Peer {
  int fd = -1;
  bool is_endpoint = false, is_watch = false, ended = false;
  std::string bytes;
  double answer_at = 0, next_line_at = 0;  // of a call, and of a watch
  std::string id;                          // of the call that is open
};

inline FILE* log_file = nullptr;

inline double Now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void Log(const char* what, const std::string& id) {
  std::fprintf(log_file, "%.3f %s %s\n", Now(), what, id.c_str());
}

inline int Listen(int port) {
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

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline void Write(Peer& peer, const std::string& text) {
  if (send(peer.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
    peer.ended = true;
}

inline void WriteChunk(Peer& peer, const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  Write(peer, size + text + "\r\n");
}

inline std::string Header(const std::string& head, const char* name) {
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
inline bool TakeRequest(Peer& peer, std::string* head, std::string* body) {
  const std::size_t end = peer.bytes.find("\r\n\r\n");
  if (end == peer.bytes.npos) return false;
  *head = peer.bytes.substr(0, end + 2);
  const std::size_t size = std::strtoul(Header(*head, "Content-Length").c_str(), nullptr, 10);
  if (peer.bytes.size() < end + 4 + size) return false;
  *body = peer.bytes.substr(end + 4, size);
  peer.bytes.erase(0, end + 4 + size);
  return true;
}

inline void LogNotices(const std::string& body) {
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
