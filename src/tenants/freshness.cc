#include "tenants/freshness.h"

#include <algorithm>

namespace valvekeel::tenants {
namespace {

/** Versions whose proofs are kept: a daemon's configuration may be a few versions behind. */
constexpr std::size_t MAX_VERSIONS = 4;

/** The limit is shortened by this part of it, a twentieth, since clocks run at different rates. */
constexpr int MARGIN_DIVISOR = 20;

}  // namespace

void freshness::record_proof(const version_proof& proof) {
  common::Instant& latest_read = this->proofs[proof.version];
  latest_read = std::max(latest_read, proof.read_at);
  while (this->proofs.size() > MAX_VERSIONS) {
    this->proofs.erase(this->proofs.begin());
  }
}

std::optional<version_proof> freshness::newest_proof() const {
  if (this->proofs.empty()) {
    return std::nullopt;
  }
  const auto last = this->proofs.rbegin();
  return version_proof{last->first, last->second};
}

std::optional<common::Instant> freshness::proven_at(std::uint64_t version) const {
  std::optional<common::Instant> latest;
  for (const auto& [proven, at] : this->proofs) {
    if (proven <= version && (!latest || at > *latest)) {
      latest = at;
    }
  }
  return latest;
}

std::optional<common::Duration> freshness::age(std::uint64_t version, common::Instant now) const {
  const auto at = this->proven_at(version);
  if (!at) {
    return std::nullopt;
  }
  return now - *at;
}

bool freshness::is_fresh(std::uint64_t version, common::Instant now) const {
  if (!this->required()) {
    return true;
  }
  const auto proof_age = this->age(version, now);
  return proof_age && *proof_age < this->limit - this->limit / MARGIN_DIVISOR;
}

}  // namespace valvekeel::tenants
