// The clients: clients that hand in messages over RESP2, and what they are answered.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/connection.hpp"
#include "proto/resp.hpp"
#include "relay/counters.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::client {

class Clients;

// A client as another process goes on with it. Its descriptor stays this one's.
struct Passed {
  int fd = -1;
  std::string unfinished;  // the bytes of a command that is not whole
  std::string in, out;     // come and not looked at, and not yet taken by the system
  bool asked = false;
};

class Client final : public net::Connection::Handler, public relay::Client {
 public:
  Client(net::Loop& loop, int fd, Clients& all);

  bool TakenOn() override;
  void Refused(relay::Time come_again) override;
  bool idle() const { return !waiting_ && parser_.idle(); }
  // To its descriptor when others need one, the least first. kBegun: a command that is on its way.
  enum class Claim { kNone, kIdle, kNew, kBegun, kServed };
  Claim claim(net::Time now) const;
  // Since when it has had that claim, so that of two alike the earlier one goes.
  net::Time claim_since() const { return idle() ? quiet_since_ : came_at_; }
  // Nothing has come that is not looked at.
  bool quiet() const { return connection_.IsIdle(); }
  void Close() { connection_.Close(); }
  // Leaves now, if it rests and nothing more has come of it; else once that is answered.
  void SendAway();
  bool open() const { return connection_.connected() && !leaving_; }
  Passed passed() const;
  void TakeUp(const Passed& passed);

 private:
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override;
  net::Time LainUnread() const;
  void Answer(const std::vector<std::string>& command);
  void Put(std::vector<std::string> command);
  bool Say(const std::string& text);
  void Leave();
  void OnDue();
  void Answered();
  void GoOn();
  void Watch();

  net::Loop& loop_;
  Clients& all_;
  net::Connection connection_;
  proto::RespParser parser_;
  net::Timer timer_;      // of a command that doesn't get whole, answers that aren't read, or rest
  net::Timer next_;       // takes up the commands behind one that has been answered
  bool waiting_ = false;  // for the module's word
  bool asked_ = false;    // a whole command, at any time
  bool resting_ = false;  // the timer is that of an idle client
  bool leaving_ = false;  // has been sent all it gets; nothing more of it is looked at
  net::Time quiet_since_{0};
  net::Time came_at_{0};  // the last bytes; 0: none
  // What has been read and not answered came no earlier; 0: as another process had it, which can't tell.
  net::Time arrived_since_{0};
  bool left_over_ = false;  // something of that is still in the ring
};

class Clients {
 public:
  using Report = std::function<std::string()>;

  // Listens at once, at `inherited` if that is a descriptor: a socket that somebody else has bound and keeps.
  // Throws std::system_error.
  Clients(net::Loop& loop, const net::Address& address, int inherited, std::size_t most, relay::Relay& relay,
          relay::Counters& counters, Report report);
  // All clients, for another process; Relay::Freeze comes before, so that none waits for an answer.
  std::vector<Passed> passed() const;
  // One that another process had. The descriptor is this one's now.
  void TakeUp(const Passed& passed);
  // No new clients; those that are here are served on.
  void CloseDoor();
  // New clients again, at the same address. Throws std::system_error where somebody else has taken it.
  void OpenDoor();
  // They leave now, those that wait for an answer once they have it.
  void SendAway();
  // Since when nobody has come or asked for anything.
  net::Time quiet_since() const { return quiet_since_; }
  void SetMost(std::size_t most) { most_ = most; }
  std::size_t clients() const { return clients_.size(); }

 private:
  friend class Client;
  void Accept(int fd);
  void Leave(Client& client);
  bool MakeRoom(Client::Claim most);  // closes one with that claim or less

  net::Loop& loop_;
  net::Address address_;
  int inherited_;
  std::size_t most_;
  relay::Relay& relay_;
  relay::Counters& counters_;
  Report report_;
  bool closing_ = false;
  net::Time quiet_since_{0};
  std::map<Client*, std::unique_ptr<Client>> clients_;
  std::optional<net::Listener> listener_;
};

}  // namespace oxbowspread::client
