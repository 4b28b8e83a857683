// The memory that counts against a relay's limit: the resident memory of its processes, and the files of its
// state folder.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace oxbowspread::supervise {

// Returns whether the process runs that program. Before that it is a copy of the process that started it.
inline bool RunsProgram(pid_t pid, const std::string& program) {
  std::error_code error;
  const auto running = std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", error);
  return !error && std::filesystem::equivalent(running, program, error);
}

// Returns the resident memory of the process in bytes; 0 if it has exited.
inline std::uint64_t ResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t virtual_pages = 0, resident_pages = 0;
  file >> virtual_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

// Returns the size in bytes of the regular files in the folder. Files that vanish meanwhile do not count.
inline std::uint64_t FileBytes(const std::string& folder) {
  std::uint64_t bytes = 0;
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
    if (!file.is_regular_file(error)) continue;
    const std::uintmax_t file_bytes = file.file_size(error);
    if (!error) bytes += file_bytes;
  }
  return bytes;
}

// Returns the memory in bytes of those of the processes that run the program, and of the folder's files.
inline std::uint64_t MemoryBytes(const std::vector<pid_t>& pids, const std::string& program,
                                 const std::string& folder) {
  std::uint64_t bytes = FileBytes(folder);
  for (const pid_t pid : pids) {
    if (RunsProgram(pid, program)) bytes += ResidentBytes(pid);
  }
  return bytes;
}

}  // namespace oxbowspread::supervise
