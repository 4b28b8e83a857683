#include "relay/classes.hpp"

#include <algorithm>

namespace oxbowspread::relay {

int ClassRegistry::IndexOf(const std::string& name) const {
  const auto it = current_.find(name);
  return it == current_.end() ? -1 : it->second;
}

int ClassRegistry::FindOrAdd(const wheathub::MessageClass& message_class) {
  const auto it = std::find(all_.begin(), all_.end(), message_class);
  if (it != all_.end()) return static_cast<int>(it - all_.begin());
  all_.push_back(message_class);
  return static_cast<int>(all_.size()) - 1;
}

void ClassRegistry::SetCurrent(const std::vector<wheathub::MessageClass>& current,
                               const std::set<int>& used_indexes) {
  const auto is_needed = [&](std::size_t index) {
    return used_indexes.count(static_cast<int>(index)) > 0 ||
           std::find(current.begin(), current.end(), all_[index]) != current.end();
  };
  std::vector<std::size_t> free_indexes;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    if (!is_needed(i)) free_indexes.push_back(i);
  }
  current_.clear();
  for (const wheathub::MessageClass& message_class : current) {
    const bool known = std::find(all_.begin(), all_.end(), message_class) != all_.end();
    if (!known && !free_indexes.empty()) {
      all_[free_indexes.back()] = message_class;
      free_indexes.pop_back();
    }
    current_[message_class.name] = FindOrAdd(message_class);
  }
}

}  // namespace oxbowspread::relay
