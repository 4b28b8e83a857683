#include "management/command_reader.hpp"

#include <sstream>

namespace oxbowspread::management {

std::size_t CommandReader::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ == State::kIncomplete) {
    const char c = bytes[consumed++];
    if (c == '\n') {
      OnLine();
    } else if (line_.size() == kMaxLineBytes) {
      Fail("the line is longer than 256 bytes");
    } else {
      line_.push_back(c);
    }
  }
  return consumed;
}

void CommandReader::OnLine() {
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  for (const char c : line_) {
    if (c < ' ' || c > '~') return Fail("the line contains a character that is not printable ASCII");
  }
  std::istringstream words(line_);
  std::string second_argument;
  words >> command_.name >> command_.argument;
  if (command_.name.empty()) return Fail("the line is empty");
  if (words >> second_argument) return Fail("a command is a name and at most one argument");
  state_ = State::kComplete;
}

void CommandReader::Fail(const char* error) {
  state_ = State::kInvalid;
  error_ = error;
}

}  // namespace oxbowspread::management
