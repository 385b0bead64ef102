#include "runtime/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

namespace valvekeel::runtime {
namespace {

using common::Instant;

/// A pipe whose ends the destructor closes.
class Pipe {
 public:
  Pipe() { REQUIRE(::pipe(ends_.data()) == 0); }
  ~Pipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int Writer() const { return ends_[1]; }

  std::string Read() const {
    std::string text(1U << 20U, '\0');
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    const ssize_t count = ::read(ends_[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace

TEST_CASE("A line is one JSON object with the event's fields", "[runtime]") {
  const Pipe pipe;
  BoundedLog log(pipe.Writer(), "d1", 1, {});
  log.Write("info", "started", {{"zone", "a\"b"}}, Instant(5'000));
  REQUIRE(log.Flush());
  const auto line = nlohmann::json::parse(pipe.Read());
  CHECK(line.at("event") == "started");
  CHECK(line.at("zone") == "a\"b");
  CHECK(line.at("mono_ms") == 5);
}

TEST_CASE("Lines over the limit of their event are counted and reported in its next line",
          "[runtime]") {
  const Pipe pipe;
  LogLimits limits;
  limits.lines_per_event = 2;
  BoundedLog log(pipe.Writer(), "d1", 1, limits);
  for (int i = 0; i < 5; ++i) {
    log.Write("info", "often", {}, Instant(1));
  }
  log.Write("info", "other", {}, Instant(1));
  CHECK(log.Suppressed() == 3);
  log.Write("info", "often", {}, Instant(1) + limits.period);
  log.Flush();
  const std::string text = pipe.Read();
  CHECK(std::count(text.begin(), text.end(), '\n') == 4);
  CHECK(text.find("\"suppressed_before\":3") != std::string::npos);
}

TEST_CASE("A reader that stops reading causes dropped lines but no blocking or memory growth",
          "[runtime]") {
  const Pipe pipe;
  LogLimits limits;
  limits.lines_per_event = 1'000'000;
  limits.buffered_bytes = 10'000;
  BoundedLog log(pipe.Writer(), "d1", 1, limits);
  for (int i = 0; i < 20'000; ++i) {
    log.Write("info", "often", {{"number", std::to_string(i)}}, Instant(1));
    log.Flush();
  }
  CHECK_FALSE(log.Flush());
  CHECK(log.Dropped() > 0);
  // Every line that is written is complete.
  std::string text = pipe.Read();
  log.Flush();
  text += pipe.Read();
  std::size_t start = 0;
  for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
    CHECK_FALSE(
        nlohmann::json::parse(text.substr(start, end - start), nullptr, false).is_discarded());
    start = end + 1;
  }
}

}  // namespace valvekeel::runtime
