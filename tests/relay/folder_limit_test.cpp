// The state folder never holds more than limits.disk_mb, and every accepted message still gets its final
// answer: bursts of messages, kills during a burst, failed writes, and folders that an earlier process
// filled.
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "handover/channel.hpp"
#include "handover/packets.hpp"
#include "race_fixture.hpp"
#include "tracer.hpp"

namespace oxbowspread::testing {
namespace {

constexpr std::size_t kLargeBody = 60 * 1024;
constexpr int kDeadlineMs = 16000;

// Bytes of the journal and of the file that replaces it. Each file counts in whole 512 bytes. The new file is
// looked at first, so that a file which is renamed in between counts once.
std::size_t FolderBytes(const std::string& folder) {
  std::map<ino_t, std::size_t> sizes;
  for (const char* const name : {"/journal.next", "/journal"}) {
    struct stat status {};
    if (stat((folder + name).c_str(), &status) == 0)
      sizes[status.st_ino] = (static_cast<std::size_t>(status.st_size) + 511) / 512 * 512;
  }
  std::size_t bytes = 0;
  for (const auto& [inode, size] : sizes) bytes += size;
  return bytes;
}

// Looks at a folder on a thread of its own, without a pause, from construction to Stop or destruction.
class FolderWatcher {
 public:
  explicit FolderWatcher(std::string folder) : folder_(std::move(folder)), thread_([this] { Watch(); }) {}
  ~FolderWatcher() { Stop(); }
  FolderWatcher(const FolderWatcher&) = delete;
  FolderWatcher& operator=(const FolderWatcher&) = delete;
  // Returns the most bytes that the folder has held.
  std::size_t Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
    return largest_;
  }

 private:
  void Watch() {
    while (!stopped_) largest_ = std::max(largest_, FolderBytes(folder_));
  }

  std::string folder_;
  std::atomic<bool> stopped_ = false;
  std::size_t largest_ = 0;
  std::thread thread_;
};

struct BurstMessage {
  std::string id;
  std::size_t body_bytes = kLargeBody;
  int deadline_ms = kDeadlineMs;  // the decision module rejects a message that has no time left
};

std::vector<BurstMessage> MessagesOf(const std::string& prefix, int count, std::size_t body_bytes,
                                     int deadline_ms = kDeadlineMs) {
  std::vector<BurstMessage> messages;
  for (int i = 0; i < count; ++i) messages.push_back({prefix + std::to_string(i), body_bytes, deadline_ms});
  return messages;
}

// Returns 20 large messages between 40 that the decision module rejects, 20 on each side, because the relay
// may read connections in any order.
std::vector<BurstMessage> TwentyAmongRejected() {
  std::vector<BurstMessage> messages = MessagesOf("a", 20, kLargeBody, 0);
  for (const BurstMessage& message : MessagesOf("m", 20, kLargeBody)) messages.push_back(message);
  for (const BurstMessage& message : MessagesOf("z", 20, kLargeBody, 0)) messages.push_back(message);
  return messages;
}

// Clients that each submit one message, all at the same moment.
class Burst {
 public:
  // Connects the clients and sends their requests except the last bytes.
  Burst(const RelayProcess& relay, const std::vector<BurstMessage>& messages) : messages_(messages) {
    for (const BurstMessage& message : messages_) {
      const std::string attributes = ",k=key-" + message.id + ",dest=7";
      const std::string command = Client::PutCommand(message.id, std::string(message.body_bytes, 'x'),
                                                     message.deadline_ms, attributes);
      clients_.emplace_back(relay);
      clients_.back().socket().Send(command.substr(0, command.size() - 2));
      clients_.back().socket().WaitUntilAcknowledged();
    }
    // The relay has read what arrived before these commands.
    Client last(relay);
    for (int i = 0; i < 3; ++i) REQUIRE(last.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  }
  // Sends the last bytes. The relay must be suspended or traced, so that it reads all of them at once.
  void Complete() {
    for (Client& client : clients_) client.socket().Send("\r\n");
    for (Client& client : clients_) client.socket().WaitUntilAcknowledged();
  }
  // Reads the answers: +OK, -BUSY with a time in ms, or none if the connection was closed. Returns the ids of
  // the accepted messages.
  std::set<std::string> ReadAnswers() {
    std::set<std::string> accepted;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      const std::string answer = clients_[i].ReadLine();
      if (answer == "+OK") accepted.insert(messages_[i].id);
      if (answer != "+OK" && !answer.empty()) ++rejected_;
      if (answer != "+OK" && !answer.empty() && messages_[i].deadline_ms > 0) {
        REQUIRE(answer.substr(0, 6) == "-BUSY ");
        CHECK(std::stoi(answer.substr(6)) > 0);
      }
    }
    return accepted;
  }
  int rejected() const { return rejected_; }
  // Closes all connections with a TCP reset.
  void Reset() {
    for (Client& client : clients_) client.socket().Reset();
  }

 private:
  std::vector<BurstMessage> messages_;
  std::vector<Client> clients_;
  int rejected_ = 0;
};

struct FolderFixture : RelayFixture {
  explicit FolderFixture(double disk_mb) {
    stubs.AddHost("b", 7);
    stubs.AddHost("c", 7);
    relay.config["limits"]["disk_mb"] = disk_mb;
    relay.config["settings"]["limits"]["max-open"] = 400;
  }
  std::size_t limit_bytes() const {
    return static_cast<std::size_t>(relay.config["limits"]["disk_mb"].get<double>() * 1e6);
  }
  // Submits the messages while the relay is suspended and returns the ids of the accepted ones.
  std::set<std::string> Submit(const std::vector<BurstMessage>& messages, int* rejected = nullptr) {
    Burst burst(relay, messages);
    relay.Suspend();
    burst.Complete();
    relay.Resume();
    const std::set<std::string> accepted = burst.ReadAnswers();
    if (rejected != nullptr) *rejected = burst.rejected();
    return accepted;
  }
  // Answers calls until each of these messages is delivered or its notice has arrived.
  void AwaitFinalAnswers(std::set<std::string> ids) {
    const auto until = Clock::now() + 30s;
    while (!ids.empty()) {
      if (Clock::now() > until)
        FAIL(ids.size() << " messages without a final answer, such as " << *ids.begin());
      if (stubs.CallArrivesWithin(20ms)) {
        const HttpRequest call = stubs.NextCall();
        stubs.Answer(call, "200 OK");
        ids.erase(call.id());
      }
      for (const auto& [id, notice] : stubs.notices) ids.erase(id);
    }
  }
  // Delivers that many messages, so that the journal holds records of closed messages.
  void DeliverMessages(int count, std::size_t body_bytes) {
    Client client(relay);
    for (int i = 0; i < count; ++i) {
      const std::string id = "done-" + std::to_string(i);
      client.Put(id, std::string(body_bytes, 'x'), kDeadlineMs);
      REQUIRE(client.ReadLine() == "+OK");
      AwaitFinalAnswers({id});
      WaitForCounter(client, "delivered", i + 1);
    }
  }
  void Kill() {
    relay.Signal(SIGKILL);
    CHECK(relay.WaitForExit() == -SIGKILL);
  }
};

// The journal and the file that replaces it must both fit into the folder, so half of the limit is for open
// messages, less a slack of 1/32. Each message needs some bytes beside its body: 600 are enough for those of
// these tests.
constexpr std::size_t kRecordBytes = 600;
std::size_t BytesForMessages(std::size_t limit_bytes) { return (limit_bytes - limit_bytes / 32) / 2; }

}  // namespace

// Guards against messages that are counted only once they are recorded: the folder held 6.7 MB of 3 MB.
TEST_CASE("a burst of large messages in one step stays within the folder limit") {
  const auto disk_mb = GENERATE(1.0, 3.0);
  FolderFixture fixture(disk_mb);
  fixture.relay.Start();
  FolderWatcher watcher(fixture.relay.state());
  const std::set<std::string> accepted = fixture.Submit(MessagesOf("m", 54, kLargeBody));
  CHECK(watcher.Stop() <= fixture.limit_bytes());
  CHECK(accepted.size() >= BytesForMessages(fixture.limit_bytes()) / (kLargeBody + kRecordBytes));
  Client client(fixture.relay);
  CHECK(client.Counters()["busy_journal"] == 54 - static_cast<long>(accepted.size()));
  CHECK(client.Counters()["folder_peak_bytes"] <= static_cast<long>(fixture.limit_bytes()));
}

// Guards against refusals that the limit does not force.
TEST_CASE("a burst that fits into a larger folder is accepted whole") {
  FolderFixture fixture(64);
  fixture.relay.Start();
  int rejected = 0;
  CHECK(fixture.Submit(MessagesOf("m", 54, 64 * 1024), &rejected).size() == 54);
  CHECK(rejected == 0);
}

// Guards against accepted messages whose ends can't be recorded because the folder is full.
TEST_CASE("each message of a burst that was accepted gets its final answer within the folder limit") {
  FolderFixture fixture(1);
  fixture.relay.Start();
  FolderWatcher watcher(fixture.relay.state());
  for (int round = 0; round < 3; ++round) {
    std::vector<BurstMessage> messages;
    for (int i = 0; i < 60; ++i) {
      const std::size_t sizes[] = {0, 1, 511, 512, 513, 64 * 1024};
      messages.push_back({std::to_string(round) + "-" + std::to_string(i), sizes[i % 6]});
    }
    const std::set<std::string> accepted = fixture.Submit(messages);
    std::size_t accepted_bytes = 0;
    for (const BurstMessage& message : messages)
      accepted_bytes += accepted.count(message.id) * (message.body_bytes + kRecordBytes);
    // No further message of the largest size would have fitted.
    CHECK(accepted_bytes + 64 * 1024 + kRecordBytes >= BytesForMessages(fixture.limit_bytes()));
    fixture.AwaitFinalAnswers(accepted);
    Client client(fixture.relay);
    fixture.stubs.WaitUntil([&] { return client.Counters()["held"] == 0; });
  }
  CHECK(watcher.Stop() <= fixture.limit_bytes());
  CHECK(Client(fixture.relay).Counters()["journal_pending_bytes"] == 0);
}

// Guards against messages that are rejected because of others which the same step rejects.
TEST_CASE("messages that the decision module rejects take no room from others of the same burst") {
  FolderFixture fixture(3);
  fixture.relay.Start();
  const std::vector<BurstMessage> messages = TwentyAmongRejected();
  CHECK(fixture.Submit(messages).size() == 20);
  Client client(fixture.relay);
  CHECK(client.Counters()["busy_by_module"] == 40);
  CHECK(client.Counters()["journal_pending_bytes"] == 0);
}

// Guards against a message that waits for room although those that have reserved it are withdrawn.
TEST_CASE("a message that waits for room is answered when the clients before it disconnect") {
  FolderFixture fixture(0.25);
  fixture.relay.config["settings"]["tick-s"] = 0.3;
  fixture.relay.Start();
  // The relay may read connections in any order, so some of the clients that disconnect are on each side.
  Burst before(fixture.relay, MessagesOf("a", 2, 50 * 1024));
  Burst waiting(fixture.relay, MessagesOf("m", 2, 50 * 1024));
  Burst after(fixture.relay, MessagesOf("b", 2, 50 * 1024));
  // The next step follows a tick after the one that accepts this message.
  Client client(fixture.relay);
  client.Put("step", "hello", kDeadlineMs);
  REQUIRE(client.ReadLine() == "+OK");
  fixture.relay.Suspend();
  before.Complete();
  waiting.Complete();
  after.Complete();
  fixture.relay.Resume();
  for (int i = 0; i < 3; ++i) REQUIRE(client.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  before.Reset();
  after.Reset();
  CHECK(waiting.ReadAnswers().size() == 2);
}

// Guards against clients whose messages wait for room while a handover begins and who get no answer.
TEST_CASE("every client of a burst is answered before a handover") {
  FolderFixture fixture(3);
  const Socket client_listener = Socket::Listen(511);
  fixture.relay.inherited_listener = &client_listener;
  fixture.relay.Start();
  const std::vector<BurstMessage> messages = TwentyAmongRejected();
  Burst burst(fixture.relay, messages);
  auto channel = handover::Channel::Connect(fixture.relay.state());
  REQUIRE(channel);
  REQUIRE(Client(fixture.relay).Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  fixture.relay.Suspend();
  burst.Complete();
  REQUIRE(channel->Send(handover::HandoverRequest()));
  fixture.relay.Resume();
  bool is_offer_complete = false;
  while (!is_offer_complete) {
    const auto received = channel->Receive(2s);
    REQUIRE(received);
    if (received->fd >= 0) close(received->fd);
    is_offer_complete = std::holds_alternative<handover::OfferComplete>(received->packet);
  }
  fixture.Kill();
  CHECK(burst.ReadAnswers().size() == 20);
  CHECK(burst.rejected() == 40);
}

// Guards against a restart that writes a second file beside a full journal, and against lost messages.
TEST_CASE(
    "SIGKILL at each step of a rewrite in a burst: the folder stays within its limit and nothing is lost") {
  const auto step = GENERATE("open", "write", "before the rename", "after the rename", "record");
  FolderFixture fixture(1);
  fixture.relay.Start();
  fixture.DeliverMessages(8, 50 * 1024);
  FolderWatcher watcher(fixture.relay.state());
  std::set<std::string> accepted;
  {
    Burst burst(fixture.relay, MessagesOf("m", 20, 50 * 1024));
    Tracer tracer(fixture.stubs, fixture.relay.pid());
    burst.Complete();
    tracer.RunUntil([&](const Tracer::Call& call) {
      const bool is_next = tracer.FileOf(call.fd).ends_with("/journal.next");
      if (step == std::string("open")) return call.number == SYS_openat && call.done && is_next;
      if (step == std::string("write")) return call.number == SYS_write && call.done && is_next;
      return call.RenamesFile() && call.done == (step != std::string("before the rename"));
    });
    if (step == std::string("record")) tracer.RunUntilJournalWrites(3);
    fixture.relay.Signal(SIGKILL);
    tracer.Detach();
    accepted = burst.ReadAnswers();
  }
  CHECK(fixture.relay.WaitForExit() == -SIGKILL);
  fixture.relay.Start();
  fixture.AwaitFinalAnswers(accepted);
  const std::set<std::string> more = fixture.Submit(MessagesOf("n", 20, 50 * 1024));
  CHECK_FALSE(more.empty());
  fixture.AwaitFinalAnswers(more);
  CHECK(watcher.Stop() <= fixture.limit_bytes());
}

// Guards against a second file beside a journal that an earlier process left larger than the limit.
TEST_CASE("a journal over the limit is not doubled at the start, and its messages get their final answers") {
  FolderFixture fixture(3);
  fixture.relay.Start();
  const std::set<std::string> accepted = fixture.Submit(MessagesOf("m", 20, kLargeBody));
  CHECK(accepted.size() == 20);
  fixture.Kill();
  const std::size_t found_bytes = FolderBytes(fixture.relay.state());
  fixture.relay.config["limits"]["disk_mb"] = 1;
  {
    FolderWatcher watcher(fixture.relay.state());
    fixture.relay.Start();
    Client client(fixture.relay);
    client.Put("new", "hello", kDeadlineMs);
    CHECK(client.ReadLine().substr(0, 6) == "-BUSY ");
    CHECK(watcher.Stop() <= found_bytes + 20'000);
  }
  fixture.AwaitFinalAnswers(accepted);
  fixture.stubs.WaitUntil([&] { return FolderBytes(fixture.relay.state()) <= fixture.limit_bytes(); });
  CHECK(fixture.Submit(MessagesOf("n", 5, kLargeBody)).size() == 5);
}

// Guards against bodies that are kept after the end of their messages while the platform accepts no notices.
TEST_CASE("messages that wait only for their notices leave the folder to others") {
  FolderFixture fixture(1);
  fixture.stubs.notice_status = 500;
  fixture.relay.Start();
  Client client(fixture.relay);
  for (int i = 0; i < 6; ++i) {
    client.Put("ended-" + std::to_string(i), std::string(kLargeBody, 'x'), 1000);
    REQUIRE(client.ReadLine() == "+OK");
  }
  fixture.WaitForCounter(client, "undeliverable", 6);
  CHECK(fixture.Submit(MessagesOf("m", 6, kLargeBody)).size() == 6);
  fixture.Kill();
  fixture.stubs.notice_status = 204;
  fixture.relay.Start();
  for (int i = 0; i < 6; ++i) fixture.stubs.WaitForNotice("ended-" + std::to_string(i));
}

// Guards against records behind an incomplete one, which the next process does not read.
TEST_CASE("a message accepted after a failed write is recovered") {
  FolderFixture fixture(3);
  fixture.relay.in_child = [] { signal(SIGXFSZ, SIG_IGN); };
  fixture.relay.Start();
  Client client(fixture.relay);
  client.Put("before", std::string(kLargeBody, 'x'), kDeadlineMs);
  REQUIRE(client.ReadLine() == "+OK");
  fixture.stubs.NextCall();
  const rlimit full{FolderBytes(fixture.relay.state()) + 30'000, RLIM_INFINITY};
  REQUIRE(prlimit(fixture.relay.pid(), RLIMIT_FSIZE, &full, nullptr) == 0);
  int rejected = 0;
  CHECK(fixture.Submit(MessagesOf("refused", 5, kLargeBody), &rejected).empty());
  CHECK(rejected == 5);
  const rlimit unlimited{RLIM_INFINITY, RLIM_INFINITY};
  REQUIRE(prlimit(fixture.relay.pid(), RLIMIT_FSIZE, &unlimited, nullptr) == 0);
  client.Put("after", "hello", kDeadlineMs);
  REQUIRE(client.ReadLine() == "+OK");
  fixture.Kill();
  fixture.relay.Start();
  Client next(fixture.relay);
  CHECK(next.Counters()["recovered"] == 2);
  CHECK(next.Counters()["journal_cut_bytes"] == 0);
  fixture.AwaitFinalAnswers({"before", "after"});
}

}  // namespace oxbowspread::testing
