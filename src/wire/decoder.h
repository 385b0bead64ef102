// Decoder for the PostgreSQL protocol messages that callers send.
//
// Owns: the received bytes that are not decoded yet. Invariant: it never reads past the declared
// length of a message, and it rejects a message whose declared length exceeds the configured limit.
// Not thread-safe; the thread of the session uses it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/result.h"
#include "wire/messages.h"

namespace valvekeel::wire {

/// Received bytes that violate the protocol; the session must be closed.
struct ProtocolError {
  std::string reason;
};

/// Splits a byte stream into messages and decodes them.
class Decoder {
 public:
  /// @param maximum_message_bytes largest accepted length of one message, in bytes.
  explicit Decoder(std::size_t maximum_message_bytes)
      : maximum_message_bytes_(maximum_message_bytes) {}

  /// Appends received bytes to the buffer.
  void Feed(std::string_view bytes);

  /// Decodes the first message of a connection, which has no type byte.
  /// @return the message, nothing if more bytes are needed, or an error.
  common::Result<std::optional<InitialMessage>, ProtocolError> NextInitial();

  /// Decodes the next message after the startup message.
  /// @return the message, nothing if more bytes are needed, or an error.
  common::Result<std::optional<FrontendMessage>, ProtocolError> Next();

  /// @return number of received bytes that are not decoded yet.
  std::size_t BufferedBytes() const { return buffer_.size() - consumed_; }

 private:
  /// @return the received bytes that are not decoded yet.
  std::string_view Pending() const { return std::string_view(buffer_).substr(consumed_); }
  /// Drops this many bytes from the front of the buffer.
  void Consume(std::size_t bytes);

  std::size_t maximum_message_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;  // decoded bytes at the front of `buffer_`
};

}  // namespace valvekeel::wire
