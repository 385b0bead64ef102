#include "wire/encoder.h"

#include <utility>

namespace valvekeel::wire {
namespace {

constexpr std::uint32_t kAuthenticationOkCode = 0;
constexpr std::uint32_t kNullLength = 0xFFFFFFFFU;
constexpr unsigned kByteBits = 8;

}  // namespace

std::size_t Encoder::Begin(char type) {
  buffer_.push_back(type);
  const std::size_t length_offset = buffer_.size();
  Int32(0);
  return length_offset;
}

void Encoder::End(std::size_t length_offset) {
  const auto length = static_cast<std::uint32_t>(buffer_.size() - length_offset);
  for (std::size_t i = 0; i < sizeof(length); ++i) {
    const std::size_t shift = kByteBits * (sizeof(length) - 1 - i);
    buffer_[length_offset + i] = static_cast<char>(length >> shift);
  }
}

void Encoder::Int16(std::uint16_t value) {
  buffer_.push_back(static_cast<char>(value >> kByteBits));
  buffer_.push_back(static_cast<char>(value));
}

void Encoder::Int32(std::uint32_t value) {
  Int16(static_cast<std::uint16_t>(value >> (2 * kByteBits)));
  Int16(static_cast<std::uint16_t>(value));
}

void Encoder::CString(std::string_view text) {
  buffer_.append(text.substr(0, text.find('\0')));
  buffer_.push_back('\0');
}

void Encoder::Empty(char type) { End(Begin(type)); }

void Encoder::AuthenticationOk() {
  const std::size_t start = Begin('R');
  Int32(kAuthenticationOkCode);
  End(start);
}

void Encoder::ParameterStatus(std::string_view name, std::string_view value) {
  const std::size_t start = Begin('S');
  CString(name);
  CString(value);
  End(start);
}

void Encoder::BackendKeyData(std::uint32_t process_id, std::uint32_t secret_key) {
  const std::size_t start = Begin('K');
  Int32(process_id);
  Int32(secret_key);
  End(start);
}

void Encoder::ReadyForQuery(TransactionStatus status) {
  const std::size_t start = Begin('Z');
  buffer_.push_back(static_cast<char>(status));
  End(start);
}

void Encoder::RowDescription(const std::vector<ColumnDescription>& columns) {
  const std::size_t start = Begin('T');
  Int16(static_cast<std::uint16_t>(columns.size()));
  for (const ColumnDescription& column : columns) {
    CString(column.name);
    Int32(column.table);
    Int16(static_cast<std::uint16_t>(column.attribute));
    Int32(column.type);
    Int16(static_cast<std::uint16_t>(column.type_size));
    Int32(static_cast<std::uint32_t>(column.type_modifier));
    Int16(static_cast<std::uint16_t>(column.format));
  }
  End(start);
}

void Encoder::ParameterDescription(const std::vector<TypeId>& types) {
  const std::size_t start = Begin('t');
  Int16(static_cast<std::uint16_t>(types.size()));
  for (const TypeId type : types) {
    Int32(type);
  }
  End(start);
}

void Encoder::DataRow(const std::vector<WireValue>& values) {
  const std::size_t start = Begin('D');
  Int16(static_cast<std::uint16_t>(values.size()));
  for (const WireValue& value : values) {
    Int32(value ? static_cast<std::uint32_t>(value->size()) : kNullLength);
    if (value) {
      buffer_.append(*value);
    }
  }
  End(start);
}

void Encoder::CommandComplete(std::string_view tag) {
  const std::size_t start = Begin('C');
  CString(tag);
  End(start);
}

void Encoder::ErrorResponse(const ErrorFields& fields) {
  const std::size_t start = Begin('E');
  const auto field = [this](char code, std::string_view text) {
    buffer_.push_back(code);
    CString(text);
  };
  field('S', fields.severity);
  field('V', fields.severity);
  field('C', fields.sqlstate);
  field('M', fields.message);
  if (!fields.detail.empty()) {
    field('D', fields.detail);
  }
  buffer_.push_back('\0');
  End(start);
}

void Encoder::EmptyQueryResponse() { Empty('I'); }
void Encoder::ParseComplete() { Empty('1'); }
void Encoder::BindComplete() { Empty('2'); }
void Encoder::CloseComplete() { Empty('3'); }
void Encoder::NoData() { Empty('n'); }
void Encoder::PortalSuspended() { Empty('s'); }

std::string Encoder::Take() {
  std::string bytes = std::move(buffer_);
  buffer_.clear();
  return bytes;
}

}  // namespace valvekeel::wire
