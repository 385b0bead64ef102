/**
 * @file Converts parsed values of other processes with a check of their type and range.
 *
 * The parser's own conversions truncate integers, and their result is undefined for a
 * floating-point number out of the target's range.
 */
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace valvekeel::bounded_json {

/** Thrown for a value of another type or out of its range. */
class value_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Longest accepted duration, 100 years: sums with instants stay representable. */
inline constexpr std::chrono::microseconds MAX_DURATION = std::chrono::hours(24 * 365 * 100);

/** @return the integer; throws value_error if it isn't one or doesn't fit. */
template <std::unsigned_integral Number>
Number to_unsigned(const nlohmann::json& value, Number max = std::numeric_limits<Number>::max()) {
  const bool integer =
      value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0);
  if (!integer || value.get<std::uint64_t>() > max) {
    throw value_error("a number is not an integer from 0 to " + std::to_string(max));
  }
  return static_cast<Number>(value.get<std::uint64_t>());
}

/** @return the duration in microseconds; throws value_error unless it is 0 to MAX_DURATION. */
inline std::chrono::microseconds to_duration(const nlohmann::json& value) {
  const auto max = static_cast<std::uint64_t>(MAX_DURATION.count());
  return std::chrono::microseconds(to_unsigned<std::uint64_t>(value, max));
}

/** @return the number; throws value_error unless it is 0 to `max`. */
inline double to_nonnegative(const nlohmann::json& value, double max) {
  const double number = value.is_number() ? value.get<double>() : -1;
  if (!(number >= 0 && number <= max)) {
    throw value_error("a number is not from 0 to " + std::to_string(max));
  }
  return number;
}

}  // namespace valvekeel::bounded_json
