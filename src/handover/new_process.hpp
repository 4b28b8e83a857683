// The process that takes over: it asks for all that the old one has, and from then on ends the old one's
// attempts like its own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "handover/channel.hpp"
#include "handover/taker.hpp"
#include "journal/folder_lock.hpp"
#include "net/loop.hpp"
#include "relay/ports.hpp"
#include "relay/relay.hpp"

namespace oxbowspread::handover {

// What a start finds: the folder is free, or a process gives over.
struct Start {
  std::unique_ptr<journal::FolderLock> lock;
  std::optional<Channel> channel;  // nothing: the folder was free, and the rest is empty
  relay::Estate estate;
  std::vector<client::Passed> clients;

  std::set<std::string> StillOut() const;
};

// The other process answers, and won't give over to this one.
class Refused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Takes the folder when it is free, or all of it from the process that has it, within the limit. Throws
// journal::FolderLocked when neither could be, Refused, std::system_error.
Start Take(const std::string& folder, Limit limit);

// The endpoint side as the new process's core sees it: attempts of its own, and those that go on in the old
// process.
class Attempts final : public relay::EndpointSide {
 public:
  using Operated = std::function<std::string(const std::string& word, const std::string& argument)>;
  using ToldWait = std::function<void(const std::string& host, relay::Time wait)>;

  // `own` and `relay` must outlast it. `operate` answers calls of operators who came to the old process's
  // door: empty is done.
  Attempts(net::Loop& loop, relay::EndpointSide& own, ToldWait told_wait, Operated operate);
  void Attach(relay::Relay& relay) { relay_ = &relay; }
  // Before Relay::Recover, which is told of the same attempts.
  void TakeOver(Channel channel, const std::vector<relay::AttemptOut>& out);

  void Adopt(const relay::RoutingChange& change) override { own_.Adopt(change); }
  void Begin(relay::AttemptOrder order) override { own_.Begin(std::move(order)); }
  bool Cut(const relay::AttemptId& attempt) override;
  void CloseIdle(const std::string& host) override { own_.CloseIdle(host); }
  void ListValidUntil(relay::Time moment) override { own_.ListValidUntil(moment); }

 private:
  struct Elsewhere {
    std::string host;
    relay::Time ends_at{0};  // of its message; 0: not told
  };

  void OnIo(ev::io&, int);
  void Feed(const Packet& packet);
  void End(const std::string& id, const relay::AttemptEnd& end);
  void EndOverdue();
  void WatchEnds();
  void Lost();

  relay::EndpointSide& own_;
  ToldWait told_wait_;
  Operated operate_;
  relay::Relay* relay_ = nullptr;
  std::optional<Channel> channel_;
  std::map<std::string, Elsewhere> elsewhere_;  // by the message's id
  ev::io io_;
  net::Timer overdue_;
};

}  // namespace oxbowspread::handover
