#include "relay_link/owner_link.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "line_protocol.h"
#include "net/listener.h"
#include "relay/handover.h"

namespace valvekeel::relay_link {
namespace {

constexpr std::chrono::milliseconds TIMEOUT{300};
constexpr std::chrono::seconds LIMIT{5};
/** More than a connection queues. */
constexpr std::size_t OVERFLOW_BYTES = std::size_t{5} << 20U;

/** The events reported by a link. */
struct recorded_events {
  bool rejected = false;
  bool accepted = false;
  int end_requests = 0;
  bool ended = false;
  bool was_open = false;
  bool between_messages = true;
  std::vector<model::Reply> answers;
  std::string bytes;
  int observers = 0;  // event receivers that exist
};

class recording_events : public owner_events {
 public:
  explicit recording_events(recorded_events& seen) : seen(seen) { ++this->seen.observers; }
  ~recording_events() override { --this->seen.observers; }
  recording_events(const recording_events&) = delete;
  recording_events& operator=(const recording_events&) = delete;
  void on_accepted() override { this->seen.accepted = true; }
  void on_rejected() override { this->seen.rejected = true; }
  void on_answer(const model::Reply& reply) override { this->seen.answers.push_back(reply); }
  void on_end_request() override { ++this->seen.end_requests; }
  void on_bytes(std::string_view bytes) override { this->seen.bytes += bytes; }
  void on_read(bool between_messages) override { this->seen.between_messages = between_messages; }
  void on_ended(const std::string&, bool was_open) override {
    this->seen.ended = true;
    this->seen.was_open = was_open;
  }

 private:
  recorded_events& seen;
};

/** A link to an owner that sends the given answer to the first bytes and closes at the next. */
struct fixture {
  explicit fixture(std::string answer)
      : answer(std::move(answer)), listener(loop, [this](asio::ip::tcp::socket socket) {
          this->stream = std::make_shared<net::Stream>(this->loop, std::move(socket));
          this->stream->Start([this](std::string_view bytes) { this->on_bytes(bytes); }, [] {});
        }) {
    REQUIRE(this->listener.Listen({"127.0.0.1", 0}));
    this->link =
        std::make_unique<owner_link>(this->loop, std::make_unique<platform::LineInstanceCodec>(),
                                     std::make_unique<recording_events>(this->seen));
  }

  void on_bytes(std::string_view bytes) {
    this->received += bytes;
    if (!this->answer.empty()) {
      this->stream->Send(std::exchange(this->answer, {}));
    } else {
      this->stream->Close();
    }
  }

  template <typename condition>
  bool run_until(condition met) {
    const auto deadline = std::chrono::steady_clock::now() + LIMIT;
    while (!met() && std::chrono::steady_clock::now() < deadline) {
      this->loop.run_one_for(TIMEOUT);
    }
    return met();
  }

  asio::io_context loop;
  std::string answer;
  net::Listener listener;
  std::shared_ptr<net::Stream> stream;
  std::string received;
  recorded_events seen;
  std::unique_ptr<owner_link> link;
};

}  // namespace

TEST_CASE("Answers to forwarded commands are reported and forwarded to the caller",
          "[relay_link]") {
  // If the answers are not counted, a relayed session never seems idle, and a planned stop cuts it
  // off.
  const std::string answer = "READY I -\r\nROW x\r\nCOMPLETE 1.a\r\nREADY T 3.12\r\n";
  fixture test(answer);
  test.link->expect_answer();
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first ");
  test.link->send("second");
  REQUIRE(test.run_until([&] { return !test.seen.answers.empty(); }));
  CHECK(test.received == "first second");
  CHECK(test.seen.accepted);
  CHECK(test.seen.answers.front().state == model::TransactionState::kOpen);
  CHECK(test.seen.bytes == answer);
  CHECK_FALSE(test.seen.ended);
}

TEST_CASE("The link reports whether the forwarded bytes end with a complete message",
          "[relay_link]") {
  struct truncation {
    std::string answer;
    bool between_messages;
  };
  const std::vector<truncation> cases = {
      {"READY I -\r\n", true},
      {"READY I -\r\nROW x\r\n", false},
      {"READY I -\r\nROW x\r\nCOMPLETE 1.a\r\n", false},
      {"READY I -\r\nROW x\r\nCOMPLETE 1.a\r\nREADY I 3.12\r\n", true},
      {"READY I -\r\nROW x\r\nCOMPLETE 1.a\r\nREADY I 3.12\r\nROW", false},
      {"READY I -\r\nCOMPLETE 1.a\r\nREADY I 3.12\r\nCOMPLETE 1.b\r\n", false},
  };
  for (const truncation& each : cases) {
    CAPTURE(each.answer);
    fixture test(each.answer);
    test.link->expect_answer();
    test.link->expect_answer();
    test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
    REQUIRE(test.run_until([&] { return test.seen.bytes == each.answer; }));
    CHECK(test.seen.between_messages == each.between_messages);
    test.link->send("second");  // the owner closes the connection
    REQUIRE(test.run_until([&] { return test.seen.ended; }));
    CHECK(test.seen.was_open);
  }
}

TEST_CASE("An owner's request to end the session is reported and not forwarded", "[relay_link]") {
  const std::string before = "READY I -\r\n";
  const std::string after = "ROW a\x04z\r\nCOMPLETE 1.a\r\nREADY I 3.12\r\n";
  fixture test(before + relay::END_REQUEST + after);
  test.link->expect_answer();
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
  REQUIRE(test.run_until([&] { return !test.seen.answers.empty(); }));
  CHECK(test.seen.end_requests == 1);
  CHECK(test.seen.bytes == before + after);
  CHECK(test.seen.between_messages);
  CHECK_FALSE(test.seen.ended);
}

TEST_CASE("An owner's rejection is forwarded to the caller", "[relay_link]") {
  const std::string answer = "ERROR DENIED unknown key\r\n";
  fixture test(answer);
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
  REQUIRE(test.run_until([&] { return test.seen.rejected; }));
  CHECK(test.seen.bytes == answer);
  CHECK_FALSE(test.seen.accepted);
}

TEST_CASE("An answer without a command ends the link", "[relay_link]") {
  fixture test("READY I -\r\nCOMPLETE 1.a\r\nREADY I 3.12\r\n");
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
  CHECK(test.run_until([&] { return test.seen.ended; }));
}

TEST_CASE("The end of the owner ends the link", "[relay_link]") {
  fixture test("");
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
  CHECK(test.run_until([&] { return test.seen.ended; }));
  CHECK_FALSE(test.seen.accepted);
}

TEST_CASE("A closed link reports no events", "[relay_link]") {
  fixture test("READY I -\r\n");
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
  test.link->close();
  test.loop.run_for(TIMEOUT);
  CHECK_FALSE(test.seen.accepted);
  CHECK_FALSE(test.seen.ended);
}

TEST_CASE("A refused connection ends the link", "[relay_link]") {
  fixture test("");
  const std::uint16_t port = test.listener.Port();
  test.listener.Close();
  test.link->open({"127.0.0.1", port}, TIMEOUT, "first");
  CHECK(test.run_until([&] { return test.seen.ended; }));
  CHECK_FALSE(test.seen.was_open);
}

TEST_CASE("An overflow of the queue to an owner is reported after send has returned",
          "[relay_link]") {
  // The end of the link destroys the link and the session whose bytes are being sent.
  fixture test("READY I -\r\n");
  test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
  REQUIRE(test.run_until([&] { return test.seen.accepted; }));
  test.link->send(std::string(OVERFLOW_BYTES, 'x'));
  CHECK_FALSE(test.seen.ended);
  CHECK(test.run_until([&] { return test.seen.ended; }));
  CHECK(test.seen.was_open);
}

TEST_CASE("A link that ended or was closed releases its connection once it is destroyed",
          "[relay_link]") {
  // The connection's handlers and the state that holds the connection kept each other alive.
  for (const bool ended : {false, true}) {
    CAPTURE(ended);
    fixture test("READY I -\r\n");
    test.link->open({"127.0.0.1", test.listener.Port()}, TIMEOUT, "first");
    REQUIRE(test.run_until([&] { return test.seen.accepted; }));
    if (ended) {
      test.link->send("second");  // the owner closes the connection
      REQUIRE(test.run_until([&] { return test.seen.ended; }));
    }
    test.link.reset();
    CHECK(test.run_until([&] { return test.seen.observers == 0; }));
  }
}

}  // namespace valvekeel::relay_link
