// The operators' side of the agents: asks one, all, or whoever leads, and waits for the answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "control/server.hpp"
#include "group/group.hpp"
#include "tls/session.hpp"

namespace oxbowspread::ctl {

// No agent answers, or none leads for too long.
class OutOfReach : public std::runtime_error {
 public:
  explicit OutOfReach(const std::string& why, std::optional<control::Json> last = std::nullopt)
      : std::runtime_error(why), last_(std::move(last)) {}
  // What an agent answered that knows of no leader: what it has on record, which may be old.
  const std::optional<control::Json>& last() const { return last_; }

 private:
  std::optional<control::Json> last_;
};
// An agent refused, in its words.
class Refused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Answered {
  std::optional<control::Json> answer;
  std::string why;  // there is none
};

class Client {
 public:
  // Connects to nobody yet. Throws group::Error where the group has no keys, std::runtime_error where they
  // can't be used. By the group's keys as member `as`; or, where `socket` names one, only the agent that
  // listens there.
  Client(const group::Group& group, const std::string& as, const std::string& socket);

  // All at once, each within the limit, what `request` gives for it; by the agent's name ("agent" for the one
  // at a socket). Runs the client's own loop until all have answered or failed; never throws for an agent.
  std::map<std::string, Answered> AskAll(
      const std::function<control::Json(const std::string& agent)>& request, net::Time limit);
  // Whoever leads, found by asking around, for up to `patience`. Throws OutOfReach or Refused.
  control::Json AskLeader(const control::Json& request, net::Time patience);
  void Rest(net::Time span);  // microseconds, as all of net::Time

 private:
  Answered Ask(const std::string& agent, const control::Json& request, net::Time limit);

  net::Loop loop_;
  std::optional<tls::Identity> identity_;
  std::vector<std::string> agents_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
};

}  // namespace oxbowspread::ctl
