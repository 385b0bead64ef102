#include "object_store/client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <optional>
#include <utility>

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

httplib::Client MakeClient(const cluster::Endpoint& address) {
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kConnectSeconds);
  client.set_read_timeout(kAnswerSeconds);
  client.set_write_timeout(kAnswerSeconds);
  return client;
}

std::optional<Object> ReadObject(const json& value) {
  if (!value.is_object() || !value.contains("metadata") || !value.at("metadata").is_object()) {
    return std::nullopt;
  }
  const json& metadata = value.at("metadata");
  Object object;
  object.kind = value.value("kind", "");
  object.name = metadata.value("name", "");
  const std::string version = metadata.value("resourceVersion", std::string("0"));
  if (!absl::SimpleAtoi(version, &object.version)) {
    return std::nullopt;
  }
  object.spec = value.value("spec", json::object());
  object.status = value.value("status", json::object());
  return object;
}

PlatformError ErrorOfStatus(int status, const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  const std::string message =
      parsed.is_object() ? parsed.value("message", body) : absl::StrCat("HTTP status ", status);
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
  json parsed = json::parse(result->body, nullptr, false);
  if (parsed.is_discarded()) {
    return PlatformError{FaultKind::kInvalid, "the answer is not JSON"};
  }
  return parsed;
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
  explicit WatchReader(const std::function<void(const WatchEvent&)>& on_event)
      : on_event_(on_event) {}

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
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("object")) {
      error_ = PlatformError{FaultKind::kInvalid, "a watch event cannot be read"};
      return false;
    }
    const std::string type = parsed.value("type", "");
    const json& value = parsed.at("object");
    if (type == "ERROR") {
      error_ = ErrorOfStatus(value.value("code", kServerErrors), value.dump());
      return false;
    }
    auto object = ReadObject(value);
    if (!object) {
      error_ = PlatformError{FaultKind::kInvalid, "a watch event has no object"};
      return false;
    }
    on_event_({type == "DELETED", type == "BOOKMARK", std::move(*object)});
    return true;
  }

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
  if (!header || !value.contains("items")) {
    return PlatformError{FaultKind::kInvalid, "the answer is not a list"};
  }
  ObjectList list;
  list.version = header->version;
  for (const json& item : value.at("items")) {
    if (auto object = ReadObject(item)) {
      list.items.push_back(std::move(*object));
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
  WatchReader reader(on_event);
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
