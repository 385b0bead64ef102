#include "wire/encoder.h"

#include <utility>

namespace valvekeel::wire {
namespace {

constexpr std::uint32_t kAuthenticationOkCode = 0;
constexpr std::uint32_t kNullLength = 0xFFFFFFFFU;
constexpr unsigned kByteBits = 8;

}  // namespace

std::size_t Encoder::BeginMessage(char type) {
  buffer_.push_back(type);
  const std::size_t length_offset = buffer_.size();
  AppendInt32(0);
  return length_offset;
}

void Encoder::EndMessage(std::size_t length_offset) {
  const auto length = static_cast<std::uint32_t>(buffer_.size() - length_offset);
  for (std::size_t i = 0; i < sizeof(length); ++i) {
    const std::size_t shift = kByteBits * (sizeof(length) - 1 - i);
    buffer_[length_offset + i] = static_cast<char>(length >> shift);
  }
}

void Encoder::AppendInt16(std::uint16_t value) {
  buffer_.push_back(static_cast<char>(value >> kByteBits));
  buffer_.push_back(static_cast<char>(value));
}

void Encoder::AppendInt32(std::uint32_t value) {
  AppendInt16(static_cast<std::uint16_t>(value >> (2 * kByteBits)));
  AppendInt16(static_cast<std::uint16_t>(value));
}

void Encoder::AppendCString(std::string_view text) {
  buffer_.append(text.substr(0, text.find('\0')));
  buffer_.push_back('\0');
}

void Encoder::AppendEmptyMessage(char type) { EndMessage(BeginMessage(type)); }

void Encoder::AuthenticationOk() {
  const std::size_t length_offset = BeginMessage('R');
  AppendInt32(kAuthenticationOkCode);
  EndMessage(length_offset);
}

void Encoder::ParameterStatus(std::string_view name, std::string_view value) {
  const std::size_t length_offset = BeginMessage('S');
  AppendCString(name);
  AppendCString(value);
  EndMessage(length_offset);
}

void Encoder::BackendKeyData(std::uint32_t process_id, std::uint32_t secret_key) {
  const std::size_t length_offset = BeginMessage('K');
  AppendInt32(process_id);
  AppendInt32(secret_key);
  EndMessage(length_offset);
}

void Encoder::ReadyForQuery(TransactionStatus status) {
  const std::size_t length_offset = BeginMessage('Z');
  buffer_.push_back(static_cast<char>(status));
  EndMessage(length_offset);
}

void Encoder::RowDescription(const std::vector<ColumnDescription>& columns) {
  const std::size_t length_offset = BeginMessage('T');
  AppendInt16(static_cast<std::uint16_t>(columns.size()));
  for (const ColumnDescription& column : columns) {
    AppendCString(column.name);
    AppendInt32(column.table);
    AppendInt16(static_cast<std::uint16_t>(column.attribute));
    AppendInt32(column.type);
    AppendInt16(static_cast<std::uint16_t>(column.type_size));
    AppendInt32(static_cast<std::uint32_t>(column.type_modifier));
    AppendInt16(static_cast<std::uint16_t>(column.format));
  }
  EndMessage(length_offset);
}

void Encoder::ParameterDescription(const std::vector<TypeId>& types) {
  const std::size_t length_offset = BeginMessage('t');
  AppendInt16(static_cast<std::uint16_t>(types.size()));
  for (const TypeId type : types) {
    AppendInt32(type);
  }
  EndMessage(length_offset);
}

void Encoder::DataRow(const std::vector<WireValue>& values) {
  const std::size_t length_offset = BeginMessage('D');
  AppendInt16(static_cast<std::uint16_t>(values.size()));
  for (const WireValue& value : values) {
    AppendInt32(value ? static_cast<std::uint32_t>(value->size()) : kNullLength);
    if (value) {
      buffer_.append(*value);
    }
  }
  EndMessage(length_offset);
}

void Encoder::CommandComplete(std::string_view tag) {
  const std::size_t length_offset = BeginMessage('C');
  AppendCString(tag);
  EndMessage(length_offset);
}

void Encoder::ErrorResponse(const ErrorFields& fields) {
  const std::size_t length_offset = BeginMessage('E');
  const auto field = [this](char code, std::string_view text) {
    buffer_.push_back(code);
    AppendCString(text);
  };
  field('S', fields.severity);
  field('V', fields.severity);
  field('C', fields.sqlstate);
  field('M', fields.message);
  if (!fields.detail.empty()) {
    field('D', fields.detail);
  }
  buffer_.push_back('\0');
  EndMessage(length_offset);
}

void Encoder::EmptyQueryResponse() { AppendEmptyMessage('I'); }
void Encoder::ParseComplete() { AppendEmptyMessage('1'); }
void Encoder::BindComplete() { AppendEmptyMessage('2'); }
void Encoder::CloseComplete() { AppendEmptyMessage('3'); }
void Encoder::NoData() { AppendEmptyMessage('n'); }
void Encoder::PortalSuspended() { AppendEmptyMessage('s'); }

std::string Encoder::Take() {
  std::string bytes = std::move(buffer_);
  buffer_.clear();
  return bytes;
}

}  // namespace valvekeel::wire
