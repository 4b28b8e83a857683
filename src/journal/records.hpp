// Binary format of the journal's records. Has no side effects.
//
// A record is
//   u32 length | u32 crc32 of the payload | payload: u8 type, fields
// in the byte order of the machine, because the file is never copied to another machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/index_names.hpp"
#include "journal/entry.hpp"

namespace oxbowspread::journal {

enum class RecordType : std::uint8_t {
  kAccepted = 1,
  kAttemptBegun,
  kAttemptEnded,
  kEnded,
  kClosed,
  kHostExcluded,
  kHostIncluded,
  kIndexNames
};

// A greater payload means a corrupt record.
inline constexpr std::size_t kMaxPayloadBytes = 256 * 1024;

// Return the whole record with its header. The record of an accepted message contains its history, except the
// attempt in flight, which follows as a separate record.
std::string EncodeAccepted(const Entry& entry);
std::string EncodeAttemptBegun(const std::string& id, const Attempt& attempt);
std::string EncodeAttemptEnded(const std::string& id, bool may_have_run);
std::string EncodeEnded(const std::string& id, const Ending& ending);
std::string EncodeClosed(const std::string& id);
// `type` is kHostExcluded or kHostIncluded.
std::string EncodeHostRecord(RecordType type, const std::string& host);
std::string EncodeIndexNames(const config::IndexNames& names);

// Returns the most bytes that the records of this entry can take in a rewritten file from now on, whatever
// attempts and ending follow, as long as no host has a longer name than `host_bytes`, the hosts of the
// entry or kReservedHostBytes.
std::size_t MaxEntryBytes(const Entry& entry, std::size_t host_bytes = 0);
// The same for a message without any attempt.
std::size_t MaxEntryBytes(const Message& message);
inline constexpr std::size_t kReservedHostBytes = 32;

// Returns the payload of the record at the start of `bytes`, and nothing if that record is incomplete or
// corrupt. Sets *record_bytes to the size of the whole record. The payload refers to `bytes`.
std::optional<std::string_view> FirstPayload(std::string_view bytes, std::size_t* record_bytes);

// Parses the payload of a record. After a read beyond the end, valid() is false and the values are
// meaningless.
class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : remaining_(bytes) {}
  RecordType GetType();
  bool GetBool();
  std::string GetText();
  std::vector<std::string> GetTexts();
  Attempt GetAttempt();
  Ending GetEnding();
  config::IndexNames GetIndexNames();
  // Returns the fields of an accepted message that follow its id.
  Entry GetAccepted(const std::string& id);
  bool valid() const { return valid_; }

 private:
  template <typename T>
  T Get();
  wheathub::MessageClass GetClass(const std::string& name);

  std::string_view remaining_;
  bool valid_ = true;
};

}  // namespace oxbowspread::journal
