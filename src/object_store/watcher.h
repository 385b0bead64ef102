// Follows the platform's configuration objects on a thread of its own.
//
// Owns: one thread per kind of object. Invariant: every change is reported in the order of its
// version; after a gap the whole list is reported, so nothing is missed. Thread: callbacks run on
// the event loop.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "object_store/client.h"

namespace valvekeel::object_store {

/// Receives what a watcher sees.
struct WatchHandlers {
  /// All objects of a kind; what is not in the list does not exist at its version.
  std::function<void(const std::string& kind, const ObjectList& list)> on_list;
  std::function<void(const WatchEvent& event)> on_event;
  /// The platform became unreachable (false) or reachable again.
  std::function<void(bool reachable)> on_reachable;
};

class Watcher {
 public:
  /// Starts to follow the kind.
  Watcher(asio::io_context& loop, cluster::Endpoint address, std::string kind,
          WatchHandlers handlers);

  /// Stops; the thread ends by itself within its network timeouts.
  ~Watcher();
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace valvekeel::object_store
