#include "store/store.hpp"

namespace oxbowspread::store {

using sqlite::Statement;

namespace {

constexpr int kVersion = 1;
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

Store::Store(const std::string& path, int most_kb)
    : database_(path, {"store", kVersion, kSchema, most_kb, true}) {}

std::optional<std::string> Store::Get(const std::string& key) {
  Statement s(database_, "SELECT value FROM value WHERE key = ?");
  return s.Bind(key).Step() ? std::optional(s.Text(0)) : std::nullopt;
}

void Store::Put(const std::string& key, const std::string& value) {
  Statement(database_, "INSERT OR REPLACE INTO value VALUES (?, ?)").Bind(key).Bind(value).Step();
}

std::map<std::string, Desired> Store::AllDesired() {
  std::map<std::string, Desired> all;
  Statement s(database_, "SELECT instance, want, stamp, reload FROM desired");
  while (s.Step()) all[s.Text(0)] = {s.Text(1), s.Text(2), s.Number(3) != 0};
  return all;
}

void Store::PutDesired(const std::string& instance, const Desired& d) {
  Statement(database_, "INSERT OR REPLACE INTO desired VALUES (?, ?, ?, ?)")
      .Bind(instance)
      .Bind(d.want)
      .Bind(d.stamp)
      .Bind(std::int64_t{d.reload})
      .Step();
}

std::optional<Running> Store::RunningOf(const std::string& instance) {
  Statement s(database_, "SELECT pid, started FROM running WHERE instance = ?");
  if (!s.Bind(instance).Step()) return std::nullopt;
  return Running{s.Number(0), static_cast<std::uint64_t>(s.Number(1))};
}

void Store::PutRunning(const std::string& instance, const Running& r) {
  Statement(database_, "INSERT OR REPLACE INTO running VALUES (?, ?, ?)")
      .Bind(instance)
      .Bind(r.pid)
      .Bind(static_cast<std::int64_t>(r.started))
      .Step();
}

std::optional<std::string> Store::Config(const std::string& instance, const std::string& version) {
  Statement s(database_, "SELECT text FROM config WHERE instance = ? AND version = ?");
  return s.Bind(instance).Bind(version).Step() ? std::optional(s.Text(0)) : std::nullopt;
}

void Store::PutConfig(const std::string& instance, const std::string& version, const std::string& text) {
  // Dropped before it is written again, so that the number says which is the latest.
  sqlite::Transaction all(database_);
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
      .Bind(std::int64_t{kVersions})
      .Step();
  all.Commit();
}

void Store::Tell(const Happened& h) noexcept {
  try {
    Statement insert(database_, "INSERT INTO history (unix_ms, change, instance, text) VALUES (?, ?, ?, ?)");
    insert.Bind(h.unix_ms).Bind(h.change).Bind(h.instance).Bind(h.text).Step();
    const std::int64_t number = database_.last_row();
    if (number % 100 != 0) return;
    Statement(database_, "DELETE FROM history WHERE number <= ?").Bind(number - kHistory).Step();
  } catch (const std::exception&) {
  }
}

std::vector<Happened> Store::History(std::int64_t after, int most) {
  std::vector<Happened> all;
  Statement s(database_,
              "SELECT * FROM (SELECT number, unix_ms, change, instance, text FROM history WHERE number > ? "
              "ORDER BY number DESC LIMIT ?) ORDER BY number");
  s.Bind(after).Bind(std::int64_t{most});
  while (s.Step()) all.push_back({s.Number(0), s.Number(1), s.Text(2), s.Text(3), s.Text(4)});
  return all;
}

}  // namespace oxbowspread::store
