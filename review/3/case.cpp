// One of three relays, with steady traffic for three partners and its third of a clump of messages with large
// bodies for one of them. The relay's folder must never hold more than disk_mb.
#include <barrier>

#include "../stand_ins.hpp"

namespace {

using namespace review;

constexpr int kDestination = 7;
constexpr int kSteadyMessages = 285;  // of 200 bytes, 16.7 a second, two of five for the partner of the clump
constexpr int kClump = 54;            // 15.9 % of this relay's messages; the other relays get as many
constexpr double kRouteRate = 18;     // of each of a partner's three routes: three times 54 messages in 3 s
constexpr std::size_t kLargeBody = 60 * 1024;   // a body holds 64 KiB at most
constexpr std::size_t kLimitBytes = 3'000'000;  // disk_mb of the configuration
constexpr std::chrono::milliseconds kStep{60}, kSampleInterval{2};

// The size of the folder. Each file counts in whole 512 bytes. The new journal is looked at before the old
// one, so that both count only if both are there, and one that is renamed in between counts once.
std::size_t FolderBytes(const std::string& folder) {
  std::map<ino_t, std::size_t> sizes;
  for (const char* const name : {"/journal.next", "/journal", "/handover"}) {
    struct stat status {};
    if (stat((folder + name).c_str(), &status) == 0 && S_ISREG(status.st_mode))
      sizes[status.st_ino] = (static_cast<std::size_t>(status.st_size) + 511) / 512 * 512;
  }
  std::size_t bytes = 0;
  for (const auto& [inode, size] : sizes) bytes += size;
  return bytes;
}

std::string IdOf(char kind, int number) {
  char id[32];
  std::snprintf(id, sizeof id, "%c%015x", kind, static_cast<unsigned>(number));
  return id;
}

int Run(Record& record) {
  const bool trouble = IsTroubled();
  TemporaryFolder folder;
  Platform platform(record);
  Endpoints endpoints(record, [](const Call&, int) {
    Sleep(400ms);
    return kServed;
  });
  for (int partner = kDestination; partner < kDestination + 3; ++partner) {
    for (int route = 1; route <= 3; ++route) {
      const std::string host = "s-" + std::to_string(partner) + "-" + std::to_string(route);
      platform.AddHost(host, endpoints.Open(host), partner, "north-room", kRouteRate);
    }
  }
  Relay relay(record, platform, folder.path(), Settings("deduplicated", 160), false);
  relay.Start();
  if (!relay.WaitUntilReady(10s)) return 2;
  Sleep(500ms);

  std::atomic<bool> done = false;
  std::size_t largest = 0;
  int over = 0, samples = 0;
  std::thread watcher([&] {
    while (!done) {
      const std::size_t bytes = FolderBytes(relay.state());
      if (bytes > largest && bytes > kLimitBytes)
        record.Line("the folder holds " + std::to_string(bytes) + " bytes");
      largest = std::max(largest, bytes);
      samples += 1;
      over += bytes > kLimitBytes;
      Sleep(kSampleInterval);
    }
  });

  std::atomic<int> taken = 0, busy = 0, other = 0;
  const auto await_answer = [&](int fd, const std::string& id) {
    const std::string answer = ReadLine(fd, 400ms);
    record.Line("message " + id + ": answer '" + answer + "'");
    (answer == "+OK" ? taken : answer.rfind("-BUSY", 0) == 0 ? busy : other) += 1;
    close(fd);
  };
  // The clients of the clump write their bodies and then, all at one moment, the last bytes.
  std::barrier written(kClump), sent(kClump);
  std::vector<int> connections(kClump);
  std::vector<std::thread> clients;
  const auto start = Clock::now();
  for (int i = 0; i < kClump; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = IdOf('c', i);
      const std::string command =
          PutCommand(id, std::string(kLargeBody, static_cast<char>('a' + i % 26)), 16000, kDestination);
      std::this_thread::sleep_until(start + (trouble ? 100 : 5 * i) * kStep);
      connections[i] = Connect(relay.port());
      SendAll(connections[i], command.substr(0, command.size() - 2));
      if (trouble) {
        written.arrive_and_wait();
        Sleep(100ms);
        if (i == 0) {
          for (const int connection : connections) SendAll(connection, "\r\n");
          record.Line("the clump's " + std::to_string(kClump) + " messages are written");
        }
        sent.arrive_and_wait();
      } else {
        SendAll(connections[i], "\r\n");
      }
      await_answer(connections[i], id);
    });
  }
  for (int i = 0; i < kSteadyMessages; ++i) {
    std::this_thread::sleep_until(start + i * kStep);
    clients.emplace_back([&, i] {
      const int fd = Connect(relay.port());
      const int destination = i % 5 < 2 ? kDestination : kDestination + 1 + i % 2;
      SendAll(fd, PutCommand(IdOf('a', i), std::string(200, 'x'), 16000, destination));
      await_answer(fd, IdOf('a', i));
    });
  }
  for (std::thread& client : clients) client.join();
  Sleep(3s);
  done = true;
  watcher.join();
  record.Line(std::to_string(taken) + " taken on, " + std::to_string(busy) + " busy, " +
              std::to_string(other) + " without an answer; " + std::to_string(endpoints.served().size()) +
              " delivered");
  record.Line("the folder held up to " + std::to_string(largest) + " bytes, and more than disk_mb in " +
              std::to_string(over) + " of " + std::to_string(samples) + " samples");
  return over > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
