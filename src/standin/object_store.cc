#include "standin/object_store.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <chrono>

namespace valvekeel::standin {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;

std::uint64_t VersionOf(const json& object) {
  std::uint64_t version = 0;
  if (object.contains("metadata")) {
    const std::string text = object.at("metadata").value("resourceVersion", std::string("0"));
    if (!absl::SimpleAtoi(text, &version)) {
      version = 0;
    }
  }
  return version;
}

}  // namespace

void ObjectStore::Record(const std::string& type, const std::string& kind, const json& object) {
  events_.push_back({version_, type, kind, object});
  while (events_.size() > history_) {
    dropped_ = events_.front().version;
    events_.pop_front();
  }
  changed_.notify_all();
}

ObjectResult ObjectStore::Get(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto objects = objects_.find(kind);
  if (objects == objects_.end() || !objects->second.contains(name)) {
    return ObjectError{kNotFound, absl::StrCat(kind, "/", name, " does not exist")};
  }
  return objects->second.at(name);
}

json ObjectStore::List(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  json items = json::array();
  for (const auto& [name, object] : objects_[kind]) {
    items.push_back(object);
  }
  return {{"metadata", {{"resourceVersion", absl::StrCat(version_)}}}, {"items", items}};
}

ObjectResult ObjectStore::Put(const std::string& kind, const std::string& name,
                              const json& object) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& objects = objects_[kind];
  const auto stored = objects.find(name);
  const std::uint64_t expected = stored == objects.end() ? 0 : VersionOf(stored->second);
  if (VersionOf(object) != expected) {
    return ObjectError{kConflict,
                       absl::StrCat(kind, "/", name, " is at version ", expected,
                                    ", the update was made from version ", VersionOf(object))};
  }
  ++version_;
  json updated = object;
  updated["kind"] = kind;
  updated["metadata"]["name"] = name;
  updated["metadata"]["resourceVersion"] = absl::StrCat(version_);
  objects[name] = updated;
  Record(expected == 0 ? "ADDED" : "MODIFIED", kind, updated);
  return updated;
}

ObjectResult ObjectStore::Delete(const std::string& kind, const std::string& name,
                                 std::uint64_t version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& objects = objects_[kind];
  const auto stored = objects.find(name);
  if (stored == objects.end()) {
    return ObjectError{kNotFound, absl::StrCat(kind, "/", name, " does not exist")};
  }
  if (version != 0 && version != VersionOf(stored->second)) {
    return ObjectError{kConflict, absl::StrCat(kind, "/", name, " has changed")};
  }
  json removed = stored->second;
  objects.erase(stored);
  ++version_;
  removed["metadata"]["resourceVersion"] = absl::StrCat(version_);
  Record("DELETED", kind, removed);
  return removed;
}

common::Result<std::vector<ObjectEvent>, ObjectError> ObjectStore::WaitForEvents(
    const std::string& kind, std::uint64_t version, int wait_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  while (true) {
    if (version < dropped_) {
      return ObjectError{kGone, absl::StrCat("version ", version, " is too old")};
    }
    std::vector<ObjectEvent> found;
    for (const ObjectEvent& event : events_) {
      if (event.version > version && event.kind == kind) {
        found.push_back(event);
      }
    }
    if (!found.empty() || changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
      return found;
    }
  }
}

std::uint64_t ObjectStore::Version() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return version_;
}

void ObjectStore::DropHistory() {
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.clear();
  dropped_ = version_;
  changed_.notify_all();
}

}  // namespace valvekeel::standin
