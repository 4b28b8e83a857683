// Requests of HTTP/1.1 as a server reads them: a machine over http-parser that is fed bytes. Knows no socket.
#pragma once

#include <http_parser.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace oxbowspread::standin {

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> headers;  // names in lower case

  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
};

class RequestReader {
 public:
  explicit RequestReader(std::function<void(Request)> whole);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Tells of each request as it gets whole. False: it is no HTTP, and nothing more can be read.
  bool Feed(std::string_view bytes);

 private:
  static RequestReader& Of(http_parser* p) { return *static_cast<RequestReader*>(p->data); }

  std::function<void(Request)> whole_;
  http_parser parser_;
  http_parser_settings calls_;
  Request request_;
  std::string field_, value_;
  bool in_value_ = false;
};

}  // namespace oxbowspread::standin
