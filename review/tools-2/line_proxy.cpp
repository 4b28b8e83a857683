// A line between two machines: forwards TCP connections on loopback from one port to another.
//
//   line_proxy LISTEN_PORT TARGET_PORT COMMAND_FILE LOG_FILE
//
// It reads the command file every 5 ms and acts when the text in it changes:
//   pass N      new and open connections are forwarded (the state at the start)
//   hold N      what comes on the connections that are open now is kept back, their ends too; connections
//               that are opened later are forwarded
//   deliver N   what was kept back is forwarded now, in its order
//   cut N       nothing gets through any more, on open and new connections; their bytes are lost
//   back N      the connections that were open during the cut are reset; new ones are forwarded
//   mute N      on connections that are opened from now on, answers are lost: what the target sends is
//   dropped
//               once the caller has sent something for the second time (the first is a TLS handshake)
// N is any number that makes the text differ from the one before.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
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

struct Way {
  int from = -1, to = -1;
  std::string bytes;  // read and not yet written
  bool ended = false, end_forwarded = false;
};

struct Line {
  int number = 0;
  Way ways[2];
  bool held = false, cut = false, mute = false, broken = false;
  int caller_sends = 0;
  std::size_t kept_bytes = 0;
};

double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

sockaddr_in AddressOf(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void MakeNonblocking(int fd) {
  const int on = 1;
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void ReadInto(Way& way, Line& line) {
  char buffer[16384];
  while (!way.ended) {
    const ssize_t count = recv(way.from, buffer, sizeof buffer, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) {
      way.ended = true;
      return;
    }
    way.bytes.append(buffer, static_cast<std::size_t>(count));
    if (line.held) line.kept_bytes += static_cast<std::size_t>(count);
  }
}

void WriteFrom(Way& way, Line& line) {
  while (!way.bytes.empty()) {
    const ssize_t count = send(way.to, way.bytes.data(), way.bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) {
      line.broken = true;
      return;
    }
    way.bytes.erase(0, static_cast<std::size_t>(count));
  }
  if (way.ended && !way.end_forwarded) {
    way.end_forwarded = true;
    shutdown(way.to, SHUT_WR);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  signal(SIGPIPE, SIG_IGN);
  const int target_port = std::atoi(argv[2]);
  const std::string command_path = argv[3];
  FILE* const log = std::fopen(argv[4], "a");
  if (log == nullptr) return 2;
  setvbuf(log, nullptr, _IOLBF, 0);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in own = AddressOf(std::atoi(argv[1]));
  if (bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 || listen(listener, 64) != 0)
    return 2;
  MakeNonblocking(listener);
  std::list<Line> lines;
  std::string last_command;
  int next_number = 1;
  double next_command_at = 0;
  bool is_cut = false, is_mute = false;
  while (true) {
    if (Now() >= next_command_at) {
      next_command_at = Now() + 0.005;
      std::string command;
      std::getline(std::ifstream(command_path), command);
      if (!command.empty() && command != last_command) {
        last_command = command;
        std::size_t kept = 0;
        const std::string word = command.substr(0, command.find(' '));
        is_cut = word == "cut";
        is_mute = word == "mute";
        for (Line& line : lines) {
          if (word == "cut") line.held = line.cut = true;
          if (word == "back" && line.cut) line.broken = true;
          if (word == "hold") line.held = true;
          if (word != "deliver") continue;
          kept += line.held ? line.kept_bytes : 0;
          line.held = false;
        }
        std::fprintf(log, "%.3f line %s: %s, %zu connections, %zu bytes were kept back\n", Now(), argv[1],
                     command.c_str(), lines.size(), kept);
      }
    }
    std::vector<pollfd> polls = {{listener, POLLIN, 0}};
    for (Line& line : lines) {
      for (Way& way : line.ways) {
        if (!way.ended) polls.push_back({way.from, POLLIN, 0});
        if (!way.bytes.empty() && !line.held) polls.push_back({way.to, POLLOUT, 0});
      }
    }
    poll(polls.data(), polls.size(), 5);
    while (true) {
      const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) break;
      const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in to = AddressOf(target_port);
      if (connect(server, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close(server);
        close(client);
        continue;
      }
      MakeNonblocking(client);
      MakeNonblocking(server);
      Line line;
      line.number = next_number++;
      line.held = line.cut = is_cut;
      line.mute = is_mute;
      line.ways[0] = {client, server, {}, false, false};
      line.ways[1] = {server, client, {}, false, false};
      lines.push_back(std::move(line));
      std::fprintf(log, "%.3f line %s: connection %d\n", Now(), argv[1], next_number - 1);
    }
    for (auto it = lines.begin(); it != lines.end();) {
      Line& line = *it;
      const std::size_t unsent = line.ways[0].bytes.size();
      for (Way& way : line.ways) ReadInto(way, line);
      line.caller_sends += line.ways[0].bytes.size() > unsent;
      if (line.mute && line.caller_sends >= 2) line.ways[1].bytes.clear();
      if (!line.held) {
        for (Way& way : line.ways) WriteFrom(way, line);
      }
      const bool done = line.broken || (line.ways[0].end_forwarded && line.ways[1].end_forwarded);
      if (done) {
        const linger reset_at_close{1, 0};
        for (const Way& way : line.ways) {
          if (line.cut) setsockopt(way.from, SOL_SOCKET, SO_LINGER, &reset_at_close, sizeof reset_at_close);
          close(way.from);
        }
        it = lines.erase(it);
      } else {
        ++it;
      }
    }
  }
}
