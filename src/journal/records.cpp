#include "journal/records.hpp"

#include <zlib.h>

#include <algorithm>
#include <cstring>
#include <type_traits>

namespace oxbowspread::journal {
namespace {

constexpr std::size_t kHeaderBytes = 8;  // length and checksum before each payload

// Counts the bytes that are appended to it.
class ByteCounter {
 public:
  void append(const char*, std::size_t count) { bytes_ += count; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t bytes_ = 0;
};

// Serializes the payload of a record to `Output`, a std::string or a ByteCounter.
template <typename Output>
class PayloadWriter {
 public:
  explicit PayloadWriter(RecordType type) { Put(type); }
  template <typename T>
  PayloadWriter& Put(T value) {
    static_assert(std::is_trivially_copyable_v<T>);
    output_.append(reinterpret_cast<const char*>(&value), sizeof value);
    return *this;
  }
  PayloadWriter& Put(const std::string& text) {
    Put(static_cast<std::uint32_t>(text.size()));
    output_.append(text.data(), text.size());
    return *this;
  }
  PayloadWriter& Put(const std::vector<std::string>& texts) {
    Put(static_cast<std::uint32_t>(texts.size()));
    for (const std::string& text : texts) Put(text);
    return *this;
  }
  PayloadWriter& Put(const wheathub::MessageClass& message_class) {
    Put(static_cast<std::uint8_t>(message_class.semantics))
        .Put(std::uint8_t{message_class.repeats_bound_to_zone});
    Put(std::uint8_t{message_class.ordered})
        .Put(message_class.aim.count())
        .Put(message_class.deadline.count());
    return Put(message_class.repeat_window.count()).Put(message_class.worth).Put(message_class.late_value);
  }
  PayloadWriter& Put(const Attempt& attempt) {
    return Put(attempt.host).Put(std::int32_t{attempt.zone}).Put(attempt.started_at.count());
  }
  const Output& output() const { return output_; }

 private:
  Output output_;
};

// `history` is an entry whose message is not used.
template <typename Output>
Output WriteAccepted(const Message& message, const Entry& history) {
  PayloadWriter<Output> writer(RecordType::kAccepted);
  writer.Put(message.id)
      .Put(message.key)
      .Put(message.class_name)
      .Put(message.destination)
      .Put(message.deadline.count());
  writer.Put(static_cast<std::uint8_t>(message.resubmitted)).Put(message.body);
  writer.Put(std::int32_t{history.attempts - (history.open_attempt ? 1 : 0)}).Put(history.last_host);
  writer.Put(static_cast<std::uint8_t>(history.first_uncertain.has_value()))
      .Put(history.first_uncertain.value_or(Attempt()));
  if (message.class_settings) writer.Put(*message.class_settings);
  return writer.output();
}

template <typename Output>
Output WriteAttemptBegun(const std::string& id, const Attempt& attempt) {
  return PayloadWriter<Output>(RecordType::kAttemptBegun).Put(id).Put(attempt).output();
}

template <typename Output>
Output WriteEnded(const std::string& id, const Ending& ending) {
  return PayloadWriter<Output>(RecordType::kEnded)
      .Put(id)
      .Put(static_cast<std::uint8_t>(ending.deferred))
      .Put(ending.retry_after_ms)
      .output();
}

std::uint32_t Checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

// Returns the record with that payload.
std::string WithHeader(const std::string& payload) {
  const std::uint32_t header[2] = {static_cast<std::uint32_t>(payload.size()), Checksum(payload)};
  static_assert(sizeof header == kHeaderBytes);
  std::string record;
  record.reserve(sizeof header + payload.size());
  record.append(reinterpret_cast<const char*>(header), sizeof header);
  return record += payload;
}

// Returns the most bytes that the records of a message with that history can take in a rewritten file.
std::size_t MaxRecordBytes(const Message& message, const Entry& history, std::size_t host_bytes) {
  const std::size_t last_host_bytes = history.last_host.size();
  const std::size_t uncertain_host_bytes = history.first_uncertain ? history.first_uncertain->host.size() : 0;
  const std::size_t open_host_bytes = history.open_attempt ? history.open_attempt->host.size() : 0;
  const std::size_t max_host_bytes =
      std::max({kReservedHostBytes, host_bytes, last_host_bytes, uncertain_host_bytes, open_host_bytes});
  const std::size_t accepted_bytes = WriteAccepted<ByteCounter>(message, history).bytes() - last_host_bytes -
                                     uncertain_host_bytes + 2 * max_host_bytes;
  const std::size_t begun_bytes =
      WriteAttemptBegun<ByteCounter>(message.id, Attempt()).bytes() + max_host_bytes;
  const std::size_t ended_bytes = WriteEnded<ByteCounter>(message.id, Ending()).bytes();
  return 3 * kHeaderBytes + accepted_bytes + begun_bytes + ended_bytes;
}

}  // namespace

std::string EncodeAccepted(const Entry& entry) {
  return WithHeader(WriteAccepted<std::string>(entry.message, entry));
}

std::string EncodeAttemptBegun(const std::string& id, const Attempt& attempt) {
  return WithHeader(WriteAttemptBegun<std::string>(id, attempt));
}

std::string EncodeAttemptEnded(const std::string& id, bool may_have_run) {
  return WithHeader(PayloadWriter<std::string>(RecordType::kAttemptEnded)
                        .Put(id)
                        .Put(static_cast<std::uint8_t>(may_have_run))
                        .output());
}

std::string EncodeEnded(const std::string& id, const Ending& ending) {
  return WithHeader(WriteEnded<std::string>(id, ending));
}

std::string EncodeClosed(const std::string& id) {
  return WithHeader(PayloadWriter<std::string>(RecordType::kClosed).Put(id).output());
}

std::string EncodeHostRecord(RecordType type, const std::string& host) {
  return WithHeader(PayloadWriter<std::string>(type).Put(host).output());
}

// The record has an empty message id. Versions that don't know the type ignore a record of an unknown
// message.
std::string EncodeIndexNames(const config::IndexNames& names) {
  return WithHeader(PayloadWriter<std::string>(RecordType::kIndexNames)
                        .Put(std::string())
                        .Put(names.zones)
                        .Put(names.kinds)
                        .output());
}

std::size_t MaxEntryBytes(const Entry& entry, std::size_t host_bytes) {
  return MaxRecordBytes(entry.message, entry, host_bytes);
}

std::size_t MaxEntryBytes(const Message& message) { return MaxRecordBytes(message, Entry(), 0); }

std::optional<std::string_view> FirstPayload(std::string_view bytes, std::size_t* record_bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  std::uint32_t header[2];
  std::memcpy(header, bytes.data(), sizeof header);
  const std::size_t payload_bytes = header[0];
  if (payload_bytes > kMaxPayloadBytes || payload_bytes > bytes.size() - kHeaderBytes) return std::nullopt;
  const std::string_view payload = bytes.substr(kHeaderBytes, payload_bytes);
  if (Checksum(payload) != header[1]) return std::nullopt;
  *record_bytes = kHeaderBytes + payload_bytes;
  return payload;
}

template <typename T>
T RecordReader::Get() {
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

RecordType RecordReader::GetType() { return static_cast<RecordType>(Get<std::uint8_t>()); }

bool RecordReader::GetBool() { return Get<std::uint8_t>() != 0; }

std::string RecordReader::GetText() {
  const auto size = Get<std::uint32_t>();
  valid_ = valid_ && size <= remaining_.size();
  if (!valid_) return {};
  std::string text(remaining_.substr(0, size));
  remaining_.remove_prefix(size);
  return text;
}

std::vector<std::string> RecordReader::GetTexts() {
  std::vector<std::string> texts;
  const auto count = Get<std::uint32_t>();
  for (std::uint32_t i = 0; i < count && valid_; ++i) texts.push_back(GetText());
  return texts;
}

Attempt RecordReader::GetAttempt() {
  Attempt attempt;
  attempt.host = GetText();
  attempt.zone = Get<std::int32_t>();
  attempt.started_at = Time(Get<Time::rep>());
  return attempt;
}

Ending RecordReader::GetEnding() {
  Ending ending;
  ending.deferred = GetBool();
  ending.retry_after_ms = Get<std::int64_t>();
  return ending;
}

config::IndexNames RecordReader::GetIndexNames() {
  config::IndexNames names;
  names.zones = GetTexts();
  names.kinds = GetTexts();
  return names;
}

Entry RecordReader::GetAccepted(const std::string& id) {
  Entry entry;
  Message& message = entry.message;
  message.id = id;
  message.key = GetText();
  message.class_name = GetText();
  message.destination = Get<std::int64_t>();
  message.deadline = Time(Get<Time::rep>());
  message.resubmitted = GetBool();
  message.body = GetText();
  entry.attempts = Get<std::int32_t>();
  entry.last_host = GetText();
  const bool has_uncertain = GetBool();
  const Attempt first_uncertain = GetAttempt();
  if (has_uncertain) entry.first_uncertain = first_uncertain;
  if (!remaining_.empty()) message.class_settings = GetClass(message.class_name);
  return entry;
}

wheathub::MessageClass RecordReader::GetClass(const std::string& name) {
  wheathub::MessageClass message_class;
  message_class.name = name;
  message_class.semantics = static_cast<wheathub::Semantics>(Get<std::uint8_t>());
  message_class.repeats_bound_to_zone = GetBool();
  message_class.ordered = GetBool();
  message_class.aim = Time(Get<Time::rep>());
  message_class.deadline = Time(Get<Time::rep>());
  message_class.repeat_window = Time(Get<Time::rep>());
  message_class.worth = Get<double>();
  message_class.late_value = Get<double>();
  return message_class;
}

}  // namespace oxbowspread::journal
