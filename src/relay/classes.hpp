// The classes of messages: those that clients may name now, and those that settings have dropped or changed
// while messages of theirs are still held. A class keeps its number for as long as anything is held under it.
// No I/O; it owns copies.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wheathub/decide.hpp"

namespace oxbowspread::relay {

class Classes {
 public:
  explicit Classes(const std::vector<wheathub::MessageClass>& current) { Renew(current, {}); }

  // The number under which a new message of that class is taken on; -1: clients may not name it.
  int Current(const std::string& name) const;
  // The number of just this class, which gets one if it has none.
  int NumberOf(const wheathub::MessageClass& c);
  // From now on these are the ones that clients may name. `held`: numbers under which something is held.
  void Renew(const std::vector<wheathub::MessageClass>& current, const std::set<int>& held);

  // By number. It never gets shorter; a number nobody holds any more may be given to another class.
  const std::vector<wheathub::MessageClass>& all() const { return all_; }
  // Good until the next NumberOf or Renew. Throws std::out_of_range for a number that was never given.
  const wheathub::MessageClass& at(int number) const { return all_.at(static_cast<std::size_t>(number)); }

 private:
  std::vector<wheathub::MessageClass> all_;
  std::map<std::string, int> current_;
};

}  // namespace oxbowspread::relay
