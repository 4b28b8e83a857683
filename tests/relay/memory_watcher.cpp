#include "memory_watcher.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace oxbowspread::testing {
namespace {

// Returns 0 for a process that has exited.
std::size_t ResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::size_t virtual_pages = 0, resident_pages = 0;
  file >> virtual_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

bool RunsProgram(pid_t pid, const std::string& program) {
  std::error_code error;
  return std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", error) == program;
}

std::size_t FolderBytes(const std::string& folder) {
  std::size_t bytes = 0;
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
    if (!file.is_regular_file(error)) continue;
    const std::uintmax_t file_bytes = file.file_size(error);
    if (!error) bytes += file_bytes;
  }
  return bytes;
}

}  // namespace

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
  std::size_t bytes = FolderBytes(state_folder_);
  const std::lock_guard lock(mutex_);
  for (const Process& process : processes_) {
    if (RunsProgram(process.pid, process.program)) bytes += ResidentBytes(process.pid);
  }
  return bytes;
}

}  // namespace oxbowspread::testing
