#include "client/receive_budget.hpp"

namespace oxbowspread::client {

bool ReceiveBudget::TryReserve(std::size_t bytes, Arrival arrival) {
  const std::size_t extra_bytes = arrival == Arrival::kComplete ? kCompleteCommandsBytes : 0;
  if (reserved_bytes_ + bytes > limit_bytes_ + extra_bytes) return false;
  reserved_bytes_ += bytes;
  return true;
}

}  // namespace oxbowspread::client
