#include "history/event.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace valvekeel::history {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<std::string_view, Operation>, 13> kOperations = {{
    {"write", Operation::kWrite},
    {"read", Operation::kRead},
    {"insert", Operation::kInsert},
    {"pair_write", Operation::kPairWrite},
    {"pair_read", Operation::kPairRead},
    {"final_register", Operation::kFinalRegister},
    {"final_entry", Operation::kFinalEntry},
    {"leaving", Operation::kLeaving},
    {"served", Operation::kServed},
    {"planned_stop", Operation::kPlannedStop},
    {"config_accepted", Operation::kConfigAccepted},
    {"config_in_force", Operation::kConfigInForce},
    {"mark", Operation::kMark},
}};

constexpr std::array<std::pair<std::string_view, Outcome>, 4> kOutcomes = {{
    {"ok", Outcome::kOk},
    {"not_run", Outcome::kNotRun},
    {"failed", Outcome::kFailed},
    {"unknown", Outcome::kUnknown},
}};

template <typename Table, typename Value>
std::string NameOf(const Table& table, Value value) {
  for (const auto& [name, known] : table) {
    if (known == value) {
      return std::string(name);
    }
  }
  return "";
}

template <typename Table, typename Value>
bool Find(const Table& table, const std::string& name, Value* value) {
  for (const auto& [known, entry] : table) {
    if (known == name) {
      *value = entry;
      return true;
    }
  }
  return false;
}

void SetIfGiven(json& object, const char* name, const std::string& text) {
  if (!text.empty()) {
    object[name] = text;
  }
}

}  // namespace

bool IsRequest(Operation operation) {
  return operation == Operation::kWrite || operation == Operation::kRead ||
         operation == Operation::kInsert || operation == Operation::kPairWrite ||
         operation == Operation::kPairRead;
}

std::string FormatEvent(const Event& event) {
  json object = {{"op", NameOf(kOperations, event.operation)},
                 {"outcome", NameOf(kOutcomes, event.outcome)},
                 {"process", event.process},
                 {"session", event.session},
                 {"key", event.key},
                 {"value", event.value},
                 {"start_us", event.start_us},
                 {"end_us", event.end_us}};
  if (event.operation == Operation::kPairRead) {
    object["second"] = event.second;
  }
  if (event.rows != 1) {
    object["rows"] = event.rows;
  }
  SetIfGiven(object, "target", event.target);
  SetIfGiven(object, "tag_sent", event.tag_sent);
  SetIfGiven(object, "tag_received", event.tag_received);
  SetIfGiven(object, "sqlstate", event.sqlstate);
  return object.dump();
}

common::Result<Event, std::string> ParseEvent(const std::string& line) {
  const json object = json::parse(line, nullptr, false);
  if (!object.is_object()) {
    return std::string("is not a JSON object");
  }
  Event event;
  try {
    if (!Find(kOperations, object.at("op").get<std::string>(), &event.operation)) {
      return absl::StrCat("op ", object.at("op").dump(), " is not known");
    }
    const std::string outcome = object.value("outcome", std::string("ok"));
    if (!Find(kOutcomes, outcome, &event.outcome)) {
      return absl::StrCat("outcome \"", outcome, "\" is not known");
    }
    event.key = object.at("key").get<std::string>();
    event.start_us = object.at("start_us").get<std::int64_t>();
    event.end_us = object.value("end_us", event.start_us);
    event.process = object.value("process", std::uint64_t{0});
    event.session = object.value("session", std::uint64_t{0});
    event.value = object.value("value", std::int64_t{0});
    event.second = object.value("second", std::int64_t{0});
    event.rows = object.value("rows", std::int64_t{1});
    event.target = object.value("target", std::string());
    event.tag_sent = object.value("tag_sent", std::string());
    event.tag_received = object.value("tag_received", std::string());
    event.sqlstate = object.value("sqlstate", std::string());
  } catch (const json::exception& error) {
    return std::string(error.what());
  }
  if (event.end_us < event.start_us) {
    return std::string("end_us is before start_us");
  }
  return event;
}

common::Result<std::vector<Event>, HistoryError> ReadHistory(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return HistoryError{0, absl::StrCat("cannot open ", path)};
  }
  std::vector<Event> events;
  std::string line;
  std::size_t number = 0;
  while (std::getline(file, line)) {
    ++number;
    if (line.empty()) {
      continue;
    }
    const auto event = ParseEvent(line);
    if (!common::IsOk(event)) {
      return HistoryError{number, common::ErrorOf(event)};
    }
    events.push_back(common::ValueOf(event));
  }
  return events;
}

}  // namespace valvekeel::history
