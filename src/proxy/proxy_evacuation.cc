// The proxy's view of evacuated zones: read from the store, exchanged with other daemons.

#include <utility>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

/// Longest name of a zone: entries of instances with a longer one are not accepted.
constexpr std::size_t kMaxZoneBytes = 256;
/// Most bytes of zone names in a heartbeat, which is one datagram. A daemon that receives no view
/// reads the store itself.
constexpr std::size_t kMaxViewBytes = std::size_t{8} << 10U;
constexpr std::size_t kEncodedNameOverhead = 3;  // bytes

std::string AgeText(const std::optional<common::Duration>& age) {
  return age ? MillisecondsText(*age) : "none";
}

}  // namespace

void Proxy::AdvanceEvacuations(common::Instant now) {
  if (!EvacuationsEnabled()) {
    return;
  }
  const bool sends_work = Admits() || dispatcher_.SessionCount() > 0;
  if (sends_work) {
    evacuations_.on_work(now);
  }
  const bool coordinates = roles_.computed() && roles_.coordinates();
  const evacuation::read_conditions duty{lease_renewer_.IsReader(), sends_work, coordinates,
                                         catalog_.Connected()};
  if (!evacuation_reads_.start(duty, evacuations_, now)) {
    return;
  }
  evacuation_call_ = outbox_.NextNumber();
  const metadata::ReadCall list{model::Collection::kEvacuations, std::nullopt, common::Duration(0),
                                evacuation::READ_TIMEOUT};
  outbox_.Emit(ReadCatalog{*evacuation_call_, list});
}

bool Proxy::EvacuationsRead(CallNumber call, const metadata::ReadResult& result,
                            common::Instant now) {
  if (evacuation_call_ != call) {
    return false;
  }
  evacuation_call_.reset();
  // After the store returned from an older copy, acknowledged evacuations may not have been written
  // again yet. A zone must not return to use because of that.
  const bool answered = result.status == metadata::ReadStatus::kOk &&
                        catalog_.IsComplete(evacuation_reads_.started_at());
  const auto read_at =
      evacuation_reads_.finish(answered ? std::optional(result.revision) : std::nullopt);
  if (!read_at) {
    outbox_.Log("evacuations_read_failed",
                {{"status", std::to_string(static_cast<int>(result.status))},
                 {"revision", model::RevisionText(result.revision)},
                 {"age_ms", AgeText(evacuations_.age(now))}},
                LogLevel::kWarning);
    return true;
  }
  evacuation::zone_view view;
  view.revision = result.revision;
  view.read_at = catalog_.CompleteAsOf(*read_at);
  std::size_t too_long = 0;
  for (const model::CatalogObject& object : result.objects) {
    if (object.name.size() <= kMaxZoneBytes) {
      view.zones.insert(object.name);
    } else {
      ++too_long;
    }
  }
  if (std::exchange(unusable_evacuations_, too_long) != too_long && too_long > 0) {
    outbox_.Log("evacuations_unusable", {{"count", std::to_string(too_long)}}, LogLevel::kWarning);
  }
  ApplyEvacuations(view, "store", now);
  return true;
}

void Proxy::ApplyEvacuations(const PeerMessage& message,
                             const std::optional<common::Instant>& counted_from,
                             common::Instant now) {
  const evacuation::view_message& peer_view = message.evacuations;
  if (!EvacuationsEnabled() || !counted_from || !peer_view.age) {
    return;
  }
  ApplyEvacuations({peer_view.revision,
                    {peer_view.zones.begin(), peer_view.zones.end()},
                    *counted_from - *peer_view.age},
                   message.name, now);
}

void Proxy::ApplyEvacuations(const evacuation::zone_view& view, const std::string& source,
                             common::Instant now) {
  const evacuation::view_change change = evacuations_.apply(view);
  evacuations_changed_ = evacuations_changed_ || !change.empty();
  for (const std::string& zone : change.begun) {
    const auto in_use_at = evacuations_.in_use_at(zone);
    const auto in_use = in_use_at ? std::optional(now - *in_use_at) : std::nullopt;
    outbox_.Log("evacuation_known", {{"zone", zone},
                                     {"revision", model::RevisionText(view.revision)},
                                     {"age_ms", AgeText(evacuations_.age(now))},
                                     {"in_use_before_ms", AgeText(in_use)},
                                     {"source", source}});
  }
  for (const std::string& zone : change.ended) {
    warm_up_.on_evacuation_ended(zone, now);
    outbox_.Log("evacuation_over", {{"zone", zone},
                                    {"revision", model::RevisionText(view.revision)},
                                    {"age_ms", AgeText(evacuations_.age(now))},
                                    {"source", source}});
  }
}

void Proxy::AddEvacuations(PeerMessage& message, common::Instant now) const {
  if (!EvacuationsEnabled()) {
    return;
  }
  evacuation::view_message view = evacuations_.message(now);
  std::size_t bytes = 0;
  for (const std::string& zone : view.zones) {
    bytes += zone.size() + kEncodedNameOverhead;
  }
  if (bytes <= kMaxViewBytes) {
    message.evacuations = std::move(view);
  }
}

}  // namespace valvekeel::proxy
