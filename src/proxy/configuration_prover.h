// Proves periodically that the configuration in force is the store's newest.
//
// Keys may be admitted only while that is proved (tenants/freshness.h). The daemon that reads the
// leadership record also reads the configuration for all; the others receive the proof in
// heartbeats. A daemon whose proof gets old reads the configuration itself.
//
// Owns: the schedule of these reads. Invariant: a proof counts from the time at which its read was
// sent. No I/O and no clock; not thread-safe.
#pragma once

#include <optional>

#include "proxy/catalog_state.h"
#include "proxy/outbox.h"
#include "proxy/proxy_settings.h"
#include "tenants/admission.h"

namespace valvekeel::proxy {

class ConfigurationProver {
 public:
  ConfigurationProver(const ProxySettings& settings, tenants::admission& admission, Outbox& outbox)
      : settings_(settings), admission_(admission), outbox_(outbox) {}

  /// The role of this daemon, which decides whether it reads.
  struct Duty {
    bool reader = false;           // it reads for all daemons
    bool admits = false;           // it serves sessions, or may receive some from another daemon
    bool store_connected = false;  // the store answered recently
  };

  /// Starts a read of the configuration if one is due.
  void Tick(const Duty& duty, common::Instant now);

  /// Handles the answer to a read.
  /// @param version the store's newest, nothing if the read failed.
  /// @param catalog decides as of when the read is complete.
  /// @return true if this object made the call.
  bool OnReadAnswered(CallNumber call, const std::optional<std::uint64_t>& version,
                      const CatalogState& catalog);

 private:
  bool IsDue(const Duty& duty, common::Instant now) const;

  const ProxySettings& settings_;
  tenants::admission& admission_;
  Outbox& outbox_;
  std::optional<CallNumber> call_;
  std::optional<common::Instant> asked_at_;
  bool failed_ = false;  // the last read failed
  bool unproven_ = false;
};

}  // namespace valvekeel::proxy
