#include "memory_watcher.hpp"

#include <algorithm>

#include "supervise/process_memory.hpp"

namespace oxbowspread::testing {
MemoryWatcher::MemoryWatcher(std::string state_folder)
    : state_folder_(std::move(state_folder)), thread_([this] { Watch(); }) {}

void MemoryWatcher::Add(pid_t pid, const std::string& program) {
  const std::lock_guard lock(mutex_);
  processes_.push_back({pid, program});
}

std::size_t MemoryWatcher::Stop() {
  stopped_ = true;
  if (thread_.joinable()) thread_.join();
  return largest_bytes_;
}

void MemoryWatcher::Watch() {
  while (!stopped_) largest_bytes_ = std::max<std::size_t>(largest_bytes_, CurrentBytes());
}

std::size_t MemoryWatcher::CurrentBytes() {
  std::size_t bytes = supervise::FileBytes(state_folder_);
  const std::lock_guard lock(mutex_);
  for (const Process& process : processes_) {
    if (supervise::RunsProgram(process.pid, process.program)) bytes += supervise::ResidentBytes(process.pid);
  }
  return bytes;
}

}  // namespace oxbowspread::testing
