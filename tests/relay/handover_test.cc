#include "relay/handover.h"

#include <catch2/catch.hpp>

namespace valvekeel::relay {

TEST_CASE("decode reads the handover that encode has written", "[relay]") {
  const std::string line = encode({12345, true});
  REQUIRE(line.back() == '\n');
  CHECK(line.size() <= MAX_HANDOVER_BYTES);
  const auto read = decode(std::string_view(line).substr(0, line.size() - 1));
  REQUIRE(read);
  CHECK(read->least_configuration == 12345);
  CHECK(read->supports_end_request);
}

TEST_CASE("A handover of an earlier version does not support end requests", "[relay]") {
  const auto read = decode("{\"configuration\":7}");
  REQUIRE(read);
  CHECK(read->least_configuration == 7);
  CHECK_FALSE(read->supports_end_request);
}

TEST_CASE("decode returns nothing for an invalid handover", "[relay]") {
  for (const char* line : {"", "{", "[]", "START x y", "{\"configuration\":-1}",
                           "{\"configuration\":\"1\"}", "{\"other\":1}"}) {
    INFO(line);
    CHECK_FALSE(decode(line));
  }
}

}  // namespace valvekeel::relay
