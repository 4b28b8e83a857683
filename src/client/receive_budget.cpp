#include "client/receive_budget.hpp"

#include <algorithm>

namespace oxbowspread::client {

bool ReceiveBudget::TryReserve(std::size_t bytes, Arrival arrival) {
  const std::size_t extra_bytes = arrival == Arrival::kComplete ? kCompleteCommandsBytes : 0;
  if (reserved_bytes_ + bytes > limit_bytes_ + extra_bytes) return false;
  Reserve(bytes);
  return true;
}

void ReceiveBudget::Reserve(std::size_t bytes) {
  reserved_bytes_ += bytes;
  peak_bytes_ = std::max(peak_bytes_, reserved_bytes_);
}

}  // namespace oxbowspread::client
