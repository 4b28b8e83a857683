#include "relay/classes.hpp"

#include <algorithm>

namespace oxbowspread::relay {

int Classes::Current(const std::string& name) const {
  const auto it = current_.find(name);
  return it == current_.end() ? -1 : it->second;
}

int Classes::NumberOf(const wheathub::MessageClass& c) {
  const auto it = std::find(all_.begin(), all_.end(), c);
  if (it != all_.end()) return static_cast<int>(it - all_.begin());
  all_.push_back(c);
  return static_cast<int>(all_.size()) - 1;
}

void Classes::Renew(const std::vector<wheathub::MessageClass>& current, const std::set<int>& held) {
  const auto kept = [&](std::size_t number) {
    return held.count(static_cast<int>(number)) > 0 ||
           std::find(current.begin(), current.end(), all_[number]) != current.end();
  };
  std::vector<std::size_t> free;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    if (!kept(i)) free.push_back(i);
  }
  current_.clear();
  for (const wheathub::MessageClass& c : current) {
    const bool known = std::find(all_.begin(), all_.end(), c) != all_.end();
    if (!known && !free.empty()) {
      all_[free.back()] = c;
      free.pop_back();
    }
    current_[c.name] = NumberOf(c);
  }
}

}  // namespace oxbowspread::relay
