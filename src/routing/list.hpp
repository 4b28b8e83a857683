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

// Nothing if it can't be read. Unknown keys and entries that make no sense are passed over.
std::optional<relay::RoutingChange> ReadList(std::string_view json, const Names& names);

// Cuts a watch into its objects, one a line or indented over several, however its bytes come.
class ListStream {
 public:
  // The objects that are whole by these bytes. Anything but white space between two is an object that can't
  // be read, up to the line's end.
  std::vector<std::string> Feed(std::string_view bytes);
  // Of an object that isn't whole.
  std::size_t held() const { return text_.size(); }

 private:
  std::string text_;  // from the object's first byte
  int depth_ = 0;     // brackets that are open
  bool quoted_ = false, escaped_ = false;
};

}  // namespace oxbowspread::routing
