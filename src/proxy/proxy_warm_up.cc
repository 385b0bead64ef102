// What the rule for instances that have just started is told (warm_up/warm_up_rule.h).

#include <algorithm>
#include <utility>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

/// Daemons heard within this time count for the majority: as many as share an instance's
/// connections. A daemon that is cut off takes itself for cut off until then.
constexpr common::Duration kHeardLately{8'000'000};
/// Time for which a daemon is known to be heard by another that confirmed a message. Twice the
/// longest interval of heartbeats between daemons that exchange them (1 s), and a half for the way.
constexpr common::Duration kConfirmedAge{2'500'000};

}  // namespace

void Proxy::ConfigureWarmUps(common::Instant now) {
  const bool was_enabled = warm_up_.enabled();
  warm_up_.instances().set_services(catalog_.Configuration().services);
  if (was_enabled || !warm_up_.enabled()) {
    return;
  }
  // Until now nothing was noted.
  for (const auto& [id, entry] : catalog_.Instances()) {
    warm_up_.instances().note_entry(entry, now);
  }
  for (const auto& [id, backend] : backends_.All()) {
    if (!backend.Connections().empty()) {
      warm_up_.first_contact(backend.Entry(), now);
    }
  }
}

void Proxy::NoteWarmUps(const CatalogUpdate& update, common::Instant now) {
  if (!warm_up_.enabled()) {
    return;
  }
  for (const std::string& id : update.instances_gone) {
    warm_up_.instances().note_gone(id);
  }
  for (const model::InstanceEntry& entry : update.instances) {
    warm_up_.instances().note_entry(entry, now);
  }
}

warm_up::hearing Proxy::HeardDaemons(common::Instant now) const {
  warm_up::hearing heard;
  heard.alive = LiveMembers(now).size();
  heard.listed = catalog_.Daemons().size();
  heard.lately = large_ ? view_.count_live_within(kHeardLately, now)
                        : peers_.HeardWithin(kHeardLately, now) + 1;
  for (const auto& [address, peer] : peers_.All()) {
    if (peers_.Alive(peer, now)) {
      ++heard.direct;
      heard.direct_hearing += now < peer.confirmed + kConfirmedAge ? 1 : 0;
    }
  }
  return heard;
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
  warm_up_.role().update(senders, HeardDaemons(now), now);
}

void Proxy::AdvanceWarmUps(common::Instant now) {
  if (!warm_up_.enabled()) {
    return;
  }
  if (warm_up_.instances().wants_fresh()) {
    catalog_.RefreshInstances(now);
  }
  if (const auto as_of = catalog_.InstancesFreshAsOf(now)) {
    warm_up_.instances().note_fresh(*as_of);
  }
  warm_up_.advance(now);
  LogWarmUps(now);
}

void Proxy::LogWarmUps(common::Instant now) {
  for (const auto& [id, backend] : backends_.All()) {
    const model::InstanceEntry& entry = backend.Entry();
    const auto state = warm_up_.instances().find(entry, now);
    const auto since = cold_since_.find(id);
    // A daemon that has no connection to an instance for a while asks for its entry each time.
    const bool told = state && !warm_up::awaits_entries(*state, now);
    if (told && since == cold_since_.end()) {
      cold_since_[id] = now;
      outbox_.Log("instance_cold", {{"instance", id},
                                    {"service", entry.service},
                                    {"known_by", warm_up::source_name(state->source)},
                                    {"left_ms", Milliseconds(state->until - now)}});
    } else if (!state && since != cold_since_.end()) {
      outbox_.Log("instance_warm", {{"instance", id},
                                    {"service", entry.service},
                                    {"after_ms", Milliseconds(now - since->second)}});
      cold_since_.erase(since);
    }
  }
  std::erase_if(cold_since_,
                [&](const auto& each) { return backends_.Find(each.first) == nullptr; });
}

}  // namespace valvekeel::proxy
