// Shows again and again that the configuration in force is the store's newest.
//
// Keys may be admitted only while that is proved (tenants/freshness.h). One daemon, the one that
// reads the leadership record, reads the configuration for all; the others hear of it in
// heartbeats, and read by themselves what they have not heard for a while.
//
// Owns: when the configuration is read. Invariant: a proof counts from the instant at which its
// read was sent. Pure. Thread: its host's.
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

  /// What decides whether this daemon reads.
  struct Duty {
    bool reader = false;           // it reads for all
    bool admits = false;           // it serves sessions, or may be handed some
    bool store_connected = false;  // the store answered lately
  };

  /// Reads the configuration if it is due.
  void Tick(const Duty& duty, common::Instant now);

  /// Takes the newest version. @param catalog tells whether the store may lack what was written.
  /// @return true if the call was ours.
  bool OnReadAnswered(CallNumber call, const std::optional<std::uint64_t>& version,
                      const CatalogState& catalog);

 private:
  bool IsDue(const Duty& duty, common::Instant now) const;

  const ProxySettings& settings_;
  tenants::admission& admission_;
  Outbox& outbox_;
  std::optional<CallNumber> call_;
  std::optional<common::Instant> asked_at_;
  bool failed_ = false;  // the last read
  bool unproven_ = false;
};

}  // namespace valvekeel::proxy
