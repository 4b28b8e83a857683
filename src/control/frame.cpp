#include "control/frame.hpp"

namespace oxbowspread::control {

void FrameReader::Feed(std::string_view bytes) {
  if (error_.empty()) bytes_ += bytes;
}

std::optional<Json> FrameReader::Next() {
  if (!error_.empty()) return std::nullopt;
  const std::size_t end = bytes_.find('\n', seen_);
  if (end == bytes_.npos || end > most_) {
    seen_ = bytes_.size();
    if (bytes_.size() > most_) error_ = "a frame is longer than " + std::to_string(most_) + " bytes";
    return std::nullopt;
  }
  Json object =
      Json::parse(bytes_.begin(), bytes_.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
  bytes_.erase(0, end + 1);
  seen_ = 0;
  if (object.is_object()) return object;
  error_ = "a frame is no JSON object";
  return std::nullopt;
}

std::string Frame(const Json& object) {
  return object.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json Fault(const std::string& why) { return {{"ok", false}, {"error", why}}; }

std::string TextOf(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t NumberOf(const Json& object, const char* key, std::int64_t absent) {
  const auto it = object.find(key);
  return it != object.end() && it->is_number_integer() ? it->get<std::int64_t>() : absent;
}

}  // namespace oxbowspread::control
