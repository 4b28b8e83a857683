#include "client/clients.hpp"

#include <strings.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "client/command.hpp"

namespace oxbowspread::client {
namespace {

using namespace std::chrono_literals;

// Of a connection's first command from the connect, of any other from its first byte: whoever sends nothing,
// or never all of it, holds a descriptor that others need. The platform lets 3 s pass; some write for 2 s.
constexpr net::Time kCommandWithin = 2700ms;
constexpr net::Time kIdle = 10s;  // a client that has asked and kept its connection
// One whose connection is ended here is waited for: closed at once over bytes that it was just sending, the
// connection would be reset, and what it was answered lost on the way.
constexpr net::Time kLinger = 300ms;
constexpr int kMostWaiting = 1024;  // connections taken when the door closes
// A client asks right after it has connected: one that hasn't begun by then, or whose command has not come on
// for so long, is the first to give way.
constexpr net::Time kAsksWithin = 300ms;
constexpr net::Time kComesOnWithin = 700ms;
// A command is taken out of the ring as it comes: hundreds of clients share the memory limit.
constexpr std::size_t kRing = 32 * 1024;

bool Is(const std::string& word, const char* name) { return strcasecmp(word.c_str(), name) == 0; }

}  // namespace

// ---- one client ----

Client::Client(net::Loop& loop, int fd, Clients& all)
    : loop_(loop),
      all_(all),
      connection_(loop, fd, *this, kRing),
      timer_(loop, [this] { OnDue(); }),
      next_(loop, [this] { GoOn(); }),
      quiet_since_(net::Loop::Now()) {
  timer_.After(kCommandWithin);
}

void Client::OnBytes(proto::RingBuffer& in) {
  came_at_ = net::Loop::Now();
  if (!left_over_) arrived_since_ = loop_.earliest_arrival();
  while (!waiting_ && !leaving_ && !in.empty() && connection_.connected()) {
    in.Consume(parser_.Feed(in.Front()));
    if (parser_.state() == proto::RespParser::State::kInvalid) {
      all_.counters_.malformed += 1;
      Say(proto::RespError(std::string("ERR Protocol error: ") + parser_.error()));
      return Leave();
    }
    if (parser_.state() == proto::RespParser::State::kCommand) Answer(parser_.Take());
  }
  left_over_ = !in.empty();
  if (!connection_.connected() || waiting_ || leaving_) return;
  Watch();
  if (all_.closing_ && idle()) next_.After(net::Time(0));
}

// Over a command that doesn't get whole, and over a client that has asked and rests.
void Client::Watch() {
  const bool rests = idle() && asked_;
  if (rests == resting_ && timer_.active()) return;
  resting_ = rests;
  timer_.After(rests ? kIdle : kCommandWithin);
}

void Client::Answer(const std::vector<std::string>& command) {
  asked_ = true;
  resting_ = false;
  timer_.Stop();
  quiet_since_ = net::Loop::Now();
  if (Is(command[0], "MSG.PUT")) return Put(command);
  if (Is(command[0], "PING")) {
    Say(command.size() > 1 ? proto::RespBulk(command[1]) : "+PONG\r\n");
  } else if (Is(command[0], "INFO")) {
    Say(proto::RespBulk(all_.report_()));
  } else if (Is(command[0], "QUIT")) {
    Say("+OK\r\n");
    Leave();
  } else {
    all_.counters_.malformed += 1;
    Say(proto::RespError("ERR unknown command"));
  }
}

// Its client counts a message's time from when it sent it: a command may have lain there while this process
// stood still, or behind others. Whoever has waited longer than kClientWaits has left.
net::Time Client::LainUnread() const {
  return std::min<net::Time>(net::Loop::Now() - arrived_since_, relay::kClientWaits);
}

void Client::Put(std::vector<std::string> command) {
  try {
    journal::Message a = ReadPut(std::move(command), net::Loop::UnixNow() - LainUnread());
    if (!all_.relay_.KnowsClass(a.class_name)) throw BadCommand("c names no class of the settings");
    if (a.key.empty() && all_.relay_.NeedsKey(a.class_name)) throw BadCommand("k is missing");
    if (!all_.relay_.KnowsDestination(a.destination)) throw BadCommand("dest names no partner of the list");
    waiting_ = true;
    all_.relay_.Submit(std::move(a), *this);
  } catch (const BadCommand& e) {
    all_.counters_.malformed += 1;
    Say(proto::RespError(std::string("ERR ") + e.what()));
    Leave();
  }
}

bool Client::TakenOn() {
  // One that has closed since it asked must not be taken on: it hands the message in elsewhere.
  const bool heard = !connection_.ClosedByPeer() && Say("+OK\r\n");
  Answered();
  return heard;
}

void Client::Refused(relay::Time come_again) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(come_again).count();
  Say(ms > 0 ? "-BUSY " + std::to_string(ms) + "\r\n" : "-BUSY\r\n");
  Answered();
}

void Client::Answered() {
  waiting_ = false;
  quiet_since_ = all_.quiet_since_ = net::Loop::Now();
  next_.After(net::Time(0));
  Watch();
}

// What came behind a command that is answered now; it is answered as well before its client is sent away.
void Client::GoOn() {
  connection_.Resume();
  if (all_.closing_) SendAway();
}

void Client::SendAway() {
  if (!leaving_ && idle() && !next_.active() && connection_.IsIdle()) Leave();
}

bool Client::Say(const std::string& text) {
  if (connection_.Send(text)) return true;
  timer_.After(net::Time(0));  // gone, or it reads nothing of what it asks for
  return false;
}

void Client::OnDue() {
  // A request that crosses the end of its rest is served: closed over it, the connection would be reset.
  if (resting_ && !leaving_ && connection_.connected() && !connection_.IsIdle()) {
    resting_ = false;
    return timer_.After(kCommandWithin);
  }
  if (!resting_ && !leaving_ && connection_.connected() && connection_.flushed()) {
    all_.counters_.clients_too_slow += 1;
    Say(proto::RespError("ERR no whole command in time"));
  }
  Leave();
}

Client::Claim Client::claim(net::Time now) const {
  if (leaving_) return Claim::kNone;
  const bool comes = came_at_ > net::Time(0) && now - came_at_ <= kComesOnWithin;
  if (!asked_ && !comes && now - quiet_since_ > kAsksWithin) return Claim::kNone;
  if (idle()) return asked_ ? Claim::kIdle : Claim::kNew;
  return waiting_ ? Claim::kServed : Claim::kBegun;
}

Passed Client::passed() const {
  net::Connection::HandoverState rest = connection_.handover_state();
  return {rest.fd, parser_.PartialCommand(), std::move(rest.received), std::move(rest.unsent), asked_};
}

void Client::TakeUp(const Passed& passed) {
  asked_ = passed.asked;
  left_over_ = !passed.in.empty();
  parser_.Feed(passed.unfinished);
  connection_.Restore(passed.in, passed.out);
  next_.After(net::Time(0));
  Watch();
}

void Client::OnClosed() { Leave(); }

void Client::Leave() {
  if (std::exchange(waiting_, false)) all_.relay_.Withdraw(*this);
  timer_.Stop();
  next_.Stop();
  if (!leaving_ && connection_.ShutdownSending()) {
    leaving_ = true;
    return timer_.After(kLinger);
  }
  connection_.Close();
  all_.Leave(*this);
}

// ---- all clients ----

Clients::Clients(net::Loop& loop, const net::Address& address, int inherited, std::size_t most,
                 relay::Relay& relay, relay::Counters& counters, Report report)
    : loop_(loop),
      address_(address),
      inherited_(inherited),
      most_(most),
      relay_(relay),
      counters_(counters),
      report_(std::move(report)) {
  OpenDoor();
}

std::vector<Passed> Clients::passed() const {
  std::vector<Passed> all;
  for (const auto& [client, owned] : clients_) {
    if (client->open()) all.push_back(client->passed());
  }
  return all;
}

void Clients::TakeUp(const Passed& passed) {
  counters_.clients += 1;
  auto client = std::make_unique<Client>(loop_, passed.fd, *this);
  client->TakeUp(passed);
  clients_.emplace(client.get(), std::move(client));
}

void Clients::Accept(int fd) {
  // Descriptors are shared with the endpoint side: clients may not take them all.
  // Room is kept before it runs out: the platform's clients open no more than their share, so one who stays
  // and asks nothing keeps another from asking long before this side's own limit is reached.
  if (clients_.size() >= most_ / 2) MakeRoom(Client::Claim::kIdle);
  if (clients_.size() >= most_ && !MakeRoom(Client::Claim::kBegun)) {
    counters_.clients_turned_away += 1;
    close(fd);
    return;
  }
  counters_.clients += 1;
  quiet_since_ = net::Loop::Now();
  auto client = std::make_unique<Client>(loop_, fd, *this);
  clients_.emplace(client.get(), std::move(client));
}

// A flood must not crowd out those who ask: first go connections that have not asked for long, then idle
// ones, whose clients come again when they need to; of commands on their way the one that has not come on for
// longest; never one that waits for its answer.
bool Clients::MakeRoom(Client::Claim most) {
  const net::Time now = net::Loop::Now();
  std::vector<std::tuple<Client::Claim, net::Time, Client*>> all;
  for (const auto& [client, owned] : clients_) {
    const Client::Claim claim = client->claim(now);
    if (claim <= most) all.emplace_back(claim, client->claim_since(), client);
  }
  // One whose next command has just come, unread so far, is no longer idle.
  const auto stays = [](const auto& c) {
    return std::get<0>(c) != Client::Claim::kNone && !std::get<2>(c)->quiet();
  };
  std::sort(all.begin(), all.end());
  const auto first = std::find_if_not(all.begin(), all.end(), stays);
  if (first == all.end()) return false;
  Client* const least = std::get<2>(*first);
  counters_.clients_evicted += 1;
  counters_.clients_evicted_unasked += least->claim(now) != Client::Claim::kIdle;
  least->Close();
  Leave(*least);
  return true;
}

void Clients::Leave(Client& client) {
  const auto it = clients_.find(&client);
  if (it == clients_.end()) return;
  loop_.DestroyLater(std::move(it->second));
  clients_.erase(it);
}

// Clients use the connections that they have for as long as these stay open: one that is closed early sends
// its share of the load to the other relays, which have slots for their own.
// Those that have connected and wait to be taken would be reset with the listener; where somebody else holds
// it they are left for whoever comes next.
void Clients::CloseDoor() {
  if (listener_ && inherited_ < 0) listener_->AcceptPending(kMostWaiting);
  listener_.reset();
}

void Clients::OpenDoor() {
  const auto accepted = [this](int fd) { Accept(fd); };
  if (!listener_ && inherited_ >= 0) {
    listener_.emplace(loop_, inherited_, accepted);
  } else if (!listener_) {
    listener_.emplace(loop_, address_, accepted);
  }
  closing_ = false;
}

void Clients::SendAway() {
  closing_ = true;
  std::vector<Client*> all;
  for (const auto& [client, owned] : clients_) all.push_back(client);
  for (Client* client : all) client->SendAway();
}

}  // namespace oxbowspread::client
