#include "bounded_json/bounded_json.h"

#include <algorithm>

#include "bounded_json/cbor_scan.h"
#include "bounded_json/text_repair.h"

namespace valvekeel::bounded_json {
namespace {

using nlohmann::json;

/** @return true if brackets outside of strings are nested deeper than `max_depth`. */
bool exceeds_depth(std::string_view text, std::size_t max_depth) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char each = text[at];
    if (in_string) {
      at += each == '\\' ? 1 : 0;
      in_string = each != '"';
    } else if (each == '"') {
      in_string = true;
    } else if (each == '[' || each == '{') {
      if (++depth > max_depth) {
        return true;
      }
    } else if ((each == ']' || each == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace

std::optional<json> parse(std::string_view text, std::size_t max_depth) {
  if (exceeds_depth(text, max_depth)) {
    return std::nullopt;
  }
  json parsed = json::parse(text.begin(), text.end(), nullptr, false);
  if (parsed.is_discarded()) {
    return std::nullopt;
  }
  return parsed;
}

std::optional<json> parse_cbor(std::string_view bytes, std::size_t max_depth) {
  if (!is_bounded_cbor(bytes, max_depth)) {
    return std::nullopt;
  }
  json parsed = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (parsed.is_discarded()) {
    return std::nullopt;
  }
  return parsed;
}

std::string replace_unreadable(std::string_view text, std::size_t max_depth) {
  return text_repair(text, max_depth).run();
}

bool holds_mark(std::string_view text) {
  for (std::size_t at = text.find("\\u"); at != std::string_view::npos;
       at = text.find("\\u", at + 1)) {
    const std::string_view digits = text.substr(at + 2, 4);
    const auto is_f = [](char digit) { return digit == 'f' || digit == 'F'; };
    if (digits.size() == 4 && std::all_of(digits.begin(), digits.end(), is_f)) {
      return true;
    }
  }
  return is_marked(text);
}

bool is_marked(std::string_view text) {
  return text.find(UNREADABLE_MARK) != std::string_view::npos;
}

bool is_marked(const json& value) {
  if (value.is_string()) {
    return is_marked(std::string_view(value.get_ref<const std::string&>()));
  }
  if (!value.is_structured()) {
    return false;
  }
  const auto items = value.items();
  return std::any_of(items.begin(), items.end(), [](const auto& each) {
    return is_marked(std::string_view(each.key())) || is_marked(each.value());
  });
}

std::string restore_marked(std::string_view text) {
  std::string restored;
  for (std::size_t at = 0; at < text.size();) {
    const bool mark = text.substr(at, UNREADABLE_MARK.size()) == UNREADABLE_MARK;
    const auto byte = mark ? marked_byte(text.substr(at)) : std::nullopt;
    if (byte) {
      restored += *byte;
      at += MARKED_BYTE_SIZE;
    } else {
      restored += text[at++];
    }
  }
  return restored;
}

}  // namespace valvekeel::bounded_json
