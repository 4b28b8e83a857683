// One SQLite file, and statements on it. Whoever uses it holds it alone. Not for two threads at once.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace oxbowspread::sqlite {

// The disk is full, the file is damaged, ...: "WHAT: ", then in SQLite's words.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Database {
 public:
  struct Options {
    std::string what;         // begins each error
    int version = 1;          // of the schema; a file of a later one is refused
    const char* schema = "";  // statements for a file of an earlier version, or a new one
    int most_kb = 0;          // a file that is full refuses what would make it larger; 0: no bound
    bool synced = true;       // on disk, through a loss of power too, when a call returns
  };

  // Makes the file if it isn't there. Throws Error.
  Database(const std::string& path, const Options& options);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  void Do(const std::string& sql);  // throws Error
  std::int64_t last_row() const;
  [[noreturn]] void Fail() const;

 private:
  friend class Statement;
  std::string what_;
  sqlite3* db_ = nullptr;
};

// BEGIN; rolled back at its end unless Commit was called.
class Transaction {
 public:
  explicit Transaction(Database& database) : database_(database) { database_.Do("BEGIN"); }
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void Commit();

 private:
  Database& database_;
  bool open_ = true;
};

class Statement {
 public:
  Statement(Database& database, const char* sql);  // throws Error
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // The next parameter, from the first on.
  Statement& Bind(const std::string& text);
  Statement& Bind(std::int64_t number);
  // Runs on; whether there is a row. Throws Error.
  bool Step();
  // Of the present row, columns from 0.
  std::string Text(int column);
  std::int64_t Number(int column);

 private:
  Database& database_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

}  // namespace oxbowspread::sqlite
