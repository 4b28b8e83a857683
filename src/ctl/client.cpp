#include "ctl/client.hpp"

#include <utility>

namespace oxbowspread::ctl {
namespace {
using namespace std::chrono_literals;
constexpr net::Time kLimit = 3s;
constexpr net::Time kAskAgain = 200ms;
}  // namespace

Client::Client(const group::Group& group, const std::string& as, const std::string& socket) {
  if (socket.empty()) {
    if (group.keys.empty())
      throw group::Error(group.path + ": keys: is missing; name the agent's --socket instead");
    identity_.emplace(group.keys, as);
  }
  for (const group::Agent& agent : group.agents) {
    if (!socket.empty() && !agents_.empty()) break;
    agents_.push_back(socket.empty() ? agent.name : "agent");
    callers_[agents_.back()] =
        std::make_unique<control::Caller>(loop_, [this, agent, socket](control::Peer::Callbacks calls) {
          if (!socket.empty()) return control::Peer::ConnectUnix(loop_, socket, std::move(calls));
          return control::Peer::ConnectTcp(loop_, *net::ParseAddress(agent.address),
                                           identity_->ToServer(agent.name), std::move(calls));
        });
  }
}

std::map<std::string, Answered> Client::AskAll(
    const std::function<control::Json(const std::string& agent)>& request, net::Time limit) {
  std::map<std::string, Answered> all;
  std::size_t open = callers_.size();
  for (const auto& [name, caller] : callers_) {
    caller->Call(request(name), limit, [&, n = name](const control::Json* answer, const std::string& why) {
      all[n] = {answer != nullptr ? std::optional(*answer) : std::nullopt, why};
      if (--open == 0) loop_.Stop();
    });
  }
  loop_.Run();
  return all;
}

Answered Client::Ask(const std::string& agent, const control::Json& request, net::Time limit) {
  Answered result;
  callers_.at(agent)->Call(request, limit, [&](const control::Json* answer, const std::string& why) {
    result = {answer != nullptr ? std::optional(*answer) : std::nullopt, why};
    loop_.Stop();
  });
  loop_.Run();
  return result;
}

void Client::Rest(net::Time span) {
  net::Timer timer(loop_, [this] { loop_.Stop(); });
  timer.After(span);
  loop_.Run();
}

control::Json Client::AskLeader(const control::Json& request, net::Time patience) {
  const net::Time until = net::Loop::Now() + patience;
  std::string why, next = agents_.front();
  std::optional<control::Json> last;
  for (std::size_t tried = 0;; ++tried) {
    Answered got = Ask(next, request, kLimit);
    std::string leader;
    if (got.answer && got.answer->value("ok", false)) {
      // A member that follows answers from its own record, which may lag behind the leader's.
      leader = control::TextOf(*got.answer, "leader");
      const bool stranger = !leader.empty() && callers_.count(leader) == 0;  // asked at one socket only
      // Only whoever leads answers anything else than `change`, and that names nobody.
      if (!got.answer->contains("leader") || leader == next || stranger) return *got.answer;
      if (leader.empty()) last = got.answer;
    } else if (got.answer) {
      if (!got.answer->contains("leader")) throw Refused(control::TextOf(*got.answer, "error"));
      leader = control::TextOf(*got.answer, "leader");
    }
    why = next + ": " +
          (got.answer
               ? got.answer->value("error", leader.empty() ? "no agent leads just now" : "follows " + leader)
               : got.why);
    if (net::Loop::Now() >= until) throw OutOfReach(why, last);
    const bool known = callers_.count(leader) > 0 && leader != next;
    next = known ? leader : agents_[(tried + 1) % agents_.size()];
    if (!known) Rest(kAskAgain);
  }
}

}  // namespace oxbowspread::ctl
