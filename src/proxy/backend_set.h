// Manages all instances and the connections to them.
//
// Owns: the backends, the assignment of connections to backends, and the control requests in
// progress. Invariant: the callback of every control request is called exactly once, at the latest
// kControlTimeout after the request. No I/O and no clock; not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "proxy/backend.h"
#include "proxy/outbox.h"

namespace valvekeel::proxy {

/// Receives the answer to a control request: the instance's status, or nothing if the request
/// failed.
using ControlCallback =
    std::function<void(const std::optional<model::InstanceStatus>&, common::Instant now)>;

/// Why a connection could not be opened.
enum class OpenFailure : std::uint8_t {
  kRefused,   // nothing listens at the address
  kTimedOut,  // no answer in time
  kRejected,  // the instance answered with an error
};

/// Notified of instances that have restarted under their id.
class RestartObserver {
 public:
  virtual ~RestartObserver() = default;

  /// Called after a restart or a loss of the log: what was known of the former incarnation is void.
  virtual void OnRestarted(const model::InstanceEntry& entry, common::Instant now) = 0;
};

/// Notified of events on connections that serve sessions.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;

  /// A request of a session was answered.
  virtual void OnAnswer(Backend& backend, Connection& connection,
                        const OutstandingRequest& outstanding, const model::Reply& reply,
                        common::Instant now) = 0;

  /// The connection was lost. It is removed after this call.
  virtual void OnLost(Backend& backend, Connection& connection, common::Instant now) = 0;

  /// Some instance may accept more work now.
  virtual void OnCapacity(common::Instant now) = 0;
};

class BackendSet {
 public:
  explicit BackendSet(Outbox& outbox) : outbox_(outbox) {}

  void SetObserver(ConnectionObserver* observer) { observer_ = observer; }
  void SetWarmUpObserver(warm_up::warm_up_observer* observer) { warm_up_observer_ = observer; }
  void SetRestartObserver(RestartObserver* observer) { restart_observer_ = observer; }

  /// Adds or updates an instance by its entry in the store. One that drains already when it is
  /// added has done so for an unknown time.
  /// @param changed_after when the former entry was still in force, if known.
  void SetEntry(const model::InstanceEntry& entry, common::Instant now,
                std::optional<common::Instant> changed_after);
  void SetEntry(const model::InstanceEntry& entry, common::Instant now) {
    SetEntry(entry, now, now);
  }

  /// Adds an instance that the store doesn't list but that may still run, as it may hold commits.
  void AddUnlisted(const std::string& service, const std::string& id,
                   const model::CommitHolder& holder, common::Instant now);

  /// Handles the removal of an instance's entry from the store. The instance may still serve.
  /// @param changed_after when the entry still existed, if known.
  void OnEntryRemoved(const std::string& id, common::Instant now,
                      std::optional<common::Instant> changed_after);
  void OnEntryRemoved(const std::string& id, common::Instant now) { OnEntryRemoved(id, now, now); }

  Backend* Find(const std::string& id);

  /// @return the connection of this number to any instance, or nullptr.
  Connection* FindConnection(ConnectionNumber number);

  /// @return true if the instance is no longer listed, or another one answers at its address, and
  /// another listed instance of its service has that address: the successor continues its log.
  bool HasSuccessor(const Backend& backend) const;
  /// @return ids of the service's instances, in order.
  const std::vector<std::string>& IdsOf(const std::string& service) const;

  std::map<std::string, Backend>& All() { return backends_; }
  const std::map<std::string, Backend>& All() const { return backends_; }

  /// Sets how many connections this daemon may have to each instance of a service.
  /// @param watched keeps one connection open at all times, to monitor the instance.
  void SetConnectionLimit(const std::string& service, std::size_t limit, bool watched = true);

  /// @return a counter that rises when a service begins or ceases to be watched.
  std::uint64_t WatchChanges() const { return watch_changes_; }

  /// @return true if this daemon monitors the service's instances.
  bool IsWatched(const std::string& service) const { return watched_.contains(service); }
  /// @return the limit of connections to each instance of the service; 0 until it is set.
  std::size_t ConnectionLimit(const std::string& service) const;

  /// Sets how many connections to an instance may be opening at once.
  void SetMaxOpening(std::size_t most) { max_opening_ = most; }

  /// @return true if one more connection may be opened for this number of queued statements.
  bool MayOpenFor(const Backend& backend, std::size_t waiting) const {
    const std::size_t opening = backend.OpeningCount();
    return opening <= waiting && opening < max_opening_;
  }

  /// Opens a connection if the limit allows it; otherwise replaces a free one of another tenant.
  /// @return the connection's number, or nothing if none can be opened.
  std::optional<ConnectionNumber> OpenFor(const std::string& tenant, Backend& backend,
                                          common::Instant now);

  /// Opens a connection of no tenant if the limit allows it.
  /// @param extra connections allowed beyond the limit.
  bool Open(Backend& backend, common::Instant now, std::size_t extra = 0);

  /// Sends requests of one purpose over a connection.
  void Send(Backend& backend, Connection& connection, std::vector<model::InstanceRequest> requests,
            RequestPurpose purpose, common::Instant now);

  /// Sends a control request as soon as a connection is free.
  void QueueControlRequest(const std::string& instance, const model::ControlRequest& request,
                           ControlCallback callback, common::Instant now);

  /// Releases a connection from its session. An open transaction is rolled back first.
  void Release(Backend& backend, Connection& connection, common::Instant now);

  /// Closes a connection without notifying the observer.
  void Close(Backend& backend, ConnectionNumber number);

  void OnOpened(ConnectionNumber number, common::Instant now);
  void OnOpenFailed(ConnectionNumber number, OpenFailure failure, model::ErrorCode error,
                    common::Instant now);
  void OnAnswered(ConnectionNumber number, const model::Reply& reply, common::Instant now);
  void OnClosed(ConnectionNumber number, common::Instant now);
  void Tick(common::Instant now);

 private:
  struct PendingControl {
    ControlCallback callback;
    std::string instance;
    common::Instant started{0};
  };

  /// Discards the connections and state of an instance's former incarnation.
  void BeginIncarnation(Backend& backend, const model::InstanceEntry& entry, common::Instant now);
  /// Applies an instance's status, received in answer to a request sent at `sent`.
  void ApplyStatus(Backend& backend, const model::InstanceStatus& status, common::Instant sent,
                   common::Instant now);
  void AddToService(const model::InstanceEntry& entry);
  void RemoveFromService(const model::InstanceEntry& entry);
  ConnectionNumber StartOpening(const std::string& tenant, Backend& backend, common::Instant now);
  Backend* BackendOf(ConnectionNumber number);
  void SendQueuedControls(Backend& backend, common::Instant now);
  void FinishControl(ControlNumber number, const std::optional<model::InstanceStatus>& status,
                     common::Instant now);
  /// Removes a connection that the instance closed or that broke, and notifies the requests it
  /// served.
  void DropLostConnection(Backend& backend, ConnectionNumber number, common::Instant now);
  void ExpireControls(common::Instant now);
  /// Notifies the warm-up observer if the instance of a connection that has just opened may have
  /// restarted. To be called before Backend::OnContact.
  void DetectRestart(Backend& backend, common::Instant now);
  void CheckHealth(Backend& backend, common::Instant now);
  void TrimConnections(Backend& backend, common::Instant now);
  bool CloseIfTerminated(Backend& backend, common::Instant now);

  Outbox& outbox_;
  ConnectionObserver* observer_ = nullptr;
  warm_up::warm_up_observer* warm_up_observer_ = nullptr;
  RestartObserver* restart_observer_ = nullptr;
  std::map<std::string, Backend> backends_;
  std::map<std::string, std::vector<std::string>> ids_by_service_;
  std::map<ConnectionNumber, std::string> backend_ids_by_connection_;
  std::map<ControlNumber, PendingControl> controls_;
  std::map<std::string, std::size_t> limits_;  // by service
  std::set<std::string> watched_;              // services
  std::uint64_t watch_changes_ = 0;
  common::Instant check_due_{0};  // time of the next check of all instances
  std::size_t max_opening_ = 1'000;
};

}  // namespace valvekeel::proxy
