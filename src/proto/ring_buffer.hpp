// A ring of bytes that grows on demand up to a limit: one per direction of a connection.
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

  // The longest run of bytes at the front, to be consumed in part or whole.
  std::string_view Front() const;
  void Consume(std::size_t count);
  std::string Text() const;  // all of it, not consumed

  // Room for new bytes at the back, in one run; empty when the limit is reached. Commit what was filled.
  std::span<char> Space();
  void Commit(std::size_t count) { size_ += count; }

  // All or nothing; false when the limit doesn't allow it.
  bool Append(std::string_view bytes);

 private:
  void Grow(std::size_t least);

  std::vector<char> bytes_;
  std::size_t limit_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace oxbowspread::proto
