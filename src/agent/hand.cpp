#include "agent/hand.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

#include "journal/folder_lock.hpp"
#include "supervise/process.hpp"

namespace oxbowspread::agent {
namespace {

using namespace std::chrono_literals;
using change::Belief;

constexpr net::Time kAnswerWithin = 1s;
constexpr net::Time kAliveEach = 100ms;

Belief::Phase PhaseOf(const std::string& name) {
  if (name == "serving") return Belief::Phase::kServing;
  if (name == "paused") return Belief::Phase::kPaused;
  if (name == "starting" || name == "recovering") return Belief::Phase::kStarting;
  return Belief::Phase::kEnding;
}

supervise::Status StatusFrom(const control::Json& j) {
  using control::NumberOf;
  using control::TextOf;
  supervise::Status s;
  s.phase = PhaseOf(TextOf(j, "phase"));
  s.settled = j.value("settled", false);
  s.stamp = TextOf(j, "stamp");
  s.pid = NumberOf(j, "pid");
  s.held = NumberOf(j, "held");
  const control::Json c = j.value("counters", control::Json::object());
  const std::int64_t failed = NumberOf(c, "undeliverable") + NumberOf(c, "deferred");
  s.counts = {NumberOf(c, "authorisations"), NumberOf(c, "busy"), NumberOf(c, "delivered") + failed, failed};
  return s;
}

}  // namespace

Hand::Hand(net::Loop& loop, std::string instance, const Places& places, store::Store& store,
           const supervise::Desired& desired, Note note)
    : loop_(loop),
      instance_(std::move(instance)),
      places_(places),
      store_(store),
      note_(std::move(note)),
      keeper_(desired),
      relay_(loop,
             [this](control::Peer::Callbacks calls) {
               return control::Peer::ConnectUnix(loop_, path(".sock"), std::move(calls));
             }),
      wake_(loop, [this] { Step({}); }),
      alive_(loop, [this] { CheckAlive(); }) {
  if (const auto running = store_.GetRunning(instance_)) running_ = *running;
  wake_.After(net::Time(0));
}

void Hand::Order(supervise::Desired desired) {
  if (desired.stamp.empty()) {
    desired.stamp = keeper_.desired().stamp;
    desired.reload = keeper_.desired().reload;
  }
  if (desired == keeper_.desired()) return;
  store_.PutDesired(instance_, {NameOf(desired.want), desired.stamp, desired.reload});
  Step({supervise::DesiredChanged{std::move(desired)}});
}

void Hand::Step(std::vector<supervise::Event> events) {
  // What an action leads to at once comes as a further step of its own.
  for (const supervise::Action& action : keeper_.Step(net::Loop::Now(), events)) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
  if (keeper_.wake_at() != net::Time::max()) wake_.At(keeper_.wake_at());
}

// Found only when all that can be asked agrees; Nobody only when nothing speaks for anybody.
void Hand::Do(const supervise::FindProcess&) {
  const auto holder = journal::FolderLock::HolderOf(StateFolder());
  const bool recorded =
      running_.pid > 0 && running_.start_ticks != 0 &&
      supervise::ProcessStartTicks(static_cast<pid_t>(running_.pid)) == running_.start_ticks;
  if (recorded && holder && *holder == running_.pid) return Adopt(running_.pid);
  if (!recorded && !holder) {
    wake_.After(net::Time(0));
    return Step({supervise::NoProcessFound{}});
  }
  LookAtSocket(holder ? *holder : running_.pid);
}

// Somebody is there whom no record names, or who does not hold the folder, yet: only its own word decides.
void Hand::LookAtSocket(std::int64_t holder) {
  relay_.Call(
      {{"op", "status"}}, kAnswerWithin, [this, holder](const control::Json* answer, const std::string&) {
        if (keeper_.state() != supervise::Supervisor::State::kSearching) return;
        if (answer != nullptr && control::NumberOf(*answer, "pid") == holder) return Adopt(holder);
        const std::string text = "waits: process " + std::to_string(holder) + " holds its state folder and " +
                                 (answer == nullptr ? "does not answer" : "is not the one that answers");
        if (std::exchange(told_, text) != text) note_(instance_, text);
      });
}

void Hand::Adopt(std::int64_t pid) {
  if (supervise::ProcessStartTicks(static_cast<pid_t>(pid)) == 0)
    return;  // ended just now: the next look will see
  told_.clear();
  Remember(pid, false);
  Step({supervise::ProcessFound{pid}});
}

void Hand::Remember(std::int64_t pid, bool child) {
  running_ = {pid, supervise::ProcessStartTicks(static_cast<pid_t>(pid))};
  child_ = child;
  try {
    store_.PutRunning(instance_, running_);
  } catch (const store::Error& e) {
    note_(instance_, e.what());
  }
  alive_.After(kAliveEach);
}

std::string Hand::StateFolder() const {
  std::string folder;
  if (const auto text = store_.GetConfig(instance_, change::VersionOf(keeper_.desired().stamp))) {
    const control::Json json = control::Json::parse(*text, nullptr, false);
    if (json.is_object()) folder = control::TextOf(json, "state");
  }
  return folder.empty() ? places_.folder + "/state/" + instance_ : folder;
}

void Hand::WriteConfig(const std::string& stamp) {
  const auto text = store_.GetConfig(instance_, change::VersionOf(stamp));
  if (!text) throw std::runtime_error("the store has no configuration " + change::VersionOf(stamp));
  const std::string file = path(".json"), next = file + ".next";
  std::ofstream out(next, std::ios::trunc);
  out << *text;
  out.close();
  if (!out || std::rename(next.c_str(), file.c_str()) != 0)
    throw std::runtime_error(file + ": can't be written");
}

void Hand::Do(const supervise::Spawn& spawn) {
  std::string why;
  pid_t pid = 0;
  try {
    WriteConfig(spawn.stamp);
    const std::string state = StateFolder();
    std::filesystem::create_directories(state);
    supervise::Program program{
        places_.relay,
        {"--control", path(".sock"), "--stamp", spawn.stamp},
        {{"ROUTER_CONFIG", path(".json")}, {"ROUTER_NAME", instance_}, {"ROUTER_STATE", state}},
        path(".log")};
    pid = supervise::SpawnProcess(program, &why);
  } catch (const std::exception& e) {
    why = e.what();
  }
  if (pid == 0) return Step({supervise::SpawnFailed{why}});
  relay_.Disconnect("started anew");
  Remember(pid, true);
  Step({supervise::Spawned{pid}});
}

void Hand::Do(const supervise::QueryStatus&) {
  if (std::exchange(polling_, true)) return;
  relay_.Call({{"op", "status"}}, kAnswerWithin, [this](const control::Json* answer, const std::string&) {
    polling_ = false;
    if (answer == nullptr || !answer->value("ok", false)) return Step({supervise::StatusUnavailable{}});
    Step({StatusFrom(*answer)});
  });
}

void Hand::Do(const supervise::SendCommand& ask) {
  control::Json request = {{"op", ask.op}};
  const bool reload = ask.op == "reload";
  try {
    if (reload) WriteConfig(ask.stamp);
  } catch (const std::exception& e) {
    return Step({supervise::ReloadAnswered{ask.stamp, e.what()}});
  }
  if (reload) request["stamp"] = ask.stamp;
  relay_.Call(std::move(request), kAnswerWithin,
              [this, ask, reload](const control::Json* answer, const std::string&) {
                if (answer == nullptr) return;  // asked again while nothing shows it
                const std::string why = control::TextOf(*answer, "error");
                if (reload) return Step({supervise::ReloadAnswered{ask.stamp, why}});
                if (!why.empty()) note_(instance_, ask.op + ": " + why);
              });
}

void Hand::Do(const supervise::SendSignal& signal) {
  // Never to whoever has come by that pid since, and never to 0, which would be our whole process group.
  const auto pid = static_cast<pid_t>(signal.pid);
  if (pid <= 0 || running_.start_ticks == 0) return;
  if (signal.pid == running_.pid && supervise::ProcessStartTicks(pid) == running_.start_ticks)
    kill(pid, signal.signal_number);
}

void Hand::CheckAlive() {
  if (running_.pid == 0) return;
  const auto pid = static_cast<pid_t>(running_.pid);
  int code = 0, status = 0;
  if (child_ && waitpid(pid, &status, WNOHANG) == pid) {
    code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  } else if (running_.start_ticks != 0 && supervise::ProcessStartTicks(pid) == running_.start_ticks) {
    alive_.After(kAliveEach);
    return;
  }
  running_ = {};
  alive_.Stop();
  relay_.Disconnect("the relay has ended");
  Step({supervise::ProcessExited{code}});
}

}  // namespace oxbowspread::agent
