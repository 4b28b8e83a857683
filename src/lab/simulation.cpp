#include "lab/simulation.hpp"

#include <algorithm>
#include <filesystem>
#include <queue>
#include <utility>

#include "lab/settings.hpp"
#include "wire.hpp"

namespace oxbowspread::lab {
namespace {

// Each process of a relay numbers its list calls in a range of this size, so that no two share a number.
constexpr std::uint64_t kListCallsPerProcess = 1'000'000'000;

// One run. Its loop advances the virtual clock to the next event of the model or of a relay.
class Simulation final : public SimulatedRelay::Environment {
 public:
  Simulation(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options)
      : scenario_(scenario),
        day_(day),
        options_(options),
        observer_(RulesOf(scenario), ScoringOf(scenario, day), options.trace),
        platform_(scenario, day, [this](const trace::Event& event) { observer_.Observe(event); }),
        body_(static_cast<std::size_t>(scenario.traffic.body_bytes), 'b'),
        process_counts_(static_cast<std::size_t>(day.relays)) {
    std::filesystem::remove_all(options_.folder);
    std::filesystem::create_directories(options_.folder);
    for (int rank = 0; rank < day.relays; ++rank) {
      std::vector<std::string> unknown_keys;
      settings_.push_back(wheathub::wire::ParseSettings(SettingsOf(scenario, day, rank), &unknown_keys));
    }
    relays_.resize(static_cast<std::size_t>(day.relays));
  }
  ~Simulation() override {
    relays_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(options_.folder, ignored);
  }

  Outcome Run() {
    Outcome outcome;
    try {
      for (int relay = 0; relay < day_.relays; ++relay) StartRelay(relay);
      while (!platform_.done()) {
        Time next = platform_.wake_at();
        if (!schedule_.empty()) next = std::min(next, schedule_.top().at);
        if (inputs_.empty()) now_ = std::max(now_, next);
        RunMoment();
      }
    } catch (const std::exception& e) {
      outcome.crash = e.what();
    }
    observer_.Finish(&outcome);
    outcome.length = now_;
    outcome.steps = steps_;
    outcome.max_held_messages = max_held_messages_;
    for (const auto& relay : relays_) {
      if (relay) outcome.steps += relay->counters().steps;
    }
    return outcome;
  }

 private:
  struct ScheduledCallback {
    Time at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator>(const ScheduledCallback& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Runs the callbacks that are due now, then steps the model with their inputs. Inputs that this produces
  // are handled by the next call, at the same time of the run.
  void RunMoment() {
    while (!schedule_.empty() && schedule_.top().at <= now_) {
      const std::function<void()> callback =
          std::move(const_cast<ScheduledCallback&>(schedule_.top()).callback);
      schedule_.pop();
      callback();
    }
    const std::vector<model::Input> inputs = std::exchange(inputs_, {});
    for (const model::Effect& effect : platform_.Step(now_, inputs)) {
      std::visit([this](const auto& e) { Apply(e); }, effect);
    }
  }

  SimulatedRelay* FindRelay(int relay) { return relays_[static_cast<std::size_t>(relay)].get(); }
  SimulatedRelay* FindRelayOfCall(std::uint64_t call) {
    return FindRelay(static_cast<int>(call % static_cast<std::uint64_t>(day_.relays)));
  }

  void Apply(const model::SubmitMessage& submit) {
    if (SimulatedRelay* relay = FindRelay(submit.relay)) {
      relay->RunOrDefer([this, relay, submit] {
        relay->Submit(submit, body_);
        max_held_messages_ = std::max<std::uint64_t>(max_held_messages_, relay->held_messages());
      });
    } else {
      Notify(model::SubmissionAnswered{submit.submission, model::SubmissionAnswered::Result::kConnectionLost,
                                       Time(0)});
    }
  }
  void Apply(const model::AbandonSubmission& abandoned) {
    if (SimulatedRelay* relay = FindRelay(abandoned.relay))
      relay->RunOrDefer([relay, submission = abandoned.submission] { relay->Withdraw(submission); });
  }
  void Apply(const model::AnswerCall& answer) {
    if (SimulatedRelay* relay = FindRelayOfCall(answer.call))
      relay->RunOrDefer([relay, answer] { relay->AnswerCall(answer); });
  }
  void Apply(const model::CloseCallConnection& closed) {
    if (SimulatedRelay* relay = FindRelayOfCall(closed.call))
      relay->RunOrDefer([relay, call = closed.call] { relay->OnCallConnectionClosed(call); });
  }
  void Apply(const model::SendList& list) {
    if (SimulatedRelay* relay = FindRelay(list.relay))
      relay->RunOrDefer([relay, list] { relay->ApplyList(list); });
  }
  void Apply(const model::RefuseList& refusal) {
    if (SimulatedRelay* relay = FindRelay(refusal.relay))
      relay->RunOrDefer([relay, refusal] { relay->RefuseListCall(refusal); });
  }
  void Apply(const model::SendHeartbeat& heartbeat) {
    if (SimulatedRelay* relay = FindRelay(heartbeat.relay))
      relay->RunOrDefer([relay, heartbeat] { relay->OnHeartbeat(heartbeat); });
  }
  void Apply(const model::TruncateList& truncated) {
    if (SimulatedRelay* relay = FindRelay(truncated.list.relay)) {
      relay->RunOrDefer([relay, call = truncated.list.call] { relay->OnListTruncated(call); });
    }
  }
  void Apply(const model::MoveDiscovery& move) {
    if (SimulatedRelay* relay = FindRelay(move.relay)) relay->RunOrDefer([relay] { relay->MoveDiscovery(); });
  }
  // Signals that don't end a process and idle clients exist in runs on sockets only.
  void Apply(const model::SignalRelay&) {}
  void Apply(const model::SetIdleClients&) {}
  void Apply(const model::SetStoppedClients&) {}
  // Connect asks the model whether a host listens at an address.
  void Apply(const model::HostUp&) {}
  void Apply(const model::HostDown&) {}
  void Apply(const model::KillRelay& kill) { EndRelay(kill.relay); }
  void Apply(const model::TerminateRelay& terminate) {
    if (SimulatedRelay* relay = FindRelay(terminate.relay))
      relay->RunOrDefer([relay] { relay->Terminate(); });
  }
  void Apply(const model::StartRelay& start) { StartRelay(start.relay); }
  void Apply(const model::StopRelay& stop) {
    if (SimulatedRelay* relay = FindRelay(stop.relay)) relay->Suspend();
  }
  void Apply(const model::ContinueRelay& resume) {
    if (SimulatedRelay* relay = FindRelay(resume.relay)) relay->Resume();
  }

  void StartRelay(int relay) {
    if (FindRelay(relay) != nullptr) return;
    const auto index = static_cast<std::size_t>(relay);
    SimulatedRelay::Options options;
    options.relay_index = relay;
    options.folder = options_.folder + "/relay" + std::to_string(relay);
    options.disk_bytes = static_cast<std::size_t>(scenario_.relay.disk_mb * 1e6);
    options.max_connections = static_cast<std::size_t>(scenario_.relay.sockets) / 2;
    options.list_call_offset = static_cast<std::uint64_t>(process_counts_[index]) * kListCallsPerProcess;
    options.seed = RelaySeed(day_, relay, process_counts_[index]++);
    relays_[index] =
        std::make_unique<SimulatedRelay>(options, settings_[index], *this, platform_.KnownList(relay));
    Notify(model::RelayUp{relay});
  }

  void EndRelay(int relay) {
    const auto index = static_cast<std::size_t>(relay);
    if (!relays_[index]) return;
    steps_ += relays_[index]->counters().steps;
    relays_[index].reset();
    Notify(model::RelayDown{relay});
  }

  // SimulatedRelay::Environment
  Time Now() const override { return now_; }
  void Schedule(Time moment, std::function<void()> callback) override {
    schedule_.push({std::max(moment, now_), next_order_++, std::move(callback)});
  }
  void Notify(model::Input input) override { inputs_.push_back(std::move(input)); }
  std::uint64_t NextCallNumber(int relay) override {
    return ++calls_made_ * static_cast<std::uint64_t>(day_.relays) + static_cast<std::uint64_t>(relay);
  }
  bool Connect(const std::string& address) override { return platform_.Connect(address); }
  void Disconnect(const std::string& address) override { platform_.Disconnect(address); }
  void OnExit(int relay) override {
    Schedule(now_, [this, relay] { EndRelay(relay); });
  }

  const model::Scenario& scenario_;
  const model::Day& day_;
  const SimulationOptions& options_;
  EventObserver observer_;
  model::PlatformModel platform_;
  std::string body_;
  std::vector<wheathub::Settings> settings_;
  std::vector<std::unique_ptr<SimulatedRelay>> relays_;
  std::vector<int> process_counts_;
  std::vector<model::Input> inputs_;
  std::priority_queue<ScheduledCallback, std::vector<ScheduledCallback>, std::greater<>> schedule_;
  Time now_{0};
  std::uint64_t next_order_ = 0, calls_made_ = 0, steps_ = 0, max_held_messages_ = 0;
};

}  // namespace

Outcome Simulate(const model::Scenario& scenario, const model::Day& day, const SimulationOptions& options) {
  return Simulation(scenario, day, options).Run();
}

}  // namespace oxbowspread::lab
