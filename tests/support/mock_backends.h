// Mock of what a gateway needs from its daemon.
#pragma once

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "gateway/backends.h"

namespace valvekeel::tests {

class MockBackends : public gateway::Backends {
 public:
  MAKE_CONST_MOCK1(View, std::optional<routing::DatabaseView>(const std::string&), override);
  MAKE_CONST_MOCK1(ShareGroup, std::optional<configuration::ShareGroupSpec>(const std::string&),
                   override);
  MAKE_MOCK1(Execute, asio::awaitable<pool::BatchReply>(pool::BatchRequest), override);
  MAKE_MOCK1(Barrier, asio::awaitable<pool::BarrierReply>(pool::BarrierRequest), override);
  MAKE_MOCK1(Release, void(const pool::ReleaseRequest&), override);
  MAKE_MOCK1(Cancel, void(const pool::CancelStatementRequest&), override);
  MAKE_MOCK2(WaitForChange, asio::awaitable<void>(std::string, common::Duration), override);
  MAKE_MOCK3(RecordReplayed, void(const std::string&, const std::string&, common::Position),
             override);
  MAKE_MOCK2(RecordUnreachable, void(const std::string&, const std::string&), override);
};

/// @return a coroutine that returns the value.
template <typename Value>
asio::awaitable<Value> Return(Value value) {
  co_return value;
}

/// @return a group of one primary "0" and two replicas "1" and "2".
inline routing::DatabaseView ThreeInstances() {
  routing::DatabaseView view;
  view.name = "db";
  view.term = 1;
  view.primary = "0";
  for (const char* id : {"0", "1", "2"}) {
    routing::InstanceView instance;
    instance.id = id;
    instance.zone = "z";
    view.instances.push_back(instance);
  }
  return view;
}

/// @return the group of callers "alpha", which may reach "db".
inline configuration::ShareGroupSpec Alpha() {
  configuration::ShareGroupSpec group;
  group.name = "alpha";
  group.databases = {"db"};
  return group;
}

}  // namespace valvekeel::tests
