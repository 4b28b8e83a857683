#include "ctl/client.hpp"

#include <utility>

namespace oxbowspread::ctl {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kRequestTimeout = 3s;
constexpr net::Time kRetryInterval = 200ms;
}  // namespace

Client::Client(const group::Group& group, const std::string& member, const std::string& socket) {
  if (socket.empty()) {
    if (group.keys_folder.empty())
      throw group::Error(group.path + ": keys: is missing; name the agent's --socket instead");
    identity_.emplace(group.keys_folder, member);
  }
  for (const group::Agent& agent : group.agents) {
    if (!socket.empty() && !agents_.empty()) break;
    agents_.push_back(socket.empty() ? agent.name : "agent");
    callers_[agents_.back()] =
        std::make_unique<control::Caller>(loop_, [this, agent, socket](control::Peer::Callbacks callbacks) {
          if (!socket.empty()) return control::Peer::ConnectUnix(loop_, socket, std::move(callbacks));
          return control::Peer::ConnectTcp(loop_, *net::ParseAddress(agent.address),
                                           identity_->NewClientSession(agent.name), std::move(callbacks));
        });
  }
}

std::map<std::string, Response> Client::AskAll(
    const std::function<control::Json(const std::string& agent)>& request, net::Time timeout) {
  std::map<std::string, Response> responses;
  std::size_t pending = callers_.size();
  for (const auto& [name, caller] : callers_) {
    caller->Call(request(name), timeout,
                 [&, agent = name](const control::Json* answer, const std::string& reason) {
                   responses[agent] = {answer != nullptr ? std::optional(*answer) : std::nullopt, reason};
                   if (--pending == 0) loop_.Stop();
                 });
  }
  loop_.Run();
  return responses;
}

Response Client::Ask(const std::string& agent, const control::Json& request, net::Time timeout) {
  Response response;
  callers_.at(agent)->Call(request, timeout, [&](const control::Json* answer, const std::string& reason) {
    response = {answer != nullptr ? std::optional(*answer) : std::nullopt, reason};
    loop_.Stop();
  });
  loop_.Run();
  return response;
}

void Client::Wait(net::Time duration) {
  net::Timer timer(loop_, [this] { loop_.Stop(); });
  timer.After(duration);
  loop_.Run();
}

control::Json Client::AskLeader(const control::Json& request, net::Time timeout) {
  const net::Time give_up_at = net::Loop::Now() + timeout;
  std::string reason, next = agents_.front();
  std::optional<control::Json> last_answer;
  for (std::size_t attempt = 0;; ++attempt) {
    Response response = Ask(next, request, kRequestTimeout);
    std::string leader;
    if (response.answer && response.answer->value("ok", false)) {
      // A follower answers from its own record, which may be older than the leader's.
      leader = control::TextOf(*response.answer, "leader");
      // With a single socket the client can't send the request to the leader.
      const bool leader_not_listed = !leader.empty() && callers_.count(leader) == 0;
      // Only the answer to `change` names the leader; all other requests are answered by the leader alone.
      if (!response.answer->contains("leader") || leader == next || leader_not_listed)
        return *response.answer;
      if (leader.empty()) last_answer = response.answer;
    } else if (response.answer) {
      if (!response.answer->contains("leader")) throw Refused(control::TextOf(*response.answer, "error"));
      leader = control::TextOf(*response.answer, "leader");
    }
    reason = next + ": " +
             (response.answer ? response.answer->value("error", leader.empty() ? "no agent leads at present"
                                                                               : "follows " + leader)
                              : response.error);
    if (net::Loop::Now() >= give_up_at) throw Unreachable(reason, last_answer);
    const bool next_known = callers_.count(leader) > 0 && leader != next;
    next = next_known ? leader : agents_[(attempt + 1) % agents_.size()];
    if (!next_known) Wait(kRetryInterval);
  }
}

}  // namespace oxbowspread::ctl
