// The durable state of an agent, in an SQLite database in the agent's folder. A call that changes the state
// has written it to disk when it returns, and has changed nothing when it throws.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sqlite/database.hpp"

namespace oxbowspread::store {

using sqlite::Error;  // the text begins with "store: "

// The state that an instance is to be brought to, see supervise::Desired.
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

  std::optional<std::string> Get(const std::string& key);
  void Put(const std::string& key, const std::string& value);

  std::map<std::string, Desired> AllDesired();
  void PutDesired(const std::string& instance, const Desired& desired);

  std::optional<RunningProcess> GetRunning(const std::string& instance);
  void PutRunning(const std::string& instance, const RunningProcess& running);

  std::optional<std::string> GetConfig(const std::string& instance, const std::string& version);
  // Keeps the latest kMaxVersions of each instance, and always the version that its Desired names.
  void PutConfig(const std::string& instance, const std::string& version, const std::string& text);

  // Ignores `entry.number`. Keeps about the latest kMaxHistoryEntries. Never throws: an event that can't be
  // recorded must not stop the operation that it describes.
  void AppendHistory(const HistoryEntry& entry) noexcept;
  // The latest entries with a number above `after`, at most `limit` of them, oldest first.
  std::vector<HistoryEntry> History(std::int64_t after, int limit);

  static constexpr int kMaxVersions = 10;
  static constexpr int kMaxHistoryEntries = 20'000;

 private:
  sqlite::Database database_;
};

}  // namespace oxbowspread::store
