// Who may write in a folder that lasts: one process at a time.
#pragma once

#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>

namespace oxbowspread::journal {

// Another process holds the folder; the text names the folder and, where the system tells it, the process.
class FolderLocked : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An exclusive lock (flock(2)) on the folder itself: it takes no room in it, and ends with its process
// however that ends. Where the file system knows no such locks the folder is used without one.
class FolderLock {
 public:
  // Throws FolderLocked, or std::system_error if there is no such folder.
  explicit FolderLock(const std::string& folder);
  // Takes over a lock that another process has taken and passed on as a descriptor.
  explicit FolderLock(int fd) : fd_(fd) {}
  ~FolderLock();
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

  // To be passed on: it stays locked while any process has it open.
  int fd() const { return fd_; }
  // This process holds it no more.
  void Release();

  // The process that holds the folder, read from /proc/locks; nothing if nobody does or it isn't told.
  static std::optional<pid_t> HolderOf(const std::string& folder);

 private:
  int fd_ = -1;
};

}  // namespace oxbowspread::journal
