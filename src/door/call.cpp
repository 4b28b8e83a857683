#include "door/call.hpp"

#include <sstream>

namespace oxbowspread::door {

std::size_t CallReader::Feed(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && state_ == State::kMore) {
    const char c = bytes[taken++];
    if (c == '\n') {
      OnLine();
    } else if (line_.size() == kLongest) {
      Bad("the line is longer than 256 bytes");
    } else {
      line_.push_back(c);
    }
  }
  return taken;
}

void CallReader::OnLine() {
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  for (const char c : line_) {
    if (c < ' ' || c > '~') return Bad("the line holds more than plain characters");
  }
  std::istringstream words(line_);
  std::string more;
  words >> call_.word >> call_.argument;
  if (call_.word.empty()) return Bad("the line is empty");
  if (words >> more) return Bad("a call is a word and one argument at most");
  state_ = State::kWhole;
}

void CallReader::Bad(const char* why) {
  state_ = State::kBad;
  error_ = why;
}

}  // namespace oxbowspread::door
