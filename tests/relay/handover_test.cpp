// Handover from a serving relay process to a new one, and recovery when either process dies during it.
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <random>
#include <set>

#include "handover/channel.hpp"
#include "handover/handover_receiver.hpp"
#include "handover/handover_sender.hpp"
#include "journal/folder_lock.hpp"
#include "relay_harness.hpp"

namespace oxbowspread::testing {
namespace {

using namespace handover;

// Two processes that share the listening socket for clients and the state folder.
struct HandoverFixture {
  StubServices stubs;
  Socket client_listener = Socket::Listen(511);
  RelayProcess old_process{stubs}, new_process{stubs};
  int old_management_port = 0, new_management_port = 0;

  HandoverFixture() {
    stubs.AddHost("a", 7);
    for (RelayProcess* process : {&old_process, &new_process}) process->inherited_listener = &client_listener;
    new_process.UseStateFolder(old_process.state());
    old_management_port = AssignManagementPort(old_process);
    new_management_port = AssignManagementPort(new_process);
  }
  // Configures a free management port for the process and returns the port.
  static int AssignManagementPort(RelayProcess& process) {
    const int port = Socket::Listen().port();
    process.config["mgmt"] = "127.0.0.1:" + std::to_string(port);
    return port;
  }
  // Starts the new process and waits until the old one has handed over.
  void HandOver() {
    new_process.Start();
    old_process.WaitForLog("given over");
  }
  // Sends an operator command to that management port and returns the first line of the answer.
  std::string SendCommand(int port, const std::string& line) {
    const Socket connection = Socket::Connect(port);
    connection.Send(line + "\n");
    const std::string answer = connection.Receive(3s);
    return answer.substr(0, answer.find('\n'));
  }
  long Counter(const RelayProcess& process, const std::string& name) {
    return Client(process).Counters()[name];
  }
};

// Acts as the new process: requests a handover, and receives packets until that phase is reached. Answers
// them only if the phase is kOwner.
HandoverReceiver ReceiveUntil(Channel& channel, HandoverReceiver::Phase phase) {
  REQUIRE(channel.Send(HandoverRequest()));
  HandoverReceiver receiver;
  while (receiver.phase() < phase) {
    auto received = channel.Receive(2s);
    REQUIRE(received);
    const auto answer = receiver.Feed(std::move(received->packet), received->fd);
    if (answer && phase == HandoverReceiver::Phase::kOwner) channel.Send(*answer);
  }
  return receiver;
}
void CloseDescriptors(const HandoverReceiver& receiver) {
  for (const auto& client : receiver.client_states()) close(client.fd);
  close(receiver.lock_fd());
}

TEST_CASE("handover packets decode to what was encoded and truncated ones are rejected") {
  relay::HandoverState state;
  relay::Host host;
  host.info = {"a", 7, 1, 2, 3.5, wheathub::Lifecycle::kDraining};
  host.address = "127.0.0.1:1";
  state.routing_table = {wheathub::ListScope::kRemembered, 41, {host}};
  wheathub::LearnedState learned_state;
  learned_state.endpoint = "a";
  learned_state.route.tokens = 2.5;
  learned_state.route.wait_until = 12345s;
  learned_state.health.warm_at = 54321s;
  learned_state.health.state = wheathub::HealthState::kDown;
  learned_state.health.failure_rate = 0.25;
  state.learned_states = {learned_state};
  state.in_flight = {{"m1", "a", 77s, 88s}};
  state.host_waits = {{"a", 1s, 2s}};
  state.address_waits = {{"127.0.0.1:7", 3s}};
  state.list_valid_until = 99s;
  std::string encoded;
  for (const StateChunk& chunk : ToChunks(state)) encoded += chunk.bytes;
  const relay::HandoverState decoded = FromChunks(encoded);
  CHECK(decoded.routing_table.hosts.at(0).info.weight == 3.5);
  CHECK(decoded.routing_table.hosts.at(0).address == "127.0.0.1:1");
  CHECK(decoded.learned_states.at(0).route.wait_until == 12345s);
  CHECK(decoded.learned_states.at(0).health.warm_at == 54321s);
  CHECK(decoded.learned_states.at(0).health.state == wheathub::HealthState::kDown);
  CHECK(decoded.learned_states.at(0).health.failed_at == wheathub::EndpointHealth::kNever);
  CHECK(decoded.in_flight.at(0).started_at == 77s);
  CHECK(decoded.in_flight.at(0).message_deadline == 88s);
  CHECK(decoded.host_waits.at(0).until == 2s);
  REQUIRE(decoded.address_waits.size() == 1);
  CHECK(decoded.address_waits.front().address == "127.0.0.1:7");
  CHECK(decoded.address_waits.front().until == 3s);
  CHECK(decoded.list_valid_until == 99s);
  for (std::size_t length = 0; length < encoded.size(); ++length) {
    CHECK_THROWS_AS(FromChunks(encoded.substr(0, length)), std::invalid_argument);
  }
  const std::string packet = ToBytes(AttemptEnded{"m", {wheathub::Outcome::kRefused, false, 5s}});
  CHECK(std::get<AttemptEnded>(FromBytes(packet)).result.retry_after == 5s);
  for (std::size_t length = 0; length < packet.size(); ++length) {
    CHECK_THROWS_AS(FromBytes(packet.substr(0, length)), std::invalid_argument);
  }
}

TEST_CASE("requests split at any byte continue in the new process on the same connections") {
  HandoverFixture fixture;
  fixture.old_process.config["settings"]["limits"]["max-open"] =
      fixture.new_process.config["settings"]["limits"]["max-open"] = 1000;
  for (RelayProcess* process : {&fixture.old_process, &fixture.new_process})
    process->config["settings"]["family-info"]["calls-out"] = 500;
  fixture.old_process.Start();
  const std::string request = Client::PutCommand("id-000", "a body\r\n", 8000, ",k=key1,dest=7");
  std::vector<std::unique_ptr<Client>> clients;
  const auto request_with_id = [&](std::size_t id) {
    std::string copy = request;
    const std::string number = std::to_string(1000 + id).substr(1);
    return copy.replace(copy.find("id-000") + 3, 3, number);
  };
  for (std::size_t split = 0; split <= request.size(); ++split) {
    clients.push_back(std::make_unique<Client>(fixture.old_process));
    clients.back()->socket().Send(request_with_id(split).substr(0, split));
  }
  fixture.stubs.WaitUntil([&] {
    return fixture.Counter(fixture.old_process, "clients") >= static_cast<long>(clients.size()) + 1;
  });
  fixture.HandOver();
  for (std::size_t split = 0; split <= request.size(); ++split) {
    clients[split]->socket().Send(request_with_id(split).substr(split));
    INFO(split);
    REQUIRE(clients[split]->ReadLine() == "+OK");
  }
  std::set<std::string> ids;
  while (ids.size() < clients.size()) {
    const HttpRequest call = fixture.stubs.NextCall();
    CHECK(ids.insert(call.id()).second);
    CHECK(call.body == "a body\r\n");
    fixture.stubs.Answer(call, "200 OK");
  }
  CHECK(fixture.old_process.WaitForExit() == 0);
}

TEST_CASE("attempts in flight end in the old process and the new process handles their results") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  std::map<std::string, HttpRequest> calls;
  for (const std::string id : {"served", "failed", "waits"}) {
    client.Put(id);
    REQUIRE(client.ReadLine() == "+OK");
    calls[id] = fixture.stubs.NextCall();
  }
  fixture.HandOver();
  CHECK(fixture.SendCommand(fixture.new_management_port, "readyz") == "done");
  CHECK(fixture.SendCommand(fixture.old_management_port, "readyz") == "error given over");
  fixture.stubs.Answer(calls["served"], "200 OK");
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.new_process, "delivered") == 1; });
  CHECK(fixture.Counter(fixture.new_process, "recovered") == 3);
  // A Retry-After that the old process receives also applies to the new process, which repeats the message
  // after that time.
  const auto refused_at = Clock::now();
  fixture.stubs.Answer(calls["waits"], "503 Full", "Retry-After: 0.6\r\n");
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.new_process, "refused") == 1; });
  fixture.stubs.Answer(calls["failed"], "500 No");
  std::set<std::string> repeated;
  while (repeated.size() < 2) {
    const HttpRequest call = fixture.stubs.NextCall();
    repeated.insert(call.id());
    fixture.stubs.Answer(call, "200 OK");
  }
  CHECK(Clock::now() - refused_at > 500ms);
  CHECK(repeated == std::set<std::string>{"failed", "waits"});
  fixture.old_process.Signal(SIGTERM);
  CHECK(fixture.old_process.WaitForExit() == 0);
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.new_process, "delivered") == 3; });
  // A second handover right after the first one.
  RelayProcess third(fixture.stubs);
  third.inherited_listener = &fixture.client_listener;
  third.UseStateFolder(fixture.old_process.state());
  third.Start();
  CHECK(fixture.new_process.WaitForExit() == 0);
  client.Put("more");
  CHECK(client.ReadLine() == "+OK");
}

TEST_CASE("a message that was delivered before a handover does not run again at the new process") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  {
    Client client(fixture.old_process);
    client.Put("again");
    REQUIRE(client.ReadLine() == "+OK");
    fixture.stubs.Answer(fixture.stubs.NextCall(), "200 OK");
    fixture.stubs.WaitUntil([&] { return client.Counters()["delivered"] == 1; });
  }
  fixture.HandOver();
  Client client(fixture.new_process);
  client.Put("again");
  CHECK(client.ReadLine() == "+OK");
  client.Put("later", "hello", 8000, ",k=key2,dest=7");
  CHECK(client.ReadLine() == "+OK");
  CHECK(fixture.stubs.NextCall().id() == "later");
}

TEST_CASE("a wait requested by a host and the exclusion of another one survive a handover") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.watch_requests == 1; });
  CHECK(fixture.SendCommand(fixture.old_management_port, "exclude a") == "done");
  fixture.stubs.AddHost("b", 8);
  fixture.stubs.PushChange({{"version", 9}, {"full", false}, {"servers", {fixture.stubs.ListEntry("b")}}});
  Client client(fixture.old_process);
  fixture.stubs.WaitUntil([&] { return client.Counters()["list_changes"] >= 3; });
  client.Put("held-a");
  REQUIRE(client.ReadLine() == "+OK");
  client.Put("first-b", "x", 8000, ",k=k2,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  const auto refused_at = Clock::now();
  fixture.stubs.Answer(fixture.stubs.NextCall(), "503 Full", "Retry-After: 1.2\r\n");
  fixture.stubs.WaitUntil([&] { return client.Counters()["refused"] == 1; });
  // The attempt in flight keeps the old process alive.
  fixture.HandOver();
  client.Put("second-b", "x", 8000, ",k=k3,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  CHECK(fixture.stubs.HostOf(call) == "b");
  CHECK(Clock::now() - refused_at > 1s);
  CHECK(fixture.SendCommand(fixture.new_management_port, "include a") == "done");
  HttpRequest after = fixture.stubs.NextCall();
  while (fixture.stubs.HostOf(after) != "a") after = fixture.stubs.NextCall();
  CHECK(after.id() == "held-a");
}

// Guards against a new process that delays its first discovery call by a random time, as the relays of a
// starting fleet do. Until that call no process would watch the list.
TEST_CASE("a process that takes over asks for the list at once in a fleet of 300") {
  HandoverFixture fixture;
  for (RelayProcess* process : {&fixture.old_process, &fixture.new_process})
    process->config["settings"]["balancers"] = 300;
  fixture.old_process.Start();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.open_watches() == 1; });
  fixture.HandOver();
  CHECK(fixture.Counter(fixture.new_process, "watches") == 1);
}

TEST_CASE("the old process forwards operator commands to the new one while it has attempts in flight") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  client.Put("out");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  fixture.HandOver();
  // The old process waits for the answer of the new one before it answers.
  CHECK(fixture.SendCommand(fixture.old_management_port, "exclude a") == "done");
  CHECK(fixture.SendCommand(fixture.old_management_port, "exclude nobody").substr(0, 6) == "error ");
  CHECK(fixture.Counter(fixture.new_process, "hosts_out") == 1);
  fixture.stubs.Answer(call, "200 OK");
  CHECK(fixture.old_process.WaitForExit() == 0);
}

// Guards against two open attempts of one message. The new process needs the slot of an overdue attempt and
// requests the old process to cancel that attempt, but the old process is suspended (SIGSTOP). The new
// process used to wait 150 ms for the answer and then assumed that the old process was dead: 3 s after the
// handover it repeated the message while the first attempt was still open on its connection. Earlier tests
// cover only pauses of 0.15 s.
TEST_CASE("an attempt that a suspended old process can't cancel is not repeated before it is cancelled") {
  HandoverFixture fixture;
  fixture.stubs.AddHost("b", 8);
  for (RelayProcess* process : {&fixture.old_process, &fixture.new_process})
    process->config["settings"]["family-info"]["calls-out"] = 1;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  client.Put("out", "hello", 20000);
  REQUIRE(client.ReadLine() == "+OK");
  REQUIRE(fixture.stubs.NextCall().id() == "out");
  fixture.HandOver();
  fixture.old_process.Suspend();
  client.Put("other", "hello", 20000, ",k=key2,dest=8");
  REQUIRE(client.ReadLine() == "+OK");
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(5s));  // the attempt in flight occupies the only slot
  fixture.old_process.Resume();
  std::set<std::string> called;
  while (called.size() < 2) {
    const HttpRequest call = fixture.stubs.NextCall();
    called.insert(call.id());
    fixture.stubs.Answer(call, "200 OK");
  }
  CHECK(called == std::set<std::string>{"other", "out"});
  CHECK(fixture.old_process.WaitForExit() == 0);
}

// Guards against a late notice: only the old process used to check the deadline of an attempt that was in
// flight there. When it was suspended past the message's deadline, no notice was sent until it resumed or
// died.
TEST_CASE("a message whose attempt is in flight in a suspended old process ends by its deadline") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  client.Put("out", "hello", 2500);
  const auto sent = Clock::now();
  REQUIRE(client.ReadLine() == "+OK");
  fixture.stubs.NextCall();
  fixture.HandOver();
  fixture.old_process.Suspend();
  fixture.stubs.WaitUntil([&] { return fixture.stubs.notices.count("out") > 0; });
  CHECK(Clock::now() - sent <= 2500ms + 350ms);
  CHECK(fixture.stubs.notices.at("out").at("status") == "undeliverable");
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(500ms));  // no attempt begins after the message has ended
  fixture.old_process.Resume();
  CHECK(fixture.old_process.WaitForExit() == 0);
}

TEST_CASE("a message whose attempt was in flight in a killed old process may have run and is repeated") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  client.Put("out");
  REQUIRE(client.ReadLine() == "+OK");
  fixture.stubs.NextCall();
  fixture.HandOver();
  CHECK_FALSE(fixture.stubs.CallArrivesWithin(200ms));  // a message has one attempt at a time
  fixture.old_process.Signal(SIGKILL);
  fixture.old_process.WaitForExit();
  const HttpRequest repeat = fixture.stubs.NextCall();
  CHECK(repeat.id() == "out");
  fixture.stubs.Answer(repeat, "200 OK");
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.new_process, "delivered") == 1; });
}

// The test acts as a new process that dies or hangs at each step of the handover.
TEST_CASE("the old process keeps serving when the new one fails before the handover is complete") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  client.Put("out");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  client.socket().Send(Client::PutCommand("cut", "x", 8000, ",k=k2,dest=7").substr(0, 20));
  const auto check_serves = [&] {
    Client other(fixture.old_process);
    REQUIRE(other.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG");
  };
  SECTION("it disconnects before it requests a handover") {
    { auto channel = Channel::Connect(fixture.old_process.state()); }
    check_serves();
  }
  SECTION("it disconnects after its request or in the middle of the transfer") {
    for (int packets = 0; packets < 3; ++packets) {
      auto channel = Channel::Connect(fixture.old_process.state());
      REQUIRE(channel->Send(HandoverRequest()));
      for (int i = 0; i < packets; ++i) {
        const auto received = channel->Receive(2s);
        REQUIRE(received);
        if (received->fd >= 0) close(received->fd);
      }
      channel->Close();
      check_serves();
    }
  }
  SECTION("it has received everything and does not confirm") {
    auto channel = Channel::Connect(fixture.old_process.state());
    const HandoverReceiver receiver = ReceiveUntil(*channel, HandoverReceiver::Phase::kReady);
    check_serves();
    channel->Send(OfferAccepted());  // too late: the old process has withdrawn its offer
    CHECK_FALSE(channel->Receive(500ms));
    CloseDescriptors(receiver);
  }
  SECTION("it requests a handover and reads nothing") {
    std::vector<Client> clients;
    for (int i = 0; i < 300; ++i) clients.emplace_back(fixture.old_process);
    auto channel = Channel::Connect(fixture.old_process.state());
    REQUIRE(channel->Send(HandoverRequest()));
    const auto asked_at = Clock::now();
    check_serves();
    CHECK(Clock::now() - asked_at < 900ms);
  }
  SECTION("it uses another protocol version") {
    auto channel = Channel::Connect(fixture.old_process.state());
    REQUIRE(channel->Send(HandoverRequest{kProtocolVersion + 1, 1}));
    const auto received = channel->Receive(2s);
    REQUIRE(received);
    CHECK(std::get<Refusal>(received->packet).reason.find("version") != std::string::npos);
  }
  SECTION("it sends bytes that are not a packet") {
    auto channel = Channel::Connect(fixture.old_process.state());
    send(channel->fd(), "rubbish", 7, MSG_NOSIGNAL);
    CHECK_FALSE(channel->Receive(500ms));
    CHECK(channel->ended());
  }
  check_serves();
  client.socket().Send(Client::PutCommand("cut", "x", 8000, ",k=k2,dest=7").substr(20));
  CHECK(client.ReadLine() == "+OK");
  const HttpRequest second = fixture.stubs.NextCall();
  CHECK(second.id() == "cut");
  fixture.stubs.Answer(call, "200 OK");
  fixture.stubs.Answer(second, "200 OK");
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.old_process, "delivered") == 2; });
  // A new process that works can still take over afterwards.
  fixture.HandOver();
}

TEST_CASE("the old process restarts from the journal when the new one dies after becoming the owner") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  {
    Client client(fixture.old_process);
    client.Put("kept");
    REQUIRE(client.ReadLine() == "+OK");
    fixture.stubs.NextCall();
  }
  {
    auto channel = Channel::Connect(fixture.old_process.state());
    CloseDescriptors(ReceiveUntil(*channel, HandoverReceiver::Phase::kOwner));
  }
  fixture.old_process.WaitForLog("restarting from the journal");
  const HttpRequest repeat = fixture.stubs.NextCall();
  CHECK(repeat.id() == "kept");
  fixture.stubs.Answer(repeat, "200 OK");
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.old_process, "delivered") == 1; });
}

// The test holds the lock of the state folder and acts as an old process that dies at each step.
TEST_CASE("the new process serves from the journal if the old one dies at any step of the handover") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  {
    Client client(fixture.old_process);
    client.Put("kept");
    REQUIRE(client.ReadLine() == "+OK");
    fixture.stubs.NextCall();
  }
  fixture.old_process.Signal(SIGKILL);
  fixture.old_process.WaitForExit();
  auto lock = std::make_unique<journal::FolderLock>(fixture.old_process.state());
  net::Loop loop;
  std::optional<Channel> channel;
  auto listener = std::make_unique<ChannelListener>(
      loop, fixture.old_process.state(), [&](Channel opened) { channel.emplace(std::move(opened)); });
  const int step = GENERATE(0, 1, 2, 3);
  CAPTURE(step);
  fixture.new_process.Spawn();
  fixture.stubs.WaitUntil([&] {
    loop.ref().run(EVRUN_NOWAIT);
    return channel.has_value();
  });
  REQUIRE(channel->Receive(2s));
  // The step at which the old process dies: 0, after the request; 1, in the middle of the transfer; 2, before
  // its last packet; 3, after it has refused.
  if (step == 1 || step == 2) {
    for (const StateChunk& chunk : ToChunks(relay::HandoverState())) CHECK(channel->Send(chunk));
  }
  if (step == 2) {
    CHECK(channel->Send(OfferComplete{0}, lock->fd()));
    const auto answer = channel->Receive(2s);
    REQUIRE(answer);
    CHECK(std::holds_alternative<OfferAccepted>(answer->packet));
  }
  if (step == 3) CHECK(channel->Send(Refusal{"draining"}));
  lock.reset();
  channel.reset();
  if (step != 1) listener.reset();  // at step 1 the socket file stays, as after the kill of a process
  fixture.new_process.WaitForLog(": serving");
  const HttpRequest repeat = fixture.stubs.NextCall();
  CHECK(repeat.id() == "kept");
  fixture.stubs.Answer(repeat, "200 OK");
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.new_process, "delivered") == 1; });
}

TEST_CASE("SIGHUP and SIGTERM to either process right after a handover lose nothing") {
  HandoverFixture fixture;
  fixture.old_process.Start();
  Client client(fixture.old_process);
  client.Put("out");
  REQUIRE(client.ReadLine() == "+OK");
  const HttpRequest call = fixture.stubs.NextCall();
  fixture.new_process.Spawn();
  fixture.new_process.WaitForLog(": serving");
  fixture.old_process.Signal(SIGHUP);
  fixture.new_process.Signal(SIGHUP);
  fixture.new_process.WaitForLog(": reloaded");
  fixture.old_process.WaitForLog("given over");
  fixture.old_process.Signal(SIGTERM);
  // The old process runs until its attempt ends, which is long before its drain limit.
  fixture.stubs.Answer(call, "200 OK");
  CHECK(fixture.old_process.WaitForExit() == 0);
  fixture.stubs.WaitUntil([&] { return fixture.Counter(fixture.new_process, "delivered") == 1; });
  fixture.new_process.Signal(SIGTERM);
  CHECK(fixture.new_process.WaitForExit() == 0);
}

TEST_CASE("an unusable listening socket fails the start with an error that names the variable") {
  StubServices stubs;
  stubs.AddHost("a", 7);
  const Socket listening = Socket::Listen();
  const auto check_start_fails = [&](const std::string& value, const std::function<void()>& in_child) {
    RelayProcess relay(stubs);
    relay.environment["ROUTER_LISTEN_FD"] = value;
    relay.in_child = in_child;
    int code = 0;
    const std::string text = relay.RunToExit(&code);
    CHECK(code == 1);
    CHECK(text.find("ROUTER_LISTEN_FD: ") != std::string::npos);
  };
  check_start_fails("five", [] {});
  check_start_fails("-1", [] {});
  check_start_fails("5", [] { close(5); });
  check_start_fails("5", [] { dup2(open("/dev/null", O_RDONLY), 5); });
  check_start_fails("5", [] { dup2(socket(AF_INET, SOCK_STREAM, 0), 5); });
}

// Kills either process of a handover, under load and with one host excluded. A log line of the program
// determines the time of the kill, so that each step is covered. Which attempts are in flight at that time is
// random.
TEST_CASE("every accepted message ends once and has one attempt at a time when either process is killed") {
  struct Kill {
    bool kills_old;
    const char* after_log;  // text in the logs of the old and the new process together
  };
  const Kill kills[] = {{true, ""},          {false, ""},         {true, "given over"}, {false, "given over"},
                        {true, "took over"}, {false, "took over"}};
  for (unsigned seed = 0; seed < 12; ++seed) {
    const Kill& kill = kills[seed % 6];
    CAPTURE(seed, kill.kills_old, kill.after_log);
    std::mt19937 random(seed);
    HandoverFixture fixture;
    fixture.stubs.AddHost("b", 7);
    fixture.old_process.Start();
    REQUIRE(fixture.SendCommand(fixture.old_management_port, "exclude b") == "done");
    std::set<std::string> accepted, delivered;
    std::map<std::string, const Socket*> in_flight;  // connection of each attempt, by message id
    std::vector<HttpRequest> unanswered;
    const auto is_open = [](const Socket& socket) {
      char byte = 0;
      return socket.fd() >= 0 && recv(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
             (errno == EAGAIN || errno == EWOULDBLOCK);
    };
    const auto serve_calls = [&](std::size_t most_unanswered) {
      while (fixture.stubs.CallArrivesWithin(5ms)) {
        const HttpRequest call = fixture.stubs.NextCall();
        CHECK(fixture.stubs.HostOf(call) == "a");
        if (const auto it = in_flight.find(call.id()); it != in_flight.end())
          CHECK_FALSE(is_open(*it->second));
        in_flight[call.id()] = call.connection;
        unanswered.push_back(call);
      }
      while (unanswered.size() > most_unanswered) {
        const auto it = unanswered.begin() + static_cast<std::ptrdiff_t>(random() % unanswered.size());
        if (is_open(*it->connection)) delivered.insert(it->id());
        fixture.stubs.Answer(*it, "200 OK");
        in_flight.erase(it->id());
        unanswered.erase(it);
      }
    };
    const auto send_messages = [&](int count, const char* id_prefix) {
      for (int i = 0; i < count; ++i) {
        Client client(fixture.old_process);
        const std::string id = id_prefix + std::to_string(i);
        client.Put(id, "x", 15000, ",k=" + id + ",dest=7");
        if (client.ReadLine() == "+OK") accepted.insert(id);
        serve_calls(5);
      }
    };
    send_messages(8 + static_cast<int>(random() % 6), "before-");
    // Waits until the old process has read all answers, so that its attempts in flight are those of
    // `in_flight`.
    fixture.stubs.WaitUntil([&] {
      serve_calls(5);
      return fixture.Counter(fixture.old_process, "out") == static_cast<long>(in_flight.size());
    });
    fixture.new_process.Spawn();
    fixture.stubs.WaitUntil([&] {
      return (fixture.old_process.log() + fixture.new_process.log()).find(kill.after_log) !=
             std::string::npos;
    });
    RelayProcess& victim = kill.kills_old ? fixture.old_process : fixture.new_process;
    RelayProcess& serving = kill.kills_old ? fixture.new_process : fixture.old_process;
    victim.Signal(SIGKILL);
    victim.WaitForExit();
    // These attempts may have run. Each is repeated if the retry budget has a token left; otherwise its
    // message ends as undeliverable.
    std::set<std::string> may_have_run;
    for (const auto& [id, from] : in_flight) may_have_run.insert(id);
    fixture.stubs.WaitUntil([&] {
      serve_calls(5);
      Client client(serving);
      client.socket().Send("*1\r\n$4\r\nPING\r\n");
      return client.socket().Receive(100ms) == "+PONG\r\n";
    });
    send_messages(6, "after-");
    fixture.stubs.WaitUntil(
        [&] {
          serve_calls(0);
          return fixture.Counter(serving, "held") == 0 &&
                 std::all_of(accepted.begin(), accepted.end(), [&](const std::string& id) {
                   return delivered.count(id) > 0 || fixture.stubs.notices.count(id) > 0;
                 });
        },
        20s);
    CHECK(accepted.size() >= 14);
    for (const std::string& id : accepted) {
      CAPTURE(id);
      const auto notice = fixture.stubs.notices.find(id);
      if (notice == fixture.stubs.notices.end()) continue;
      CHECK(notice->second.at("status") == "undeliverable");
      CHECK(may_have_run.count(id) > 0);
    }
  }
}

}  // namespace
}  // namespace oxbowspread::testing
