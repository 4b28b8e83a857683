// Incremental parser of RESP2 commands, and the encoding of replies. Performs no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oxbowspread::proto {

// Parses one command at a time from the bytes passed to Feed. A command is an array of bulk strings.
class RespParser {
 public:
  enum class State { kIncomplete, kCommand, kInvalid };

  static constexpr std::size_t kMaxArguments = 16;
  static constexpr std::size_t kMaxArgumentBytes = 64 * 1024;  // of one argument
  static constexpr std::size_t kMaxCommandBytes = kMaxArgumentBytes + 4096;

  // Each command may have arguments of up to `freely_allowed_bytes` in total without a call of Allow.
  explicit RespParser(std::size_t freely_allowed_bytes = kMaxCommandBytes)
      : freely_allowed_bytes_(freely_allowed_bytes) {}

  // Consumes bytes until a command is complete, the input is invalid, or the parser is blocked. Returns the
  // number of bytes consumed.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }
  // Returns whether the next argument would make the command larger than is allowed. Feed consumes nothing
  // until Allow is called.
  bool blocked() const { return state_ == State::kIncomplete && command_bytes_ > allowed_bytes_; }
  // Allows the current command to have arguments of that many bytes in total.
  void Allow(std::size_t command_bytes) { allowed_bytes_ = command_bytes; }
  // Returns the total length of the arguments of the current command up to the one that has begun.
  std::size_t command_bytes() const { return command_bytes_; }
  // Returns the number of bytes until the end of the command, if its last argument has begun.
  std::optional<std::size_t> missing_bytes() const;
  // Returns whether no byte of the next command has arrived.
  bool idle() const { return state_ == State::kIncomplete && step_ == Step::kArrayHeader && line_.empty(); }
  // Describes the error in invalid input; empty if there is none.
  const char* error() const { return error_; }
  // Returns the bytes of an incomplete command. A new parser that is fed these bytes has the same state.
  std::string PartialCommand() const;
  // Returns the complete command and prepares the parser for the next one.
  std::vector<std::string> TakeCommand();

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
  std::size_t argument_length_ = 0;  // of the current argument, in bytes
  std::size_t command_bytes_ = 0;    // total length of all arguments so far
  std::size_t freely_allowed_bytes_;
  std::size_t allowed_bytes_ = freely_allowed_bytes_;  // for the current command
  std::vector<std::string> command_;
};

// Encode an error reply and a bulk string reply.
std::string RespError(std::string_view text);
std::string RespBulk(std::string_view text);

}  // namespace oxbowspread::proto
