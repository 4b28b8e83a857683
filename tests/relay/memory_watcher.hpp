// Measures the memory that counts against a relay's limit: the resident memory of its processes, and the
// files of its state folder.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oxbowspread::testing {

// Looks without a pause, on a thread of its own, from construction to Stop or destruction.
class MemoryWatcher {
 public:
  explicit MemoryWatcher(std::string state_folder);
  ~MemoryWatcher() { Stop(); }
  MemoryWatcher(const MemoryWatcher&) = delete;
  MemoryWatcher& operator=(const MemoryWatcher&) = delete;

  // Adds a process. It counts while it runs a program of that path: before that it is a copy of the test.
  void Add(pid_t pid, const std::string& program);
  // Returns the most bytes that were seen at one time.
  std::size_t Stop();
  std::size_t largest_bytes() const { return largest_bytes_; }

 private:
  struct Process {
    pid_t pid;
    std::string program;
  };

  void Watch();
  std::size_t CurrentBytes();

  std::string state_folder_;
  std::mutex mutex_;
  std::vector<Process> processes_;  // guarded by mutex_
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> largest_bytes_ = 0;
  std::thread thread_;
};

}  // namespace oxbowspread::testing
