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
  std::string holder = "another process";
  if (const auto pid = HolderOf(folder)) {
    std::string name;
    std::getline(std::ifstream("/proc/" + std::to_string(*pid) + "/comm"), name);
    holder = "process " + std::to_string(*pid) + (name.empty() ? "" : " (" + name + ")");
  }
  throw FolderLocked("state: " + folder + " is held by " + holder);
}

FolderLock::~FolderLock() { Release(); }

void FolderLock::Release() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

// A line of /proc/locks (see proc(5)) looks like "1: FLOCK  ADVISORY  WRITE 708 08:02:131090 0 EOF". The
// device is in hexadecimal and the inode in decimal.
std::optional<pid_t> FolderLock::HolderOf(const std::string& folder) {
  struct stat folder_stat {};
  if (stat(folder.c_str(), &folder_stat) != 0) return std::nullopt;
  std::ifstream locks("/proc/locks");
  for (std::string line; std::getline(locks, line);) {
    std::istringstream fields(line);
    std::string lock_number, kind, advisory, mode, device_and_inode;
    pid_t pid = 0;
    if (!(fields >> lock_number >> kind >> advisory >> mode >> pid >> device_and_inode)) continue;
    const std::size_t colon = device_and_inode.rfind(':');
    if (kind != "FLOCK" || colon == device_and_inode.npos || pid <= 0) continue;
    if (device_and_inode.substr(colon + 1) == std::to_string(folder_stat.st_ino)) return pid;
  }
  return std::nullopt;
}

}  // namespace oxbowspread::journal
