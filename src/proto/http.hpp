// Answers of HTTP/1.1 as a client reads them: a machine over http-parser that is fed bytes. Knows no socket.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oxbowspread::proto {

struct HttpHead {
  int status = 0;
  std::uint64_t length = 0;                    // as told; 0 if it isn't
  std::map<std::string, std::string> headers;  // names in lower case

  const std::string* Find(const std::string& name) const;
};

class HttpReader {
 public:
  enum class State { kMore, kWhole, kBad };

  class Handler {
   public:
    virtual ~Handler() = default;
    // Interim answers (1xx) are passed over: these tell of the one that they precede.
    virtual void OnHead(const HttpHead& head) = 0;
    virtual void OnBody(std::string_view bytes) = 0;
    virtual void OnWhole(bool keep_alive) = 0;
  };

  // An answer longer than `longest`, or that says it will be, is bad; 0: any length is good.
  explicit HttpReader(Handler& handler, std::uint64_t longest = 0);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // For the next answer on the same connection.
  void Reset();
  // Takes bytes up to the end of the answer, or until it is bad; returns how many it took.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }
  // What a whole first line says, however the answer goes on; 0 before, and where it is no such line.
  int first_line_status() const { return first_line_status_; }
  // Nothing has come of the answer that is awaited, but perhaps interim ones, all whole.
  bool at_start() const { return state_ == State::kMore && first_line_.empty(); }
  // The connection has ended: an answer without a length is whole then.
  void Finish();

 private:
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBodyBytes(http_parser* parser, const char* at, std::size_t length);
  static int OnMessageComplete(http_parser* parser);
  static HttpReader& Of(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
  bool interim() const { return parser_.status_code >= 100 && parser_.status_code < 200; }
  void BeginMessage();
  void TakeFirstLine(std::string_view bytes);
  void KeepField();
  void Ended();

  Handler& handler_;
  const std::uint64_t longest_;
  http_parser parser_;
  http_parser_settings calls_;
  State state_ = State::kMore;
  std::uint64_t taken_ = 0;  // of this answer and the interim ones before it
  HttpHead head_;
  std::string first_line_, field_, value_;
  int first_line_status_ = 0;
  bool first_line_over_ = false;
  bool in_value_ = false;
  bool keep_alive_ = false;
};

}  // namespace oxbowspread::proto
