// Parser of operator commands: one line with a command name and at most one argument. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace oxbowspread::management {

// A command as the operator sent it; whether the name exists is not checked here.
struct Command {
  std::string name, argument;
};

// Parses the bytes of one connection until the line is complete or invalid, and consumes nothing after that.
// Throws nothing except std::bad_alloc.
class CommandReader {
 public:
  enum class State { kIncomplete, kComplete, kInvalid };

  static constexpr std::size_t kMaxLineBytes = 256;  // excluding the newline

  // Consumes bytes up to the end of the line at most. Returns the number of bytes consumed.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }
  // Why the line is invalid, as text for the operator.
  const char* error() const { return error_; }
  const Command& command() const { return command_; }  // valid once complete

 private:
  void OnLine();
  void Fail(const char* error);

  State state_ = State::kIncomplete;
  const char* error_ = "";
  std::string line_;
  Command command_;
};

}  // namespace oxbowspread::management
