#include "proxy/catalog_state.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace valvekeel::proxy {
namespace {

using model::Collection;

/// Time for a watch to deliver a revision that another daemon reported.
constexpr common::Duration kBehindLimit{500'000};
/// Time between two attempts to catch up.
constexpr common::Duration kCatchUpPause{3'000'000};
/// Number of reads of the leadership record that fail in a row before the store counts as lost: a
/// single answer may be lost on the way.
constexpr std::uint32_t kMaxFailedProbes = 2;
/// At a first start: time for all daemons to register (they start within 0.3 s), so that one list
/// returns them all, and time for the configuration to be written.
constexpr common::Duration kFirstDaemonsDelay{1'300'000};
constexpr common::Duration kFirstConfigurationDelay{1'500'000};
/// Maximum number of logged bytes of an unusable entry's name.
constexpr std::size_t kMaxLoggedNameBytes = 64;

const char* CollectionName(Collection collection) {
  switch (collection) {
    case Collection::kConfiguration:
      return "configuration";
    case Collection::kInstances:
      return "instances";
    case Collection::kDaemons:
      return "daemons";
    case Collection::kLeadership:
      return "leadership";
    case Collection::kEvacuations:
      return "evacuations";
    case Collection::kHolders:
      return "holders";
  }
  return "unknown";
}

}  // namespace

CatalogState::CatalogState(const ProxySettings& settings, Outbox& outbox)
    : settings_(settings), outbox_(outbox) {
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    followers_.emplace(collection, metadata::CollectionFollower(collection, settings.watch_wait));
  }
  // Delays of these collections do no harm: a promoter's conditional write fails if the record is
  // newer, and a daemon that is not listed yet sends heartbeats.
  for (const Collection collection : {Collection::kDaemons, Collection::kLeadership}) {
    followers_.emplace(collection,
                       metadata::CollectionFollower(collection, settings.slow_watch_wait));
  }
  for (const Collection collection :
       {Collection::kConfiguration, Collection::kInstances, Collection::kDaemons}) {
    followers_.at(collection).AllowStaleFirstList();
  }
  // Only daemons that replace primaries need the record, and the roles are not known yet.
  followers_.at(Collection::kLeadership)
      .SetPace({settings.slow_watch_wait, common::Duration(0), false});
  // At a first start everything is written at the same time, and each change would end every watch.
  if (settings.first_start) {
    const metadata::FollowPace batched{settings.slow_watch_wait, settings.relaxed_pause};
    for (const Collection collection : {Collection::kConfiguration, Collection::kDaemons}) {
      followers_.at(collection).SetPace(batched);
    }
    // Most daemons of a large deployment need no instances; that depends on their roles.
    followers_.at(Collection::kInstances)
        .SetPace({settings.slow_watch_wait, settings.relaxed_pause, false});
  }
}

void CatalogState::DelayFirstCalls(common::Instant now) {
  if (std::exchange(started_, true) || !settings_.first_start) {
    return;
  }
  followers_.at(Collection::kDaemons).DelayCallsUntil(now + kFirstDaemonsDelay);
  followers_.at(Collection::kConfiguration).DelayCallsUntil(now + kFirstConfigurationDelay);
}

void CatalogState::SetInterest(const Interest& interest) {
  using metadata::FollowPace;
  const common::Duration coordinator_wait =
      interest.reads_record ? settings_.coordinator_watch_wait : settings_.relaxed_watch_wait;
  const FollowPace close{interest.all_collections ? settings_.watch_wait : coordinator_wait};
  const FollowPace slow{settings_.slow_watch_wait};
  const FollowPace rare{settings_.relaxed_watch_wait};
  const FollowPace batched{settings_.relaxed_watch_wait, settings_.relaxed_pause};
  const FollowPace on_update{settings_.relaxed_watch_wait, settings_.notified_list_pause, true,
                             true};
  const FollowPace rarely_on_update{settings_.notified_watch_wait, settings_.notified_list_pause,
                                    true, true};
  const FollowPace daemons_on_update{settings_.notified_watch_wait, settings_.relaxed_pause, true,
                                     true};
  const bool closely = interest.all_collections || interest.leadership;
  if (!interest.reads_record) {
    ResetFailedProbes();
  }
  const FollowPace& distant = interest.receives_updates ? rarely_on_update : rare;
  const FollowPace none{settings_.relaxed_watch_wait, settings_.notified_list_pause, false};
  const FollowPace& unneeded = interest.receives_updates ? none : rare;
  const FollowPace& needed = interest.receives_updates ? on_update : batched;
  const FollowPace& of_instances = interest.instances ? needed : unneeded;
  followers_.at(Collection::kConfiguration).SetPace(closely ? close : distant);
  followers_.at(Collection::kInstances).SetPace(closely ? close : of_instances);
  const FollowPace& of_daemons = interest.leadership ? batched : daemons_on_update;
  followers_.at(Collection::kDaemons).SetPace(interest.all_collections ? slow : of_daemons);
  followers_.at(Collection::kLeadership)
      .SetPace({settings_.slow_watch_wait, common::Duration(0), closely});
}

void CatalogState::SetDiscovering(bool discovering) {
  followers_.at(Collection::kDaemons).SetPaused(!discovering);
}

void CatalogState::SetFollowsConfiguration(bool source) {
  followers_.at(Collection::kConfiguration).SetPaused(!source);
  if (!source && !connected_) {
    UpdateConnected();
  }
}

void CatalogState::CancelCall(Collection collection) {
  std::erase_if(calls_, [&](const auto& call) { return call.second.collection == collection; });
}

void CatalogState::DisconnectFollowers() {
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    CancelCall(collection);
    followers_.at(collection).Disconnect();
  }
}

void CatalogState::OnProbeResult(bool answered) {
  if (answered) {
    // A watch that was sent in the meantime may never be answered.
    if (std::exchange(failed_probes_, 0) > 0) {
      DisconnectFollowers();
    }
    return;
  }
  if (++failed_probes_ == kMaxFailedProbes) {
    DisconnectFollowers();
    UpdateConnected();
  }
}

void CatalogState::RecordAnswerRevision(Collection collection, const metadata::ReadResult& result) {
  if (result.status != metadata::ReadStatus::kOk) {
    return;
  }
  const bool removed =
      std::any_of(result.objects.begin(), result.objects.end(),
                  [](const model::CatalogObject& object) { return object.deleted; });
  if (collection == Collection::kConfiguration) {
    answer_revisions_.configuration = std::max(answer_revisions_.configuration, result.revision);
  } else if (collection == Collection::kInstances) {
    answer_revisions_.instances = std::max(answer_revisions_.instances, result.revision);
    // A list contains no revision of a removed object.
    object_revisions_.instances = removed ? std::max(object_revisions_.instances, result.revision)
                                          : object_revisions_.instances;
  }
}

CatalogRevisions CatalogState::Revisions() const {
  // A new era is itself a change: a daemon that receives it lists the collections again.
  const model::Revision first = model::FirstRevisionOfEra(era_.Newest());
  return {std::max({object_revisions_.configuration, reported_revisions_.configuration, first}),
          std::max({object_revisions_.instances, reported_revisions_.instances, first})};
}

bool CatalogState::IsBehind() const {
  const bool instances = followers_.at(Collection::kInstances).IsFollowed();
  const bool configuration = followers_.at(Collection::kConfiguration).IsFollowed();
  return (configuration &&
          std::max(object_revisions_.configuration, answer_revisions_.configuration) <
              reported_revisions_.configuration) ||
         (instances && std::max(object_revisions_.instances, answer_revisions_.instances) <
                           reported_revisions_.instances);
}

void CatalogState::ApplyRevisions(const CatalogRevisions& revisions, common::Instant now) {
  ApplyEra(std::max(revisions.configuration.era, revisions.instances.era), "daemon", now);
  reported_revisions_.configuration =
      std::max(reported_revisions_.configuration, revisions.configuration);
  reported_revisions_.instances = std::max(reported_revisions_.instances, revisions.instances);
  followers_.at(Collection::kConfiguration).RecordRevision(reported_revisions_.configuration);
  followers_.at(Collection::kInstances).RecordRevision(reported_revisions_.instances);
  if (!IsBehind()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (now < *behind_since_ + kBehindLimit || now < catch_up_not_before_) {
    return;
  }
  catch_up_not_before_ = now + kCatchUpPause;
  outbox_.Log("watch_overdue",
              {{"configuration", model::RevisionText(object_revisions_.configuration)},
               {"instances", model::RevisionText(object_revisions_.instances)},
               {"configuration_elsewhere", model::RevisionText(reported_revisions_.configuration)},
               {"instances_elsewhere", model::RevisionText(reported_revisions_.instances)}});
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    CancelCall(collection);
    followers_.at(collection).Abandon();
  }
}

bool CatalogState::ListsDaemon(const std::string& name) const {
  const auto era = daemon_eras_.find(name);
  const bool seen = era != daemon_eras_.end() && era->second == era_.Newest();
  return daemons_.contains(name) && (seen || era_.Newest() == 0);
}

bool CatalogState::DaemonsListed() const { return followers_.at(Collection::kDaemons).Listed(); }

void CatalogState::RefreshInstances(common::Instant now) {
  if (!followers_.at(Collection::kInstances).WatchIsCurrent(now)) {
    RelistInstances();
  }
}

void CatalogState::RelistInstances() {
  metadata::CollectionFollower& instances = followers_.at(Collection::kInstances);
  if (instances.Refreshing() || !instances.IsFollowed()) {
    return;
  }
  // The collection has one call at a time, so a waiting watch is cancelled first.
  CancelCall(Collection::kInstances);
  instances.Abandon();
  instances.Refresh();
}

std::optional<common::Instant> CatalogState::InstancesFreshAsOf(common::Instant now) const {
  const metadata::CollectionFollower& instances = followers_.at(Collection::kInstances);
  return instances.WatchIsCurrent(now) ? now : instances.FreshAsOf();
}

void CatalogState::Tick(common::Instant now) {
  DelayFirstCalls(now);
  for (auto& [collection, follower] : followers_) {
    const auto call = follower.Next(now);
    if (!call) {
      continue;
    }
    const CallNumber number = outbox_.NextNumber();
    calls_[number] = {collection, call->after_revision.has_value(), now};
    outbox_.Emit(ReadCatalog{number, *call});
  }
}

CatalogUpdate CatalogState::OnAnswered(CallNumber call, const metadata::ReadResult& result,
                                       common::Instant now, double jitter) {
  CatalogUpdate update;
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return update;
  }
  const PendingCall answered_call = found->second;
  const Collection collection = answered_call.collection;
  calls_.erase(found);
  ApplyEra(result.revision.era, "store", now);
  metadata::CollectionFollower& follower = followers_.at(collection);
  const bool was_listed = follower.Listed();
  update.instances_changed_after = InstancesCompleteAsOf();
  for (const metadata::CatalogChange& change : follower.OnAnswer(result, now, jitter)) {
    Apply(change.object, collection, now, update);
  }
  const bool first_list = follower.Listed() && !was_listed;
  const bool listed = !answered_call.watch && result.status == metadata::ReadStatus::kOk;
  if (listed && collection == Collection::kLeadership && !update.leadership) {
    update.leadership = {model::LeadershipRecord{}, model::FirstRevisionOfEra(result.revision.era)};
  }
  if (first_list && collection == Collection::kInstances) {
    DropUnlisted(result, update);
  }
  const bool answered = result.status == metadata::ReadStatus::kOk ||
                        result.status == metadata::ReadStatus::kHistoryGone;
  if (answered) {
    answered_at_ = now;
  }
  if (result.status != metadata::ReadStatus::kOk) {
    LogFailure(answered_call, result, now);
  }
  for (std::size_t unnamed = 0; unnamed < result.unreadable_names; ++unnamed) {
    RecordUnusable("no_name", "");
  }
  RecordAnswerRevision(collection, result);
  daemons_known_ = daemons_known_ || followers_.at(Collection::kDaemons).Listed();
  UpdateConnected();
  return update;
}

void CatalogState::LogFailure(const PendingCall& call, const metadata::ReadResult& result,
                              common::Instant now) {
  outbox_.Log("store_call_failed",
              {{"collection", CollectionName(call.collection)},
               {"status", std::to_string(static_cast<int>(result.status))},
               {"call", call.watch ? "watch" : "list"},
               {"after_ms", MillisecondsText(now - call.sent)}},
              LogLevel::kWarning);
}

void CatalogState::ApplyEra(std::uint64_t era, const char* source, common::Instant now) {
  const CatalogRevisions known = Revisions();
  const std::uint64_t before = era_.Newest();
  if (!era_.RecordEra(era, now)) {
    return;
  }
  outbox_.Log("store_era_changed",
              {{"era", std::to_string(era)},
               {"before", std::to_string(before)},
               {"source", source},
               {"configuration", model::RevisionText(known.configuration)},
               {"instances", model::RevisionText(known.instances)}},
              before == 0 ? LogLevel::kInfo : LogLevel::kWarning);
  behind_since_.reset();
  for (auto& [collection, follower] : followers_) {
    if (follower.BeginEra(era)) {
      CancelCall(collection);
    }
  }
}

void CatalogState::DropUnlisted(const metadata::ReadResult& result, CatalogUpdate& update) {
  std::set<std::string> listed;
  for (const model::CatalogObject& object : result.objects) {
    listed.insert(object.name);
  }
  for (auto instance = instances_.begin(); instance != instances_.end();) {
    if (listed.contains(instance->first)) {
      ++instance;
      continue;
    }
    update.removed_instances.push_back(instance->first);
    instance = instances_.erase(instance);
  }
}

void CatalogState::UpdateConnected() {
  const metadata::CollectionFollower& instances = followers_.at(Collection::kInstances);
  const metadata::CollectionFollower& configuration = followers_.at(Collection::kConfiguration);
  // A daemon that makes no calls counts as connected until one of its calls fails, so that it can
  // be chosen to make them.
  const bool connected = (configuration.Connected() || !configuration.IsFollowed()) &&
                         (instances.Connected() || !instances.IsFollowed()) &&
                         failed_probes_ < kMaxFailedProbes;
  if (connected != connected_) {
    connected_ = connected;
    outbox_.Log(connected ? "store_regained" : "store_lost", {},
                connected ? LogLevel::kInfo : LogLevel::kWarning);
  }
}

void CatalogState::Apply(const model::CatalogObject& object, Collection collection,
                         common::Instant now, CatalogUpdate& update) {
  // An object that a list no longer contains has the list's revision, which is not reported to
  // others.
  if (collection == Collection::kConfiguration && !object.deleted) {
    object_revisions_.configuration = std::max(object_revisions_.configuration, object.revision);
  }
  if (collection == Collection::kInstances && !object.deleted) {
    object_revisions_.instances = std::max(object_revisions_.instances, object.revision);
  }
  if (object.deleted) {
    if (collection == Collection::kInstances) {
      DropInstance(object.name, update);
    }
    // A daemon whose entry was lost in a restore of the store stays listed: it may hold leases
    // until it learns of the restore.
    if (collection == Collection::kDaemons && daemon_eras_[object.name] >= object.revision.era) {
      daemons_.erase(object.name);
    }
    return;
  }
  if (const auto* configuration = std::get_if<model::Configuration>(&object.payload)) {
    update.configuration =
        AdoptConfiguration(*configuration, "store", object.revision) || update.configuration;
  } else if (const auto* instance = std::get_if<model::InstanceEntry>(&object.payload)) {
    ApplyInstance(*instance, now, update);
  } else if (const auto* unusable = std::get_if<model::UnusableEntry>(&object.payload)) {
    // The instance of that id gets no new work, as if its entry had been removed. It may keep
    // serving, and its next usable entry lists it again.
    DropInstance(object.name, update);
    RecordUnusable(model::EntryDefectName(unusable->defect), object.name);
  } else if (const auto* daemon = std::get_if<model::DaemonEntry>(&object.payload)) {
    daemons_[daemon->name] = *daemon;
    daemon_eras_[daemon->name] = object.revision.era;
    update.daemons.push_back(*daemon);
  } else if (const auto* record = std::get_if<model::LeadershipRecord>(&object.payload)) {
    // A record of an earlier era is not valid in this one.
    if (record->era == object.revision.era) {
      update.leadership = {*record, object.revision};
    }
  } else {
    outbox_.Log("store_object_unreadable",
                {{"collection", CollectionName(collection)}, {"name", object.name}},
                LogLevel::kWarning);
  }
}

void CatalogState::ApplyInstance(const model::InstanceEntry& entry, common::Instant now,
                                 CatalogUpdate& update) {
  const auto known = instances_.find(entry.id);
  if (known != instances_.end() && known->second.Identity() == entry.Identity()) {
    // A store that was just restored may return an earlier entry of the instance, for example one
    // that does not drain. At other times the store's order decides, so that a higher sequence
    // number of another writer does not block the entry.
    const bool earlier = entry.incarnation != 0 && entry.sequence < known->second.sequence;
    if (earlier && !era_.IsComplete(now)) {
      return;
    }
    // Each new era lists all entries again; an entry without changes is not an update.
    if (known->second.EqualsIgnoringSequence(entry)) {
      known->second.sequence = entry.sequence;
      return;
    }
  }
  instances_[entry.id] = entry;
  std::erase(update.removed_instances, entry.id);
  update.instances.push_back(entry);
}

void CatalogState::DropInstance(const std::string& id, CatalogUpdate& update) {
  if (instances_.erase(id) > 0) {
    std::erase_if(update.instances, [&](const auto& each) { return each.id == id; });
    update.removed_instances.push_back(id);
  }
}

void CatalogState::RecordUnusable(const std::string& reason, const std::string& name) {
  const std::uint64_t count = ++unusable_entries_[reason];
  // Logged only at powers of two, so that a writer of bad entries cannot fill the log.
  if (std::has_single_bit(count)) {
    outbox_.Log("instance_entry_unusable",
                {{"reason", reason},
                 {"name", name.substr(0, kMaxLoggedNameBytes)},
                 {"count", std::to_string(count)}},
                LogLevel::kWarning);
  }
}

bool CatalogState::AdoptConfiguration(const model::Configuration& configuration, const char* source,
                                      const model::Revision& revision) {
  if (configuration.version <= configuration_.version) {
    return false;
  }
  outbox_.Log("configuration_in_force", {{"version", std::to_string(configuration.version)},
                                         {"before", std::to_string(configuration_.version)},
                                         {"routes", std::to_string(configuration.routes.size())},
                                         {"source", source},
                                         {"revision", model::RevisionText(revision)}});
  configuration_ = configuration;
  return true;
}

CatalogUpdate CatalogState::ApplyConfigurationRead(const model::Configuration& configuration,
                                                   const model::Revision& revision,
                                                   common::Instant now) {
  ApplyEra(revision.era, "store", now);
  object_revisions_.configuration = std::max(object_revisions_.configuration, revision);
  CatalogUpdate update;
  update.configuration = AdoptConfiguration(configuration, "read", revision);
  return update;
}

CatalogUpdate CatalogState::ApplyCopy(const CatalogCopy& copy) {
  CatalogUpdate update;
  update.configuration = AdoptConfiguration(copy.configuration, "daemon", 0);
  // The store's own list takes precedence: a copy only adds instances before the first list.
  if (!followers_.at(Collection::kInstances).Listed()) {
    for (const model::InstanceEntry& instance : copy.instances) {
      if (instances_.emplace(instance.id, instance).second) {
        update.instances.push_back(instance);
      }
    }
  }
  daemons_known_ = daemons_known_ || !copy.daemons.empty();
  for (const model::DaemonEntry& daemon : copy.daemons) {
    if (daemons_.emplace(daemon.name, daemon).second) {
      update.daemons.push_back(daemon);
    }
  }
  return update;
}

CatalogCopy CatalogState::Copy() const {
  CatalogCopy copy;
  copy.configuration = configuration_;
  for (const auto& [id, instance] : instances_) {
    copy.instances.push_back(instance);
  }
  for (const auto& [name, daemon] : daemons_) {
    copy.daemons.push_back(daemon);
  }
  return copy;
}

}  // namespace valvekeel::proxy
