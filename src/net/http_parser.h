// Parses HTTP/1.1 messages from a byte stream with the http_parser library.
//
// The parser buffers the message that is still incomplete. A head (request target and headers) or a
// body above its size limit is a parse error. No I/O and no clock; not thread-safe.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace valvekeel::net {

/// A complete message, request or response.
struct HttpMessage {
  std::string method;                          // requests only
  std::string target;                          // requests only
  int status = 0;                              // responses only
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool keep_alive = true;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;  // set in received responses only
};

/// Which kind of message a parser reads.
enum class HttpRole : std::uint8_t { kReadsRequests, kReadsResponses };

/// Incremental parser of one connection's incoming messages.
class HttpParser {
 public:
  explicit HttpParser(HttpRole role);

  /// Parses the next bytes of the stream. @return false if they are not valid HTTP, exceed a size
  /// limit or upgrade the protocol.
  bool Feed(std::string_view bytes);

  /// Reports that the peer has closed the stream, which completes a response without a length.
  void OnEndOfStream();

  /// @return true if the bytes fed so far end at the end of a message.
  bool AtMessageBoundary() const { return !in_message_; }

  /// Removes and returns the messages completed since the last call.
  std::vector<HttpMessage> TakeMessages();

 private:
  struct Callbacks;
  friend struct Callbacks;

  ::http_parser parser_{};
  HttpMessage current_;
  std::string header_name_;
  bool in_header_value_ = false;
  bool in_message_ = false;
  std::size_t head_bytes_ = 0;
  std::vector<HttpMessage> complete_;
};

}  // namespace valvekeel::net
