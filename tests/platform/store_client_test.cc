// Tests that one odd object of another writer leaves the rest of a store's answer readable.

#include "store_client.h"

#include <absl/strings/str_replace.h>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

namespace valvekeel::platform {
namespace {

using metadata::ReadResult;
using metadata::ReadStatus;
using model::Collection;
using model::EntryDefect;
using model::InstanceEntry;
using model::UnusableEntry;

constexpr const char* kValidSpec =
    R"({"service":"group","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":3,)"
    R"("state":"ready","seq":4,"db_role":"replica","warmup_left_ms":0,"born":1})";

std::string Object(const std::string& name, const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","revision":12},"spec":)" + spec + "}";
}

/// @return a valid entry with one more field.
std::string SpecWith(const std::string& value) {
  std::string spec = kValidSpec;
  spec.insert(spec.size() - 1, R"(,"note":)" + value);
  return spec;
}

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/// A store on the loopback that answers each request with the text of a function.
class Store {
 public:
  using Answer = std::function<net::HttpResponse(const net::HttpMessage&)>;

  explicit Store(Answer answer)
      : server_(loop_, std::move(answer)), listening_(server_.Listen({"127.0.0.1", 0})) {
    REQUIRE(listening_);
  }

  template <typename Result, typename Call>
  Result Wait(Call call) {
    StoreClient client(loop_, {"127.0.0.1", server_.Port()});
    std::optional<Result> answer;
    call(client, [&answer](const Result& result) { answer = result; });
    while (!answer) {
      loop_.run_one();
    }
    return *answer;
  }

  ReadResult Read(Collection collection, bool watch) {
    metadata::ReadCall call;
    call.collection = collection;
    call.timeout = common::Duration(5'000'000);
    if (watch) {
      call.after_revision = model::Revision(3, 0);
    }
    return Wait<ReadResult>([&](StoreClient& client, auto handler) { client.Read(call, handler); });
  }

 private:
  asio::io_context loop_;
  net::HttpServer server_;
  bool listening_;
};

net::HttpResponse Ok(const std::string& body) { return {200, body, "application/json", {}}; }

/// Reads a list, or a watch's events, of one odd object between two valid ones.
ReadResult ReadWithOdd(const std::string& odd, bool watch) {
  const std::string first = Object("i-1", kValidSpec);
  const std::string last = Object("i-3", kValidSpec);
  const auto event = [](const std::string& object) { return R"({"object":)" + object + "}"; };
  const std::string body =
      watch
          ? R"({"events":[)" + event(first) + "," + event(odd) + "," + event(last) + R"(],"at":9})"
          : R"({"items":[)" + first + "," + odd + "," + last + R"(],"at":9})";
  Store store([&](const net::HttpMessage&) { return Ok(body); });
  return store.Read(Collection::kInstances, watch);
}

}  // namespace

TEST_CASE("An entry that the parser rejects leaves the list and the watch readable", "[platform]") {
  const bool watch = GENERATE(false, true);
  const std::string spec =
      GENERATE(SpecWith("1e400"), SpecWith("-1e400"), SpecWith("NaN"), SpecWith(R"("\ud800")"),
               SpecWith(R"("\udc00\ud800")"), SpecWith("\"\xFF\""), SpecWith("\"a\x01\""),
               SpecWith(Nested(40)), SpecWith(Nested(100'000)), SpecWith(Nested(1'000'000)),
               absl::StrReplaceAll(kValidSpec, {{R"("slots":3)", R"("slots":1e400)"}}),
               std::string("1e400"), std::string("\"\\ud800\""), Nested(1'000'000));
  INFO(spec.substr(0, 300));
  const ReadResult result = ReadWithOdd(Object("i-2", spec), watch);
  REQUIRE(result.status == ReadStatus::kOk);
  REQUIRE(result.objects.size() == 3);
  CHECK(std::holds_alternative<InstanceEntry>(result.objects[0].payload));
  REQUIRE(std::holds_alternative<UnusableEntry>(result.objects[1].payload));
  CHECK(result.objects[1].name == "i-2");
  CHECK(std::holds_alternative<InstanceEntry>(result.objects[2].payload));
}

TEST_CASE("An entry with an address or a number out of range is unusable", "[platform]") {
  const std::string spec = GENERATE(
      absl::StrReplaceAll(kValidSpec, {{"9:8080", "9:65536"}}),
      absl::StrReplaceAll(kValidSpec, {{"9:8080", "9:-1"}}),
      absl::StrReplaceAll(kValidSpec, {{"9:8080", "9:99999999999999999999"}}),
      absl::StrReplaceAll(kValidSpec, {{R"("slots":3)", R"("slots":18446744073709551616)"}}),
      absl::StrReplaceAll(kValidSpec, {{R"("warmup_left_ms":0)", R"("warmup_left_ms":1e308)"}}));
  INFO(spec);
  const ReadResult result = ReadWithOdd(Object("i-2", spec), false);
  REQUIRE(result.status == ReadStatus::kOk);
  REQUIRE(result.objects.size() == 3);
  CHECK(std::holds_alternative<UnusableEntry>(result.objects[1].payload));
}

TEST_CASE("An object whose name is no text leaves the list and the watch readable", "[platform]") {
  const bool watch = GENERATE(false, true);
  const std::string name = GENERATE(as<std::string>(), "\\ud800", "i-\xFF", "a\x01");
  const ReadResult result = ReadWithOdd(Object(name, kValidSpec), watch);
  REQUIRE(result.status == ReadStatus::kOk);
  CHECK(result.objects.size() == 2);
  CHECK(result.unreadable_names == 1);
}

TEST_CASE("A list goes on after a page of objects whose names are no text", "[platform]") {
  std::vector<std::string> targets;
  Store store([&](const net::HttpMessage& request) {
    targets.push_back(request.target);
    const bool first = request.target.find("after=") == std::string::npos;
    return Ok(first ? R"({"items":[)" + Object("i-\xFF", kValidSpec) + R"(],"more":true,"at":9})"
                    : R"({"items":[)" + Object("j-1", kValidSpec) + R"(],"more":false,"at":9})");
  });
  const ReadResult result = store.Read(Collection::kInstances, false);
  REQUIRE(result.status == ReadStatus::kOk);
  REQUIRE(result.objects.size() == 1);
  CHECK(result.objects[0].name == "j-1");
  CHECK(result.unreadable_names == 1);
  REQUIRE(targets.size() == 2);
  CHECK(targets[1].find("after=i-%FF") != std::string::npos);
}

TEST_CASE("A list goes on after a name that holds the mark of unreadable text itself",
          "[platform]") {
  const std::string name = GENERATE(as<std::string>(), "m\\uFFfF41",
                                    "m\xEF\xBF\xBF"
                                    "41");
  std::string next;
  Store store([&](const net::HttpMessage& request) {
    const std::size_t after = request.target.find("after=");
    if (after == std::string::npos) {
      return Ok(R"({"items":[)" + Object(name, kValidSpec) + R"(],"more":true,"at":9})");
    }
    next = request.target.substr(after);
    return Ok(R"({"items":[)" + Object("n-1", kValidSpec) + R"(],"more":false,"at":9})");
  });
  const ReadResult result = store.Read(Collection::kInstances, false);
  CHECK(result.status == ReadStatus::kOk);
  CHECK(result.objects.size() == 1);
  CHECK(next == "after=m%EF%BF%BF41");
}

TEST_CASE("A list whose pages go round in a circle ends as unreadable", "[platform]") {
  int requests = 0;
  Store store([&](const net::HttpMessage&) {
    const std::string name = ++requests % 2 == 0 ? "i-1" : "i-2";
    return Ok(R"({"items":[)" + Object(name, kValidSpec) + R"(],"more":true,"at":9})");
  });
  CHECK(store.Read(Collection::kInstances, false).status == ReadStatus::kUnreadable);
  CHECK(requests == 3);
}

TEST_CASE("A holder whose name is not UTF-8 does not end the process", "[platform]") {
  Store store([](const net::HttpMessage&) { return Ok("{}"); });
  proxy::WriteHolders write;
  write.service = "group";
  write.record.holders["i-\xFF"] = {{"10.0.0.1", 80}, "zone\xC3"};
  const auto result = store.Wait<proxy::HolderResult>(
      [&](StoreClient& client, auto handler) { client.WriteHolders(write, handler); });
  CHECK(result.status == failover::WriteStatus::kNoAnswer);
}

TEST_CASE("A list that does not get on from a name ends as unreadable", "[platform]") {
  int requests = 0;
  Store store([&](const net::HttpMessage&) {
    ++requests;
    return Ok(R"({"items":[)" + Object("i-1", kValidSpec) + R"(],"more":true,"at":9})");
  });
  CHECK(store.Read(Collection::kInstances, false).status == ReadStatus::kUnreadable);
  CHECK(requests == 2);
}

TEST_CASE("An answer that is no JSON at all is told apart from no answer", "[platform]") {
  const bool watch = GENERATE(false, true);
  const std::string body = GENERATE(as<std::string>(), "", "{", "<html>", R"({"items":[]})", "[1]");
  Store store([&](const net::HttpMessage&) { return Ok(body); });
  CHECK(store.Read(Collection::kInstances, watch).status == ReadStatus::kUnreadable);
}

TEST_CASE("A configuration with an odd field that is not used is read", "[platform]") {
  const std::string value =
      GENERATE(std::string("1e400"), Nested(1'000'000), std::string("\"\\ud800\""));
  Store store([&](const net::HttpMessage&) {
    return Ok(Object("main", R"({"version":7,"routes":[],"services":[],"note":)" + value + "}"));
  });
  using Read = std::optional<std::pair<model::Configuration, model::Revision>>;
  const auto read = store.Wait<Read>(
      [](StoreClient& client, auto handler) { client.ReadConfiguration(handler); });
  REQUIRE(read);
  CHECK(read->first.version == 7);
}

TEST_CASE("An unreadable answer on one object is reported once and passed on as none",
          "[platform]") {
  Store store([](const net::HttpMessage&) { return Ok("{\"meta\":7"); });
  std::vector<std::string> reported;
  const auto report = [&reported](StoreClient& client) {
    client.SetUnreadableHandler([&reported](const host::UnreadableAnswer& answer) {
      reported.push_back(std::string(answer.call) + " " + answer.collection + "/" + answer.name);
    });
  };
  using Configuration = std::optional<std::pair<model::Configuration, model::Revision>>;
  CHECK_FALSE(store.Wait<Configuration>([&](StoreClient& client, auto handler) {
    report(client);
    client.ReadConfiguration(handler);
  }));
  using Leadership = std::optional<std::pair<model::LeadershipRecord, model::Revision>>;
  CHECK_FALSE(store.Wait<Leadership>([&](StoreClient& client, auto handler) {
    report(client);
    client.ReadLeadership(2, handler);
  }));
  const auto holders = store.Wait<proxy::HolderResult>([&](StoreClient& client, auto handler) {
    report(client);
    client.ReadHolders("s1", handler);
  });
  CHECK(holders.status == failover::WriteStatus::kNoAnswer);
  CHECK(reported == std::vector<std::string>{"read_configuration configuration/main",
                                             "read_leadership leadership/leader-2",
                                             "read_holders holders/s1"});
}

TEST_CASE("A daemon's own entry that another writer has nested deeply is replaced", "[platform]") {
  std::vector<std::string> methods;
  Store store([&](const net::HttpMessage& request) {
    methods.push_back(request.method);
    return request.method == "POST"
               ? net::HttpResponse{409, Object("d-1", Nested(1'000'000)), "application/json", {}}
               : Ok(Object("d-1", "{}"));
  });
  const model::DaemonEntry entry{"d-1", "a", {"127.0.0.1", 7440}, 1};
  const bool written = store.Wait<bool>(
      [&](StoreClient& client, auto handler) { client.WriteDaemon(entry, handler); });
  CHECK(written);
  CHECK(methods == std::vector<std::string>{"POST", "PUT"});
}

}  // namespace valvekeel::platform
