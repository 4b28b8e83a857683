#include "sqlite/database.hpp"

#include <sqlite3.h>

#include <algorithm>

namespace oxbowspread::sqlite {
namespace {
constexpr int kPageBytes = 4096;
}  // namespace

Database::Database(const std::string& path, const Options& options) : label_(options.label) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  if (sqlite3_open_v2(path.c_str(), &db_, flags, nullptr) != SQLITE_OK) {
    const std::string reason = sqlite3_errmsg(db_);
    sqlite3_close(db_);
    throw Error(label_ + ": " + path + ": " + reason);
  }
  try {
    Execute(options.durable ? "PRAGMA synchronous=FULL" : "PRAGMA synchronous=NORMAL");
    // Only one process uses the file, so a write-ahead log is not needed.
    Execute("PRAGMA locking_mode=EXCLUSIVE");
    if (options.max_kb > 0) {
      Execute("PRAGMA max_page_count=" + std::to_string(std::max(16, options.max_kb * 1024 / kPageBytes)));
    }
    int version = 0;
    {
      Statement statement(*this, "PRAGMA user_version");
      if (statement.Step()) version = static_cast<int>(statement.Number(0));
    }
    if (version > options.version) {
      throw Error(label_ + ": " + path + " has version " + std::to_string(version) +
                  ", this program supports versions up to " + std::to_string(options.version));
    }
    if (version < options.version) {
      Transaction transaction(*this);
      Execute(options.schema);
      Execute("PRAGMA user_version=" + std::to_string(options.version));
      transaction.Commit();
    }
  } catch (...) {
    sqlite3_close(db_);
    throw;
  }
}

Database::~Database() { sqlite3_close(db_); }

void Database::ThrowError() const { throw Error(label_ + ": " + sqlite3_errmsg(db_)); }

void Database::Execute(const std::string& sql) {
  if (sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) ThrowError();
}

std::int64_t Database::last_insert_row_id() const { return sqlite3_last_insert_rowid(db_); }

Transaction::~Transaction() {
  if (!open_) return;
  try {
    database_.Execute("ROLLBACK");
  } catch (const Error&) {
    // SQLite has already rolled the transaction back.
  }
}

void Transaction::Commit() {
  database_.Execute("COMMIT");
  open_ = false;
}

Statement::Statement(Database& database, const char* sql) : database_(database) {
  if (sqlite3_prepare_v2(database_.db_, sql, -1, &statement_, nullptr) != SQLITE_OK) database_.ThrowError();
}

Statement::~Statement() { sqlite3_finalize(statement_); }

Statement& Statement::Bind(const std::string& text) {
  sqlite3_bind_text(statement_, ++bound_count_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
  return *this;
}

Statement& Statement::Bind(std::int64_t number) {
  sqlite3_bind_int64(statement_, ++bound_count_, number);
  return *this;
}

bool Statement::Step() {
  const int result = sqlite3_step(statement_);
  if (result == SQLITE_ROW) return true;
  if (result != SQLITE_DONE) database_.ThrowError();
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
