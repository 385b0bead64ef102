// Decides which sessions are served locally and which are relayed to another daemon.
//
// Implements relay::relay_port by actions, and queues sessions that another daemon handed over
// until the configuration they require is in force here.
//
// Owns: the relayed sessions and those handed over that wait for a configuration. Invariant: a
// session that was handed over is never handed on, and is served here only while its requests may
// be processed in this zone. No I/O and no clock; not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/live_view.h"
#include "proxy/dispatcher.h"
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "regions/region_policy.h"
#include "relay/relayed_sessions.h"
#include "relay/role_map.h"

namespace valvekeel::proxy {

/// How a session reached this daemon: from its caller or from another daemon.
struct SessionOrigin {
  bool handed_over = false;                  // by another daemon
  common::Endpoint daemon;                   // which
  std::uint64_t required_configuration = 0;  // minimum version in force
  bool accepts_end_request = false;          // the daemon ends it when idle if asked to
};

/// Starts sessions: serves them here, relays them, or rejects them.
class SessionRelay : public relay::relay_port {
 public:
  SessionRelay(const ProxySettings& settings, const relay::role_map& roles, const PeerTable& peers,
               const membership::live_view& view, const tenants::admission& admission,
               const regions::region_policy& regions, Dispatcher& dispatcher, Outbox& outbox);

  void SetConfiguration(const model::Configuration* configuration, common::Instant now);

  /// Must be called after a configuration that changed the allowed regions.
  void RegionsChanged(common::Instant now);

  void SessionStarted(SessionNumber session, const std::string& database,
                      const tenants::key_digest& key, const SessionOrigin& origin,
                      common::Instant now);
  void SessionClosed(SessionNumber session);

  /// Queues a command of a session that waits for a configuration. @return false if the session
  /// does not wait.
  bool QueueCommand(SessionNumber session, const CallerCommand& command);

  /// @return true if another daemon serves the session.
  bool Relays(SessionNumber session) const { return sessions_.contains(session); }

  relay::relayed_sessions& Sessions() { return sessions_; }
  const relay::relayed_sessions& Sessions() const { return sessions_; }
  /// @return how many sessions were rejected because no known region is allowed for them.
  std::uint64_t RefusedOutsideRegions() const { return refused_outside_regions_; }
  std::size_t SessionCount() const { return sessions_.size() + awaiting_configuration_.size(); }

  /// @return true if a session that was handed over waits for a newer configuration.
  bool AwaitsConfiguration() const { return !awaiting_configuration_.empty(); }

  void Tick(common::Instant now);

  bool is_reachable(const std::string& daemon, common::Instant now) const override;
  bool is_available(const std::string& daemon, common::Instant now) const override;
  bool zone_may_serve(relay::session_number session, const std::string& zone) const override;
  void open_link(relay::session_number session, const std::string& owner) override;
  void close_link(relay::session_number session) override;
  void serve_locally(relay::session_number session, common::Instant now) override;
  void answer(relay::session_number session, model::ErrorCode error,
              const std::string& text) override;
  void reject_caller(relay::session_number session, model::ErrorCode error,
                     const std::string& text) override;
  void close_caller(relay::session_number session) override;
  void log_session(const relay::relay_log_entry& note) override;
  void log_ending(std::size_t sessions, const char* reason) override;

 private:
  /// A session that was started, with its first message and queued commands.
  struct StartRequest {
    std::string database;
    tenants::key_digest key;                   // identifies the caller
    std::uint64_t required_configuration = 0;  // minimum version in force
    common::Instant arrived{0};
    bool accepts_end_request = false;       // the daemon ends it when idle if asked to
    std::vector<CallerCommand> commands{};  // that arrived before it was accepted
  };

  /// Rejects a session whose work may run in no known region, before any other daemon is involved.
  void RefuseOutsideRegions(SessionNumber session, const std::string& database);
  /// Serves a session that was handed over, or declines it.
  void ServeOrDecline(SessionNumber session, const StartRequest& start, common::Instant now);
  /// @return true if daemons of the zone may process requests of the database's callers.
  bool MayProcessIn(const std::string& database, const tenants::key_digest& key,
                    const std::string& zone) const;
  /// Ends sessions handed over whose requests may no longer be processed in this zone.
  void EndSessionsOutsideRegions(common::Instant now);
  bool HasRecentHeartbeat(const std::string& daemon, common::Instant now) const;
  bool IsOwnedElsewhere(const std::string& database) const;
  /// @return true if callers of the database can't be admitted here because the configuration is
  /// not proven.
  bool LacksProof(const std::string& database, common::Instant now) const;
  std::string ServiceOf(const std::string& database) const;

  const std::string& zone_;  // of this daemon
  const relay::role_map& roles_;
  const PeerTable& peers_;
  const membership::live_view& membership_;
  const tenants::admission& admission_;
  const regions::region_policy& regions_;
  Dispatcher& dispatcher_;
  Outbox& outbox_;
  const model::Configuration* configuration_ = nullptr;
  relay::relayed_sessions sessions_;
  std::map<SessionNumber, StartRequest> relayed_starts_;  // first messages of relayed sessions
  std::map<SessionNumber, StartRequest> awaiting_configuration_;  // handed over
  /// Time since which there may be sessions handed over whose requests may not be processed here.
  std::optional<common::Instant> outside_regions_since_;
  std::uint64_t refused_outside_regions_ = 0;
};

}  // namespace valvekeel::proxy
