#include "net/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace valvekeel::net {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20U;
constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10U;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

}  // namespace

struct HttpParser::Callbacks {
  static HttpParser& Self(::http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }

  /// Counts bytes of the message head. @return false if the head exceeds its limit.
  static bool AddHeadBytes(HttpParser& self, std::size_t size) {
    self.head_bytes_ += size;
    return self.head_bytes_ <= kMaxHeadBytes;
  }

  static int OnMessageBegin(::http_parser* parser) {
    HttpParser& self = Self(parser);
    self.current_ = HttpMessage{};
    self.header_name_.clear();
    self.in_header_value_ = false;
    self.in_message_ = true;
    self.head_bytes_ = 0;
    return 0;
  }

  static int OnTarget(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    self.current_.target.append(at, size);
    return AddHeadBytes(self, size) ? 0 : 1;
  }

  static int OnHeaderName(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    if (self.in_header_value_) {
      self.header_name_.clear();
      self.in_header_value_ = false;
    }
    self.header_name_.append(at, size);
    return AddHeadBytes(self, size) ? 0 : 1;
  }

  static int OnHeaderValue(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    self.in_header_value_ = true;
    self.current_.headers[LowerCase(self.header_name_)].append(at, size);
    return AddHeadBytes(self, size) ? 0 : 1;
  }

  static int OnBody(::http_parser* parser, const char* at, std::size_t size) {
    HttpParser& self = Self(parser);
    self.current_.body.append(at, size);
    return self.current_.body.size() <= kMaxBodyBytes ? 0 : 1;
  }

  static int OnMessageComplete(::http_parser* parser) {
    HttpParser& self = Self(parser);
    self.current_.status = static_cast<int>(parser->status_code);
    if (parser->type == HTTP_REQUEST) {
      self.current_.method = http_method_str(static_cast<http_method>(parser->method));
    }
    self.current_.keep_alive = http_should_keep_alive(parser) != 0;
    self.complete_.push_back(std::move(self.current_));
    self.current_ = HttpMessage{};
    self.in_message_ = false;
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_message_begin = OnMessageBegin;
      settings.on_url = OnTarget;
      settings.on_header_field = OnHeaderName;
      settings.on_header_value = OnHeaderValue;
      settings.on_body = OnBody;
      settings.on_message_complete = OnMessageComplete;
      return settings;
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
  const std::size_t parsed =
      http_parser_execute(&parser_, &Callbacks::Settings(), bytes.data(), bytes.size());
  return parsed == bytes.size() && parser_.upgrade == 0;
}

void HttpParser::OnEndOfStream() {
  parser_.data = this;
  http_parser_execute(&parser_, &Callbacks::Settings(), nullptr, 0);
}

std::vector<HttpMessage> HttpParser::TakeMessages() { return std::exchange(complete_, {}); }

}  // namespace valvekeel::net
