#include "configuration/specs.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <utility>

#include "common/text.h"

namespace valvekeel::configuration {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxConnections = 10000;
constexpr std::uint32_t kMaxSlots = 1000;
constexpr double kMaxShare = 1e6;
constexpr std::uint32_t kMaxPort = 65535;

/// Reads the fields of one JSON object and appends every validation error to a list.
class FieldReader {
 public:
  FieldReader(const json& object, std::string path, std::vector<SpecError>& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {
    if (!object_.is_object()) {
      Fail("", "is not an object");
    }
  }

  std::string Text(const char* field, bool required) {
    const json* value = Get(field, required);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
      Fail(field, "is not a non-empty text");
      return {};
    }
    return value->get<std::string>();
  }

  std::uint32_t Number(const char* field, std::uint32_t fallback, std::uint32_t lowest,
                       std::uint32_t highest) {
    const json* value = Get(field, false);
    if (value == nullptr) {
      return fallback;
    }
    const bool inside = value->is_number_integer() && value->get<std::int64_t>() >= lowest &&
                        value->get<std::int64_t>() <= highest;
    if (!inside) {
      Fail(field, absl::StrCat("is not an integer from ", lowest, " to ", highest));
      return fallback;
    }
    return value->get<std::uint32_t>();
  }

  double Real(const char* field, double fallback, double above, double highest) {
    const json* value = Get(field, false);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number() || value->get<double>() <= above || value->get<double>() > highest) {
      Fail(field, absl::StrCat("is not a number above ", above, " and at most ", highest));
      return fallback;
    }
    return value->get<double>();
  }

  const json* List(const char* field) {
    const json* value = Get(field, true);
    if (value == nullptr) {
      return nullptr;
    }
    if (!value->is_array() || value->empty()) {
      Fail(field, "is not a non-empty list");
      return nullptr;
    }
    return value;
  }

  void Fail(std::string_view field, std::string reason) {
    const bool needs_separator = !path_.empty() && !field.empty();
    errors_.push_back({absl::StrCat(path_, needs_separator ? "." : "", common::ToAbsl(field)),
                       std::move(reason)});
  }

  /// Adds an error for every field of the object that was not read.
  void RejectUnknownFields() {
    if (!object_.is_object()) {
      return;
    }
    for (const auto& [name, value] : object_.items()) {
      if (!known_.contains(name)) {
        Fail(name, "is not a known field");
      }
    }
  }

 private:
  const json* Get(const char* field, bool required) {
    known_.insert(field);
    if (!object_.is_object() || !object_.contains(field)) {
      if (required) {
        Fail(field, "is missing");
      }
      return nullptr;
    }
    return &object_.at(field);
  }

  const json& object_;
  std::string path_;
  std::vector<SpecError>& errors_;
  std::set<std::string> known_;
};

InstanceSpec ReadInstance(const json& value, const std::string& path,
                          std::vector<SpecError>& errors) {
  FieldReader reader(value, path, errors);
  InstanceSpec instance;
  instance.id = reader.Text("id", true);
  instance.zone = reader.Text("zone", true);
  instance.address.host = reader.Text("host", true);
  instance.address.port = static_cast<std::uint16_t>(reader.Number("port", 0, 1, kMaxPort));
  if (instance.address.port == 0) {
    reader.Fail("port", "is missing");
  }
  const std::string intent = reader.Text("intent", false);
  if (intent == "leaving") {
    instance.intent = InstanceIntent::kLeaving;
  } else if (!intent.empty() && intent != "active") {
    reader.Fail("intent", "is neither \"active\" nor \"leaving\"");
  }
  instance.connections = reader.Number("connections", instance.connections, 2, kMaxConnections);
  instance.slots = reader.Number("slots", instance.slots, 1, kMaxSlots);
  reader.RejectUnknownFields();
  return instance;
}

}  // namespace

SpecResult<DatabaseSpec> ReadDatabaseSpec(const std::string& name, const json& spec) {
  std::vector<SpecError> errors;
  FieldReader reader(spec, "", errors);
  DatabaseSpec database;
  database.name = name;
  std::set<std::string> ids;
  if (const json* instances = reader.List("instances")) {
    for (std::size_t i = 0; i < instances->size(); ++i) {
      const std::string path = absl::StrCat("instances[", i, "]");
      database.instances.push_back(ReadInstance(instances->at(i), path, errors));
      if (!ids.insert(database.instances.back().id).second) {
        errors.push_back({path + ".id", "names another instance of the list too"});
      }
    }
  }
  reader.RejectUnknownFields();
  if (!errors.empty()) {
    return errors;
  }
  return database;
}

SpecResult<ShareGroupSpec> ReadShareGroupSpec(const std::string& name, const json& spec) {
  std::vector<SpecError> errors;
  FieldReader reader(spec, "", errors);
  ShareGroupSpec group;
  group.name = name;
  group.share = reader.Real("share", group.share, 0.0, kMaxShare);
  if (const json* databases = reader.List("databases")) {
    for (std::size_t i = 0; i < databases->size(); ++i) {
      if (!databases->at(i).is_string()) {
        errors.push_back({absl::StrCat("databases[", i, "]"), "is not a text"});
        continue;
      }
      group.databases.push_back(databases->at(i).get<std::string>());
    }
  }
  group.minimum = reader.Number("minimum", 0, 0, kMaxSlots);
  group.maximum = reader.Number("maximum", 0, 0, kMaxSlots);
  if (group.maximum != 0 && group.minimum > group.maximum) {
    errors.push_back({"minimum", "is above maximum"});
  }
  reader.RejectUnknownFields();
  if (!errors.empty()) {
    return errors;
  }
  return group;
}

json ToJson(const DatabaseSpec& spec) {
  json instances = json::array();
  for (const InstanceSpec& instance : spec.instances) {
    instances.push_back(
        {{"id", instance.id},
         {"zone", instance.zone},
         {"host", instance.address.host},
         {"port", instance.address.port},
         {"intent", instance.intent == InstanceIntent::kActive ? "active" : "leaving"},
         {"connections", instance.connections},
         {"slots", instance.slots}});
  }
  return {{"instances", std::move(instances)}};
}

json ToJson(const ShareGroupSpec& spec) {
  return {{"share", spec.share},
          {"databases", spec.databases},
          {"minimum", spec.minimum},
          {"maximum", spec.maximum}};
}

}  // namespace valvekeel::configuration
