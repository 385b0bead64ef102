// Which zones are evacuated: read from the store, heard from other daemons, told to them.

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

std::string AgeText(const std::optional<common::Duration>& age) {
  return age ? Milliseconds(*age) : "none";
}

}  // namespace

void Proxy::AdvanceEvacuations(common::Instant now) {
  if (!FollowsEvacuations()) {
    return;
  }
  const bool sends_work = Admits() || dispatcher_.SessionCount() > 0;
  if (sends_work) {
    evacuations_.note_work(now);
  }
  const bool coordinates = roles_.computed() && roles_.coordinates();
  const evacuation::read_duty duty{store_lease_.IsReader(), sends_work, coordinates,
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
  // Evacuations that were acknowledged may not have been written again: a zone must not return to
  // use for that.
  const bool answered = result.status == metadata::ReadStatus::kOk &&
                        catalog_.IsComplete(evacuation_reads_.asked_at());
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
  view.read_at = catalog_.ShownAsOf(*read_at);
  for (const model::CatalogObject& object : result.objects) {
    view.zones.insert(object.name);
  }
  TakeEvacuations(view, "store", now);
  return true;
}

void Proxy::TakeEvacuations(const PeerMessage& message,
                            const std::optional<common::Instant>& counted_from,
                            common::Instant now) {
  const evacuation::view_message& told = message.evacuations;
  if (!FollowsEvacuations() || !counted_from || !told.age) {
    return;
  }
  TakeEvacuations(
      {told.revision, {told.zones.begin(), told.zones.end()}, *counted_from - *told.age},
      message.name, now);
}

void Proxy::TakeEvacuations(const evacuation::zone_view& view, const std::string& source,
                            common::Instant now) {
  const evacuation::view_change change = evacuations_.take(view);
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
    warm_up_.zone_returned(zone, now);
    outbox_.Log("evacuation_over", {{"zone", zone},
                                    {"revision", model::RevisionText(view.revision)},
                                    {"age_ms", AgeText(evacuations_.age(now))},
                                    {"source", source}});
  }
}

void Proxy::TellEvacuations(PeerMessage& message, common::Instant now) const {
  if (FollowsEvacuations()) {
    message.evacuations = evacuations_.message(now);
  }
}

}  // namespace valvekeel::proxy
