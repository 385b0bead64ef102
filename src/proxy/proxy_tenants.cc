// The exchange of tenant state between daemons: proofs of the configuration, usage counts and
// grants.

#include <algorithm>

#include "proxy/proxy.h"

namespace valvekeel::proxy {

bool Proxy::Admits() const {
  return roles_.computed() && (roles_.watches_any() || serves_unowned_services_);
}

bool Proxy::AllocatesRates() const {
  return settings_.tenants.rates_limited && lease_renewer_.IsReader();
}

void Proxy::AdvanceRates(common::Instant now) {
  if (!settings_.tenants.rates_limited || !roles_.computed()) {
    return;
  }
  admission_.limiter().set_sharing_daemons(roles_.meshed() ? CountSharingDaemons(now)
                                                           : roles_.watchers().size());
  if (roles_.coordinates()) {
    allocator_.record_usage(settings_.name, settings_.incarnation,
                            admission_.limiter().usage_since(common::Instant(0)), now);
  }
  const bool changed_much = allocator_.tick(now);
  if (AllocatesRates()) {
    admission_.limiter().apply_grants(allocator_.grants_for(settings_.name), now);
    rates_changed_ = rates_changed_ || changed_much;
  }
  rates_changed_ = admission_.limiter().consume_surge() || rates_changed_;
}

void Proxy::ApplyTenantState(const Peer& peer, const PeerMessage& message,
                             const std::optional<common::Instant>& counted_from,
                             common::Instant now) {
  if (counted_from && message.proof_age) {
    admission_.proof().record_proof({message.proven_version, *counted_from - *message.proof_age});
  }
  if (roles_.computed() && roles_.coordinates() && message.rates.receiver_is_coordinator) {
    allocator_.record_usage(peer.name, peer.incarnation, message.rates.usage, now);
  }
  const bool from_allocator = message.rates.sender_is_allocator && roles_.computed() &&
                              !roles_.coordinators().empty() &&
                              roles_.coordinators().front() == peer.name;
  if (from_allocator) {
    admission_.limiter().apply_grants(message.rates.grants, now);
  }
}

void Proxy::AddTenantState(Peer& peer, PeerMessage& message, common::Instant now) const {
  const auto proof = admission_.proof().newest_proof();
  if (admission_.proof().required() && proof) {
    message.proven_version = proof->version;
    message.proof_age = now - proof->read_at;
  }
  if (!settings_.tenants.rates_limited || !roles_.computed()) {
    return;
  }
  if (roles_.coordinates(peer.name)) {
    if (!peer.counts_reported_since) {
      peer.counts_reported_since = now;
    }
    const bool has_all = peer.last_echoed_sent_at >= *peer.counts_reported_since;
    message.rates.receiver_is_coordinator = true;
    message.rates.usage =
        admission_.limiter().usage_since(has_all ? peer.last_echoed_sent_at : common::Instant(0));
  } else {
    peer.counts_reported_since.reset();
  }
  if (AllocatesRates() && roles_.watches_any(peer.name)) {
    message.rates.sender_is_allocator = true;
    message.rates.grants = allocator_.grants_for(peer.name);
  }
}

}  // namespace valvekeel::proxy
