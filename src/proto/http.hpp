// Incremental parser of HTTP/1.1 responses, built on http-parser. Performs no I/O.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace oxbowspread::proto {

// Status and headers of a response.
struct HttpResponseHead {
  int status = 0;
  std::uint64_t content_length = 0;  // from the Content-Length header; 0 if there is none
  // The kept headers, by name in lower case.
  std::map<std::string, std::string> headers;

  // Returns the value of the header with that lower-case name, or null if there is none.
  const std::string* Find(std::string_view name) const;
};

// Parses one response at a time from the bytes passed to Feed, and reports it to the handler, which must
// outlive the parser.
class HttpResponseParser {
 public:
  enum class State { kIncomplete, kComplete, kInvalid };

  static constexpr std::size_t kMaxNameBytes = 64;  // of a kept header
  static constexpr std::size_t kMaxValueBytes = 256;

  // Receives the parts of a response. Called from Feed and Finish.
  class Handler {
   public:
    virtual ~Handler() = default;
    // Called when all headers have arrived. Interim responses (1xx) are skipped; only the final response is
    // reported.
    virtual void OnHead(const HttpResponseHead& head) = 0;
    virtual void OnBody(std::string_view bytes) = 0;
    virtual void OnComplete(bool keep_alive) = 0;
  };

  // A response that is longer than `max_bytes`, or whose Content-Length is, is invalid; 0 means no limit. Of
  // the headers, only those with the given lower-case names are kept, with the first kMaxValueBytes bytes of
  // their values. The names must outlive the parser.
  explicit HttpResponseParser(Handler& handler, std::uint64_t max_bytes = 0,
                              std::span<const std::string_view> kept_headers = {});
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  // Prepares for the next response on the same connection.
  void Reset();
  // Consumes bytes until the response is complete or invalid. Returns the number of bytes consumed.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }
  // Returns the status code of a complete status line, even if the rest of the response is invalid. Returns 0
  // if the line is incomplete or malformed.
  int status_line_code() const { return status_line_code_; }
  // Returns whether no byte of the next response has arrived; complete interim responses do not count.
  bool at_start() const { return state_ == State::kIncomplete && status_line_.empty(); }
  // Must be called when the connection was closed, which completes a response without a length.
  void Finish();

 private:
  static int OnHeaderField(http_parser* parser, const char* data, std::size_t length);
  static int OnHeaderValue(http_parser* parser, const char* data, std::size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBodyBytes(http_parser* parser, const char* data, std::size_t length);
  static int OnMessageComplete(http_parser* parser);
  static HttpResponseParser& ParserOf(http_parser* parser) {
    return *static_cast<HttpResponseParser*>(parser->data);
  }
  bool interim() const { return parser_.status_code >= 100 && parser_.status_code < 200; }
  void BeginMessage();
  void ReadStatusLine(std::string_view bytes);
  void StoreHeader();
  void OnMessageEnd();

  Handler& handler_;
  const std::uint64_t max_bytes_;
  const std::span<const std::string_view> kept_headers_;
  http_parser parser_;
  http_parser_settings callbacks_;
  State state_ = State::kIncomplete;
  std::uint64_t consumed_ = 0;  // bytes of this response and of the interim responses before it
  HttpResponseHead head_;
  std::string status_line_, header_name_, header_value_;
  int status_line_code_ = 0;
  bool status_line_complete_ = false;
  bool in_header_value_ = false;
  bool keep_alive_ = false;
};

}  // namespace oxbowspread::proto
