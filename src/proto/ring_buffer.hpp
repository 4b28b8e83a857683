// Ring buffer of bytes. A connection has one for each direction.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oxbowspread::proto {

// First-in, first-out buffer that grows on demand up to a limit in bytes. It frees its memory when it becomes
// empty after having grown.
class RingBuffer {
 public:
  explicit RingBuffer(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ >= limit_; }

  // Returns the longest contiguous run of bytes at the front. It is valid until the buffer changes.
  std::string_view Front() const;
  // Removes `count` bytes from the front. `count` must be at most size().
  void Consume(std::size_t count);
  std::string Contents() const;  // returns a copy of all bytes; consumes nothing

  // Returns contiguous free space at the back; empty when the limit is reached.
  std::span<char> WritableSpan();
  // Appends `count` bytes that were written to the start of the WritableSpan.
  void Commit(std::size_t count) { size_ += count; }

  // Appends all bytes. If they would exceed the limit, appends nothing and returns false.
  bool Append(std::string_view bytes);

 private:
  void Grow(std::size_t min_capacity);

  std::vector<char> bytes_;
  std::size_t limit_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace oxbowspread::proto
