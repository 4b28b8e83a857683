// Who leads, and the register that outlasts leaders: agents in one process, on a virtual clock, with a
// network that loses, delays, cuts off one way or both, and processes that stop, die and come back from disk.
#include "lead/leader_election.hpp"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

namespace oxbowspread::lead {
namespace {

using namespace std::chrono_literals;

class Net {
 public:
  struct Agent {
    std::optional<LeaderElection> lead;
    DurableState disk;
    bool leads = false, stopped = false, disk_full = false;
    Epoch epoch = 0;
    std::string value;  // as it led or proposed
    std::uint64_t pending = 0;
  };

  Net(int count, unsigned seed) : dice(seed) {
    for (int i = 0; i < count; ++i) names.push_back(std::string(1, static_cast<char>('a' + i)));
    for (const auto& name : names) Start(name);
  }

  void Start(const std::string& name) {
    Agent& a = agents[name];
    a.lead.emplace(name, names, Timing(), a.disk, dice());
    a.leads = a.stopped = false;
  }
  void Kill(const std::string& name) {
    agents[name].lead.reset();
    agents[name].leads = false;
  }

  // Runs on for so long, in steps of 10 ms.
  void Run(Time span) {
    for (const Time until = now + span; now < until;) {
      now += 10ms;
      while (!mail.empty() && mail.top().at <= now) {
        const Mail m = mail.top();
        mail.pop();
        Agent& to = agents[m.to];
        if (!to.lead || cut.count({m.from, m.to}) > 0) continue;
        if (to.stopped) {
          waiting[m.to].push_back(MessageReceived{m.from, m.message});
          continue;
        }
        Step(m.to, {MessageReceived{m.from, m.message}});
      }
      for (const auto& name : names) {
        Agent& a = agents[name];
        if (a.lead && !a.stopped && now >= a.lead->wake_at()) Step(name, {});
      }
      Check();
    }
  }

  void Step(const std::string& name, const std::vector<Event>& events) {
    Agent& a = agents[name];
    for (const Action& action : a.lead->Step(now, events)) {
      if (const auto* persist = std::get_if<Persist>(&action)) {
        if (a.disk_full) {
          a.leads = false;
          a.lead.emplace(name, names, Timing(), a.disk, dice());
          return;
        }
        a.disk = persist->durable;
      } else if (const auto* send = std::get_if<Send>(&action)) {
        if (std::uniform_real_distribution<>()(dice) < loss) continue;
        const Time delay(static_cast<Time::rep>(dice() % static_cast<unsigned>(most_delay.count() + 1)));
        mail.push({now + 1ms + delay, name, send->to, send->message});
        if (doubled) mail.push({now + 5ms + delay * 2, name, send->to, send->message});
      } else if (const auto* leads = std::get_if<BecameLeader>(&action)) {
        // What was kept by most must be what the next leader takes over.
        CHECK((leads->value == committed || attempted.count(leads->value) > 0));
        if (attempted.count(leads->value) == 0) CHECK(leads->value == committed);
        a.leads = true;
        a.epoch = leads->epoch;
        a.value = leads->value;
        committed = leads->value;
        attempted.clear();
        CHECK(led.insert(leads->epoch).second);  // nobody else ever led in that epoch
        ++changes;
      } else if (std::holds_alternative<LostLeadership>(action)) {
        a.leads = false;
      } else if (const auto* kept = std::get_if<ValueCommitted>(&action)) {
        if (kept->seq == a.pending) {
          committed = a.value;
          ++commits;
        }
      }
    }
  }

  void ProposeAt(const std::string& name, const std::string& value) {
    Agent& a = agents[name];
    a.value = value;
    attempted.insert(value);
    a.pending = a.lead->proposed_seq() + 1;
    Step(name, {Propose{value}});
  }

  // Of all that may act just now there is one.
  void Check() {
    int leading = 0;
    for (const auto& [name, a] : agents) leading += a.lead && !a.stopped && a.leads && a.lead->IsLeader(now);
    CHECK(leading <= 1);
  }

  std::string Leader() const {
    for (const auto& [name, a] : agents) {
      if (a.lead && !a.stopped && a.leads && a.lead->IsLeader(now)) return name;
    }
    return {};
  }

  void Wake(const std::string& name) {
    agents[name].stopped = false;
    for (const MessageReceived& got : std::exchange(waiting[name], {})) Step(name, {got});
  }

  struct Mail {
    Time at;
    std::string from, to;
    Message message;
    bool operator<(const Mail& other) const { return at > other.at; }
  };
  std::mt19937 dice;
  std::vector<std::string> names;
  std::map<std::string, Agent> agents;
  std::priority_queue<Mail> mail;
  std::map<std::string, std::vector<MessageReceived>> waiting;
  std::set<std::pair<std::string, std::string>> cut;  // from, to
  std::set<std::string> attempted;                    // proposed since the last commit, perhaps kept by most
  std::set<Epoch> led;
  std::string committed;
  int commits = 0, changes = 0;
  double loss = 0;
  bool doubled = false;
  Time most_delay{5000};
  Time now{5'000'000};
};

TEST_CASE("one alone leads at once and keeps what it proposes") {
  Net net(1, 1);
  net.Run(20ms);
  REQUIRE(net.Leader() == "a");
  net.ProposeAt("a", "x");
  CHECK(net.commits == 1);
  CHECK(net.agents["a"].disk.accepted.value == "x");
}

TEST_CASE("of three one leads, and the next takes over what was kept when it dies") {
  Net net(3, 2);
  net.Run(6s);
  const std::string first = net.Leader();
  REQUIRE_FALSE(first.empty());
  net.ProposeAt(first, "x");
  net.Run(200ms);
  CHECK(net.commits == 1);
  net.Kill(first);
  net.Run(8s);
  const std::string second = net.Leader();
  REQUIRE_FALSE(second.empty());
  CHECK(second != first);
  CHECK(net.agents[second].value == "x");
}

TEST_CASE("a leader without most agents stops by itself before another can lead") {
  Net net(3, 3);
  net.Run(6s);
  const std::string first = net.Leader();
  for (const auto& name : net.names) {
    net.cut.insert({first, name});
    net.cut.insert({name, first});
  }
  net.Run(1600ms);
  CHECK(net.Leader().empty());
  net.Run(8s);
  CHECK(net.Leader() != first);
  CHECK_FALSE(net.Leader().empty());
}

TEST_CASE("contact lost one way only leads to a leader that hears and is heard") {
  for (const bool away : {true, false}) {
    Net net(3, 4);
    net.Run(6s);
    const std::string first = net.Leader();
    for (const auto& name : net.names) {
      if (name != first) net.cut.insert(away ? std::pair(first, name) : std::pair(name, first));
    }
    net.Run(12s);
    CHECK_FALSE(net.Leader().empty());
    CHECK(net.Leader() != first);
  }
}

TEST_CASE("a leader that is stopped past every bound may not act when it comes back") {
  Net net(3, 5);
  net.Run(6s);
  const std::string first = net.Leader();
  net.ProposeAt(first, "x");
  net.Run(200ms);
  net.agents[first].stopped = true;
  net.Run(10s);
  const std::string second = net.Leader();
  REQUIRE_FALSE(second.empty());
  net.ProposeAt(second, "y");
  net.Run(200ms);
  // In the instant it is woken, before it has read anything: its lease is over by its own clock.
  CHECK_FALSE(net.agents[first].lead->IsLeader(net.now));
  net.Wake(first);
  net.Run(2s);
  CHECK(net.Leader() == second);
  CHECK(net.agents[first].disk.promised_epoch == net.agents[second].epoch);
  CHECK(net.agents[first].disk.accepted.value == "y");
}

TEST_CASE("an agent whose disk takes nothing neither promises nor leads") {
  Net net(3, 6);
  net.agents["a"].disk_full = true;
  net.Run(20s);
  CHECK(net.agents["a"].disk.promised_epoch == 0);
  CHECK_FALSE(net.Leader().empty());
  CHECK(net.Leader() != "a");
}

TEST_CASE("messages and disk go through their forms unchanged, a strange one is refused") {
  const DurableState d{7, "b", {6, 3, "value"}};
  CHECK(ToJson(DurableStateFromJson(ToJson(d))) == ToJson(d));
  const Message m{Message::Kind::kAccept, 7, 9, true, {7, 4, "v"}};
  CHECK(ToJson(MessageFromJson(ToJson(m))) == ToJson(m));
  CHECK_THROWS(MessageFromJson({{"kind", "shout"}}));
  CHECK_THROWS(MessageFromJson({{"kind", "claim"}, {"epoch", "seven"}}));
}

TEST_CASE(
    "over many seeds of loss, delay, doubles, cuts, stops and deaths there is never a second leader or a "
    "lost record") {
  int commits = 0, changes = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Net net(seed % 2 == 0 ? 3 : 5, seed);
    net.loss = 0.1;
    net.doubled = true;
    net.most_delay = Time(200'000);
    int proposals = 0;
    for (int i = 0; i < 120; ++i) {
      net.Run(250ms);
      const std::string name = net.names[net.dice() % net.names.size()];
      switch (net.dice() % 8) {
        case 0:
          net.Kill(name);
          break;
        case 1:
        case 2:
          for (const auto& n : net.names) {
            if (!net.agents[n].lead) net.Start(n);
          }
          break;
        case 3:
          if (net.agents[name].lead) net.agents[name].stopped = true;
          break;
        case 4:
        case 5:
          for (const auto& n : net.names) {
            if (net.agents[n].lead && net.agents[n].stopped) net.Wake(n);
          }
          net.cut.clear();
          break;
        case 6:
          net.cut.insert({name, net.names[net.dice() % net.names.size()]});
          break;
        default:
          break;
      }
      if (const std::string leader = net.Leader(); !leader.empty()) {
        net.ProposeAt(leader, "s" + std::to_string(seed) + "-" + std::to_string(++proposals));
      }
    }
    net.cut.clear();
    net.loss = 0;
    for (const auto& n : net.names) {
      if (!net.agents[n].lead) net.Start(n);
      if (net.agents[n].stopped) net.Wake(n);
    }
    net.Run(10s);
    CHECK_FALSE(net.Leader().empty());
    commits += net.commits;
    changes += net.changes;
  }
  CHECK(commits > 500);  // it was no idle run
  CHECK(changes > 100);
}

}  // namespace
}  // namespace oxbowspread::lead
