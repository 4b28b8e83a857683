// RAII wrappers of an SQLite database file and its statements. An open file is locked exclusively by its
// process. Not thread-safe.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace oxbowspread::sqlite {

// An SQLite error, such as a full disk or a damaged file. The text is "LABEL: " and SQLite's message.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An open database file.
class Database {
 public:
  struct Options {
    std::string label;        // first part of each error text
    int version = 1;          // version of the schema; a file with a later version is refused
    const char* schema = "";  // SQL that is run on a new file or one with an earlier version
    int max_kb = 0;           // size limit in KiB, at least 64; writes beyond it fail; 0: unlimited
    bool durable = true;      // whether a write survives a power failure after the call has returned
  };

  // Opens the file and creates it if it doesn't exist. Throws Error.
  Database(const std::string& path, const Options& options);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  // Runs statements that return no rows. Throws Error.
  void Execute(const std::string& sql);
  std::int64_t last_insert_row_id() const;
  // Throws Error with the message of the latest failed SQLite call.
  [[noreturn]] void ThrowError() const;

 private:
  friend class Statement;
  std::string label_;
  sqlite3* db_ = nullptr;
};

// Begins a transaction; the destructor rolls it back unless Commit was called.
class Transaction {
 public:
  explicit Transaction(Database& database) : database_(database) { database_.Execute("BEGIN"); }
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void Commit();

 private:
  Database& database_;
  bool open_ = true;
};

// A prepared statement; the database must outlive it.
class Statement {
 public:
  Statement(Database& database, const char* sql);  // throws Error
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // Binds the next parameter; the first call binds the first one.
  Statement& Bind(const std::string& text);
  Statement& Bind(std::int64_t number);
  // Runs the statement up to its next row. Returns whether there is one. Throws Error.
  bool Step();
  // Values of the current row; columns count from 0. A NULL reads as an empty text or 0.
  std::string Text(int column);
  std::int64_t Number(int column);

 private:
  Database& database_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_count_ = 0;
};

}  // namespace oxbowspread::sqlite
