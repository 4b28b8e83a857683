#include "proto/http.hpp"

#include <algorithm>
#include <cctype>

namespace oxbowspread::proto {
namespace {

constexpr std::size_t kMaxStatusLineBytes = 256;

// Returns the status code of a line like "HTTP/1.1 200 OK", whatever its reason phrase; 0 if it is malformed.
int ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  if (line.size() < 12 || line.substr(0, kVersion.size()) != kVersion || line[8] != ' ') return 0;
  int status = 0;
  for (const char c : line.substr(9, 3)) {
    if (c < '0' || c > '9') return 0;
    status = status * 10 + (c - '0');
  }
  return line.size() == 12 || line[12] == ' ' || line[12] == '\r' ? status : 0;
}

// Appends the first bytes, so that the text does not become longer than the limit.
void AppendUpTo(std::size_t max_bytes, std::string_view bytes, std::string* text) {
  text->append(bytes.substr(0, max_bytes - std::min(max_bytes, text->size())));
}

}  // namespace

const std::string* HttpResponseHead::Find(std::string_view name) const {
  const auto it = headers.find(std::string(name));
  return it == headers.end() ? nullptr : &it->second;
}

HttpResponseParser::HttpResponseParser(Handler& handler, std::uint64_t max_bytes,
                                       std::span<const std::string_view> kept_headers)
    : handler_(handler), max_bytes_(max_bytes), kept_headers_(kept_headers) {
  http_parser_settings_init(&callbacks_);
  callbacks_.on_header_field = OnHeaderField;
  callbacks_.on_header_value = OnHeaderValue;
  callbacks_.on_headers_complete = OnHeadersComplete;
  callbacks_.on_body = OnBodyBytes;
  callbacks_.on_message_complete = OnMessageComplete;
  Reset();
}

void HttpResponseParser::Reset() {
  state_ = State::kIncomplete;
  consumed_ = 0;
  BeginMessage();
}

void HttpResponseParser::BeginMessage() {
  status_line_.clear();
  status_line_code_ = 0;
  status_line_complete_ = false;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  head_ = HttpResponseHead();
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
}

std::size_t HttpResponseParser::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ == State::kIncomplete) {
    const std::string_view remaining = bytes.substr(consumed);
    ReadStatusLine(remaining);
    const std::size_t count = http_parser_execute(&parser_, &callbacks_, remaining.data(), remaining.size());
    consumed += count;
    consumed_ += count;
    const bool complete = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
    const bool too_long = max_bytes_ > 0 && (consumed_ > max_bytes_ || head_.content_length > max_bytes_);
    if (too_long || (!complete && count < remaining.size())) {
      state_ = State::kInvalid;
    } else if (complete) {
      OnMessageEnd();
    }
  }
  return consumed;
}

void HttpResponseParser::Finish() {
  if (state_ != State::kIncomplete) return;
  http_parser_execute(&parser_, &callbacks_, nullptr, 0);
  if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) OnMessageEnd();
}

void HttpResponseParser::OnMessageEnd() {
  if (interim()) return BeginMessage();
  state_ = State::kComplete;
  handler_.OnComplete(keep_alive_);
}

// Parses the status line separately, because http-parser rejects the whole response if one header is invalid.
void HttpResponseParser::ReadStatusLine(std::string_view bytes) {
  for (const char c : bytes) {
    if (status_line_complete_) return;
    if (status_line_.empty() && (c == '\r' || c == '\n')) continue;
    status_line_complete_ = c == '\n' || status_line_.size() == kMaxStatusLineBytes;
    if (c == '\n') status_line_code_ = ParseStatusLine(status_line_);
    status_line_ += c;
  }
}

void HttpResponseParser::StoreHeader() {
  std::transform(header_name_.begin(), header_name_.end(), header_name_.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (std::ranges::count(kept_headers_, header_name_) > 0) head_.headers[header_name_] = header_value_;
  header_name_.clear();
  header_value_.clear();
  in_header_value_ = false;
}

int HttpResponseParser::OnHeaderField(http_parser* parser, const char* data, std::size_t length) {
  HttpResponseParser& self = ParserOf(parser);
  if (self.in_header_value_) self.StoreHeader();
  AppendUpTo(kMaxNameBytes, {data, length}, &self.header_name_);
  return 0;
}

int HttpResponseParser::OnHeaderValue(http_parser* parser, const char* data, std::size_t length) {
  ParserOf(parser).in_header_value_ = true;
  AppendUpTo(kMaxValueBytes, {data, length}, &ParserOf(parser).header_value_);
  return 0;
}

int HttpResponseParser::OnHeadersComplete(http_parser* parser) {
  HttpResponseParser& self = ParserOf(parser);
  self.StoreHeader();
  if (self.interim()) return 0;
  self.head_.status = static_cast<int>(parser->status_code);
  if ((parser->flags & F_CONTENTLENGTH) != 0) self.head_.content_length = parser->content_length;
  self.handler_.OnHead(self.head_);
  return 0;
}

int HttpResponseParser::OnBodyBytes(http_parser* parser, const char* data, std::size_t length) {
  ParserOf(parser).handler_.OnBody({data, length});
  return 0;
}

int HttpResponseParser::OnMessageComplete(http_parser* parser) {
  // Pauses the parser, because the bytes that follow do not belong to this response.
  ParserOf(parser).keep_alive_ = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace oxbowspread::proto
