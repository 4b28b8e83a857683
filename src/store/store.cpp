#include "store/store.hpp"

namespace oxbowspread::store {

using sqlite::Statement;

namespace {

constexpr int kSchemaVersion = 1;
constexpr const char* kSchema = R"(
  CREATE TABLE IF NOT EXISTS value (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
  CREATE TABLE IF NOT EXISTS desired (instance TEXT PRIMARY KEY, want TEXT NOT NULL, stamp TEXT NOT NULL,
    reload INTEGER NOT NULL) WITHOUT ROWID;
  CREATE TABLE IF NOT EXISTS running (instance TEXT PRIMARY KEY, pid INTEGER NOT NULL,
    started INTEGER NOT NULL) WITHOUT ROWID;
  CREATE TABLE IF NOT EXISTS config (number INTEGER PRIMARY KEY AUTOINCREMENT, instance TEXT NOT NULL,
    version TEXT NOT NULL, text TEXT NOT NULL, UNIQUE (instance, version));
  CREATE TABLE IF NOT EXISTS history (number INTEGER PRIMARY KEY AUTOINCREMENT, unix_ms INTEGER NOT NULL,
    change TEXT NOT NULL, instance TEXT NOT NULL, text TEXT NOT NULL);
)";

}  // namespace

Store::Store(const std::string& path, int max_kb)
    : database_(path, {"store", kSchemaVersion, kSchema, max_kb, true}) {}

std::optional<std::string> Store::Get(const std::string& key) {
  Statement statement(database_, "SELECT value FROM value WHERE key = ?");
  return statement.Bind(key).Step() ? std::optional(statement.Text(0)) : std::nullopt;
}

void Store::Put(const std::string& key, const std::string& value) {
  Statement(database_, "INSERT OR REPLACE INTO value VALUES (?, ?)").Bind(key).Bind(value).Step();
}

std::map<std::string, Desired> Store::AllDesired() {
  std::map<std::string, Desired> all;
  Statement statement(database_, "SELECT instance, want, stamp, reload FROM desired");
  while (statement.Step())
    all[statement.Text(0)] = {statement.Text(1), statement.Text(2), statement.Number(3) != 0};
  return all;
}

void Store::PutDesired(const std::string& instance, const Desired& desired) {
  Statement(database_, "INSERT OR REPLACE INTO desired VALUES (?, ?, ?, ?)")
      .Bind(instance)
      .Bind(desired.phase)
      .Bind(desired.stamp)
      .Bind(std::int64_t{desired.reload})
      .Step();
}

std::optional<RunningProcess> Store::GetRunning(const std::string& instance) {
  Statement statement(database_, "SELECT pid, started FROM running WHERE instance = ?");
  if (!statement.Bind(instance).Step()) return std::nullopt;
  return RunningProcess{statement.Number(0), static_cast<std::uint64_t>(statement.Number(1))};
}

void Store::PutRunning(const std::string& instance, const RunningProcess& running) {
  Statement(database_, "INSERT OR REPLACE INTO running VALUES (?, ?, ?)")
      .Bind(instance)
      .Bind(running.pid)
      .Bind(static_cast<std::int64_t>(running.start_ticks))
      .Step();
}

std::optional<std::string> Store::GetConfig(const std::string& instance, const std::string& version) {
  Statement statement(database_, "SELECT text FROM config WHERE instance = ? AND version = ?");
  return statement.Bind(instance).Bind(version).Step() ? std::optional(statement.Text(0)) : std::nullopt;
}

void Store::PutConfig(const std::string& instance, const std::string& version, const std::string& text) {
  // Deletes and inserts instead of updating, so that the version stored last always has the highest number.
  sqlite::Transaction transaction(database_);
  Statement(database_, "DELETE FROM config WHERE instance = ? AND version = ?")
      .Bind(instance)
      .Bind(version)
      .Step();
  Statement(database_, "INSERT INTO config (instance, version, text) VALUES (?, ?, ?)")
      .Bind(instance)
      .Bind(version)
      .Bind(text)
      .Step();
  Statement(database_,
            "DELETE FROM config WHERE instance = ?1 AND number NOT IN (SELECT number FROM config WHERE "
            "instance = ?1 ORDER BY number DESC LIMIT ?2) AND NOT EXISTS (SELECT 1 FROM desired WHERE "
            "desired.instance = ?1 AND substr(stamp, 1, instr(stamp, '@') - 1) = version)")
      .Bind(instance)
      .Bind(std::int64_t{kMaxVersions})
      .Step();
  transaction.Commit();
}

void Store::AppendHistory(const HistoryEntry& entry) noexcept {
  try {
    Statement insert(database_, "INSERT INTO history (unix_ms, change, instance, text) VALUES (?, ?, ?, ?)");
    insert.Bind(entry.unix_ms).Bind(entry.change).Bind(entry.instance).Bind(entry.text).Step();
    const std::int64_t number = database_.last_insert_row_id();
    if (number % 100 != 0) return;
    Statement(database_, "DELETE FROM history WHERE number <= ?").Bind(number - kMaxHistoryEntries).Step();
  } catch (const std::exception&) {
  }
}

std::vector<HistoryEntry> Store::History(std::int64_t after, int limit) {
  std::vector<HistoryEntry> all;
  Statement statement(
      database_,
      "SELECT * FROM (SELECT number, unix_ms, change, instance, text FROM history WHERE number > ? "
      "ORDER BY number DESC LIMIT ?) ORDER BY number");
  statement.Bind(after).Bind(std::int64_t{limit});
  while (statement.Step())
    all.push_back(
        {statement.Number(0), statement.Number(1), statement.Text(2), statement.Text(3), statement.Text(4)});
  return all;
}

}  // namespace oxbowspread::store
