#include "client/command.hpp"

#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace oxbowspread::client {
namespace {

constexpr std::size_t kLongestId = 128;
constexpr std::int64_t kLongestMs = 7LL * 24 * 3600 * 1000;

std::int64_t Number(std::string_view name, std::string_view text) {
  std::int64_t value = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc() || end != text.data() + text.size()) {
    throw BadCommand(std::string(name) + " is not a whole number");
  }
  return value;
}

// Ids and keys travel on in HTTP heads: a line break in one would be another header.
void CheckPlain(std::string_view name, const std::string& text) {
  bool plain = text.size() <= kLongestId;
  for (const char c : text) plain = plain && c > ' ' && c < 0x7f;
  if (!plain) throw BadCommand(std::string(name) + " must be up to 128 visible characters");
}

}  // namespace

journal::Message ReadPut(std::vector<std::string> command, journal::Time now) {
  if (command.size() != 5) throw BadCommand("MSG.PUT takes a key, an id, names and values, and a body");
  journal::Message a;
  a.id = command[2];
  if (a.id.empty()) throw BadCommand("the id is empty");
  bool timed = false, addressed = false;
  std::string_view rest = command[3];
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find(','));
    rest.remove_prefix(pair.size() + (pair.size() < rest.size() ? 1 : 0));
    const std::size_t equals = pair.find('=');
    if (equals == pair.npos) throw BadCommand("a name without a value");
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "c") a.class_name = std::string(value);
    if (name == "k") a.key = std::string(value);
    if (name == "r" || name == "again") a.again = a.again || value == "1";
    if (name == "dest") {
      a.destination = Number(name, value);
      addressed = true;
    }
    if (name == "d") {
      const std::int64_t ms = Number(name, value);
      if (ms < 0 || ms > kLongestMs) throw BadCommand("d is out of range");
      a.ends_at = now + std::chrono::milliseconds(ms);
      timed = true;
    }
  }
  if (!timed) throw BadCommand("d is missing");
  if (!addressed) throw BadCommand("dest is missing");
  CheckPlain("the id", a.id);
  CheckPlain("k", a.key);
  a.body = std::move(command[4]);
  return a;
}

}  // namespace oxbowspread::client
