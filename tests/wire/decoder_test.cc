#include "wire/decoder.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "wire/encoder.h"

namespace valvekeel::wire {
namespace {

constexpr std::size_t kMaximumMessageBytes = 4096;

std::string BigEndian(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>(value >> shift));
  }
  return bytes;
}

std::string FrameMessage(char type, const std::string& body) {
  return std::string(1, type) + BigEndian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

}  // namespace

TEST_CASE("Messages are decoded regardless of how their bytes are split", "[wire]") {
  using namespace std::string_literals;
  const std::string bytes =
      FrameMessage('P', "s\0SELECT $1\0\0\1\0\0\0\x19"s) +
      FrameMessage('B', "p\0s\0\0\1\0\1\0\2\0\0\0\1x\xff\xff\xff\xff\0\1\0\0"s) +
      FrameMessage('E', "p\0\0\0\0\5"s) + FrameMessage('S', "");
  for (std::size_t chunk = 1; chunk <= bytes.size(); ++chunk) {
    Decoder decoder(kMaximumMessageBytes);
    std::vector<FrontendMessage> messages;
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunk) {
      decoder.Feed(std::string_view(bytes).substr(offset, chunk));
      while (true) {
        auto next = decoder.Next();
        REQUIRE(common::IsOk(next));
        if (!common::ValueOf(next)) {
          break;
        }
        messages.push_back(*common::ValueOf(next));
      }
    }
    REQUIRE(messages.size() == 4);
    const auto& parse = std::get<ParseMessage>(messages[0]);
    CHECK(parse.text == "SELECT $1");
    CHECK(parse.parameter_types == std::vector<TypeId>{25});
    const auto& bind = std::get<BindMessage>(messages[1]);
    REQUIRE(bind.parameters.size() == 2);
    CHECK(bind.parameters[0] == "x");
    CHECK_FALSE(bind.parameters[1]);
    CHECK(std::get<ExecuteMessage>(messages[2]).maximum_rows == 5);
  }
}

TEST_CASE("Oversized, truncated and unknown messages are protocol errors", "[wire]") {
  using namespace std::string_literals;
  for (const std::string& bytes :
       {"Q"s + BigEndian(kMaximumMessageBytes + 1), "Q"s + BigEndian(3),
        FrameMessage('Q', "no end"), FrameMessage('?', ""), FrameMessage('B', "\0\0\0\xff"s),
        FrameMessage('D', "Xname\0"s), FrameMessage('S', "more")}) {
    Decoder decoder(kMaximumMessageBytes);
    decoder.Feed(bytes);
    CHECK_FALSE(common::IsOk(decoder.Next()));
  }
}

TEST_CASE("Random bytes cause at most a protocol error", "[wire]") {
  // Fuzz test with fixed seeds: for any input the decoder returns messages, returns an error or
  // waits for more bytes.
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes;
    const std::string types = "QPBDECSHXFdcfp";
    const std::size_t messages = random() % 6;
    for (std::size_t i = 0; i < messages; ++i) {
      std::string body;
      const std::size_t length = random() % 40;
      for (std::size_t j = 0; j < length; ++j) {
        body.push_back(static_cast<char>(random() % 4 == 0 ? 0 : random()));
      }
      bytes += FrameMessage(types[random() % types.size()], body);
    }
    if (random() % 2 == 0 && !bytes.empty()) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    Decoder decoder(kMaximumMessageBytes);
    decoder.Feed(bytes);
    const bool initial = random() % 4 == 0;
    if (initial) {
      decoder.NextInitial();
      continue;
    }
    for (std::size_t i = 0; i <= messages; ++i) {
      const auto next = decoder.Next();
      if (!common::IsOk(next) || !common::ValueOf(next)) {
        break;
      }
    }
    CHECK(decoder.BufferedBytes() <= bytes.size());
  }
}

}  // namespace valvekeel::wire
