// Durable journal of accepted messages. Records with checksums are appended to one file, which is rewritten
// without the closed messages when it becomes too large.
//
// The deployment only requires that records survive the end of the process. Plain writes ensure that, so the
// file is not synced. A record is
//   u32 length | u32 crc32 of the payload | payload: u8 type, fields
// in the byte order of the machine, because the file is never copied to another machine.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "config/index_names.hpp"
#include "journal/entry.hpp"

namespace oxbowspread::journal {

// Owns the journal file of a state folder. The caller must hold the FolderLock.
class Journal {
 public:
  // Opens and reads the journal. A partly written last record is cut off. An attempt without a recorded end
  // counts as one that may have run, except that the attempts of the messages in `still_in_flight` continue
  // in another process and stay open. `budget_bytes` limits the total size of all files. Throws
  // std::system_error if the folder can't be used.
  Journal(const std::string& folder, std::size_t budget_bytes,
          const std::set<std::string>& still_in_flight = {});
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Returns all open messages by id: those that have not ended, and those whose notice is not accepted yet.
  const std::map<std::string, Entry>& entries() const { return entries_; }
  // Returns null if no such message is open. The pointer is valid until the message is closed.
  const Entry* Find(const std::string& id) const;
  // Returns the number of bytes after the last complete record that were cut off when the journal was opened.
  std::size_t truncated_bytes() const { return truncated_bytes_; }
  std::size_t file_bytes() const { return file_bytes_; }

  // Returns whether there is room for a message with a body of that size in addition to all open messages.
  bool CanHold(std::size_t body_bytes) const;

  // Record the changes of a message. Each function returns true once the change is recorded. If the record
  // can't be written, it returns false and the file is unchanged.
  bool Accept(const Message& message);
  bool BeginAttempt(const std::string& id, const Attempt& attempt);
  bool EndAttempt(const std::string& id, bool may_have_run);
  bool RecordEnding(const std::string& id, const Ending& ending);
  // Closes a message that was delivered or withdrawn, or whose notice was accepted.
  bool Close(const std::string& id);

  // Closes the file because another process owns it now. This process no longer reads or writes it.
  void Release();

  // The ids of the hosts that operators have excluded, at most kMaxExcludedHosts. ExcludeHost and IncludeHost
  // return true once the change is recorded.
  static constexpr std::size_t kMaxExcludedHosts = 64;
  const std::set<std::string>& excluded_hosts() const { return excluded_hosts_; }
  bool ExcludeHost(const std::string& host);
  bool IncludeHost(const std::string& host);

  // The names of the zones to which the recorded attempts refer, and of the kinds; empty if an early version,
  // which did not store them, wrote the file. RecordIndexNames returns true once the names are recorded.
  const config::IndexNames& index_names() const { return index_names_; }
  bool RecordIndexNames(const config::IndexNames& names);

 private:
  void Recover(const std::set<std::string>& still_in_flight);
  // Applies a record read from the file. Returns false if the record is invalid.
  bool Apply(std::string_view payload);
  // Appends a record, after rewriting the file if it would become too large.
  bool Append(const std::string& payload);
  // Writes a record and adds its size to *written. On failure part of the record may have been written.
  bool WriteRecord(int fd, const std::string& payload, std::size_t* written);
  // Rewrites the file without closed messages. On failure it returns false and the old file stays in use.
  bool Compact();
  void Erase(std::map<std::string, Entry>::iterator it);
  Entry& Insert(Entry entry);

  std::string path_, next_path_;
  std::size_t budget_bytes_;
  int fd_ = -1;
  std::size_t file_bytes_ = 0;
  std::size_t live_bytes_ = 0;  // upper bound of the size of a rewritten file
  std::size_t truncated_bytes_ = 0;
  std::map<std::string, Entry> entries_;
  std::set<std::string> excluded_hosts_;
  config::IndexNames index_names_;
};

}  // namespace oxbowspread::journal
