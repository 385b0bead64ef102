// Feeds the rule for instances that have just started (warm_up/warm_up_rule.h).

#include <algorithm>
#include <utility>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

/// Daemons that sent a heartbeat within this time count for the majority. The time equals that for
/// sharing an instance's connections. A daemon that is cut off counts itself as cut off for this
/// long.
constexpr common::Duration kReachableWithin{8'000'000};
/// Time for which a confirmed message proves that the peer receives this daemon's heartbeats. Twice
/// the longest heartbeat interval between daemons that exchange them (1 s), and 0.5 s for the
/// network.
constexpr common::Duration kConfirmedAge{2'500'000};

}  // namespace

void Proxy::ConfigureWarmUps(common::Instant now) {
  const bool was_enabled = warm_up_.enabled();
  warm_up_.instances().set_services(catalog_.Configuration().services);
  if (was_enabled || !warm_up_.enabled()) {
    return;
  }
  // Nothing was recorded while the rule was disabled.
  for (const auto& [id, entry] : catalog_.Instances()) {
    warm_up_.instances().apply_entry(entry, now);
  }
  for (const auto& [id, backend] : backends_.All()) {
    if (!backend.Connections().empty()) {
      warm_up_.on_first_contact(backend.Entry(), now);
    }
  }
}

void Proxy::RecordWarmUpEntries(const CatalogUpdate& update, common::Instant now) {
  if (!warm_up_.enabled()) {
    return;
  }
  for (const std::string& id : update.removed_instances) {
    warm_up_.instances().on_entry_removed(id);
  }
  for (const model::InstanceEntry& entry : update.instances) {
    warm_up_.instances().apply_entry(entry, now);
  }
}

warm_up::reachability Proxy::CountReachableDaemons(common::Instant now) const {
  warm_up::reachability daemons;
  daemons.reachable = LiveMembers(now).size();
  daemons.listed = catalog_.Daemons().size();
  daemons.recently_reachable = large_deployment_
                                   ? membership_.count_live_within(kReachableWithin, now)
                                   : peers_.CountReceivedWithin(kReachableWithin, now) + 1;
  for (const auto& [address, peer] : peers_.All()) {
    if (peers_.IsAlive(peer, now)) {
      ++daemons.direct_peers;
      daemons.confirming_peers += now < peer.last_echoed_sent_at + kConfirmedAge ? 1 : 0;
    }
  }
  return daemons;
}

void Proxy::UpdateWarmUpRole(common::Instant now) {
  if (!warm_up_.enabled()) {
    return;
  }
  std::vector<std::string> live;
  for (const relay::member& each : LiveMembers(now)) {
    live.push_back(each.name);
  }
  std::sort(live.begin(), live.end());
  warm_up::senders_by_service senders;
  for (const auto& [name, service] : catalog_.Configuration().services) {
    if (warm_up_.instances().warm_up_of(name) != nullptr) {
      const bool all_send = roles_.meshed() || roles_.is_direct(name);
      senders[name] = all_send ? live : roles_.owners(name);
    }
  }
  warm_up_.role().update(senders, CountReachableDaemons(now), now);
}

void Proxy::AdvanceWarmUps(common::Instant now) {
  if (!warm_up_.enabled()) {
    return;
  }
  if (warm_up_.instances().needs_refresh()) {
    catalog_.RefreshInstances(now);
  }
  if (const auto as_of = catalog_.InstancesFreshAsOf(now)) {
    warm_up_.instances().on_entries_refreshed(*as_of);
  }
  warm_up_.advance(now);
  LogWarmUps(now);
}

void Proxy::LogWarmUps(common::Instant now) {
  for (const auto& [id, backend] : backends_.All()) {
    const model::InstanceEntry& entry = backend.Entry();
    const auto state = warm_up_.instances().find(entry, now);
    const auto since = cold_since_.find(id);
    // A daemon that had no connection to an instance for a while reads its entry each time.
    const bool known_cold = state && !warm_up::awaits_refresh(*state, now);
    if (known_cold && since == cold_since_.end()) {
      cold_since_[id] = now;
      outbox_.Log("instance_cold", {{"instance", id},
                                    {"service", entry.service},
                                    {"known_by", warm_up::source_name(state->source)},
                                    {"left_ms", MillisecondsText(state->until - now)}});
    } else if (!state && since != cold_since_.end()) {
      outbox_.Log("instance_warm", {{"instance", id},
                                    {"service", entry.service},
                                    {"after_ms", MillisecondsText(now - since->second)}});
      cold_since_.erase(since);
    }
  }
  std::erase_if(cold_since_,
                [&](const auto& each) { return backends_.Find(each.first) == nullptr; });
}

}  // namespace valvekeel::proxy
