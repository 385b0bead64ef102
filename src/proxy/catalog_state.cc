#include "proxy/catalog_state.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace valvekeel::proxy {
namespace {

using model::Collection;

/// Time for a watch to bring what another daemon knows already.
constexpr common::Duration kBehindLimit{500'000};
/// Time between two attempts to catch up.
constexpr common::Duration kChasePause{3'000'000};
/// Reads of the leadership record that fail in a row before the store counts as lost: one answer
/// may just be lost.
constexpr std::uint32_t kLostProbes = 2;
/// At a first start: time for all daemons to register (they start within 0.3 s), so that one list
/// shows them all, and time for the configuration to be written.
constexpr common::Duration kFirstDaemonsDelay{1'300'000};
constexpr common::Duration kFirstConfigurationDelay{1'500'000};
/// Bytes of a name of an unusable entry that are logged.
constexpr std::size_t kLongestNameLogged = 64;

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
  }
  return "unknown";
}

}  // namespace

CatalogState::CatalogState(const ProxySettings& settings, Outbox& outbox)
    : settings_(settings), outbox_(outbox) {
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    followers_.emplace(collection, metadata::CollectionFollower(collection, settings.watch_wait));
  }
  // Nothing is late if these are: a promoter's write meets a newer record by its condition, and a
  // daemon that is not known yet makes itself heard.
  for (const Collection collection : {Collection::kDaemons, Collection::kLeadership}) {
    followers_.emplace(collection,
                       metadata::CollectionFollower(collection, settings.slow_watch_wait));
  }
  for (const Collection collection :
       {Collection::kConfiguration, Collection::kInstances, Collection::kDaemons}) {
    followers_.at(collection).AllowOldFirstList();
  }
  // Only who replaces primaries needs the record; the roles are not known yet.
  followers_.at(Collection::kLeadership)
      .SetPace({settings.slow_watch_wait, common::Duration(0), false});
  // At a first start everything is written at once: each change would end every watch.
  if (settings.first_start) {
    const metadata::FollowPace gathered{settings.slow_watch_wait, settings.relaxed_pause};
    for (const Collection collection : {Collection::kConfiguration, Collection::kDaemons}) {
      followers_.at(collection).SetPace(gathered);
    }
    // Most daemons of a large deployment need no instances: the roles tell.
    followers_.at(Collection::kInstances)
        .SetPace({settings.slow_watch_wait, settings.relaxed_pause, false});
  }
}

void CatalogState::DelayFirstCalls(common::Instant now) {
  if (std::exchange(started_, true) || !settings_.first_start) {
    return;
  }
  followers_.at(Collection::kDaemons).NotBefore(now + kFirstDaemonsDelay);
  followers_.at(Collection::kConfiguration).NotBefore(now + kFirstConfigurationDelay);
}

void CatalogState::SetInterest(const Interest& interest) {
  using metadata::FollowPace;
  const common::Duration coordinator_wait =
      interest.reader ? settings_.coordinator_watch_wait : settings_.relaxed_watch_wait;
  const FollowPace close{interest.everything ? settings_.watch_wait : coordinator_wait};
  const FollowPace slow{settings_.slow_watch_wait};
  const FollowPace rare{settings_.relaxed_watch_wait};
  const FollowPace gathered{settings_.relaxed_watch_wait, settings_.relaxed_pause};
  const FollowPace on_news{settings_.relaxed_watch_wait, settings_.news_pause, true, true};
  const FollowPace seldom_news{settings_.seldom_wait, settings_.news_pause, true, true};
  const FollowPace seldom{settings_.seldom_wait, settings_.relaxed_pause, true, true};
  const bool closely = interest.everything || interest.leadership;
  if (!interest.reader) {
    ForgetProbes();
  }
  const FollowPace& distant = interest.informed ? seldom_news : rare;
  const FollowPace none{settings_.relaxed_watch_wait, settings_.news_pause, false};
  const FollowPace& unneeded = interest.informed ? none : rare;
  const FollowPace& needed = interest.informed ? on_news : gathered;
  const FollowPace& of_instances = interest.instances ? needed : unneeded;
  followers_.at(Collection::kConfiguration).SetPace(closely ? close : distant);
  followers_.at(Collection::kInstances).SetPace(closely ? close : of_instances);
  const FollowPace& of_daemons = interest.leadership ? gathered : seldom;
  followers_.at(Collection::kDaemons).SetPace(interest.everything ? slow : of_daemons);
  followers_.at(Collection::kLeadership)
      .SetPace({settings_.slow_watch_wait, common::Duration(0), closely});
}

void CatalogState::SetDiscovering(bool discovering) {
  followers_.at(Collection::kDaemons).SetPaused(!discovering);
}

void CatalogState::SetConfigurationSource(bool source) {
  followers_.at(Collection::kConfiguration).SetPaused(!source);
  if (!source && !connected_) {
    NoteConnection();
  }
}

void CatalogState::Forget(Collection collection) {
  std::erase_if(calls_, [&](const auto& call) { return call.second.collection == collection; });
}

void CatalogState::DisconnectFollowers() {
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    Forget(collection);
    followers_.at(collection).Disconnect();
  }
}

void CatalogState::NoteProbe(bool answered) {
  if (answered) {
    // A watch that was under way meanwhile may never be answered.
    if (std::exchange(failed_probes_, 0) > 0) {
      DisconnectFollowers();
    }
    return;
  }
  if (++failed_probes_ == kLostProbes) {
    DisconnectFollowers();
    NoteConnection();
  }
}

void CatalogState::NoteSeen(Collection collection, const metadata::ReadResult& result) {
  if (result.status != metadata::ReadStatus::kOk) {
    return;
  }
  const bool removed = std::any_of(result.objects.begin(), result.objects.end(),
                                   [](const model::CatalogObject& object) { return object.gone; });
  if (collection == Collection::kConfiguration) {
    seen_.configuration = std::max(seen_.configuration, result.revision);
  } else if (collection == Collection::kInstances) {
    seen_.instances = std::max(seen_.instances, result.revision);
    // What was removed has no revision of its own that a list would show.
    known_.instances = removed ? std::max(known_.instances, result.revision) : known_.instances;
  }
}

CatalogRevisions CatalogState::Revisions() const {
  // The era alone is news: who hears of it lists anew.
  const model::Revision first = model::FirstOf(era_.Newest());
  return {std::max({known_.configuration, elsewhere_.configuration, first}),
          std::max({known_.instances, elsewhere_.instances, first})};
}

bool CatalogState::Behind() const {
  const bool instances = followers_.at(Collection::kInstances).Followed();
  const bool configuration = followers_.at(Collection::kConfiguration).Followed();
  return (configuration &&
          std::max(known_.configuration, seen_.configuration) < elsewhere_.configuration) ||
         (instances && std::max(known_.instances, seen_.instances) < elsewhere_.instances);
}

void CatalogState::NoteRevisions(const CatalogRevisions& revisions, common::Instant now) {
  NoteEra(std::max(revisions.configuration.era, revisions.instances.era), "daemon", now);
  elsewhere_.configuration = std::max(elsewhere_.configuration, revisions.configuration);
  elsewhere_.instances = std::max(elsewhere_.instances, revisions.instances);
  followers_.at(Collection::kConfiguration).NoteNews(elsewhere_.configuration);
  followers_.at(Collection::kInstances).NoteNews(elsewhere_.instances);
  if (!Behind()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (now < *behind_since_ + kBehindLimit || now < chase_not_before_) {
    return;
  }
  chase_not_before_ = now + kChasePause;
  outbox_.Log("watch_overdue",
              {{"configuration", model::RevisionText(known_.configuration)},
               {"instances", model::RevisionText(known_.instances)},
               {"configuration_elsewhere", model::RevisionText(elsewhere_.configuration)},
               {"instances_elsewhere", model::RevisionText(elsewhere_.instances)}});
  for (const Collection collection : {Collection::kConfiguration, Collection::kInstances}) {
    Forget(collection);
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
  if (!followers_.at(Collection::kInstances).Watches(now)) {
    RelistInstances();
  }
}

void CatalogState::RelistInstances() {
  metadata::CollectionFollower& instances = followers_.at(Collection::kInstances);
  if (instances.Refreshing() || !instances.Followed()) {
    return;
  }
  // A watch that waits for news would be in the way.
  Forget(Collection::kInstances);
  instances.Abandon();
  instances.Refresh();
}

std::optional<common::Instant> CatalogState::InstancesFreshAsOf(common::Instant now) const {
  const metadata::CollectionFollower& instances = followers_.at(Collection::kInstances);
  return instances.Watches(now) ? now : instances.FreshAsOf();
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

CatalogUpdate CatalogState::Answered(CallNumber call, const metadata::ReadResult& result,
                                     common::Instant now, double jitter) {
  CatalogUpdate update;
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return update;
  }
  const PendingCall answered_call = found->second;
  const Collection collection = answered_call.collection;
  calls_.erase(found);
  NoteEra(result.revision.era, "store", now);
  metadata::CollectionFollower& follower = followers_.at(collection);
  const bool was_listed = follower.Listed();
  for (const metadata::CatalogChange& change : follower.Answer(result, now, jitter)) {
    Apply(change.object, collection, now, update);
  }
  const bool first_list = follower.Listed() && !was_listed;
  const bool listed = !answered_call.watch && result.status == metadata::ReadStatus::kOk;
  if (listed && collection == Collection::kLeadership && !update.leadership) {
    update.leadership = {model::LeadershipRecord{}, model::FirstOf(result.revision.era)};
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
  for (std::size_t unnamed = 0; unnamed < result.unnamed; ++unnamed) {
    NoteUnusable("no_name", "");
  }
  NoteSeen(collection, result);
  daemons_known_ = daemons_known_ || followers_.at(Collection::kDaemons).Listed();
  NoteConnection();
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

void CatalogState::NoteEra(std::uint64_t era, const char* source, common::Instant now) {
  const CatalogRevisions known = Revisions();
  const std::uint64_t before = era_.Newest();
  if (!era_.Note(era, now)) {
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
      Forget(collection);
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
    update.instances_gone.push_back(instance->first);
    instance = instances_.erase(instance);
  }
}

void CatalogState::NoteConnection() {
  const metadata::CollectionFollower& instances = followers_.at(Collection::kInstances);
  const metadata::CollectionFollower& configuration = followers_.at(Collection::kConfiguration);
  // Who makes no calls counts as connected until one of its calls shows otherwise: it may be chosen
  // to make them.
  const bool connected = (configuration.Connected() || !configuration.Followed()) &&
                         (instances.Connected() || !instances.Followed()) &&
                         failed_probes_ < kLostProbes;
  if (connected != connected_) {
    connected_ = connected;
    outbox_.Log(connected ? "store_regained" : "store_lost", {},
                connected ? LogLevel::kInfo : LogLevel::kWarning);
  }
}

void CatalogState::Apply(const model::CatalogObject& object, Collection collection,
                         common::Instant now, CatalogUpdate& update) {
  // What a list no longer holds comes with the list's revision, which others need not know.
  if (collection == Collection::kConfiguration && !object.gone) {
    known_.configuration = std::max(known_.configuration, object.revision);
  }
  if (collection == Collection::kInstances && !object.gone) {
    known_.instances = std::max(known_.instances, object.revision);
  }
  if (object.gone) {
    if (collection == Collection::kInstances) {
      DropInstance(object.name, update);
    }
    // An entry that went with the store's history names a daemon all the same: it may hold leases
    // until it hears of that.
    if (collection == Collection::kDaemons && daemon_eras_[object.name] >= object.revision.era) {
      daemons_.erase(object.name);
    }
    return;
  }
  if (const auto* configuration = std::get_if<model::Configuration>(&object.payload)) {
    update.configuration =
        TakeConfiguration(*configuration, "store", object.revision) || update.configuration;
  } else if (const auto* instance = std::get_if<model::InstanceEntry>(&object.payload)) {
    ApplyInstance(*instance, now, update);
  } else if (const auto* unusable = std::get_if<model::UnusableEntry>(&object.payload)) {
    // What the id named before takes no new work, as if its entry had gone: it may serve on, and
    // its own next entry brings it back.
    DropInstance(object.name, update);
    NoteUnusable(model::EntryDefectName(unusable->defect), object.name);
  } else if (const auto* daemon = std::get_if<model::DaemonEntry>(&object.payload)) {
    daemons_[daemon->name] = *daemon;
    daemon_eras_[daemon->name] = object.revision.era;
    update.daemons.push_back(*daemon);
  } else if (const auto* record = std::get_if<model::LeadershipRecord>(&object.payload)) {
    // The records of earlier eras tell nothing of this one.
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
  if (known != instances_.end() && known->second.Life() == entry.Life()) {
    // A store that has just returned may show what the instance said before, such as that it does
    // not drain. Else the store's order counts: another writer's number must not shut it out.
    const bool earlier = entry.incarnation != 0 && entry.sequence < known->second.sequence;
    if (earlier && !era_.IsComplete(now)) {
      return;
    }
    // A later era lists all entries anew: what says nothing new is no news.
    if (known->second.TellsSameAs(entry)) {
      known->second.sequence = entry.sequence;
      return;
    }
  }
  instances_[entry.id] = entry;
  std::erase(update.instances_gone, entry.id);
  update.instances.push_back(entry);
}

void CatalogState::DropInstance(const std::string& id, CatalogUpdate& update) {
  if (instances_.erase(id) > 0) {
    std::erase_if(update.instances, [&](const auto& each) { return each.id == id; });
    update.instances_gone.push_back(id);
  }
}

void CatalogState::NoteUnusable(const std::string& reason, const std::string& name) {
  const std::uint64_t count = ++unusable_entries_[reason];
  // At counts that double: whoever writes bad entries must not fill the log.
  if (std::has_single_bit(count)) {
    outbox_.Log("instance_entry_unusable",
                {{"reason", reason},
                 {"name", name.substr(0, kLongestNameLogged)},
                 {"count", std::to_string(count)}},
                LogLevel::kWarning);
  }
}

bool CatalogState::TakeConfiguration(const model::Configuration& configuration, const char* source,
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

CatalogUpdate CatalogState::TakeRead(const model::Configuration& configuration,
                                     const model::Revision& revision, common::Instant now) {
  NoteEra(revision.era, "store", now);
  known_.configuration = std::max(known_.configuration, revision);
  CatalogUpdate update;
  update.configuration = TakeConfiguration(configuration, "read", revision);
  return update;
}

CatalogUpdate CatalogState::TakeCopy(const CatalogCopy& copy) {
  CatalogUpdate update;
  update.configuration = TakeConfiguration(copy.configuration, "daemon", 0);
  // The store's own word goes first: a copy only fills what was never listed.
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
