#include "control/frame.hpp"

namespace oxbowspread::control {

void FrameReader::Feed(std::string_view bytes) {
  if (error_.empty()) buffer_ += bytes;
}

std::optional<Json> FrameReader::Next() {
  if (!error_.empty()) return std::nullopt;
  const std::size_t line_end = buffer_.find('\n', scanned_);
  if (line_end == buffer_.npos || line_end > max_bytes_) {
    scanned_ = buffer_.size();
    if (buffer_.size() > max_bytes_)
      error_ = "a frame is longer than " + std::to_string(max_bytes_) + " bytes";
    return std::nullopt;
  }
  Json object =
      Json::parse(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(line_end), nullptr, false);
  buffer_.erase(0, line_end + 1);
  scanned_ = 0;
  if (object.is_object()) return object;
  error_ = "a frame is not a JSON object";
  return std::nullopt;
}

std::string EncodeFrame(const Json& object) {
  return object.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json ErrorAnswer(const std::string& reason) { return {{"ok", false}, {"error", reason}}; }

std::string TextOf(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t NumberOf(const Json& object, const char* key, std::int64_t default_value) {
  const auto it = object.find(key);
  return it != object.end() && it->is_number_integer() ? it->get<std::int64_t>() : default_value;
}

}  // namespace oxbowspread::control
