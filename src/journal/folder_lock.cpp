#include "journal/folder_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace oxbowspread::journal {

FolderLock::FolderLock(const std::string& folder)
    : fd_(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "can't open the folder " + folder);
  if (flock(fd_, LOCK_EX | LOCK_NB) == 0 || errno != EWOULDBLOCK) return;
  close(fd_);
  std::string who = "another process";
  if (const auto pid = HolderOf(folder)) {
    std::string name;
    std::getline(std::ifstream("/proc/" + std::to_string(*pid) + "/comm"), name);
    who = "process " + std::to_string(*pid) + (name.empty() ? "" : " (" + name + ")");
  }
  throw FolderLocked("state: " + folder + " is held by " + who);
}

FolderLock::~FolderLock() { Release(); }

void FolderLock::Release() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

// A line of it (proc(5)): "1: FLOCK  ADVISORY  WRITE 708 08:02:131090 0 EOF", device in hex, inode in
// decimal.
std::optional<pid_t> FolderLock::HolderOf(const std::string& folder) {
  struct stat there {};
  if (stat(folder.c_str(), &there) != 0) return std::nullopt;
  std::ifstream locks("/proc/locks");
  for (std::string line; std::getline(locks, line);) {
    std::istringstream fields(line);
    std::string number, kind, advisory, mode, place;
    pid_t pid = 0;
    if (!(fields >> number >> kind >> advisory >> mode >> pid >> place)) continue;
    const std::size_t colon = place.rfind(':');
    if (kind != "FLOCK" || colon == place.npos || pid <= 0) continue;
    if (place.substr(colon + 1) == std::to_string(there.st_ino)) return pid;
  }
  return std::nullopt;
}

}  // namespace oxbowspread::journal
