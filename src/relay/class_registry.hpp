// Registry of message classes. Contains the classes of the current settings, and former classes that the
// settings have since removed or changed but that held messages still use. A class keeps its index for as
// long as any held message uses it. Performs no I/O and stores copies of the classes.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

// Maps message classes to stable indexes.
class ClassRegistry {
 public:
  explicit ClassRegistry(const std::vector<wheathub::MessageClass>& current) { SetCurrent(current, {}); }

  // Returns the index under which a new message of the named class is accepted, or -1 if the current settings
  // have no such class.
  int IndexOf(const std::string& name) const;
  // Returns the index of a class equal to `message_class`; adds the class if it is not registered yet.
  int FindOrAdd(const wheathub::MessageClass& message_class);
  // Makes `current` the classes that clients may name. `used_indexes` are the indexes of classes under which
  // messages are held; these are not reused.
  void SetCurrent(const std::vector<wheathub::MessageClass>& current, const std::set<int>& used_indexes);

  // All classes by index. The list never shrinks; the index of a class that no held message uses may be
  // reassigned to another class.
  const std::vector<wheathub::MessageClass>& all() const { return classes_; }
  // Returns the class with that index. The reference is valid until the next FindOrAdd or SetCurrent. Throws
  // std::out_of_range if the index was never assigned.
  const wheathub::MessageClass& at(int index) const { return classes_.at(static_cast<std::size_t>(index)); }

 private:
  std::vector<wheathub::MessageClass> classes_;  // by index
  std::map<std::string, int> current_indexes_;   // classes of the current settings, by name
};

}  // namespace oxbowspread::relay
