// A modelled database group served in the test's own process, with a loop to run coroutines on.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "configuration/specs.h"
#include "standin/database_group.h"
#include "standin/instance_server.h"

namespace valvekeel::tests {

class GroupFixture {
 public:
  explicit GroupFixture(std::chrono::milliseconds election = std::chrono::milliseconds(50),
                        std::size_t connections = 35)
      : group(3, Timing(election)), ticker_(loop) {
    database.name = "db";
    for (std::size_t i = 0; i < group.Size(); ++i) {
      standin::InstanceLimits limits;
      limits.connections = connections;
      limits.opening_time = std::chrono::microseconds(100);
      servers_.push_back(std::make_unique<standin::InstanceServer>(loop, group, i, limits));
      configuration::InstanceSpec spec;
      spec.id = std::to_string(i);
      spec.zone = "z";
      spec.address = {"127.0.0.1", servers_.back()->Start("127.0.0.1", 0)};
      database.instances.push_back(spec);
    }
    Tick();
  }

  /// Runs the loop until the coroutine has returned.
  template <typename Value>
  Value Await(asio::awaitable<Value> work) {
    std::optional<Value> result;
    asio::co_spawn(
        loop,
        [&result, work = std::move(work)]() mutable -> asio::awaitable<void> {
          result = co_await std::move(work);
        },
        asio::detached);
    while (!result) {
      loop.run_one();
    }
    return std::move(*result);
  }

  /// Runs the loop until the condition holds.
  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      loop.run_one();
    }
  }

  asio::io_context loop;
  standin::DatabaseGroup group;
  configuration::DatabaseSpec database;

 private:
  static standin::GroupTiming Timing(std::chrono::milliseconds election) {
    standin::GroupTiming timing;
    timing.network = std::chrono::microseconds(200);
    timing.election = election;
    return timing;
  }

  void Tick() {
    group.Tick(common::SteadyNow());
    for (const auto& server : servers_) {
      server->CloseStaleSessions();
    }
    ticker_.expires_after(std::chrono::milliseconds(1));
    ticker_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Tick();
      }
    });
  }

  std::vector<std::unique_ptr<standin::InstanceServer>> servers_;
  asio::steady_timer ticker_;
};

}  // namespace valvekeel::tests
