// Limits the memory that the commands of all clients take together while they are incomplete or wait for
// their answer. Performs no I/O.
//
// A command that does not fit stays in the kernel's receive buffer, so its client is not turned away. A
// command whose remaining bytes have all arrived can be answered at once. Some of these therefore have room
// of their own, beyond the limit: clients that stop in the middle of a command can't delay a client that does
// not.
//
// All sizes are in bytes.
#pragma once

#include <cstddef>

#include "proto/resp.hpp"

namespace oxbowspread::client {

class ReceiveBudget {
 public:
  // Room beyond the limit, for commands that have arrived completely.
  static constexpr std::size_t kCompleteCommandsBytes = 8 * proto::RespParser::kMaxCommandBytes;

  enum class Arrival { kPartial, kComplete };

  explicit ReceiveBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Reserves room for a command, or more of it. Returns false and reserves nothing if there is none.
  [[nodiscard]] bool TryReserve(std::size_t bytes, Arrival arrival);
  // Reserves room that another process has granted, even if this exceeds the limit.
  void Reserve(std::size_t bytes);
  void Release(std::size_t bytes) { reserved_bytes_ -= bytes; }
  std::size_t reserved_bytes() const { return reserved_bytes_; }
  // The most that was reserved at one time.
  std::size_t peak_bytes() const { return peak_bytes_; }

 private:
  std::size_t limit_bytes_;
  std::size_t reserved_bytes_ = 0;
  std::size_t peak_bytes_ = 0;
};

}  // namespace oxbowspread::client
