#include "bounded_json/text_repair.h"

#include <cstdint>

namespace valvekeel::bounded_json {
namespace {

constexpr std::string_view DIGITS = "0123456789abcdef";
constexpr unsigned BITS_PER_DIGIT = 4;
constexpr unsigned char LOW_DIGIT = 0xF;
constexpr unsigned char FIRST_PRINTABLE = 0x20;
constexpr unsigned char FIRST_NON_ASCII = 0x80;
constexpr std::size_t UNICODE_ESCAPE_SIZE = 6;
constexpr std::uint32_t FIRST_HIGH_SURROGATE = 0xD800;
constexpr std::uint32_t FIRST_LOW_SURROGATE = 0xDC00;
constexpr std::uint32_t LAST_LOW_SURROGATE = 0xDFFF;
constexpr std::uint32_t MARK_CODE_POINT = 0xFFFF;

std::optional<unsigned> digit_value(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const char lower = static_cast<char>(digit | 0x20);
  if (lower >= 'a' && lower <= 'f') {
    return lower - 'a' + 10;
  }
  return std::nullopt;
}

/** @return the code unit of a \uXXXX escape at the start of a text; empty if there is none. */
std::optional<std::uint32_t> unicode_escape(std::string_view text) {
  if (text.size() < UNICODE_ESCAPE_SIZE || text[0] != '\\' || text[1] != 'u') {
    return std::nullopt;
  }
  std::uint32_t unit = 0;
  for (const char each : text.substr(2, 4)) {
    const auto value = digit_value(each);
    if (!value) {
      return std::nullopt;
    }
    unit = (unit << BITS_PER_DIGIT) | *value;
  }
  return unit;
}

bool is_continuation(char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U; }

/** @return the length of the UTF-8 sequence (RFC 3629) at the start of a text; 0 if it is invalid.
 */
std::size_t utf8_length(std::string_view text) {
  const auto first = static_cast<unsigned char>(text[0]);
  if (first < FIRST_NON_ASCII) {
    return 1;
  }
  const std::size_t length = first >= 0xC2 && first <= 0xDF   ? 2
                             : first >= 0xE0 && first <= 0xEF ? 3
                             : first >= 0xF0 && first <= 0xF4 ? 4
                                                              : 0;
  if (length == 0 || text.size() < length) {
    return 0;
  }
  for (std::size_t at = 1; at < length; ++at) {
    if (!is_continuation(text[at])) {
      return 0;
    }
  }
  const auto second = static_cast<unsigned char>(text[1]);
  const bool overlong = (first == 0xE0 && second < 0xA0) || (first == 0xF0 && second < 0x90);
  const bool surrogate = first == 0xED && second >= 0xA0;
  const bool too_large = first == 0xF4 && second >= 0x90;
  return overlong || surrogate || too_large ? 0 : length;
}

bool is_space(char each) { return each == ' ' || each == '\t' || each == '\n' || each == '\r'; }

bool ends_word(char each) {
  return is_space(each) || std::string_view("[]{}:,\"").find(each) != std::string_view::npos;
}

}  // namespace

std::optional<char> marked_byte(std::string_view text) {
  if (text.size() < MARKED_BYTE_SIZE) {
    return std::nullopt;
  }
  const auto high = digit_value(text[UNREADABLE_MARK.size()]);
  const auto low = digit_value(text[UNREADABLE_MARK.size() + 1]);
  if (!high || !low) {
    return std::nullopt;
  }
  return static_cast<char>((*high << BITS_PER_DIGIT) | *low);
}

std::string text_repair::run() {
  std::size_t depth = 0;
  this->result.reserve(this->text.size());
  while (this->at < this->text.size()) {
    const char each = this->text[this->at];
    if (each == '"') {
      this->copy_string();
      continue;
    }
    if (!ends_word(each)) {
      this->copy_word();
      continue;
    }
    const bool opens = each == '[' || each == '{';
    if (opens && depth >= this->max_depth) {
      this->replace_nested();
      continue;
    }
    const bool closes = each == ']' || each == '}';
    depth += opens ? 1 : 0;
    depth -= closes && depth > 0 ? 1 : 0;
    this->result += each;
    ++this->at;
  }
  return std::move(this->result);
}

void text_repair::copy_string() {
  this->result += '"';
  ++this->at;
  while (this->at < this->text.size() && this->text[this->at] != '"') {
    if (this->text[this->at] == '\\') {
      this->copy_escape();
    } else {
      this->copy_character();
    }
  }
  this->result += '"';
  ++this->at;
}

void text_repair::copy_escape() {
  const std::string_view rest = this->text.substr(this->at);
  const auto unit = unicode_escape(rest);
  if (!unit) {
    const bool known =
        rest.size() > 1 && std::string_view("\"\\/bfnrt").find(rest[1]) != std::string_view::npos;
    if (known) {
      this->result += rest.substr(0, 2);
      this->at += 2;
    } else {
      this->mark_byte('\\');
      ++this->at;
    }
    return;
  }
  const bool surrogate = *unit >= FIRST_HIGH_SURROGATE && *unit <= LAST_LOW_SURROGATE;
  if (!surrogate && *unit != MARK_CODE_POINT) {
    this->result += rest.substr(0, UNICODE_ESCAPE_SIZE);
    this->at += UNICODE_ESCAPE_SIZE;
    return;
  }
  const auto next = unicode_escape(rest.substr(UNICODE_ESCAPE_SIZE));
  const bool pair = *unit < FIRST_LOW_SURROGATE && next && *next >= FIRST_LOW_SURROGATE &&
                    *next <= LAST_LOW_SURROGATE;
  if (pair) {
    this->result += rest.substr(0, 2 * UNICODE_ESCAPE_SIZE);
    this->at += 2 * UNICODE_ESCAPE_SIZE;
    return;
  }
  this->mark_byte(static_cast<unsigned char>(0xE0U | (*unit >> 12U)));
  this->mark_byte(static_cast<unsigned char>(0x80U | ((*unit >> 6U) & 0x3FU)));
  this->mark_byte(static_cast<unsigned char>(0x80U | (*unit & 0x3FU)));
  this->at += UNICODE_ESCAPE_SIZE;
}

void text_repair::copy_character() {
  const auto byte = static_cast<unsigned char>(this->text[this->at]);
  const std::size_t length = utf8_length(this->text.substr(this->at));
  const std::string_view character = this->text.substr(this->at, length);
  if (character == UNREADABLE_MARK) {
    for (const char each : character) {
      this->mark_byte(static_cast<unsigned char>(each));
    }
    this->at += length;
    return;
  }
  if (length == 0 || byte < FIRST_PRINTABLE) {
    this->mark_byte(byte);
    ++this->at;
    return;
  }
  this->result += character;
  this->at += length;
}

void text_repair::copy_word() {
  const std::size_t begin = this->at;
  while (this->at < this->text.size() && !ends_word(this->text[this->at])) {
    ++this->at;
  }
  const std::string_view word = this->text.substr(begin, this->at - begin);
  if (nlohmann::json::accept(word.begin(), word.end())) {
    this->result += word;
  } else {
    this->result += '"';
    this->result += UNREADABLE_MARK;
    this->result += '"';
  }
}

void text_repair::replace_nested() {
  std::size_t depth = 0;
  bool in_string = false;
  while (this->at < this->text.size()) {
    const char each = this->text[this->at++];
    if (in_string) {
      this->at += each == '\\' ? 1 : 0;
      in_string = each != '"';
      continue;
    }
    in_string = each == '"';
    depth += each == '[' || each == '{' ? 1 : 0;
    depth -= each == ']' || each == '}' ? 1 : 0;
    if (depth == 0) {
      break;
    }
  }
  this->result += '"';
  this->result += UNREADABLE_MARK;
  this->result += '"';
}

void text_repair::mark_byte(unsigned char byte) {
  this->result += UNREADABLE_MARK;
  this->result += DIGITS[byte >> BITS_PER_DIGIT];
  this->result += DIGITS[byte & LOW_DIGIT];
}

}  // namespace valvekeel::bounded_json
