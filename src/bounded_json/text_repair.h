/**
 * @file Rewrites a JSON text so that all of it can be parsed; see replace_unreadable().
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "bounded_json/bounded_json.h"

namespace valvekeel::bounded_json {

/** Length of a marked byte: the mark and two hexadecimal digits. */
inline constexpr std::size_t MARKED_BYTE_SIZE = UNREADABLE_MARK.size() + 2;

/** @return the byte that a marked byte at the start of a text stands for; empty without digits. */
std::optional<char> marked_byte(std::string_view text);

/** Copies a text and replaces what the parser rejects. Used once. */
class text_repair {
 public:
  text_repair(std::string_view input, std::size_t max_depth) : text(input), max_depth(max_depth) {}

  std::string run();

 private:
  void copy_string();
  /** Copies an escape sequence, or two that are a pair of surrogates. */
  void copy_escape();
  void copy_character();
  /** Copies a number, a literal or an unknown word. */
  void copy_word();
  /** Replaces an array or object, from its opening bracket to its closing one. */
  void replace_nested();
  void mark_byte(unsigned char byte);

  std::string_view text;
  std::size_t max_depth;
  std::size_t at = 0;
  std::string result;
};

}  // namespace valvekeel::bounded_json
