// Durable journal of accepted messages. Records with checksums are appended to one file, which is rewritten
// without the closed messages when it becomes too large.
//
// The deployment only requires that records survive the end of the process. Plain writes ensure that, so the
// file is not synced.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "config/index_names.hpp"
#include "journal/entry.hpp"
#include "journal/folder_budget.hpp"

namespace oxbowspread::journal {

// Owns the journal file of a state folder. The caller must hold the FolderLock.
class Journal {
 public:
  // Room in the folder for a message that is not recorded yet. It is returned when the object is destroyed.
  // The journal must outlive it.
  class Reservation {
   public:
    Reservation(FolderBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {
      budget_->ReservePending(bytes_);
    }
    Reservation(Reservation&& other) noexcept
        : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    ~Reservation() { budget_->ReleasePending(bytes_); }

   private:
    FolderBudget* budget_;
    std::size_t bytes_;
  };

  // Opens and reads the journal. A partly written last record is cut off. An attempt without a recorded end
  // counts as one that may have run, except that the attempts of the messages in `still_in_flight` continue
  // in another process and stay open. `limit_bytes` limits the total size of all files in the folder. Throws
  // std::system_error if the folder can't be used.
  Journal(const std::string& folder, std::size_t limit_bytes,
          const std::set<std::string>& still_in_flight = {});
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Returns all open messages by id: those that have not ended, and those whose notice is not accepted yet.
  // The latter have no body any more.
  const std::map<std::string, Entry>& entries() const { return entries_; }
  // Returns null if no such message is open. The pointer is valid until the message is closed.
  const Entry* Find(const std::string& id) const;
  // Returns the number of bytes after the last complete record that were cut off when the journal was opened.
  std::size_t truncated_bytes() const { return truncated_bytes_; }
  // Number of rewrites since the journal was opened.
  std::uint64_t rewrites() const { return rewrites_; }
  const FolderBudget& budget() const { return budget_; }

  // Returns whether there is room for the message, its attempts and its ending.
  FolderBudget::Room RoomFor(const Message& message) const;
  // Reserves that room. RoomFor(message) must be kFree.
  [[nodiscard]] Reservation Reserve(const Message& message);

  // Record the changes of a message. Each function returns true once the change is recorded. If the record
  // can't be written, it returns false and the file is unchanged.
  // Accept needs the reservation of that same message.
  bool Accept(const Message& message, Reservation reservation);
  // Also returns false if the host's name is longer than what is reserved and there is no room for it.
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
  enum class Importance {
    kNewPromise,  // written only if the conditions of the budget hold afterwards
    kOwed,        // about an accepted message, written if at all possible
  };

  void Recover(const std::set<std::string>& still_in_flight);
  // Applies a record read from the file. Returns false if the record is invalid.
  bool Apply(std::string_view payload);
  // Appends a record, after rewriting the file if the budget requires it. `growth_bytes` is what the record
  // adds to the reservations.
  bool Append(const std::string& record, std::size_t growth_bytes, Importance importance);
  bool WriteAtEnd(const std::string& record);
  // Cuts off what a failed write has left after the last record.
  bool CutOffIncompleteRecord();
  // Rewrites the file without closed messages. On failure it returns false and the old file stays in use.
  bool Rewrite();
  bool WriteOpenRecords(int fd, std::size_t* written);

  Entry& Insert(Entry entry);
  void Erase(std::map<std::string, Entry>::iterator it);
  // Change an entry and its reservation.
  void Change(Entry& entry, const std::function<void(Entry&)>& change);
  void SetEnding(Entry& entry, const Ending& ending);
  void SetExcluded(const std::string& host, bool excluded);
  void SetIndexNames(config::IndexNames names);

  std::string path_, next_path_;
  FolderBudget budget_;
  int fd_ = -1;
  bool ends_with_incomplete_record_ = false;
  std::size_t truncated_bytes_ = 0;
  std::uint64_t rewrites_ = 0;
  std::map<std::string, Entry> entries_;
  std::set<std::string> excluded_hosts_;
  config::IndexNames index_names_;
};

}  // namespace oxbowspread::journal
