// Parser of discovery's JSON: complete host lists, and the messages of a subscription. Does no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/ports.hpp"

namespace oxbowspread::routing {

// The names that the list uses for zones and destination kinds, in the order of the settings.
struct ZoneAndKindNames {
  std::vector<std::string> zones, kinds;
};

// A parsed complete list or change.
struct HostList {
  relay::RoutingChange change;
  // Entries that could not be parsed, by id if they have one. `change` contains such a host as draining,
  // because its real state is unknown. An entry without an id can't be assigned to a host and is left out of
  // `change`.
  std::vector<std::string> invalid_entries;
};

// Parses a complete list or a change. Returns nothing if the text is neither. Unknown keys are ignored.
std::optional<HostList> ParseHostList(std::string_view json, const ZoneAndKindNames& names);

// Splits the byte stream of a subscription into its JSON objects. An object may be on one line or be indented
// over several lines.
class JsonStreamSplitter {
 public:
  // What one call of Feed has completed.
  struct Batch {
    std::vector<std::string> objects;
    int empty_lines = 0;  // between objects, or before the first one
  };
  // Returns the objects and empty lines that these bytes complete. Text between two objects other than white
  // space is returned as an (invalid) object, up to the end of its line.
  Batch Feed(std::string_view bytes);
  // Number of buffered bytes of an incomplete object.
  std::size_t pending_bytes() const { return object_text_.size(); }

 private:
  std::string object_text_;  // the incomplete object so far
  int bracket_depth_ = 0;    // number of open brackets
  bool in_string_ = false, escaped_ = false;
  bool line_is_empty_ = true;  // the current line, outside of objects, contains only white space so far
};

}  // namespace oxbowspread::routing
