#include "proto/http.hpp"

#include <algorithm>
#include <cctype>

namespace oxbowspread::proto {
namespace {

constexpr std::size_t kLongestFirstLine = 256;

// "HTTP/1.1 200" with whatever reason behind it.
int StatusOf(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  if (line.size() < 12 || line.substr(0, kVersion.size()) != kVersion || line[8] != ' ') return 0;
  int status = 0;
  for (const char c : line.substr(9, 3)) {
    if (c < '0' || c > '9') return 0;
    status = status * 10 + (c - '0');
  }
  return line.size() == 12 || line[12] == ' ' || line[12] == '\r' ? status : 0;
}

}  // namespace

const std::string* HttpHead::Find(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? nullptr : &it->second;
}

HttpReader::HttpReader(Handler& handler, std::uint64_t longest) : handler_(handler), longest_(longest) {
  http_parser_settings_init(&calls_);
  calls_.on_header_field = OnField;
  calls_.on_header_value = OnValue;
  calls_.on_headers_complete = OnHeadersComplete;
  calls_.on_body = OnBodyBytes;
  calls_.on_message_complete = OnMessageComplete;
  Reset();
}

void HttpReader::Reset() {
  state_ = State::kMore;
  taken_ = 0;
  BeginMessage();
}

void HttpReader::BeginMessage() {
  first_line_.clear();
  first_line_status_ = 0;
  first_line_over_ = false;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  head_ = HttpHead();
  field_.clear();
  value_.clear();
  in_value_ = false;
}

std::size_t HttpReader::Feed(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && state_ == State::kMore) {
    const std::string_view rest = bytes.substr(taken);
    TakeFirstLine(rest);
    const std::size_t count = http_parser_execute(&parser_, &calls_, rest.data(), rest.size());
    taken += count;
    taken_ += count;
    const bool ended = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
    const bool too_long = longest_ > 0 && (taken_ > longest_ || head_.length > longest_);
    if (too_long || (!ended && count < rest.size())) {
      state_ = State::kBad;
    } else if (ended) {
      Ended();
    }
  }
  return taken;
}

void HttpReader::Finish() {
  if (state_ != State::kMore) return;
  http_parser_execute(&parser_, &calls_, nullptr, 0);
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) Ended();
}

void HttpReader::Ended() {
  if (interim()) return BeginMessage();
  state_ = State::kWhole;
  handler_.OnWhole(keep_alive_);
}

// Read beside the parser, which gives up an answer as a whole where one header of it makes no sense.
void HttpReader::TakeFirstLine(std::string_view bytes) {
  for (const char c : bytes) {
    if (first_line_over_) return;
    if (first_line_.empty() && (c == '\r' || c == '\n')) continue;
    first_line_over_ = c == '\n' || first_line_.size() == kLongestFirstLine;
    if (c == '\n') first_line_status_ = StatusOf(first_line_);
    first_line_ += c;
  }
}

void HttpReader::KeepField() {
  std::transform(field_.begin(), field_.end(), field_.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (!field_.empty()) head_.headers[field_] = value_;
  field_.clear();
  value_.clear();
  in_value_ = false;
}

int HttpReader::OnField(http_parser* parser, const char* at, std::size_t length) {
  HttpReader& reader = Of(parser);
  if (reader.in_value_) reader.KeepField();
  reader.field_.append(at, length);
  return 0;
}

int HttpReader::OnValue(http_parser* parser, const char* at, std::size_t length) {
  Of(parser).in_value_ = true;
  Of(parser).value_.append(at, length);
  return 0;
}

int HttpReader::OnHeadersComplete(http_parser* parser) {
  HttpReader& reader = Of(parser);
  reader.KeepField();
  if (reader.interim()) return 0;
  reader.head_.status = static_cast<int>(parser->status_code);
  if ((parser->flags & F_CONTENTLENGTH) != 0) reader.head_.length = parser->content_length;
  reader.handler_.OnHead(reader.head_);
  return 0;
}

int HttpReader::OnBodyBytes(http_parser* parser, const char* at, std::size_t length) {
  Of(parser).handler_.OnBody({at, length});
  return 0;
}

int HttpReader::OnMessageComplete(http_parser* parser) {
  // Stops here: what follows belongs to no answer, or to the next one.
  Of(parser).keep_alive_ = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace oxbowspread::proto
