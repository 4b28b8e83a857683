#include "journal/journal.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <zlib.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <system_error>
#include <type_traits>
#include <utility>

namespace oxbowspread::journal {
namespace {

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

constexpr std::size_t kFrameBytes = 8;                // length and checksum before each payload
constexpr std::size_t kMaxPayloadBytes = 256 * 1024;  // a greater length means a corrupt record
// Upper bound for the total size of the records of one message, without its body.
constexpr std::size_t kMaxEntryOverheadBytes = 560;
// Maximum share of the budget for one file. While the file is rewritten, the old and the new one exist at the
// same time, so both count: 0.45 + 0.45 of the budget.
constexpr double kMaxFileShare = 0.45;
// Maximum share of the budget for open messages. It is less than kMaxFileShare, because otherwise a full
// journal would be rewritten at every append.
constexpr double kMaxLiveShare = 0.38;

// Serializes the payload of a record.
class RecordWriter {
 public:
  explicit RecordWriter(RecordType type) { Put(type); }
  template <typename T>
  RecordWriter& Put(T value) {
    static_assert(std::is_trivially_copyable_v<T>);
    bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
    return *this;
  }
  RecordWriter& Put(const std::string& text) {
    Put(static_cast<std::uint32_t>(text.size()));
    bytes_ += text;
    return *this;
  }
  RecordWriter& Put(const std::vector<std::string>& texts) {
    Put(static_cast<std::uint32_t>(texts.size()));
    for (const std::string& text : texts) Put(text);
    return *this;
  }
  RecordWriter& Put(const wheathub::MessageClass& message_class) {
    Put(static_cast<std::uint8_t>(message_class.semantics))
        .Put(std::uint8_t{message_class.repeats_bound_to_zone});
    Put(std::uint8_t{message_class.ordered})
        .Put(message_class.aim.count())
        .Put(message_class.deadline.count());
    return Put(message_class.repeat_window.count()).Put(message_class.worth).Put(message_class.late_value);
  }
  RecordWriter& Put(const Attempt& attempt) {
    return Put(attempt.host).Put(std::int32_t{attempt.zone}).Put(attempt.started_at.count());
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

// Parses the payload of a record. After a read beyond the end, valid() is false and the values are
// meaningless.
class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : remaining_(bytes) {}
  template <typename T>
  T Get() {
    T value{};
    if (remaining_.size() < sizeof value) {
      valid_ = false;
      remaining_ = {};
      return value;
    }
    std::memcpy(&value, remaining_.data(), sizeof value);
    remaining_.remove_prefix(sizeof value);
    return value;
  }
  std::string GetText() {
    const auto size = Get<std::uint32_t>();
    valid_ = valid_ && size <= remaining_.size();
    if (!valid_) return {};
    std::string text(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return text;
  }
  std::vector<std::string> GetTexts() {
    std::vector<std::string> texts;
    const auto count = Get<std::uint32_t>();
    for (std::uint32_t i = 0; i < count && valid_; ++i) texts.push_back(GetText());
    return texts;
  }
  Attempt GetAttempt() {
    Attempt attempt;
    attempt.host = GetText();
    attempt.zone = Get<std::int32_t>();
    attempt.started_at = Time(Get<Time::rep>());
    return attempt;
  }
  wheathub::MessageClass GetClass(const std::string& name) {
    wheathub::MessageClass message_class;
    message_class.name = name;
    message_class.semantics = static_cast<wheathub::Semantics>(Get<std::uint8_t>());
    message_class.repeats_bound_to_zone = Get<std::uint8_t>() != 0;
    message_class.ordered = Get<std::uint8_t>() != 0;
    message_class.aim = Time(Get<Time::rep>());
    message_class.deadline = Time(Get<Time::rep>());
    message_class.repeat_window = Time(Get<Time::rep>());
    message_class.worth = Get<double>();
    message_class.late_value = Get<double>();
    return message_class;
  }
  bool valid() const { return valid_; }
  bool empty() const { return remaining_.empty(); }

 private:
  std::string_view remaining_;
  bool valid_ = true;
};

std::uint32_t Checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::string EncodeAccepted(const Entry& entry) {
  const Message& message = entry.message;
  RecordWriter writer(RecordType::kAccepted);
  writer.Put(message.id)
      .Put(message.key)
      .Put(message.class_name)
      .Put(message.destination)
      .Put(message.deadline.count());
  writer.Put(static_cast<std::uint8_t>(message.resubmitted)).Put(message.body);
  // In a rewritten file this record contains the history of the message. The open attempt follows as a
  // separate record.
  writer.Put(std::int32_t{entry.attempts - (entry.open_attempt ? 1 : 0)}).Put(entry.last_host);
  writer.Put(static_cast<std::uint8_t>(entry.first_uncertain.has_value()))
      .Put(entry.first_uncertain.value_or(Attempt()));
  if (message.class_settings) writer.Put(*message.class_settings);
  return writer.bytes();
}
std::string EncodeAttemptBegun(const std::string& id, const Attempt& attempt) {
  return RecordWriter(RecordType::kAttemptBegun).Put(id).Put(attempt).bytes();
}
std::string EncodeEnded(const std::string& id, const Ending& ending) {
  return RecordWriter(RecordType::kEnded)
      .Put(id)
      .Put(static_cast<std::uint8_t>(ending.deferred))
      .Put(ending.retry_after_ms)
      .bytes();
}

std::string EncodeHostRecord(RecordType type, const std::string& host) {
  return RecordWriter(type).Put(host).bytes();
}

// The record has an empty message id. Versions that don't know the type ignore a record of an unknown
// message.
std::string EncodeIndexNames(const config::IndexNames& names) {
  return RecordWriter(RecordType::kIndexNames).Put(std::string()).Put(names.zones).Put(names.kinds).bytes();
}

std::size_t MaxEncodedSize(const Entry& entry) { return kMaxEntryOverheadBytes + entry.message.body.size(); }

[[noreturn]] void ThrowSystemError(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

}  // namespace

Journal::Journal(const std::string& folder, std::size_t budget_bytes,
                 const std::set<std::string>& still_in_flight)
    : path_(folder + "/journal"), next_path_(folder + "/journal.next"), budget_bytes_(budget_bytes) {
  unlink(next_path_.c_str());  // left by a rewrite that an earlier process did not finish
  fd_ = open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (fd_ < 0) ThrowSystemError("can't open " + path_);
  Recover(still_in_flight);
}

Journal::~Journal() {
  if (fd_ >= 0) close(fd_);
}

void Journal::Release() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

void Journal::Recover(const std::set<std::string>& still_in_flight) {
  std::string bytes;
  char chunk[65536];
  while (true) {
    const ssize_t count = read(fd_, chunk, sizeof chunk);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) ThrowSystemError("can't read " + path_);
    if (count == 0) break;
    bytes.append(chunk, static_cast<std::size_t>(count));
  }
  std::size_t offset = 0;
  while (bytes.size() - offset >= kFrameBytes) {
    std::uint32_t header[2];
    std::memcpy(header, bytes.data() + offset, sizeof header);
    if (header[0] > kMaxPayloadBytes || header[0] > bytes.size() - offset - kFrameBytes) break;
    const std::string_view payload(bytes.data() + offset + kFrameBytes, header[0]);
    if (Checksum(payload) != header[1] || !Apply(payload)) break;
    offset += kFrameBytes + header[0];
  }
  // The process was killed during a write. No action was based on the incomplete record after the last
  // complete one.
  truncated_bytes_ = bytes.size() - offset;
  if (truncated_bytes_ > 0 && ftruncate(fd_, static_cast<off_t>(offset)) != 0)
    ThrowSystemError("can't truncate " + path_);
  file_bytes_ = offset;
  for (auto& [id, entry] : entries_) {
    if (entry.open_attempt && still_in_flight.count(id) == 0) entry.EndAttempt(true);
  }
  Compact();
}

bool Journal::Apply(std::string_view payload) {
  RecordReader reader(payload);
  const auto type = static_cast<RecordType>(reader.Get<std::uint8_t>());
  const std::string id = reader.GetText();
  if (type == RecordType::kAccepted) {
    Entry entry;
    Message& message = entry.message;
    message.id = id;
    message.key = reader.GetText();
    message.class_name = reader.GetText();
    message.destination = reader.Get<std::int64_t>();
    message.deadline = Time(reader.Get<Time::rep>());
    message.resubmitted = reader.Get<std::uint8_t>() != 0;
    message.body = reader.GetText();
    entry.attempts = reader.Get<std::int32_t>();
    entry.last_host = reader.GetText();
    const bool has_uncertain = reader.Get<std::uint8_t>() != 0;
    const Attempt first_uncertain = reader.GetAttempt();
    if (has_uncertain) entry.first_uncertain = first_uncertain;
    if (!reader.empty()) message.class_settings = reader.GetClass(message.class_name);
    if (reader.valid()) Insert(std::move(entry));
    return reader.valid();
  }
  if (type == RecordType::kHostExcluded || type == RecordType::kHostIncluded) {
    if (reader.valid() && type == RecordType::kHostExcluded) excluded_hosts_.insert(id);
    if (reader.valid() && type == RecordType::kHostIncluded) excluded_hosts_.erase(id);
    return reader.valid();
  }
  if (type == RecordType::kIndexNames) {
    config::IndexNames names;
    names.zones = reader.GetTexts();
    names.kinds = reader.GetTexts();
    if (reader.valid()) index_names_ = std::move(names);
    return reader.valid();
  }
  const auto it = entries_.find(id);
  if (it == entries_.end()) return reader.valid();
  Entry& entry = it->second;
  switch (type) {
    case RecordType::kAttemptBegun:
      entry.BeginAttempt(reader.GetAttempt());
      return reader.valid();
    case RecordType::kAttemptEnded:
      entry.EndAttempt(reader.Get<std::uint8_t>() != 0);
      return reader.valid();
    case RecordType::kEnded:
      entry.ending = Ending{reader.Get<std::uint8_t>() != 0, reader.Get<std::int64_t>()};
      return reader.valid();
    case RecordType::kClosed:
      Erase(it);
      return reader.valid();
    default:
      return false;
  }
}

Entry& Journal::Insert(Entry entry) {
  const std::string id = entry.message.id;
  live_bytes_ += MaxEncodedSize(entry);
  return entries_[id] = std::move(entry);
}

void Journal::Erase(std::map<std::string, Entry>::iterator it) {
  live_bytes_ -= MaxEncodedSize(it->second);
  entries_.erase(it);
}

const Entry* Journal::Find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

bool Journal::CanHold(std::size_t body_bytes) const {
  return static_cast<double>(live_bytes_ + kMaxEntryOverheadBytes + body_bytes) <=
         kMaxLiveShare * static_cast<double>(budget_bytes_);
}

bool Journal::WriteRecord(int fd, const std::string& payload, std::size_t* written) {
  const std::uint32_t header[2] = {static_cast<std::uint32_t>(payload.size()), Checksum(payload)};
  std::string bytes(reinterpret_cast<const char*>(header), sizeof header);
  bytes += payload;
  if (!WriteAll(fd, bytes)) return false;
  *written += bytes.size();
  return true;
}

bool Journal::Append(const std::string& payload) {
  if (fd_ < 0) return false;  // the journal was released
  const std::size_t new_file_bytes = file_bytes_ + kFrameBytes + payload.size();
  if (static_cast<double>(new_file_bytes) > kMaxFileShare * static_cast<double>(budget_bytes_)) Compact();
  if (WriteRecord(fd_, payload, &file_bytes_)) return true;
  // If the disk is full, part of the record may have been written. It must be cut off before the next append.
  if (ftruncate(fd_, static_cast<off_t>(file_bytes_)) != 0) return false;
  return Compact() && WriteRecord(fd_, payload, &file_bytes_);
}

// Writes the index names, all excluded hosts and all open messages to a new file, which then replaces the old
// one atomically.
bool Journal::Compact() {
  const int next_fd = open(next_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  std::size_t file_bytes = 0;
  bool written = next_fd >= 0;
  if (written && index_names_ != config::IndexNames())
    written = WriteRecord(next_fd, EncodeIndexNames(index_names_), &file_bytes);
  for (const std::string& host : excluded_hosts_) {
    written = written && WriteRecord(next_fd, EncodeHostRecord(RecordType::kHostExcluded, host), &file_bytes);
  }
  for (auto it = entries_.begin(); written && it != entries_.end(); ++it) {
    const Entry& entry = it->second;
    written = WriteRecord(next_fd, EncodeAccepted(entry), &file_bytes);
    if (written && entry.open_attempt)
      written = WriteRecord(next_fd, EncodeAttemptBegun(it->first, *entry.open_attempt), &file_bytes);
    if (written && entry.ending)
      written = WriteRecord(next_fd, EncodeEnded(it->first, *entry.ending), &file_bytes);
  }
  written = written && rename(next_path_.c_str(), path_.c_str()) == 0;
  if (!written) {
    if (next_fd >= 0) close(next_fd);
    unlink(next_path_.c_str());
    return false;
  }
  close(std::exchange(fd_, next_fd));
  file_bytes_ = file_bytes;
  return true;
}

bool Journal::Accept(const Message& message) {
  Entry entry;
  entry.message = message;
  if (!Append(EncodeAccepted(entry))) return false;
  Insert(std::move(entry));
  return true;
}

bool Journal::BeginAttempt(const std::string& id, const Attempt& attempt) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !Append(EncodeAttemptBegun(id, attempt))) return false;
  it->second.BeginAttempt(attempt);
  return true;
}

bool Journal::EndAttempt(const std::string& id, bool may_have_run) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  it->second.EndAttempt(may_have_run);
  return Append(
      RecordWriter(RecordType::kAttemptEnded).Put(id).Put(static_cast<std::uint8_t>(may_have_run)).bytes());
}

bool Journal::RecordEnding(const std::string& id, const Ending& ending) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  it->second.ending = ending;
  return Append(EncodeEnded(id, ending));
}

bool Journal::ExcludeHost(const std::string& host) {
  if (excluded_hosts_.count(host) > 0) return true;
  if (excluded_hosts_.size() >= kMaxExcludedHosts ||
      !Append(EncodeHostRecord(RecordType::kHostExcluded, host)))
    return false;
  excluded_hosts_.insert(host);
  return true;
}

bool Journal::IncludeHost(const std::string& host) {
  if (excluded_hosts_.count(host) == 0) return true;
  if (!Append(EncodeHostRecord(RecordType::kHostIncluded, host))) return false;
  excluded_hosts_.erase(host);
  return true;
}

bool Journal::RecordIndexNames(const config::IndexNames& names) {
  if (names == index_names_) return true;
  if (!Append(EncodeIndexNames(names))) return false;
  index_names_ = names;
  return true;
}

bool Journal::Close(const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return true;
  Erase(it);
  return Append(RecordWriter(RecordType::kClosed).Put(id).bytes());
}

}  // namespace oxbowspread::journal
