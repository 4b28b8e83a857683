#include "relay/ended_messages.hpp"

namespace oxbowspread::relay {

void EndedMessages::Add(EndedMessage message, journal::Time now) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) ForgetEarliest();
  if (message.deadline <= now) return;
  if (const auto it = messages_.find(message.id); it != messages_.end()) {
    by_deadline_.erase({it->second.deadline, message.id});
    messages_.erase(it);
  }
  by_deadline_.emplace(message.deadline, message.id);
  std::string id = message.id;
  messages_.emplace(std::move(id), std::move(message));
  if (messages_.size() > kMaxMessages) ForgetEarliest();
}

const EndedMessage* EndedMessages::Find(const std::string& id, journal::Time now) const {
  const auto it = messages_.find(id);
  return it == messages_.end() || it->second.deadline <= now ? nullptr : &it->second;
}

std::vector<EndedMessage> EndedMessages::All() const {
  std::vector<EndedMessage> all;
  for (const auto& [id, message] : messages_) all.push_back(message);
  return all;
}

void EndedMessages::ForgetEarliest() {
  messages_.erase(by_deadline_.begin()->second);
  by_deadline_.erase(by_deadline_.begin());
}

}  // namespace oxbowspread::relay
