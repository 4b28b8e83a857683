#include "sqlite/database.hpp"

#include <sqlite3.h>

#include <algorithm>

namespace oxbowspread::sqlite {
namespace {
constexpr int kPage = 4096;
}  // namespace

Database::Database(const std::string& path, const Options& options) : what_(options.what) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  if (sqlite3_open_v2(path.c_str(), &db_, flags, nullptr) != SQLITE_OK) {
    const std::string why = sqlite3_errmsg(db_);
    sqlite3_close(db_);
    throw Error(what_ + ": " + path + ": " + why);
  }
  try {
    Do(options.synced ? "PRAGMA synchronous=FULL" : "PRAGMA synchronous=NORMAL");
    // One process uses it, so no log beside it.
    Do("PRAGMA locking_mode=EXCLUSIVE");
    if (options.most_kb > 0) {
      Do("PRAGMA max_page_count=" + std::to_string(std::max(16, options.most_kb * 1024 / kPage)));
    }
    int version = 0;
    {
      Statement s(*this, "PRAGMA user_version");
      if (s.Step()) version = static_cast<int>(s.Number(0));
    }
    if (version > options.version) {
      throw Error(what_ + ": " + path + " is of version " + std::to_string(version) +
                  ", this program knows " + std::to_string(options.version));
    }
    if (version < options.version) {
      Transaction all(*this);
      Do(options.schema);
      Do("PRAGMA user_version=" + std::to_string(options.version));
      all.Commit();
    }
  } catch (...) {
    sqlite3_close(db_);
    throw;
  }
}

Database::~Database() { sqlite3_close(db_); }

void Database::Fail() const { throw Error(what_ + ": " + sqlite3_errmsg(db_)); }

void Database::Do(const std::string& sql) {
  if (sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) Fail();
}

std::int64_t Database::last_row() const { return sqlite3_last_insert_rowid(db_); }

Transaction::~Transaction() {
  if (!open_) return;
  try {
    database_.Do("ROLLBACK");
  } catch (const Error&) {
    // SQLite has rolled back by itself.
  }
}

void Transaction::Commit() {
  database_.Do("COMMIT");
  open_ = false;
}

Statement::Statement(Database& database, const char* sql) : database_(database) {
  if (sqlite3_prepare_v2(database_.db_, sql, -1, &statement_, nullptr) != SQLITE_OK) database_.Fail();
}

Statement::~Statement() { sqlite3_finalize(statement_); }

Statement& Statement::Bind(const std::string& text) {
  sqlite3_bind_text(statement_, ++bound_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
  return *this;
}

Statement& Statement::Bind(std::int64_t number) {
  sqlite3_bind_int64(statement_, ++bound_, number);
  return *this;
}

bool Statement::Step() {
  const int code = sqlite3_step(statement_);
  if (code == SQLITE_ROW) return true;
  if (code != SQLITE_DONE) database_.Fail();
  return false;
}

std::string Statement::Text(int column) {
  const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
  return text == nullptr
             ? std::string()
             : std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
}

std::int64_t Statement::Number(int column) { return sqlite3_column_int64(statement_, column); }

}  // namespace oxbowspread::sqlite
