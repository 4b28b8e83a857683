#include "standin/request.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace oxbowspread::standin {

HttpRequestParser::HttpRequestParser(std::function<void(Request)> on_request)
    : on_request_(std::move(on_request)) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  http_parser_settings_init(&callbacks_);
  const auto store_header = [](HttpRequestParser& parser) {
    std::transform(parser.field_.begin(), parser.field_.end(), parser.field_.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (!parser.field_.empty()) parser.request_.headers[parser.field_] = parser.value_;
    parser.field_.clear();
    parser.value_.clear();
  };
  static const auto kStoreHeader = store_header;
  callbacks_.on_url = [](http_parser* state, const char* data, std::size_t size) {
    FromParser(state).request_.target.append(data, size);
    return 0;
  };
  callbacks_.on_header_field = [](http_parser* state, const char* data, std::size_t size) {
    if (std::exchange(FromParser(state).reading_value_, false)) kStoreHeader(FromParser(state));
    FromParser(state).field_.append(data, size);
    return 0;
  };
  callbacks_.on_header_value = [](http_parser* state, const char* data, std::size_t size) {
    FromParser(state).reading_value_ = true;
    FromParser(state).value_.append(data, size);
    return 0;
  };
  callbacks_.on_headers_complete = [](http_parser* state) {
    kStoreHeader(FromParser(state));
    FromParser(state).reading_value_ = false;
    return 0;
  };
  callbacks_.on_body = [](http_parser* state, const char* data, std::size_t size) {
    FromParser(state).request_.body.append(data, size);
    return 0;
  };
  callbacks_.on_message_complete = [](http_parser* state) {
    HttpRequestParser& parser = FromParser(state);
    parser.request_.method = http_method_str(static_cast<http_method>(state->method));
    parser.on_request_(std::exchange(parser.request_, {}));
    return 0;
  };
}

bool HttpRequestParser::Feed(std::string_view bytes) {
  return http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size()) == bytes.size();
}

}  // namespace oxbowspread::standin
