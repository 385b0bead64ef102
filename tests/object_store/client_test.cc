#include "object_store/client.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <thread>

namespace valvekeel::object_store {
namespace {

constexpr std::size_t kDeep = 300'000;

/// Answers each read with one body.
class FixedAnswer {
 public:
  FixedAnswer(int status, std::string body) {
    server_.Get(".*", [status, body = std::move(body)](const httplib::Request&,
                                                       httplib::Response& response) {
      response.status = status;
      response.set_content(body, "application/json");
    });
    port_ = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~FixedAnswer() {
    server_.stop();
    thread_.join();
  }
  cluster::Endpoint Address() const { return {"127.0.0.1", port_}; }

 private:
  httplib::Server server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

std::string Nested() { return std::string(kDeep, '[') + std::string(kDeep, ']'); }

std::string GoodObject(const std::string& name) {
  return R"({"kind":"databases","metadata":{"name":")" + name +
         R"(","resourceVersion":"5"},"spec":{"a":1}})";
}

std::string ListOf(const std::string& odd) {
  return R"({"kind":"List","metadata":{"resourceVersion":"9"},"items":[)" + GoodObject("first") +
         "," + odd + "," + GoodObject("last") + "]}";
}

struct OddObject {
  std::string text;
  bool listed;  // under its name, with a specification that is refused
};

std::vector<OddObject> OddObjects() {
  const std::string head = R"({"kind":"databases","metadata":{"name":"odd","resourceVersion":"7"})";
  return {{head + R"(,"spec":{"x":1e400}})", true},
          {head + R"(,"spec":{"x":"\ud800"}})", true},
          {head + ",\"spec\":{\"x\":\"\xFF\"}}", true},
          {head + R"(,"spec":{"x":)" + Nested() + "}}", true},
          {head + R"(,"spec":)" + Nested() + "}", true},
          {Nested(), false},
          {"1e400", false},
          {"null", false},
          {R"({"kind":"databases","metadata":5})", false},
          {R"({"kind":"databases","metadata":{"name":5,"resourceVersion":"7"}})", false},
          {R"({"kind":"databases","metadata":{"name":"odd","resourceVersion":7}})", false},
          {R"({"kind":"databases","metadata":{"name":"odd","resourceVersion":"1e3"}})", false}};
}

}  // namespace

// One object of another writer made the whole list unreadable, or ended the process by an exception
// or by recursion over nested values.
TEST_CASE("An odd object does not keep a list from being read", "[object_store]") {
  for (const OddObject& odd : OddObjects()) {
    CAPTURE(odd.text.substr(0, 120));
    const FixedAnswer answer(200, ListOf(odd.text));
    const auto list = Client(answer.Address()).List("databases");
    REQUIRE(common::IsOk(list));
    const ObjectList& read = common::ValueOf(list);
    CHECK(read.version == 9);
    CHECK(read.unreadable == (odd.listed ? 0 : 1));
    REQUIRE(read.items.size() == (odd.listed ? 3 : 2));
    CHECK(read.items.front().name == "first");
    CHECK(read.items.back().name == "last");
    CHECK(read.items.back().spec.at("a") == 1);
    if (odd.listed) {
      CHECK(read.items.at(1).name == "odd");
      CHECK(read.items.at(1).spec.is_null());
    }
  }
}

TEST_CASE("The kind of a listed object is the one that was asked for", "[object_store]") {
  const FixedAnswer answer(
      200, ListOf(R"({"kind":5,"metadata":{"name":"odd","resourceVersion":"7"},"spec":5})"));
  const auto list = Client(answer.Address()).List("databases");
  REQUIRE(common::IsOk(list));
  REQUIRE(common::ValueOf(list).items.size() == 3);
  CHECK(common::ValueOf(list).items.at(1).kind == "databases");
}

TEST_CASE("An odd object in a watch is reported or ends the watch", "[object_store]") {
  for (const OddObject& odd : OddObjects()) {
    CAPTURE(odd.text.substr(0, 120));
    const FixedAnswer answer(200, R"({"type":"MODIFIED","object":)" + odd.text + "}\n");
    const std::atomic<bool> stop{false};
    std::vector<WatchEvent> events;
    const PlatformError ended =
        Client(answer.Address()).Watch("databases", 1, stop, [&](const WatchEvent& event) {
          events.push_back(event);
        });
    CHECK(events.size() == (odd.listed ? 1 : 0));
    CHECK(ended.kind == (odd.listed ? FaultKind::kUnavailable : FaultKind::kInvalid));
  }
}

TEST_CASE("An odd error of the store is an error", "[object_store]") {
  const std::string nested = R"({"message":)" + Nested() + "}";
  for (const std::string& body : {std::string(R"({"message":5})"), nested, Nested()}) {
    const FixedAnswer answer(404, body);
    const auto read = Client(answer.Address()).Get("databases", "a");
    REQUIRE_FALSE(common::IsOk(read));
    CHECK(common::ErrorOf(read).kind == FaultKind::kNotFound);
  }
  for (const std::string& object : {std::string(R"({"code":"x","message":5})"), Nested(),
                                    std::string("5"), std::string(R"({"code":1e300})")}) {
    const FixedAnswer answer(200, R"({"type":"ERROR","object":)" + object + "}\n");
    const std::atomic<bool> stop{false};
    const PlatformError ended =
        Client(answer.Address()).Watch("databases", 1, stop, [](const WatchEvent&) {});
    CHECK(ended.kind == FaultKind::kUnavailable);
  }
}

}  // namespace valvekeel::object_store
