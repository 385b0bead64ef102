// Reads HTTP/1.1 messages from a stream of bytes, by the http_parser library.
//
// Owns: the message read so far. Invariant: bodies and heads larger than the limits are errors.
// Thread: any.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace valvekeel::net {

/// A whole message, request or response.
struct HttpMessage {
  std::string method;                          // of a request
  std::string target;                          // of a request
  int status = 0;                              // of a response
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool keep_alive = true;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;  // of a response received
};

enum class HttpRole : std::uint8_t { kReadsRequests, kReadsResponses };

class HttpParser {
 public:
  explicit HttpParser(HttpRole role);

  /// Takes bytes. @return false if they are not HTTP, or too much.
  bool Feed(std::string_view bytes);

  /// The other side has ended the stream: a response may end that way.
  void Ended();

  /// @return the messages completed since the last call.
  std::vector<HttpMessage> Take();

 private:
  struct Callbacks;
  friend struct Callbacks;

  ::http_parser parser_{};
  HttpMessage current_;
  std::string header_name_;
  bool in_header_value_ = false;
  std::size_t head_bytes_ = 0;
  std::vector<HttpMessage> complete_;
};

}  // namespace valvekeel::net
