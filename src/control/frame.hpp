// The control protocol's frames: one JSON object a line. Fed bytes; knows no socket.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace oxbowspread::control {

using Json = nlohmann::json;

constexpr std::size_t kMostFrame = 4u << 20;  // bytes of one line

class FrameReader {
 public:
  explicit FrameReader(std::size_t most = kMostFrame) : most_(most) {}
  // Takes all of it. What was bad stays bad.
  void Feed(std::string_view bytes);
  // The next whole object; nothing when more bytes are needed or the input is bad.
  std::optional<Json> Next();
  // Why the stream can't be read on, in words; empty while it can.
  const std::string& error() const { return error_; }

 private:
  std::size_t most_;
  std::string bytes_;
  std::size_t seen_ = 0;  // without a line's end
  std::string error_;
};

std::string Frame(const Json& object);

// {"ok":false,"error":why}
Json Fault(const std::string& why);
// The text at a key; empty where there is none or it is no text.
std::string TextOf(const Json& object, const char* key);
// The whole number at a key, or the default.
std::int64_t NumberOf(const Json& object, const char* key, std::int64_t absent = 0);

}  // namespace oxbowspread::control
