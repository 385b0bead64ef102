#include "proxy/configuration_prover.h"

namespace valvekeel::proxy {
namespace {

/// The reader's interval between reads, as a fraction of the revocation limit. With a limit of 5 s
/// and heartbeats of 0.25 s both ways, a proof is at most 0.3 of the limit old when another daemon
/// receives it.
constexpr int kReadIntervalDivisor = 6;
/// Age of a proof, as a fraction of the limit, at which a daemon reads itself because no newer
/// proof has arrived from the reader. It leaves more than half of the limit for attempts.
constexpr int kOwnReadNumerator = 2;
constexpr int kOwnReadDenominator = 5;
/// Interval between reads of a daemon that reads itself, as a fraction of the limit.
constexpr int kOwnReadPauseDivisor = 8;
/// The same interval while the store does not answer, and before the first proof.
constexpr common::Duration kFailedPause{800'000};
constexpr common::Duration kFirstPause{300'000};

}  // namespace

bool ConfigurationProver::IsDue(const Duty& duty, common::Instant now) const {
  const common::Duration limit = settings_.tenants.revocation_limit;
  const auto since = asked_at_ ? std::optional(now - *asked_at_) : std::nullopt;
  if (duty.reader) {
    return !since || *since >= limit / kReadIntervalDivisor;
  }
  if (!duty.admits) {
    return false;
  }
  const auto age = admission_.proof().age(admission_.configuration_version(), now);
  const bool old = !age || *age >= limit * kOwnReadNumerator / kOwnReadDenominator;
  const common::Duration retry = age ? limit / kOwnReadPauseDivisor : kFirstPause;
  const common::Duration pause = failed_ || !duty.store_connected ? kFailedPause : retry;
  return old && (!since || *since >= pause);
}

void ConfigurationProver::Tick(const Duty& duty, common::Instant now) {
  if (!admission_.proof().required()) {
    return;
  }
  const bool unproven = duty.admits && admission_.is_unproven(now);
  if (unproven != unproven_) {
    unproven_ = unproven;
    const auto age = admission_.proof().age(admission_.configuration_version(), now);
    outbox_.Log(unproven ? "keys_unproven" : "keys_proven",
                {{"version", std::to_string(admission_.configuration_version())},
                 {"proof_age_ms", age ? MillisecondsText(*age) : "none"}},
                unproven ? LogLevel::kWarning : LogLevel::kInfo);
  }
  if (call_ || !IsDue(duty, now)) {
    return;
  }
  call_ = outbox_.NextNumber();
  asked_at_ = now;
  outbox_.Emit(ReadConfiguration{*call_});
}

bool ConfigurationProver::OnReadAnswered(CallNumber call,
                                         const std::optional<std::uint64_t>& version,
                                         const CatalogState& catalog) {
  if (call_ != call) {
    return false;
  }
  call_.reset();
  failed_ = !version;
  if (!version) {
    outbox_.Log("configuration_read_failed", {}, LogLevel::kWarning);
  } else if (catalog.IsComplete(*asked_at_)) {
    // After a restore of the store, a version that revoked a key may not have been written again
    // yet.
    admission_.proof().record_proof({*version, catalog.CompleteAsOf(*asked_at_)});
  }
  return true;
}

}  // namespace valvekeel::proxy
