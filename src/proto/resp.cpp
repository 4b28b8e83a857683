#include "proto/resp.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace oxbowspread::proto {
namespace {
constexpr std::size_t kLongestLine = 24;
}  // namespace

std::size_t RespParser::Feed(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && state_ == State::kMore) {
    if (step_ == Step::kBytes) {
      std::string& argument = command_.back();
      const std::size_t count = std::min(length_ - argument.size(), bytes.size() - taken);
      argument.append(bytes.substr(taken, count));
      taken += count;
      if (argument.size() == length_) step_ = Step::kEnd;
      continue;
    }
    line_.push_back(bytes[taken++]);
    if (line_.back() == '\n') {
      OnLine();
    } else if (line_.size() > kLongestLine) {
      Bad("line too long");
    }
  }
  return taken;
}

void RespParser::OnLine() {
  const std::string line = std::exchange(line_, {});
  if (line.size() < 2 || line[line.size() - 2] != '\r') return Bad("line without CRLF");
  line_ = line.substr(0, line.size() - 2);
  if (step_ == Step::kArray) {
    const long count = Number('*', static_cast<long>(kMostArguments));
    if (count < 1) return Bad("expected an array of bulk strings");
    arguments_ = static_cast<std::size_t>(count);
    command_.clear();
    in_all_ = 0;
    step_ = Step::kLength;
  } else if (step_ == Step::kLength) {
    const long length = Number('$', static_cast<long>(kMostBytes));
    if (length < 0) return Bad("expected a bulk string of 64 KiB at most");
    length_ = static_cast<std::size_t>(length);
    in_all_ += length_;
    if (in_all_ > kMostInAll) return Bad("command too long");
    command_.emplace_back();
    step_ = length_ > 0 ? Step::kBytes : Step::kEnd;
  } else {
    if (!line_.empty()) return Bad("bulk string without its end");
    const bool whole = command_.size() == arguments_;
    step_ = whole ? Step::kArray : Step::kLength;
    if (whole) state_ = State::kCommand;
  }
  line_.clear();
}

long RespParser::Number(char mark, long most) {
  long value = 0;
  if (line_.empty() || line_[0] != mark) return -1;
  const char* const end = line_.data() + line_.size();
  const auto [at, code] = std::from_chars(line_.data() + 1, end, value);
  return code == std::errc() && at == end && value >= 0 && value <= most ? value : -1;
}

void RespParser::Bad(const char* why) {
  state_ = State::kBad;
  error_ = why;
}

std::string RespParser::Unfinished() const {
  std::string bytes;
  if (state_ != State::kMore) return bytes;
  if (step_ == Step::kArray) return line_;
  bytes = "*" + std::to_string(arguments_) + "\r\n";
  for (std::size_t i = 0; i < command_.size(); ++i) {
    const bool last = i + 1 == command_.size() && step_ != Step::kLength;
    if (!last) {
      bytes += RespBulk(command_[i]);
    } else {
      bytes += "$" + std::to_string(length_) + "\r\n" + command_[i];
    }
  }
  return bytes + line_;
}

std::vector<std::string> RespParser::Take() {
  state_ = State::kMore;
  return std::exchange(command_, {});
}

std::string RespError(std::string_view text) {
  std::string line = "-";
  line += text;
  return line += "\r\n";
}

std::string RespBulk(std::string_view text) {
  std::string bulk = "$";
  bulk += std::to_string(text.size());
  bulk += "\r\n";
  bulk += text;
  return bulk += "\r\n";
}

}  // namespace oxbowspread::proto
