#include "bounded_json/cbor_scan.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace valvekeel::bounded_json {
namespace {

/** Major types, the upper three bits of an item's first byte. */
enum class major_type : std::uint8_t { number = 0, negative, bytes, text, array, map, tag, simple };

/** The first bytes of a data item. */
struct item_head {
  major_type type = major_type::number;
  std::uint64_t argument = 0;
  std::size_t size = 0;
};

constexpr unsigned MAJOR_TYPE_SHIFT = 5;
constexpr unsigned ARGUMENT_BITS = 0x1F;
constexpr unsigned FIRST_SIZED_ARGUMENT = 24;
constexpr unsigned LAST_SIZED_ARGUMENT = 27;
constexpr unsigned BITS_PER_BYTE = 8;

/** @return the head at the start of the bytes; empty if it is cut off or of indefinite length. */
std::optional<item_head> read_head(std::string_view bytes) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<unsigned char>(bytes.front());
  item_head head;
  head.type = static_cast<major_type>(first >> MAJOR_TYPE_SHIFT);
  head.argument = first & ARGUMENT_BITS;
  head.size = 1;
  if (head.argument < FIRST_SIZED_ARGUMENT) {
    return head;
  }
  if (head.argument > LAST_SIZED_ARGUMENT) {
    return std::nullopt;
  }
  const std::size_t length = std::size_t{1} << (head.argument - FIRST_SIZED_ARGUMENT);
  if (bytes.size() < 1 + length) {
    return std::nullopt;
  }
  head.argument = 0;
  for (std::size_t at = 1; at <= length; ++at) {
    head.argument = (head.argument << BITS_PER_BYTE) | static_cast<unsigned char>(bytes[at]);
  }
  head.size += length;
  return head;
}

/** @return the number of bytes of a string's content; 0 for other types. */
std::uint64_t content_bytes(const item_head& head) {
  const bool has_content = head.type == major_type::bytes || head.type == major_type::text;
  return has_content ? head.argument : 0;
}

}  // namespace

bool is_bounded_cbor(std::string_view bytes, std::size_t max_depth) {
  std::vector<std::uint64_t> missing = {1};  // items to come, by level of nesting
  while (!missing.empty()) {
    if (missing.back() == 0) {
      missing.pop_back();
      continue;
    }
    const auto head = read_head(bytes);
    if (!head || head->type == major_type::tag) {
      return false;
    }
    --missing.back();
    bytes.remove_prefix(head->size);
    if (content_bytes(*head) > bytes.size()) {
      return false;
    }
    bytes.remove_prefix(content_bytes(*head));
    const bool is_map = head->type == major_type::map;
    if (head->type != major_type::array && !is_map) {
      continue;
    }
    // Each item takes a byte or more. The comparison also keeps the count of a map from wrapping.
    if (head->argument > bytes.size() || missing.size() > max_depth) {
      return false;
    }
    missing.push_back(is_map ? 2 * head->argument : head->argument);
  }
  return bytes.empty();
}

}  // namespace valvekeel::bounded_json
