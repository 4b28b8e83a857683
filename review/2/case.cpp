// SIGHUP brings a file in which a deduplicated class lacks `key-scope`. The file is to be turned down whole,
// so repeats must stay in the room of the first call. An endpoint in one room fails some of its calls.
#include "../stand_ins.hpp"

namespace {

using namespace review;

constexpr int kMessages = 120;  // in 12 s, to four partners in turn
constexpr int kStruck = 7;  // the partner whose endpoint in the north room fails calls: 25 % of the traffic
constexpr double kRepeatWindowS = 10;

// What the endpoints of a partner know: by room and key, when the message ran there. An endpoint drops a
// repeat for kRepeatWindowS, but only where it stands in the same room as the first delivery.
class Effects {
 public:
  // Returns whether the call runs; a repeat that is dropped does not.
  bool Run(const Call& call, const std::string& room) {
    const std::lock_guard lock(mutex_);
    const auto known = ran_at_.find({call.id, room});
    if (known != ran_at_.end() && call.at - known->second <= kRepeatWindowS) return false;
    ran_at_[{call.id, room}] = call.at;
    runs_[call.id] += 1;
    return true;
  }
  std::map<std::string, int> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, double> ran_at_;
  std::map<std::string, int> runs_;
};

int Run(Record& record) {
  const bool trouble = IsTroubled();
  TemporaryFolder folder;
  Platform platform(record);
  Effects effects;
  std::atomic<bool> struck = false;
  std::atomic<int> struck_calls = 0, failed_calls = 0;
  const std::string struck_host = "s-" + std::to_string(kStruck) + "-1";
  Endpoints endpoints(record, [&](const Call& call, int) -> std::string {
    const std::string room = call.host.back() == '1' ? "north-room" : "east-room";
    Sleep(50ms);
    const bool ran = effects.Run(call, room);
    record.Line("call " + call.id + " at " + call.host + " in " + room + ": " +
                (ran ? "runs" : "a repeat, dropped"));
    if (!struck || call.host != struck_host) return kServed;
    // The second, third and fifth of five calls fail: 50 to 67 % of them, from the second one on.
    const int number = struck_calls++ % 5;
    if (number == 0 || number == 3) return kServed;
    failed_calls += 1;
    return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
  });
  for (int partner = kStruck; partner < kStruck + 4; ++partner) {
    for (int i = 1; i <= 2; ++i) {
      const std::string host = "s-" + std::to_string(partner) + "-" + std::to_string(i);
      platform.AddHost(host, endpoints.Open(host), partner, i == 1 ? "north-room" : "east-room");
    }
  }
  Relay relay(record, platform, folder.path(), Settings("deduplicated", 109), false);
  const pid_t process = relay.Start();
  if (!relay.WaitUntilReady(10s)) return 2;
  Sleep(1500ms);
  if (trouble) {
    relay.config()["settings"]["services"][0].erase("key-scope");
    relay.WriteConfig();
    record.Line("the new file lacks settings.services[0].key-scope and has all else as before");
    relay.Signal(process, SIGHUP);
  }
  Sleep(1200ms);
  struck = true;
  record.Line(struck_host + " fails half to two thirds of the calls from now on");
  std::set<std::string> taken;
  for (int i = 0; i < kMessages; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "%016x", 0xc000 + i);
    if (HandIn(record, relay.port(), id, "hello", 16000, kStruck + i % 4) == "+OK") taken.insert(id);
    Sleep(100ms);
  }
  struck = false;
  Sleep(3s);
  int twice = 0;
  for (const auto& [id, runs] : effects.runs()) {
    if (runs < 2) continue;
    twice += 1;
    record.Line("RAN TWICE: " + id + " ran " + std::to_string(runs) + " times");
  }
  record.Line(std::to_string(taken.size()) + " messages taken on, " + std::to_string(twice) +
              " messages ran more than once");
  const double failed_share = failed_calls / std::max(1.0, static_cast<double>(struck_calls));
  record.Line(struck_host + " failed " + std::to_string(failed_calls) + " of " +
              std::to_string(struck_calls) + " calls");
  if (failed_share < 0.45 || failed_share > 0.88) return 2;  // outside the limit of the pages
  return twice > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
