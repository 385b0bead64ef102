// Result<Value, Error>: the return type of every operation that can fail.
//
// Owns: nothing. Invariant: holds exactly one of a value or an error. Thread: any.
#pragma once

#include <utility>
#include <variant>

namespace valvekeel::common {

/// Marks a function that returns nothing on success.
struct Unit {};

/// Either the value of an operation or the error of the layer that ran it.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// @return true if the result holds a value.
template <typename Value, typename Error>
bool IsOk(const Result<Value, Error>& result) {
  return result.index() == 0;
}

/// @return the value; the caller has checked IsOk.
template <typename Value, typename Error>
const Value& ValueOf(const Result<Value, Error>& result) {
  return std::get<0>(result);
}

/// @return the value, movable; the caller has checked IsOk.
template <typename Value, typename Error>
Value& ValueOf(Result<Value, Error>& result) {
  return std::get<0>(result);
}

/// @return the error; the caller has checked that IsOk is false.
template <typename Value, typename Error>
const Error& ErrorOf(const Result<Value, Error>& result) {
  return std::get<1>(result);
}

}  // namespace valvekeel::common
