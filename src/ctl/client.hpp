// Client of the agents' control sockets for operators: sends a request to one agent, to all, or to the
// leader, and waits for the answers.
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

// No agent answered, or there was no leader for too long.
class Unreachable : public std::runtime_error {
 public:
  explicit Unreachable(const std::string& reason, std::optional<control::Json> last = std::nullopt)
      : std::runtime_error(reason), last_(std::move(last)) {}
  // Answer of an agent that knows of no leader: what it has on record, which may be out of date.
  const std::optional<control::Json>& last() const { return last_; }

 private:
  std::optional<control::Json> last_;
};
// An agent refused the request; what() is its own text.
class Refused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Result of one request.
struct Response {
  std::optional<control::Json> answer;
  // Why there is no answer.
  std::string error;
};

class Client {
 public:
  // Connects to no agent yet. Authenticates as member `as` with the group's keys or, if `socket` is not
  // empty, talks only to the agent that listens on this Unix-domain socket. Throws group::Error if the group
  // has no keys, and std::runtime_error if they can't be used.
  Client(const group::Group& group, const std::string& as, const std::string& socket);

  // Sends what `request` returns for each agent to all agents at once, with `limit` as the timeout of each.
  // The result is by name of the agent ("agent" for the one on a socket). Runs the client's own loop until
  // each has answered or failed; a failure of an agent does not throw.
  std::map<std::string, Response> AskAll(
      const std::function<control::Json(const std::string& agent)>& request, net::Time limit);
  // Sends the request to the leader, which is looked for among the agents for up to `patience`. Throws
  // Unreachable or Refused.
  control::Json AskLeader(const control::Json& request, net::Time patience);
  // Runs the loop for this long.
  void Wait(net::Time duration);

 private:
  Response Ask(const std::string& agent, const control::Json& request, net::Time limit);

  net::Loop loop_;
  std::optional<tls::Identity> identity_;
  std::vector<std::string> agents_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
};

}  // namespace oxbowspread::ctl
