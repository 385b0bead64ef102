// Which sessions are served here and which are handed to another daemon.
//
// Carries relay::relayed_sessions out by actions, and holds sessions that another daemon handed
// over until the configuration they need is in force here.
//
// Owns: the relayed sessions, and those handed over. Invariant: a session that was handed over is
// never handed on, and is served here only while its requests may be held here. Pure. Thread: its
// host's.
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

/// Where a session comes from.
struct SessionOrigin {
  bool handed_over = false;               // by another daemon
  common::Endpoint daemon;                // which
  std::uint64_t least_configuration = 0;  // version that must be in force
  bool takes_goodbye = false;             // the daemon ends it as it rests if asked to
};

class SessionRelay : public relay::relay_port {
 public:
  SessionRelay(const ProxySettings& settings, const relay::role_map& roles, const PeerTable& peers,
               const membership::live_view& view, const tenants::admission& admission,
               const regions::region_policy& regions, Dispatcher& dispatcher, Outbox& outbox);

  void SetConfiguration(const model::Configuration* configuration, common::Instant now);

  /// To be called after a configuration that changed where work may run.
  void RegionsChanged(common::Instant now);

  void SessionStarted(SessionNumber session, const std::string& database,
                      const tenants::key_digest& key, const SessionOrigin& origin,
                      common::Instant now);
  void SessionClosed(SessionNumber session);

  /// Keeps a command of a session that waits for a configuration. @return false if it does not
  /// wait.
  bool KeepCommand(SessionNumber session, const CallerCommand& command);

  /// @return true if another daemon serves the session.
  bool Relays(SessionNumber session) const { return sessions_.contains(session); }

  relay::relayed_sessions& Sessions() { return sessions_; }
  const relay::relayed_sessions& Sessions() const { return sessions_; }
  /// @return how many sessions were refused because no region may run them.
  std::uint64_t RefusedOutside() const { return refused_outside_; }
  std::size_t SessionCount() const { return sessions_.size() + started_.size(); }

  /// @return true if a session that was handed over waits for a later configuration.
  bool AwaitsConfiguration() const { return !started_.empty(); }

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
  /// A session's first message.
  struct Start {
    std::string database;
    tenants::key_digest key;                // by which the caller is known
    std::uint64_t least_configuration = 0;  // waits for this version
    common::Instant arrived{0};
    bool takes_goodbye = false;             // the daemon that handed it over
    std::vector<CallerCommand> commands{};  // that came before it was taken
  };

  /// Refuses a session whose work may run in no region, before it asks any daemon for anything.
  void RefuseOutside(SessionNumber session, const std::string& database);
  /// Serves a session that was handed over, or declines it.
  void Take(SessionNumber session, const Start& start, common::Instant now);
  /// @return true if daemons of the zone may hold requests of the database's callers.
  bool MayHold(const std::string& database, const tenants::key_digest& key,
               const std::string& zone) const;
  /// Ends sessions handed over whose requests may not be held here any more.
  void EndOutside(common::Instant now);
  bool HeardLately(const std::string& daemon, common::Instant now) const;
  bool BelongsElsewhere(const std::string& database) const;
  /// @return true if callers of the database can't be admitted here for want of proof.
  bool LacksProof(const std::string& database, common::Instant now) const;
  std::string ServiceOf(const std::string& database) const;

  const std::string& zone_;  // of this daemon
  const relay::role_map& roles_;
  const PeerTable& peers_;
  const membership::live_view& view_;
  const tenants::admission& admission_;
  const regions::region_policy& regions_;
  Dispatcher& dispatcher_;
  Outbox& outbox_;
  const model::Configuration* configuration_ = nullptr;
  relay::relayed_sessions sessions_;
  std::map<SessionNumber, Start> relayed_;  // first messages of relayed sessions
  std::map<SessionNumber, Start> started_;  // handed over, waiting for their configuration
  /// Since when sessions handed over may be here whose requests may not be held here.
  std::optional<common::Instant> outside_since_;
  std::uint64_t refused_outside_ = 0;
};

}  // namespace valvekeel::proxy
