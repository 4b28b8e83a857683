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

enum class Type : std::uint8_t {
  kAccepted = 1,
  kAttemptBegun,
  kAttemptEnded,
  kEnded,
  kClosed,
  kHostOut,
  kHostBack
};

constexpr std::size_t kFrame = 8;
constexpr std::size_t kLongest = 256 * 1024;  // of a payload: more is no record
constexpr std::size_t kRecordsOfOne = 560;    // what an entry takes beside its body, at most
// Old and new file stand side by side while one is rewritten, and both count: .45 + .45 of the budget.
constexpr double kFileShare = 0.45;
constexpr double kLiveShare = 0.38;  // less, else a full journal would be rewritten at each append

class Writer {
 public:
  explicit Writer(Type type) { Put(type); }
  template <typename T>
  Writer& Put(T value) {
    static_assert(std::is_trivially_copyable_v<T>);
    bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
    return *this;
  }
  Writer& Put(const std::string& text) {
    Put(static_cast<std::uint32_t>(text.size()));
    bytes_ += text;
    return *this;
  }
  Writer& Put(const wheathub::MessageClass& c) {
    Put(static_cast<std::uint8_t>(c.semantics)).Put(std::uint8_t{c.repeats_bound_to_zone});
    Put(std::uint8_t{c.ordered}).Put(c.aim.count()).Put(c.deadline.count());
    return Put(c.repeat_window.count()).Put(c.worth).Put(c.late_value);
  }
  Writer& Put(const Attempt& attempt) {
    return Put(attempt.host).Put(std::int32_t{attempt.zone}).Put(attempt.at.count());
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

class Parser {
 public:
  explicit Parser(std::string_view bytes) : rest_(bytes) {}
  template <typename T>
  T Get() {
    T value{};
    if (rest_.size() < sizeof value) {
      good_ = false;
      rest_ = {};
      return value;
    }
    std::memcpy(&value, rest_.data(), sizeof value);
    rest_.remove_prefix(sizeof value);
    return value;
  }
  std::string Text() {
    const auto size = Get<std::uint32_t>();
    good_ = good_ && size <= rest_.size();
    if (!good_) return {};
    std::string text(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return text;
  }
  Attempt GetAttempt() {
    Attempt attempt;
    attempt.host = Text();
    attempt.zone = Get<std::int32_t>();
    attempt.at = Time(Get<Time::rep>());
    return attempt;
  }
  wheathub::MessageClass GetClass(const std::string& name) {
    wheathub::MessageClass c;
    c.name = name;
    c.semantics = static_cast<wheathub::Semantics>(Get<std::uint8_t>());
    c.repeats_bound_to_zone = Get<std::uint8_t>() != 0;
    c.ordered = Get<std::uint8_t>() != 0;
    c.aim = Time(Get<Time::rep>());
    c.deadline = Time(Get<Time::rep>());
    c.repeat_window = Time(Get<Time::rep>());
    c.worth = Get<double>();
    c.late_value = Get<double>();
    return c;
  }
  bool good() const { return good_; }
  bool empty() const { return rest_.empty(); }

 private:
  std::string_view rest_;
  bool good_ = true;
};

std::uint32_t Checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::string Accepted(const Entry& e) {
  const Message& a = e.message;
  Writer w(Type::kAccepted);
  w.Put(a.id).Put(a.key).Put(a.class_name).Put(a.destination).Put(a.ends_at.count());
  w.Put(static_cast<std::uint8_t>(a.again)).Put(a.body);
  // The history that a rewritten file carries on; the open attempt follows as a record of its own.
  w.Put(std::int32_t{e.attempts - (e.open ? 1 : 0)}).Put(e.last_host);
  w.Put(static_cast<std::uint8_t>(e.first_risk.has_value())).Put(e.first_risk.value_or(Attempt()));
  if (a.rules) w.Put(*a.rules);
  return w.bytes();
}
std::string AttemptBegun(const std::string& id, const Attempt& attempt) {
  return Writer(Type::kAttemptBegun).Put(id).Put(attempt).bytes();
}
std::string Ended(const std::string& id, const Ending& ending) {
  return Writer(Type::kEnded)
      .Put(id)
      .Put(static_cast<std::uint8_t>(ending.deferred))
      .Put(ending.again_ms)
      .bytes();
}

std::string HostRecord(Type type, const std::string& host) { return Writer(type).Put(host).bytes(); }

std::size_t Size(const Entry& e) { return kRecordsOfOne + e.message.body.size(); }

[[noreturn]] void Throw(const std::string& what) {
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

Journal::Journal(const std::string& folder, std::size_t budget, const std::set<std::string>& still_out)
    : path_(folder + "/journal"), next_path_(folder + "/journal.next"), budget_(budget) {
  unlink(next_path_.c_str());  // a rewrite that the last process did not finish
  fd_ = open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (fd_ < 0) Throw("can't open " + path_);
  Recover(still_out);
}

Journal::~Journal() {
  if (fd_ >= 0) close(fd_);
}

void Journal::Release() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

void Journal::Recover(const std::set<std::string>& still_out) {
  std::string bytes;
  char chunk[65536];
  while (true) {
    const ssize_t count = read(fd_, chunk, sizeof chunk);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) Throw("can't read " + path_);
    if (count == 0) break;
    bytes.append(chunk, static_cast<std::size_t>(count));
  }
  std::size_t at = 0;
  while (bytes.size() - at >= kFrame) {
    std::uint32_t frame[2];
    std::memcpy(frame, bytes.data() + at, sizeof frame);
    if (frame[0] > kLongest || frame[0] > bytes.size() - at - kFrame) break;
    const std::string_view payload(bytes.data() + at + kFrame, frame[0]);
    if (Checksum(payload) != frame[1] || !Apply(payload)) break;
    at += kFrame + frame[0];
  }
  // Killed in the middle of a write: what follows the last whole record was never relied on.
  cut_bytes_ = bytes.size() - at;
  if (cut_bytes_ > 0 && ftruncate(fd_, static_cast<off_t>(at)) != 0) Throw("can't cut " + path_);
  file_bytes_ = at;
  for (auto& [id, e] : entries_) {
    if (e.open && still_out.count(id) == 0) e.EndAttempt(true);
  }
  Compact();
}

bool Journal::Apply(std::string_view payload) {
  Parser p(payload);
  const auto type = static_cast<Type>(p.Get<std::uint8_t>());
  const std::string id = p.Text();
  if (type == Type::kAccepted) {
    Entry e;
    Message& a = e.message;
    a.id = id;
    a.key = p.Text();
    a.class_name = p.Text();
    a.destination = p.Get<std::int64_t>();
    a.ends_at = Time(p.Get<Time::rep>());
    a.again = p.Get<std::uint8_t>() != 0;
    a.body = p.Text();
    e.attempts = p.Get<std::int32_t>();
    e.last_host = p.Text();
    const bool risk = p.Get<std::uint8_t>() != 0;
    const Attempt first = p.GetAttempt();
    if (risk) e.first_risk = first;
    if (!p.empty()) a.rules = p.GetClass(a.class_name);
    if (p.good()) Keep(std::move(e));
    return p.good();
  }
  if (type == Type::kHostOut || type == Type::kHostBack) {
    if (p.good() && type == Type::kHostOut) out_.insert(id);
    if (p.good() && type == Type::kHostBack) out_.erase(id);
    return p.good();
  }
  const auto it = entries_.find(id);
  if (it == entries_.end()) return p.good();
  Entry& e = it->second;
  switch (type) {
    case Type::kAttemptBegun:
      e.BeginAttempt(p.GetAttempt());
      return p.good();
    case Type::kAttemptEnded:
      e.EndAttempt(p.Get<std::uint8_t>() != 0);
      return p.good();
    case Type::kEnded:
      e.ending = Ending{p.Get<std::uint8_t>() != 0, p.Get<std::int64_t>()};
      return p.good();
    case Type::kClosed:
      Erase(it);
      return p.good();
    default:
      return false;
  }
}

Entry& Journal::Keep(Entry entry) {
  const std::string id = entry.message.id;
  live_bytes_ += Size(entry);
  return entries_[id] = std::move(entry);
}

void Journal::Erase(std::map<std::string, Entry>::iterator it) {
  live_bytes_ -= Size(it->second);
  entries_.erase(it);
}

const Entry* Journal::Find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

bool Journal::CanHold(std::size_t body) const {
  return static_cast<double>(live_bytes_ + kRecordsOfOne + body) <= kLiveShare * static_cast<double>(budget_);
}

bool Journal::WriteFrame(int fd, const std::string& payload, std::size_t* written) {
  const std::uint32_t frame[2] = {static_cast<std::uint32_t>(payload.size()), Checksum(payload)};
  std::string bytes(reinterpret_cast<const char*>(frame), sizeof frame);
  bytes += payload;
  if (!WriteAll(fd, bytes)) return false;
  *written += bytes.size();
  return true;
}

bool Journal::Append(const std::string& payload) {
  if (fd_ < 0) return false;  // released
  const std::size_t after = file_bytes_ + kFrame + payload.size();
  if (static_cast<double>(after) > kFileShare * static_cast<double>(budget_)) Compact();
  if (WriteFrame(fd_, payload, &file_bytes_)) return true;
  // A full disk may have taken half a record: nothing may follow that.
  if (ftruncate(fd_, static_cast<off_t>(file_bytes_)) != 0) return false;
  return Compact() && WriteFrame(fd_, payload, &file_bytes_);
}

// Writes what is owed to a new file that takes the old one's place in one step.
bool Journal::Compact() {
  const int next = open(next_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  std::size_t size = 0;
  bool good = next >= 0;
  for (const std::string& host : out_) {
    good = good && WriteFrame(next, HostRecord(Type::kHostOut, host), &size);
  }
  for (auto it = entries_.begin(); good && it != entries_.end(); ++it) {
    const Entry& e = it->second;
    good = WriteFrame(next, Accepted(e), &size);
    if (good && e.open) good = WriteFrame(next, AttemptBegun(it->first, *e.open), &size);
    if (good && e.ending) good = WriteFrame(next, Ended(it->first, *e.ending), &size);
  }
  good = good && rename(next_path_.c_str(), path_.c_str()) == 0;
  if (!good) {
    if (next >= 0) close(next);
    unlink(next_path_.c_str());
    return false;
  }
  close(std::exchange(fd_, next));
  file_bytes_ = size;
  return true;
}

bool Journal::Accept(const Message& message) {
  Entry e;
  e.message = message;
  if (!Append(Accepted(e))) return false;
  Keep(std::move(e));
  return true;
}

bool Journal::BeginAttempt(const std::string& id, const Attempt& attempt) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !Append(AttemptBegun(id, attempt))) return false;
  it->second.BeginAttempt(attempt);
  return true;
}

bool Journal::EndAttempt(const std::string& id, bool may_have_run) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  it->second.EndAttempt(may_have_run);
  return Append(Writer(Type::kAttemptEnded).Put(id).Put(static_cast<std::uint8_t>(may_have_run)).bytes());
}

bool Journal::End(const std::string& id, const Ending& ending) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return false;
  it->second.ending = ending;
  return Append(Ended(id, ending));
}

bool Journal::TakeOut(const std::string& host) {
  if (out_.count(host) > 0) return true;
  if (out_.size() >= kMostOut || !Append(HostRecord(Type::kHostOut, host))) return false;
  out_.insert(host);
  return true;
}

bool Journal::PutBack(const std::string& host) {
  if (out_.count(host) == 0) return true;
  if (!Append(HostRecord(Type::kHostBack, host))) return false;
  out_.erase(host);
  return true;
}

bool Journal::Close(const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return true;
  Erase(it);
  return Append(Writer(Type::kClosed).Put(id).bytes());
}

}  // namespace oxbowspread::journal
