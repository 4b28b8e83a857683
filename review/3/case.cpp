// A new version takes over from the old process, which is told to end and still has calls out at endpoints
// that hang. Then the new process is killed and started again. No message may have two calls out at once.
#include "../stand_ins.hpp"

namespace {

using namespace review;

constexpr int kMessages = 6;
constexpr int kDestination = 7;

int Run(Record& record) {
  const bool trouble = IsTroubled();
  TemporaryFolder folder;
  Platform platform(record);
  // An endpoint hangs on the first call of each message and answers any other one. It reads what is sent.
  Endpoints endpoints(record, [](const Call&, int calls_of_message) {
    return calls_of_message == 1 ? std::string() : kServed;
  });
  for (const char* const host : {"s-1", "s-2", "s-3"})
    platform.AddHost(host, endpoints.Open(host), kDestination, "north-room");
  Relay relay(record, platform, folder.path(), Settings("deduplicated", 109), true);
  const int old_port = FreePort(), new_port = FreePort();
  const pid_t old_process = relay.Start(old_port);
  if (!relay.WaitUntilReady(10s)) return 2;
  Sleep(500ms);
  for (int i = 0; i < kMessages; ++i) {
    const std::string id = "000000000000b00" + std::to_string(i);
    if (HandIn(record, relay.port(), id, "hello", 16000, kDestination) != "+OK") return 2;
    Sleep(50ms);
  }
  Sleep(100ms);
  if (endpoints.count() < kMessages) return 2;

  // The new version under load: SIGTERM reaches the old process when the new one says yes.
  const pid_t new_process = relay.Start(new_port);
  const auto ready_until = Clock::now() + 6s;
  while (AskOperatorsPort(new_port, "readyz") != "done") {
    if (Clock::now() > ready_until) return 2;
    Sleep(10ms);
  }
  record.Line("the new process is ready");
  relay.Signal(old_process, SIGTERM);
  const auto old_killed_at = Clock::now() + 3700ms;
  if (trouble) {
    Sleep(200ms);
    relay.Signal(new_process, SIGKILL);
    if (!relay.WaitForExit(new_process, 1s)) return 2;
    Sleep(600ms);
    relay.Start(new_port);
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(old_killed_at - Clock::now());
  if (!relay.WaitForExit(old_process, left)) {
    relay.Signal(old_process, SIGKILL);
    relay.WaitForExit(old_process, 1s);
  }
  if (!relay.WaitUntilReady(10s)) return 2;
  Sleep(6s);
  record.Line(std::to_string(endpoints.second_copies()) + " of " + std::to_string(kMessages) +
              " messages had two calls out at once");
  return endpoints.second_copies() > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Run); }
