// Client of the platform's object API.
//
// Owns: the HTTP connections of its calls. Invariant: a change whose answer did not arrive is
// reported as of unknown outcome, never as failed. Thread: blocking, so never on the event loop.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "common/result.h"

namespace valvekeel::object_store {

enum class FaultKind : std::uint8_t {
  kUnavailable,  // no answer, nothing was changed (reads) or it is not known (changes)
  kConflict,     // the object has another version
  kNotFound,
  kTooOld,          // the watch's version is no longer known
  kOutcomeUnknown,  // a change was sent and its answer did not arrive
  kInvalid,         // the answer cannot be read or the request was refused
};

struct PlatformError {
  FaultKind kind = FaultKind::kUnavailable;
  std::string message;
};

/// An object of the API. Its contents are null if they hold something that can't be represented.
struct Object {
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  nlohmann::json spec;
  nlohmann::json status;
};

struct ObjectList {
  std::uint64_t version = 0;
  std::vector<Object> items;
  std::size_t unreadable = 0;  // objects whose name or version can't be read
};

/// What a watch reports.
struct WatchEvent {
  bool deleted = false;
  bool bookmark = false;  // only the version has moved
  Object object;
};

template <typename Value>
using PlatformResult = common::Result<Value, PlatformError>;

class Client {
 public:
  explicit Client(cluster::Endpoint address) : address_(std::move(address)) {}

  PlatformResult<Object> Get(const std::string& kind, const std::string& name) const;
  PlatformResult<ObjectList> List(const std::string& kind) const;

  /// Creates (version 0) or replaces the object if its version is still the given one.
  PlatformResult<Object> Put(const Object& object) const;
  PlatformResult<common::Unit> Delete(const std::string& kind, const std::string& name,
                                      std::uint64_t version) const;

  /// Follows changes after the version until the stream ends or stop is set.
  /// @param on_event called on this thread. @return why the stream ended.
  PlatformError Watch(const std::string& kind, std::uint64_t version, const std::atomic<bool>& stop,
                      const std::function<void(const WatchEvent&)>& on_event) const;

 private:
  cluster::Endpoint address_;
};

}  // namespace valvekeel::object_store
