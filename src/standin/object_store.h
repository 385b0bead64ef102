// The stand-in platform's objects: versions, compare-and-swap, watch history.
//
// Owns: the objects and the recent events. Invariant: the resource version grows with every change;
// an update with a stale version changes nothing. Thread: any, under its own lock.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/result.h"

namespace valvekeel::standin {

/// An error in the HTTP form of the object API.
struct ObjectError {
  int status = 0;  // 404, 409, 410 or 422
  std::string reason;
};

using ObjectResult = common::Result<nlohmann::json, ObjectError>;

/// A change as a watch reports it.
struct ObjectEvent {
  std::uint64_t version = 0;
  std::string type;  // ADDED, MODIFIED or DELETED
  std::string kind;
  nlohmann::json object;
};

/// Objects by kind and name.
class ObjectStore {
 public:
  /// @param history number of events kept for watches that resume.
  explicit ObjectStore(std::size_t history) : history_(history) {}

  ObjectResult Get(const std::string& kind, const std::string& name);

  /// @return all objects of the kind and the version of the list.
  nlohmann::json List(const std::string& kind);

  /// Creates (version absent or 0) or replaces (version equal to the stored one) an object.
  ObjectResult Put(const std::string& kind, const std::string& name, const nlohmann::json& object);

  ObjectResult Delete(const std::string& kind, const std::string& name, std::uint64_t version);

  /// Waits for changes of the kind after the version.
  /// @param wait_ms most milliseconds to wait. @return the changes, none if the time ran out, or
  /// 410 if the version is older than the history.
  common::Result<std::vector<ObjectEvent>, ObjectError> WaitForEvents(const std::string& kind,
                                                                      std::uint64_t version,
                                                                      int wait_ms);

  /// @return the version of the latest change.
  std::uint64_t Version();

  /// Forgets the watch history, so that watches get 410.
  void DropHistory();

 private:
  void Record(const std::string& type, const std::string& kind, const nlohmann::json& object);

  std::size_t history_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::deque<ObjectEvent> events_;
  std::uint64_t version_ = 1;
  std::uint64_t dropped_ = 1;  // events up to this version are gone
};

}  // namespace valvekeel::standin
