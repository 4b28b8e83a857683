#include "standin/request.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace oxbowspread::standin {

RequestReader::RequestReader(std::function<void(Request)> whole) : whole_(std::move(whole)) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  http_parser_settings_init(&calls_);
  const auto keep = [](RequestReader& r) {
    std::transform(r.field_.begin(), r.field_.end(), r.field_.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (!r.field_.empty()) r.request_.headers[r.field_] = r.value_;
    r.field_.clear();
    r.value_.clear();
  };
  static const auto kKeep = keep;
  calls_.on_url = [](http_parser* p, const char* at, std::size_t n) {
    Of(p).request_.target.append(at, n);
    return 0;
  };
  calls_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
    if (std::exchange(Of(p).in_value_, false)) kKeep(Of(p));
    Of(p).field_.append(at, n);
    return 0;
  };
  calls_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
    Of(p).in_value_ = true;
    Of(p).value_.append(at, n);
    return 0;
  };
  calls_.on_headers_complete = [](http_parser* p) {
    kKeep(Of(p));
    Of(p).in_value_ = false;
    return 0;
  };
  calls_.on_body = [](http_parser* p, const char* at, std::size_t n) {
    Of(p).request_.body.append(at, n);
    return 0;
  };
  calls_.on_message_complete = [](http_parser* p) {
    RequestReader& r = Of(p);
    r.request_.method = http_method_str(static_cast<http_method>(p->method));
    r.whole_(std::exchange(r.request_, {}));
    return 0;
  };
}

bool RequestReader::Feed(std::string_view bytes) {
  return http_parser_execute(&parser_, &calls_, bytes.data(), bytes.size()) == bytes.size();
}

}  // namespace oxbowspread::standin
