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

// No agent answered, or no leader was found within the timeout.
class Unreachable : public std::runtime_error {
 public:
  explicit Unreachable(const std::string& reason, std::optional<control::Json> last_answer = std::nullopt)
      : std::runtime_error(reason), last_answer_(std::move(last_answer)) {}
  // Answer of an agent that knows no leader. It shows the agent's own record, which may be out of date.
  const std::optional<control::Json>& last_answer() const { return last_answer_; }

 private:
  std::optional<control::Json> last_answer_;
};
// An agent refused the request; what() is the error text of the agent.
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

// Sends requests to the agents of a group and waits for the answers. Not thread-safe.
class Client {
 public:
  // Doesn't connect yet. The client authenticates as `member` with the group's keys or, if `socket` is not
  // empty, connects without keys to only the agent that listens on this Unix-domain socket. Throws
  // group::Error if the group has no keys, and std::runtime_error if they can't be used.
  Client(const group::Group& group, const std::string& member, const std::string& socket);

  // Sends a request to all agents at once; `request` returns the request for an agent. Runs the client's loop
  // until each agent has answered or failed, for at most `timeout`. Returns the responses by agent name; with
  // a socket the only name is "agent". Doesn't throw if an agent fails.
  std::map<std::string, Response> AskAll(
      const std::function<control::Json(const std::string& agent)>& request, net::Time timeout);
  // Searches the leader among the agents for up to `timeout` and returns its answer to the request. Throws
  // Unreachable or Refused.
  control::Json AskLeader(const control::Json& request, net::Time timeout);
  // Runs the loop for this long.
  void Wait(net::Time duration);

 private:
  Response Ask(const std::string& agent, const control::Json& request, net::Time timeout);

  net::Loop loop_;
  std::optional<tls::Identity> identity_;
  std::vector<std::string> agents_;
  std::map<std::string, std::unique_ptr<control::Caller>> callers_;
};

}  // namespace oxbowspread::ctl
