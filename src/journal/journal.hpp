// The lasting record: framed and checksummed appends to one file, rewritten when what is over fills it.
//
// Plain writes outlast the process by what the deployment promises, so nothing is synced. A record is
//   u32 length | u32 crc32 of the payload | payload: u8 type, fields
// in the machine's byte order: the file never leaves the machine.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "journal/entry.hpp"

namespace oxbowspread::journal {

class Journal {
 public:
  // Reads what is in the folder, cuts a torn tail and takes an attempt that was out as one that may have run.
  // Attempts of the messages in `still_out` go on in another process, and stay open.
  // `budget` is what all files may hold. Throws std::system_error if the folder can't be used at all.
  Journal(const std::string& folder, std::size_t budget, const std::set<std::string>& still_out = {});
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // All that is still owed, an end or its notice, by id.
  const std::map<std::string, Entry>& entries() const { return entries_; }
  const Entry* Find(const std::string& id) const;
  std::size_t cut_bytes() const { return cut_bytes_; }  // of a torn tail
  std::size_t file_bytes() const { return file_bytes_; }

  // Whether a message with such a body would fit beside all that is owed.
  bool CanHold(std::size_t body) const;

  // Each is on record when it returns true. When the disk doesn't take it the file stays as it was.
  bool Accept(const Message& message);
  bool BeginAttempt(const std::string& id, const Attempt& attempt);
  bool EndAttempt(const std::string& id, bool may_have_run);
  bool End(const std::string& id, const Ending& ending);
  bool Close(const std::string& id);  // delivered, withdrawn, or its notice taken: nothing is owed

  // The files are another process's from now on: nothing more is read or written here.
  void Release();

  // Hosts that operators have taken out, by id; on record when true is returned. kMostOut at a time.
  static constexpr std::size_t kMostOut = 64;
  const std::set<std::string>& out() const { return out_; }
  bool TakeOut(const std::string& host);
  bool PutBack(const std::string& host);

 private:
  void Recover(const std::set<std::string>& still_out);
  bool Apply(std::string_view payload);
  bool Append(const std::string& payload);
  bool WriteFrame(int fd, const std::string& payload, std::size_t* written);
  bool Compact();
  void Erase(std::map<std::string, Entry>::iterator it);
  Entry& Keep(Entry entry);

  std::string path_, next_path_;
  std::size_t budget_;
  int fd_ = -1;
  std::size_t file_bytes_ = 0;
  std::size_t live_bytes_ = 0;  // what a rewritten file would hold at most
  std::size_t cut_bytes_ = 0;
  std::map<std::string, Entry> entries_;
  std::set<std::string> out_;
};

}  // namespace oxbowspread::journal
