/**
 * @file A text in a buffer of fixed size, for signal handlers: nothing allocates.
 */
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace valvekeel::crash_report {

/** Text of at most CAPACITY bytes; what exceeds it is left out. Async-signal-safe. */
template <std::size_t CAPACITY>
class fixed_text {
 public:
  void append(std::string_view text) noexcept {
    const std::size_t count = std::min(text.size(), CAPACITY - this->size);
    std::copy_n(text.data(), count, this->bytes.data() + this->size);
    this->size += count;
  }

  /** Appends a number in base 10 or 16, without a prefix. */
  void append_number(std::uint64_t number, unsigned base = DECIMAL) noexcept {
    constexpr std::string_view DIGITS = "0123456789abcdef";
    std::array<char, MAX_DIGITS> digits{};
    std::size_t first = digits.size();
    do {
      digits[--first] = DIGITS[number % base];
      number /= base;
    } while (number > 0);
    this->append(std::string_view(digits.data() + first, digits.size() - first));
  }

  void append_address(std::uint64_t address) noexcept {
    this->append("0x");
    this->append_number(address, HEXADECIMAL);
  }

  /** Appends the contents of a JSON string; bytes that are not printable ASCII become '?'. */
  void append_escaped(std::string_view text) noexcept {
    for (const char each : text) {
      const bool printable = each >= ' ' && each <= '~';
      if (each == '"' || each == '\\') {
        this->append("\\");
      }
      this->append(std::string_view(printable ? &each : "?", 1));
    }
  }

  void clear() noexcept { this->size = 0; }
  std::string_view view() const noexcept { return {this->bytes.data(), this->size}; }

 private:
  static constexpr unsigned DECIMAL = 10;
  static constexpr unsigned HEXADECIMAL = 16;
  static constexpr std::size_t MAX_DIGITS = 20;

  std::array<char, CAPACITY> bytes{};
  std::size_t size = 0;
};

}  // namespace valvekeel::crash_report
