// Incremental parser of RESP2 commands, and the encoding of replies. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oxbowspread::proto {

// Is fed bytes and yields one command, an array of bulk strings, at a time.
class RespParser {
 public:
  enum class State { kIncomplete, kCommand, kInvalid };

  static constexpr std::size_t kMaxArguments = 16;
  static constexpr std::size_t kMaxArgumentBytes = 64 * 1024;  // of one argument
  static constexpr std::size_t kMaxCommandBytes = kMaxArgumentBytes + 4096;

  // Consumes bytes until a command is complete or the input is invalid; returns the number consumed.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }
  // Whether no byte of the next command has arrived.
  bool idle() const { return state_ == State::kIncomplete && step_ == Step::kArrayHeader && line_.empty(); }
  // What is wrong with invalid input.
  const char* error() const { return error_; }
  // The bytes of an incomplete command; feeding them to a new parser brings it to the same state.
  std::string PartialCommand() const;
  // Returns the complete command; the next one may be fed afterwards.
  std::vector<std::string> Take();

 private:
  enum class Step { kArrayHeader, kBulkLength, kBulkBytes, kBulkEnd };

  void OnLine();
  long ParseNumber(char prefix, long max_value);
  void Fail(const char* error);

  State state_ = State::kIncomplete;
  Step step_ = Step::kArrayHeader;
  const char* error_ = "";
  std::string line_;
  std::size_t argument_count_ = 0;   // of the current command
  std::size_t argument_length_ = 0;  // of the current argument, bytes
  std::size_t command_bytes_ = 0;    // of all arguments so far
  std::vector<std::string> command_;
};

// An error reply and a bulk string reply.
std::string RespError(std::string_view text);
std::string RespBulk(std::string_view text);

}  // namespace oxbowspread::proto
