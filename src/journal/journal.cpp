#include "journal/journal.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>

#include "journal/records.hpp"

namespace oxbowspread::journal {
namespace {

constexpr std::size_t kChunkBytes = 64 * 1024;  // of reads and of the writes of a rewrite

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

// Collects records and writes them in chunks.
class ChunkWriter {
 public:
  explicit ChunkWriter(int fd) : fd_(fd) {}
  bool Add(const std::string& record) {
    chunk_ += record;
    return chunk_.size() < kChunkBytes || Flush();
  }
  bool Flush() {
    if (!WriteAll(fd_, chunk_)) return false;
    written_ += chunk_.size();
    chunk_.clear();
    return true;
  }
  std::size_t written() const { return written_; }

 private:
  int fd_;
  std::string chunk_;
  std::size_t written_ = 0;
};

std::string ReadAll(int fd, const std::string& path) {
  std::string bytes;
  std::string chunk(kChunkBytes, '\0');
  while (true) {
    const ssize_t count = read(fd, chunk.data(), chunk.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) ThrowSystemError("can't read " + path);
    if (count == 0) return bytes;
    bytes.append(chunk, 0, static_cast<std::size_t>(count));
  }
}

// Returns what is left of the limit beside the files of others in the folder.
std::size_t LimitWithoutOtherFiles(const std::string& folder, std::size_t limit_bytes) {
  std::size_t others = 0;
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = file.path().filename();
    if (name == "journal" || name == "journal.next" || !file.is_regular_file(error)) continue;
    const std::uintmax_t bytes = file.file_size(error);
    if (!error) others += FolderBudget::CountedBytes(bytes);
  }
  return limit_bytes - std::min(limit_bytes, others);
}

std::size_t ExcludedHostBytes(const std::string& host) {
  return EncodeHostRecord(RecordType::kHostExcluded, host).size();
}

std::size_t IndexNamesBytes(const config::IndexNames& names) {
  return names == config::IndexNames() ? 0 : EncodeIndexNames(names).size();
}

}  // namespace

Journal::Journal(const std::string& folder, std::size_t limit_bytes,
                 const std::set<std::string>& still_in_flight)
    : path_(folder + "/journal"),
      next_path_(folder + "/journal.next"),
      budget_(LimitWithoutOtherFiles(folder, limit_bytes)) {
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

// ---- recovery ----

void Journal::Recover(const std::set<std::string>& still_in_flight) {
  const std::string bytes = ReadAll(fd_, path_);
  std::size_t offset = 0;
  while (true) {
    std::size_t record_bytes = 0;
    const auto payload = FirstPayload(std::string_view(bytes).substr(offset), &record_bytes);
    if (!payload || !Apply(*payload)) break;
    offset += record_bytes;
  }
  // The process was killed during a write. No action was based on the incomplete record after the last
  // complete one.
  truncated_bytes_ = bytes.size() - offset;
  if (truncated_bytes_ > 0 && ftruncate(fd_, static_cast<off_t>(offset)) != 0)
    ThrowSystemError("can't truncate " + path_);
  budget_.SetFileBytes(offset);
  for (auto& [id, entry] : entries_) {
    if (entry.open_attempt && still_in_flight.count(id) == 0)
      Change(entry, [](Entry& changed) { changed.EndAttempt(true); });
  }
  if (budget_.CanRewrite() || budget_.MustShrink()) Rewrite();
}

bool Journal::Apply(std::string_view payload) {
  RecordReader reader(payload);
  const RecordType type = reader.GetType();
  const std::string id = reader.GetText();
  if (type == RecordType::kAccepted) {
    Entry entry = reader.GetAccepted(id);
    if (reader.valid()) Insert(std::move(entry));
    return reader.valid();
  }
  if (type == RecordType::kHostExcluded || type == RecordType::kHostIncluded) {
    if (reader.valid()) SetExcluded(id, type == RecordType::kHostExcluded);
    return reader.valid();
  }
  if (type == RecordType::kIndexNames) {
    config::IndexNames names = reader.GetIndexNames();
    if (reader.valid()) SetIndexNames(std::move(names));
    return reader.valid();
  }
  const auto it = entries_.find(id);
  if (it == entries_.end()) return reader.valid();
  Entry& entry = it->second;
  switch (type) {
    case RecordType::kAttemptBegun: {
      const Attempt attempt = reader.GetAttempt();
      Change(entry, [&](Entry& changed) { changed.BeginAttempt(attempt); });
      return reader.valid();
    }
    case RecordType::kAttemptEnded: {
      const bool may_have_run = reader.GetBool();
      Change(entry, [&](Entry& changed) { changed.EndAttempt(may_have_run); });
      return reader.valid();
    }
    case RecordType::kEnded:
      SetEnding(entry, reader.GetEnding());
      return reader.valid();
    case RecordType::kClosed:
      Erase(it);
      return reader.valid();
    default:
      return false;
  }
}

// ---- state in memory ----

Entry& Journal::Insert(Entry entry) {
  const std::string id = entry.message.id;
  if (const auto it = entries_.find(id); it != entries_.end()) Erase(it);
  budget_.Reserve(MaxEntryBytes(entry));
  return entries_[id] = std::move(entry);
}

void Journal::Erase(std::map<std::string, Entry>::iterator it) {
  budget_.Release(MaxEntryBytes(it->second));
  entries_.erase(it);
}

void Journal::Change(Entry& entry, const std::function<void(Entry&)>& change) {
  budget_.Release(MaxEntryBytes(entry));
  change(entry);
  budget_.Reserve(MaxEntryBytes(entry));
}

// A message that has ended is not attempted again, so only its notice is still needed.
void Journal::SetEnding(Entry& entry, const Ending& ending) {
  Change(entry, [&](Entry& changed) {
    changed.ending = ending;
    changed.message.body = std::string();
  });
}

void Journal::SetExcluded(const std::string& host, bool excluded) {
  if (excluded && excluded_hosts_.insert(host).second) budget_.Reserve(ExcludedHostBytes(host));
  if (!excluded && excluded_hosts_.erase(host) > 0) budget_.Release(ExcludedHostBytes(host));
}

void Journal::SetIndexNames(config::IndexNames names) {
  budget_.Release(IndexNamesBytes(index_names_));
  budget_.Reserve(IndexNamesBytes(names));
  index_names_ = std::move(names);
}

const Entry* Journal::Find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

FolderBudget::Room Journal::RoomFor(const Message& message) const {
  return budget_.RoomForMessage(MaxEntryBytes(message));
}

Journal::Reservation Journal::Reserve(const Message& message) {
  return Reservation(budget_, MaxEntryBytes(message));
}

// ---- the file ----

bool Journal::CutOffIncompleteRecord() {
  if (!ends_with_incomplete_record_) return true;
  ends_with_incomplete_record_ = ftruncate(fd_, static_cast<off_t>(budget_.file_bytes())) != 0;
  return !ends_with_incomplete_record_;
}

// If the disk is full, part of the record may have been written. It must be cut off before the next append.
bool Journal::WriteAtEnd(const std::string& record) {
  if (!CutOffIncompleteRecord()) return false;
  if (WriteAll(fd_, record)) {
    budget_.SetFileBytes(budget_.file_bytes() + record.size());
    return true;
  }
  ends_with_incomplete_record_ = true;
  CutOffIncompleteRecord();
  return false;
}

bool Journal::Append(const std::string& record, std::size_t growth_bytes, Importance importance) {
  if (fd_ < 0 || record.size() > kMaxPayloadBytes) return false;  // the first if the journal was released
  const FolderBudget::AppendPlan plan = budget_.PlanAppend(record.size(), growth_bytes);
  const bool rewrite_failed = plan == FolderBudget::AppendPlan::kRewriteFirst && !Rewrite();
  const bool fits = budget_.CanAppend(record.size());
  if (rewrite_failed && !fits) return false;
  if ((rewrite_failed || !fits) && importance == Importance::kNewPromise) return false;
  if (WriteAtEnd(record)) return true;
  // A rewrite frees space on a full disk if much of the file is of closed messages.
  return budget_.CanRewrite() && Rewrite() && WriteAtEnd(record);
}

// Writes the index names, all excluded hosts and all open messages.
bool Journal::WriteOpenRecords(int fd, std::size_t* written) {
  ChunkWriter writer(fd);
  if (index_names_ != config::IndexNames() && !writer.Add(EncodeIndexNames(index_names_))) return false;
  for (const std::string& host : excluded_hosts_) {
    if (!writer.Add(EncodeHostRecord(RecordType::kHostExcluded, host))) return false;
  }
  for (const auto& [id, entry] : entries_) {
    if (!writer.Add(EncodeAccepted(entry))) return false;
    if (entry.open_attempt && !writer.Add(EncodeAttemptBegun(id, *entry.open_attempt))) return false;
    if (entry.ending && !writer.Add(EncodeEnded(id, *entry.ending))) return false;
  }
  if (!writer.Flush()) return false;
  *written = writer.written();
  return true;
}

// The new file replaces the old one atomically.
bool Journal::Rewrite() {
  const int next_fd = open(next_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (next_fd < 0) return false;
  std::size_t next_bytes = 0;
  if (!WriteOpenRecords(next_fd, &next_bytes) || rename(next_path_.c_str(), path_.c_str()) != 0) {
    close(next_fd);
    unlink(next_path_.c_str());
    return false;
  }
  close(std::exchange(fd_, next_fd));
  ends_with_incomplete_record_ = false;
  budget_.RecordRewrite(next_bytes);
  rewrites_ += 1;
  return true;
}

// ---- changes ----

bool Journal::Accept(const Message& message, Reservation) {
  Entry entry;
  entry.message = message;
  if (!Append(EncodeAccepted(entry), 0, Importance::kNewPromise)) return false;
  Insert(std::move(entry));
  return true;
}

bool Journal::BeginAttempt(const std::string& id, const Attempt& attempt) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  const std::size_t growth_bytes = MaxEntryBytes(it->second, attempt.host.size()) - MaxEntryBytes(it->second);
  if (growth_bytes > 0 && !budget_.HasRoomForNames(growth_bytes)) return false;
  if (!Append(EncodeAttemptBegun(id, attempt), growth_bytes, Importance::kOwed)) return false;
  Change(it->second, [&](Entry& changed) { changed.BeginAttempt(attempt); });
  return true;
}

bool Journal::EndAttempt(const std::string& id, bool may_have_run) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  Change(it->second, [&](Entry& changed) { changed.EndAttempt(may_have_run); });
  return Append(EncodeAttemptEnded(id, may_have_run), 0, Importance::kOwed);
}

bool Journal::RecordEnding(const std::string& id, const Ending& ending) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  SetEnding(it->second, ending);
  return Append(EncodeEnded(id, ending), 0, Importance::kOwed);
}

bool Journal::Close(const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return true;
  Erase(it);
  return Append(EncodeClosed(id), 0, Importance::kOwed);
}

bool Journal::ExcludeHost(const std::string& host) {
  if (excluded_hosts_.count(host) > 0) return true;
  const std::string record = EncodeHostRecord(RecordType::kHostExcluded, host);
  if (excluded_hosts_.size() >= kMaxExcludedHosts || !budget_.HasRoomForNames(record.size()) ||
      !Append(record, record.size(), Importance::kNewPromise))
    return false;
  SetExcluded(host, true);
  return true;
}

bool Journal::IncludeHost(const std::string& host) {
  if (excluded_hosts_.count(host) == 0) return true;
  if (!Append(EncodeHostRecord(RecordType::kHostIncluded, host), 0, Importance::kOwed)) return false;
  SetExcluded(host, false);
  return true;
}

bool Journal::RecordIndexNames(const config::IndexNames& names) {
  if (names == index_names_) return true;
  const std::string record = EncodeIndexNames(names);
  if (!budget_.HasRoomForNames(record.size()) || !Append(record, record.size(), Importance::kNewPromise))
    return false;
  SetIndexNames(names);
  return true;
}

}  // namespace oxbowspread::journal
