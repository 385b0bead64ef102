/**
 * @file Checks the structure of CBOR (RFC 8949) before a recursive parser reads it.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace valvekeel::bounded_json {

/**
 * @return true if the bytes are one data item without tags and items of indefinite length, whose
 * arrays and maps are nested at most `max_depth` deep.
 */
bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth);

}  // namespace valvekeel::bounded_json
