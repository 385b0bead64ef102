/**
 * @file Parses JSON and CBOR that other processes wrote, with a limit on nesting.
 *
 * The parser's values are copied, compared and written by recursion, and CBOR is read by recursion,
 * so nesting without a limit lets the writer of a text overflow the stack of its reader.
 */
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace valvekeel::bounded_json {

/** Deepest accepted nesting, counted in arrays and objects; messages of this system need 8. */
inline constexpr std::size_t MAX_DEPTH = 32;

/**
 * Stands for a part of a text that is not representable, in the result of replace_unreadable:
 * U+FFFF, a noncharacter. Where the text holds it already, it is replaced like other bytes.
 */
inline constexpr std::string_view UNREADABLE_MARK = "\xEF\xBF\xBF";

/**
 * Parses a JSON text.
 *
 * @return the value; empty if the text is not JSON, has a number that is out of range, or is nested
 * deeper than `max_depth`.
 */
std::optional<nlohmann::json> parse(std::string_view text, std::size_t max_depth = MAX_DEPTH);

/**
 * Parses a CBOR data item. Tags and items of indefinite length are rejected; this system's encoder
 * writes neither.
 *
 * @return the value; empty if the bytes are not one such item or are nested deeper than
 * `max_depth`.
 */
std::optional<nlohmann::json> parse_cbor(std::string_view bytes, std::size_t max_depth = MAX_DEPTH);

/**
 * Replaces what parse() rejects within an otherwise well-formed text: each value that is nested too
 * deep, is a number out of range or an unknown word becomes the string UNREADABLE_MARK. In strings,
 * each byte that is not UTF-8, each raw control character, each escape that is no character and
 * U+FFFF becomes UNREADABLE_MARK followed by the byte in two hexadecimal digits for each byte
 * replaced; the bytes of a lone surrogate are those of its three-byte form.
 *
 * Linear in the length of the text, without recursion.
 */
std::string replace_unreadable(std::string_view text, std::size_t max_depth = MAX_DEPTH);

/** @return true if a JSON text holds UNREADABLE_MARK itself, as bytes or as an escape. */
bool holds_mark(std::string_view text);

/** @return true if a string holds UNREADABLE_MARK. */
bool is_marked(std::string_view text);

/** @return true if the value or any name or value within it holds UNREADABLE_MARK. */
bool is_marked(const nlohmann::json& value);

/**
 * Restores the bytes of a string that replace_unreadable marked byte by byte.
 *
 * @return the original bytes; a mark without digits is left as it is.
 */
std::string restore_marked(std::string_view text);

}  // namespace valvekeel::bounded_json
