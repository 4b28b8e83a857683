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

// A parsed list or change.
struct HostList {
  relay::RoutingChange change;
  // Entries that could not be parsed, by id if they have one. `change` holds such a host as draining, since
  // its real state is unknown. An entry without an id can't be assigned to a host and is left out.
  std::vector<std::string> invalid_entries;
};

// Empty if the text is not a list at all. Unknown keys are ignored.
std::optional<HostList> ParseHostList(std::string_view json, const ZoneAndKindNames& names);

// Splits the byte stream of a subscription into its JSON objects, each on one line or indented over several.
class JsonStreamSplitter {
 public:
  struct Batch {
    std::vector<std::string> objects;
    int empty_lines = 0;  // between objects, or before the first
  };
  // Returns the objects and empty lines that these bytes complete. Text between two objects other than white
  // space is returned as an (invalid) object, up to the end of its line.
  Batch Feed(std::string_view bytes);
  // Bytes held of an incomplete object.
  std::size_t pending_bytes() const { return object_text_.size(); }

 private:
  std::string object_text_;  // of the incomplete object
  int bracket_depth_ = 0;    // number of open brackets
  bool in_string_ = false, escaped_ = false;
  bool line_is_empty_ = true;  // only spaces so far in the line, outside of objects
};

}  // namespace oxbowspread::routing
