// Tests of the leader election and its replicated register, with simulated agents on a virtual clock. The
// network loses, delays and duplicates messages and can be cut in one or both directions; agents are
// suspended, killed and restarted from their disk.
#include "election/leader_election.hpp"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

namespace oxbowspread::election {
namespace {

using namespace std::chrono_literals;

// Simulated agents, their disks and the network between them. Checks after each step that at most one agent
// leads and that each new leader takes over the committed value.
class Network {
 public:
  struct Agent {
    std::optional<LeaderElection> election;
    DurableState disk;
    bool is_leader = false, suspended = false, disk_full = false;
    Epoch epoch = 0;
    std::string value;  // value taken over as the new leader, or the one proposed last
    std::uint64_t pending_seq = 0;
  };

  Network(int count, unsigned seed) : random(seed) {
    for (int i = 0; i < count; ++i) names.push_back(std::string(1, static_cast<char>('a' + i)));
    for (const auto& name : names) Start(name);
  }

  void Start(const std::string& name) {
    Agent& agent = agents[name];
    agent.election.emplace(name, names, Timing(), agent.disk, random());
    agent.is_leader = agent.suspended = false;
  }
  void Kill(const std::string& name) {
    agents[name].election.reset();
    agents[name].is_leader = false;
  }

  // Advances the clock by the duration in steps of 10 ms.
  void Run(Time duration) {
    for (const Time end = now + duration; now < end;) {
      now += 10ms;
      while (!packets.empty() && packets.top().deliver_at <= now) {
        const Packet packet = packets.top();
        packets.pop();
        Agent& receiver = agents[packet.to];
        if (!receiver.election || cut_links.count({packet.from, packet.to}) > 0) continue;
        if (receiver.suspended) {
          undelivered[packet.to].push_back(MessageReceived{packet.from, packet.message});
          continue;
        }
        Step(packet.to, {MessageReceived{packet.from, packet.message}});
      }
      for (const auto& name : names) {
        Agent& agent = agents[name];
        if (agent.election && !agent.suspended && now >= agent.election->wake_at()) Step(name, {});
      }
      CheckSingleLeader();
    }
  }

  void Step(const std::string& name, const std::vector<Event>& events) {
    Agent& agent = agents[name];
    for (const Action& action : agent.election->Step(now, events)) {
      if (const auto* persist = std::get_if<Persist>(&action)) {
        if (agent.disk_full) {
          agent.is_leader = false;
          agent.election.emplace(name, names, Timing(), agent.disk, random());
          return;
        }
        agent.disk = persist->durable;
      } else if (const auto* send = std::get_if<Send>(&action)) {
        if (std::uniform_real_distribution<>()(random) < loss_probability) continue;
        const Time delay(static_cast<Time::rep>(random() % static_cast<unsigned>(max_delay.count() + 1)));
        packets.push({now + 1ms + delay, name, send->to, send->message});
        if (duplicates) packets.push({now + 5ms + delay * 2, name, send->to, send->message});
      } else if (const auto* became_leader = std::get_if<BecameLeader>(&action)) {
        // A new leader must take over the committed value, or a proposed one that a majority may have
        // accepted.
        CHECK((became_leader->value == committed || attempted.count(became_leader->value) > 0));
        if (attempted.count(became_leader->value) == 0) CHECK(became_leader->value == committed);
        agent.is_leader = true;
        agent.epoch = became_leader->epoch;
        agent.value = became_leader->value;
        committed = became_leader->value;
        attempted.clear();
        CHECK(epochs_led.insert(became_leader->epoch).second);  // no other agent has led in that epoch
        ++leader_changes;
      } else if (std::holds_alternative<LostLeadership>(action)) {
        agent.is_leader = false;
      } else if (const auto* commit = std::get_if<ValueCommitted>(&action)) {
        if (commit->seq == agent.pending_seq) {
          committed = agent.value;
          ++commits;
        }
      }
    }
  }

  void ProposeAt(const std::string& name, const std::string& value) {
    Agent& agent = agents[name];
    agent.value = value;
    attempted.insert(value);
    agent.pending_seq = agent.election->proposed_seq() + 1;
    Step(name, {Propose{value}});
  }

  // At most one agent may act as the leader at any time.
  void CheckSingleLeader() {
    int leaders = 0;
    for (const auto& [name, agent] : agents)
      leaders += agent.election && !agent.suspended && agent.is_leader && agent.election->IsLeader(now);
    CHECK(leaders <= 1);
  }

  std::string Leader() const {
    for (const auto& [name, agent] : agents) {
      if (agent.election && !agent.suspended && agent.is_leader && agent.election->IsLeader(now)) return name;
    }
    return {};
  }

  void Resume(const std::string& name) {
    agents[name].suspended = false;
    for (const MessageReceived& message : std::exchange(undelivered[name], {})) Step(name, {message});
  }

  struct Packet {
    Time deliver_at;
    std::string from, to;
    Message message;
    bool operator<(const Packet& other) const { return deliver_at > other.deliver_at; }
  };
  std::mt19937 random;
  std::vector<std::string> names;
  std::map<std::string, Agent> agents;
  std::priority_queue<Packet> packets;
  std::map<std::string, std::vector<MessageReceived>> undelivered;
  std::set<std::pair<std::string, std::string>> cut_links;  // from, to
  std::set<std::string> attempted;  // values proposed since the last commit; a majority may have accepted one
  std::set<Epoch> epochs_led;
  std::string committed;
  int commits = 0, leader_changes = 0;
  double loss_probability = 0;
  bool duplicates = false;
  Time max_delay{5000};
  Time now{5'000'000};
};

TEST_CASE("a single agent leads at once and commits the value it proposes") {
  Network network(1, 1);
  network.Run(20ms);
  REQUIRE(network.Leader() == "a");
  network.ProposeAt("a", "x");
  CHECK(network.commits == 1);
  CHECK(network.agents["a"].disk.accepted.value == "x");
}

TEST_CASE("one of three agents leads and the next leader takes over the committed value when it is killed") {
  Network network(3, 2);
  network.Run(6s);
  const std::string first = network.Leader();
  REQUIRE_FALSE(first.empty());
  network.ProposeAt(first, "x");
  network.Run(200ms);
  CHECK(network.commits == 1);
  network.Kill(first);
  network.Run(8s);
  const std::string second = network.Leader();
  REQUIRE_FALSE(second.empty());
  CHECK(second != first);
  CHECK(network.agents[second].value == "x");
}

TEST_CASE("a leader without a majority steps down before another agent can lead") {
  Network network(3, 3);
  network.Run(6s);
  const std::string first = network.Leader();
  for (const auto& name : network.names) {
    network.cut_links.insert({first, name});
    network.cut_links.insert({name, first});
  }
  network.Run(1600ms);
  CHECK(network.Leader().empty());
  network.Run(8s);
  CHECK(network.Leader() != first);
  CHECK_FALSE(network.Leader().empty());
}

TEST_CASE("a connection cut in one direction leads to a leader that can send and receive") {
  for (const bool outgoing : {true, false}) {
    Network network(3, 4);
    network.Run(6s);
    const std::string first = network.Leader();
    for (const auto& name : network.names) {
      if (name != first) network.cut_links.insert(outgoing ? std::pair(first, name) : std::pair(name, first));
    }
    network.Run(12s);
    CHECK_FALSE(network.Leader().empty());
    CHECK(network.Leader() != first);
  }
}

TEST_CASE("a leader suspended for longer than its lease may not act when it resumes") {
  Network network(3, 5);
  network.Run(6s);
  const std::string first = network.Leader();
  network.ProposeAt(first, "x");
  network.Run(200ms);
  network.agents[first].suspended = true;
  network.Run(10s);
  const std::string second = network.Leader();
  REQUIRE_FALSE(second.empty());
  network.ProposeAt(second, "y");
  network.Run(200ms);
  // The old leader has not read a message since it resumed, but its lease has expired by its own clock.
  CHECK_FALSE(network.agents[first].election->IsLeader(network.now));
  network.Resume(first);
  network.Run(2s);
  CHECK(network.Leader() == second);
  CHECK(network.agents[first].disk.promised_epoch == network.agents[second].epoch);
  CHECK(network.agents[first].disk.accepted.value == "y");
}

TEST_CASE("an agent whose disk is full neither promises nor leads") {
  Network network(3, 6);
  network.agents["a"].disk_full = true;
  network.Run(20s);
  CHECK(network.agents["a"].disk.promised_epoch == 0);
  CHECK_FALSE(network.Leader().empty());
  CHECK(network.Leader() != "a");
}

TEST_CASE("messages and durable state survive JSON conversion and an invalid message is rejected") {
  const DurableState state{7, "b", {6, 3, "value"}};
  CHECK(ToJson(DurableStateFromJson(ToJson(state))) == ToJson(state));
  const Message message{Message::Kind::kAccept, 7, 9, true, {7, 4, "v"}};
  CHECK(ToJson(MessageFromJson(ToJson(message))) == ToJson(message));
  CHECK_THROWS(MessageFromJson({{"kind", "shout"}}));
  CHECK_THROWS(MessageFromJson({{"kind", "claim"}, {"epoch", "seven"}}));
}

TEST_CASE(
    "there is never a second leader or a lost value over many seeds of network faults and suspended and "
    "killed agents") {
  int commits = 0, leader_changes = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Network network(seed % 2 == 0 ? 3 : 5, seed);
    network.loss_probability = 0.1;
    network.duplicates = true;
    network.max_delay = Time(200'000);
    int proposals = 0;
    for (int i = 0; i < 120; ++i) {
      network.Run(250ms);
      const std::string name = network.names[network.random() % network.names.size()];
      switch (network.random() % 8) {
        case 0:
          network.Kill(name);
          break;
        case 1:
        case 2:
          for (const auto& other : network.names) {
            if (!network.agents[other].election) network.Start(other);
          }
          break;
        case 3:
          if (network.agents[name].election) network.agents[name].suspended = true;
          break;
        case 4:
        case 5:
          for (const auto& other : network.names) {
            if (network.agents[other].election && network.agents[other].suspended) network.Resume(other);
          }
          network.cut_links.clear();
          break;
        case 6:
          network.cut_links.insert({name, network.names[network.random() % network.names.size()]});
          break;
        default:
          break;
      }
      if (const std::string leader = network.Leader(); !leader.empty()) {
        network.ProposeAt(leader, "s" + std::to_string(seed) + "-" + std::to_string(++proposals));
      }
    }
    network.cut_links.clear();
    network.loss_probability = 0;
    for (const auto& other : network.names) {
      if (!network.agents[other].election) network.Start(other);
      if (network.agents[other].suspended) network.Resume(other);
    }
    network.Run(10s);
    CHECK_FALSE(network.Leader().empty());
    commits += network.commits;
    leader_changes += network.leader_changes;
  }
  CHECK(commits > 500);  // makes sure that the run included commits and changes of the leader
  CHECK(leader_changes > 100);
}

}  // namespace
}  // namespace oxbowspread::election
