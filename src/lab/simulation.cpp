#include "lab/simulation.hpp"

#include <algorithm>
#include <filesystem>
#include <queue>
#include <utility>

#include "lab/settings.hpp"
#include "wire.hpp"

namespace oxbowspread::lab {
namespace {

constexpr std::uint64_t kListCallsOfALife = 1'000'000'000;

class Simulation final : public Node::Around {
 public:
  Simulation(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options)
      : scenario_(scenario),
        day_(day),
        options_(options),
        witness_(RulesOf(scenario), TermsOf(scenario, day), options.trace),
        world_(scenario, day, [this](const trace::Event& event) { witness_.See(event); }),
        body_(static_cast<std::size_t>(scenario.traffic.body_bytes), 'b'),
        lives_(static_cast<std::size_t>(day.relays)) {
    std::filesystem::remove_all(options_.folder);
    std::filesystem::create_directories(options_.folder);
    for (int rank = 0; rank < day.relays; ++rank) {
      std::vector<std::string> none;
      settings_.push_back(wheathub::wire::ParseSettings(SettingsOf(scenario, day, rank), &none));
    }
    nodes_.resize(static_cast<std::size_t>(day.relays));
  }
  ~Simulation() override {
    nodes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(options_.folder, ignored);
  }

  Outcome Run() {
    Outcome outcome;
    try {
      for (int r = 0; r < day_.relays; ++r) Start(r);
      while (!world_.done()) {
        Time next = world_.wake_at();
        if (!calendar_.empty()) next = std::min(next, calendar_.top().at);
        if (inputs_.empty()) now_ = std::max(now_, next);
        Moment();
      }
    } catch (const std::exception& e) {
      outcome.crash = e.what();
    }
    witness_.Conclude(&outcome);
    outcome.length = now_;
    outcome.turns = turns_;
    outcome.most_held = most_held_;
    for (const auto& node : nodes_) {
      if (node) outcome.turns += node->counters().steps;
    }
    return outcome;
  }

 private:
  struct Entry {
    Time at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Entry& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  // What is due now, then what the world makes of it. What follows from that at once is the next moment.
  void Moment() {
    while (!calendar_.empty() && calendar_.top().at <= now_) {
      const std::function<void()> what = std::move(const_cast<Entry&>(calendar_.top()).what);
      calendar_.pop();
      what();
    }
    const std::vector<model::Input> inputs = std::exchange(inputs_, {});
    for (const model::Effect& effect : world_.Step(now_, inputs)) {
      std::visit([this](const auto& e) { Do(e); }, effect);
    }
  }

  Node* Of(int relay) { return nodes_[static_cast<std::size_t>(relay)].get(); }
  Node* OfCall(std::uint64_t call) {
    return Of(static_cast<int>(call % static_cast<std::uint64_t>(day_.relays)));
  }

  void Do(const model::SubmitMessage& in) {
    if (Node* node = Of(in.relay)) {
      node->Meet([this, node, in] {
        node->Take(in, body_);
        most_held_ = std::max<std::uint64_t>(most_held_, node->held());
      });
    } else {
      Tell(model::SubmissionAnswered{in.submission, model::SubmissionAnswered::Result::kConnectionLost,
                                     Time(0)});
    }
  }
  void Do(const model::AbandonSubmission& leave) {
    if (Node* node = Of(leave.relay)) node->Meet([node, hand = leave.submission] { node->Leave(hand); });
  }
  void Do(const model::AnswerCall& answer) {
    if (Node* node = OfCall(answer.call)) node->Meet([node, answer] { node->Answer(answer); });
  }
  void Do(const model::CloseCallConnection& broken) {
    if (Node* node = OfCall(broken.call)) node->Meet([node, call = broken.call] { node->Break(call); });
  }
  void Do(const model::SendList& list) {
    if (Node* node = Of(list.relay)) node->Meet([node, list] { node->Adopt(list); });
  }
  void Do(const model::RefuseList& refused) {
    if (Node* node = Of(refused.relay)) node->Meet([node, refused] { node->Refuse(refused); });
  }
  void Do(const model::SendHeartbeat& beat) {
    if (Node* node = Of(beat.relay)) node->Meet([node, beat] { node->Beat(beat); });
  }
  void Do(const model::TruncateList& broken) {
    if (Node* node = Of(broken.list.relay)) {
      node->Meet([node, call = broken.list.call] { node->BreakList(call); });
    }
  }
  void Do(const model::MoveDiscovery& move) {
    if (Node* node = Of(move.relay)) node->Meet([node] { node->MoveDiscovery(); });
  }
  // Signals that end nothing and clients that say nothing are for sockets.
  void Do(const model::SignalRelay&) {}
  void Do(const model::SetIdleClients&) {}
  // Lines ask the world itself.
  void Do(const model::HostUp&) {}
  void Do(const model::HostDown&) {}
  void Do(const model::KillRelay& kill) { End(kill.relay); }
  void Do(const model::TerminateRelay& terminate) {
    if (Node* node = Of(terminate.relay)) node->Meet([node] { node->Terminate(); });
  }
  void Do(const model::StartRelay& start) { Start(start.relay); }
  void Do(const model::StopRelay& stop) {
    if (Node* node = Of(stop.relay)) node->Stop();
  }
  void Do(const model::ContinueRelay& go_on) {
    if (Node* node = Of(go_on.relay)) node->Continue();
  }

  void Start(int relay) {
    if (Of(relay) != nullptr) return;
    const auto r = static_cast<std::size_t>(relay);
    Node::Options options;
    options.number = relay;
    options.folder = options_.folder + "/relay" + std::to_string(relay);
    options.disk_bytes = static_cast<std::size_t>(scenario_.relay.disk_mb * 1e6);
    options.most_lines = static_cast<std::size_t>(scenario_.relay.sockets) / 2;
    options.list_calls_before = static_cast<std::uint64_t>(lives_[r]) * kListCallsOfALife;
    options.seed = SeedOf(day_, relay, lives_[r]++);
    nodes_[r] = std::make_unique<Node>(options, settings_[r], *this, world_.KnownList(relay));
    Tell(model::RelayUp{relay});
  }

  void End(int relay) {
    const auto r = static_cast<std::size_t>(relay);
    if (!nodes_[r]) return;
    turns_ += nodes_[r]->counters().steps;
    nodes_[r].reset();
    Tell(model::RelayDown{relay});
  }

  // Node::Around
  Time Now() const override { return now_; }
  void At(Time moment, std::function<void()> what) override {
    calendar_.push({std::max(moment, now_), order_++, std::move(what)});
  }
  void Tell(model::Input input) override { inputs_.push_back(std::move(input)); }
  std::uint64_t NextCall(int relay) override {
    return ++calls_ * static_cast<std::uint64_t>(day_.relays) + static_cast<std::uint64_t>(relay);
  }
  bool Connect(const std::string& address) override { return world_.Connect(address); }
  void Disconnect(const std::string& address) override { world_.Disconnect(address); }
  void Ended(int relay) override {
    At(now_, [this, relay] { End(relay); });
  }

  const model::Scenario& scenario_;
  const model::Day& day_;
  const SimulationOptions& options_;
  Witness witness_;
  model::PlatformModel world_;
  std::string body_;
  std::vector<wheathub::Settings> settings_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<int> lives_;
  std::vector<model::Input> inputs_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> calendar_;
  Time now_{0};
  std::uint64_t order_ = 0, calls_ = 0, turns_ = 0, most_held_ = 0;
};

}  // namespace

Outcome Simulate(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options) {
  return Simulation(scenario, day, options).Run();
}

}  // namespace oxbowspread::lab
