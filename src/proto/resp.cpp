#include "proto/resp.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace oxbowspread::proto {
namespace {
constexpr std::size_t kMaxLineBytes = 24;  // of a line with a count or a length
constexpr std::string_view kLineEnd = "\r\n";
}  // namespace

std::size_t RespParser::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ == State::kIncomplete && !blocked()) {
    if (step_ == Step::kBulkBytes) {
      std::string& argument = command_.back();
      argument.reserve(argument_length_);  // growing by doubling would take up to twice as much
      const std::size_t count = std::min(argument_length_ - argument.size(), bytes.size() - consumed);
      argument.append(bytes.substr(consumed, count));
      consumed += count;
      if (argument.size() == argument_length_) step_ = Step::kBulkEnd;
      continue;
    }
    line_.push_back(bytes[consumed++]);
    if (line_.back() == '\n') {
      OnLine();
    } else if (line_.size() > kMaxLineBytes) {
      Fail("line too long");
    }
  }
  return consumed;
}

void RespParser::OnLine() {
  const std::string line = std::exchange(line_, {});
  if (line.size() < 2 || line[line.size() - 2] != '\r') return Fail("line without CRLF");
  line_ = line.substr(0, line.size() - 2);
  if (step_ == Step::kArrayHeader) {
    const long count = ParseNumber('*', static_cast<long>(kMaxArguments));
    if (count < 1) return Fail("expected an array of bulk strings");
    argument_count_ = static_cast<std::size_t>(count);
    command_.clear();
    command_bytes_ = 0;
    step_ = Step::kBulkLength;
  } else if (step_ == Step::kBulkLength) {
    const long length = ParseNumber('$', static_cast<long>(kMaxArgumentBytes));
    if (length < 0) return Fail("expected a bulk string of 64 KiB at most");
    argument_length_ = static_cast<std::size_t>(length);
    command_bytes_ += argument_length_;
    if (command_bytes_ > kMaxCommandBytes) return Fail("command too long");
    command_.emplace_back();
    step_ = argument_length_ > 0 ? Step::kBulkBytes : Step::kBulkEnd;
  } else {
    if (!line_.empty()) return Fail("bulk string without its end");
    const bool is_complete = command_.size() == argument_count_;
    step_ = is_complete ? Step::kArrayHeader : Step::kBulkLength;
    if (is_complete) state_ = State::kCommand;
  }
  line_.clear();
}

long RespParser::ParseNumber(char prefix, long max_value) {
  long value = 0;
  if (line_.empty() || line_[0] != prefix) return -1;
  const char* const end = line_.data() + line_.size();
  const auto [parsed_end, error_code] = std::from_chars(line_.data() + 1, end, value);
  return error_code == std::errc() && parsed_end == end && value >= 0 && value <= max_value ? value : -1;
}

std::optional<std::size_t> RespParser::missing_bytes() const {
  const bool argument_has_begun = step_ == Step::kBulkBytes || step_ == Step::kBulkEnd;
  if (!argument_has_begun || command_.size() < argument_count_) return std::nullopt;
  return argument_length_ - command_.back().size() + kLineEnd.size() - line_.size();
}

void RespParser::Fail(const char* error) {
  state_ = State::kInvalid;
  error_ = error;
}

std::string RespParser::PartialCommand() const {
  std::string bytes;
  if (state_ != State::kIncomplete) return bytes;
  if (step_ == Step::kArrayHeader) return line_;
  bytes = "*" + std::to_string(argument_count_) + "\r\n";
  for (std::size_t i = 0; i < command_.size(); ++i) {
    const bool is_partial = i + 1 == command_.size() && step_ != Step::kBulkLength;
    if (!is_partial) {
      bytes += RespBulk(command_[i]);
    } else {
      bytes += "$" + std::to_string(argument_length_) + "\r\n" + command_[i];
    }
  }
  return bytes + line_;
}

std::vector<std::string> RespParser::TakeCommand() {
  state_ = State::kIncomplete;
  command_bytes_ = 0;
  allowed_bytes_ = freely_allowed_bytes_;
  return std::exchange(command_, {});
}

std::string RespError(std::string_view text) {
  std::string line = "-";
  line += text;
  return line += "\r\n";
}

std::string RespBulk(std::string_view text) {
  std::string encoded = "$";
  encoded += std::to_string(text.size());
  encoded += "\r\n";
  encoded += text;
  return encoded += "\r\n";
}

}  // namespace oxbowspread::proto
