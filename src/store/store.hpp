// The durable state of an agent, stored in an SQLite database in the agent's folder. A call that changes the
// state returns after the change is on disk. A call that throws has changed nothing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sqlite/database.hpp"

namespace oxbowspread::store {

using sqlite::Error;  // the text begins with "store: "

// The state that an instance has to reach, see supervise::Desired. `phase` is the name of a
// change::DesiredPhase.
struct Desired {
  std::string phase, stamp;
  bool reload = false;
};

// The last known process of an instance.
struct RunningProcess {
  std::int64_t pid = 0;
  std::uint64_t start_ticks = 0;  // see supervise::ProcessStartTicks
};

// An event in the history of the agent and its instances.
struct HistoryEntry {
  std::int64_t number = 0;  // assigned by the store, increasing
  std::int64_t unix_ms = 0;
  std::string change, instance, text;
};

// The agent's database. All functions but AppendHistory throw Error.
class Store {
 public:
  // Opens the file and creates it if it doesn't exist. A write that would make the file larger than `max_kb`
  // KiB fails. Throws Error, also for a file with a later schema version.
  Store(const std::string& path, int max_kb);

  // General values by key, such as the state of the leader election.
  std::optional<std::string> Get(const std::string& key);
  void Put(const std::string& key, const std::string& value);

  // The desired state of each instance, by name.
  std::map<std::string, Desired> AllDesired();
  void PutDesired(const std::string& instance, const Desired& desired);

  std::optional<RunningProcess> GetRunning(const std::string& instance);
  void PutRunning(const std::string& instance, const RunningProcess& running);

  // The text of a configuration version; nullopt if the store doesn't have it.
  std::optional<std::string> GetConfig(const std::string& instance, const std::string& version);
  // Stores the text and deletes old versions: each instance keeps its latest kMaxVersions, and always the
  // version that its Desired refers to.
  void PutConfig(const std::string& instance, const std::string& version, const std::string& text);

  // Appends the entry under a new number; `entry.number` is ignored. Older entries than about the latest
  // kMaxHistoryEntries are deleted. Never throws: an event that can't be recorded must not stop the operation
  // that it describes.
  void AppendHistory(const HistoryEntry& entry) noexcept;
  // The latest entries with a number above `after`, at most `limit` of them, oldest first.
  std::vector<HistoryEntry> History(std::int64_t after, int limit);

  static constexpr int kMaxVersions = 10;
  static constexpr int kMaxHistoryEntries = 20'000;

 private:
  sqlite::Database database_;
};

}  // namespace oxbowspread::store
