// Runs the program wheathub_drill, which connects the decision module to the simulator, on short inputs.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

struct RunResult {
  std::string out;
  std::string err;
  int exit_code = 0;
};

RunResult RunAdapter(const std::string& input) {
  const auto base = std::filesystem::temp_directory_path() / ("wheathub_drill_" + std::to_string(::getpid()));
  const std::string in = base.string() + ".in";
  const std::string out = base.string() + ".out";
  const std::string err = base.string() + ".err";
  std::ofstream(in) << input;
  const std::string command = std::string(WHEATHUB_DRILL) + " <" + in + " >" + out + " 2>" + err;
  const int status = std::system(command.c_str());
  const auto read_file = [](const std::string& path) {
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  RunResult result{read_file(out), read_file(err), WIFEXITED(status) ? WEXITSTATUS(status) : -1};
  for (const std::string& path : {in, out, err}) std::filesystem::remove(path);
  return result;
}

const char kLaunch[] =
    "LAUNCH salt=7 facts={\"services\":[{\"semantics\":\"idempotent\",\"goal-time-s\":2,\"deadline-s\":20}],"
    "\"family-info\":{\"calls-out\":4},\"limits\":{\"send-cap\":4,\"max-open\":20}}\n"
    "LEDGER ref=0 items=1\nITEM receiver=10.0.0.1:80 lifecycle=up belongs-to=5\n"
    "VIEW ref=0 revision=1 scope=remembered\n";

// Returns the lines that launch an instance and send it a list with one endpoint.
std::string Start(const std::string& instance) { return "AT i=" + instance + "\n" + kLaunch; }
// Returns the lines that submit a message to an instance.
std::string Message(const std::string& instance, const std::string& id) {
  return "AT i=" + instance + "\nINBOUND rid=" + id + " category=0 expires-in-s=20 to-exchange=5\n";
}
// Returns the lines of the output that belong to one instance.
std::string OutputOf(const std::string& out, const std::string& instance) {
  std::string lines;
  std::size_t position = 0;
  bool is_selected = false;
  while (position < out.size()) {
    const std::size_t end = out.find('\n', position);
    const std::string line = out.substr(position, end - position);
    position = end + 1;
    if (line.rfind("SPEAKING", 0) == 0) is_selected = line == "SPEAKING i=" + instance;
    if (line.rfind("END", 0) == 0) is_selected = false;
    if (is_selected) lines += line + "\n";
  }
  return lines;
}

TEST(SimulatorAdapter, SendsAMessageAndExitsAtTheEndOfInput) {
  const RunResult result = RunAdapter("TURN wall-s=1 round=4\n" + Start("sender_0") +
                                      Message("sender_0", "m1") + "FLUSH\n\nTURN wall-s=2 round=5\nFLUSH\n");
  EXPECT_EQ(result.exit_code, 0) << result.err;
  EXPECT_NE(result.out.find("SPEAKING i=sender_0\nASSIGN rid=m1 receiver=10.0.0.1:80"), std::string::npos)
      << result.out;
  EXPECT_NE(result.out.find("END round=4\nEND round=5\n"), std::string::npos) << result.out;
}

TEST(SimulatorAdapter, InstancesInOneProcessDoNotAffectEachOther) {
  const auto input = [](bool first, bool second) {
    std::string text = "TURN wall-s=1 round=1\n";
    if (first) text += Start("sender_0");
    if (second) text += Start("sender_1");
    text += "FLUSH\nTURN wall-s=1.1 round=2\n";
    for (int i = 0; i < 12; ++i) {
      if (first) text += Message("sender_0", "a" + std::to_string(i));
      if (second) text += Message("sender_1", "b" + std::to_string(i));
    }
    text += "FLUSH\nTURN wall-s=1.3 round=3\n";
    if (first)
      text += "AT i=sender_0\nATTEMPT_END rid=a0 shot=0 receiver=10.0.0.1:80 reason=no_room wait-ms=50\n";
    if (second)
      text += "AT i=sender_1\nATTEMPT_END rid=b0 shot=0 receiver=10.0.0.1:80 reason=pass closed=1\n";
    text += "FLUSH\nTURN wall-s=2 round=4\n";
    if (first) text += "AT i=sender_0\nDEADLINE_HIT handle=sweep\n";
    if (second) text += "AT i=sender_1\nDEADLINE_HIT handle=sweep\n";
    return text + "FLUSH\n";
  };
  const std::string together = RunAdapter(input(true, true)).out;
  EXPECT_GT(OutputOf(together, "sender_0").size(), 100u);
  EXPECT_EQ(OutputOf(together, "sender_0"), OutputOf(RunAdapter(input(true, false)).out, "sender_0"));
  EXPECT_EQ(OutputOf(together, "sender_1"), OutputOf(RunAdapter(input(false, true)).out, "sender_1"));
}

TEST(SimulatorAdapter, ARestartedInstanceStartsWithoutState) {
  const RunResult result =
      RunAdapter("TURN wall-s=1 round=1\n" + Start("sender_0") + Message("sender_0", "m1") +
                 "FLUSH\nTURN wall-s=2 round=2\nAT i=sender_0\nTEARDOWN\n" + Start("sender_0") +
                 Message("sender_0", "m2") + "FLUSH\n");
  EXPECT_EQ(result.exit_code, 0) << result.err;
  EXPECT_NE(result.out.find("ASSIGN rid=m2"), std::string::npos);
}

TEST(SimulatorAdapter, InvalidInputIsReportedInOneLineWithoutOutput) {
  const std::string invalid_inputs[] = {
      "TURN wall-s=1 round=1\nAT i=sender_0\nINBOUND rid=m category=0 expires-in-s=1 to-exchange=5\nFLUSH\n",
      "TURN wall-s=1 round=1\nWHAT\nFLUSH\n",
      "TURN wall-s=1 round=1\n" + Start("sender_0"),
      "TURN wall-s=1 round=1\nAT i=sender_0\nLAUNCH salt=1 facts={\"services\":[]}\nFLUSH\n",
  };
  for (const std::string& input : invalid_inputs) {
    const RunResult result = RunAdapter(input);
    EXPECT_NE(result.exit_code, 0);
    EXPECT_TRUE(result.out.empty()) << result.out;
    EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
    EXPECT_NE(result.err.find("line "), std::string::npos) << result.err;
  }
}

}  // namespace
