#include "store/store.hpp"

#include <sqlite3.h>

namespace oxbowspread::store {
namespace {

constexpr int kVersion = 1;
constexpr int kPage = 4096;
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

class Store::Statement {
 public:
  Statement(Store& store, const char* sql) : store_(store) {
    if (sqlite3_prepare_v2(store.db_, sql, -1, &statement_, nullptr) != SQLITE_OK) store.Fail();
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Bind(const std::string& text) {
    sqlite3_bind_text(statement_, ++bound_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Bind(std::int64_t number) {
    sqlite3_bind_int64(statement_, ++bound_, number);
    return *this;
  }
  // Whether there is a row.
  bool Step() {
    const int code = sqlite3_step(statement_);
    if (code == SQLITE_ROW) return true;
    if (code != SQLITE_DONE) store_.Fail();
    return false;
  }
  std::string Text(int column) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return text == nullptr
               ? std::string()
               : std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }
  std::int64_t Number(int column) { return sqlite3_column_int64(statement_, column); }

 private:
  Store& store_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

Store::Store(const std::string& path, int most_kb) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  if (sqlite3_open_v2(path.c_str(), &db_, flags, nullptr) != SQLITE_OK) {
    const std::string why = sqlite3_errmsg(db_);
    sqlite3_close(db_);
    throw Error("store: " + path + ": " + why);
  }
  try {
    // On record before it is told, through a loss of power too; one process uses it, so no log beside it.
    Do("PRAGMA synchronous=FULL");
    Do("PRAGMA locking_mode=EXCLUSIVE");
    Do("PRAGMA max_page_count=" + std::to_string(std::max(16, most_kb * 1024 / kPage)));
    int version = 0;
    {
      Statement s(*this, "PRAGMA user_version");
      if (s.Step()) version = static_cast<int>(s.Number(0));
    }
    if (version > kVersion) {
      throw Error("store: " + path + " is of version " + std::to_string(version) + ", this program knows " +
                  std::to_string(kVersion));
    }
    if (version < kVersion) {
      Do("BEGIN");
      Do(kSchema);
      Do("PRAGMA user_version=" + std::to_string(kVersion));
      Do("COMMIT");
    }
  } catch (...) {
    sqlite3_close(db_);
    throw;
  }
}

Store::~Store() { sqlite3_close(db_); }

void Store::Fail() const { throw Error(std::string("store: ") + sqlite3_errmsg(db_)); }

void Store::Do(const std::string& sql) {
  if (sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) Fail();
}

std::optional<std::string> Store::Get(const std::string& key) {
  Statement s(*this, "SELECT value FROM value WHERE key = ?");
  return s.Bind(key).Step() ? std::optional(s.Text(0)) : std::nullopt;
}

void Store::Put(const std::string& key, const std::string& value) {
  Statement(*this, "INSERT OR REPLACE INTO value VALUES (?, ?)").Bind(key).Bind(value).Step();
}

std::map<std::string, Desired> Store::AllDesired() {
  std::map<std::string, Desired> all;
  Statement s(*this, "SELECT instance, want, stamp, reload FROM desired");
  while (s.Step()) all[s.Text(0)] = {s.Text(1), s.Text(2), s.Number(3) != 0};
  return all;
}

void Store::PutDesired(const std::string& instance, const Desired& d) {
  Statement(*this, "INSERT OR REPLACE INTO desired VALUES (?, ?, ?, ?)")
      .Bind(instance)
      .Bind(d.want)
      .Bind(d.stamp)
      .Bind(std::int64_t{d.reload})
      .Step();
}

std::optional<Running> Store::RunningOf(const std::string& instance) {
  Statement s(*this, "SELECT pid, started FROM running WHERE instance = ?");
  if (!s.Bind(instance).Step()) return std::nullopt;
  return Running{s.Number(0), static_cast<std::uint64_t>(s.Number(1))};
}

void Store::PutRunning(const std::string& instance, const Running& r) {
  Statement(*this, "INSERT OR REPLACE INTO running VALUES (?, ?, ?)")
      .Bind(instance)
      .Bind(r.pid)
      .Bind(static_cast<std::int64_t>(r.started))
      .Step();
}

std::optional<std::string> Store::Config(const std::string& instance, const std::string& version) {
  Statement s(*this, "SELECT text FROM config WHERE instance = ? AND version = ?");
  return s.Bind(instance).Bind(version).Step() ? std::optional(s.Text(0)) : std::nullopt;
}

void Store::PutConfig(const std::string& instance, const std::string& version, const std::string& text) {
  // Dropped before it is written again, so that the number says which is the latest.
  Do("BEGIN");
  try {
    Statement(*this, "DELETE FROM config WHERE instance = ? AND version = ?")
        .Bind(instance)
        .Bind(version)
        .Step();
    Statement(*this, "INSERT INTO config (instance, version, text) VALUES (?, ?, ?)")
        .Bind(instance)
        .Bind(version)
        .Bind(text)
        .Step();
    Statement(*this,
              "DELETE FROM config WHERE instance = ?1 AND number NOT IN (SELECT number FROM config WHERE "
              "instance = ?1 ORDER BY number DESC LIMIT ?2) AND NOT EXISTS (SELECT 1 FROM desired WHERE "
              "desired.instance = ?1 AND substr(stamp, 1, instr(stamp, '@') - 1) = version)")
        .Bind(instance)
        .Bind(std::int64_t{kVersions})
        .Step();
    Do("COMMIT");
  } catch (...) {
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

void Store::Tell(const Happened& h) noexcept {
  try {
    Statement insert(*this, "INSERT INTO history (unix_ms, change, instance, text) VALUES (?, ?, ?, ?)");
    insert.Bind(h.unix_ms).Bind(h.change).Bind(h.instance).Bind(h.text).Step();
    const std::int64_t number = sqlite3_last_insert_rowid(db_);
    if (number % 100 != 0) return;
    Statement(*this, "DELETE FROM history WHERE number <= ?").Bind(number - kHistory).Step();
  } catch (const std::exception&) {
  }
}

std::vector<Happened> Store::History(std::int64_t after, int most) {
  std::vector<Happened> all;
  Statement s(*this,
              "SELECT * FROM (SELECT number, unix_ms, change, instance, text FROM history WHERE number > ? "
              "ORDER BY number DESC LIMIT ?) ORDER BY number");
  s.Bind(after).Bind(std::int64_t{most});
  while (s.Step()) all.push_back({s.Number(0), s.Number(1), s.Text(2), s.Text(3), s.Text(4)});
  return all;
}

}  // namespace oxbowspread::store
