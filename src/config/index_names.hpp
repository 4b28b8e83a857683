// The names behind the indexes of zones and destination kinds. Attempts are recorded with the index of their
// zone, and hosts are kept with those of their zone and kind. A file may list the names in another order, so
// a name keeps the index that it got first, whatever file is read later. Has no side effects.
#pragma once

#include <string>
#include <vector>

namespace oxbowspread::config {

struct Config;

// Names by index.
struct IndexNames {
  std::vector<std::string> zones, kinds;

  bool operator==(const IndexNames&) const = default;
};

// Returns the names to which the indexes in this configuration refer.
IndexNames IndexNamesOf(const Config& config);

// Reorders the zones and kinds of the configuration, and all settings that are lists by zone or kind, so that
// every name in `assigned` has its index there. Other names get the next indexes, in the order of the file.
// A name that the file lacks keeps its index, with the settings of an unlisted zone or kind.
void KeepIndexes(const IndexNames& assigned, Config* config);

}  // namespace oxbowspread::config
