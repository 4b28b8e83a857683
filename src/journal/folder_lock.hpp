// Lock that lets only one process at a time use a state folder.
#pragma once

#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace oxbowspread::journal {

// Another process has locked the folder. The text contains the folder and, if the system reports it, the
// process.
class FolderLocked : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An exclusive lock (flock(2)) on the folder itself. It creates no file, and the system releases it when the
// process ends in any way. On a file system without such locks, the folder is used without a lock.
class FolderLock {
 public:
  // Acquires the lock. Throws FolderLocked, or std::system_error if the folder can't be opened.
  explicit FolderLock(const std::string& folder);
  // Takes ownership of a lock that another process has acquired and passed on as a descriptor.
  explicit FolderLock(int fd) : fd_(fd) {}
  ~FolderLock();
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

  // Returns the descriptor to pass to another process. The folder stays locked while any process has it open.
  int fd() const { return fd_; }
  // Closes the descriptor of this process. The folder stays locked if another process has the descriptor.
  void Release();

  // Returns the process that has locked the folder according to /proc/locks; empty if none is listed.
  static std::optional<pid_t> HolderOf(const std::string& folder);

 private:
  int fd_ = -1;
};

}  // namespace oxbowspread::journal
