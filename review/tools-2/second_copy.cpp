// The platform and one client for review/6: discovery, the receiver of notices, and one endpoint.
//
//   second_copy DISCOVERY_PORT RELAY_PORT LOG_FILE ROUNDS TROUBLE
//
// In each round the client hands in nine messages. The endpoint delivers the first eight at once. It is full
// at the first call of the ninth, which is handed in 31 ms after the eighth was delivered: it answers 503;
// any further call is delivered. With TROUBLE 1 the endpoint writes the answer to the eighth twice, the copy
// right after it in a write of its own, as a server without TCP_NODELAY does.
//
// Exit code: 1 if a message was lost, 0 if none was, 2 if the relay did not play.
#include <map>

#include "http_peer.hpp"

namespace {

struct Message {
  bool accepted = false;
  int place = 1;  // in its round
  int calls = 0;
  double due_at = 0, ended_at = 0;  // 300 ms, and 50 ms more on sockets, after its time
  std::string end;
};

std::map<std::string, Message> messages;

std::string PutCommand(const std::string& id, int number) {
  const std::string fields = "c=outbound,d=3000,k=" + id + ",dest=7";
  std::string text = "*5\r\n";
  for (const std::string& part :
       {std::string("MSG.PUT"), std::string(16, '0'), id, fields, "body " + std::to_string(number)}) {
    text += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
  }
  return text;
}

void End(const std::string& id, const char* how) {
  Message& message = messages[id];
  Log(how, id);
  if (message.end.empty()) message.end = how, message.ended_at = Now();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) return 2;
  signal(SIGPIPE, SIG_IGN);
  log_file = std::fopen(argv[3], "a");
  if (log_file == nullptr) return 2;
  setvbuf(log_file, nullptr, _IOLBF, 0);
  const int rounds = std::atoi(argv[4]);
  const bool trouble = std::string(argv[5]) != "0";
  const int discovery = Listen(std::atoi(argv[1])), endpoint = Listen(0);
  const std::string list = R"({"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:)" +
                           std::to_string(PortOf(endpoint)) +
                           R"(","zone":"north-room","kind":"partner","cell":7,"state":"Ready",)" +
                           R"("weight":1000.0,"started_ms":0}]})" + "\n";
  std::list<Peer> peers;
  int client = -1, round = 0;
  std::string answers, waiting_for;  // the id of the message that the client waits to be answered
  double next_put_at = Now() + 2, end_at = 0;
  int place = 1;
  unsigned random = static_cast<unsigned>(getpid());
  const double give_up_at = Now() + 90;
  while ((end_at == 0 || Now() < end_at) && Now() < give_up_at) {
    std::vector<pollfd> polls = {{discovery, POLLIN, 0}, {endpoint, POLLIN, 0}, {client, POLLIN, 0}};
    for (const Peer& peer : peers) polls.push_back({peer.fd, POLLIN, 0});
    poll(polls.data(), polls.size(), 1);
    for (const int listener : {discovery, endpoint}) {
      while (true) {
        Peer peer;
        peer.fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (peer.fd < 0) break;
        peer.is_endpoint = listener == endpoint;
        peers.push_back(std::move(peer));
      }
    }
    // The client.
    if (round < rounds && waiting_for.empty() && Now() >= next_put_at) {
      if (client < 0) {
        client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(argv[2])));
        if (connect(client, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) return 2;
      }
      char id[17];
      std::snprintf(id, sizeof id, "%08x%07x%d", random, round, place);
      waiting_for = id;
      Message& message = messages[id];
      message.place = place;
      message.due_at = Now() + 3.35;
      const std::string command = PutCommand(id, round);
      if (send(client, command.data(), command.size(), MSG_NOSIGNAL) < 0) return 2;
      next_put_at = Now() + 4;  // if it is not delivered
    }
    char buffer[16384];
    if (client >= 0) {
      const ssize_t count = recv(client, buffer, sizeof buffer, MSG_DONTWAIT);
      if (count > 0) answers.append(buffer, static_cast<std::size_t>(count));
      if (count == 0) {
        close(client);
        client = -1;
      }
    }
    if (const std::size_t end = answers.find("\r\n"); end != answers.npos && !waiting_for.empty()) {
      Message& message = messages[waiting_for];
      message.accepted = answers[0] == '+';
      Log(("answered " + answers.substr(0, end)).c_str(), waiting_for);
      answers.erase(0, end + 2);
      place = message.place % 9 + 1;
      if (message.place == 9) {
        round += 1;
        next_put_at = Now() + 0.3;
        if (round == rounds) end_at = Now() + 5;
      }
      waiting_for.clear();
    }
    for (auto it = peers.begin(); it != peers.end();) {
      Peer& peer = *it;
      const ssize_t count = recv(peer.fd, buffer, sizeof buffer, 0);
      if (count > 0) peer.bytes.append(buffer, static_cast<std::size_t>(count));
      if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) peer.ended = true;
      std::string head, body;
      while (!peer.is_watch && TakeRequest(peer, &head, &body)) {
        if (peer.is_endpoint) {
          const std::string id = Header(head, "X-Request-ID");
          Message& message = messages[id];
          message.calls += 1;
          Log("call", id);
          if (message.place == 9 && message.calls == 1) {
            Write(peer, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            Log("full", id);
            continue;
          }
          const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
          Write(peer, answer);
          End(id, "delivered");
          if (message.place == 9) continue;
          if (message.place == 8 && trouble) Write(peer, answer);
          next_put_at = Now() + 0.031;
        } else if (head.rfind("POST", 0) == 0) {
          for (std::size_t at = 0; (at = body.find("\"id\":\"", at)) != body.npos;) {
            at += 6;
            End(body.substr(at, body.find('"', at) - at), "notice");
          }
          Write(peer, "HTTP/1.1 204 No Content\r\n\r\n");
        } else {
          Write(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          WriteChunk(peer, list);
          peer.is_watch = true;
          peer.next_line_at = Now() + 2;
        }
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
  int accepted = 0, lost = 0;
  for (const auto& [id, message] : messages) {
    accepted += message.accepted;
    if (!message.accepted || (!message.end.empty() && message.ended_at <= message.due_at)) continue;
    lost += 1;
    Log(message.end.empty() ? "lost: no end" : "lost: late end", id);
  }
  std::fprintf(log_file, "%d messages were taken on, %d are lost\n", accepted, lost);
  if (accepted < rounds) return 2;
  return lost > 0 ? 1 : 0;
}
