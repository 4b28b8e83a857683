// A relay process stopped between two of its system calls (ptrace), so that signals and ends of the process
// meet it at just that point.
#pragma once

#include <functional>
#include <string>

#include "rig.hpp"

namespace oxbowspread::testing {

class Tracer {
 public:
  // A call of the system, before it is made or with its result.
  struct Call {
    long number = -1;
    int fd = -1;  // its first argument; of one that opens a file, once done, the file
    bool done = false;
    long result = 0;
  };

  // Takes hold of the process, which stops until the first Until; the world is served meanwhile.
  Tracer(World& world, pid_t pid);
  ~Tracer() { Detach(); }
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  // Lets it run to where that holds, and stops it there. Fails the test if it ends before.
  void Until(const std::function<bool(const Call&)>& wanted);
  // A record has been written to the journal, so many of them from now on.
  void UntilJournalled(int records);
  // Bytes have been received on a connection that the process opened to that port.
  void UntilReceivedFrom(int port);
  // It is about to wait for what comes, and that holds.
  void UntilWaiting(const std::function<bool()>& holds);
  // It goes on, free.
  void Detach();
  std::string FileOf(int fd) const;  // the path, or "socket:[inode]"

 private:
  int PeerOf(int fd) const;  // its port
  void Await(int* status);

  World& world_;
  pid_t pid_;
  bool held_ = false;
  int signal_ = 0;  // one that came and is passed on
};

}  // namespace oxbowspread::testing
