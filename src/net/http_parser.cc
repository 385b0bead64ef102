#include "net/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace valvekeel::net {
namespace {

constexpr std::size_t kMostBodyBytes = std::size_t{16} << 20U;
constexpr std::size_t kMostHeadBytes = std::size_t{64} << 10U;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

}  // namespace

struct HttpParser::Callbacks {
  static HttpParser& Self(::http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }

  static bool HeadFits(HttpParser& self, std::size_t size) {
    self.head_bytes_ += size;
    return self.head_bytes_ <= kMostHeadBytes;
  }

  static int Begin(::http_parser* parser) {
    HttpParser& self = Self(parser);
    self.current_ = HttpMessage{};
    self.header_name_.clear();
    self.in_header_value_ = false;
    self.head_bytes_ = 0;
    return 0;
  }

  static int Target(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    self.current_.target.append(at, size);
    return HeadFits(self, size) ? 0 : 1;
  }

  static int Name(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    if (self.in_header_value_) {
      self.header_name_.clear();
      self.in_header_value_ = false;
    }
    self.header_name_.append(at, size);
    return HeadFits(self, size) ? 0 : 1;
  }

  static int Value(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    self.in_header_value_ = true;
    self.current_.headers[LowerCase(self.header_name_)].append(at, size);
    return HeadFits(self, size) ? 0 : 1;
  }

  static int Body(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    self.current_.body.append(at, size);
    return self.current_.body.size() <= kMostBodyBytes ? 0 : 1;
  }

  static int Complete(::http_parser* parser) {
    HttpParser& self = Self(parser);
    self.current_.status = static_cast<int>(parser->status_code);
    if (parser->type == HTTP_REQUEST) {
      self.current_.method = http_method_str(static_cast<http_method>(parser->method));
    }
    self.current_.keep_alive = http_should_keep_alive(parser) != 0;
    self.complete_.push_back(std::move(self.current_));
    self.current_ = HttpMessage{};
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_message_begin = Begin;
      made.on_url = Target;
      made.on_header_field = Name;
      made.on_header_value = Value;
      made.on_body = Body;
      made.on_message_complete = Complete;
      return made;
    }();
    return kSettings;
  }
};

HttpParser::HttpParser(HttpRole role) {
  http_parser_init(&parser_, role == HttpRole::kReadsRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

bool HttpParser::Feed(std::string_view bytes) {
  parser_.data = this;
  const std::size_t taken =
      http_parser_execute(&parser_, &Callbacks::Settings(), bytes.data(), bytes.size());
  return taken == bytes.size() && parser_.upgrade == 0;
}

void HttpParser::Ended() {
  parser_.data = this;
  http_parser_execute(&parser_, &Callbacks::Settings(), nullptr, 0);
}

std::vector<HttpMessage> HttpParser::Take() { return std::exchange(complete_, {}); }

}  // namespace valvekeel::net
