#include "object_store/watcher.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <utility>

namespace valvekeel::object_store {
namespace {

constexpr std::chrono::milliseconds kPauseAfterFault{200};

}  // namespace

struct Watcher::Shared {
  Shared(asio::io_context& loop_in, cluster::Endpoint address, std::string kind_in,
         WatchHandlers handlers_in)
      : loop(loop_in),
        client(std::move(address)),
        kind(std::move(kind_in)),
        handlers(std::move(handlers_in)) {}

  asio::io_context& loop;
  Client client;
  std::string kind;
  WatchHandlers handlers;
  std::atomic<bool> stop{false};
  std::mutex posting;  // held while posting, so that the loop is not used after the stop

  /// Runs a report on the event loop unless the watcher was stopped meanwhile.
  template <typename Report>
  static void Post(const std::shared_ptr<Shared>& self, Report report) {
    const std::lock_guard<std::mutex> lock(self->posting);
    if (self->stop) {
      return;
    }
    asio::post(self->loop, [self, report = std::move(report)] {
      if (!self->stop) {
        report(self->handlers);
      }
    });
  }

  static void Run(const std::shared_ptr<Shared>& self) {
    while (!self->stop) {
      const auto list = self->client.List(self->kind);
      if (!common::IsOk(list)) {
        Post(self, [](const WatchHandlers& handlers) { handlers.on_reachable(false); });
        std::this_thread::sleep_for(kPauseAfterFault);
        continue;
      }
      Post(self, [self, found = common::ValueOf(list)](const WatchHandlers& handlers) {
        handlers.on_reachable(true);
        handlers.on_list(self->kind, found);
      });
      Follow(self, common::ValueOf(list).version);
    }
  }

  static void Follow(const std::shared_ptr<Shared>& self, std::uint64_t version) {
    while (!self->stop) {
      const PlatformError ended =
          self->client.Watch(self->kind, version, self->stop, [&](const WatchEvent& event) {
            version = std::max(version, event.object.version);
            if (!event.bookmark) {
              Post(self, [event](const WatchHandlers& handlers) { handlers.on_event(event); });
            }
          });
      if (ended.kind == FaultKind::kTooOld) {
        return;  // the list closes the gap
      }
      std::this_thread::sleep_for(kPauseAfterFault);
      if (ended.kind == FaultKind::kInvalid) {
        return;
      }
    }
  }
};

Watcher::Watcher(asio::io_context& loop, cluster::Endpoint address, std::string kind,
                 WatchHandlers handlers)
    : shared_(std::make_shared<Shared>(loop, std::move(address), std::move(kind),
                                       std::move(handlers))) {
  std::thread([shared = shared_] { Shared::Run(shared); }).detach();
}

Watcher::~Watcher() {
  const std::lock_guard<std::mutex> lock(shared_->posting);
  shared_->stop = true;
}

}  // namespace valvekeel::object_store
