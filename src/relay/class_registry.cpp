#include "relay/class_registry.hpp"

#include <algorithm>

namespace oxbowspread::relay {

int ClassRegistry::IndexOf(const std::string& name) const {
  const auto it = current_indexes_.find(name);
  return it == current_indexes_.end() ? -1 : it->second;
}

int ClassRegistry::FindOrAdd(const wheathub::MessageClass& message_class) {
  const auto it = std::find(classes_.begin(), classes_.end(), message_class);
  if (it != classes_.end()) return static_cast<int>(it - classes_.begin());
  classes_.push_back(message_class);
  return static_cast<int>(classes_.size()) - 1;
}

void ClassRegistry::SetCurrent(const std::vector<wheathub::MessageClass>& current,
                               const std::set<int>& used_indexes) {
  const auto is_needed = [&](std::size_t index) {
    return used_indexes.count(static_cast<int>(index)) > 0 ||
           std::find(current.begin(), current.end(), classes_[index]) != current.end();
  };
  std::vector<std::size_t> free_indexes;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (!is_needed(i)) free_indexes.push_back(i);
  }
  current_indexes_.clear();
  for (const wheathub::MessageClass& message_class : current) {
    const bool is_registered = std::find(classes_.begin(), classes_.end(), message_class) != classes_.end();
    if (!is_registered && !free_indexes.empty()) {
      classes_[free_indexes.back()] = message_class;
      free_indexes.pop_back();
    }
    current_indexes_[message_class.name] = FindOrAdd(message_class);
  }
}

}  // namespace oxbowspread::relay
