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
#include "http_peer.hpp"

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
