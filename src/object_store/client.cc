#include "object_store/client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <optional>
#include <utility>

#include "bounded_json/bounded_json.h"

namespace valvekeel::object_store {
namespace {

using common::IsOk;
using common::ValueOf;
using nlohmann::json;

constexpr const char* kRoot = "/apis/valvekeel/v1/";
constexpr time_t kConnectSeconds = 1;
constexpr time_t kAnswerSeconds = 3;
constexpr int kOk = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kGoneStatus = 410;
constexpr int kServerErrors = 500;
constexpr int kMaxHttpStatus = 599;
/// Deepest accepted nesting of an answer, in which a specification has three levels. Specifications
/// are passed on to daemons, whose messages add levels and must stay within
/// bounded_json::MAX_DEPTH.
constexpr std::size_t kMaxDepth = bounded_json::MAX_DEPTH / 2;

httplib::Client MakeClient(const cluster::Endpoint& address) {
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kConnectSeconds);
  client.set_read_timeout(kAnswerSeconds);
  client.set_write_timeout(kAnswerSeconds);
  return client;
}

/// @return the text of a field; the fallback if the field is missing or is no text.
std::string TextOf(const json& object, const char* field, const std::string& fallback) {
  const auto found = object.find(field);
  return found != object.end() && found->is_string() ? found->get<std::string>() : fallback;
}

/// Parses a text to which several writers contribute. What one of them wrote and the parser rejects
/// is replaced by bounded_json::UNREADABLE_MARK. @return nothing if the rest is not JSON either.
std::optional<json> ParseShared(const std::string& text) {
  auto parsed = bounded_json::parse(text, kMaxDepth);
  if (!parsed) {
    parsed = bounded_json::parse(bounded_json::replace_unreadable(text, kMaxDepth), kMaxDepth);
  }
  return parsed;
}

/// @return the field; null, which is no valid content, if it holds something that was replaced.
json ContentOf(const json& value, const char* field) {
  const auto found = value.find(field);
  if (found == value.end()) {
    return json::object();
  }
  return bounded_json::is_marked(*found) ? json() : *found;
}

/// @return the object; nothing if its name or version can't be read.
std::optional<Object> ReadObject(const json& value) {
  if (!value.is_object() || !value.contains("metadata") || !value.at("metadata").is_object()) {
    return std::nullopt;
  }
  const json& metadata = value.at("metadata");
  Object object;
  object.kind = TextOf(value, "kind", "");
  object.name = TextOf(metadata, "name", "");
  const bool named = !metadata.contains("name") || metadata.at("name").is_string();
  const bool versioned = !metadata.contains("resourceVersion") ||
                         absl::SimpleAtoi(TextOf(metadata, "resourceVersion", ""), &object.version);
  if (!named || !versioned || bounded_json::is_marked(std::string_view(object.name))) {
    return std::nullopt;
  }
  object.spec = ContentOf(value, "spec");
  object.status = ContentOf(value, "status");
  return object;
}

PlatformError ErrorOfStatus(int status, const std::string& body) {
  const auto parsed = bounded_json::parse(body, kMaxDepth);
  const std::string message = parsed && parsed->is_object() ? TextOf(*parsed, "message", body)
                                                            : absl::StrCat("HTTP status ", status);
  switch (status) {
    case kNotFoundStatus:
      return {FaultKind::kNotFound, message};
    case kConflictStatus:
      return {FaultKind::kConflict, message};
    case kGoneStatus:
      return {FaultKind::kTooOld, message};
    default:
      break;
  }
  return {status >= kServerErrors ? FaultKind::kUnavailable : FaultKind::kInvalid, message};
}

/// @return the status that an error event of a watch names.
int StatusOf(const json& error) {
  const auto code = error.is_object() ? error.find("code") : error.end();
  const bool valid = error.is_object() && code != error.end() && code->is_number_unsigned() &&
                     *code <= kMaxHttpStatus;
  return valid ? code->get<int>() : kServerErrors;
}

/// @param changes true if the request changes something, so that no answer means unknown.
PlatformResult<json> ReadAnswer(const httplib::Result& result, bool changes) {
  if (!result) {
    const bool never_sent = result.error() == httplib::Error::Connection ||
                            result.error() == httplib::Error::ConnectionTimeout;
    const bool unknown = changes && !never_sent;
    return PlatformError{unknown ? FaultKind::kOutcomeUnknown : FaultKind::kUnavailable,
                         absl::StrCat("no answer: ", httplib::to_string(result.error()))};
  }
  if (result->status != kOk) {
    PlatformError error = ErrorOfStatus(result->status, result->body);
    if (changes && error.kind == FaultKind::kUnavailable) {
      error.kind = FaultKind::kOutcomeUnknown;
    }
    return error;
  }
  auto parsed = ParseShared(result->body);
  if (!parsed) {
    return PlatformError{FaultKind::kInvalid, "the answer is not JSON"};
  }
  return std::move(*parsed);
}

PlatformResult<Object> ReadObjectAnswer(const httplib::Result& result, bool changes) {
  const auto answer = ReadAnswer(result, changes);
  if (!IsOk(answer)) {
    return common::ErrorOf(answer);
  }
  auto object = ReadObject(ValueOf(answer));
  if (!object) {
    return PlatformError{FaultKind::kInvalid, "the answer is not an object"};
  }
  return std::move(*object);
}

/// Splits a watch's stream into lines and turns them into events.
class WatchReader {
 public:
  WatchReader(std::string kind, const std::function<void(const WatchEvent&)>& on_event)
      : kind_(std::move(kind)), on_event_(on_event) {}

  /// @return false if the stream must end; the error then says why.
  bool Take(const char* data, std::size_t size) {
    buffer_.append(data, size);
    std::size_t end = buffer_.find('\n');
    while (end != std::string::npos) {
      if (!TakeLine(buffer_.substr(0, end))) {
        return false;
      }
      buffer_.erase(0, end + 1);
      end = buffer_.find('\n');
    }
    return true;
  }

  const std::optional<PlatformError>& Error() const { return error_; }

 private:
  bool TakeLine(const std::string& line) {
    const auto parsed = ParseShared(line);
    if (!parsed || !parsed->is_object() || !parsed->contains("object")) {
      error_ = PlatformError{FaultKind::kInvalid, "a watch event cannot be read"};
      return false;
    }
    const std::string type = TextOf(*parsed, "type", "");
    const json& value = parsed->at("object");
    if (type == "ERROR") {
      error_ = ErrorOfStatus(StatusOf(value), value.dump());
      return false;
    }
    auto object = ReadObject(value);
    if (!object) {
      error_ = PlatformError{FaultKind::kInvalid, "a watch event has no object"};
      return false;
    }
    object->kind = kind_;
    on_event_({type == "DELETED", type == "BOOKMARK", std::move(*object)});
    return true;
  }

  std::string kind_;
  const std::function<void(const WatchEvent&)>& on_event_;
  std::string buffer_;
  std::optional<PlatformError> error_;
};

}  // namespace

PlatformResult<Object> Client::Get(const std::string& kind, const std::string& name) const {
  auto client = MakeClient(address_);
  return ReadObjectAnswer(client.Get(absl::StrCat(kRoot, kind, "/", name)), false);
}

PlatformResult<ObjectList> Client::List(const std::string& kind) const {
  auto client = MakeClient(address_);
  const auto answer = ReadAnswer(client.Get(absl::StrCat(kRoot, kind)), false);
  if (!IsOk(answer)) {
    return common::ErrorOf(answer);
  }
  const json& value = ValueOf(answer);
  const auto header = ReadObject(value);
  if (!header || !value.contains("items") || !value.at("items").is_array()) {
    return PlatformError{FaultKind::kInvalid, "the answer is not a list"};
  }
  ObjectList list;
  list.version = header->version;
  for (const json& item : value.at("items")) {
    if (auto object = ReadObject(item)) {
      object->kind = kind;
      list.items.push_back(std::move(*object));
    } else {
      ++list.unreadable;
    }
  }
  return list;
}

PlatformResult<Object> Client::Put(const Object& object) const {
  json body = {{"kind", object.kind},
               {"metadata", {{"name", object.name}}},
               {"spec", object.spec},
               {"status", object.status}};
  if (object.version != 0) {
    body["metadata"]["resourceVersion"] = absl::StrCat(object.version);
  }
  auto client = MakeClient(address_);
  return ReadObjectAnswer(client.Put(absl::StrCat(kRoot, object.kind, "/", object.name),
                                     body.dump(), "application/json"),
                          true);
}

PlatformResult<common::Unit> Client::Delete(const std::string& kind, const std::string& name,
                                            std::uint64_t version) const {
  auto client = MakeClient(address_);
  const auto answer = ReadAnswer(
      client.Delete(absl::StrCat(kRoot, kind, "/", name, "?resourceVersion=", version)), true);
  if (!IsOk(answer)) {
    return common::ErrorOf(answer);
  }
  return common::Unit{};
}

PlatformError Client::Watch(const std::string& kind, std::uint64_t version,
                            const std::atomic<bool>& stop,
                            const std::function<void(const WatchEvent&)>& on_event) const {
  auto client = MakeClient(address_);
  WatchReader reader(kind, on_event);
  int status = 0;
  const auto result = client.Get(
      absl::StrCat(kRoot, kind, "?watch=true&resourceVersion=", version),
      [&](const httplib::Response& response) {
        status = response.status;
        return status == kOk;
      },
      [&](const char* data, std::size_t size) { return !stop && reader.Take(data, size); });
  if (reader.Error()) {
    return *reader.Error();
  }
  if (status != 0 && status != kOk) {
    return ErrorOfStatus(status, "");
  }
  return {FaultKind::kUnavailable, "the watch ended"};
}

}  // namespace valvekeel::object_store
