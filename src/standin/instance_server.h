// Serves one instance of the modelled database group over the PostgreSQL protocol.
//
// Owns: the listening socket, the sessions and their statement slots. Invariant: at most the
// configured number of sessions exist and of statements run at one time. Thread: the event loop's.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "standin/database_group.h"
#include "standin/sql_session.h"

namespace valvekeel::standin {

/// Limits and delays of one instance.
struct InstanceLimits {
  std::size_t connections = 35;
  std::size_t slots = 5;
  std::chrono::microseconds service_time{500};     // of a statement on a table
  std::chrono::microseconds opening_time{10'000};  // of a new connection
};

/// Counters for reports.
struct InstanceCounters {
  std::uint64_t statements = 0;
  std::uint64_t table_statements = 0;  // of these, on tables: probes and settings left out
  std::uint64_t refused_connections = 0;
  std::size_t connections = 0;
  std::size_t most_connections = 0;
};

class InstanceSession;

/// Listens and serves sessions for one instance.
class InstanceServer {
 public:
  InstanceServer(asio::io_context& loop, DatabaseGroup& group, std::size_t instance,
                 InstanceLimits limits);
  ~InstanceServer();
  InstanceServer(const InstanceServer&) = delete;
  InstanceServer& operator=(const InstanceServer&) = delete;

  /// Binds to the address and starts to accept. @return the bound port.
  std::uint16_t Start(const std::string& host, std::uint16_t port);

  /// Ends sessions that belong to an earlier start of the instance.
  void CloseStaleSessions();

  const InstanceCounters& Counters() const { return counters_; }

 private:
  friend class InstanceSession;

  asio::awaitable<void> Accept();
  asio::awaitable<void> AcquireSlot();
  void ReleaseSlot();

  asio::io_context& loop_;
  DatabaseGroup& group_;
  std::size_t instance_;
  InstanceLimits limits_;
  InstanceCounters counters_;
  std::shared_ptr<LockTable> locks_ = std::make_shared<LockTable>();
  asio::ip::tcp::acceptor acceptor_;
  std::size_t busy_slots_ = 0;
  std::deque<std::shared_ptr<asio::steady_timer>> slot_queue_;
  std::map<std::uint32_t, std::weak_ptr<InstanceSession>> sessions_;
  std::uint32_t next_session_ = 1;
};

}  // namespace valvekeel::standin
