// A parser of HTTP/1.1 requests for servers, which wraps http-parser. Uses no socket.
#pragma once

#include <http_parser.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace oxbowspread::standin {

// A request that has been received completely.
struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> headers;  // names in lower case

  // Returns the value of the header, or an empty string. `name` must be in lower case.
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
};

// Parses the bytes of one connection.
class HttpRequestParser {
 public:
  explicit HttpRequestParser(std::function<void(Request)> on_request);
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Calls `on_request` for each request as it becomes complete. Returns false if the bytes are not HTTP;
  // nothing more can be parsed then.
  bool Feed(std::string_view bytes);

 private:
  static HttpRequestParser& FromParser(http_parser* parser) {
    return *static_cast<HttpRequestParser*>(parser->data);
  }

  std::function<void(Request)> on_request_;
  http_parser parser_;
  http_parser_settings callbacks_;
  Request request_;
  std::string field_, value_;  // of the current header
  bool reading_value_ = false;
};

}  // namespace oxbowspread::standin
