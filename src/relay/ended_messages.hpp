// Remembers messages that have ended and may have run, so that one of them that is submitted again under the
// same id does not run a second time. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "journal/entry.hpp"

namespace oxbowspread::relay {

// A message that has ended.
struct EndedMessage {
  std::string id;
  journal::Time deadline{0};              // monotonic clock; nobody submits the message again after it
  std::optional<journal::Ending> ending;  // as its notice reports it; empty if it was delivered in time
};

// The messages whose deadlines have not passed, at most kMaxMessages of them.
class EndedMessages {
 public:
  static constexpr std::size_t kMaxMessages = 4096;

  // Forgets the messages whose deadlines have passed at `now`. If there are too many nevertheless, forgets
  // the one whose deadline is the earliest.
  void Add(EndedMessage message, journal::Time now);
  // Returns null if no such message is remembered at `now`. The pointer is valid until the next Add.
  const EndedMessage* Find(const std::string& id, journal::Time now) const;
  std::vector<EndedMessage> All() const;
  std::size_t size() const { return messages_.size(); }

 private:
  void ForgetEarliest();

  std::map<std::string, EndedMessage> messages_;
  std::set<std::pair<journal::Time, std::string>> by_deadline_;
};

}  // namespace oxbowspread::relay
