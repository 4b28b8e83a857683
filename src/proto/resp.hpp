// RESP2 commands: a machine that is fed bytes and gives one command at a time. Knows no socket.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oxbowspread::proto {

class RespParser {
 public:
  enum class State { kMore, kCommand, kBad };

  static constexpr std::size_t kMostArguments = 16;
  static constexpr std::size_t kMostBytes = 64 * 1024;  // of one argument
  static constexpr std::size_t kMostInAll = kMostBytes + 4096;

  // Takes bytes until a command is whole or the input is bad; returns how many it took.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }
  bool idle() const { return state_ == State::kMore && step_ == Step::kArray && line_.empty(); }
  const char* error() const { return error_; }
  // The bytes of a command that is not whole yet: fed to another parser they bring it to the same point.
  std::string Unfinished() const;
  // The command, once whole; the next one may be fed then.
  std::vector<std::string> Take();

 private:
  enum class Step { kArray, kLength, kBytes, kEnd };

  void OnLine();
  long Number(char mark, long most);
  void Bad(const char* why);

  State state_ = State::kMore;
  Step step_ = Step::kArray;
  const char* error_ = "";
  std::string line_;
  std::size_t arguments_ = 0;  // of the command at hand
  std::size_t length_ = 0;     // of the argument at hand
  std::size_t in_all_ = 0;     // of all arguments so far
  std::vector<std::string> command_;
};

std::string RespError(std::string_view text);
std::string RespBulk(std::string_view text);

}  // namespace oxbowspread::proto
