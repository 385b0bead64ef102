#include "bounded_json/bounded_json.h"

#include <catch2/catch.hpp>
#include <string>

namespace valvekeel::bounded_json {
namespace {

using nlohmann::json;

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::string nested_cbor(std::size_t depth) { return std::string(depth, '\x81') + '\x01'; }

/** @return the value after the replacement, which must be parseable. */
json repaired(const std::string& text) {
  const auto value = parse(replace_unreadable(text));
  REQUIRE(value);
  return *value;
}

}  // namespace

TEST_CASE("A text nested a million times deep overflows no stack", "[bounded_json]") {
  CHECK(parse(nested(MAX_DEPTH)));
  CHECK_FALSE(parse(nested(MAX_DEPTH + 1)));
  CHECK_FALSE(parse(nested(1'000'000)));
  CHECK_FALSE(parse(std::string(1'000'000, '[')));
  CHECK(parse("[\"" + std::string(100, '[') + "\\\"[\"]"));
}

TEST_CASE("CBOR nested a million times deep overflows no stack", "[bounded_json]") {
  CHECK(parse_cbor(nested_cbor(MAX_DEPTH)));
  CHECK_FALSE(parse_cbor(nested_cbor(MAX_DEPTH + 1)));
  CHECK_FALSE(parse_cbor(nested_cbor(1'000'000)));
  CHECK_FALSE(parse_cbor(std::string(1'000'000, '\xA1')));
  CHECK_FALSE(parse_cbor(std::string(1'000'000, '\x7F')));
  CHECK_FALSE(parse_cbor(std::string(1'000'000, '\x9F')));
  CHECK_FALSE(parse_cbor(std::string(1'000'000, '\xC1')));
}

TEST_CASE("CBOR that the encoder writes is read, and each of its prefixes is rejected",
          "[bounded_json]") {
  const json value = {{"a", {1, -70'000, 1.5, true, nullptr, 5'000'000'000}},
                      {"text", std::string(300, 'x')},
                      {"empty", json::object()},
                      {"bytes", json::binary({1, 2})}};
  std::string bytes;
  json::to_cbor(value, bytes);
  const auto read = parse_cbor(bytes);
  REQUIRE(read);
  CHECK(*read == value);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(parse_cbor(std::string_view(bytes).substr(0, size)));
  }
  CHECK_FALSE(parse_cbor(bytes + '\x01'));
}

TEST_CASE("A count of CBOR items that the bytes can't hold is rejected", "[bounded_json]") {
  CHECK_FALSE(parse_cbor("\x9B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"));
  CHECK_FALSE(parse_cbor("\xBB\x7F\xFF\xFF\xFF\xFF\xFF\xFF\xFF"));
  CHECK_FALSE(parse_cbor("\x7B\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF"));
}

TEST_CASE("One unreadable value leaves all others readable", "[bounded_json]") {
  const std::string bad =
      GENERATE(as<std::string>(), "1e400", "-1e999", "NaN", "-Infinity", "nul", "01", "+1", "0x10",
               "1.", "\"\\ud800\"", "\"\\udc00\\ud800\"", "\"\\x41\"", "\"\\u12g4\"", "\"\xFF\"",
               "\"\xC0\x80\"", "\"\xED\xA0\x80\"", "\"\xF4\x90\x80\x80\"", "\"a\x01\"", "\"a\nb\"",
               nested(MAX_DEPTH), nested(1'000'000), "{\"a\":" + nested(300'000) + "}",
               "[\"]\\\"]\"," + nested(MAX_DEPTH) + "]");
  INFO(bad.substr(0, 60));
  const std::string text = "{\"items\": [{\"name\":\"a\",\"value\":" + bad +
                           "}, {\"name\":\"b\\n\\u00e9\xC3\xA9\",\"value\":[1,2.5e3,true,null]}]}";
  CHECK_FALSE(parse(text));
  const json value = repaired(text);
  REQUIRE(value.at("items").size() == 2);
  CHECK(value.at("items").at(0).at("name") == "a");
  CHECK(is_marked(value.at("items").at(0).at("value")));
  CHECK_FALSE(is_marked(value.at("items").at(1)));
  CHECK(value.at("items").at(1) ==
        json::parse("{\"name\":\"b\\n\xC3\xA9\xC3\xA9\",\"value\":[1,2500.0,true,null]}"));
}

TEST_CASE("An unreadable name of a field marks its object", "[bounded_json]") {
  const json value = repaired("[{\"\\ud800\":1},{\"b\":2}]");
  CHECK(is_marked(value.at(0)));
  CHECK_FALSE(is_marked(value.at(1)));
}

TEST_CASE("A text that parses is left as it is", "[bounded_json]") {
  const std::string text =
      "{\"a\": [1, -2.5e-3, true, false, null, \"\\ud83d\\ude00 \\\" \\\\\", {}], \"\": []}\n";
  CHECK(replace_unreadable(text) == text);
}

TEST_CASE("The bytes of a marked string are restored", "[bounded_json]") {
  const json value = repaired("[\"a\xFF\x01z\",\"\\ud800\"]");
  CHECK(restore_marked(value.at(0).get<std::string>()) == "a\xFF\x01z");
  CHECK(restore_marked(value.at(1).get<std::string>()) == "\xED\xA0\x80");
  const std::string mark(UNREADABLE_MARK);
  CHECK(restore_marked(mark) == mark);
  CHECK(restore_marked(mark + "g0") == mark + "g0");
}

TEST_CASE("A text that is cut off anywhere is not parsed, and its replacement ends",
          "[bounded_json]") {
  const std::string text = "{\"a\": [1, \"\\ud800\\u0041\\n\xC3\xA9\", {\"b\": 1e400}]}";
  for (std::size_t size = 0; size < text.size(); ++size) {
    INFO(size);
    CHECK_FALSE(parse(replace_unreadable(text.substr(0, size))));
  }
}

}  // namespace valvekeel::bounded_json
