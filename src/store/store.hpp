// What an agent must remember: an SQLite database in its folder. Every call that changes something is on disk
// when it returns, and has changed nothing when it throws.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sqlite/database.hpp"

namespace oxbowspread::store {

using sqlite::Error;  // "store: ...": the disk is full, the file is damaged

struct Desired {
  std::string want, stamp;
  bool reload = false;
};

struct Running {
  std::int64_t pid = 0;
  std::uint64_t started = 0;  // by the system's own count, see supervise::ProcessStartTicks
};

struct Happened {
  std::int64_t number = 0;  // rising
  std::int64_t unix_ms = 0;
  std::string change, instance, text;
};

class Store {
 public:
  // Makes the file if it isn't there. `most_kb` bounds it; a store that is full refuses what would make it
  // larger. Throws Error, also for a file of a later version.
  Store(const std::string& path, int most_kb);

  std::optional<std::string> Get(const std::string& key);
  void Put(const std::string& key, const std::string& value);

  std::map<std::string, Desired> AllDesired();
  void PutDesired(const std::string& instance, const Desired& desired);

  std::optional<Running> RunningOf(const std::string& instance);
  void PutRunning(const std::string& instance, const Running& running);

  std::optional<std::string> Config(const std::string& instance, const std::string& version);
  // Keeps the latest kVersions of each instance, and always those that Desired names.
  void PutConfig(const std::string& instance, const std::string& version, const std::string& text);

  // Keeps the latest kHistory. Never throws: that something can't be told must not stop it.
  void Tell(const Happened& happened) noexcept;
  std::vector<Happened> History(std::int64_t after, int most);  // the latest, oldest first

  static constexpr int kVersions = 10;
  static constexpr int kHistory = 20'000;

 private:
  sqlite::Database database_;
};

}  // namespace oxbowspread::store
