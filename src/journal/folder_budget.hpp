// Accounts for everything that makes the state folder grow, against one limit. Has no side effects.
//
// The journal is one file. A rewrite writes another file with what is still open, which then replaces it, so
// both exist at the same time. Each open message reserves the most that its records can take in a rewritten
// file: its body, its history, an attempt in flight and its ending. Host and index names reserve their
// records. The sum of the reservations is therefore an upper bound of every rewritten file, now and later.
//
// With F the size of the file, R the sum of the reservations, P the part of R that is not recorded yet and L
// the limit, two conditions hold:
//   1. 2 R + slack <= L. It is checked for each new reservation.
//   2. F + R - P <= L after each record, so that a rewrite is always possible.
// A record that would break condition 2 is appended after a rewrite. The rewritten file and that record
// together are at most R, because the record belongs to a reservation and is not in the rewritten file yet,
// and condition 1 leaves room for twice that. Hence every open message can always record its end.
//
// The slack also bounds the work: by condition 1, a rewritten file grows by at least that much before the
// next rewrite is due. A file that is found too large for the conditions, because an earlier version or a
// higher limit let it grow, is appended to until enough has ended. New messages are rejected meanwhile.
//
// All sizes are in bytes. Files count in whole blocks.
#pragma once

#include <cstddef>

namespace oxbowspread::journal {

class FolderBudget {
 public:
  // Whether a message can be reserved.
  enum class Room {
    kFree,
    kAfterPending,  // only if messages that are not recorded yet are rejected or withdrawn
    kNone,
  };
  // How a record is written.
  enum class AppendPlan { kAppend, kRewriteFirst };

  // `limit_bytes` is the limit of the folder without the files of others.
  explicit FolderBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Returns the bytes by which a file of that size counts.
  static std::size_t CountedBytes(std::size_t file_bytes);

  Room RoomForMessage(std::size_t bytes) const;
  // Returns whether the names of hosts and zones may reserve that many bytes. They may use half of the slack,
  // so that a folder which is full of messages still has room for them. Returns true in a folder that was
  // found too full, where the messages that have been accepted must still be attempted.
  bool HasRoomForNames(std::size_t bytes) const;

  // Change the sum of the reservations: of what is recorded, and of messages that are not recorded yet.
  void Reserve(std::size_t bytes) { recorded_bytes_ += bytes; }
  void Release(std::size_t bytes) { recorded_bytes_ -= bytes; }
  void ReservePending(std::size_t bytes) { pending_bytes_ += bytes; }
  void ReleasePending(std::size_t bytes) { pending_bytes_ -= bytes; }
  std::size_t recorded_bytes() const { return recorded_bytes_; }
  std::size_t pending_bytes() const { return pending_bytes_; }

  // Size of the journal file.
  void SetFileBytes(std::size_t bytes);
  std::size_t file_bytes() const { return file_bytes_; }
  // Must be called when a rewritten file of that size has replaced the old one.
  void RecordRewrite(std::size_t next_file_bytes);
  // The most that the folder has held so far.
  std::size_t peak_bytes() const { return peak_bytes_; }

  // Returns how to write a record of that size. `growth_bytes` is what it adds to the reservations.
  AppendPlan PlanAppend(std::size_t record_bytes, std::size_t growth_bytes) const;
  // Returns whether the folder stays within the limit if the record is appended.
  bool CanAppend(std::size_t record_bytes) const;
  // Returns whether the folder stays within the limit while the file is rewritten.
  bool CanRewrite() const;
  // Returns whether a file that was found over the limit should be rewritten although both files do not fit,
  // because the folder is within the limit afterwards.
  bool MustShrink() const;

 private:
  std::size_t reserved_bytes() const { return recorded_bytes_ + pending_bytes_; }
  std::size_t slack_bytes() const;
  bool FitsTwice(std::size_t bytes, std::size_t slack_bytes) const;
  bool HasGrownSinceRewrite(std::size_t new_file_bytes) const;

  std::size_t limit_bytes_;
  std::size_t file_bytes_ = 0;
  std::size_t rewritten_file_bytes_ = 0;  // size of the file after its last rewrite; 0 if there was none
  std::size_t recorded_bytes_ = 0;
  std::size_t pending_bytes_ = 0;
  std::size_t peak_bytes_ = 0;
};

}  // namespace oxbowspread::journal
