// Durable journal of accepted messages: checksummed records appended to one file, which is rewritten when
// closed messages fill it.
//
// Plain writes survive the end of the process, which is all that the deployment requires, so nothing is
// synced. A record is
//   u32 length | u32 crc32 of the payload | payload: u8 type, fields
// in the byte order of the machine: the file never leaves it.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "journal/entry.hpp"

namespace oxbowspread::journal {

// Owns the journal file of a state folder. The caller must hold the FolderLock.
class Journal {
 public:
  // Opens and reads the journal. A partly written last record is cut off, and an attempt without a recorded
  // end counts as one that may have run; attempts of the messages in `still_in_flight` continue in another
  // process and stay open. `budget_bytes` limits the total size of all files. Throws std::system_error if the
  // folder cannot be used at all.
  Journal(const std::string& folder, std::size_t budget_bytes,
          const std::set<std::string>& still_in_flight = {});
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // All open messages by id: those that have not ended, and those whose notice is not accepted yet.
  const std::map<std::string, Entry>& entries() const { return entries_; }
  // Returns null if there is no such message. The pointer is valid until the message is closed.
  const Entry* Find(const std::string& id) const;
  // Size of the partly written record that was cut off when the journal was opened.
  std::size_t truncated_bytes() const { return truncated_bytes_; }
  std::size_t file_bytes() const { return file_bytes_; }

  // Returns whether a message with a body of that size fits beside all open messages.
  bool CanHold(std::size_t body_bytes) const;

  // Each call returns true once the change is recorded. If the disk rejects the record, the file stays as it
  // was.
  bool Accept(const Message& message);
  bool BeginAttempt(const std::string& id, const Attempt& attempt);
  bool EndAttempt(const std::string& id, bool may_have_run);
  bool RecordEnding(const std::string& id, const Ending& ending);
  // The message was delivered or withdrawn, or its notice was accepted: it is no longer open.
  bool Close(const std::string& id);

  // Closes the file because another process owns it now; nothing is read or written here afterwards.
  void Release();

  // Hosts that operators have excluded, by id, at most kMaxExcludedHosts. A change is recorded when true is
  // returned.
  static constexpr std::size_t kMaxExcludedHosts = 64;
  const std::set<std::string>& excluded_hosts() const { return excluded_hosts_; }
  bool ExcludeHost(const std::string& host);
  bool IncludeHost(const std::string& host);

 private:
  void Recover(const std::set<std::string>& still_in_flight);
  bool Apply(std::string_view payload);
  bool Append(const std::string& payload);
  bool WriteRecord(int fd, const std::string& payload, std::size_t* written);
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
};

}  // namespace oxbowspread::journal
