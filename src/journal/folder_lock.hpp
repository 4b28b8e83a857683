// Lock that lets only one process at a time use a state folder.
#pragma once

#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace oxbowspread::journal {

// Another process holds the folder. The text names the folder and, where the system reports it, the process.
class FolderLocked : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An exclusive lock (flock(2)) on the folder itself. It creates no file, and the system releases it when its
// process ends in any way. On a file system without such locks the folder is used without one.
class FolderLock {
 public:
  // Takes the lock. Throws FolderLocked, or std::system_error if the folder does not exist.
  explicit FolderLock(const std::string& folder);
  // Takes ownership of a lock that another process has taken and passed on as a descriptor.
  explicit FolderLock(int fd) : fd_(fd) {}
  ~FolderLock();
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

  // Descriptor to pass to another process. The folder stays locked while any process has it open.
  int fd() const { return fd_; }
  // Gives up this process's hold on the lock.
  void Release();

  // Returns the process that holds the folder, as listed in /proc/locks; empty if none does or it is not
  // listed.
  static std::optional<pid_t> HolderOf(const std::string& folder);

 private:
  int fd_ = -1;
};

}  // namespace oxbowspread::journal
