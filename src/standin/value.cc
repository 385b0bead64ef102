#include "standin/value.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cstring>

#include "common/text.h"

namespace valvekeel::standin {
namespace {

using common::Result;

constexpr std::string_view kInvalidText = "22P02";
constexpr unsigned kByteBits = 8;

std::optional<double> AsNumber(const Value& value) {
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    return static_cast<double>(*integer);
  }
  if (const auto* real = std::get_if<double>(&value)) {
    return *real;
  }
  if (const auto* flag = std::get_if<bool>(&value)) {
    return *flag ? 1.0 : 0.0;
  }
  double parsed = 0;
  const auto* text = std::get_if<std::string>(&value);
  if (text != nullptr && absl::SimpleAtod(*text, &parsed)) {
    return parsed;
  }
  return std::nullopt;
}

template <typename T>
int Sign(const T& left, const T& right) {
  return left < right ? -1 : static_cast<int>(right < left);
}

SqlError InvalidText(const Value& value, std::string_view type) {
  return {std::string(kInvalidText),
          absl::StrCat("invalid input syntax for type ", common::ToAbsl(type), ": \"",
                       ToText(value).value_or("NULL"), "\"")};
}

std::string BigEndian(std::uint64_t value, std::size_t bytes) {
  std::string encoded;
  for (std::size_t i = 0; i < bytes; ++i) {
    encoded.push_back(static_cast<char>(value >> (kByteBits * (bytes - 1 - i))));
  }
  return encoded;
}

std::uint64_t FromBigEndian(const std::string& bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = (value << kByteBits) | static_cast<unsigned char>(byte);
  }
  return value;
}

Result<Value, SqlError> CoerceBoolean(const Value& value) {
  if (std::holds_alternative<bool>(value)) {
    return value;
  }
  const std::string text = ToText(value).value_or("");
  if (text == "t" || text == "true" || text == "1" || text == "on") {
    return Value{true};
  }
  if (text == "f" || text == "false" || text == "0" || text == "off") {
    return Value{false};
  }
  return InvalidText(value, "boolean");
}

Result<Value, SqlError> CoerceInteger(const Value& value) {
  if (std::holds_alternative<std::int64_t>(value)) {
    return value;
  }
  if (const auto* real = std::get_if<double>(&value)) {
    return Value{static_cast<std::int64_t>(*real)};
  }
  std::int64_t parsed = 0;
  if (absl::SimpleAtoi(ToText(value).value_or(""), &parsed)) {
    return Value{parsed};
  }
  return InvalidText(value, "bigint");
}

}  // namespace

bool IsNull(const Value& value) { return std::holds_alternative<std::monostate>(value); }

std::optional<int> Compare(const Value& left, const Value& right) {
  if (IsNull(left) || IsNull(right)) {
    return std::nullopt;
  }
  const auto* left_integer = std::get_if<std::int64_t>(&left);
  const auto* right_integer = std::get_if<std::int64_t>(&right);
  if (left_integer != nullptr && right_integer != nullptr) {
    return Sign(*left_integer, *right_integer);
  }
  const auto* left_text = std::get_if<std::string>(&left);
  const auto* right_text = std::get_if<std::string>(&right);
  if (left_text != nullptr && right_text != nullptr) {
    return Sign(*left_text, *right_text);
  }
  const auto left_number = AsNumber(left);
  const auto right_number = AsNumber(right);
  if (left_number && right_number) {
    return Sign(*left_number, *right_number);
  }
  return Sign(*ToText(left), *ToText(right));
}

Result<Value, SqlError> Coerce(const Value& value, ColumnType type) {
  if (IsNull(value)) {
    return value;
  }
  switch (type) {
    case ColumnType::kBoolean:
      return CoerceBoolean(value);
    case ColumnType::kBigint:
    case ColumnType::kInteger:
      return CoerceInteger(value);
    case ColumnType::kDouble: {
      const auto number = AsNumber(value);
      if (!number) {
        return InvalidText(value, "double precision");
      }
      return Value{*number};
    }
    case ColumnType::kText:
      return Value{*ToText(value)};
  }
  return value;
}

wire::WireValue ToText(const Value& value) {
  if (const auto* text = std::get_if<std::string>(&value)) {
    return *text;
  }
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    return absl::StrCat(*integer);
  }
  if (const auto* real = std::get_if<double>(&value)) {
    return absl::StrCat(*real);
  }
  if (const auto* flag = std::get_if<bool>(&value)) {
    return std::string(*flag ? "t" : "f");
  }
  return std::nullopt;
}

wire::WireValue ToWire(const Value& value, ColumnType type, wire::FormatCode format) {
  if (format == wire::kTextFormat || IsNull(value)) {
    return ToText(value);
  }
  const auto coerced = Coerce(value, type);
  if (!common::IsOk(coerced)) {
    return ToText(value);
  }
  const Value& typed = common::ValueOf(coerced);
  switch (type) {
    case ColumnType::kBoolean:
      return std::string(1, std::get<bool>(typed) ? '\1' : '\0');
    case ColumnType::kBigint:
      return BigEndian(static_cast<std::uint64_t>(std::get<std::int64_t>(typed)), 8);
    case ColumnType::kInteger:
      return BigEndian(static_cast<std::uint64_t>(std::get<std::int64_t>(typed)), 4);
    case ColumnType::kDouble: {
      std::uint64_t bits = 0;
      std::memcpy(&bits, &std::get<double>(typed), sizeof(bits));
      return BigEndian(bits, sizeof(bits));
    }
    case ColumnType::kText:
      break;
  }
  return ToText(value);
}

Result<Value, SqlError> FromWire(const wire::WireValue& bytes, wire::TypeId type,
                                 wire::FormatCode format) {
  if (!bytes) {
    return Value{};
  }
  const auto column_type = static_cast<ColumnType>(type);
  if (format == wire::kTextFormat) {
    const bool numeric = column_type == ColumnType::kBigint ||
                         column_type == ColumnType::kInteger ||
                         column_type == ColumnType::kDouble || column_type == ColumnType::kBoolean;
    return numeric ? Coerce(Value{*bytes}, column_type) : Result<Value, SqlError>{Value{*bytes}};
  }
  switch (column_type) {
    case ColumnType::kBoolean:
      return Value{!bytes->empty() && (*bytes)[0] != 0};
    case ColumnType::kBigint:
      return Value{static_cast<std::int64_t>(FromBigEndian(*bytes))};
    case ColumnType::kInteger:
      return Value{static_cast<std::int64_t>(static_cast<std::int32_t>(FromBigEndian(*bytes)))};
    case ColumnType::kDouble: {
      const std::uint64_t bits = FromBigEndian(*bytes);
      double real = 0;
      std::memcpy(&real, &bits, sizeof(real));
      return Value{real};
    }
    case ColumnType::kText:
      break;
  }
  return Value{*bytes};
}

}  // namespace valvekeel::standin
