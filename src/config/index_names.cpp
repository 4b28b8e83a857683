#include "config/index_names.hpp"

#include <algorithm>

#include "config/config.hpp"

namespace oxbowspread::config {
namespace {

// Returns the assigned names followed by those of the file that are not among them.
std::vector<std::string> Merge(const std::vector<std::string>& assigned,
                               const std::vector<std::string>& listed) {
  std::vector<std::string> merged = assigned;
  for (const std::string& name : listed) {
    if (std::find(merged.begin(), merged.end(), name) == merged.end()) merged.push_back(name);
  }
  return merged;
}

// Moves the values, which are in the order of `listed`, to the order of `merged`. A name without a value gets
// `missing`.
template <typename Value>
std::vector<Value> Reorder(const std::vector<Value>& values, const std::vector<std::string>& listed,
                           const std::vector<std::string>& merged, const Value& missing) {
  std::vector<Value> reordered;
  for (const std::string& name : merged) {
    const auto index =
        static_cast<std::size_t>(std::find(listed.begin(), listed.end(), name) - listed.begin());
    reordered.push_back(index < listed.size() && index < values.size() ? values[index] : missing);
  }
  return reordered;
}

bool StartsWith(const std::vector<std::string>& list, const std::vector<std::string>& start) {
  return list.size() >= start.size() && std::equal(start.begin(), start.end(), list.begin());
}

}  // namespace

IndexNames IndexNamesOf(const Config& config) {
  IndexNames names{config.zones, {}};
  for (const auto& kind : config.settings.kinds) names.kinds.push_back(kind.name);
  return names;
}

void KeepIndexes(const IndexNames& assigned, Config* config) {
  const IndexNames listed = IndexNamesOf(*config);
  wheathub::Settings& settings = config->settings;
  if (!StartsWith(listed.zones, assigned.zones)) {
    config->zones = Merge(assigned.zones, listed.zones);
    settings.zone_fee = Reorder(settings.zone_fee, listed.zones, config->zones, 0.0);
  }
  if (!StartsWith(listed.kinds, assigned.kinds)) {
    const std::vector<std::string> merged = Merge(assigned.kinds, listed.kinds);
    settings.kinds = Reorder(settings.kinds, listed.kinds, merged, wheathub::DestinationKind());
    for (std::size_t i = 0; i < merged.size(); ++i) settings.kinds[i].name = merged[i];
  }
}

}  // namespace oxbowspread::config
