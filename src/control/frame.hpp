// Frames of the control protocol: one JSON object per line. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace oxbowspread::control {

using Json = nlohmann::json;

// Default limit of a frame, above which a FrameReader reports an error.
constexpr std::size_t kMaxFrameBytes = 4u << 20;

// Splits a byte stream into frames. An error is permanent: nothing can be read after it.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_bytes = kMaxFrameBytes) : max_bytes_(max_bytes) {}
  // Appends all of `bytes` to the input; ignores them after an error.
  void Feed(std::string_view bytes);
  // Returns the next complete object, or nothing if more bytes are needed or there was an error.
  std::optional<Json> Next();
  // The reason why the stream can't be read any further; empty if it can.
  const std::string& error() const { return error_; }

 private:
  std::size_t max_bytes_;
  std::string buffer_;
  std::size_t scanned_ = 0;  // leading bytes of the buffer that hold no line end
  std::string error_;
};

// Returns the object as one frame, with its line end.
std::string EncodeFrame(const Json& object);

// Returns the answer {"ok":false,"error":reason}.
Json ErrorAnswer(const std::string& reason);
// Returns the string at a key; empty if the key is missing or holds another type.
std::string TextOf(const Json& object, const char* key);
// Returns the integer at a key; `default_value` if the key is missing or holds another type.
std::int64_t NumberOf(const Json& object, const char* key, std::int64_t default_value = 0);

}  // namespace oxbowspread::control
