// Ring buffer of bytes that grows on demand up to a limit; a connection has one for each direction.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oxbowspread::proto {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t limit) : limit_(limit) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ >= limit_; }

  // The longest contiguous run of bytes at the front; valid until the buffer changes.
  std::string_view Front() const;
  // Removes `count` bytes from the front; at most size().
  void Consume(std::size_t count);
  std::string Contents() const;  // a copy of all bytes; consumes nothing

  // Contiguous free space at the back; empty when the limit is reached. Commit adds the bytes written to it.
  std::span<char> WritableSpan();
  void Commit(std::size_t count) { size_ += count; }

  // Appends all bytes, or none and returns false if they would exceed the limit.
  bool Append(std::string_view bytes);

 private:
  void Grow(std::size_t min_capacity);

  std::vector<char> bytes_;
  std::size_t limit_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace oxbowspread::proto
