// Discovery's JSON: one list, or one line of a watch. Knows no socket.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/ports.hpp"

namespace oxbowspread::routing {

// The names by which the list tells zones and kinds, in the settings' order.
struct Names {
  std::vector<std::string> zones, kinds;
};

struct List {
  relay::RoutingChange change;
  // Entries that can't be read: by id, where that can be. Such a host stands in `change` as draining, since
  // what discovery says of it is not known; one without an id can't be told apart from any other.
  std::vector<std::string> unreadable;
};

// Nothing if it can't be read as a whole. Unknown keys are passed over.
std::optional<List> ReadList(std::string_view json, const Names& names);

// Cuts a watch into its objects, one a line or indented over several, however its bytes come.
class ListStream {
 public:
  struct Units {
    std::vector<std::string> objects;
    int empty_lines = 0;  // between objects, or before the first
  };
  // What is whole by these bytes. Anything but white space between two is an object that can't be read, up to
  // the line's end.
  Units Feed(std::string_view bytes);
  // Of an object that isn't whole.
  std::size_t held() const { return text_.size(); }

 private:
  std::string text_;  // from the object's first byte
  int depth_ = 0;     // brackets that are open
  bool quoted_ = false, escaped_ = false;
  bool line_empty_ = true;  // so far, where no object is open
};

}  // namespace oxbowspread::routing
