#include "common/position.h"

#include <catch2/catch.hpp>

namespace valvekeel::common {

TEST_CASE("Tokens keep their position and malformed ones say why", "[common]") {
  const SessionToken token{"ledger", {7, 0x1234567890ABCDEF}};
  CHECK(FormatToken(token) == "vk1:ledger:7:12345678/90ABCDEF");
  CHECK(ValueOf(ParseToken(FormatToken(token))) == token);
  for (const char* text : {"", "vk1", "vk2:a:1:0/1", "vk1::1:0/1", "vk1:a:x:0/1", "vk1:a:1:0",
                           "vk1:a:1:0/g", "vk1:a:1:0/1:more", "vk1:a:-1:0/1"}) {
    CHECK_FALSE(IsOk(ParseToken(text)));
  }
}

TEST_CASE("A position is covered by the same or a later term and position only", "[common]") {
  CHECK(Covers({2, 100}, {2, 100}));
  CHECK(Covers({3, 100}, {2, 100}));
  CHECK_FALSE(Covers({3, 99}, {2, 100}));
  CHECK_FALSE(Covers({1, 200}, {2, 100}));
}

}  // namespace valvekeel::common
