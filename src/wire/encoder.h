// Encoder for the PostgreSQL protocol messages that a server sends to its clients.
//
// Owns: the bytes of the messages appended so far. Invariant: between calls the buffer ends at a
// message boundary. Not thread-safe; the thread of the session uses it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

namespace valvekeel::wire {

/// Appends server messages to a buffer; each function appends the message of its name.
class Encoder {
 public:
  void AuthenticationOk();
  void ParameterStatus(std::string_view name, std::string_view value);
  void BackendKeyData(std::uint32_t process_id, std::uint32_t secret_key);
  void ReadyForQuery(TransactionStatus status);
  void RowDescription(const std::vector<ColumnDescription>& columns);
  void ParameterDescription(const std::vector<TypeId>& types);
  void DataRow(const std::vector<WireValue>& values);
  void CommandComplete(std::string_view tag);
  void ErrorResponse(const ErrorFields& fields);
  void EmptyQueryResponse();
  void ParseComplete();
  void BindComplete();
  void CloseComplete();
  void NoData();
  void PortalSuspended();

  /// Appends bytes that already consist of complete encoded messages.
  void AppendMessages(std::string_view messages) { buffer_.append(messages); }

  /// @return the bytes appended so far; the encoder is empty afterwards.
  std::string Take();

  /// @return number of bytes in the buffer.
  std::size_t Size() const { return buffer_.size(); }

 private:
  /// Starts a message. @return the offset of its length field, for EndMessage.
  std::size_t BeginMessage(char type);
  /// Writes the length of the message into its length field.
  void EndMessage(std::size_t length_offset);
  void AppendInt16(std::uint16_t value);
  void AppendInt32(std::uint32_t value);
  /// Appends the text up to its first zero byte, and a zero byte.
  void AppendCString(std::string_view text);
  /// Appends a message without a body.
  void AppendEmptyMessage(char type);

  std::string buffer_;
};

}  // namespace valvekeel::wire
