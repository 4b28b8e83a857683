#include "client/put_command.hpp"

#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace oxbowspread::client {
namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::int64_t kMaxDeadlineMs = 7LL * 24 * 3600 * 1000;

std::int64_t ParseInteger(std::string_view name, std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw InvalidCommand(std::string(name) + " is not a whole number");
  }
  return value;
}

// Ids and keys are forwarded in HTTP headers, where a line break would start another header.
void CheckVisibleAscii(std::string_view name, const std::string& text) {
  bool valid = text.size() <= kMaxIdBytes;
  for (const char c : text) valid = valid && c > ' ' && c < 0x7f;
  if (!valid) throw InvalidCommand(std::string(name) + " must be up to 128 visible characters");
}

}  // namespace

journal::Message ParsePut(std::vector<std::string> command, journal::Time now) {
  if (command.size() != 5) throw InvalidCommand("MSG.PUT takes a key, an id, names and values, and a body");
  journal::Message message;
  message.id = command[2];
  if (message.id.empty()) throw InvalidCommand("the id is empty");
  bool has_deadline = false, has_destination = false;
  std::string_view remaining = command[3];
  while (!remaining.empty()) {
    const std::string_view pair = remaining.substr(0, remaining.find(','));
    remaining.remove_prefix(pair.size() + (pair.size() < remaining.size() ? 1 : 0));
    const std::size_t equals = pair.find('=');
    if (equals == pair.npos) throw InvalidCommand("a name without a value");
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "c") message.class_name = std::string(value);
    if (name == "k") message.key = std::string(value);
    if (name == "r" || name == "again") message.resubmitted = message.resubmitted || value == "1";
    if (name == "dest") {
      message.destination = ParseInteger(name, value);
      has_destination = true;
    }
    if (name == "d") {
      const std::int64_t ms = ParseInteger(name, value);
      if (ms < 0 || ms > kMaxDeadlineMs) throw InvalidCommand("d is out of range");
      message.deadline = now + std::chrono::milliseconds(ms);
      has_deadline = true;
    }
  }
  if (!has_deadline) throw InvalidCommand("d is missing");
  if (!has_destination) throw InvalidCommand("dest is missing");
  CheckVisibleAscii("the id", message.id);
  CheckVisibleAscii("k", message.key);
  message.body = std::move(command[4]);
  return message;
}

}  // namespace oxbowspread::client
