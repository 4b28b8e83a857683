#include "proto/ring_buffer.hpp"

#include <algorithm>

namespace oxbowspread::proto {
namespace {
constexpr std::size_t kInitialCapacity = 4096;
}  // namespace

std::string_view RingBuffer::Front() const {
  return {bytes_.data() + head_, std::min(size_, bytes_.size() - head_)};
}

void RingBuffer::Consume(std::size_t count) {
  size_ -= count;
  head_ = size_ == 0 ? 0 : (head_ + count) % bytes_.size();
  // Frees the memory, because hundreds of idle connections must not each keep as much as their largest body
  // needed.
  if (size_ == 0 && bytes_.size() > kInitialCapacity) std::vector<char>().swap(bytes_);
}

std::string RingBuffer::Contents() const {
  const std::string_view front_run = Front();
  std::string contents(front_run);
  contents.append(bytes_.data(), size_ - front_run.size());
  return contents;
}

std::span<char> RingBuffer::WritableSpan() {
  if (full()) return {};
  if (size_ == bytes_.size()) Grow(size_ + 1);
  const std::size_t tail = (head_ + size_) % bytes_.size();
  const std::size_t end = tail < head_ ? head_ : bytes_.size();
  return {bytes_.data() + tail, std::min(end - tail, limit_ - size_)};
}

bool RingBuffer::Append(std::string_view bytes) {
  if (bytes.size() > limit_ - size_) return false;
  if (size_ + bytes.size() > bytes_.size()) Grow(size_ + bytes.size());
  while (!bytes.empty()) {
    const std::span<char> writable = WritableSpan();
    const std::size_t count = std::min(writable.size(), bytes.size());
    std::copy_n(bytes.data(), count, writable.data());
    Commit(count);
    bytes.remove_prefix(count);
  }
  return true;
}

void RingBuffer::Grow(std::size_t min_capacity) {
  std::size_t capacity = std::max(kInitialCapacity, bytes_.size());
  while (capacity < min_capacity) capacity *= 2;
  std::vector<char> grown(std::max(min_capacity, std::min(capacity, limit_)));
  const std::string_view front_run = Front();
  std::copy(front_run.begin(), front_run.end(), grown.begin());
  std::copy_n(bytes_.begin(), size_ - front_run.size(),
              grown.begin() + static_cast<std::ptrdiff_t>(front_run.size()));
  bytes_ = std::move(grown);
  head_ = 0;
}

}  // namespace oxbowspread::proto
