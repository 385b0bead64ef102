// Encoder for what a server sends to its clients.
//
// Owns: the bytes of the messages appended so far. Invariant: the buffer always ends at a message
// boundary. Thread: its session's.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

namespace valvekeel::wire {

/// Appends server messages to a buffer.
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

  /// Appends bytes that are whole messages already.
  void AppendMessages(std::string_view messages) { buffer_.append(messages); }

  /// @return the bytes so far; the encoder is empty afterwards.
  std::string Take();

  /// @return number of bytes waiting.
  std::size_t Size() const { return buffer_.size(); }

 private:
  std::size_t Begin(char type);
  void End(std::size_t length_offset);
  void Int16(std::uint16_t value);
  void Int32(std::uint32_t value);
  void CString(std::string_view text);
  void Empty(char type);

  std::string buffer_;
};

}  // namespace valvekeel::wire
