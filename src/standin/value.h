// SQL values of the stand-in database.
//
// Owns: value types and their conversions. Invariant: comparison of NULL with anything is unknown.
// Thread: any (values only).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/result.h"
#include "wire/messages.h"

namespace valvekeel::standin {

/// NULL, boolean, integer, floating point or text.
using Value = std::variant<std::monostate, bool, std::int64_t, double, std::string>;

/// Column types that the stand-in knows, with PostgreSQL's type numbers.
enum class ColumnType : std::uint32_t {
  kBoolean = 16,
  kBigint = 20,
  kInteger = 23,
  kText = 25,
  kDouble = 701,
};

/// An SQL error with its SQLSTATE.
struct SqlError {
  std::string sqlstate;
  std::string message;
};

/// @return true if the value is NULL.
bool IsNull(const Value& value);

/// @return -1, 0 or 1; nothing if either is NULL. Text is read as a number beside a number.
std::optional<int> Compare(const Value& left, const Value& right);

/// @return the value in the column's type, or 22P02 if it cannot be read so.
common::Result<Value, SqlError> Coerce(const Value& value, ColumnType type);

/// @return PostgreSQL's text form; nothing for NULL.
wire::WireValue ToText(const Value& value);

/// @return the value in the wire format asked for.
wire::WireValue ToWire(const Value& value, ColumnType type, wire::FormatCode format);

/// @return a parameter's value. @param type 0 if the caller did not say.
common::Result<Value, SqlError> FromWire(const wire::WireValue& bytes, wire::TypeId type,
                                         wire::FormatCode format);

}  // namespace valvekeel::standin
