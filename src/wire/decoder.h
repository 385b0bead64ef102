// Decoder for what callers send.
//
// Owns: the bytes received and not yet decoded. Invariant: never reads past a message's declared
// length and never holds more than the configured limit of one message. Thread: its session's.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/result.h"
#include "wire/messages.h"

namespace valvekeel::wire {

/// Bytes that break the protocol; the session is to be closed.
struct ProtocolError {
  std::string reason;
};

/// Splits a byte stream into messages and decodes them.
class Decoder {
 public:
  /// @param maximum_message_bytes largest accepted length of one message, in bytes.
  explicit Decoder(std::size_t maximum_message_bytes) : maximum_(maximum_message_bytes) {}

  /// Adds received bytes.
  void Feed(std::string_view bytes);

  /// @return the first message of a connection, nothing if more bytes are needed, or an error.
  common::Result<std::optional<InitialMessage>, ProtocolError> NextInitial();

  /// @return the next message, nothing if more bytes are needed, or an error.
  common::Result<std::optional<FrontendMessage>, ProtocolError> Next();

  /// @return bytes received and not yet decoded.
  std::size_t BufferedBytes() const { return buffer_.size() - consumed_; }

 private:
  std::string_view Pending() const { return std::string_view(buffer_).substr(consumed_); }
  void Consume(std::size_t bytes);

  std::size_t maximum_;
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace valvekeel::wire
