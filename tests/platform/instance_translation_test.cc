// Tests that malformed entries of other writers don't affect the entries of instances.

#include "instance_translation.h"

#include <catch2/catch.hpp>
#include <random>

#include "catalog_translation.h"
#include "store_body.h"

namespace valvekeel::platform {
namespace {

using model::EntryDefect;
using model::InstanceEntry;
using model::UnusableEntry;
using nlohmann::json;

json ValidSpec() {
  return {{"service", "group"},  {"addr", "10.128.0.9:8080"}, {"zone", "a"}, {"version", "v1"},
          {"slots", 3},          {"state", "ready"},          {"seq", 4},    {"db_role", "replica"},
          {"warmup_left_ms", 0}, {"born", 1778441011418}};
}

EntryDefect DefectOf(const json& spec, const std::string& id = "i-1") {
  const auto entry = ParseInstanceEntry(id, spec);
  REQUIRE(std::holds_alternative<UnusableEntry>(entry));
  return std::get<UnusableEntry>(entry).defect;
}

json SpecWith(const char* field, const json& value) {
  json spec = ValidSpec();
  spec[field] = value;
  return spec;
}

json Object(const std::string& name, const json& spec) {
  return {{"meta", {{"name", name}, {"revision", 12}}}, {"spec", spec}, {"status", nullptr}};
}

/// A random JSON value, as another writer may put it into a field.
json AnyValue(std::mt19937_64& random, int depth = 0) {
  constexpr int kMaxDepth = 8;
  switch (random() % (depth < kMaxDepth ? 12 : 10)) {
    case 0:
      return nullptr;
    case 1:
      return random() % 2 == 0;
    case 2:
      return static_cast<std::int64_t>(random());
    case 3:
      return random();
    case 4:
      return 1e300;
    case 5:
      return -1;
    case 6:
      return std::string(random() % 1'000, 'x');
    case 7:
      return "10.0.0.1:99999";
    case 8:
      return "\xEF\xBF\xBF";
    case 9:
      return "";
    case 10:
      return json::array({AnyValue(random, depth + 1), AnyValue(random, depth + 1)});
    default:
      return json{{"x", AnyValue(random, depth + 1)}};
  }
}

/// @return the object with one random change that no instance makes.
json MutatedObject(std::mt19937_64& random, json object) {
  static const std::vector<std::string> kFields = {"service", "addr",    "zone",           "slots",
                                                   "state",   "db_role", "warmup_left_ms", "seq",
                                                   "version", "born"};
  const std::string& field = kFields[random() % kFields.size()];
  switch (random() % 6) {
    case 0:
      object["spec"].erase(field);
      break;
    case 1:
      object["meta"]["name"] = AnyValue(random);
      break;
    case 2:
      object["spec"] = AnyValue(random);
      break;
    case 3:
      object.erase(random() % 2 == 0 ? "spec" : "meta");
      break;
    case 4:
      return AnyValue(random);
    default:
      object["spec"][field] = AnyValue(random);
      break;
  }
  return object;
}

}  // namespace

TEST_CASE("An entry with a missing field or a field of the wrong type is unusable", "[platform]") {
  const json valid = ValidSpec();
  for (const auto& [field, value] : valid.items()) {
    INFO(field);
    if (field != "born") {
      json spec = ValidSpec();
      spec.erase(field);
      CHECK(DefectOf(spec) == EntryDefect::kMissingField);
    }
    CHECK(DefectOf(SpecWith(field.c_str(), json::array())) == EntryDefect::kWrongType);
  }
  CHECK(DefectOf(SpecWith("seq", "4")) == EntryDefect::kWrongType);
  CHECK(DefectOf(SpecWith("born", 1.5)) == EntryDefect::kWrongType);
  CHECK(DefectOf("text") == EntryDefect::kWrongType);
}

TEST_CASE("An entry with an invalid enum value, address or number is unusable", "[platform]") {
  CHECK(DefectOf(SpecWith("state", "resting")) == EntryDefect::kUnknownWord);
  CHECK(DefectOf(SpecWith("db_role", "witness")) == EntryDefect::kUnknownWord);
  CHECK(DefectOf(SpecWith("addr", "group:8080")) == EntryDefect::kBadAddress);
  CHECK(DefectOf(SpecWith("addr", "10.0.0.1:0")) == EntryDefect::kBadAddress);
  CHECK(DefectOf(SpecWith("addr", "0.0.0.0:80")) == EntryDefect::kBadAddress);
  CHECK(DefectOf(SpecWith("slots", 1e300)) == EntryDefect::kWrongType);
  CHECK(DefectOf(SpecWith("slots", 4'000'000'000)) == EntryDefect::kOutOfRange);
  CHECK(DefectOf(SpecWith("slots", -1)) == EntryDefect::kOutOfRange);
  CHECK(DefectOf(SpecWith("warmup_left_ms", 1e300)) == EntryDefect::kOutOfRange);
  CHECK(DefectOf(SpecWith("service", std::string(1'000, 'g'))) == EntryDefect::kOutOfRange);
  CHECK(DefectOf(ValidSpec(), std::string(1'000, 'i')) == EntryDefect::kOutOfRange);
}

TEST_CASE("Invalid UTF-8 makes one entry unusable and leaves the others usable", "[platform]") {
  const std::string valid = Object("i-1", ValidSpec()).dump();
  std::string invalid = Object("i-2", SpecWith("version", "v-MARK")).dump();
  invalid.replace(invalid.find("MARK"), 4, "\xC3(\xFF");
  const std::string body = "[" + valid + "," + invalid + "]";
  REQUIRE_THROWS(json::parse(body));
  const json both = ParseStoreBody(body).value();
  const auto first = Translate(model::Collection::kInstances, both.at(0));
  const auto second = Translate(model::Collection::kInstances, both.at(1));
  REQUIRE(first);
  REQUIRE(second);
  CHECK(std::holds_alternative<InstanceEntry>(first->payload));
  REQUIRE(std::holds_alternative<UnusableEntry>(second->payload));
  CHECK(std::get<UnusableEntry>(second->payload).defect == EntryDefect::kBadText);
  CHECK(ParseStoreBody("\"h\xC3\xA4lt\"") == json("h\xC3\xA4lt"));
}

TEST_CASE("No malformed entry throws or makes a valid entry unusable", "[platform]") {
  constexpr int kEntries = 100'000;
  std::mt19937_64 random(20'261);
  int usable = 0;
  for (int number = 0; number < kEntries; ++number) {
    const json valid = Object("i-1", ValidSpec());
    json page = json::array({MutatedObject(random, valid), valid});
    // In every tenth object one byte is replaced, which may leave invalid UTF-8.
    if (number % 10 == 0) {
      std::string text = page.at(0).dump();
      text[random() % text.size()] = static_cast<char>(random());
      page[0] = ParseStoreBody(text).value_or(json(nullptr));
    }
    const auto other = Translate(model::Collection::kInstances, page.at(0));
    const auto unchanged = Translate(model::Collection::kInstances, page.at(1));
    REQUIRE(unchanged);
    REQUIRE(std::holds_alternative<InstanceEntry>(unchanged->payload));
    usable += other && std::holds_alternative<InstanceEntry>(other->payload) ? 1 : 0;
  }
  // Some random changes yield a value that is valid in its field, such as a name or a number.
  CHECK(usable < kEntries / 4);
}

}  // namespace valvekeel::platform
